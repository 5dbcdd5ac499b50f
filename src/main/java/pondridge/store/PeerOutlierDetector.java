package pondridge.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects outlier servers from the reports of other sidecars. A single sidecar cannot mark a server: a quorum
 * must find it slow, and they must outweigh the other sidecars that report on it. The report of a sidecar
 * that finds most of its servers slow is ignored, because the cause is probably the sidecar itself. At most a
 * configured fraction of the endpoint list is suspected, the slowest first. No I/O; times are arguments.
 */
final class PeerOutlierDetector {
    /**
     * Limits on the use of peer reports.
     *
     * @param maxAgeMillis older reports are ignored; in milliseconds of the store's clock
     * @param minAttempts attempts, summed over all reporting sidecars, that are enough to judge a server; with
     *     many sidecars each one has seen few of them
     * @param quorum sidecars that must find a server slow
     * @param maxSuspectedFraction largest fraction of the endpoint list that may be suspected
     */
    record Limits(long maxAgeMillis, int minAttempts, int quorum, double maxSuspectedFraction) {}

    /** A report read from the store, with its age by the store's clock. */
    record ReceivedReport(String member, long ageMillis, PeerReport report) {}

    /** A sidecar finds a server slow if more than this fraction of its attempts there were bad. */
    private static final double SLOW_SERVER_BAD_FRACTION = 0.5;
    /** A report that finds more than this fraction of its servers slow is ignored. */
    private static final double UNRELIABLE_REPORT_SLOW_FRACTION = 0.5;
    /** Reports on fewer servers are not checked for reliability. */
    private static final int MIN_SERVERS_FOR_RELIABILITY_CHECK = 4;
    /** Attempts counted per sidecar and server, so that no sidecar outvotes the others by its traffic. */
    private static final int MAX_ATTEMPTS_PER_REPORT = 3;

    private final Limits limits;
    private long droppedReports;

    PeerOutlierDetector(Limits limits) {
        this.limits = limits;
    }

    /** Reports that were ignored: too old, dated in the future, or unreliable. */
    long droppedReports() {
        return droppedReports;
    }

    private static boolean isSlow(ServerStats stats) {
        return stats.badAttempts() > SLOW_SERVER_BAD_FRACTION * stats.attempts();
    }

    private List<ServerStats> usableStats(ReceivedReport received) {
        if (received.ageMillis > limits.maxAgeMillis || received.ageMillis < -limits.maxAgeMillis) {
            return List.of();
        }
        List<ServerStats> servers = received.report.servers();
        long slowServers = servers.stream().filter(PeerOutlierDetector::isSlow).count();
        return servers.size() >= MIN_SERVERS_FOR_RELIABILITY_CHECK
                        && slowServers > UNRELIABLE_REPORT_SLOW_FRACTION * servers.size()
                ? List.of()
                : servers;
    }

    private static int weight(List<ServerStats> reported) {
        return reported.stream()
                .mapToInt(stats -> Math.min(MAX_ATTEMPTS_PER_REPORT, stats.attempts()))
                .sum();
    }

    /**
     * Suspected servers, each with the slowdown that other sidecars report; the slowest first.
     *
     * @param reports reports of other sidecars; of several from one sidecar, the most recent counts
     * @param readyServers servers that are ready
     */
    Map<String, Double> suspects(List<ReceivedReport> reports, Set<String> readyServers) {
        Map<String, ReceivedReport> latest = new HashMap<>();
        reports.forEach(each -> latest.merge(each.member, each, (a, b) -> a.ageMillis <= b.ageMillis ? a : b));
        Map<String, List<ServerStats>> statsByServer = new HashMap<>();
        for (ReceivedReport each : latest.values()) {
            List<ServerStats> usable = usableStats(each);
            droppedReports += usable.isEmpty() && !each.report.servers().isEmpty() ? 1 : 0;
            usable.stream().filter(stats -> readyServers.contains(stats.uid())).forEach(stats -> statsByServer
                    .computeIfAbsent(stats.uid(), uid -> new ArrayList<>())
                    .add(stats));
        }
        Map<String, Double> slowdowns = new HashMap<>();
        statsByServer.forEach((uid, reported) -> {
            List<ServerStats> slow =
                    reported.stream().filter(PeerOutlierDetector::isSlow).toList();
            int totalWeight = weight(reported);
            if (slow.size() >= limits.quorum && totalWeight >= limits.minAttempts && 2 * weight(slow) > totalWeight) {
                // The median, so that one exaggerated report does not raise the slowdown.
                slowdowns.put(
                        uid,
                        slow.stream()
                                .map(ServerStats::meanSlowdown)
                                .sorted()
                                .toList()
                                .get((slow.size() - 1) / 2));
            }
        });
        Map<String, Double> suspects = new LinkedHashMap<>();
        slowdowns.entrySet().stream()
                .sorted(Comparator.<Map.Entry<String, Double>>comparingDouble(Map.Entry::getValue)
                        .reversed()
                        .thenComparing(Map.Entry::getKey))
                .limit((long) (limits.maxSuspectedFraction * readyServers.size()))
                .forEach(each -> suspects.put(each.getKey(), each.getValue()));
        return suspects;
    }
}
