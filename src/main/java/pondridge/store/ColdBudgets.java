package pondridge.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.Balancer;
import pondridge.core.Engine;

/**
 * What all sidecars together send to servers that have just started. A server's budget is the part of a warm
 * one's rate that a cold one can do, rising to all of it over the ramp; the ramp counts from when this
 * sidecar saw the start, which is never too early.
 */
final class ColdBudgets implements Budgets {
    private static final String KIND = "cold:";
    private static final int LONGEST_NAME = 160;

    private final Engine engine;
    private final StoreSettings.Shares shares;
    private final Balancer.Limits limits;
    private final Map<String, String> servers = new HashMap<>();

    ColdBudgets(Engine engine, StoreSettings.Shares shares, Balancer.Limits limits) {
        this.engine = engine;
        this.shares = shares;
        this.limits = limits;
    }

    @Override
    public List<Budget> wanted(long slot, long ahead) {
        Map<String, Engine.Start> started = engine.started(limits.rampTime());
        if (started.isEmpty()) {
            servers.clear();
            return List.of();
        }
        List<Budget> wanted = new ArrayList<>();
        servers.clear();
        started.entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<String, Engine.Start> each) ->
                                each.getValue().age())
                        .thenComparing(Map.Entry::getKey))
                .limit(shares.coldServers())
                .forEach(each -> {
                    String name = KIND + each.getKey() + ':' + each.getValue().startedMs();
                    if (name.length() <= LONGEST_NAME) {
                        servers.put(name, each.getKey());
                        wanted.add(new Budget(
                                name,
                                most(
                                        limits,
                                        shares.coldPerSecond(),
                                        each.getValue().age() + ahead + slot / 2,
                                        slot)));
                    }
                });
        return wanted;
    }

    /** What all may send in one slot to a server that was seen to start so long ago. */
    static double most(Balancer.Limits limits, double perSecond, long age, long slot) {
        double warm = Math.min(1, age / (double) limits.rampTime());
        return (limits.coldShare() + (1 - limits.coldShare()) * warm) * perSecond * slot / 1e9;
    }

    @Override
    public void granted(String name, long count, long valid) {
        String uid = servers.get(name);
        if (uid != null) {
            engine.leased(Map.of(uid, new Engine.Lease(count, (int) (valid / 1_000_000))));
        }
    }
}
