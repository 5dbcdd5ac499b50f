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
import pondridge.http1.Stub;

/**
 * Frames of HTTP/2 written by hand (RFC 9113, section 4.1), so that they may be any nonsense. What a write
 * meets on a connection that has ended is what is wanted, and is passed over.
 */
final class RawHttp2 implements AutoCloseable {
    private static final int HEADERS = 1;
    private static final int END_STREAM = 1;
    private static final int END_HEADERS = 4;
    private static final int HEAD = 9;
    private static final int PING = 6;
    private static final int FLOOD_S = 5;
    private static final long PAUSE = 1_000_000;
    private final Socket socket;
    private final OutputStream out;
    private final DataInputStream in;
    private volatile boolean broken;
    private boolean flooded;
    private int nextStream = 1;

    RawHttp2(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Stub.LIMIT_S));
        out = socket.getOutputStream();
        in = new DataInputStream(socket.getInputStream());
    }

    RawHttp2 bytes(String text) {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private synchronized RawHttp2 write(byte[] bytes) {
        try {
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            // The other side has ended it.
            return this;
        }
        return this;
    }

    private static byte[] frame(int type, int flags, int stream, byte[] payload) {
        return ByteBuffer.allocate(HEAD + payload.length)
                .put((byte) (payload.length >> 16))
                .putShort((short) payload.length)
                .put((byte) type)
                .put((byte) flags)
                .putInt(stream)
                .put(payload)
                .array();
    }

    /**
     * Many of the same, for as long as the other side takes them and some seconds at most, with all that it
     *  says
     * read and forgotten; keeps whether it ended the connection meanwhile.
     */
    private RawHttp2 flood(byte[] frame) {
        byte[] some = new byte[100 * frame.length];
        for (int i = 0; i < 100; i++) {
            System.arraycopy(frame, 0, some, i * frame.length, frame.length);
        }
        Stub.thread(() -> {
            try {
                in.transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                broken = true;
            }
        });
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FLOOD_S);
        while (System.nanoTime() - until < 0 && !broken) {
            try {
                out.write(some);
                LockSupport.parkNanos(PAUSE);
            } catch (IOException e) {
                broken = true;
            }
        }
        flooded = true;
        return this;
    }

    /** Sends a PING now and then, so that the connection is never silent. */
    RawHttp2 alive() {
        Stub.thread(() -> {
            while (!socket.isClosed()) {
                write(frame(PING, 0, 0, new byte[8]));
                LockSupport.parkNanos(50 * PAUSE);
            }
        });
        return this;
    }

    /** The preface, and a first SETTINGS. */
    RawHttp2 hello() {
        return bytes("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").write(frame(4, 0, 0, new byte[0]));
    }

    /** The same, with that window for each answer. */
    RawHttp2 hello(int window) {
        return bytes("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
                .write(frame(
                        4,
                        0,
                        0,
                        ByteBuffer.allocate(6)
                                .putShort((short) 4)
                                .putInt(window)
                                .array()));
    }

    RawHttp2 pings() {
        return flood(frame(PING, 0, 0, new byte[8]));
    }

    RawHttp2 settings() {
        return flood(frame(4, 0, 0, new byte[0]));
    }

    /** Streams begun and reset at once (CVE-2023-44487). */
    RawHttp2 resets(int count) {
        for (int i = 0; i < count; i++) {
            write(frame(HEADERS, END_HEADERS, 2 * i + 1, block(Map.of())));
            write(frame(3, 0, 2 * i + 1, new byte[4]));
        }
        return this;
    }

    /** Headers that never end. */
    RawHttp2 continuations() {
        return write(frame(HEADERS, 0, 1, block(Map.of()))).flood(frame(9, 0, 1, new byte[0]));
    }

    RawHttp2 headers(int stream, int length) {
        byte[] block = block(Map.of("x-long", "x".repeat(length / 20)));
        write(frame(HEADERS, 0, stream, block));
        for (int i = 0; i < 20; i++) {
            write(frame(9, i == 19 ? END_HEADERS : 0, stream, field("x-" + i, "x".repeat(length / 20))));
        }
        return this;
    }

    /** Requests with so much of a body that never ends. */
    RawHttp2 bodies(int count, int length) {
        for (int i = 0; i < count; i++) {
            write(frame(HEADERS, END_HEADERS, 2 * i + 1, block(Map.of())));
            write(frame(0, 0, 2 * i + 1, new byte[length]));
        }
        return this;
    }

    /** Look-ups by the link. */
    RawHttp2 requests(int count, Map<String, String> link, String stamp) {
        for (int i = 0; i < count; i++) {
            Map<String, String> headers = new TreeMap<>(link);
            headers.putAll(Map.of(
                    LinkHeaders.HOPS,
                    "1",
                    LinkHeaders.STAMP,
                    stamp,
                    LinkHeaders.LEFT,
                    "2000",
                    "req-kind",
                    "stock-check",
                    "req-owner",
                    "acme",
                    "req-deadline-ms",
                    "2500",
                    "req-id",
                    "raw" + i));
            write(frame(HEADERS, END_HEADERS | END_STREAM, nextStream, block(headers)));
            nextStream += 2;
        }
        return this;
    }

    /** Reads until so many streams have been reset, or a GOAWAY or the end has come. */
    RawHttp2 awaitResets(int count) throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(Stub.LIMIT_S);
        for (int left = count; left > 0; ) {
            if (System.nanoTime() - until > 0) {
                throw new IOException("never reset: " + left);
            }
            int length = in.readUnsignedByte() << 16 | in.readUnsignedShort();
            int type = in.readUnsignedByte();
            in.skipNBytes(HEAD - 4L + length);
            left -= type == 3 ? 1 : 0;
            if (type == 7) {
                return this;
            }
        }
        return this;
    }

    /** HPACK without tables (RFC 7541, section 6.2.2). */
    private static byte[] block(Map<String, String> headers) {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        Map.of(":method", "GET", ":scheme", "http", ":path", "/api/1", ":authority", "b")
                .forEach((name, value) -> block.writeBytes(field(name, value)));
        headers.forEach((name, value) -> block.writeBytes(field(name, value)));
        return block.toByteArray();
    }

    private static byte[] field(String name, String value) {
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

    /** Whether the other side ends it within a generous time. */
    boolean ended() {
        if (flooded) {
            return broken;
        }
        try {
            in.transferTo(OutputStream.nullOutputStream());
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            // Reset is as good as closed.
            return true;
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
