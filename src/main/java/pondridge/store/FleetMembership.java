package pondridge.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Estimates how many members share the store, for dividing shared budgets. It uses the largest recent count,
 * so that a store that loses members, or shows only some of them, makes no member's share larger. No I/O;
 * times in nanoseconds of this sidecar's clock.
 */
final class FleetMembership {
    private record MemberCount(long atNanos, long count) {}

    private final long retentionNanos;
    private final long settleNanos;
    private final ArrayDeque<MemberCount> largestCounts = new ArrayDeque<>();
    private double meanRate;
    private long firstCountNanos;
    private boolean anyCount;

    /**
     * Starts without any count.
     *
     * @param retentionNanos how long a count is kept
     * @param settleNanos how long counts must have been received before they are used: while a whole fleet
     *     starts, the count is still growing
     */
    FleetMembership(long retentionNanos, long settleNanos) {
        this.retentionNanos = retentionNanos;
        this.settleNanos = settleNanos;
    }

    /** Records how many members wrote to the store recently. */
    void recordCount(long count, long nowNanos) {
        if (!anyCount) {
            anyCount = true;
            firstCountNanos = nowNanos;
        }
        // A count below a later one can no longer be the largest; the remaining ones decrease from first to last.
        while (!largestCounts.isEmpty() && largestCounts.peekLast().count <= count) {
            largestCounts.pollLast();
        }
        largestCounts.add(new MemberCount(nowNanos, count));
        removeExpired(nowNanos);
    }

    private void removeExpired(long nowNanos) {
        while (!largestCounts.isEmpty() && nowNanos - largestCounts.peek().atNanos > retentionNanos) {
            largestCounts.poll();
        }
    }

    /** Records the request rates of a random sample of other members and of this one; 0 means unknown. */
    void recordRates(List<Double> sampledRates, double ownRate) {
        List<Double> rates = new ArrayList<>(sampledRates);
        rates.add(ownRate);
        meanRate = rates.stream()
                .filter(rate -> rate > 0)
                .mapToDouble(rate -> rate)
                .average()
                .orElse(0);
    }

    /** This member's traffic relative to the mean of all. */
    double trafficWeight(double ownRate) {
        return meanRate == 0 ? 1 : ownRate / meanRate;
    }

    /** The largest recent count, at least 1. */
    long size(long nowNanos) {
        removeExpired(nowNanos);
        return largestCounts.isEmpty() ? 1 : Math.max(1, largestCounts.peek().count);
    }

    /** Whether counts have been received for long enough, and recently. */
    boolean isSettled(long nowNanos) {
        removeExpired(nowNanos);
        return anyCount && !largestCounts.isEmpty() && nowNanos - firstCountNanos >= settleNanos;
    }
}
