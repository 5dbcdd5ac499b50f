package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pondridge.http1.StubServer;

/** Closing a client connection while bytes from that client are still unread. */
class ConnectionCloseTest {
    private static final int LARGE_RESPONSE = 1_000_000;

    private interface Action {
        void run() throws Exception;
    }

    /** Runs the action while the event loop is blocked, then {@code inSameIteration} in the same loop iteration. */
    private static void whileBlocked(SidecarFixture sidecar, Action action, Runnable inSameIteration) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        sidecar.loop.execute(() -> {
            blocked.countDown();
            assertTrue(StubServer.await(go));
            inSameIteration.run();
        });
        assertTrue(blocked.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        action.run();
        go.countDown();
    }

    /** Idle connections use up the limit, and the one that has been idle longest has just sent its next request. */
    @Test
    void aConnectionWithAnUnreadRequestIsNotEvicted() throws Exception {
        List<SidecarFixture.Client> idle = new ArrayList<>();
        try (StubServer upstream = StubServer.serving("x");
                SidecarFixture sidecar = SidecarFixture.with(upstream)) {
            for (int i = 0; i < SidecarFixture.MAX_OPEN; i++) {
                idle.add(new SidecarFixture.Client(sidecar.address));
                assertEquals(
                        200,
                        idle.get(i)
                                .exchange(SidecarFixture.safeRequest("first" + i))
                                .status());
            }
            SidecarFixture.Client[] additional = new SidecarFixture.Client[1];
            whileBlocked(
                    sidecar,
                    () -> {
                        additional[0] = new SidecarFixture.Client(sidecar.address);
                        StubServer.write(additional[0].socket, SidecarFixture.safeRequest("new"));
                        StubServer.write(idle.get(0).socket, SidecarFixture.safeRequest("unread"));
                    },
                    () -> {});
            assertEquals(200, idle.get(0).readResponse().status());
            assertEquals(200, additional[0].readResponse().status());
            assertEquals(
                    -1, idle.get(1).socket.getInputStream().read(), "the connection idle second longest is evicted");
            additional[0].close();
        } finally {
            for (SidecarFixture.Client client : idle) {
                client.close();
            }
        }
    }

    /** A request is unread on a reused connection when draining starts. */
    @Test
    void anUnreadRequestGetsAResponseWhenDrainingStarts() throws Exception {
        try (StubServer upstream = StubServer.serving("x");
                SidecarFixture sidecar = SidecarFixture.with(upstream);
                SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
            assertEquals(200, client.exchange(SidecarFixture.safeRequest("a")).status());
            whileBlocked(
                    sidecar,
                    () -> StubServer.write(client.socket, SidecarFixture.safeRequest("b")),
                    sidecar.frontend::drain);
            SidecarFixture.Response response = client.readResponse();
            assertEquals(200, response.status());
            assertEquals("close", StubServer.header(response.head(), "Connection"));
        }
    }

    /** A slow reader sends more data after its last request: a reset would truncate its response. */
    @Test
    void aLastResponseIsNotTruncatedByFurtherInput() throws Exception {
        try (StubServer upstream = StubServer.serving("x".repeat(LARGE_RESPONSE));
                SidecarFixture sidecar = SidecarFixture.with(upstream);
                Socket slow = new Socket()) {
            slow.setReceiveBufferSize(4096);
            slow.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS));
            slow.connect(sidecar.address);
            StubServer.write(slow, SidecarFixture.safeRequest("a").replace("Host:", "Connection: close\r\nHost:"));
            InputStream in = new BufferedInputStream(slow.getInputStream());
            int remaining = StubServer.contentLength(StubServer.readHead(in));
            assertEquals(LARGE_RESPONSE, remaining);
            while (remaining > 0) {
                int read = in.read(new byte[10_000]);
                assertTrue(read > 0, remaining + " bytes are missing");
                remaining -= read;
                sendLineEnd(slow);
            }
        }
    }

    private static void sendLineEnd(Socket socket) {
        try {
            StubServer.write(socket, "\r\n");
        } catch (IOException e) {
            // The sidecar may have closed the connection by now; only the response that can be read matters.
        }
    }
}
