package pondridge;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** Multiplexes the balancer's timers onto one timer of the host, in order of time and then of scheduling. */
final class TimerQueue {
    /** The queue is cleared of cancelled timers when they are most of it and it is longer than this. */
    private static final int MAX_UNCLEARED = 4_096;

    /** A scheduled timer. */
    static final class Timer {
        private final long dueNanos;
        private final long sequence;
        /** Null if the timer was cancelled. */
        private LongConsumer callback;

        private Timer(long dueNanos, long sequence, LongConsumer callback) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.callback = callback;
        }

        private boolean isCancelled() {
            return callback == null;
        }
    }

    private final PriorityQueue<Timer> queue = new PriorityQueue<>((a, b) ->
            a.dueNanos != b.dueNanos ? Long.compare(a.dueNanos, b.dueNanos) : Long.compare(a.sequence, b.sequence));
    private long nextSequence;
    private int cancelled;
    private long hostTimerNanos = Long.MAX_VALUE;
    private long hostTimerToken;
    private final Balancer.Actions actions;

    TimerQueue(Balancer.Actions actions) {
        this.actions = actions;
    }

    /** Calls {@code callback} with the current time once {@code dueNanos} is reached. */
    Timer schedule(long dueNanos, LongConsumer callback) {
        Timer timer = new Timer(dueNanos, nextSequence++, callback);
        queue.add(timer);
        return timer;
    }

    /**
     * Cancels a timer, which may have fired or be null. What its callback refers to is released at once: the timers of
     * requests that ended early would otherwise hold memory until the requests' deadlines.
     */
    void cancel(Timer timer) {
        if (timer == null || timer.isCancelled()) {
            return;
        }
        timer.callback = null;
        cancelled++;
        if (queue.size() > MAX_UNCLEARED && cancelled > queue.size() / 2) {
            queue.removeIf(Timer::isCancelled);
            cancelled = 0;
        }
    }

    /** The number of timers, cancelled ones that are still in the queue included. */
    int size() {
        return queue.size();
    }

    /** Sets the host's timer if the earliest timer is due before it. */
    void armHostTimer() {
        if (!queue.isEmpty() && queue.peek().dueNanos < hostTimerNanos) {
            hostTimerNanos = queue.peek().dueNanos;
            actions.setTimer(++hostTimerToken, hostTimerNanos);
        }
    }

    /**
     * Runs all timers that are due. The host's timer is identified by its token, not by its time: a coarse host
     * clock may fire it early, and compared by time it would then never be set again.
     */
    void runDueTimers(long now, long token) {
        if (token == hostTimerToken) {
            hostTimerNanos = Long.MAX_VALUE;
        }
        while (!queue.isEmpty() && queue.peek().dueNanos <= now) {
            Timer next = queue.poll();
            if (next.isCancelled()) {
                cancelled--;
            } else {
                LongConsumer callback = next.callback;
                next.callback = null;
                callback.accept(now);
            }
        }
    }
}
