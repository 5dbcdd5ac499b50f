package pondridge.core;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The memory of a message's head, or of its trailers, while they are being received on one connection. A head that is
 * never completed holds its fields all the same, and many short fields hold far more memory than they have characters.
 * Once the head is complete it counts with its message, and {@link #release} ends this reservation. Not thread-safe.
 */
public final class HeadReservation {
    /** Limit on the fields of one head. */
    public static final int MAX_FIELDS = 128;

    /** There is no memory for the rest of a head. */
    public static final class NoCapacityException extends RuntimeException {
        private static final long serialVersionUID = 1;

        NoCapacityException() {
            super("no memory for the head", null, false, false);
        }
    }

    private final BufferBudget.ConnectionShare share;
    private boolean begun;
    private int fields;
    private long headBytes;
    private long bufferedBytes;

    /** Creates a reservation of nothing, which counts in {@code share}. */
    public HeadReservation(BufferBudget.ConnectionShare share) {
        this.share = share;
    }

    /** A head begins: its first line is decoded. */
    public void begin() {
        begun = true;
    }

    /**
     * Reserves the memory of one more field, without its characters.
     *
     * @throws TooLongHttpHeaderException if there are too many
     * @throws NoCapacityException if there is no memory for it
     */
    public void addField() {
        if (++fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        if (!share.tryReserve(Headers.FIELD_BYTES)) {
            throw new NoCapacityException();
        }
        headBytes += Headers.FIELD_BYTES;
    }

    /**
     * Reserves decoded characters, if a head has begun: what is skipped before it is not kept. The decoder bounds the
     * characters of a head, so they may exceed the limit.
     */
    public void addCharacters(int characters) {
        if (begun) {
            share.reserve(characters);
            headBytes += characters;
        }
    }

    /** Reserves what the decoder has buffered and not decoded, in place of what it had before. */
    public void setBuffered(ByteBuf undecoded) {
        int bytes = undecoded.isReadable() ? undecoded.capacity() : 0;
        share.reserve(bytes - bufferedBytes);
        bufferedBytes = bytes;
    }

    /** Releases the head: it is complete, or it is dropped. What is buffered stays reserved. */
    public void release() {
        share.release(headBytes);
        headBytes = 0;
        fields = 0;
        begun = false;
    }

    /** Releases everything: the connection is closed. */
    public void close() {
        release();
        share.release(bufferedBytes);
        bufferedBytes = 0;
    }
}
