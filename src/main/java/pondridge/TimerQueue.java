package pondridge;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** Multiplexes the balancer's timers onto one timer of the host, in order of time and then of scheduling. */
final class TimerQueue {
    private record Timer(long dueNanos, long sequence, LongConsumer callback) {}

    private final PriorityQueue<Timer> queue = new PriorityQueue<>((a, b) ->
            a.dueNanos != b.dueNanos ? Long.compare(a.dueNanos, b.dueNanos) : Long.compare(a.sequence, b.sequence));
    private long nextSequence;
    private long hostTimerNanos = Long.MAX_VALUE;
    private long hostTimerToken;
    private final Balancer.Actions actions;

    TimerQueue(Balancer.Actions actions) {
        this.actions = actions;
    }

    /** Calls {@code callback} with the current time once {@code dueNanos} is reached. */
    void schedule(long dueNanos, LongConsumer callback) {
        queue.add(new Timer(dueNanos, nextSequence++, callback));
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
            queue.poll().callback.accept(now);
        }
    }
}
