package pondridge.scale;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import org.HdrHistogram.Histogram;

/**
 * Who knows which version of the list, and how long after it was put that was. A follower that has a version
 * has all before it, since later ones supersede them. Times in nanoseconds of any one clock, given as
 * arguments; safe on any thread.
 */
public final class Knowledge {
    private static final long LONGEST = 3_600_000_000L;

    /**
     * How long changes took, in milliseconds, over all pairs of a change and a follower.
     *
     * @param last until the slowest follower had the slowest change
     */
    public record Times(double p50, double p99, double last) {}

    private final long[] has;
    /** The last version that is about what a follower follows, and what is of no use to whom. */
    private final long[] needs;

    private final Map<Long, IntPredicate> concerned = new HashMap<>();
    private final TreeMap<Long, Long> putAt = new TreeMap<>();
    /** In microseconds. */
    private Histogram took = new Histogram(LONGEST, 3);

    /** Of so many followers, none of which knows anything. */
    public Knowledge(int followers) {
        has = new long[followers];
        needs = new long[followers];
        Arrays.fill(has, -1);
        Arrays.fill(needs, ListWay.FIRST);
    }

    /** From now on counts anew, only what is put from now on. */
    public synchronized void begin() {
        putAt.clear();
        concerned.clear();
        took = new Histogram(LONGEST, 3);
    }

    /** A follower begins anew and knows nothing. */
    public synchronized void forget(int follower) {
        has[follower] = -1;
    }

    /** A version is put at the source now; before any follower can have it. */
    public void put(long version, long now) {
        put(version, now, follower -> true);
    }

    /** The same, of which some followers are never told, since it is about nothing that they follow. */
    public synchronized void put(long version, long now, IntPredicate about) {
        putAt.put(version, now);
        concerned.put(version, about);
        for (int i = 0; i < needs.length; i++) {
            if (about.test(i)) {
                needs[i] = version;
            }
        }
    }

    /** A follower's module has this version now. */
    public synchronized void had(int follower, long version, long now) {
        if (version > has[follower]) {
            for (Map.Entry<Long, Long> each :
                    putAt.subMap(has[follower], false, version, true).entrySet()) {
                if (concerned.get(each.getKey()).test(follower)) {
                    took.recordValue(Math.min(LONGEST, Math.max(0, now - each.getValue()) / 1_000));
                }
            }
            has[follower] = version;
        }
    }

    /** How many followers don't have this version yet, or the last one before it that is about theirs. */
    public synchronized int missing(long version) {
        int missing = 0;
        for (int i = 0; i < has.length; i++) {
            missing += has[i] < Math.min(version, needs[i]) ? 1 : 0;
        }
        return missing;
    }

    /** Of all that was put since {@link #begin}; zeros where nobody had any of it. */
    public synchronized Times times() {
        return new Times(
                took.getValueAtPercentile(50) / 1e3, took.getValueAtPercentile(99) / 1e3, took.getMaxValue() / 1e3);
    }
}
