package pondridge.scale;

import java.util.Locale;
import pondridge.scale.ScalePlan.Step;

/**
 * Cost of one case at one fleet size. CPU times cover the case from its start until its duration is over and its
 * last change has reached all followers.
 *
 * @param eventCount divisor of the costs for the slopes: number of changes, seconds of a quiet case, or 1
 * @param seconds total length of the case
 * @param missingFollowers followers that did not receive the last change in time
 * @param sourceCounts counters of the source during the case
 * @param relayCounts sums of the counters of all relays during the case
 * @param failedCalls failed list requests of followers
 * @param failedCallsInOutage those of {@code failedCalls} before the end of an outage
 * @param heapKibPerFollower heap of one hollow sidecar after a garbage collection, including the source's side of
 *     its watch
 * @param realResidentKib resident memory of the largest real sidecar
 */
record CaseResult(
        int size,
        int entries,
        Step step,
        double eventCount,
        double seconds,
        PropagationTracker.Times propagation,
        int missingFollowers,
        ListDistribution.Counts sourceCounts,
        long sourceCpuNanos,
        ListDistribution.Counts relayCounts,
        long relayCpuNanos,
        long followerCpuNanos,
        long failedCalls,
        long failedCallsInOutage,
        double heapKibPerFollower,
        long realCpuNanos,
        long realResidentKib) {
    /** Returns the unit of {@link #eventCount}. */
    String eventUnit() {
        return switch (step.act()) {
            case QUIET -> "second";
            case CHURN -> "change";
            case ZONE_GONE -> step.singleChange() ? "fold" : "change";
            case JOIN -> "join";
            default -> "return";
        };
    }

    /** Returns the failed list requests per second during the outage; 0 for a case without one. */
    double failedCallsPerSecondInOutage() {
        return step.outage() ? failedCallsInOutage / (step.durationNanos() / 1e9) : 0;
    }

    /** Returns the result as one line of {@code key=value} pairs. */
    String keyValueLine() {
        return String.format(
                Locale.ROOT,
                "scale: size=%d entries=%d case=%s known-p50-ms=%.1f "
                        + "known-p99-ms=%.1f known-last-ms=%.1f missing=%d seconds=%.1f events=%.0f "
                        + "source-cpu-ms=%.1f source-messages=%d source-bytes=%d source-calls=%d source-lists=%d "
                        + "follower-heap-kb=%.1f follower-cpu-ms=%.1f "
                        + "relay-cpu-ms=%.1f relay-messages=%d relay-bytes=%d relay-lists=%d relay-changes=%d "
                        + "failed-calls=%d failed-per-s-down=%.0f real-cpu-ms=%.0f real-rss-kb=%d",
                size,
                entries,
                step.name(),
                propagation.p50Millis(),
                propagation.p99Millis(),
                propagation.lastMillis(),
                missingFollowers,
                seconds,
                eventCount,
                sourceCpuNanos / 1e6,
                sourceCounts.messages(),
                sourceCounts.bytes(),
                sourceCounts.calls(),
                sourceCounts.fullLists(),
                heapKibPerFollower,
                followerCpuNanos / 1e6,
                relayCpuNanos / 1e6,
                relayCounts.messages(),
                relayCounts.bytes(),
                relayCounts.fullLists(),
                relayCounts.deltas(),
                failedCalls,
                failedCallsPerSecondInOutage(),
                realCpuNanos / 1e6,
                realResidentKib);
    }

    /** Returns the header of the table. */
    static String tableHeader() {
        return String.format(
                        Locale.ROOT,
                        "%6s %7s %-14s %9s %9s %9s %10s %9s %12s %8s %11s %8s",
                        "size",
                        "entries",
                        "case",
                        "p50 ms",
                        "p99 ms",
                        "last ms",
                        "source ms",
                        "messages",
                        "bytes",
                        "heap KB",
                        "followers ms",
                        "down/s")
                + String.format(
                        Locale.ROOT, " %9s %9s %12s %7s %7s", "relays ms", "messages", "bytes", "wholes", "changes");
    }

    /** Returns the result as one row of the table. */
    String tableRow() {
        return String.format(
                        Locale.ROOT,
                        "%6d %7d %-14s %9.1f %9.1f %9.1f %10.1f %9d %12d %8.1f %11.1f " + "%8.0f",
                        size,
                        entries,
                        step.name(),
                        propagation.p50Millis(),
                        propagation.p99Millis(),
                        propagation.lastMillis(),
                        sourceCpuNanos / 1e6,
                        sourceCounts.messages(),
                        sourceCounts.bytes(),
                        heapKibPerFollower,
                        followerCpuNanos / 1e6,
                        failedCallsPerSecondInOutage())
                + String.format(
                        Locale.ROOT,
                        " %9.1f %9d %12d %7d %7d",
                        relayCpuNanos / 1e6,
                        relayCounts.messages(),
                        relayCounts.bytes(),
                        relayCounts.fullLists(),
                        relayCounts.deltas());
    }
}
