package pondridge.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * This sidecar's own sums over a short window, from its own attempts. What is usual is its own mean over all
 * servers, by class: who finds every server slow finds none of them slower than usual. Bounded in servers; no
 * I/O; times in nanoseconds. Of one thread.
 */
final class OwnSums {
    /** One attempt counts as at most so many times the usual. */
    static final double MOST_SLOW = 10_000;

    private static final double NEW = 0.02;

    private static final class Sum {
        private int answers;
        private double slowness;
        private int bad;

        private void add(double ratio, boolean failed) {
            answers++;
            slowness += ratio;
            bad += failed ? 1 : 0;
        }
    }

    private final double slow;
    private final long window;
    private final int mostServers;
    private final Map<Integer, double[]> usual = new HashMap<>();
    private Map<String, Sum> current = new HashMap<>();
    private Map<String, Sum> before = new HashMap<>();
    private long began;

    /**
     * Nothing seen so far.
     *
     * @param slow an attempt is bad that failed, or took so many times the usual
     * @param window a report covers one to two of them
     * @param mostServers that are kept at a time; what is seen of others meanwhile is not counted
     */
    OwnSums(double slow, long window, int mostServers, long now) {
        this.slow = slow;
        this.window = window;
        this.mostServers = mostServers;
        this.began = now;
    }

    /** An attempt that went out has ended. */
    void ended(String uid, int requestClass, boolean good, long took, long now) {
        turn(now);
        double[] mean = usual.computeIfAbsent(requestClass, each -> new double[2]);
        if (good) {
            double capped = mean[1] == 0 ? took : Math.min(took, 3 * mean[0]);
            mean[1]++;
            mean[0] += Math.max(NEW, 1 / mean[1]) * (capped - mean[0]);
        }
        Sum sum = current.get(uid);
        if (sum == null && current.size() < mostServers) {
            sum = new Sum();
            current.put(uid, sum);
        }
        if (sum != null) {
            double ratio = mean[0] > 0 ? Math.min(MOST_SLOW, took / mean[0]) : 1;
            sum.add(good ? ratio : Math.max(slow, ratio), !good || ratio > slow);
        }
    }

    private void turn(long now) {
        if (now - began >= 2 * window) {
            before = new HashMap<>();
            current = new HashMap<>();
            began = now;
        } else if (now - began >= window) {
            before = current;
            current = new HashMap<>();
            began += window;
        }
    }

    /** What was seen lately: the servers with the most answers, {@code most} of them. */
    List<ServerSum> lately(int most, long now) {
        turn(now);
        Map<String, Sum> all = new HashMap<>();
        for (Map<String, Sum> each : List.of(before, current)) {
            each.forEach((uid, sum) -> {
                Sum both = all.computeIfAbsent(uid, added -> new Sum());
                both.answers += sum.answers;
                both.slowness += sum.slowness;
                both.bad += sum.bad;
            });
        }
        List<ServerSum> sums = new ArrayList<>();
        all.forEach((uid, sum) -> sums.add(new ServerSum(uid, sum.answers, sum.slowness, sum.bad)));
        sums.sort(Comparator.comparingInt(ServerSum::answers).reversed().thenComparing(ServerSum::uid));
        return sums.size() > most ? List.copyOf(sums.subList(0, most)) : sums;
    }
}
