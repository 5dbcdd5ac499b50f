package pondridge.store;

import java.util.List;

/**
 * Who has budgets together with other members of the fleet, and heeds its parts of them. Called by
 * {@link SharedStore} on its event loop.
 */
public interface Budgets {
    /** A budget by its name, the same at all members, and what all together may use of it in one slot. */
    record Budget(String name, double most) {}

    /**
     * Budgets of which a part is wanted in the next slot.
     *
     * @param slot its length in nanoseconds
     * @param ahead nanoseconds until it begins
     */
    List<Budget> wanted(long slot, long ahead);

    /** From now on, for so many nanoseconds, so many of a budget that was wanted may be used. */
    void granted(String name, long count, long valid);
}
