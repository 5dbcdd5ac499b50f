package pondridge.scale;

import java.util.Locale;
import pondridge.scale.ScalePlan.Step;

/**
 * What one case at one size has cost. Processor times in nanoseconds over the case, from its begin until its
 * last change was known everywhere and its time was over.
 *
 * @param events what the costs are divided by for slopes: changes, seconds of quiet, or 1
 * @param seconds how long it was in all
 * @param missing followers that did not know in time
 * @param source what the source has done meanwhile
 * @param relayed what all relays have done meanwhile
 * @param failed calls of followers that failed, {@code failedDown} those before an outage's end
 * @param heapKb of one hollow sidecar after a collection, with the source's end of its watch
 * @param realKb resident memory of the largest real sidecar
 */
record Row(
        int size,
        int entries,
        Step step,
        double events,
        double seconds,
        Knowledge.Times known,
        int missing,
        ListWay.Counts source,
        long sourceCpu,
        ListWay.Counts relayed,
        long relayCpu,
        long followerCpu,
        long failed,
        long failedDown,
        double heapKb,
        long realCpu,
        long realKb) {
    /** What {@link #events} counts, in words. */
    String event() {
        return switch (step.act()) {
            case QUIET -> "second";
            case CHURN -> "change";
            case ZONE_GONE -> step.folded() ? "fold" : "change";
            case JOIN -> "join";
            default -> "return";
        };
    }

    /** Calls a second that failed while the source was away; 0 where it was not. */
    double failedPerSecond() {
        return step.outage() ? failedDown / (step.length() / 1e9) : 0;
    }

    /** One line for machines. */
    String line() {
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
                known.p50(),
                known.p99(),
                known.last(),
                missing,
                seconds,
                events,
                sourceCpu / 1e6,
                source.messages(),
                source.bytes(),
                source.calls(),
                source.lists(),
                heapKb,
                followerCpu / 1e6,
                relayCpu / 1e6,
                relayed.messages(),
                relayed.bytes(),
                relayed.lists(),
                relayed.changes(),
                failed,
                failedPerSecond(),
                realCpu / 1e6,
                realKb);
    }

    static String head() {
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

    /** One line of the table. */
    String cells() {
        return String.format(
                        Locale.ROOT,
                        "%6d %7d %-14s %9.1f %9.1f %9.1f %10.1f %9d %12d %8.1f %11.1f " + "%8.0f",
                        size,
                        entries,
                        step.name(),
                        known.p50(),
                        known.p99(),
                        known.last(),
                        sourceCpu / 1e6,
                        source.messages(),
                        source.bytes(),
                        heapKb,
                        followerCpu / 1e6,
                        failedPerSecond())
                + String.format(
                        Locale.ROOT,
                        " %9.1f %9d %12d %7d %7d",
                        relayCpu / 1e6,
                        relayed.messages(),
                        relayed.bytes(),
                        relayed.lists(),
                        relayed.changes());
    }
}
