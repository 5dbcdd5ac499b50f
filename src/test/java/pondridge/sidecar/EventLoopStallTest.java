package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.http1.SaturatedListener;
import pondridge.http1.StubServer;

/**
 * The event loop stalls while a client disconnects and another event for its request arrives. The loop may process that
 * event before it sees the disconnect.
 */
class EventLoopStallTest {
    /** Longer than the 0.1 s in which a disconnect must be detected. */
    private static final long STALL_MS = 150;

    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();

    /** Runs while the event loop reads nothing. */
    private interface Action {
        void run() throws Exception;
    }

    private SidecarFixture startSidecar(ObjectNode json) throws Exception {
        return new SidecarFixture(json, engine -> engine.observe((uid, kind, outcome, took) -> outcomes.add(outcome)));
    }

    private static void whileStalled(SidecarFixture sidecar, Action action) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        sidecar.loop.execute(() -> {
            stalled.countDown();
            assertTrue(StubServer.await(go));
        });
        assertTrue(stalled.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        action.run();
        Thread.sleep(STALL_MS);
        go.countDown();
    }

    private static void reset(Socket socket) throws IOException {
        StubServer.reset(socket);
        socket.close();
    }

    @Test
    void aNewConnectionCarriesNoRequestOfADisconnectedClient() throws Exception {
        try (SaturatedListener late = new SaturatedListener()) {
            ObjectNode json = SidecarFixture.config();
            ((ObjectNode) json.at("/settings/caps")).put("mayCancel", false).put("connectTimeout", 600_000_000_000L);
            json.withObject("/known")
                    .withArray("/targets")
                    .add(SidecarFixture.target(
                            "s-0", "127.0.0.1:" + late.address().getPort(), "SERVING"));
            try (SidecarFixture sidecar = startSidecar(json);
                    SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
                StubServer.write(client.socket, SidecarFixture.safeRequest("a"));
                while (sidecar.loop.submit(sidecar.engine::requestCount).get() == 0) {
                    Thread.onSpinWait();
                }
                // Runs after the loop iteration in which the balancer receives the request.
                sidecar.loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
                Socket[] accepted = new Socket[1];
                whileStalled(sidecar, () -> {
                    accepted[0] = late.accept();
                    client.socket.close();
                });
                assertEquals(-1, accepted[0].getInputStream().read(), "nothing is written to it");
                assertEquals(Outcome.NEVER_SENT, StubServer.awaitNext(outcomes));
            }
        }
    }

    /** A server that answers warm-up requests and holds all others, whose sockets it adds to {@code received}. */
    private static StubServer.Script holdingAllButWarmUpRequests(BlockingQueue<Socket> received) {
        return (socket, head) -> {
            if (StubServer.header(head, "Req-Id").startsWith("warm")) {
                return StubServer.reply(socket, "200 OK", "", "x");
            }
            received.add(socket);
            return true;
        };
    }

    /** Sends requests until each server has answered one, so that there is an idle connection to each. */
    private void serveWarmUpRequests(SidecarFixture sidecar, StubServer one, StubServer two) throws Exception {
        for (int i = 0; one.requestHeads.isEmpty() || two.requestHeads.isEmpty(); i++) {
            assertTrue(i < 1000, "one server never gets a request");
            assertEquals(
                    200,
                    sidecar.exchange(SidecarFixture.safeRequest("warm" + i)).status());
            assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
        }
    }

    /** The response is read before the client's disconnect, and the second server has an idle connection. */
    private void retryAfterDisconnect(boolean reset) throws Exception {
        BlockingQueue<Socket> received = new LinkedBlockingQueue<>();
        StubServer.Script script = holdingAllButWarmUpRequests(received);
        try (StubServer one = new StubServer(script);
                StubServer two = new StubServer(script);
                SidecarFixture sidecar = startSidecar(SidecarFixture.config(one, two));
                SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
            serveWarmUpRequests(sidecar, one, two);
            StubServer.write(client.socket, SidecarFixture.safeRequest("a"));
            Socket first = StubServer.awaitNext(received);
            whileStalled(sidecar, () -> {
                StubServer.reply(first, "500 Error", "", "x");
                if (reset) {
                    reset(client.socket);
                } else {
                    client.socket.close();
                }
            });
            assertEquals(Outcome.ERROR, StubServer.awaitNext(outcomes));
            assertEquals(Outcome.NEVER_SENT, StubServer.awaitNext(outcomes), "the retry");
            assertEquals(
                    200, sidecar.exchange(SidecarFixture.safeRequest("warm")).status());
            assertEquals(0, received.size());
        }
    }

    @Test
    void noRetryIsSentAfterTheClientHasClosed() throws Exception {
        retryAfterDisconnect(false);
    }

    @Test
    void noRetryIsSentAfterTheClientHasReset() throws Exception {
        retryAfterDisconnect(true);
    }

    /** A change of the list arrives during the stall, behind the response that makes a retry due. */
    @Test
    void noRetryIsSentToAServerThatBeganToDrainDuringAStall() throws Exception {
        BlockingQueue<Socket> received = new LinkedBlockingQueue<>();
        BlockingQueue<Socket> watches = new LinkedBlockingQueue<>();
        StubServer.Script script = holdingAllButWarmUpRequests(received);
        try (StubServer one = new StubServer(script);
                StubServer two = new StubServer(script);
                StubServer discovery = new StubServer((socket, head) -> {
                    StubServer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                    return watches.add(socket);
                });
                SidecarFixture sidecar =
                        startSidecar(SidecarFixture.config(one, two).put("discovery", discovery.endpoint()));
                SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
            sidecar.loop.execute(sidecar.discovery::startIfPushed);
            Socket watch = StubServer.awaitNext(watches);
            serveWarmUpRequests(sidecar, one, two);
            StubServer.write(client.socket, SidecarFixture.safeRequest("a"));
            Socket first = StubServer.awaitNext(received);
            boolean firstIsOne = first.getLocalPort() == one.address().getPort();
            String change = SidecarFixture.endpointList(
                                    42,
                                    false,
                                    SidecarFixture.target(
                                            firstIsOne ? "s-1" : "s-0",
                                            (firstIsOne ? two : one).endpoint(),
                                            "DRAINING"))
                            .toString()
                    + "\n";
            whileStalled(sidecar, () -> {
                StubServer.reply(first, "500 Error", "", "x");
                StubServer.write(watch, Integer.toHexString(change.length()) + "\r\n" + change + "\r\n");
            });
            assertEquals(Outcome.ERROR, StubServer.awaitNext(outcomes));
            assertNotEquals(200, client.readResponse().status());
            assertEquals(0, received.size(), "requests to the server that drains");
        }
    }

    /** A complete request and its client's disconnect are read together: the request is not forwarded. */
    @Test
    void aRequestOfADisconnectedClientIsNotSent() throws Exception {
        try (StubServer upstream = StubServer.serving("x");
                SidecarFixture sidecar = startSidecar(SidecarFixture.config(upstream));
                SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
            assertEquals(200, client.exchange(SidecarFixture.safeRequest("a")).status());
            StubServer.awaitNext(upstream.requestHeads);
            whileStalled(sidecar, () -> {
                StubServer.write(client.socket, SidecarFixture.safeRequest("b"));
                client.socket.close();
            });
            while (!sidecar.loop
                    .submit(() -> sidecar.engine.requestCount() == 2 && sidecar.engine.isIdle())
                    .get()) {
                Thread.onSpinWait();
            }
            assertEquals(200, sidecar.exchange(SidecarFixture.safeRequest("c")).status());
            assertEquals(
                    "c",
                    StubServer.header(StubServer.awaitNext(upstream.requestHeads), "Req-Id"),
                    "not the previous request");
        }
    }

    /** Pipelined requests are read until the disconnect is seen; a client that sends too many is disconnected. */
    @Test
    void aDisconnectIsDetectedBehindManyPipelinedRequests() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    return StubServer.await(go) && StubServer.reply(socket, "200 OK", "", "x");
                });
                SidecarFixture sidecar = startSidecar(SidecarFixture.config(upstream));
                SidecarFixture.Client pipelining = new SidecarFixture.Client(sidecar.address);
                SidecarFixture.Client flooding = new SidecarFixture.Client(sidecar.address)) {
            StubServer.write(pipelining.socket, pipelined(200));
            StubServer.awaitNext(upstream.requestHeads);
            // Timers of one event loop fire in order: this one before the deadline, which would cancel the attempt,
            // too.
            sidecar.loop.execute(
                    () -> sidecar.loop.schedule(() -> outcomes.add(Outcome.TIMEOUT), 10, TimeUnit.SECONDS));
            pipelining.socket.close();
            assertEquals(Outcome.CANCELLED, StubServer.awaitNext(outcomes), "before any response");
            IOException end = assertThrows(IOException.class, () -> {
                StubServer.write(flooding.socket, pipelined(2500));
                while (true) {
                    flooding.readResponse();
                }
            });
            assertFalse(end instanceof SocketTimeoutException, "closed while the server still holds its request");
            go.countDown();
        }
    }

    private static String pipelined(int count) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < count; i++) {
            requests.append(SidecarFixture.safeRequest(count + "-" + i));
        }
        return requests.toString();
    }
}
