package pondridge.scale;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import org.HdrHistogram.Histogram;

/**
 * Tracks which follower received which version of the list, and the delay since its publication. A follower with
 * a version counts as having all earlier ones, since later versions supersede them. Times are passed as
 * arguments, in nanoseconds of any single clock. Thread-safe.
 */
public final class PropagationTracker {
    private static final long MAX_RECORDED_MICROS = 3_600_000_000L;

    /**
     * Propagation delays over all pairs of a change and a follower.
     *
     * @param lastMillis the longest delay of any change to any follower
     */
    public record Times(double p50Millis, double p99Millis, double lastMillis) {}

    private final long[] receivedVersion;
    /** For each follower, the last version that changed one of its services. */
    private final long[] requiredVersion;

    /** For each published version, the followers to which it is sent. */
    private final Map<Long, IntPredicate> concernedFollowers = new HashMap<>();

    private final TreeMap<Long, Long> publishedNanos = new TreeMap<>();
    private Histogram delaysMicros = new Histogram(MAX_RECORDED_MICROS, 3);

    /** Creates a tracker in which no follower has any version. */
    public PropagationTracker(int followers) {
        receivedVersion = new long[followers];
        requiredVersion = new long[followers];
        Arrays.fill(receivedVersion, -1);
        Arrays.fill(requiredVersion, ListDistribution.FIRST);
    }

    /** Discards the recorded delays; only versions published from here on are measured. */
    public synchronized void reset() {
        publishedNanos.clear();
        concernedFollowers.clear();
        delaysMicros = new Histogram(MAX_RECORDED_MICROS, 3);
    }

    /** Records that a follower restarted and has no version. */
    public synchronized void clear(int follower) {
        receivedVersion[follower] = -1;
    }

    /** Records the publication of a version; to be called before any follower can receive it. */
    public void recordPublished(long version, long nowNanos) {
        recordPublished(version, nowNanos, follower -> true);
    }

    /** Records the publication of a version that is sent only to the followers whose services it concerns. */
    public synchronized void recordPublished(long version, long nowNanos, IntPredicate concerns) {
        publishedNanos.put(version, nowNanos);
        concernedFollowers.put(version, concerns);
        for (int i = 0; i < requiredVersion.length; i++) {
            if (concerns.test(i)) {
                requiredVersion[i] = version;
            }
        }
    }

    /** Records that a follower's load-balancing policy has received a version. */
    public synchronized void recordReceived(int follower, long version, long nowNanos) {
        if (version > receivedVersion[follower]) {
            for (Map.Entry<Long, Long> published : publishedNanos
                    .subMap(receivedVersion[follower], false, version, true)
                    .entrySet()) {
                if (concernedFollowers.get(published.getKey()).test(follower)) {
                    delaysMicros.recordValue(
                            Math.min(MAX_RECORDED_MICROS, Math.max(0, nowNanos - published.getValue()) / 1_000));
                }
            }
            receivedVersion[follower] = version;
        }
    }

    /** Returns the number of followers that lack this version, or the last earlier one that concerns them. */
    public synchronized int countMissing(long version) {
        int missing = 0;
        for (int i = 0; i < receivedVersion.length; i++) {
            missing += receivedVersion[i] < Math.min(version, requiredVersion[i]) ? 1 : 0;
        }
        return missing;
    }

    /** Returns the delays of all versions published since {@link #reset}; zeros where none was received. */
    public synchronized Times propagationTimes() {
        return new Times(
                delaysMicros.getValueAtPercentile(50) / 1e3,
                delaysMicros.getValueAtPercentile(99) / 1e3,
                delaysMicros.getMaxValue() / 1e3);
    }
}
