package pondridge.pool;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A limit on the total number of connections of several pools. When it is reached, the connection that has been
 * idle for longest is evicted, whichever pool it belongs to. Pools that could not get a connection receive freed
 * capacity in the order in which they requested it. Used only by its pools, on their thread.
 */
public final class SharedConnectionLimit {
    /** Response to a request for capacity. */
    enum Grant {
        /** The capacity is assigned to the requester. */
        GRANTED,
        /** A connection is being closed for it; the requester is notified once it has ended. */
        PENDING,
        /** All connections are busy; the requester is notified when capacity becomes available. */
        UNAVAILABLE
    }

    private final int maxConnections;
    private final Set<ConnectionPool<?, ?>> pools = new LinkedHashSet<>();
    private final Set<ConnectionPool<?, ?>> waitingPools = new LinkedHashSet<>();
    private int connectionCount;
    private int evictionsInProgress;

    /** Creates a limit of this many connections. */
    public SharedConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Returns the current number of connections, including those that are closing. */
    public int connectionCount() {
        return connectionCount;
    }

    void register(ConnectionPool<?, ?> pool) {
        pools.add(pool);
    }

    /** Removes a pool that has no connections left and will dial none. */
    void unregister(ConnectionPool<?, ?> pool) {
        pools.remove(pool);
        waitingPools.remove(pool);
    }

    Grant acquire(ConnectionPool<?, ?> requester, long nowNanos) {
        int waitingBefore = waitingPools.size() - (waitingPools.contains(requester) ? 1 : 0);
        if (connectionCount >= maxConnections && evictionsInProgress <= waitingBefore) {
            // The end of the evicted connection may be reported within this call.
            evictLongestIdle(nowNanos);
        }
        if (connectionCount < maxConnections) {
            connectionCount++;
            waitingPools.remove(requester);
            return Grant.GRANTED;
        }
        waitingPools.add(requester);
        return evictionsInProgress >= waitingPools.size() ? Grant.PENDING : Grant.UNAVAILABLE;
    }

    void cancelRequest(ConnectionPool<?, ?> requester) {
        waitingPools.remove(requester);
    }

    /** A connection has ended; {@code evicted} if it was closed to free capacity. */
    void release(boolean evicted, long nowNanos) {
        connectionCount--;
        evictionsInProgress -= evicted ? 1 : 0;
        while (connectionCount < maxConnections && !waitingPools.isEmpty()) {
            ConnectionPool<?, ?> next = waitingPools.iterator().next();
            waitingPools.remove(next);
            next.capacityAvailable(nowNanos);
        }
    }

    /** A connection may have become idle: evicts the longest idle one if pools are waiting for capacity. */
    void connectionIdle(long nowNanos) {
        if (evictionsInProgress < waitingPools.size()) {
            evictLongestIdle(nowNanos);
        }
    }

    private void evictLongestIdle(long nowNanos) {
        ConnectionPool<?, ?> owner = null;
        long ownerIdleSince = 0;
        for (ConnectionPool<?, ?> pool : pools) {
            PooledConnection candidate = pool.longestIdleConnection();
            if (candidate != null && (owner == null || candidate.idleSinceNanos() - ownerIdleSince < 0)) {
                owner = pool;
                ownerIdleSince = candidate.idleSinceNanos();
            }
        }
        if (owner != null) {
            evictionsInProgress++;
            owner.evictLongestIdle(nowNanos);
        }
    }
}
