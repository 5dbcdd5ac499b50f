package pondridge.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.core.Transport;
import pondridge.rig.Fleet;
import pondridge.standin.ExecutionLedger.Verdict;
import pondridge.standin.Fault;
import pondridge.standin.FaultScript;
import pondridge.standin.StandinServer;
import pondridge.standin.StandinServer.Protocol;

/**
 * Tests that no request is executed twice when servers end streams and connections, through front end, engine
 * and module. Each test ends by checking the execution ledger.
 */
class ReplaySafetyTest {
    private static final long MS = 1_000_000;
    private static final int CLIENT_TIMEOUT_MS = 5_000;

    private static Transport http2Transport(EventLoop loop, BalancerOptions settings) {
        return new Http2Upstreams(
                loop, settings, SoakTest.options("quiet = \"200ms\"\nping_wait = \"100ms\"\nredial = \"10ms\""));
    }

    private static Fleet fleet(long workNanos, String... zones) throws Exception {
        Fleet fleet = new Fleet(Fleet.defaultOptions(CLIENT_TIMEOUT_MS));
        for (int i = 0; i < zones.length; i++) {
            fleet.server("s" + i, zones[i], Protocol.HTTP2, FaultScript.withoutFaults(workNanos));
        }
        return fleet.start(ReplaySafetyTest::http2Transport);
    }

    private static CompletableFuture<Void> loadOfClass(
            Fleet fleet, String requestClass, int requests, double perSecond) {
        return fleet.load(
                Fleet.plan(requests, perSecond, CLIENT_TIMEOUT_MS, Map.of(requestClass, 1.0)), 1, requestClass);
    }

    private static int runs(Fleet fleet) {
        return fleet.servers().stream().mapToInt(StandinServer::executions).sum();
    }

    /**
     * Guards against repeated executions when a server ends connections in different ways with many
     * confirmations open.
     */
    @Test
    void connectionsEndWhileConfirmationsAreOpen() throws Exception {
        for (Fault fault : List.of(
                Fault.GOAWAY, Fault.GOAWAY_LAST, Fault.GOAWAY_LOWERED, Fault.CLOSE, Fault.SILENT, Fault.RESET)) {
            try (Fleet fleet = fleet(150 * MS, "a", "b", "a")) {
                CompletableFuture<Void> load = loadOfClass(fleet, "order-confirm", 700, 700);
                // A tenth of the requests, at random moments: some connections of this server end while
                // others are opened.
                fleet.servers().get(0).overrideFaults(Map.of(fault, 0.1));
                Fleet.await(load);
                Verdict verdict = fleet.verdict();
                assertTrue(verdict.passed(), fault + " " + verdict);
                assertTrue(verdict.served() >= 600, fault + " " + verdict);
                assertEquals(
                        verdict.droppedRepeats(), runs(fleet) - fleet.ledger().executions("order-confirm"));
            }
        }
    }

    /**
     * A server that falsely denies an execution: no client can detect it, so the ledger must show the
     * repeated effect.
     */
    @Test
    void ledgerDetectsServersThatDenyExecutions() throws Exception {
        for (Fault falseClaim : List.of(Fault.GOAWAY_LIE, Fault.LIE)) {
            try (Fleet fleet = fleet(5 * MS, "a", "b", "a")) {
                fleet.servers().get(0).overrideFaults(Map.of(falseClaim, 1.0));
                Fleet.await(loadOfClass(fleet, "order-book", 60, 100));
                assertTrue(fleet.verdict().duplicateUnsafeExecutions() > 0, falseClaim.toString());
            }
        }
    }

    /**
     * A hold that may have been executed is retried only where repeats are dropped, and only as long as they
     * are.
     */
    @Test
    void holdsAreRetriedOnlyInTheirZoneAndWithinOneSecond() throws Exception {
        try (Fleet fleet = fleet(5 * MS, "a", "a", "b", "b")) {
            fleet.servers().get(0).overrideFaults(Map.of(Fault.RESET, 1.0));
            fleet.servers().get(2).overrideFaults(Map.of(Fault.RESET, 1.0));
            Fleet.await(loadOfClass(fleet, "stock-hold", 300, 200));
            Verdict verdict = fleet.verdict();
            assertTrue(verdict.passed(), verdict::toString);
            assertTrue(verdict.droppedRepeats() > 0, "retries were sent: " + verdict);
            assertTrue(fleet.ledger().executions("stock-hold") >= verdict.served(), verdict::toString);
        }
        try (Fleet fleet = new Fleet(Fleet.defaultOptions(CLIENT_TIMEOUT_MS))) {
            // Reset after more than the second for which a zone remembers requests: no retry is allowed.
            for (int i = 0; i < 4; i++) {
                fleet.server(
                        "s" + i,
                        i < 2 ? "a" : "b",
                        Protocol.HTTP2,
                        new FaultScript(i, Map.of(Fault.RESET, 1.0), 2_100 * MS, 2_100 * MS));
            }
            fleet.start(ReplaySafetyTest::http2Transport);
            Fleet.await(loadOfClass(fleet, "stock-hold", 20, 20));
            Verdict verdict = fleet.verdict();
            assertTrue(verdict.passed(), verdict::toString);
            assertEquals(20, verdict.failed() + verdict.refused());
            assertTrue(verdict.failed() > 0, verdict::toString);
            assertEquals(verdict.failed(), runs(fleet), "each request was sent once");
        }
    }

    /** A confirmation may be retried in any zone, and is, within its 7.5 s as long as time is left. */
    @Test
    void confirmationsAreRetriedInAnyZone() throws Exception {
        try (Fleet fleet = fleet(5 * MS, "a", "b")) {
            fleet.servers().get(0).overrideFaults(Map.of(Fault.RESET, 1.0));
            Fleet.await(loadOfClass(fleet, "order-confirm", 200, 200));
            Verdict verdict = fleet.verdict();
            assertTrue(verdict.passed(), verdict::toString);
            assertTrue(verdict.droppedRepeats() > 0, verdict::toString);
        }
    }

    /** After its window a confirmation that may have been executed is not retried, even if time is left. */
    @Test
    void confirmationsAreRetriedOnlyWithinTheirWindow() throws Exception {
        try (Fleet fleet = new Fleet(Fleet.defaultOptions(CLIENT_TIMEOUT_MS, "profiles.2.keyTtl=300000000"))) {
            for (int i = 0; i < 4; i++) {
                fleet.server(
                        "s" + i,
                        i < 2 ? "a" : "b",
                        Protocol.HTTP2,
                        new FaultScript(i, Map.of(Fault.RESET, 1.0), 700 * MS, 700 * MS));
            }
            fleet.start(ReplaySafetyTest::http2Transport);
            Fleet.await(loadOfClass(fleet, "order-confirm", 20, 20));
            Verdict verdict = fleet.verdict();
            assertTrue(verdict.passed(), verdict::toString);
            assertTrue(runs(fleet) > 0, verdict::toString);
            assertEquals(0, verdict.droppedRepeats(), "each request was sent once");
        }
    }

    /**
     * A server is drained while all of its few streams are in use: no request is sent to it after the grace
     * period.
     */
    @Test
    void drainWhileAttemptsWait() throws Exception {
        try (Fleet fleet = new Fleet(Fleet.defaultOptions(CLIENT_TIMEOUT_MS, "rules.stopSendingWithin=300000000"))) {
            fleet.server("s0", "a", Protocol.HTTP2, 2, 65_535, FaultScript.withoutFaults(80 * MS));
            fleet.server("s1", "b", Protocol.HTTP2, FaultScript.withoutFaults(5 * MS));
            fleet.start(ReplaySafetyTest::http2Transport);
            CompletableFuture<Void> load = loadOfClass(fleet, "order-confirm", 600, 400);
            TransportHarness.waitUntil(() -> fleet.servers().get(0).executions() > 10, "requests on the first server");
            fleet.publishState("s0", UpstreamState.DRAINING);
            Fleet.await(load);
            Verdict verdict = fleet.verdict();
            assertTrue(verdict.passed(), verdict::toString);
        }
    }
}
