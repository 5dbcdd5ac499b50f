package pondridge.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The source's durable state: one line with the length and CRC-32C of what follows, then the whole as relays
 * get it. Written beside, forced to the disk and moved into place, so a crash leaves the old or the new. One
 * that is torn all the same is refused and never passed over: its numbers may have been told. On one thread
 * at a time.
 */
final class SourceFile {
    private static final String MAGIC = "bankflow-control-1";
    private static final int LONGEST_LINE = 80;
    private static final int LARGEST = 256 << 20;

    private final Path path;
    private final int mostMarkers;

    SourceFile(Path path, int mostMarkers) {
        this.path = path;
        this.mostMarkers = mostMarkers;
    }

    /** What was written last; null where there is no file. */
    Holdings read() throws IOException {
        if (!Files.exists(path)) {
            return null;
        }
        if (Files.size(path) > LARGEST) {
            throw torn("larger than " + LARGEST + " bytes");
        }
        byte[] bytes = Files.readAllBytes(path);
        int line = 0;
        while (line < Math.min(LONGEST_LINE, bytes.length) && bytes[line] != '\n') {
            line++;
        }
        String[] head = new String(bytes, 0, line, StandardCharsets.US_ASCII).split(" ");
        if (head.length != 3 || !head[0].equals(MAGIC)) {
            throw torn("no head line");
        }
        byte[] body = Arrays.copyOfRange(bytes, Math.min(bytes.length, line + 1), bytes.length);
        if (!head[1].equals(Integer.toString(body.length))) {
            throw torn(body.length + " bytes, expected " + head[1]);
        }
        if (!head[2].equals(sum(body))) {
            throw torn("checksum " + sum(body) + ", expected " + head[2]);
        }
        try {
            Update whole = Codec.readUpdate(Codec.read(body));
            Holdings held = new Holdings(mostMarkers);
            held.apply(whole.changes(), whole.version(), whole.floor());
            if (held.digest(List.of()) != whole.digest()) {
                throw torn("a wrong digest");
            }
            return held;
        } catch (IllegalArgumentException e) {
            throw torn(e.getMessage());
        }
    }

    private IOException torn(String why) {
        return new IOException(
                path + ": not whole: " + why + "; put back a good copy, or move it away to " + "begin a new epoch");
    }

    void write(Holdings held) throws IOException {
        byte[] body = Codec.update(new Update(
                0,
                held.version(),
                true,
                0,
                held.floor(),
                held.since(-1, List.of(), true),
                List.of(),
                held.digest(List.of()),
                0));
        Path beside = path.resolveSibling(path.getFileName() + ".new");
        try (FileChannel file = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer[] parts = {
                ByteBuffer.wrap(
                        (MAGIC + ' ' + body.length + ' ' + sum(body) + '\n').getBytes(StandardCharsets.US_ASCII)),
                ByteBuffer.wrap(body)
            };
            while (parts[1].hasRemaining()) {
                file.write(parts);
            }
            file.force(true);
        }
        Files.move(beside, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(path.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    private static String sum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, bytes.length);
        return Long.toHexString(sum.getValue());
    }
}
