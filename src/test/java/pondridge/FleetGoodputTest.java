package pondridge;

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
import pondridge.Balancer.HostCapabilities;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.SafetyLimits;
import pondridge.Balancer.Settings;
import pondridge.Balancer.WeightKind;
import pondridge.lab.Simulation;
import pondridge.lab.SimulationResult;
import pondridge.lab.SimulationScenario;
import pondridge.lab.SimulationScenario.EventType;
import pondridge.lab.SimulationScenario.TimedEvent;

/**
 * A fleet refuses only the requests that its servers cannot serve, and only for as long as they cannot. Real
 * balancers run over six simulated servers of 4 threads and 20 ms +-40 % per request, a capacity of 1,200 requests
 * per second. There are three classes (safe, keyed, unsafe) with a latency objective of 200 ms and a deadline of
 * 1 s. A refused client retries once, after 100 ms. The servers send no load reports.
 */
class FleetGoodputTest {
    private static final long SECOND = 1_000 * MS;
    private static final int SERVERS = 6;
    private static final double CAPACITY_PER_SECOND = 1_200;
    /** The disturbance starts in this second, unless it starts with the run. */
    private static final int DISTURBANCE_SECOND = 6;

    private static final int RUN_SECONDS = 13;

    /** A temporary disturbance; everything works before and after it. */
    enum Disturbance {
        NONE,
        ONE_SERVER_PAUSED,
        ONE_SIDECAR_PAUSED,
        SERVERS_PAUSED,
        SIDECARS_PAUSED,
        /** Servers, sidecars and clients are paused. */
        ALL_PAUSED,
        /** All servers run at a quarter of their capacity. */
        SERVERS_SLOW,
        /** All servers are paused from the start of the run. */
        SERVERS_PAUSED_AT_START;

        List<TimedEvent> changes(int sidecarCount, long durationNanos) {
            List<TimedEvent> changes = new ArrayList<>();
            long startNanos = this == SERVERS_PAUSED_AT_START ? 0 : DISTURBANCE_SECOND * SECOND;
            int pausedServers = this == ONE_SERVER_PAUSED
                    ? 1
                    : this == SERVERS_PAUSED || this == ALL_PAUSED || this == SERVERS_PAUSED_AT_START ? SERVERS : 0;
            int pausedSidecars =
                    this == ONE_SIDECAR_PAUSED ? 1 : this == SIDECARS_PAUSED || this == ALL_PAUSED ? sidecarCount : 0;
            if (this == ALL_PAUSED) {
                changes.add(new TimedEvent(startNanos, EventType.CLIENTS_PAUSED, 0, durationNanos));
            }
            for (int i = 0; i < pausedServers; i++) {
                changes.add(new TimedEvent(startNanos, EventType.SERVER_PAUSED, i, durationNanos));
            }
            for (int i = 0; i < pausedSidecars; i++) {
                changes.add(new TimedEvent(startNanos, EventType.SIDECAR_PAUSED, i, durationNanos));
            }
            for (int i = 0; this == SERVERS_SLOW && i < SERVERS; i++) {
                for (long offset = 0; offset < durationNanos; offset += 10 * MS) {
                    changes.add(new TimedEvent(startNanos + offset, EventType.SERVER_PAUSED, i, 10 * MS * 3 / 4));
                }
            }
            return changes;
        }
    }

    private static Settings settings(int replicas) {
        List<RequestClass> classes = new ArrayList<>();
        for (RetrySemantics semantics : RetrySemantics.values()) {
            classes.add(new RequestClass(200 * MS, 0, SECOND, 1, 0, semantics, KeyScope.ALL, 7_500 * MS, false));
        }
        return new Settings(
                0,
                replicas,
                0,
                MS,
                DiscoveryMode.AUTOMATIC,
                WeightKind.SILENT,
                classes,
                List.of(),
                new HostCapabilities(true, false, false, false, true, 6, 750 * MS, 500 * MS),
                new SafetyLimits(20 * MS, 10 * SECOND, 250 * MS, 0.39, 7_400 * MS, 4, 1_500 * MS),
                List.of(),
                Balancer.OverheadCosts.NONE,
                false,
                1);
    }

    /** Runs the simulation; {@code load} is a fraction of the servers' capacity. */
    private static SimulationResult simulate(
            long seed, int sidecars, double load, int queueSlots, List<TimedEvent> changes) {
        SimulationResult tally = Simulation.run(new SimulationScenario(
                seed,
                settings(sidecars),
                sidecars,
                Collections.nCopies(SERVERS, new SimulationScenario.ServerModel(4, queueSlots, false)),
                new SimulationScenario.Arrivals(
                        load * CAPACITY_PER_SECOND,
                        true,
                        Collections.nCopies(3, 1 / 3.0),
                        20 * MS,
                        0.4,
                        false,
                        100 * MS),
                changes,
                0,
                MS,
                (RUN_SECONDS + 1) * SECOND));
        StringBuilder summary = new StringBuilder(String.format(
                Locale.ROOT,
                "%d sidecars, load %.2f, %d queue slots,"
                        + " seed %d; in time (refused at once, after a wait, after attempts; by servers):",
                sidecars,
                load,
                queueSlots,
                seed));
        for (int i = 0; i < RUN_SECONDS; i++) {
            SimulationResult.SecondCounts second = tally.second(i);
            summary.append(String.format(
                    Locale.ROOT,
                    " %d(%d,%d,%d;%d)",
                    second.servedOnTime,
                    second.refusedImmediately,
                    second.refusedAfterQueueing,
                    second.refusedAfterAttempts,
                    second.rejectedByServers));
        }
        System.out.println(summary);
        return tally;
    }

    private static void assertInTime(SimulationResult tally, int second, double requests, double minFraction) {
        assertTrue(
                tally.second(second).servedOnTime >= minFraction * requests,
                "second " + second + ": " + tally.second(second).servedOnTime + " in time of " + requests);
    }

    /** Without disturbance nothing is refused, whatever the phase of the arrivals at the sidecars. */
    @ParameterizedTest
    @CsvSource({
        "3, 0.8, 4",
        "10, 0.5, 12",
        "10, 0.8, 4",
        "10, 0.8, 12",
        "10, 0.8, 40",
        "10, 0.8, 200",
        "30, 0.8, 12",
        "30, 0.8, 40"
    })
    void healthyFleetRefusesNothing(int sidecars, double load, int queueSlots) {
        SimulationResult tally = simulate(1, sidecars, load, queueSlots, List.of());
        for (int i = 0; i < RUN_SECONDS; i++) {
            assertInTime(tally, i, load * CAPACITY_PER_SECOND, 0.95);
        }
    }

    /**
     * Goodput recovers when the disturbance ends: at least 0.8 of the offered load in the first two seconds, and
     * 0.95 from the third one on.
     *
     * @param durationMillis duration of the disturbance
     * @param recoveredSecond first second that is checked
     */
    @ParameterizedTest
    @CsvSource({
        "ONE_SERVER_PAUSED, 500, 10, 12, 6",
        "ONE_SIDECAR_PAUSED, 500, 10, 12, 6",
        "SERVERS_PAUSED, 300, 10, 4, 7",
        "SERVERS_PAUSED, 300, 30, 12, 7",
        "SIDECARS_PAUSED, 300, 10, 4, 7",
        "ALL_PAUSED, 500, 10, 12, 7",
        "ALL_PAUSED, 300, 30, 4, 7",
        "ALL_PAUSED, 300, 30, 12, 7",
        "SERVERS_SLOW, 1000, 10, 40, 7",
        "SERVERS_SLOW, 1000, 30, 12, 8",
        "SERVERS_PAUSED_AT_START, 950, 10, 12, 2",
        "SERVERS_PAUSED_AT_START, 950, 30, 4, 2",
    })
    void goodputRecoversWithTheServers(
            Disturbance disturbance, long durationMillis, int sidecars, int queueSlots, int recoveredSecond) {
        for (long seed = 1; seed <= 2; seed++) {
            System.out.print(disturbance + " for " + durationMillis + " ms, ");
            SimulationResult tally =
                    simulate(seed, sidecars, 0.8, queueSlots, disturbance.changes(sidecars, durationMillis * MS));
            for (int i = recoveredSecond; i < RUN_SECONDS; i++) {
                assertInTime(tally, i, 0.8 * CAPACITY_PER_SECOND, i < recoveredSecond + 2 ? 0.8 : 0.95);
            }
        }
    }

    /**
     * Under overload only the excess is refused, and servers reject no more than twice their capacity. The
     * goal is a goodput of 0.9 of the capacity in each second from the third one on. With 30 sidecars and 40 queue
     * slots it is 0.8 (0.84 and more on this seed): one request from each sidecar at each server fills so much of
     * its queue that response times come close to the latency objective.
     */
    @ParameterizedTest
    @CsvSource({
        "3, 1.5, 12, 0.9",
        "3, 3, 40, 0.9",
        "10, 1.5, 12, 0.9",
        "10, 3, 40, 0.9",
        "30, 1.5, 12, 0.9",
        "30, 3, 12, 0.9",
        "30, 1.5, 40, 0.8",
        "30, 3, 40, 0.8"
    })
    void overloadRefusesOnlyTheExcess(int sidecars, double load, int queueSlots, double minFraction) {
        SimulationResult tally = simulate(1, sidecars, load, queueSlots, List.of());
        for (int i = 2; i < RUN_SECONDS; i++) {
            assertInTime(tally, i, CAPACITY_PER_SECOND, minFraction);
            assertTrue(
                    tally.second(i).rejectedByServers <= 2 * CAPACITY_PER_SECOND,
                    tally.second(i).rejectedByServers + " rejected by servers");
        }
    }

    /** After a minute of 0.9 s responses and 10 s without requests, the old estimate must not block the class. */
    @Test
    void slowClassIsTriedAgainAfterIdleTime() {
        RecordingHost host = new RecordingHost(settings(1), 7).withUpstreams(SERVERS);
        host.serve(0, 60, 0, 900 * MS);
        host.advance(10 * SECOND);
        int sentBefore = host.sends.size();
        host.serve(100, 120, 0, 20 * MS);
        assertTrue(host.sends.size() - sentBefore >= 15, host.sends.size() - sentBefore + " sent");
    }
}
