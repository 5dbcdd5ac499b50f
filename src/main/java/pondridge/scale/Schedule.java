package pondridge.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import pondridge.Balancer.State;
import pondridge.scale.ScalePlan.Step;

/**
 * The changes of one case, drawn from a seed: when each comes, in nanoseconds from the case's begin, and
 * which lines of the list it sets to which state. Lines are numbered; line {@code i} is in zone {@code i}
 * modulo the zones.
 */
public final class Schedule {
    /** One change of the list, which is one version. */
    public record Change(long at, List<Integer> lines, State state) {}

    private final List<Change> changes = new ArrayList<>();
    private final List<Integer> away = new ArrayList<>();

    /** Draws one for a list of so many lines, all of which are ready. */
    public Schedule(Step step, int entries, int zones, long seed) {
        Random random = new Random(seed);
        switch (step.act()) {
            case CHURN -> churn(step, entries, random);
            case ZONE_GONE -> zoneGone(step, entries, zones, random);
            default -> {}
        }
    }

    /** How many changes a churn has. */
    static int count(Step step) {
        return (int) (step.length() / 1e9 * step.perSecond());
    }

    /** Lines drain and come back, so that a quarter of the list at most is away at a time. */
    private void churn(Step step, int entries, Random random) {
        int count = count(step);
        for (int i = 0; i < count; i++) {
            long at = step.length() / count * i;
            boolean back = away.size() >= Math.max(1, entries / 4) || !away.isEmpty() && random.nextBoolean();
            if (back) {
                changes.add(new Change(at, List.of(away.remove(random.nextInt(away.size()))), State.READY));
            } else {
                int line = random.nextInt(entries);
                while (away.contains(line)) {
                    line = random.nextInt(entries);
                }
                away.add(line);
                changes.add(new Change(at, List.of(line), State.DRAINING));
            }
        }
    }

    private void zoneGone(Step step, int entries, int zones, Random random) {
        int zone = random.nextInt(zones);
        away.addAll(IntStream.range(0, entries)
                .filter(line -> line % zones == zone)
                .boxed()
                .toList());
        Collections.shuffle(away, random);
        if (step.folded()) {
            changes.add(new Change(0, List.copyOf(away), State.GONE));
        } else {
            for (int i = 0; i < away.size(); i++) {
                changes.add(new Change(step.length() / away.size() * i, List.of(away.get(i)), State.GONE));
            }
        }
    }

    /** In the order of their times. */
    public List<Change> changes() {
        return List.copyOf(changes);
    }

    /** Lines that are not ready after it. */
    public List<Integer> away() {
        return List.copyOf(away);
    }
}
