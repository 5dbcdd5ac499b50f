package pondridge.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state machine of one upstream's connection pool. Attempts are assigned in order of arrival, each to the
 * oldest connection with credit. Another connection is dialled, one at a time, only when the established ones
 * do not have enough credit for all waiting attempts. Connections that fail before they were useful delay the
 * next dial.
 *
 * <p>Events arrive through the public methods, each with the time in nanoseconds on one monotonic clock. The
 * pool responds through {@link Actions}: one event may cause several actions, and an action may deliver the
 * next event before it returns. After each event that can leave an attempt waiting, the caller asks
 * {@link #nextTickNanos()} for the time of the next {@link #tick}. Not thread-safe.
 *
 * <p>Not final so that a test can break one rule and verify that its model detects the fault.
 *
 * @param <C> the connections
 * @param <T> identifies an attempt; compared with {@code equals}
 */
public class ConnectionPool<C extends PooledConnection, T> {
    /** Returned by {@link #nextTickNanos()} when no tick is needed. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /** The operations that a pool requests from its owner. */
    public interface Actions<C, T> {
        /**
         * Creates a connection and starts dialling; {@link ConnectionPool#connectionEstablished} or
         * {@link ConnectionPool#connectionEnded} follows later.
         */
        C dial();

        /** Assigns an attempt to a connection with credit, which has less credit when this returns. */
        void assign(C connection, T attempt);

        /** Ends an attempt that was not assigned to a connection. */
        void reject(T attempt, RejectionReason reason);

        /**
         * Closes a connection immediately; {@link ConnectionPool#connectionEnded} follows, possibly within this
         * call.
         */
        void close(C connection);

        /** Closes a connection once its running attempts have ended. */
        void drain(C connection);

        /** Calls {@link ConnectionPool#dispatch} after the current read has been processed. */
        void scheduleDispatch();
    }

    /** The state of a connection from its dial to its end. */
    private enum State {
        CONNECTING,
        UP,
        /** Draining or closing; assigned no further attempts. */
        ENDING
    }

    private static final class Entry<C> {
        private final C connection;
        private State state = State.CONNECTING;
        private boolean evicted;

        Entry(C connection) {
            this.connection = connection;
        }
    }

    /** Result of {@link #requestConnection}. */
    public enum Availability {
        UP,
        PENDING,
        CLOSED,
        UNAVAILABLE
    }

    private final PoolLimits limits;
    private final SharedConnectionLimit sharedLimit;
    private final Actions<C, T> actions;
    private final List<Entry<C>> entries = new ArrayList<>();
    /** Waiting attempts with their arrival time in nanoseconds, in order of arrival. */
    private final Map<T, Long> waiting = new LinkedHashMap<>();

    private Entry<C> connecting;
    private boolean accepting;
    private boolean connectionRequested;
    /** Response of the shared limit to the request that is pending there; null if none is. */
    private SharedConnectionLimit.Grant pendingGrant;

    private boolean dispatchScheduled;
    private int consecutiveFailures;
    private long earliestDialNanos;
    private long usableSinceNanos;

    /** Creates a pool that is closed until {@link #open} is called. */
    public ConnectionPool(PoolLimits limits, SharedConnectionLimit sharedLimit, Actions<C, T> actions, long nowNanos) {
        this.limits = limits;
        this.sharedLimit = sharedLimit;
        this.actions = actions;
        this.earliestDialNanos = nowNanos;
        this.usableSinceNanos = nowNanos;
        sharedLimit.register(this);
    }

    /** Accepts attempts from now on. */
    public final void open() {
        accepting = true;
    }

    /** Accepts no new attempts: rejects waiting ones, drains connections that are up, closes those being dialled. */
    public final void close() {
        accepting = false;
        connectionRequested = false;
        rejectAll(RejectionReason.SHUT);
        drainAll();
    }

    /** The upstream was replaced by another process: resets the backoff and drains the connections to the old one. */
    public final void upstreamRestarted(long nowNanos) {
        consecutiveFailures = 0;
        earliestDialNanos = nowNanos;
        drainAll();
        scheduleDispatch();
        if (connectionRequested) {
            dialOrReject(nowNanos);
        }
    }

    private void drainAll() {
        for (Entry<C> entry : List.copyOf(entries)) {
            if (entry.state == State.CONNECTING) {
                closeEntry(entry);
            } else {
                entry.state = State.ENDING;
                actions.drain(entry.connection);
            }
        }
    }

    private void closeEntry(Entry<C> entry) {
        if (connecting == entry) {
            connecting = null;
        }
        // Closed locally, so its end does not count as a failure of the upstream.
        entry.state = State.ENDING;
        actions.close(entry.connection);
    }

    /** Takes an attempt: assigns it to a connection, queues it or rejects it. */
    public final void offer(T attempt, long nowNanos) {
        if (!accepting) {
            actions.reject(attempt, RejectionReason.SHUT);
            return;
        }
        C available = waiting.isEmpty() ? connectionWithCredit() : null;
        if (available != null) {
            actions.assign(available, attempt);
        } else if (waiting.size() >= limits.maxWaiting()) {
            actions.reject(attempt, RejectionReason.FULL);
        } else {
            waiting.put(attempt, nowNanos);
            dialOrReject(nowNanos);
        }
    }

    /** Removes a waiting attempt at its own request; returns false if it was not waiting. */
    public final boolean withdraw(T attempt) {
        boolean waited = waiting.remove(attempt) != null;
        cancelUnneededRequest();
        return waited;
    }

    /** Requests an established connection without an attempt to assign to it. */
    public final Availability requestConnection(long nowNanos) {
        if (hasUsableConnection()) {
            return Availability.UP;
        }
        if (!accepting) {
            return Availability.CLOSED;
        }
        connectionRequested = true;
        tryDial(nowNanos);
        connectionRequested = connecting != null || pendingGrant == SharedConnectionLimit.Grant.PENDING;
        cancelUnneededRequest();
        return connectionRequested ? Availability.PENDING : Availability.UNAVAILABLE;
    }

    /** Whether the connection requested with {@link #requestConnection} is still pending. */
    public final boolean isConnectionRequested() {
        return connectionRequested;
    }

    /** A connection is established; it may already be without credit or no longer usable. */
    public final void connectionEstablished(C connection, long nowNanos) {
        Entry<C> entry = entryOf(connection);
        if (entry == null || entry.state != State.CONNECTING) {
            return;
        }
        if (!hasUsableConnection()) {
            usableSinceNanos = nowNanos;
        }
        entry.state = State.UP;
        connecting = null;
        connectionRequested = false;
        creditChanged(nowNanos);
    }

    /** The credit or usability of a connection may have changed. */
    public final void creditChanged(long nowNanos) {
        scheduleDispatch();
        if (!dispatchScheduled) {
            sharedLimit.connectionIdle(nowNanos);
        }
    }

    /**
     * The upstream has announced that a connection accepts no further attempts.
     *
     * @param useful whether it has served anything; if so, the next dial is not delayed
     */
    public final void connectionDraining(C connection, boolean useful, long nowNanos) {
        Entry<C> entry = entryOf(connection);
        if (entry != null && entry.state == State.UP) {
            entry.state = State.ENDING;
            updateBackoff(useful, nowNanos);
            scheduleDispatch();
        }
    }

    /** A connection has ended; called exactly once for each that was dialled. */
    public final void connectionEnded(C connection, boolean useful, long nowNanos) {
        Entry<C> entry = entryOf(connection);
        if (entry == null) {
            return;
        }
        entries.remove(entry);
        if (connecting == entry) {
            connecting = null;
            connectionRequested = false;
        }
        if (entry.state != State.ENDING) {
            updateBackoff(useful, nowNanos);
        }
        scheduleDispatch();
        sharedLimit.release(entry.evicted, nowNanos);
    }

    private void updateBackoff(boolean useful, long nowNanos) {
        if (useful) {
            consecutiveFailures = 0;
        } else {
            earliestDialNanos =
                    nowNanos + (limits.redialDelayNanos() << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS));
            consecutiveFailures++;
        }
    }

    /**
     * Runs the dispatch requested with {@link Actions#scheduleDispatch}: assigns waiting attempts in order of
     * arrival.
     */
    public final void dispatch(long nowNanos) {
        dispatchScheduled = false;
        tick(nowNanos);
        if (!dispatchScheduled) {
            sharedLimit.connectionIdle(nowNanos);
        }
    }

    /** Called at the time returned by {@link #nextTickNanos()}, or later. */
    public final void tick(long nowNanos) {
        while (accepting && !waiting.isEmpty()) {
            C available = connectionWithCredit();
            if (available == null) {
                break;
            }
            T next = oldestWaiting();
            waiting.remove(next);
            actions.assign(available, next);
        }
        if (!hasConnectionOrPending()) {
            dialOrReject(nowNanos);
        }
        while (!waiting.isEmpty() && !onlyConnecting() && waitDeadline() - nowNanos <= 0) {
            T next = oldestWaiting();
            waiting.remove(next);
            actions.reject(next, RejectionReason.STARVED);
        }
        dialOrReject(nowNanos);
        cancelUnneededRequest();
    }

    /** Returns the time for the next {@link #tick}, or {@link #NEVER}. */
    public final long nextTickNanos() {
        long dueNanos = waiting.isEmpty() || onlyConnecting() ? NEVER : waitDeadline();
        if (wantsConnection() && connecting == null && pendingGrant == null && belowConnectionLimit()) {
            dueNanos = dueNanos == NEVER || earliestDialNanos - dueNanos < 0 ? earliestDialNanos : dueNanos;
        }
        return dueNanos;
    }

    /** Closes connections that have been idle for longer than this. */
    public final void closeIdle(long maxIdleNanos, long nowNanos) {
        for (Entry<C> entry : List.copyOf(entries)) {
            if (entry.state == State.UP
                    && entry.connection.isIdle()
                    && nowNanos - entry.connection.idleSinceNanos() > maxIdleNanos) {
                closeEntry(entry);
            }
        }
    }

    /** Returns all connections that have not ended, oldest first. */
    public final List<C> connections() {
        return entries.stream().map(entry -> entry.connection).toList();
    }

    /** Unregisters a closed pool from the shared limit; returns false while the pool is open or has connections. */
    public final boolean unregisterIfEmpty() {
        if (accepting || !entries.isEmpty()) {
            return false;
        }
        sharedLimit.unregister(this);
        return true;
    }

    final PooledConnection longestIdleConnection() {
        Entry<C> longestIdle = longestIdleEntry();
        return longestIdle == null ? null : longestIdle.connection;
    }

    private Entry<C> longestIdleEntry() {
        Entry<C> longestIdle = null;
        for (Entry<C> entry : entries) {
            // An idle connection with credit is about to be used if attempts are waiting.
            if (entry.state == State.UP
                    && entry.connection.isIdle()
                    && (waiting.isEmpty() || entry.connection.credit() == 0)
                    && (longestIdle == null
                            || entry.connection.idleSinceNanos() - longestIdle.connection.idleSinceNanos() < 0)) {
                longestIdle = entry;
            }
        }
        return longestIdle;
    }

    final void evictLongestIdle(long nowNanos) {
        Entry<C> longestIdle = longestIdleEntry();
        longestIdle.evicted = true;
        closeEntry(longestIdle);
    }

    /** The shared limit now allows the connection that this pool requested. */
    final void capacityAvailable(long nowNanos) {
        pendingGrant = null;
        dialOrReject(nowNanos);
    }

    /** Whether more attempts are waiting than the established connections have credit for. */
    boolean needsMoreCredit() {
        long credit = 0;
        for (Entry<C> entry : entries) {
            credit += entry.state == State.UP ? entry.connection.credit() : 0;
        }
        return waiting.size() > credit;
    }

    private boolean wantsConnection() {
        return accepting && (connectionRequested && !hasUsableConnection() || !waiting.isEmpty() && needsMoreCredit());
    }

    /** Dials if another connection is needed; rejects all waiting attempts if none can be expected. */
    private void dialOrReject(long nowNanos) {
        if (wantsConnection()) {
            tryDial(nowNanos);
            if (!hasConnectionOrPending()) {
                rejectAll(consecutiveFailures > 0 ? RejectionReason.UNREACHABLE : RejectionReason.NO_ROOM);
            }
        }
    }

    private void tryDial(long nowNanos) {
        if (connecting != null || !belowConnectionLimit() || nowNanos - earliestDialNanos < 0) {
            return;
        }
        SharedConnectionLimit.Grant grant = sharedLimit.acquire(this, nowNanos);
        pendingGrant = grant == SharedConnectionLimit.Grant.GRANTED ? null : grant;
        if (pendingGrant == null) {
            connecting = new Entry<>(actions.dial());
            entries.add(connecting);
        }
    }

    private boolean belowConnectionLimit() {
        int usable = 0;
        for (Entry<C> entry : entries) {
            usable += isUsable(entry) ? 1 : 0;
        }
        return usable < limits.maxConnections() && entries.size() < 2 * limits.maxConnections();
    }

    private void cancelUnneededRequest() {
        if (pendingGrant != null && !wantsConnection()) {
            pendingGrant = null;
            sharedLimit.cancelRequest(this);
        }
    }

    /** Whether a connection for the waiting attempts exists or is pending. */
    private boolean hasConnectionOrPending() {
        return connecting != null || pendingGrant == SharedConnectionLimit.Grant.PENDING || hasUsableConnection();
    }

    private boolean onlyConnecting() {
        return connecting != null && !hasUsableConnection();
    }

    private long waitDeadline() {
        long startNanos = waiting.values().iterator().next();
        return (startNanos - usableSinceNanos > 0 ? startNanos : usableSinceNanos) + limits.waitTimeoutNanos();
    }

    private T oldestWaiting() {
        return waiting.keySet().iterator().next();
    }

    private void scheduleDispatch() {
        if (!dispatchScheduled && !waiting.isEmpty()) {
            dispatchScheduled = true;
            actions.scheduleDispatch();
        }
    }

    private void rejectAll(RejectionReason reason) {
        for (T attempt : List.copyOf(waiting.keySet())) {
            if (waiting.remove(attempt) != null) {
                actions.reject(attempt, reason);
            }
        }
    }

    private C connectionWithCredit() {
        for (Entry<C> entry : entries) {
            if (entry.state == State.UP && entry.connection.credit() > 0) {
                return entry.connection;
            }
        }
        return null;
    }

    private static boolean isUsable(Entry<? extends PooledConnection> entry) {
        return entry.state == State.CONNECTING || entry.state == State.UP && entry.connection.isUsable();
    }

    /** Whether an established connection has credit or may regain it. */
    private boolean hasUsableConnection() {
        for (Entry<C> entry : entries) {
            if (entry.state == State.UP && entry.connection.isUsable()) {
                return true;
            }
        }
        return false;
    }

    private Entry<C> entryOf(C connection) {
        for (Entry<C> entry : entries) {
            if (entry.connection == connection) {
                return entry;
            }
        }
        return null;
    }
}
