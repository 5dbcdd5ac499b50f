package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.RecordingHost.MS;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.HostCapabilities;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.SafetyLimits;
import pondridge.Balancer.Settings;
import pondridge.Balancer.UpstreamState;
import pondridge.Balancer.WeightKind;
import pondridge.lab.ColdStartBudget;
import pondridge.lab.Simulation;
import pondridge.lab.SimulationResult;
import pondridge.lab.SimulationScenario;
import pondridge.lab.SimulationScenario.EventType;
import pondridge.lab.SimulationScenario.TimedEvent;

/**
 * Guards against overload of cold servers by the sum of all sidecars, which do not communicate here. Real
 * balancers run over six simulated servers; a request takes a warm thread 20 ms +-40 %. In every overload window a
 * cold server may get N + 2 x sqrt(N) + 2 requests of mean work, rejected ones included, where N is the overload
 * factor x its capacity at the end of the window x the length of the window ({@link ColdStartBudget}). Its
 * capacity grows evenly from the cold fraction to the full value over the ramp time. A server that gets more crashes
 * and stays down, and the test fails. The test also requires that cold servers are used: the reference is their
 * capacity over the five observed seconds, or the offered load if that is less.
 */
class ColdServerLoadTest {
    private static final long SECOND = 1_000 * MS;
    private static final int SERVERS = 6;
    /** Servers return cold in this second, one second after they were removed; observation starts here. */
    private static final int RETURN_SECOND = 12;

    private static final int OBSERVED_SECONDS = 5;
    private static final double COLD_CAPACITY_FRACTION = 0.39;
    private static final long RAMP_NANOS = 7_400 * MS;

    /** What happens to six warm servers and their sidecars. */
    enum Scenario {
        ONE_RETURNS(6, 1),
        ALL_COLD(6, 6),
        HALF_COLD(3, 3),
        ONE_WARM_LEFT(5, 1),
        /** The returned server restarts every 0.7 s. */
        REPEATED_RESTARTS(6, 1),
        /** One sidecar restarts when the server returns. */
        ONE_NEW_SIDECAR(6, 1),
        /** All sidecars restart when the server returns. */
        ALL_NEW_SIDECARS(6, 1),
        /** All sidecars and all servers restart. */
        ALL_NEW(6, 6);

        final int removedCount;
        final int returnedCount;

        Scenario(int removedCount, int returnedCount) {
            this.removedCount = removedCount;
            this.returnedCount = returnedCount;
        }

        List<TimedEvent> changes(int sidecars) {
            List<TimedEvent> changes = new ArrayList<>();
            for (int i = 0; i < removedCount; i++) {
                changes.add(new TimedEvent((RETURN_SECOND - 1) * SECOND, EventType.SERVER_REMOVED, i));
            }
            for (int i = 0; i < returnedCount; i++) {
                changes.add(new TimedEvent(RETURN_SECOND * SECOND, EventType.SERVER_RESTARTED, i));
            }
            for (long delay = 700 * MS; this == REPEATED_RESTARTS && delay < 4 * SECOND; delay += 700 * MS) {
                changes.add(new TimedEvent(RETURN_SECOND * SECOND + delay, EventType.SERVER_RESTARTED, 0));
            }
            int newSidecars = this == ONE_NEW_SIDECAR ? 1 : this == ALL_NEW_SIDECARS || this == ALL_NEW ? sidecars : 0;
            for (int i = 0; i < newSidecars; i++) {
                changes.add(new TimedEvent(RETURN_SECOND * SECOND, EventType.SIDECAR_RESTARTED, i));
            }
            return changes;
        }
    }

    private static Settings settings(int replicas, double overloadFactor) {
        return new Settings(
                0,
                replicas,
                0,
                MS,
                DiscoveryMode.AUTOMATIC,
                WeightKind.SILENT,
                List.of(new RequestClass(200 * MS, 0, SECOND, 1, 0, RetrySemantics.REPEATABLE, KeyScope.ALL, 0, false)),
                List.of(),
                new HostCapabilities(true, false, false, false, false, 3, 0, 250 * MS),
                new SafetyLimits(
                        20 * MS, 10 * SECOND, 250 * MS, COLD_CAPACITY_FRACTION, RAMP_NANOS, overloadFactor, 1_500 * MS),
                List.of(),
                Balancer.OverheadCosts.NONE,
                false,
                1);
    }

    /**
     * With half of the servers warm, the required fraction is what the existing rule for that case achieves.
     *
     * @param configuredReplicas number of sidecars stated in the settings
     * @param loadPerSecond requests per second over all sidecars
     * @param minUsedFraction fraction of its possible work that the first cold server must have done
     */
    @ParameterizedTest
    @CsvSource({
        // scenario, sidecars, configured replicas, load per second, overload factor, even arrivals, cost hints,
        // travel ms, threads, queue slots, min used fraction
        "ONE_RETURNS, 1, 1, 960, 4, false, false, 1, 4, 12, 0.9",
        "ONE_RETURNS, 10, 10, 960, 4, true, false, 1, 4, 12, 0.9",
        "ONE_RETURNS, 20, 20, 960, 4, false, false, 1, 4, 12, 0.9",
        "ONE_RETURNS, 30, 30, 960, 4, true, false, 1, 4, 12, 0.9",
        "ONE_RETURNS, 100, 100, 960, 4, false, false, 1, 4, 12, 0.9",
        "ONE_RETURNS, 30, 30, 960, 4, false, false, 0, 4, 12, 0.8",
        "ONE_RETURNS, 100, 100, 960, 4, true, true, 0, 4, 2, 0.7",
        "ONE_RETURNS, 30, 30, 960, 2, false, false, 1, 4, 12, 0.6",
        "ONE_RETURNS, 30, 30, 960, 1, false, false, 1, 4, 12, 0.6",
        "ONE_RETURNS, 100, 100, 960, 1, false, true, 0, 4, 12, 0.6",
        "ONE_RETURNS, 30, 30, 15, 4, false, false, 1, 4, 12, 0.5",
        "ONE_RETURNS, 30, 30, 240, 4, false, false, 0, 1, 2, 0.7",
        "ONE_NEW_SIDECAR, 10, 10, 960, 4, false, false, 1, 4, 12, 0.8",
        "ALL_NEW_SIDECARS, 1, 1, 960, 4, false, false, 1, 4, 12, 0.8",
        "ALL_NEW_SIDECARS, 30, 30, 960, 4, false, false, 0, 4, 12, 0.8",
        "ALL_NEW_SIDECARS, 100, 100, 240, 4, false, false, 0, 1, 2, 0.7",
        "ALL_NEW_SIDECARS, 30, 1, 960, 4, false, false, 0, 4, 12, 0.7",
        "ONE_RETURNS, 30, 1, 960, 4, true, false, 0, 4, 12, 0.7",
        "ONE_RETURNS, 30, 100, 960, 4, true, false, 1, 4, 12, 0.7",
        "ALL_COLD, 30, 30, 960, 4, false, false, 1, 4, 12, 0.8",
        "ALL_COLD, 100, 100, 960, 1, true, false, 0, 4, 12, 0.4",
        "ALL_NEW, 30, 30, 960, 4, false, false, 1, 4, 12, 0.7",
        "ALL_NEW, 10, 10, 960, 4, true, true, 1, 4, 12, 0.6",
        "HALF_COLD, 30, 30, 960, 4, false, false, 1, 4, 12, 0.6",
        "ONE_WARM_LEFT, 30, 30, 960, 4, false, false, 1, 4, 12, 0.7",
        "ONE_WARM_LEFT, 30, 30, 960, 1, true, false, 1, 4, 12, 0.3",
        "REPEATED_RESTARTS, 30, 30, 960, 4, false, false, 0, 4, 12, 0.5",
    })
    void sidecarsTogetherUseAColdServerWithoutOverload(
            Scenario scenario,
            int sidecars,
            int configuredReplicas,
            double loadPerSecond,
            double overloadFactor,
            boolean evenArrivals,
            boolean costHints,
            long travelMillis,
            int threads,
            int queueSlots,
            double minUsedFraction) {
        double possibleRequests = 0;
        for (int ms = 0; ms < OBSERVED_SECONDS * 1_000; ms++) {
            possibleRequests += Math.min(
                            loadPerSecond,
                            threads
                                    * 50
                                    * (COLD_CAPACITY_FRACTION + (1 - COLD_CAPACITY_FRACTION) * ms * MS / RAMP_NANOS))
                    / 1_000;
        }
        for (long seed = 1; seed <= 2; seed++) {
            SimulationResult tally = Simulation.run(new SimulationScenario(
                    seed,
                    settings(configuredReplicas, overloadFactor),
                    sidecars,
                    Collections.nCopies(SERVERS, new SimulationScenario.ServerModel(threads, queueSlots, true)),
                    new SimulationScenario.Arrivals(
                            loadPerSecond, evenArrivals, List.of(1.0), 20 * MS, 0.4, costHints, 100 * MS),
                    scenario.changes(sidecars),
                    0,
                    travelMillis * MS,
                    (RETURN_SECOND + OBSERVED_SECONDS + 1) * SECOND));
            double worstSum = 0;
            double worstBound = 1;
            for (ColdStartBudget budget : tally.budgets()) {
                if (budget.worstWindowRequests() * worstBound > worstSum * budget.worstWindowLimit()) {
                    worstSum = budget.worstWindowRequests();
                    worstBound = budget.worstWindowLimit();
                }
            }
            double usedFraction =
                    tally.completedRequests(0, RETURN_SECOND, RETURN_SECOND + OBSERVED_SECONDS) / possibleRequests;
            String summary = String.format(
                    Locale.ROOT,
                    "%s, %d sidecars, factor %.0f, seed %d: %.0f of %.0f" + " in the worst window (%.2f), %.2f used",
                    scenario,
                    sidecars,
                    overloadFactor,
                    seed,
                    worstSum,
                    worstBound,
                    worstSum / worstBound,
                    usedFraction);
            if (Boolean.getBoolean("lab.print")) {
                System.out.println(summary);
            }
            assertEquals(0, tally.budgetExceeded(), summary);
            assertTrue(usedFraction >= minUsedFraction, summary);
        }
    }

    /** With warm servers only, the cold budget has no effect: runs with different budgets are equal. */
    @Test
    void coldBudgetDoesNotAffectWarmServers() {
        SimulationResult[] runs = new SimulationResult[2];
        for (int i = 0; i < 2; i++) {
            runs[i] = Simulation.run(new SimulationScenario(
                    3,
                    settings(10, i == 0 ? 4 : 1),
                    10,
                    Collections.nCopies(SERVERS, new SimulationScenario.ServerModel(4, 12, true)),
                    new SimulationScenario.Arrivals(800, false, List.of(1.0), 20 * MS, 0.4, false, 100 * MS),
                    List.of(),
                    0,
                    MS,
                    10 * SECOND));
        }
        for (int second = 0; second < 10; second++) {
            assertEquals(
                    List.of(runs[0].second(second).arrivedRequests[0], runs[0].second(second).servedOnTime),
                    List.of(runs[1].second(second).arrivedRequests[0], runs[1].second(second).servedOnTime));
        }
        assertTrue(runs[0].second(8).servedOnTime > 0.95 * runs[0].second(8).offered);
    }

    /** Sends to a single cold server in 0.4 s, out of 40 requests, after three warm servers were removed. */
    private static long sentToCold(long idleNanos, Outcome outcome) {
        RecordingHost host = new RecordingHost(settings(30, 4), 7).withUpstreams(3);
        host.serve(0, 1_000, 0, 10 * MS);
        host.advance(idleNanos);
        host.policy.endpointListChanged(
                host.now, EndpointListKind.FULL, List.of(RecordingHost.upstream(9, UpstreamState.READY, host.now)));
        int sentBefore = host.sends.size();
        for (long id = 2_000; id < 2_040; id++) {
            int sentSoFar = host.sends.size();
            host.request(id, 0);
            host.advance(10 * MS);
            if (host.sends.size() > sentSoFar) {
                host.outcome(host.lastSend(), outcome);
            }
        }
        return host.countSendsTo(9, sentBefore);
    }

    @Test
    void rateOfWarmServersIsRememberedWhileIdle() {
        long sentAtOnce = sentToCold(0, Outcome.OK);
        long sentAfterIdle = sentToCold(60 * SECOND, Outcome.OK);
        assertTrue(
                sentAtOnce >= 5 && Math.abs(sentAtOnce - sentAfterIdle) <= 2,
                sentAtOnce + " sent at once, " + sentAfterIdle + " sent after an idle minute");
    }

    /** Each warm server served 33 requests per second; twice the cold fraction of that is 26 per second. */
    @Test
    void rejectedRequestsCountAgainstTheBudget() {
        for (Outcome rejection : List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED)) {
            long rejected = sentToCold(0, rejection);
            assertTrue(rejected >= 1 && rejected <= 14, rejected + " in 0.4 s, " + rejection);
        }
    }

    @Test
    void zeroReplicasAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> settings(0, 4));
    }
}
