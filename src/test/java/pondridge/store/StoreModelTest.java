package pondridge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import pondridge.store.StoreModel.Result;
import pondridge.store.StoreModel.StoreCondition;

/** Runs the simulation with each failure of the store: responses must be as good as without a store. */
class StoreModelTest {
    private static final int SEEDS = 24;

    private static Result simulate(StoreCondition store, long seed) {
        int sidecars = 3 + (int) (seed * 61 / (SEEDS - 1));
        return StoreModel.simulate(
                new StoreModel.Plan(sidecars, 8, store, seed % 3 == 0, true, seed % 2 == 0, 15, seed));
    }

    /**
     * 216 runs of 3 to 64 sidecars with reports and leases: a slow server, a rise of load as at month end, and
     * two or all servers cold, in every state of the store. In every other run a sidecar that holds leases is
     * paused for 10 s. No request may lose its response, and no server may crash.
     */
    @Test
    void storeFailuresCostNoResponsesAndCrashNoServer() {
        Map<StoreCondition, Double> inTimeByStore = new ConcurrentHashMap<>();
        Map<StoreCondition, Double> p99ByStore = new ConcurrentHashMap<>();
        LongStream.range(0, (long) SEEDS * StoreCondition.values().length)
                .parallel()
                .forEach(run -> {
                    StoreCondition store = StoreCondition.values()[(int) (run % StoreCondition.values().length)];
                    long seed = run / StoreCondition.values().length;
                    Result result = simulate(store, seed);
                    String details = "seed " + seed + " " + store + " " + result;
                    assertEquals(result.requests(), result.responses(), details);
                    assertEquals(0, result.duplicateResponses() + result.crashedServers(), details);
                    inTimeByStore.merge(store, result.inTimeFraction() / SEEDS, Double::sum);
                    p99ByStore.merge(store, result.p99Millis() / SEEDS, Double::sum);
                });
        System.out.println("in time " + inTimeByStore + ", p99 in ms " + p99ByStore);
        for (StoreCondition store : StoreCondition.values()) {
            assertTrue(
                    inTimeByStore.get(store) > inTimeByStore.get(StoreCondition.NONE) - 0.01,
                    store + " of " + inTimeByStore);
            // Where the store grants more than the budget, more requests are served and some of them wait.
            double maxRatio = store == StoreCondition.LOSES_KEYS || store == StoreCondition.LAGS ? 1.1 : 1.05;
            assertTrue(
                    p99ByStore.get(store) < p99ByStore.get(StoreCondition.NONE) * maxRatio,
                    store + " of " + p99ByStore);
        }
    }
}
