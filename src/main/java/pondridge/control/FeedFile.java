package pondridge.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A file with the complete desired state: one line of JSON for each entry and setting, with {@code service},
 * {@code name}, {@code state} and {@code body}. If one line is invalid, the whole file is rejected.
 */
final class FeedFile {
    private static final int MAX_BYTES = 64 << 20;

    private FeedFile() {}

    /** Reads the file. An {@link IOException} names the file and the line of the first error. */
    static List<Resource> read(Path path) throws IOException {
        if (Files.size(path) > MAX_BYTES) {
            throw new IOException(path + ": larger than " + MAX_BYTES + " bytes");
        }
        List<Resource> resources = new ArrayList<>();
        int line = 0;
        for (String text : Files.readAllLines(path)) {
            line++;
            if (text.isBlank()) {
                continue;
            }
            try {
                JsonNode node = Codec.parse(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
                resources.add(new Resource(
                        node.path("service").asText(),
                        node.path("name").asText(),
                        node.path("state").asText("SERVING"),
                        node.path("body").asText("")));
            } catch (IllegalArgumentException e) {
                throw new IOException(path + ": line " + line + ": " + e.getMessage(), e);
            }
        }
        return resources;
    }
}
