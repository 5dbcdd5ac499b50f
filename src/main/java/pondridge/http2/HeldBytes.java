package pondridge.http2;

/**
 * Bounds the bytes that a front end buffers: of requests received completely or in part, and of responses
 * that the peer has not read yet. The total over all connections is bounded, and each connection may use a
 * quarter of it, so that a peer that does not read, or does not complete its requests, cannot take the
 * capacity of the others. Performs no I/O and reads no clock; not thread-safe.
 */
public final class HeldBytes {
    private static final int CONNECTION_SHARE_DIVISOR = 4;
    private final long maxBytes;
    private long totalReserved;

    /** Creates a budget of {@code maxBytes} over all connections. */
    public HeldBytes(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the bytes reserved by all connections. */
    public long held() {
        return totalReserved;
    }

    /** Creates the share of a new connection. */
    public Share share() {
        return new Share();
    }

    /** The part of the budget used by one connection. */
    public final class Share {
        private long reserved;

        private Share() {}

        /** Whether this connection may buffer any more bytes. */
        public boolean room() {
            return reserved < maxBytes / CONNECTION_SHARE_DIVISOR && totalReserved < maxBytes;
        }

        /** Reserves bytes if there is capacity for them. */
        public boolean take(long bytes) {
            if (reserved + bytes > maxBytes / CONNECTION_SHARE_DIVISOR || totalReserved + bytes > maxBytes) {
                return false;
            }
            add(bytes);
            return true;
        }

        /** Reserves bytes even beyond the limit, for the response to a request that was already accepted. */
        public void add(long bytes) {
            reserved += bytes;
            totalReserved += bytes;
        }

        /** Releases bytes. */
        public void give(long bytes) {
            reserved -= bytes;
            totalReserved -= bytes;
        }

        /** Returns the bytes reserved by this connection. */
        public long held() {
            return reserved;
        }
    }
}
