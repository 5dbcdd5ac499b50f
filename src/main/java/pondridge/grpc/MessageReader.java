package pondridge.grpc;

import java.util.Arrays;

/**
 * Reassembles messages from fragments of any size (gRPC over HTTP/2, "Length-Prefixed-Message"): a flag, four
 * bytes of length, the message. Buffers one message at a time up to the size limit. The buffer grows with the
 * bytes received and not with the length that the prefix announces. No I/O.
 */
final class MessageReader {
    /** Progress of the current message, or the error that ended reading. */
    enum State {
        INCOMPLETE,
        COMPLETE,
        TOO_LARGE,
        BAD_FLAG
    }

    private static final int PREFIX_BYTES = 5;
    private static final int INITIAL_CAPACITY_BYTES = 256;
    private final int maxMessageBytes;
    private final byte[] prefix = new byte[PREFIX_BYTES];
    private int prefixBytesRead;
    private int length;
    private byte[] body = {};
    private int bodyBytesRead;
    private State error;

    /** Creates a reader for messages up to a maximum size. */
    MessageReader(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    /**
     * Reads bytes from {@code from} up to {@code to}; stops after a complete message.
     *
     * @return the number of bytes consumed; {@link #state} then tells the result
     */
    int read(byte[] bytes, int from, int to) {
        int position = from;
        if (error != null || state() == State.COMPLETE) {
            return 0;
        }
        while (position < to && prefixBytesRead < PREFIX_BYTES) {
            prefix[prefixBytesRead++] = bytes[position++];
        }
        if (prefixBytesRead < PREFIX_BYTES) {
            return position - from;
        }
        long announcedLength =
                (prefix[1] & 0xffL) << 24 | (prefix[2] & 0xff) << 16 | (prefix[3] & 0xff) << 8 | prefix[4] & 0xff;
        if ((prefix[0] & 0xff) > 1) {
            error = State.BAD_FLAG;
        } else if (announcedLength > maxMessageBytes) {
            error = State.TOO_LARGE;
        } else {
            length = (int) announcedLength;
            int copied = Math.min(length - bodyBytesRead, to - position);
            if (bodyBytesRead + copied > body.length) {
                body = Arrays.copyOf(
                        body,
                        Math.min(
                                length,
                                Math.max(INITIAL_CAPACITY_BYTES, Math.max(2 * body.length, bodyBytesRead + copied))));
            }
            System.arraycopy(bytes, position, body, bodyBytesRead, copied);
            bodyBytesRead += copied;
            position += copied;
        }
        return position - from;
    }

    State state() {
        return error != null
                ? error
                : prefixBytesRead == PREFIX_BYTES && bodyBytesRead == length ? State.COMPLETE : State.INCOMPLETE;
    }

    /** Whether a message has begun and is not complete. */
    boolean inMessage() {
        return prefixBytesRead > 0 && state() == State.INCOMPLETE;
    }

    /** Whether the complete message is compressed. */
    boolean isCompressed() {
        return prefix[0] == 1;
    }

    /** Removes and returns the complete message; the next read begins a new one. */
    byte[] takeMessage() {
        byte[] message = body.length == bodyBytesRead ? body : Arrays.copyOf(body, bodyBytesRead);
        prefixBytesRead = 0;
        length = 0;
        bodyBytesRead = 0;
        body = new byte[0];
        return message;
    }

    /** Prepends the length prefix to an uncompressed message. */
    static byte[] frame(byte[] message) {
        byte[] framed = new byte[PREFIX_BYTES + message.length];
        framed[1] = (byte) (message.length >>> 24);
        framed[2] = (byte) (message.length >>> 16);
        framed[3] = (byte) (message.length >>> 8);
        framed[4] = (byte) message.length;
        System.arraycopy(message, 0, framed, PREFIX_BYTES, message.length);
        return framed;
    }
}
