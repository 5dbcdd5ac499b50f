package pondridge.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which servers to doubt, by what other sidecars saw. One of them can't condemn a server: a quorum must
 *  find it
 * slow, and more of those that saw enough of it than not; who finds most of what it saw slow tells of itself
 * and is not heard; at most a stated part of the list is doubted, the worst first. No I/O; times are
 * arguments.
 */
final class Hearsay {
    /**
     * How others are heard.
     *
     * @param oldest a report older than this is not heard, in milliseconds of the store's clock
     * @param least answers of all sidecars together that are enough to judge a server; with many sidecars
     *  each
     *     has seen little of it
     * @param quorum sidecars that must find a server slow
     * @param most the part of the list that may be doubted
     */
    record Limits(long oldest, int least, int quorum, double most) {}

    /** A report that came, and when it was written, by age. */
    record Heard(String member, long ageMs, Report report) {}

    private static final double MOST_BAD = 0.5;
    private static final double CONFUSED = 0.5;
    private static final int FEW = 4;
    /** Of one sidecar's answers from a server no more count: none outvotes the others by its traffic. */
    private static final int HEAVIEST = 3;

    private final Limits limits;
    private long dropped;

    Hearsay(Limits limits) {
        this.limits = limits;
    }

    /** Reports that were not heard: too old, from the future, or of a confused sidecar. */
    long dropped() {
        return dropped;
    }

    private static boolean slow(ServerSum sum) {
        return sum.bad() > MOST_BAD * sum.answers();
    }

    private List<ServerSum> counted(Heard heard) {
        if (heard.ageMs > limits.oldest || heard.ageMs < -limits.oldest) {
            return List.of();
        }
        List<ServerSum> sums = heard.report.sums();
        long found = sums.stream().filter(Hearsay::slow).count();
        return sums.size() >= FEW && found > CONFUSED * sums.size() ? List.of() : sums;
    }

    private static int weight(List<ServerSum> sums) {
        return sums.stream().mapToInt(sum -> Math.min(HEAVIEST, sum.answers())).sum();
    }

    /**
     * Servers to doubt, and how many times slower than usual others find them; the worst first.
     *
     * @param reports at most one report of each other sidecar; of several, the youngest counts
     * @param listed servers that are ready
     */
    Map<String, Double> doubted(List<Heard> reports, Set<String> listed) {
        Map<String, Heard> youngest = new HashMap<>();
        reports.forEach(each -> youngest.merge(each.member, each, (a, b) -> a.ageMs <= b.ageMs ? a : b));
        Map<String, List<ServerSum>> seen = new HashMap<>();
        for (Heard each : youngest.values()) {
            List<ServerSum> sums = counted(each);
            dropped += sums.isEmpty() && !each.report.sums().isEmpty() ? 1 : 0;
            sums.stream().filter(sum -> listed.contains(sum.uid())).forEach(sum -> seen.computeIfAbsent(
                            sum.uid(), uid -> new ArrayList<>())
                    .add(sum));
        }
        Map<String, Double> worst = new HashMap<>();
        seen.forEach((uid, sums) -> {
            List<ServerSum> slow = sums.stream().filter(Hearsay::slow).toList();
            int all = weight(sums);
            if (slow.size() >= limits.quorum && all >= limits.least && 2 * weight(slow) > all) {
                // The middle one, so that nobody makes it worse than most find it.
                worst.put(
                        uid,
                        slow.stream().map(ServerSum::ratio).sorted().toList().get((slow.size() - 1) / 2));
            }
        });
        Map<String, Double> doubted = new LinkedHashMap<>();
        worst.entrySet().stream()
                .sorted(Comparator.<Map.Entry<String, Double>>comparingDouble(Map.Entry::getValue)
                        .reversed()
                        .thenComparing(Map.Entry::getKey))
                .limit((long) (limits.most * listed.size()))
                .forEach(each -> doubted.put(each.getKey(), each.getValue()));
        return doubted;
    }
}
