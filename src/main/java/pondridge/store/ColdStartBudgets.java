package pondridge.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.Balancer;
import pondridge.core.Engine;

/**
 * Budgets for what all sidecars together send to servers that have just started. A server's budget is the
 * fraction of a warm server's rate that a cold one can do, rising to all of it over the ramp. The ramp counts
 * from when this sidecar saw the start, which is never before the start itself.
 */
final class ColdStartBudgets implements LeaseHolder {
    private static final String NAME_PREFIX = "cold:";
    private static final int MAX_NAME_LENGTH = 160;

    private final Engine engine;
    private final StoreSettings.LeaseSettings settings;
    private final Balancer.SafetyLimits limits;
    /** A start of a server: a lease for an earlier start must not be used for a later one. */
    private record BudgetOwner(String uid, long startedMillis) {}

    private final Map<String, BudgetOwner> ownersByBudget = new HashMap<>();

    ColdStartBudgets(Engine engine, StoreSettings.LeaseSettings settings, Balancer.SafetyLimits limits) {
        this.engine = engine;
        this.settings = settings;
        this.limits = limits;
    }

    @Override
    public List<Budget> wantedBudgets(long slotNanos, long untilSlotNanos) {
        Map<String, Engine.ServerStart> started = engine.recentlyStarted(limits.rampNanos());
        if (started.isEmpty()) {
            ownersByBudget.clear();
            return List.of();
        }
        List<Budget> wanted = new ArrayList<>();
        ownersByBudget.clear();
        started.entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<String, Engine.ServerStart> each) ->
                                each.getValue().ageNanos())
                        .thenComparing(Map.Entry::getKey))
                .limit(settings.maxColdServers())
                .forEach(each -> {
                    String name =
                            NAME_PREFIX + each.getKey() + ':' + each.getValue().startedMs();
                    if (name.length() <= MAX_NAME_LENGTH) {
                        ownersByBudget.put(
                                name,
                                new BudgetOwner(each.getKey(), each.getValue().startedMs()));
                        wanted.add(new Budget(
                                name,
                                capacity(
                                        limits,
                                        settings.warmServerPerSecond(),
                                        each.getValue().ageNanos() + untilSlotNanos + slotNanos / 2,
                                        slotNanos)));
                    }
                });
        return wanted;
    }

    /** What all sidecars may send in one slot to a server that was seen to start {@code ageNanos} ago. */
    static double capacity(Balancer.SafetyLimits limits, double warmPerSecond, long ageNanos, long slotNanos) {
        double rampProgress = Math.min(1, ageNanos / (double) limits.rampNanos());
        return (limits.coldCapacityFraction() + (1 - limits.coldCapacityFraction()) * rampProgress)
                * warmPerSecond
                * slotNanos
                / 1e9;
    }

    @Override
    public void leaseGranted(String name, long count, long validNanos) {
        BudgetOwner owner = ownersByBudget.get(name);
        if (owner == null) {
            return;
        }
        Engine.ServerStart current = engine.recentlyStarted(limits.rampNanos()).get(owner.uid);
        if (current != null && current.startedMs() == owner.startedMillis) {
            engine.applyLeases(Map.of(owner.uid, new Engine.Lease(count, (int) (validNanos / 1_000_000))));
        }
    }
}
