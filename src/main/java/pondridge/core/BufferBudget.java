package pondridge.core;

/**
 * Bounds the bytes that a process buffers: of requests and responses that are being received, that wait, or that the
 * peer has not read yet. The total over all connections is bounded, and each connection may use a quarter of it, so
 * that a peer that does not read, or does not complete its requests, cannot take the capacity of the others. Budgets
 * form a tree: what is reserved in one counts in its parents, too. Performs no I/O and reads no clock; not thread-safe.
 */
public final class BufferBudget {
    private static final int CONNECTION_SHARE_DIVISOR = 4;
    private final long maxBytes;
    private final BufferBudget parent;
    private long totalReserved;

    /** Creates a budget of {@code maxBytes} over all connections. */
    public BufferBudget(long maxBytes) {
        this(maxBytes, null);
    }

    private BufferBudget(long maxBytes, BufferBudget parent) {
        this.maxBytes = maxBytes;
        this.parent = parent;
    }

    /** Creates a budget within this one, of {@code maxChildBytes} or as much as this one has, if that is less. */
    public BufferBudget newChild(long maxChildBytes) {
        return new BufferBudget(Math.min(maxBytes, maxChildBytes), this);
    }

    /** The limit over all connections, in bytes. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns the bytes reserved by all connections. */
    public long reservedBytes() {
        return totalReserved;
    }

    /** Creates the share of a new connection. */
    public ConnectionShare newShare() {
        return newShare(0);
    }

    /**
     * Creates the share of a new connection that may use some bytes whatever the others have reserved.
     *
     * @param guaranteedBytes how many; times the number of connections they may exceed the limit
     */
    public ConnectionShare newShare(long guaranteedBytes) {
        return newShare(guaranteedBytes, maxBytes);
    }

    /**
     * Creates the share of a new connection that may use some bytes whatever the others have reserved.
     *
     * @param guaranteedBytes how many; times the number of connections they may exceed the limit
     * @param maxShareBytes limit of this connection; a quarter of the budget if that is less
     */
    public ConnectionShare newShare(long guaranteedBytes, long maxShareBytes) {
        return new ConnectionShare(guaranteedBytes, Math.min(maxShareBytes, maxBytes / CONNECTION_SHARE_DIVISOR));
    }

    /** Creates the share of a user that bounds each connection by itself, and may use all of the budget. */
    public ConnectionShare newUndividedShare() {
        return new ConnectionShare(0, maxBytes);
    }

    private boolean hasCapacity(long bytes) {
        return totalReserved + bytes <= maxBytes && (parent == null || parent.hasCapacity(bytes));
    }

    private void add(long bytes) {
        totalReserved += bytes;
        if (parent != null) {
            parent.add(bytes);
        }
    }

    /** The part of the budget used by one connection. */
    public final class ConnectionShare {
        private final long guaranteedBytes;
        private final long maxShareBytes;
        private long reserved;

        private ConnectionShare(long guaranteedBytes, long maxShareBytes) {
            this.guaranteedBytes = guaranteedBytes;
            this.maxShareBytes = maxShareBytes;
        }

        /** Whether this connection may buffer any more bytes. */
        public boolean hasCapacity() {
            return reserved < maxShareBytes && BufferBudget.this.hasCapacity(1);
        }

        /** Reserves bytes if there is capacity for them. */
        public boolean tryReserve(long bytes) {
            boolean withinShare = reserved + bytes <= maxShareBytes;
            if (reserved + bytes > guaranteedBytes && !(withinShare && BufferBudget.this.hasCapacity(bytes))) {
                return false;
            }
            reserve(bytes);
            return true;
        }

        /** Reserves bytes even beyond the limit, for the response to a request that was already accepted. */
        public void reserve(long bytes) {
            reserved += bytes;
            add(bytes);
        }

        /** Releases bytes. */
        public void release(long bytes) {
            reserved -= bytes;
            add(-bytes);
        }

        /** Returns the bytes reserved by this connection. */
        public long reservedBytes() {
            return reserved;
        }
    }
}
