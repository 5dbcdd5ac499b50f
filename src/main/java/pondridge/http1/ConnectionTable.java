package pondridge.http1;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The client connections of one listener by their state, those longest in it first. Decides which connection
 * has outlived its time limit and which one may be closed to make room for another. It does no I/O; all times
 * are nanoseconds of one clock. Used by one thread.
 *
 * @param <C> the connection itself, which this class never touches
 */
final class ConnectionTable<C> {
    /** From connecting, or on a used connection from the request's first byte, to its last one. */
    static final long REQUEST_TIMEOUT_NANOS = 2_500_000_000L;
    /** A connection that was used and waits for the next request. */
    static final long IDLE_TIMEOUT_NANOS = 3_000_000_000L;
    /** A client that does not read its response holds memory. */
    static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;
    /** After the last response, for the client to read it and to close. */
    static final long LINGER_TIMEOUT_NANOS = 1_000_000_000L;
    /** While draining, for the first request on a connection just made. */
    static final long NEW_WHILE_DRAINING_NANOS = 300_000_000L;
    /** A connection that has sent nothing for so long makes room before a used one does. */
    static final long SILENT_NANOS = 100_000_000L;

    /** What a connection is doing. */
    enum State {
        /** Sent its last response; whatever still arrives is discarded. */
        LINGERING(LINGER_TIMEOUT_NANOS),
        /** Answered before, and waits for the next request. */
        IDLE(IDLE_TIMEOUT_NANOS),
        /** Connected, and nothing has been read. */
        NEW(REQUEST_TIMEOUT_NANOS),
        /** Part of a request has been read. */
        READING(REQUEST_TIMEOUT_NANOS),
        /** A whole request has been read and not been answered. */
        ASKED(Long.MAX_VALUE),
        /** The response is being written. */
        ANSWERED(WRITE_TIMEOUT_NANOS);

        private final long timeoutNanos;

        State(long timeoutNanos) {
            this.timeoutNanos = timeoutNanos;
        }
    }

    /** One connection's place in the table. */
    static final class Entry<C> {
        final C connection;
        private final long number;
        private State state;
        private long since;
        private boolean removed;

        private Entry(C connection, long number, long since) {
            this.connection = connection;
            this.number = number;
            this.state = State.NEW;
            this.since = since;
        }

        State state() {
            return state;
        }

        /** When it entered its state; part of a first request counts from the connecting. */
        long since() {
            return since;
        }
    }

    private final Map<State, TreeSet<Entry<C>>> byState = new EnumMap<>(State.class);
    private long lastNumber;
    private int size;

    ConnectionTable() {
        Comparator<Entry<C>> longestFirst = Comparator.comparingLong(entry -> entry.since);
        for (State state : State.values()) {
            byState.put(state, new TreeSet<>(longestFirst.thenComparingLong(entry -> entry.number)));
        }
    }

    /** Adds a connection that was just accepted. */
    Entry<C> add(C connection, long now) {
        Entry<C> entry = new Entry<>(connection, ++lastNumber, now);
        byState.get(State.NEW).add(entry);
        size++;
        return entry;
    }

    /** Moves a connection to a state; does nothing for one that was removed. */
    void enter(Entry<C> entry, State state, long since) {
        if (!entry.removed) {
            byState.get(entry.state).remove(entry);
        }
        entry.state = state;
        entry.since = since;
        if (!entry.removed) {
            byState.get(state).add(entry);
        }
    }

    /** Removes a connection; may be called more than once. */
    void remove(Entry<C> entry) {
        if (!entry.removed) {
            entry.removed = true;
            byState.get(entry.state).remove(entry);
            size--;
        }
    }

    int size() {
        return size;
    }

    /** All connections in a state, the longest in it first. */
    List<Entry<C>> in(State state) {
        return List.copyOf(byState.get(state));
    }

    /**
     * The connection to close first where another needs its place, or null where each one has a request that
     * is not answered: first what lingers, then what never sent anything, then what is idle, then what was
     * accepted just now, last what has sent part of a request.
     */
    Entry<C> leastMissed(long now) {
        Entry<C> unused = first(State.NEW);
        Entry<C> silent = unused != null && now - unused.since > SILENT_NANOS ? unused : null;
        return firstOf(first(State.LINGERING), silent, first(State.IDLE), unused, first(State.READING));
    }

    /** The connections that have been in their state for longer than it may last. */
    List<Entry<C>> expired(long now, boolean draining) {
        List<Entry<C>> expired = new ArrayList<>();
        byState.forEach((state, entries) -> {
            long timeout = state == State.NEW && draining ? NEW_WHILE_DRAINING_NANOS : state.timeoutNanos;
            for (Entry<C> entry : entries) {
                if (now - entry.since <= timeout) {
                    break;
                }
                expired.add(entry);
            }
        });
        return expired;
    }

    private Entry<C> first(State state) {
        TreeSet<Entry<C>> entries = byState.get(state);
        return entries.isEmpty() ? null : entries.first();
    }

    @SafeVarargs
    private static <C> Entry<C> firstOf(Entry<C>... entries) {
        for (Entry<C> entry : entries) {
            if (entry != null) {
                return entry;
            }
        }
        return null;
    }
}
