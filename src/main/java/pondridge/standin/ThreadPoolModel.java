package pondridge.standin;

import java.util.PriorityQueue;

/**
 * Models the threads of a server and the FIFO queue in front of them: it computes on arrival when a request
 * completes. The caller passes the time; all times are in nanoseconds. Not thread-safe.
 */
final class ThreadPoolModel {
    private final int queueCapacity;
    private final PriorityQueue<Long> threadFreeNanos = new PriorityQueue<>();
    private final PriorityQueue<Long> queuedStartNanos = new PriorityQueue<>();

    /** Creates a pool of idle threads with a queue of this capacity. */
    ThreadPoolModel(int threads, int queueCapacity) {
        this.queueCapacity = queueCapacity;
        for (int i = 0; i < threads; i++) {
            threadFreeNanos.add(Long.MIN_VALUE);
        }
    }

    /** Whether a thread is idle or the queue has a free slot. */
    boolean hasCapacity(long nowNanos) {
        while (!queuedStartNanos.isEmpty() && queuedStartNanos.peek() <= nowNanos) {
            queuedStartNanos.poll();
        }
        return threadFreeNanos.peek() <= nowNanos || queuedStartNanos.size() < queueCapacity;
    }

    /** Accepts a request with this work time; returns the time from now until it completes. */
    long accept(long nowNanos, long workNanos) {
        long startNanos = Math.max(nowNanos, threadFreeNanos.poll());
        threadFreeNanos.add(startNanos + workNanos);
        if (startNanos > nowNanos) {
            queuedStartNanos.add(startNanos);
        }
        return startNanos + workNanos - nowNanos;
    }
}
