package pondridge.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.core.Transport;
import pondridge.rig.Fleet;
import pondridge.settings.SettingsFile;
import pondridge.standin.ExecutionLedger.Verdict;
import pondridge.standin.Fault;
import pondridge.standin.FaultScript;
import pondridge.standin.StandinServer.Protocol;

/** Runs mixed classes of requests over HTTP/2 servers that end streams and connections at random moments. */
class SoakTest {
    private static final long SEED = Long.getLong("seed", 20261201L);
    private static final long WORK_NANOS = 5_000_000;
    private static final int CLIENT_TIMEOUT_MS = 1_500;

    static Http2Options options(String text) {
        SettingsFile file = SettingsFile.parse("test", "[http2]\n" + text);
        Http2Options options = Http2Options.of(file.section("http2"));
        file.rejectUnknownKeys();
        return options;
    }

    private static Map<Fault, Double> faults() {
        return FaultScript.parseFractions("slow=0.01,stall=0.002,half=0.001,half-close=0.01,reset=0.02,"
                + "reset-unrun=0.01,refuse=0.02,decline=0.02,error=0.01,close=0.003,goaway=0.004,"
                + "goaway-last=0.004,goaway-lowered=0.003,silent=0.001,adorned=0.05,"
                + "reset-after-answer=0.05");
    }

    private static Fleet fleet(BiFunction<EventLoop, BalancerOptions, Transport> transportFactory) throws Exception {
        Fleet fleet = new Fleet(Fleet.defaultOptions(CLIENT_TIMEOUT_MS));
        for (int i = 0; i < 6; i++) {
            fleet.server(
                    "s" + i,
                    i % 2 == 0 ? "a" : "b",
                    Protocol.HTTP2,
                    new FaultScript(SEED + i, faults(), WORK_NANOS, 300_000_000));
        }
        return fleet.start(transportFactory);
    }

    private static Transport http2Transport(EventLoop loop, BalancerOptions settings, StreamOutcomeRules outcomeRules) {
        return new Http2Upstreams(
                loop,
                settings,
                options("quiet = \"300ms\"\nping_wait = \"200ms\"\n" + "stream_wait = \"50ms\"\nredial = \"10ms\""),
                outcomeRules,
                1);
    }

    @Test
    void noRequestIsLostOrExecutedTwice() throws Exception {
        System.out.println("soak seed " + SEED);
        try (Fleet fleet = fleet((loop, settings) -> http2Transport(loop, settings, StreamOutcomeRules.RFC9113))) {
            CompletableFuture<Void> load = fleet.load(Fleet.mixedPlan(20_000, 1_000, CLIENT_TIMEOUT_MS), SEED, "soak");
            String drained = null;
            for (int i = 0; i < 30 && !load.isDone(); i++) {
                // Servers are drained and readmitted during the run through the endpoint list, as on the
                // platform.
                String next = "s" + i % 6;
                fleet.publishState(next, UpstreamState.DRAINING);
                if (drained != null) {
                    fleet.publishState(drained, UpstreamState.READY);
                }
                drained = next;
                load.copy()
                        .completeOnTimeout(null, 2_500, TimeUnit.MILLISECONDS)
                        .join();
            }
            Fleet.await(load);
            Verdict verdict = fleet.verdict();
            System.out.println(verdict);
            assertTrue(verdict.passed(), verdict::toString);
            assertEquals(20_000, verdict.requests());
            assertTrue(verdict.served() > 16_000, verdict::toString);
            assertTrue(verdict.droppedRepeats() > 0, "repeated requests must reach the servers and be dropped");
        }
    }

    /**
     * The same with one outcome rule broken: every reset is taken as proof that the request was not executed.
     * The ledger must detect it.
     */
    @Test
    void ledgerDetectsBrokenOutcomeRules() throws Exception {
        StreamOutcomeRules brokenRules = new StreamOutcomeRules() {
            @Override
            Outcome afterReset(boolean endStreamWritten, boolean responseStarted, long code) {
                return Outcome.REJECTED;
            }
        };
        try (Fleet fleet = fleet((loop, settings) -> http2Transport(loop, settings, brokenRules))) {
            Fleet.await(fleet.load(Fleet.mixedPlan(4_000, 1_000, CLIENT_TIMEOUT_MS), SEED, "broken"));
            Verdict verdict = fleet.verdict();
            System.out.println(verdict);
            assertTrue(verdict.duplicateUnsafeExecutions() > 0, verdict::toString);
            assertTrue(
                    verdict.duplicateKeyedEffects() > 0,
                    "holds executed in one zone must also be executed in the other");
        }
    }
}
