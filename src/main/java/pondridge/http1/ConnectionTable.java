package pondridge.http1;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The client connections of one listener by state, ordered by the time spent in it, longest first. Decides
 * which connections have exceeded the timeout of their state and which one to close in favour of a new one.
 * It does no I/O; all times are nanoseconds of one clock. Not thread-safe.
 *
 * @param <C> the connection, which this class does not use
 */
final class ConnectionTable<C> {
    /** From the accept, or on a reused connection from the request's first byte, to its last byte. */
    static final long REQUEST_TIMEOUT_NANOS = 2_500_000_000L;
    /** On a reused connection, from the last response to the next request. */
    static final long IDLE_TIMEOUT_NANOS = 3_000_000_000L;
    /** For writing a response. A client that does not read its response occupies memory. */
    static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;
    /** After the last response, for the client to read it and to close the connection. */
    static final long LINGER_TIMEOUT_NANOS = 1_000_000_000L;
    /** While draining, for the first request on a new connection. */
    static final long NEW_WHILE_DRAINING_NANOS = 300_000_000L;
    /** A new connection that has sent nothing for this long is evicted before an idle one. */
    static final long SILENT_NANOS = 100_000_000L;

    /** The state of a connection; the names appear in the request log. */
    enum State {
        /** The last response has been sent; what still arrives is discarded. */
        LINGERING(LINGER_TIMEOUT_NANOS),
        /** A response has been sent; the next request is awaited. */
        IDLE(IDLE_TIMEOUT_NANOS),
        /** Accepted; nothing has been read. */
        NEW(REQUEST_TIMEOUT_NANOS),
        /** Part of a request has been read. */
        READING(REQUEST_TIMEOUT_NANOS),
        /** A complete request has been read; its response is pending. */
        ASKED(Long.MAX_VALUE),
        /** The response is being written. */
        ANSWERED(WRITE_TIMEOUT_NANOS);

        private final long timeoutNanos;

        State(long timeoutNanos) {
            this.timeoutNanos = timeoutNanos;
        }
    }

    /** The table's entry for one connection. */
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

        /** When the connection entered its state. Reading a first request counts from the accept. */
        long since() {
            return since;
        }
    }

    private final Comparator<Entry<C>> longestFirst =
            Comparator.<Entry<C>>comparingLong(entry -> entry.since).thenComparingLong(entry -> entry.number);
    private final Map<State, TreeSet<Entry<C>>> byState = new EnumMap<>(State.class);
    private long lastNumber;
    private int size;

    ConnectionTable() {
        for (State state : State.values()) {
            byState.put(state, new TreeSet<>(longestFirst));
        }
    }

    /** Adds a connection that was just accepted. */
    Entry<C> add(C connection, long now) {
        Entry<C> entry = new Entry<>(connection, ++lastNumber, now);
        byState.get(State.NEW).add(entry);
        size++;
        return entry;
    }

    /** Moves a connection to a state. For a removed connection only the entry changes, not the table. */
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
    List<Entry<C>> inState(State state) {
        return List.copyOf(byState.get(state));
    }

    /**
     * The connection to close in favour of a new one, or null if each one has a request whose response is
     * pending or being written. The order is: lingering, new and silent for {@link #SILENT_NANOS}, idle, and last
     * the one whose request has been awaited or incomplete for longest: one that was just accepted is about to send
     * its request, however many others have sent half of theirs.
     */
    Entry<C> evictionCandidate(long now) {
        return firstNonNull(restingCandidate(now), longer(first(State.NEW), first(State.READING)));
    }

    /** The connection to close that has no request and does not seem to be about to send its first, or null. */
    Entry<C> restingCandidate(long now) {
        Entry<C> oldestNew = first(State.NEW);
        Entry<C> silent = oldestNew != null && now - oldestNew.since > SILENT_NANOS ? oldestNew : null;
        return firstNonNull(first(State.LINGERING), silent, first(State.IDLE));
    }

    /** The connections that have exceeded the timeout of their state. */
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

    /** The one of two entries that has been in its state for longer; null counts as not at all. */
    private Entry<C> longer(Entry<C> one, Entry<C> other) {
        if (one == null || other == null) {
            return firstNonNull(one, other);
        }
        return longestFirst.compare(one, other) <= 0 ? one : other;
    }

    @SafeVarargs
    private static <C> Entry<C> firstNonNull(Entry<C>... entries) {
        for (Entry<C> entry : entries) {
            if (entry != null) {
                return entry;
            }
        }
        return null;
    }
}
