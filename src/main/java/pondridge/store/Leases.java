package pondridge.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Leases of budgets that all members of a fleet share, taken from counters in the store. The store's clock is
 * divided into slots. In each slot a member requests its lease for the next one; a counter that every request
 * increments shows what is left. A lease is valid only during its slot, measured on this member's own clock:
 * from when the slot has certainly begun until before it can have ended, however long the reply took. So a
 * lease that cannot be renewed expires by itself, and a member that resumes after a pause finds its lease
 * expired.
 *
 * <p>The size of a request follows the member's traffic relative to the others: with equal leases, members
 * with much traffic refused requests while others kept what they could not use. A counter may be lost or
 * wrong, and the weight may rest on reports that are; so no member requests more than three even shares.
 * Fractions of one request are rounded at random. No I/O.
 */
final class Leases {
    /** The most even shares that one member may request, whatever its weight. */
    static final double MAX_EVEN_SHARES = 3;
    /** The fewest even shares of a request: a member that has just started has no traffic to show. */
    static final double MIN_EVEN_SHARES = 0.1;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * A request to a counter, which is to be incremented by {@code amount}. It need not be sent if that is 0.
     *
     * @param capacity of the budget in the slot, for all members together
     */
    record LeaseRequest(String name, long slot, long amount, long capacity) {}

    /** Allows {@code count} uses between two times of this member's clock, in nanoseconds. */
    record Grant(String name, long count, long fromNanos, long untilNanos) {}

    private final long slotMillis;
    private final Random random;
    private final Map<String, Long> lastRequestedSlots = new HashMap<>();

    Leases(long slotMillis, long seed) {
        this.slotMillis = slotMillis;
        this.random = new Random(seed);
    }

    /** Time until the next slot begins, in nanoseconds. */
    long nanosUntilNextSlot(long storeMillis) {
        return ((storeMillis / slotMillis + 1) * slotMillis - storeMillis) * NANOS_PER_MILLI;
    }

    /**
     * The requests to send now, at most one per budget and slot.
     *
     * @param members how many share the budgets
     * @param weight this member's traffic relative to the mean of all
     * @param storeMillis the store's clock
     */
    List<LeaseRequest> requests(Collection<LeaseHolder.Budget> budgets, long members, double weight, long storeMillis) {
        long nextSlot = storeMillis / slotMillis + 1;
        // Drops slots of long ago, and slots of a clock that has since been set back.
        lastRequestedSlots.values().removeIf(slot -> Math.abs(nextSlot - slot) > 2);
        List<LeaseRequest> requests = new ArrayList<>();
        for (LeaseHolder.Budget budget : budgets) {
            if (lastRequestedSlots.getOrDefault(budget.name(), Long.MIN_VALUE) >= nextSlot || budget.capacity() < 1) {
                continue;
            }
            lastRequestedSlots.put(budget.name(), nextSlot);
            double evenShares = Math.max(MIN_EVEN_SHARES, Math.min(MAX_EVEN_SHARES, weight));
            double share = Math.min(budget.capacity(), evenShares * budget.capacity() / Math.max(1, members));
            requests.add(new LeaseRequest(
                    budget.name(), nextSlot, (long) (share + random.nextDouble()), (long) budget.capacity()));
        }
        return requests;
    }

    /**
     * What a counter's reply grants; null if the store's clock was set in the meantime.
     *
     * @param counter its value after this request was added
     * @param storeMillis the store's clock when it replied
     * @param sentNanos when the request was sent, by this member's clock
     * @param receivedNanos when the reply was received, by this member's clock
     */
    Grant grantFor(LeaseRequest request, long counter, long storeMillis, long sentNanos, long receivedNanos) {
        long takenBefore = counter - request.amount;
        long remaining = takenBefore < 0 ? 0 : Math.max(0, request.capacity - takenBefore);
        long millisUntilSlot = request.slot * slotMillis - storeMillis;
        if (millisUntilSlot > 2 * slotMillis || millisUntilSlot < -slotMillis) {
            return null;
        }
        // The store replied between the two times: the slot begins no later than counted from the later one
        // and ends no sooner than counted from the earlier one.
        return new Grant(
                request.name,
                Math.min(remaining, request.amount),
                receivedNanos + millisUntilSlot * NANOS_PER_MILLI,
                sentNanos + (millisUntilSlot + slotMillis) * NANOS_PER_MILLI);
    }
}
