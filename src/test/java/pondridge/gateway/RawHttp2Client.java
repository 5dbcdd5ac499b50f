package pondridge.gateway;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import pondridge.http1.StubServer;

/**
 * HTTP/2 frames written by hand (RFC 9113, section 4.1), so that they may be invalid. Write errors on a
 * connection that the peer has closed are expected and ignored.
 */
final class RawHttp2Client implements AutoCloseable {
    private static final int HEADERS = 1;
    private static final int END_STREAM = 1;
    private static final int END_HEADERS = 4;
    private static final int FRAME_HEADER_BYTES = 9;
    private static final int PING = 6;
    private static final int FLOOD_SECONDS = 5;
    private static final long WRITE_INTERVAL_NANOS = 1_000_000;
    private final Socket socket;
    private final OutputStream out;
    private final DataInputStream in;
    private volatile boolean closedByPeer;
    private boolean flooded;
    private int nextStreamId = 1;

    RawHttp2Client(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS));
        out = socket.getOutputStream();
        in = new DataInputStream(socket.getInputStream());
    }

    RawHttp2Client sendText(String text) {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private synchronized RawHttp2Client write(byte[] bytes) {
        try {
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            // The peer has closed the connection.
            return this;
        }
        return this;
    }

    private static byte[] frame(int type, int flags, int stream, byte[] payload) {
        return ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.length)
                .put((byte) (payload.length >> 16))
                .putShort((short) payload.length)
                .put((byte) type)
                .put((byte) flags)
                .putInt(stream)
                .put(payload)
                .array();
    }

    /**
     * Sends the same frame repeatedly until the peer closes the connection, for some seconds at most, and
     * discards all that is received. Records whether the peer closed it.
     */
    private RawHttp2Client flood(byte[] frame) {
        byte[] batch = new byte[100 * frame.length];
        for (int i = 0; i < 100; i++) {
            System.arraycopy(frame, 0, batch, i * frame.length, frame.length);
        }
        StubServer.startThread(() -> {
            try {
                in.transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                closedByPeer = true;
            }
        });
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FLOOD_SECONDS);
        while (System.nanoTime() - deadlineNanos < 0 && !closedByPeer) {
            try {
                out.write(batch);
                LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
            } catch (IOException e) {
                closedByPeer = true;
            }
        }
        flooded = true;
        return this;
    }

    /** Sends a PING at intervals, so that the connection is never idle. */
    RawHttp2Client keepAlive() {
        StubServer.startThread(() -> {
            while (!socket.isClosed()) {
                write(frame(PING, 0, 0, new byte[8]));
                LockSupport.parkNanos(50 * WRITE_INTERVAL_NANOS);
            }
        });
        return this;
    }

    /** Sends the preface and the first SETTINGS. */
    RawHttp2Client handshake() {
        return sendText("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").write(frame(4, 0, 0, new byte[0]));
    }

    /** The same with this initial window for each response. */
    RawHttp2Client handshake(int window) {
        return sendText("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
                .write(frame(
                        4,
                        0,
                        0,
                        ByteBuffer.allocate(6)
                                .putShort((short) 4)
                                .putInt(window)
                                .array()));
    }

    RawHttp2Client floodPings() {
        return flood(frame(PING, 0, 0, new byte[8]));
    }

    RawHttp2Client floodSettings() {
        return flood(frame(4, 0, 0, new byte[0]));
    }

    /** Opens streams and resets them at once (CVE-2023-44487). */
    RawHttp2Client sendResets(int count) {
        for (int i = 0; i < count; i++) {
            write(frame(HEADERS, END_HEADERS, 2 * i + 1, headerBlock(Map.of())));
            write(frame(3, 0, 2 * i + 1, new byte[4]));
        }
        return this;
    }

    /** Sends a header block that never ends. */
    RawHttp2Client floodContinuations() {
        return write(frame(HEADERS, 0, 1, headerBlock(Map.of()))).flood(frame(9, 0, 1, new byte[0]));
    }

    RawHttp2Client sendLongHeaders(int stream, int length) {
        byte[] block = headerBlock(Map.of("x-long", "x".repeat(length / 20)));
        write(frame(HEADERS, 0, stream, block));
        for (int i = 0; i < 20; i++) {
            write(frame(9, i == 19 ? END_HEADERS : 0, stream, headerField("x-" + i, "x".repeat(length / 20))));
        }
        return this;
    }

    /** Sends requests with the start of a body that never ends. */
    RawHttp2Client sendEndlessBodies(int count, int length) {
        for (int i = 0; i < count; i++) {
            write(frame(HEADERS, END_HEADERS, 2 * i + 1, headerBlock(Map.of())));
            write(frame(0, 0, 2 * i + 1, new byte[length]));
        }
        return this;
    }

    /** Sends repeatable read requests over the link. */
    RawHttp2Client sendRequests(int count, Map<String, String> linkHeaders, String timestamp) {
        for (int i = 0; i < count; i++) {
            Map<String, String> headers = new TreeMap<>(linkHeaders);
            headers.putAll(Map.of(
                    LinkHeaders.HOPS,
                    "1",
                    LinkHeaders.TIMESTAMP,
                    timestamp,
                    LinkHeaders.TIME_LEFT,
                    "2000",
                    "req-kind",
                    "stock-check",
                    "req-owner",
                    "acme",
                    "req-deadline-ms",
                    "2500",
                    "req-id",
                    "raw" + i));
            write(frame(HEADERS, END_HEADERS | END_STREAM, nextStreamId, headerBlock(headers)));
            nextStreamId += 2;
        }
        return this;
    }

    /** Reads until this many streams have been reset or a GOAWAY was received. */
    RawHttp2Client awaitResets(int count) throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        for (int left = count; left > 0; ) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("streams not reset: " + left);
            }
            int length = in.readUnsignedByte() << 16 | in.readUnsignedShort();
            int type = in.readUnsignedByte();
            in.skipNBytes(FRAME_HEADER_BYTES - 4L + length);
            left -= type == 3 ? 1 : 0;
            if (type == 7) {
                return this;
            }
        }
        return this;
    }

    /** An HPACK header block without tables (RFC 7541, section 6.2.2). */
    private static byte[] headerBlock(Map<String, String> headers) {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        Map.of(":method", "GET", ":scheme", "http", ":path", "/api/1", ":authority", "b")
                .forEach((name, value) -> block.writeBytes(headerField(name, value)));
        headers.forEach((name, value) -> block.writeBytes(headerField(name, value)));
        return block.toByteArray();
    }

    private static byte[] headerField(String name, String value) {
        ByteArrayOutputStream field = new ByteArrayOutputStream();
        field.write(0);
        for (String each : new String[] {name, value}) {
            int length = each.length();
            if (length < 127) {
                field.write(length);
            } else {
                field.write(127);
                int rest = length - 127;
                for (; rest >= 128; rest >>= 7) {
                    field.write(rest & 127 | 128);
                }
                field.write(rest);
            }
            field.writeBytes(each.getBytes(StandardCharsets.ISO_8859_1));
        }
        return field.toByteArray();
    }

    /** Whether the peer closes the connection before the socket timeout. */
    boolean isClosed() {
        if (flooded) {
            return closedByPeer;
        }
        try {
            in.transferTo(OutputStream.nullOutputStream());
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            // A reset counts as closed.
            return true;
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
