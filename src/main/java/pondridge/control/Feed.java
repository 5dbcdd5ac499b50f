package pondridge.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A file that says all that is to be in force, a line of JSON for each entry and setting: {@code service},
 * {@code name}, {@code state}, {@code body}. One bad line and nothing of it is taken.
 */
final class Feed {
    private static final int LARGEST = 64 << 20;

    private Feed() {}

    /** Reads it; an {@link IOException} names file and line of the first mistake. */
    static List<Resource> read(Path path) throws IOException {
        if (Files.size(path) > LARGEST) {
            throw new IOException(path + ": larger than " + LARGEST + " bytes");
        }
        List<Resource> all = new ArrayList<>();
        int line = 0;
        for (String text : Files.readAllLines(path)) {
            line++;
            if (text.isBlank()) {
                continue;
            }
            try {
                JsonNode node = Codec.read(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
                all.add(new Resource(
                        node.path("service").asText(),
                        node.path("name").asText(),
                        node.path("state").asText("SERVING"),
                        node.path("body").asText("")));
            } catch (IllegalArgumentException e) {
                throw new IOException(path + ": line " + line + ": " + e.getMessage(), e);
            }
        }
        return all;
    }
}
