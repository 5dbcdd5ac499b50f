package pondridge.core;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Counts unusual events by kind, and writes at most one line for each kind and second. Thread-safe. */
public final class EventCounters {
    private static final long LINE_INTERVAL_NANOS = 1_000_000_000;

    /** Kinds of events; the names appear in the log. */
    public enum Kind {
        /** The event loop did not poll its sockets for a while. */
        LOOP_STALLED,
        /** A request had no time left when it was read. */
        REQUEST_EXPIRED,
        /** An attempt was not begun because its client had disconnected. */
        CLIENT_GONE,
        /** A client's connection held more than could be read before a request was forwarded, perhaps its end. */
        CLIENT_UNREAD,
        /** The listener could not accept a connection. */
        ACCEPT_FAILED,
        /** A message was not accepted, because the memory for messages in transit is used up. */
        BUFFERS_FULL,
        /** A connection was closed by an error that is neither the peer's nor the network's. */
        CONNECTION_FAILED
    }

    private static final class Counter {
        private long total;
        private long lastLineAt;
    }

    private final Map<Kind, Counter> counters = new EnumMap<>(Kind.class);
    private final Consumer<String> log;
    private final LongSupplier nanoClock;

    /**
     * Creates counters at zero.
     *
     * @param log receives each line
     * @param nanoClock monotonic time in nanoseconds
     */
    public EventCounters(Consumer<String> log, LongSupplier nanoClock) {
        this.log = log;
        this.nanoClock = nanoClock;
        for (Kind kind : Kind.values()) {
            counters.put(kind, new Counter());
        }
    }

    /** Counters that write nothing. */
    public static EventCounters unlogged() {
        return new EventCounters(line -> {}, System::nanoTime);
    }

    /** Counters that write to standard error. */
    public static EventCounters toStandardError() {
        return new EventCounters(line -> System.err.println("pondridge: " + line), System::nanoTime);
    }

    /** Counts an event; the detail is evaluated only if a line is written. */
    public synchronized void count(Kind kind, Supplier<String> detail) {
        Counter counter = counters.get(kind);
        long now = nanoClock.getAsLong();
        if (++counter.total == 1 || now - counter.lastLineAt >= LINE_INTERVAL_NANOS) {
            counter.lastLineAt = now;
            log.accept("event=" + kind + " total=" + counter.total + " last=\"" + detail.get() + '"');
        }
    }

    /** How many events of this kind have been counted. */
    public synchronized long total(Kind kind) {
        return counters.get(kind).total;
    }
}
