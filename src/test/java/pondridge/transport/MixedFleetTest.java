package pondridge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.BalancerOptions;
import pondridge.core.BufferBudgets;
import pondridge.core.Transport;
import pondridge.http2.ProtocolProbeResult;
import pondridge.rig.Fleet;
import pondridge.settings.SettingsFile;
import pondridge.standin.ExecutionLedger.Verdict;
import pondridge.standin.FaultScript;
import pondridge.standin.StandinServer;
import pondridge.standin.StandinServer.Protocol;

/** Runs servers of both protocols behind one transport, which detects the protocol of each. */
class MixedFleetTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static Transport transport(EventLoop loop, BalancerOptions options) {
        SettingsFile file = SettingsFile.parse("test", "[upstreams]\nprotocol = \"auto\"");
        return MixedProtocolTransport.of(
                loop,
                options,
                TransportSettings.of(file, Path.of(".")),
                500,
                BufferBudgets.ofThisProcess().responses());
    }

    @Test
    void servesMixedFleetWhileServersChangeProtocol() throws Exception {
        try (Fleet fleet = new Fleet(Fleet.defaultOptions(1_500))) {
            for (int i = 0; i < 4; i++) {
                fleet.server(
                        "s" + i,
                        i < 2 ? "a" : "b",
                        i % 2 == 0 ? Protocol.HTTP1 : Protocol.HTTP2,
                        FaultScript.withoutFaults(5 * NANOS_PER_MILLI));
            }
            fleet.start(MixedFleetTest::transport);
            CompletableFuture<Void> load = fleet.load(Fleet.mixedPlan(1_600, 400, 1_500), 3, "mixed");
            for (int i = 0; i < 2; i++) {
                StandinServer changing = fleet.servers().get(i);
                int runsBefore = changing.executions();
                await(() -> changing.executions() > runsBefore + 50);
                changing.stop();
                changing.restart(i == 0 ? Protocol.HTTP2 : Protocol.HTTP1);
                if (i == 0) {
                    fleet.publishRestart("s0");
                }
                // The restart of the other server is not announced; it is detected by failing connections.
                int runsAfterRestart = changing.executions();
                await(() -> load.isDone() || changing.executions() > runsAfterRestart + 20);
            }
            Fleet.await(load);
            Verdict verdict = fleet.verdict();
            assertTrue(verdict.passed(), verdict::toString);
            assertTrue(verdict.served() > 1_450, verdict::toString);
            fleet.servers().forEach(server -> assertTrue(server.executions() > 100, server.name()));
            assertTrue(
                    fleet.servers().get(3).peakConnections() <= 2,
                    "at most one connection for protocol detection and one for requests");
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + Fleet.TIMEOUT_SECONDS * 1_000 * NANOS_PER_MILLI;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - deadlineNanos < 0, "condition not met in time");
            Thread.sleep(2);
        }
    }

    @Test
    void detectsProtocolOncePerStartAndAgainAfterFailure() {
        ProtocolDetector protocol = new ProtocolDetector();
        assertEquals(ProtocolDetector.Step.DETECT, protocol.step());
        assertEquals(ProtocolDetector.Step.WAIT, protocol.step());
        protocol.detected(ProtocolProbeResult.UNREACHABLE, 0);
        assertEquals(
                ProtocolDetector.Step.DETECT,
                protocol.step(),
                "no server was reached, so the protocol is still unknown");
        protocol.detected(ProtocolProbeResult.HTTP2, 0);
        assertEquals(ProtocolDetector.Step.HTTP2, protocol.step());
        protocol.attemptEnded(Outcome.RESET, ProtocolDetector.MIN_DETECTION_INTERVAL_NANOS - 1);
        protocol.attemptEnded(Outcome.ERROR, ProtocolDetector.MIN_DETECTION_INTERVAL_NANOS);
        protocol.attemptEnded(Outcome.TIMEOUT, ProtocolDetector.MIN_DETECTION_INTERVAL_NANOS);
        assertEquals(
                ProtocolDetector.Step.HTTP2,
                protocol.step(),
                "too soon after the detection, or not a connection failure");
        protocol.attemptEnded(Outcome.RESET, ProtocolDetector.MIN_DETECTION_INTERVAL_NANOS);
        assertEquals(ProtocolDetector.Step.DETECT, protocol.step());
        protocol.restarted();
        assertEquals(ProtocolDetector.Step.DETECT, protocol.step(), "a restart requires a new detection");
        protocol.detected(ProtocolProbeResult.NOT_HTTP2, ProtocolDetector.MIN_DETECTION_INTERVAL_NANOS);
        assertEquals(ProtocolDetector.Step.HTTP1, protocol.step());
        protocol.restarted();
        protocol.http1Required(0);
        assertEquals(ProtocolDetector.Step.HTTP1, protocol.step());
    }
}
