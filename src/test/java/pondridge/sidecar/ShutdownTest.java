package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pondridge.http1.StubServer;

/** Shutdown while a new connection sends its request, a response is being written, or a server hangs. */
class ShutdownTest {
    private static final long SHUTDOWN_NANOS = 300_000_000;

    /** Closing a new connection at once would lose the request that its client is sending. */
    @Test
    void aNewConnectionMaySendItsFirstRequest() throws Exception {
        try (StubServer upstream = StubServer.serving("x");
                SidecarFixture sidecar = SidecarFixture.with(upstream);
                SidecarFixture.Client silent = new SidecarFixture.Client(sidecar.address)) {
            SidecarFixture.Client fresh = new SidecarFixture.Client(sidecar.address);
            // Connections are accepted in order, so the earlier ones have been accepted by now.
            assertEquals(200, sidecar.exchange(SidecarFixture.safeRequest("a")).status());
            CountDownLatch drained = new CountDownLatch(1);
            CountDownLatch written = new CountDownLatch(1);
            sidecar.loop.execute(() -> {
                sidecar.frontend.drain();
                drained.countDown();
                // In the same loop iteration, so the client's request is in transit when draining starts.
                assertTrue(StubServer.await(written));
            });
            assertTrue(drained.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            StubServer.write(fresh.socket, SidecarFixture.safeRequest("b"));
            written.countDown();
            SidecarFixture.Response response = fresh.readResponse();
            assertEquals(200, response.status());
            assertEquals("close", StubServer.header(response.head(), "Connection"));
            assertEquals(-1, silent.socket.getInputStream().read(), "a silent connection is closed");
            fresh.close();
        }
    }

    /** A connection is closed also if its response was being written when draining started. */
    @Test
    void aResponseBeingWrittenClosesItsConnection() throws Exception {
        int size = 1_000_000;
        try (StubServer upstream = StubServer.serving("x".repeat(size));
                SidecarFixture sidecar = SidecarFixture.with(upstream);
                Socket slow = new Socket()) {
            slow.setReceiveBufferSize(4096);
            slow.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS));
            slow.connect(sidecar.address);
            StubServer.write(slow, SidecarFixture.safeRequest("a"));
            StubServer.awaitNext(upstream.requestHeads);
            while (!sidecar.loop
                    .submit(() -> sidecar.engine.requestCount() > 0 && sidecar.engine.isIdle())
                    .get()) {
                Thread.onSpinWait();
            }
            sidecar.loop.submit(sidecar.frontend::drain).sync();
            InputStream in = new BufferedInputStream(slow.getInputStream());
            assertEquals(size, in.readNBytes(StubServer.contentLength(StubServer.readHead(in))).length);
            assertThrows(
                    IOException.class,
                    () -> {
                        StubServer.write(slow, SidecarFixture.safeRequest("b"));
                        if (StubServer.readHead(in).isEmpty()) {
                            throw new IOException("connection closed");
                        }
                    },
                    "no further request is accepted there");
        }
    }

    /** All requests sent before the connection close is announced get responses; the last response closes it. */
    @Test
    void pipelinedRequestsStillGetResponses() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    return StubServer.await(go) && StubServer.reply(socket, "200 OK", "", "x");
                });
                SidecarFixture sidecar = SidecarFixture.with(upstream);
                SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
            StubServer.write(client.socket, SidecarFixture.safeRequest("a") + SidecarFixture.safeRequest("b"));
            StubServer.awaitNext(upstream.requestHeads);
            sidecar.loop.submit(sidecar.frontend::drain).sync();
            go.countDown();
            assertEquals(200, client.readResponse().status());
            SidecarFixture.Response last = client.readResponse();
            assertEquals(200, last.status());
            assertEquals("close", StubServer.header(last.head(), "Connection"));
        }
    }

    /** A request whose deadline is after the shutdown deadline still gets its response. */
    @Test
    void openRequestsGetResponsesBeforeTheShutdownDeadline() throws Exception {
        try (StubServer hung = new StubServer((socket, head) -> true);
                SidecarFixture sidecar = SidecarFixture.with(hung);
                SidecarFixture.Client safe = new SidecarFixture.Client(sidecar.address);
                SidecarFixture.Client unsafe = new SidecarFixture.Client(sidecar.address)) {
            StubServer.write(safe.socket, SidecarFixture.safeRequest("a"));
            StubServer.write(unsafe.socket, SidecarFixture.postRequest("book", "", "x"));
            StubServer.awaitNext(hung.requestHeads);
            StubServer.awaitNext(hung.requestHeads);
            sidecar.loop
                    .submit(() -> sidecar.engine.announceShutdown(SHUTDOWN_NANOS))
                    .sync();
            // A timer of the same event loop, long after the shutdown and long before the request deadlines.
            CountDownLatch timerFired = new CountDownLatch(1);
            sidecar.loop.execute(() -> sidecar.loop.schedule(timerFired::countDown, 10, TimeUnit.SECONDS));
            assertEquals(503, safe.readResponse().status(), "a retry is harmless");
            assertEquals(502, unsafe.readResponse().status(), "it may have been executed");
            assertEquals(
                    503,
                    sidecar.exchange(SidecarFixture.safeRequest("b")).status(),
                    "later requests get a response at once");
            assertTrue(sidecar.loop.submit(sidecar.engine::isIdle).get());
            assertEquals(1, timerFired.getCount(), "by the shutdown, not by the deadline");
        }
    }
}
