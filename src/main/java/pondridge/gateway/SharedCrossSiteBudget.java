package pondridge.gateway;

import java.util.List;
import java.util.function.LongSupplier;
import pondridge.store.LeaseHolder;

/**
 * Shares the cross-site budget among a site's gateways by leases from the store, so that a gateway with
 * little to send leaves its part to the others. A gateway without a lease uses an equal part.
 */
final class SharedCrossSiteBudget implements LeaseHolder {
    private final String name;
    private final double sitePerSecond;
    private final CrossSiteBudget budget;
    private final LongSupplier clock;

    /** {@code sitePerSecond}: requests in a second over all gateways of the site. */
    SharedCrossSiteBudget(String site, double sitePerSecond, CrossSiteBudget budget, LongSupplier clock) {
        this.name = "crossing:" + site;
        this.sitePerSecond = sitePerSecond;
        this.budget = budget;
        this.clock = clock;
    }

    @Override
    public List<Budget> wantedBudgets(long slotNanos, long aheadNanos) {
        return List.of(new Budget(name, sitePerSecond * slotNanos / 1e9));
    }

    @Override
    public void leaseGranted(String name, long count, long validNanos) {
        long now = clock.getAsLong();
        budget.lease(count * 1e9 / validNanos, now, now + validNanos);
    }
}
