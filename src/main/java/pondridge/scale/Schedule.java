package pondridge.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import pondridge.Balancer.UpstreamState;
import pondridge.scale.ScalePlan.Step;

/**
 * The list changes of one case, drawn from a seed: the time of each from the start of the case, and the entries
 * of the list that it sets to a new state. Entries are numbered; entry {@code i} is in zone {@code i} modulo the
 * number of zones.
 */
public final class Schedule {
    /** One change of the list, published as one version. */
    public record Change(long atNanos, List<Integer> entries, UpstreamState state) {}

    private final List<Change> changes = new ArrayList<>();
    private final List<Integer> unavailable = new ArrayList<>();

    /** Draws a schedule for a list whose entries are all ready. */
    public Schedule(Step step, int entryCount, int zones, long seed) {
        Random random = new Random(seed);
        switch (step.act()) {
            case CHURN -> churn(step, entryCount, random);
            case ZONE_GONE -> zoneGone(step, entryCount, zones, random);
            default -> {}
        }
    }

    /** Returns the number of changes in a churn case. */
    static int churnCount(Step step) {
        return (int) (step.durationNanos() / 1e9 * step.changesPerSecond());
    }

    /** Entries drain and become ready again; at most a quarter of the list is draining at a time. */
    private void churn(Step step, int entryCount, Random random) {
        int count = churnCount(step);
        for (int i = 0; i < count; i++) {
            long atNanos = step.durationNanos() / count * i;
            boolean restore =
                    unavailable.size() >= Math.max(1, entryCount / 4) || !unavailable.isEmpty() && random.nextBoolean();
            if (restore) {
                changes.add(new Change(
                        atNanos, List.of(unavailable.remove(random.nextInt(unavailable.size()))), UpstreamState.READY));
            } else {
                int entry = random.nextInt(entryCount);
                while (unavailable.contains(entry)) {
                    entry = random.nextInt(entryCount);
                }
                unavailable.add(entry);
                changes.add(new Change(atNanos, List.of(entry), UpstreamState.DRAINING));
            }
        }
    }

    private void zoneGone(Step step, int entryCount, int zones, Random random) {
        int zone = random.nextInt(zones);
        unavailable.addAll(IntStream.range(0, entryCount)
                .filter(entry -> entry % zones == zone)
                .boxed()
                .toList());
        Collections.shuffle(unavailable, random);
        if (step.singleChange()) {
            changes.add(new Change(0, List.copyOf(unavailable), UpstreamState.GONE));
        } else {
            for (int i = 0; i < unavailable.size(); i++) {
                changes.add(new Change(
                        step.durationNanos() / unavailable.size() * i,
                        List.of(unavailable.get(i)),
                        UpstreamState.GONE));
            }
        }
    }

    /** Returns the changes in the order of their times. */
    public List<Change> changes() {
        return List.copyOf(changes);
    }

    /** Returns the entries that are not ready after the last change. */
    public List<Integer> unavailable() {
        return List.copyOf(unavailable);
    }
}
