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
 * The durable state of the source: a header line with the length and CRC-32C of the rest, then a snapshot as
 * relays receive it. The file is written under a temporary name, forced to disk and renamed, so a crash
 * leaves either the old file or the new one. A file that is corrupt nevertheless is rejected, not ignored:
 * watchers may have received its version numbers. Use from one thread at a time.
 */
final class StateFile {
    private static final String MAGIC = "bankflow-control-1";
    private static final int MAX_HEADER_BYTES = 80;
    private static final int MAX_BYTES = 256 << 20;

    private final Path path;
    private final int maxTombstones;

    StateFile(Path path, int maxTombstones) {
        this.path = path;
        this.maxTombstones = maxTombstones;
    }

    /** Returns the state that was last written, or null if there is no file. */
    ResourceStore read() throws IOException {
        if (!Files.exists(path)) {
            return null;
        }
        if (Files.size(path) > MAX_BYTES) {
            throw corrupt("larger than " + MAX_BYTES + " bytes");
        }
        byte[] bytes = Files.readAllBytes(path);
        int headerLength = 0;
        while (headerLength < Math.min(MAX_HEADER_BYTES, bytes.length) && bytes[headerLength] != '\n') {
            headerLength++;
        }
        String[] header = new String(bytes, 0, headerLength, StandardCharsets.US_ASCII).split(" ");
        if (header.length != 3 || !header[0].equals(MAGIC)) {
            throw corrupt("no header line");
        }
        byte[] body = Arrays.copyOfRange(bytes, Math.min(bytes.length, headerLength + 1), bytes.length);
        if (!header[1].equals(Integer.toString(body.length))) {
            throw corrupt(body.length + " bytes, expected " + header[1]);
        }
        if (!header[2].equals(checksum(body))) {
            throw corrupt("checksum " + checksum(body) + ", expected " + header[2]);
        }
        try {
            Update snapshot = Codec.decodeUpdate(Codec.parse(body));
            ResourceStore store = new ResourceStore(maxTombstones);
            store.apply(snapshot.changes(), snapshot.version(), snapshot.oldestDeltaBase());
            if (store.digest(List.of()) != snapshot.digest()) {
                throw corrupt("wrong digest");
            }
            return store;
        } catch (IllegalArgumentException e) {
            throw corrupt(e.getMessage());
        }
    }

    private IOException corrupt(String reason) {
        return new IOException(
                path + ": corrupt: " + reason + "; restore a good copy, or move it away to " + "start a new epoch");
    }

    void write(ResourceStore store) throws IOException {
        byte[] body = Codec.encodeUpdate(new Update(
                0,
                store.version(),
                true,
                0,
                store.oldestDeltaBase(),
                store.changesSince(-1, List.of(), true),
                List.of(),
                store.digest(List.of()),
                0));
        Path newPath = path.resolveSibling(path.getFileName() + ".new");
        try (FileChannel file = FileChannel.open(
                newPath, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer[] parts = {
                ByteBuffer.wrap(
                        (MAGIC + ' ' + body.length + ' ' + checksum(body) + '\n').getBytes(StandardCharsets.US_ASCII)),
                ByteBuffer.wrap(body)
            };
            while (parts[1].hasRemaining()) {
                file.write(parts);
            }
            file.force(true);
        }
        Files.move(newPath, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(path.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private static String checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length);
        return Long.toHexString(crc.getValue());
    }
}
