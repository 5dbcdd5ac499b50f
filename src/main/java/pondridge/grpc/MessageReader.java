package pondridge.grpc;

import java.util.Arrays;

/**
 * Puts messages together from pieces of any size (gRPC over HTTP/2, "Length-Prefixed-Message"): a flag, four
 * bytes of length, the message. Holds one message at a time, and no more of it than it may have; takes room
 * as bytes come and not as a prefix says. No I/O.
 */
final class MessageReader {
    /** What was read, or why nothing can be read any more. */
    enum State {
        MORE,
        MESSAGE,
        TOO_LARGE,
        BAD_FLAG
    }

    private static final int PREFIX = 5;
    private static final int FIRST = 256;
    private final int most;
    private final byte[] prefix = new byte[PREFIX];
    private int prefixed;
    private int length;
    private byte[] body = {};
    private int got;
    private State failed;

    /** Messages of at most so many bytes. */
    MessageReader(int most) {
        this.most = most;
    }

    /**
     * Reads on from {@code from}; stops after a whole message.
     *
     * @return how many bytes were taken; ask {@link #state} then
     */
    int read(byte[] bytes, int from, int to) {
        int at = from;
        if (failed != null || state() == State.MESSAGE) {
            return 0;
        }
        while (at < to && prefixed < PREFIX) {
            prefix[prefixed++] = bytes[at++];
        }
        if (prefixed < PREFIX) {
            return at - from;
        }
        long wanted = (prefix[1] & 0xffL) << 24 | (prefix[2] & 0xff) << 16 | (prefix[3] & 0xff) << 8 | prefix[4] & 0xff;
        if ((prefix[0] & 0xff) > 1) {
            failed = State.BAD_FLAG;
        } else if (wanted > most) {
            failed = State.TOO_LARGE;
        } else {
            length = (int) wanted;
            int taken = Math.min(length - got, to - at);
            if (got + taken > body.length) {
                body = Arrays.copyOf(body, Math.min(length, Math.max(FIRST, Math.max(2 * body.length, got + taken))));
            }
            System.arraycopy(bytes, at, body, got, taken);
            got += taken;
            at += taken;
        }
        return at - from;
    }

    State state() {
        return failed != null ? failed : prefixed == PREFIX && got == length ? State.MESSAGE : State.MORE;
    }

    /** Whether a message has begun and is not whole. */
    boolean within() {
        return prefixed > 0 && state() == State.MORE;
    }

    /** Whether the message that has come is compressed. */
    boolean compressed() {
        return prefix[0] == 1;
    }

    /** Takes the message that has come, and goes on with the next. */
    byte[] take() {
        byte[] message = body.length == got ? body : Arrays.copyOf(body, got);
        prefixed = 0;
        length = 0;
        got = 0;
        body = new byte[0];
        return message;
    }

    /** A message with its prefix, not compressed. */
    static byte[] frame(byte[] message) {
        byte[] framed = new byte[PREFIX + message.length];
        framed[1] = (byte) (message.length >>> 24);
        framed[2] = (byte) (message.length >>> 16);
        framed[3] = (byte) (message.length >>> 8);
        framed[4] = (byte) message.length;
        System.arraycopy(message, 0, framed, PREFIX, message.length);
        return framed;
    }
}
