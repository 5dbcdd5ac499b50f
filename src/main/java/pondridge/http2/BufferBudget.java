package pondridge.http2;

/**
 * Bounds the bytes that a front end buffers: of requests received completely or in part, and of responses
 * that the peer has not read yet. The total over all connections is bounded, and each connection may use a
 * quarter of it, so that a peer that does not read, or does not complete its requests, cannot take the
 * capacity of the others. Performs no I/O and reads no clock; not thread-safe.
 */
public final class BufferBudget {
    private static final int CONNECTION_SHARE_DIVISOR = 4;
    private final long maxBytes;
    private long totalReserved;

    /** Creates a budget of {@code maxBytes} over all connections. */
    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the bytes reserved by all connections. */
    public long reservedBytes() {
        return totalReserved;
    }

    /** Creates the share of a new connection. */
    public ConnectionShare newShare() {
        return new ConnectionShare();
    }

    /** The part of the budget used by one connection. */
    public final class ConnectionShare {
        private long reserved;

        private ConnectionShare() {}

        /** Whether this connection may buffer any more bytes. */
        public boolean hasCapacity() {
            return reserved < maxBytes / CONNECTION_SHARE_DIVISOR && totalReserved < maxBytes;
        }

        /** Reserves bytes if there is capacity for them. */
        public boolean tryReserve(long bytes) {
            if (reserved + bytes > maxBytes / CONNECTION_SHARE_DIVISOR || totalReserved + bytes > maxBytes) {
                return false;
            }
            reserve(bytes);
            return true;
        }

        /** Reserves bytes even beyond the limit, for the response to a request that was already accepted. */
        public void reserve(long bytes) {
            reserved += bytes;
            totalReserved += bytes;
        }

        /** Releases bytes. */
        public void release(long bytes) {
            reserved -= bytes;
            totalReserved -= bytes;
        }

        /** Returns the bytes reserved by this connection. */
        public long reservedBytes() {
            return reserved;
        }
    }
}
