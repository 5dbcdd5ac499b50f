package pondridge.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Who shares the store, for dividing what all have together: the most that was seen in a while, so that a
 * store that forgets members, or shows only part of them, makes nobody's share larger. No I/O; times in
 * nanoseconds, on this sidecar's clock.
 */
final class Members {
    private record Seen(long at, long count) {}

    private final long memory;
    private final long settles;
    private final ArrayDeque<Seen> most = new ArrayDeque<>();
    private double meanRate;
    private long first;
    private boolean any;

    /**
     * Nobody seen so far.
     *
     * @param memory how long a count holds
     * @param settles how long counts must have come before they are gone by: who starts with a whole fleet
     * sees it come
     */
    Members(long memory, long settles) {
        this.memory = memory;
        this.settles = settles;
    }

    /** So many wrote to the store lately. */
    void seen(long count, long now) {
        if (!any) {
            any = true;
            first = now;
        }
        // What is less than a later count can't be the most any more: the rest falls from first to last.
        while (!most.isEmpty() && most.peekLast().count <= count) {
            most.pollLast();
        }
        most.add(new Seen(now, count));
        forget(now);
    }

    private void forget(long now) {
        while (!most.isEmpty() && now - most.peek().at > memory) {
            most.poll();
        }
    }

    /** Some others say how many requests a second they are asked, drawn at random; 0 is no word. */
    void rates(List<Double> told, double own) {
        List<Double> said = new ArrayList<>(told);
        said.add(own);
        meanRate = said.stream()
                .filter(rate -> rate > 0)
                .mapToDouble(rate -> rate)
                .average()
                .orElse(0);
    }

    /** This member's traffic beside the mean of all. */
    double weight(double own) {
        return meanRate == 0 ? 1 : own / meanRate;
    }

    /** The most seen, at least 1. */
    long most(long now) {
        forget(now);
        return most.isEmpty() ? 1 : Math.max(1, most.peek().count);
    }

    /** Whether counts have come for long enough, and lately. */
    boolean settled(long now) {
        forget(now);
        return any && !most.isEmpty() && now - first >= settles;
    }
}
