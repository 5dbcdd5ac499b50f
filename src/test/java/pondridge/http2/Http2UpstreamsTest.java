package pondridge.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.core.Transport;
import pondridge.http1.StubServer;
import pondridge.standin.Fault;
import pondridge.standin.FaultScript;
import pondridge.standin.FaultyLink;
import pondridge.standin.StandinServer;

/** Tests attempts over HTTP/2 on real connections and their outcomes. */
class Http2UpstreamsTest {
    private static final long MS = 1_000_000;
    private static final int WINDOW = 65_535;

    private static FaultScript always(Fault fault, long work) {
        return new FaultScript(1, Map.of(fault, 1.0), work, work);
    }

    /** Checks the outcome of each fault; no request that was executed may have an outcome that denies it. */
    @Test
    void everyFaultHasTheExpectedOutcome() throws Exception {
        Map<Fault, Outcome> expected = Map.ofEntries(
                Map.entry(Fault.NONE, Outcome.OK),
                Map.entry(Fault.SLOW, Outcome.OK),
                Map.entry(Fault.ADORNED, Outcome.OK),
                Map.entry(Fault.RESET_AFTER_ANSWER, Outcome.OK),
                Map.entry(Fault.GOAWAY, Outcome.OK),
                Map.entry(Fault.GOAWAY_LAST, Outcome.OK),
                Map.entry(Fault.STALL, Outcome.TIMEOUT),
                Map.entry(Fault.HALF, Outcome.TIMEOUT),
                Map.entry(Fault.HALF_CLOSE, Outcome.RESET),
                Map.entry(Fault.RESET, Outcome.RESET),
                Map.entry(Fault.RESET_UNRUN, Outcome.RESET),
                Map.entry(Fault.REFUSE, Outcome.REJECTED),
                Map.entry(Fault.DECLINE, Outcome.REJECTED),
                Map.entry(Fault.ERROR, Outcome.ERROR),
                Map.entry(Fault.CLOSE, Outcome.RESET),
                Map.entry(Fault.GOAWAY_LOWERED, Outcome.RESET),
                Map.entry(Fault.SILENT, Outcome.RESET),
                // Faults that only affect gRPC.
                Map.entry(Fault.NO_STATUS, Outcome.OK),
                Map.entry(Fault.CUT_MESSAGE, Outcome.OK),
                Map.entry(Fault.TWO_MESSAGES, Outcome.OK),
                Map.entry(Fault.WRONG_TYPE, Outcome.OK),
                // Servers that make false claims, which a client cannot detect.
                Map.entry(Fault.LIE, Outcome.REJECTED),
                Map.entry(Fault.GOAWAY_LIE, Outcome.REJECTED));
        assertEquals(Fault.values().length, expected.size());
        for (Map.Entry<Fault, Outcome> each : expected.entrySet()) {
            try (TransportHarness harness = new TransportHarness("quiet = \"20ms\"\nping_wait = \"20ms\"");
                    StandinServer server = harness.startServer(1, 100, WINDOW, always(each.getKey(), MS))) {
                boolean timesOut = each.getValue() == Outcome.TIMEOUT;
                harness.send(1, "x", timesOut ? 300 * MS : TransportHarness.LONG_TIMEOUT_NANOS);
                TransportHarness.Result result = harness.nextResult();
                assertEquals(each.getValue(), result.outcome(), each.getKey().toString());
                assertEquals(result.outcome() == Outcome.OK, result.response() != null);
                boolean falseClaim = each.getKey() == Fault.LIE || each.getKey() == Fault.GOAWAY_LIE;
                assertTrue(falseClaim || !result.outcome().provesNotExecuted() || server.executions() == 0);
            }
        }
    }

    /** Attempts above the stream limit wait or are rejected unsent; none is lost or times out. */
    @Test
    void loweringTheStreamLimitUnderLoadLosesNoAttempt() throws Exception {
        try (TransportHarness harness = new TransportHarness("connections_per_server = 1\nstream_wait = \"400ms\"");
                StandinServer server = harness.startServer(1, 100, WINDOW, FaultScript.withoutFaults(100 * MS))) {
            for (int i = 0; i < 300; i++) {
                harness.send(1, "a" + i, TransportHarness.LONG_TIMEOUT_NANOS);
            }
            TransportHarness.waitUntil(() -> server.executions() >= 100, "the first 100 requests");
            server.setMaxConcurrentStreams(1);
            List<Outcome> outcomes = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                outcomes.add(harness.nextResult().outcome());
            }
            server.setMaxConcurrentStreams(0);
            for (int i = 100; i < 300; i++) {
                outcomes.add(harness.nextResult().outcome());
            }
            long served = outcomes.stream().filter(Outcome.OK::equals).count();
            assertEquals(
                    300 - served,
                    outcomes.stream().filter(Outcome.REJECTED::equals).count());
            assertEquals(served, server.executions(), "rejected attempts were not executed");
            assertTrue(served >= 100 && served < 300, "some attempts above the limit were rejected: " + served);
            harness.send(1, "none", TransportHarness.LONG_TIMEOUT_NANOS);
            assertEquals(Outcome.REJECTED, harness.nextResult().outcome(), "no streams allowed");
            server.setMaxConcurrentStreams(100);
            TransportHarness.waitUntil(
                    () -> {
                        try {
                            harness.send(1, "again" + System.nanoTime(), TransportHarness.LONG_TIMEOUT_NANOS);
                            return harness.nextResult().outcome() == Outcome.OK;
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                    },
                    "a request to succeed after the limit was raised");
            assertEquals(1, server.peakConnections());
            assertEquals(0, harness.ledger.verdict().duplicateEffects());
        }
    }

    /** A connection ends with 100 requests open on it and 100 more being sent. */
    @Test
    void connectionEndWithManyOpenStreamsIdentifiesRequestsNotExecuted() throws Exception {
        for (Fault fault : List.of(Fault.GOAWAY_LAST, Fault.GOAWAY_LOWERED, Fault.CLOSE, Fault.SILENT)) {
            try (TransportHarness harness = new TransportHarness("connections_per_server = 1\nquiet = \"100ms\"\n"
                            + "ping_wait = \"100ms\"\nredial = \"10s\"");
                    StandinServer server = harness.startServer(1, 300, WINDOW, FaultScript.withoutFaults(400 * MS))) {
                harness.sendConcurrently(1, "open", 100);
                TransportHarness.waitUntil(() -> server.executions() == 100, "100 requests open");
                server.overrideFaults(Map.of(fault, 1.0));
                harness.sendConcurrently(1, "more", 100);
                int notExecuted = 0;
                for (int i = 0; i < 200; i++) {
                    notExecuted += harness.nextResult().outcome().provesNotExecuted() ? 1 : 0;
                }
                int runs = server.executions();
                assertTrue(
                        runs >= 100 && runs <= 200 - notExecuted,
                        fault + ": executed " + runs + ", proven not executed " + notExecuted);
                if (fault == Fault.GOAWAY_LAST) {
                    assertEquals(99, notExecuted, "all streams above the last stream id");
                }
                assertEquals(0, harness.ledger.verdict().duplicateEffects());
            }
        }
    }

    /** After a drain, attempts waiting for a stream must not be sent to the upstream. */
    @Test
    void drainEndsAttemptsWaitingForAStream() throws Exception {
        try (TransportHarness harness = new TransportHarness("connections_per_server = 1\nstream_wait = \"10s\"");
                StandinServer server = harness.startServer(1, 1, WINDOW, FaultScript.withoutFaults(200 * MS))) {
            harness.send(1, "first", TransportHarness.LONG_TIMEOUT_NANOS);
            TransportHarness.waitUntil(() -> server.executions() == 1, "the first request");
            for (int i = 0; i < 50; i++) {
                harness.send(1, "w" + i, TransportHarness.LONG_TIMEOUT_NANOS);
            }
            harness.updateEndpoint(1, server.address(), false);
            for (int i = 0; i < 50; i++) {
                TransportHarness.Result result = harness.nextResult();
                assertEquals(Outcome.CONNECT_FAILED, result.outcome(), result.id());
            }
            assertEquals("first", harness.nextResult().id(), "an open stream runs to its end");
            assertEquals(1, server.executions());
            TransportHarness.waitUntil(() -> server.connections() == 0, "the connection to close");
        }
    }

    /** A request whose body is held back by flow control was not fully sent and was not executed. */
    @Test
    void requestBlockedByFlowControlIsNotExecuted() throws Exception {
        try (TransportHarness harness = new TransportHarness("");
                StandinServer server = harness.startServer(1, 100, 40, FaultScript.withoutFaults(MS))) {
            harness.send(1, "in parts", TransportHarness.LONG_TIMEOUT_NANOS);
            assertEquals(Outcome.OK, harness.nextResult().outcome(), "100 bytes through a window of 40");
            assertEquals(1, server.executions());
        }
        try (TransportHarness harness = new TransportHarness("");
                StandinServer server = harness.startServer(1, 100, 0, FaultScript.withoutFaults(MS))) {
            harness.send(1, "stuck", 200 * MS);
            assertEquals(Outcome.CONNECT_FAILED, harness.nextResult().outcome());
            Transport.Attempt attempt = harness.send(1, "cancelled", TransportHarness.LONG_TIMEOUT_NANOS);
            harness.cancel(attempt);
            assertEquals(Outcome.CANCELLED, harness.nextResult().outcome());
            harness.send(1, "drained", TransportHarness.LONG_TIMEOUT_NANOS);
            harness.updateEndpoint(1, server.address(), false);
            assertEquals(Outcome.CONNECT_FAILED, harness.nextResult().outcome());
            assertEquals(0, server.executions());
        }
    }

    /**
     * Guards against executing a request after its outcome has denied it: its stream is reset immediately,
     * regardless of the reset budget, so that the body is not sent when the server opens the window.
     */
    @Test
    void abandonedRequestIsNotExecutedWhenTheWindowOpens() throws Exception {
        try (TransportHarness harness = new TransportHarness("resets = 1\nreset_window = \"10min\"");
                StandinServer server = harness.startServer(1, 100, 0, FaultScript.withoutFaults(MS))) {
            for (int i = 0; i < 4; i++) {
                harness.send(1, "late" + i, 100 * MS);
            }
            for (int i = 0; i < 4; i++) {
                assertEquals(Outcome.CONNECT_FAILED, harness.nextResult().outcome());
            }
            harness.cancel(harness.send(1, "cancelled", TransportHarness.LONG_TIMEOUT_NANOS));
            assertEquals(Outcome.CANCELLED, harness.nextResult().outcome());
            server.setInitialWindow(WINDOW);
            harness.send(1, "open", TransportHarness.LONG_TIMEOUT_NANOS);
            assertEquals(Outcome.OK, harness.nextResult().outcome());
            assertEquals(1, server.executions(), "only the last request was executed");
            assertEquals(1, server.peakConnections());
        }
    }

    /** A connection whose stream ids are exhausted takes no more requests; a new connection does. */
    @Test
    void exhaustedStreamIdsOpenAnotherConnection() throws Exception {
        try (TransportHarness harness = new TransportHarness("", Integer.MAX_VALUE - 4);
                StandinServer server = harness.startServer(1, 100, WINDOW, FaultScript.withoutFaults(MS))) {
            for (int i = 0; i < 7; i++) {
                harness.send(1, "x" + i, TransportHarness.LONG_TIMEOUT_NANOS);
                assertEquals(Outcome.OK, harness.nextResult().outcome());
            }
            assertEquals(7, server.executions());
            TransportHarness.waitUntil(() -> server.connections() == 1, "exhausted connections to close");
        }
    }

    /**
     * Resets are limited by a budget. A stream abandoned beyond it stays open, and further requests use other
     * streams.
     */
    @Test
    void resetsAreLimitedByTheBudget() throws Exception {
        try (TransportHarness harness = new TransportHarness("resets = 2\nreset_window = \"10min\"");
                StandinServer server = harness.startServer(1, 5, WINDOW, always(Fault.STALL, MS))) {
            List<Transport.Attempt> attempts = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                attempts.add(harness.send(1, "x" + i, TransportHarness.LONG_TIMEOUT_NANOS));
            }
            TransportHarness.waitUntil(() -> server.executions() == 5, "all five requests");
            for (Transport.Attempt attempt : attempts) {
                harness.cancel(attempt);
                assertEquals(Outcome.CANCELLED, harness.nextResult().outcome());
            }
            for (int i = 5; i < 7; i++) {
                harness.send(1, "x" + i, TransportHarness.LONG_TIMEOUT_NANOS);
            }
            TransportHarness.waitUntil(
                    () -> server.executions() == 7, "two requests on the streams that became available");
            assertEquals(1, server.peakConnections());
            harness.send(1, "x7", TransportHarness.LONG_TIMEOUT_NANOS);
            TransportHarness.waitUntil(() -> server.executions() == 8, "one more request");
            assertEquals(2, server.peakConnections(), "three abandoned streams are still open");
        }
    }

    /** Waiting attempts and connections are bounded, and idle connections are closed to free capacity. */
    @Test
    void waitingAttemptsAndConnectionsAreBounded() throws Exception {
        try (TransportHarness harness = new TransportHarness(
                        "connections_per_server = 1\nconnections = 1\nwaiting = 3\nstream_wait = \"10s\"");
                StandinServer first = harness.startServer(1, 1, WINDOW, FaultScript.withoutFaults(50 * MS));
                StandinServer second = harness.startServer(2, 1, WINDOW, FaultScript.withoutFaults(MS))) {
            harness.send(1, "x0", TransportHarness.LONG_TIMEOUT_NANOS);
            TransportHarness.waitUntil(() -> first.executions() == 1, "the first request");
            for (int i = 1; i < 5; i++) {
                harness.send(1, "x" + i, TransportHarness.LONG_TIMEOUT_NANOS);
            }
            assertEquals(Outcome.REJECTED, harness.nextResult().outcome(), "the queue is full");
            harness.send(2, "while all busy", TransportHarness.LONG_TIMEOUT_NANOS);
            assertEquals(Outcome.NEVER_SENT, harness.nextResult().outcome(), "every connection is in use");
            for (int i = 0; i < 4; i++) {
                assertEquals(Outcome.OK, harness.nextResult().outcome());
            }
            harness.send(2, "after idle", TransportHarness.LONG_TIMEOUT_NANOS);
            assertEquals(Outcome.OK, harness.nextResult().outcome(), "the idle connection is closed to free capacity");
            assertEquals(1, second.executions());
        }
    }

    /**
     * A server on plain sockets: sends a greeting after the client's preface and further bytes after the
     * request, then reads until the connection ends.
     */
    private static final class RawServer implements AutoCloseable {
        private final ServerSocket serverSocket = new ServerSocket();
        private final BlockingQueue<String> endedConnections = new LinkedBlockingQueue<>();

        RawServer(byte[] greeting, byte[] initial, byte[] repeated, int repetitions) throws IOException {
            serverSocket.bind(TransportHarness.local(0));
            StubServer.startThread(() -> {
                try {
                    while (true) {
                        serve(serverSocket.accept(), greeting, initial, repeated, repetitions);
                    }
                } catch (IOException e) {
                    // The server socket was closed.
                }
            });
        }

        private void serve(Socket socket, byte[] greeting, byte[] initial, byte[] repeated, int repetitions)
                throws IOException {
            try (socket) {
                InputStream in = socket.getInputStream();
                in.readNBytes(24);
                socket.getOutputStream().write(greeting);
                // SETTINGS and similar short frames come first; once this many bytes have been read, the
                // request has arrived.
                for (int read = 0; read < 150; ) {
                    int bytes = in.read(new byte[4096]);
                    if (bytes < 0) {
                        break;
                    }
                    read += bytes;
                }
                socket.getOutputStream().write(initial);
                for (int i = 0; i < repetitions; i++) {
                    socket.getOutputStream().write(repeated);
                }
                while (in.read() >= 0) {
                    Thread.onSpinWait();
                }
                endedConnections.add("end");
            } catch (IOException e) {
                endedConnections.add("broken");
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) serverSocket.getLocalSocketAddress();
        }

        @Override
        public void close() throws IOException {
            serverSocket.close();
        }
    }

    static byte[] frame(int type, int flags, int stream, byte... payload) {
        ByteBuf frame = Unpooled.buffer();
        frame.writeMedium(payload.length).writeByte(type).writeByte(flags).writeInt(stream);
        frame.writeBytes(payload);
        return ByteBufUtil.getBytes(frame);
    }

    /**
     * A misbehaving server must not use up memory or time: its connection and the attempts on it are ended.
     */
    @Test
    void connectionsToMisbehavingServersAreClosed() throws Exception {
        byte[] settings = frame(4, 0, 0);
        Map<String, byte[]> misbehaviours = Map.of(
                "settings flood", frame(4, 0, 0),
                "ping flood", frame(6, 0, 0, new byte[8]),
                "empty data flood", frame(0, 0, 1),
                "unknown frame flood", frame(0x33, 0, 0, (byte) 1),
                "continuation without end", frame(9, 0, 1, new byte[1000]),
                "window overflow", frame(8, 0, 0, (byte) 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff),
                "push", frame(5, 4, 1, (byte) 0, (byte) 0, (byte) 0, (byte) 2),
                "data on stream 0", frame(0, 1, 0, (byte) 1),
                "oversized frame", new byte[] {0x7f, 0, 0, 0, 0, 0, 0, 0, 1});
        for (Map.Entry<String, byte[]> misbehaviour : misbehaviours.entrySet()) {
            byte[] first = misbehaviour.getKey().startsWith("continuation") ? frame(1, 0, 1) : new byte[0];
            try (RawServer server = new RawServer(settings, first, misbehaviour.getValue(), 20_000);
                    TransportHarness harness = new TransportHarness("control_frames = 100")) {
                harness.updateEndpoint(1, server.address(), true);
                harness.send(1, "x", TransportHarness.LONG_TIMEOUT_NANOS);
                TransportHarness.Result result = harness.nextResult();
                assertEquals(
                        false, result.outcome().provesNotExecuted(), misbehaviour.getKey() + " " + result.outcome());
                if (!misbehaviour.getKey().startsWith("empty")) {
                    // Empty DATA on a stream that has already ended is ignored and costs nothing.
                    StubServer.awaitNext(server.endedConnections);
                }
            }
        }
    }

    /** A stream error ends only that stream; the connection and its other streams continue. */
    @Test
    void streamErrorEndsOnlyThatStream() throws Exception {
        byte[] noIncrement = frame(8, 0, 1, new byte[4]);
        try (RawServer server = new RawServer(frame(4, 0, 0), new byte[0], noIncrement, 1);
                TransportHarness harness = new TransportHarness("")) {
            harness.updateEndpoint(1, server.address(), true);
            harness.send(1, "x", TransportHarness.LONG_TIMEOUT_NANOS);
            assertEquals(Outcome.ERROR, harness.nextResult().outcome());
            harness.send(1, "y", 200 * MS);
            assertEquals(Outcome.TIMEOUT, harness.nextResult().outcome(), "sent on the same connection");
            assertEquals(0, server.endedConnections.size());
        }
    }

    /** One direction of the link loses all data: only the connection's own PINGs detect it. */
    @Test
    void silentLinksAreDetected() throws Exception {
        for (FaultyLink.Direction direction : FaultyLink.Direction.values()) {
            try (TransportHarness harness =
                            new TransportHarness("quiet = \"50ms\"\nping_wait = \"50ms\"\nredial = \"1ms\"");
                    StandinServer server = harness.startServer(1, 100, WINDOW, FaultScript.withoutFaults(MS));
                    FaultyLink link = harness.link(server, 1)) {
                harness.send(1, "good", TransportHarness.LONG_TIMEOUT_NANOS);
                assertEquals(Outcome.OK, harness.nextResult().outcome());
                FaultyLink.Condition good = FaultyLink.Condition.delayed(0, 0);
                link.setCondition(direction, good.withDiscarding(true));
                harness.send(1, "lost", TransportHarness.LONG_TIMEOUT_NANOS);
                assertEquals(Outcome.RESET, harness.nextResult().outcome(), "it may have been executed");
                int expectedRuns = direction == FaultyLink.Direction.BACKWARD ? 2 : 1;
                TransportHarness.waitUntil(
                        () -> server.executions() == expectedRuns,
                        "the number of executions expected for this direction");
                link.setCondition(direction, good);
                harness.send(1, "again", TransportHarness.LONG_TIMEOUT_NANOS);
                assertEquals(Outcome.OK, harness.nextResult().outcome(), "on a new connection");
            }
        }
    }

    /** A server that does not send SETTINGS receives no request. */
    @Test
    void noRequestIsSentToServersWithoutHttp2() throws Exception {
        byte[] http1 = "HTTP/1.1 400 Bad Request\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        for (byte[] greeting : List.of(http1, new byte[0])) {
            try (RawServer server = new RawServer(greeting, new byte[0], new byte[0], 0);
                    TransportHarness harness = new TransportHarness("settings_wait = \"100ms\"")) {
                harness.updateEndpoint(1, server.address(), true);
                harness.send(1, "x", TransportHarness.LONG_TIMEOUT_NANOS);
                assertEquals(Outcome.CONNECT_FAILED, harness.nextResult().outcome());
                StubServer.awaitNext(server.endedConnections);
            }
        }
    }

    /**
     * After a connection that delivered no response, the next attempts do not open another one immediately.
     */
    @Test
    void reconnectsAfterFailedConnectionsAreDelayed() throws Exception {
        try (TransportHarness harness = new TransportHarness("redial = \"10s\"");
                StandinServer server = harness.startServer(1, 100, WINDOW, always(Fault.GOAWAY_LIE, MS))) {
            for (int i = 0; i < 20; i++) {
                harness.send(1, "x" + i, TransportHarness.LONG_TIMEOUT_NANOS);
                assertTrue(harness.nextResult().outcome().provesNotExecuted());
            }
            assertEquals(1, server.peakConnections());
            assertEquals(1, server.executions(), "the only executed request was denied by the server");
        }
    }
}
