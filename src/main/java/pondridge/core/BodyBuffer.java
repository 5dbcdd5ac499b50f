package pondridge.core;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Collects the body of one message in an array of its own, which grows with the bytes received. The memory of the
 * array is reserved before it grows. Received buffers are not kept: a few bytes of one would hold all of it. Not
 * thread-safe.
 */
public final class BodyBuffer {
    private static final int MIN_CAPACITY_BYTES = 256;
    private static final byte[] EMPTY = {};

    /** What came of appending bytes. */
    public enum Result {
        /** The bytes were appended. */
        APPENDED,
        /** The body would exceed its maximum size; nothing was appended. */
        TOO_LARGE,
        /** The budget has no capacity for the bytes; nothing was appended. */
        NO_CAPACITY
    }

    private final BufferBudget.ConnectionShare share;
    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int size;

    /** Creates an empty buffer whose memory counts in {@code share}. */
    public BodyBuffer(BufferBudget.ConnectionShare share, int maxBytes) {
        this.share = share;
        this.maxBytes = maxBytes;
    }

    /** Appends the readable bytes of {@code received}, and leaves its indices as they are. */
    public Result append(ByteBuf received) {
        int length = received.readableBytes();
        if (length > maxBytes - size) {
            return Result.TOO_LARGE;
        }
        if (length > bytes.length - size && !grow(size + length)) {
            return Result.NO_CAPACITY;
        }
        received.getBytes(received.readerIndex(), bytes, size, length);
        size += length;
        return Result.APPENDED;
    }

    private boolean grow(int needed) {
        int doubled = Math.min(maxBytes, Math.max(MIN_CAPACITY_BYTES, 2 * bytes.length));
        int capacity = Math.max(needed, doubled);
        if (!share.tryReserve(capacity - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /** The number of bytes collected. */
    public int size() {
        return size;
    }

    /** Trims the array to the body and returns it. Its memory stays reserved until {@link #release}. */
    public byte[] trimmedBytes() {
        if (bytes.length > size) {
            share.release(bytes.length - size);
            bytes = Arrays.copyOf(bytes, size);
        }
        return bytes;
    }

    /** Releases the reserved memory; the buffer is empty then. */
    public void release() {
        share.release(bytes.length);
        bytes = EMPTY;
        size = 0;
    }
}
