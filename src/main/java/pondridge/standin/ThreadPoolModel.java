package pondridge.standin;

import java.util.PriorityQueue;

/**
 * Models the threads of a server and the FIFO queue in front of them: it computes on arrival when a request
 * completes. The caller passes the time; all times are in nanoseconds. Not thread-safe.
 */
final class ThreadPoolModel {
    private final int queueCapacity;
    private final PriorityQueue<Long> freeAt = new PriorityQueue<>();
    private final PriorityQueue<Long> queuedStarts = new PriorityQueue<>();

    /** Creates a pool of idle threads with a queue of this capacity. */
    ThreadPoolModel(int threads, int queueCapacity) {
        this.queueCapacity = queueCapacity;
        for (int i = 0; i < threads; i++) {
            freeAt.add(Long.MIN_VALUE);
        }
    }

    /** Whether a thread is idle or the queue has a free slot. */
    boolean hasCapacity(long now) {
        while (!queuedStarts.isEmpty() && queuedStarts.peek() <= now) {
            queuedStarts.poll();
        }
        return freeAt.peek() <= now || queuedStarts.size() < queueCapacity;
    }

    /** Accepts a request with this work time; returns the time from now until it completes. */
    long accept(long now, long workNanos) {
        long start = Math.max(now, freeAt.poll());
        freeAt.add(start + workNanos);
        if (start > now) {
            queuedStarts.add(start);
        }
        return start + workNanos - now;
    }
}
