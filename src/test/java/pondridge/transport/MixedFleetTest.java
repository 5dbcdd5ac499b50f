package pondridge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.Options;
import pondridge.core.Transport;
import pondridge.http2.Learned;
import pondridge.rig.Fleet;
import pondridge.settings.SettingsFile;
import pondridge.standin.EffectLedger.Verdict;
import pondridge.standin.FaultScript;
import pondridge.standin.StandinServer;
import pondridge.standin.StandinServer.Protocol;

/** Runs servers of both protocols behind one transport, which detects the protocol of each. */
class MixedFleetTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static Transport transport(EventLoop loop, Options options) {
        SettingsFile file = SettingsFile.parse("test", "[upstreams]\nprotocol = \"auto\"");
        return MixedUpstreams.of(loop, options, TransportSettings.of(file, Path.of(".")), 500);
    }

    @Test
    void servesMixedFleetWhileServersChangeProtocol() throws Exception {
        try (Fleet fleet = new Fleet(Fleet.options(1_500))) {
            for (int i = 0; i < 4; i++) {
                fleet.server(
                        "s" + i,
                        i < 2 ? "a" : "b",
                        i % 2 == 0 ? Protocol.HTTP1 : Protocol.HTTP2,
                        FaultScript.none(5 * NANOS_PER_MILLI));
            }
            fleet.start(MixedFleetTest::transport);
            CompletableFuture<Void> load = fleet.load(Fleet.mixed(1_600, 400, 1_500), 3, "mixed");
            for (int i = 0; i < 2; i++) {
                StandinServer changing = fleet.servers().get(i);
                int runsBefore = changing.runs();
                await(() -> changing.runs() > runsBefore + 50);
                changing.stop();
                changing.restart(i == 0 ? Protocol.HTTP2 : Protocol.HTTP1);
                if (i == 0) {
                    fleet.listRestarted("s0");
                }
                // The restart of the other server is not announced; it is detected by failing connections.
                int runsAfterRestart = changing.runs();
                await(() -> load.isDone() || changing.runs() > runsAfterRestart + 20);
            }
            Fleet.await(load);
            Verdict verdict = fleet.verdict();
            assertTrue(verdict.clean(), verdict::toString);
            assertTrue(verdict.served() > 1_450, verdict::toString);
            fleet.servers().forEach(server -> assertTrue(server.runs() > 100, server.name()));
            assertTrue(
                    fleet.servers().get(3).mostConnections() <= 2,
                    "at most one connection for protocol detection and one for requests");
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + Fleet.LIMIT_S * 1_000 * NANOS_PER_MILLI;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - deadlineNanos < 0, "condition not met in time");
            Thread.sleep(2);
        }
    }

    @Test
    void detectsProtocolOncePerStartAndAgainAfterFailure() {
        ProtocolChoice protocol = new ProtocolChoice();
        assertEquals(ProtocolChoice.Step.DETECT, protocol.step());
        assertEquals(ProtocolChoice.Step.WAIT, protocol.step());
        protocol.detected(Learned.NOBODY, 0);
        assertEquals(
                ProtocolChoice.Step.DETECT, protocol.step(), "no server was reached, so the protocol is still unknown");
        protocol.detected(Learned.HTTP2, 0);
        assertEquals(ProtocolChoice.Step.HTTP2, protocol.step());
        protocol.attemptEnded(Outcome.RESET, ProtocolChoice.MIN_DETECTION_INTERVAL_NANOS - 1);
        protocol.attemptEnded(Outcome.ERROR, ProtocolChoice.MIN_DETECTION_INTERVAL_NANOS);
        protocol.attemptEnded(Outcome.TIMEOUT, ProtocolChoice.MIN_DETECTION_INTERVAL_NANOS);
        assertEquals(
                ProtocolChoice.Step.HTTP2,
                protocol.step(),
                "too soon after the detection, or not a connection failure");
        protocol.attemptEnded(Outcome.RESET, ProtocolChoice.MIN_DETECTION_INTERVAL_NANOS);
        assertEquals(ProtocolChoice.Step.DETECT, protocol.step());
        protocol.restarted();
        assertEquals(ProtocolChoice.Step.DETECT, protocol.step(), "a restart requires a new detection");
        protocol.detected(Learned.OTHER, ProtocolChoice.MIN_DETECTION_INTERVAL_NANOS);
        assertEquals(ProtocolChoice.Step.HTTP1, protocol.step());
        protocol.restarted();
        protocol.http1Required(0);
        assertEquals(ProtocolChoice.Step.HTTP1, protocol.step());
    }
}
