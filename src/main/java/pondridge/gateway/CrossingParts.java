package pondridge.gateway;

import java.util.List;
import java.util.function.LongSupplier;
import pondridge.store.Budgets;

/**
 * What a site's gateways may send across together, lent out through the store: a gateway with little to send
 * leaves its part to the others. Without a lease each has its even part.
 */
final class CrossingParts implements Budgets {
    private final String name;
    private final double perSecond;
    private final CrossingBudget budget;
    private final LongSupplier clock;

    /** {@code perSecond}: of the whole site. */
    CrossingParts(String site, double perSecond, CrossingBudget budget, LongSupplier clock) {
        this.name = "crossing:" + site;
        this.perSecond = perSecond;
        this.budget = budget;
        this.clock = clock;
    }

    @Override
    public List<Budget> wanted(long slot, long ahead) {
        return List.of(new Budget(name, perSecond * slot / 1e9));
    }

    @Override
    public void granted(String granted, long count, long valid) {
        long now = clock.getAsLong();
        budget.lease(count * 1e9 / valid, now, now + valid);
    }
}
