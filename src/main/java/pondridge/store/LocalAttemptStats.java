package pondridge.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Statistics of this sidecar's own attempts over a short window. The baseline is this sidecar's own mean over
 * all servers, per class: a sidecar to which every server is slow finds none of them slower than the baseline.
 * Bounded in servers; no I/O; times in nanoseconds. Confined to one thread.
 */
final class LocalAttemptStats {
    /** Cap on the slowdown that one attempt counts with. */
    static final double MAX_SLOWDOWN = 10_000;

    private static final double MIN_SMOOTHING_WEIGHT = 0.02;

    private static final class Totals {
        private int attempts;
        private double slowdownSum;
        private int badAttempts;

        private void add(double slowdown, boolean bad) {
            attempts++;
            slowdownSum += slowdown;
            badAttempts += bad ? 1 : 0;
        }
    }

    private final double badSlowdown;
    private final long windowNanos;
    private final int maxServers;
    /** Mean time of successful attempts and their number, by class. */
    private final Map<Integer, double[]> baselines = new HashMap<>();

    private Map<String, Totals> currentWindow = new HashMap<>();
    private Map<String, Totals> previousWindow = new HashMap<>();
    private long windowStartNanos;

    /**
     * Starts without any attempt.
     *
     * @param badSlowdown an attempt is bad if it failed, or took more than this many times the baseline
     * @param windowNanos a report covers one to two windows
     * @param maxServers servers per window; attempts at further servers are not counted
     */
    LocalAttemptStats(double badSlowdown, long windowNanos, int maxServers, long nowNanos) {
        this.badSlowdown = badSlowdown;
        this.windowNanos = windowNanos;
        this.maxServers = maxServers;
        this.windowStartNanos = nowNanos;
    }

    /** Records the end of an attempt that was sent. */
    void attemptEnded(String uid, int requestClass, boolean successful, long tookNanos, long nowNanos) {
        rotateWindows(nowNanos);
        double[] baseline = baselines.computeIfAbsent(requestClass, each -> new double[2]);
        if (successful) {
            double capped = baseline[1] == 0 ? tookNanos : Math.min(tookNanos, 3 * baseline[0]);
            baseline[1]++;
            baseline[0] += Math.max(MIN_SMOOTHING_WEIGHT, 1 / baseline[1]) * (capped - baseline[0]);
        }
        Totals totals = currentWindow.get(uid);
        if (totals == null && currentWindow.size() < maxServers) {
            totals = new Totals();
            currentWindow.put(uid, totals);
        }
        if (totals != null) {
            double slowdown = baseline[0] > 0 ? Math.min(MAX_SLOWDOWN, tookNanos / baseline[0]) : 1;
            totals.add(successful ? slowdown : Math.max(badSlowdown, slowdown), !successful || slowdown > badSlowdown);
        }
    }

    private void rotateWindows(long nowNanos) {
        if (nowNanos - windowStartNanos >= 2 * windowNanos) {
            previousWindow = new HashMap<>();
            currentWindow = new HashMap<>();
            windowStartNanos = nowNanos;
        } else if (nowNanos - windowStartNanos >= windowNanos) {
            previousWindow = currentWindow;
            currentWindow = new HashMap<>();
            windowStartNanos += windowNanos;
        }
    }

    /** Statistics of the last one to two windows: the {@code limit} servers with the most attempts. */
    List<ServerStats> recent(int limit, long nowNanos) {
        rotateWindows(nowNanos);
        Map<String, Totals> totalsByServer = new HashMap<>();
        for (Map<String, Totals> window : List.of(previousWindow, currentWindow)) {
            window.forEach((uid, totals) -> {
                Totals both = totalsByServer.computeIfAbsent(uid, added -> new Totals());
                both.attempts += totals.attempts;
                both.slowdownSum += totals.slowdownSum;
                both.badAttempts += totals.badAttempts;
            });
        }
        List<ServerStats> stats = new ArrayList<>();
        totalsByServer.forEach((uid, totals) ->
                stats.add(new ServerStats(uid, totals.attempts, totals.slowdownSum, totals.badAttempts)));
        stats.sort(Comparator.comparingInt(ServerStats::attempts).reversed().thenComparing(ServerStats::uid));
        return stats.size() > limit ? List.copyOf(stats.subList(0, limit)) : stats;
    }
}
