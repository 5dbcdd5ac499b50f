package pondridge.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Parts of budgets that all members of a fleet have together, taken from counters in the store. Time is cut
 * into slots of the store's clock; in each slot a member asks for its part of the next one, and a counter
 * that all raise says what is left. A part holds for its slot and no longer, as this member's own clock
 * counts it: from when the slot has surely begun until before it can have ended, however long the reply took.
 * So a part that can't be renewed ends by itself, and who wakes from a pause finds that its part is over.
 *
 * <p>A member's part goes by its weight, which is its traffic beside the others': parts that were alike left
 * those with much to send refusing while others kept what they could not use. A counter may be lost or wrong,
 * and a weight may rest on reports that are; so nobody asks for more than three even shares, and what is less
 * than one request is drawn by lot. No I/O.
 */
final class Leases {
    /** The most even shares that one member may ask for, whatever its weight. */
    static final double MOST_SHARES = 3;
    /** The least weight: who has just begun has no traffic to show. */
    static final double LEAST_SHARES = 0.1;

    private static final long MILLI = 1_000_000;

    /** What is asked of a counter: {@code want} more, of {@code most} in all; 0 need not be asked. */
    record Ask(String name, long slot, long want, long most) {}

    /** So many may be used between two times of this member's clock, in nanoseconds. */
    record Grant(String name, long count, long from, long until) {}

    private final long slotMs;
    private final Random random;
    private final Map<String, Long> asked = new HashMap<>();

    Leases(long slotMs, long seed) {
        this.slotMs = slotMs;
        this.random = new Random(seed);
    }

    /** How long until the next slot begins, in nanoseconds. */
    long ahead(long storeMs) {
        return ((storeMs / slotMs + 1) * slotMs - storeMs) * MILLI;
    }

    /**
     * What to ask for now, each budget once a slot.
     *
     * @param weight this member's traffic beside the mean of all
     * @param members how many share the budgets
     * @param storeMs the store's clock
     */
    List<Ask> asks(Collection<Budgets.Budget> budgets, long members, double weight, long storeMs) {
        long next = storeMs / slotMs + 1;
        // Slots of long ago, and those of a clock that has been set back since.
        asked.values().removeIf(slot -> Math.abs(next - slot) > 2);
        List<Ask> asks = new ArrayList<>();
        for (Budgets.Budget budget : budgets) {
            if (asked.getOrDefault(budget.name(), Long.MIN_VALUE) >= next || budget.most() < 1) {
                continue;
            }
            asked.put(budget.name(), next);
            double shares = Math.max(LEAST_SHARES, Math.min(MOST_SHARES, weight));
            double part = Math.min(budget.most(), shares * budget.most() / Math.max(1, members));
            asks.add(new Ask(budget.name(), next, (long) (part + random.nextDouble()), (long) budget.most()));
        }
        return asks;
    }

    /**
     * What a counter's reply gives; null where the store's clock was set meanwhile.
     *
     * @param counter what it stood at after this ask was added
     * @param storeMs the store's clock when it replied
     * @param askedAt when the ask left here
     * @param toldAt when the reply came
     */
    Grant told(Ask ask, long counter, long storeMs, long askedAt, long toldAt) {
        long before = counter - ask.want;
        long left = before < 0 ? 0 : Math.max(0, ask.most - before);
        long begins = ask.slot * slotMs - storeMs;
        if (begins > 2 * slotMs || begins < -slotMs) {
            return null;
        }
        // The store replied between the two times: the slot begins no later than counted from the later one
        // and ends no sooner than counted from the earlier one.
        return new Grant(
                ask.name, Math.min(left, ask.want), toldAt + begins * MILLI, askedAt + (begins + slotMs) * MILLI);
    }
}
