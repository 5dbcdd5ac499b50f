package pondridge.store;

import java.util.List;

/**
 * Holds leases of budgets that are shared with other members of the fleet: names the budgets and obeys the
 * leases granted. Called by {@link SharedStore} on its event loop.
 */
public interface LeaseHolder {
    /**
     * A shared budget.
     *
     * @param name the same at all members
     * @param capacity what all members together may use of it in one slot
     */
    record Budget(String name, double capacity) {}

    /**
     * Budgets of which a lease is wanted for the next slot.
     *
     * @param slotNanos the length of a slot
     * @param untilSlotNanos time until that slot begins
     */
    List<Budget> wantedBudgets(long slotNanos, long untilSlotNanos);

    /** From now on, for {@code validNanos}, {@code count} uses of a wanted budget are allowed. */
    void leaseGranted(String name, long count, long validNanos);
}
