package pondridge.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;

/**
 * The watchers of a source or a relay: who is told what, and when. For each there is at most one update that
 * it has not acknowledged; what happens meanwhile is folded into the next. So a slow one costs one message
 * and holds up nobody. Times in nanoseconds; no I/O, not for several threads.
 */
final class Serving {
    /**
     * Bounds.
     *
     * @param bytesPerSecond for each watcher, on the mean
     * @param burst bytes that a watcher may get at once, beyond it
     * @param relayBytesPerSecond the same for a relay, which may get a second's worth at once
     * @param joinsPerSecond first answers of all watchers together; so N that come at once are all answered
     * after N / this
     * @param mostWatchers at a time
     * @param gap between two updates for a watcher, so that what comes in a row folds
     * @param beat without news a word is given so often
     * @param ackWithin an update not acknowledged by then ends the call
     */
    record Limits(
            double bytesPerSecond,
            double burst,
            double relayBytesPerSecond,
            double joinsPerSecond,
            int mostWatchers,
            long gap,
            long beat,
            long ackWithin) {}

    /**
     * What is to be done for a watcher.
     *
     * @param update to be sent now; null for none
     * @param alive whether it is to be told only that there is somebody: it waits for its turn
     * @param at when to ask again
     * @param end why the call is to be ended; null for not
     */
    record Step(Update update, boolean alive, long at, String end) {
        Step(Update update, long at, String end) {
            this(update, false, at, end);
        }
    }

    private static final class Watcher {
        private final Hello hello;
        private final Pace pace;
        private final long joinAt;
        private Version has;
        private boolean inFlight;
        private long serial;
        private boolean answered;
        private long sentAt;
        private long wordAt;
        private Sums below = Sums.NONE;

        Watcher(Hello hello, Pace pace, long joinAt, long now) {
            this.hello = hello;
            this.pace = pace;
            this.joinAt = joinAt;
            this.wordAt = now;
            this.has = hello.version();
        }
    }

    private final Limits limits;
    private final Supplier<Holdings> held;
    private final LongUnaryOperator age;
    private final Map<Long, Watcher> watchers = new HashMap<>();
    private final Map<String, Long> byInstance = new HashMap<>();
    private long nextJoin = Long.MIN_VALUE;
    private long wholes;
    private long differences;
    private long refused;

    /**
     * None yet.
     *
     * @param age of what is held, at a time; MAX where nothing is known
     */
    Serving(Limits limits, Supplier<Holdings> held, LongUnaryOperator age) {
        this.limits = limits;
        this.held = held;
        this.age = age;
    }

    int watchers() {
        return watchers.size();
    }

    long wholes() {
        return wholes;
    }

    long differences() {
        return differences;
    }

    /** Updates that a watcher could not take. */
    long refused() {
        return refused;
    }

    /** Why no more are taken; null while some are. */
    String full() {
        return watchers.size() < limits.mostWatchers ? null : "full: " + limits.mostWatchers + " watchers at most";
    }

    /**
     * A watcher has come, by a call with a new id.
     *
     * @return the id of its former call, which is to be ended; -1 for none
     */
    long joined(long id, Hello hello, long now) {
        Long former = byInstance.put(hello.instance(), id);
        nextJoin = Math.max(now, nextJoin);
        Pace pace = hello.passesOn()
                ? new Pace(limits.relayBytesPerSecond, limits.relayBytesPerSecond, now)
                : new Pace(limits.bytesPerSecond, limits.burst, now);
        watchers.put(id, new Watcher(hello, pace, nextJoin, now));
        nextJoin += (long) (1e9 / limits.joinsPerSecond);
        return former == null ? -1 : former;
    }

    /** A call is over. */
    void left(long id) {
        Watcher watcher = watchers.remove(id);
        if (watcher != null) {
            byInstance.remove(watcher.hello.instance(), id);
        }
    }

    /** What is to be done for a watcher now; it counts as done. */
    Step next(long id, long now) {
        Watcher watcher = watchers.get(id);
        if (watcher == null) {
            return new Step(null, Long.MAX_VALUE, "not known");
        }
        if (watcher.inFlight) {
            long until = watcher.sentAt + limits.ackWithin;
            return new Step(
                    null, until, now < until ? null : "nothing acknowledged in time: " + watcher.hello.instance());
        }
        long from = Math.max(watcher.joinAt, watcher.pace.from(now));
        if (watcher.answered) {
            from = Math.max(from, watcher.sentAt + (news(watcher) ? limits.gap : limits.beat));
        }
        if (now < from) {
            // Who waits in silence would leave, and be the last in the next queue.
            boolean alive = now - watcher.wordAt >= limits.beat;
            watcher.wordAt = alive ? now : watcher.wordAt;
            return new Step(null, alive, Math.min(from, watcher.wordAt + limits.beat), null);
        }
        Update update = update(watcher, now);
        watcher.inFlight = true;
        watcher.answered = true;
        watcher.sentAt = now;
        watcher.wordAt = now;
        return new Step(update, now + limits.ackWithin, null);
    }

    /** What the last update of a watcher came to, as bytes. */
    void sent(long id, int bytes) {
        Watcher watcher = watchers.get(id);
        if (watcher != null) {
            watcher.pace.take(bytes);
        }
    }

    /** Whether there is more to be known than a watcher has; not where it is itself ahead. */
    private boolean news(Watcher watcher) {
        Version own = held.get().version();
        return watcher.has.compareTo(own) < 0
                && (watcher.has.epoch() != own.epoch()
                        || held.get().changedSince(watcher.has.number(), watcher.hello.services()));
    }

    private Update update(Watcher watcher, long now) {
        Holdings all = held.get();
        Hello hello = watcher.hello;
        boolean ahead = watcher.has.compareTo(all.version()) >= 0;
        boolean whole = !ahead && (watcher.has.epoch() != all.version().epoch() || watcher.has.number() < all.floor());
        long from = whole ? 0 : Math.min(watcher.has.number(), all.version().number());
        List<Change> changes = ahead ? List.of() : all.since(whole ? -1 : from, hello.services(), hello.passesOn());
        wholes += whole ? 1 : 0;
        differences += !whole && !changes.isEmpty() ? 1 : 0;
        List<String> absent = new ArrayList<>();
        for (String each : hello.services()) {
            if (!all.has(each)) {
                absent.add(each);
            }
        }
        long old = age.applyAsLong(now);
        return new Update(
                ++watcher.serial,
                all.version(),
                whole,
                ahead ? all.version().number() : from,
                hello.passesOn() ? all.floor() : 0,
                changes,
                absent,
                all.digest(hello.services()),
                old == Long.MAX_VALUE ? -1 : old / 1_000_000);
    }

    /** A watcher has said what it has. */
    void acknowledged(long id, Ack ack) {
        Watcher watcher = watchers.get(id);
        if (watcher == null) {
            return;
        }
        watcher.below = watcher.hello.passesOn() ? ack.sums() : Sums.NONE;
        if (!watcher.inFlight || ack.serial() != watcher.serial) {
            return;
        }
        watcher.inFlight = false;
        boolean whole = ack.verdict() == FollowerState.Verdict.MISMATCH;
        refused += whole || ack.verdict() == FollowerState.Verdict.GAP ? 1 : 0;
        watcher.has = whole ? Version.NONE : ack.version();
    }

    /**
     * All below. A follower that lacks nothing of its own services counts as having the newest, whenever its
     * last update was.
     */
    Sums sums() {
        Version own = held.get().version();
        Sums sum = Sums.NONE;
        for (Watcher each : watchers.values()) {
            if (each.hello.passesOn()) {
                sum = sum.plus(each.below);
            } else {
                boolean behind = news(each);
                sum = sum.plus(new Sums(
                        1,
                        behind || each.has.compareTo(own) > 0 ? each.has : own,
                        behind ? List.of(each.hello.instance()) : List.of()));
            }
        }
        return sum;
    }
}
