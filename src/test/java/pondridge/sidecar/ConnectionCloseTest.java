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
import pondridge.http1.Stub;

/** The sidecar closes a client's connection while bytes of that client have not been read. */
class ConnectionCloseTest {
    private static final int LARGE_RESPONSE = 1_000_000;

    private interface Action {
        void run() throws Exception;
    }

    /** Runs the action while the event loop is blocked, then {@code last} on the loop in the same turn. */
    private static void whileBlocked(Bed bed, Action action, Runnable last) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        bed.loop.execute(() -> {
            blocked.countDown();
            assertTrue(Stub.await(go));
            last.run();
        });
        assertTrue(blocked.await(Stub.LIMIT_S, TimeUnit.SECONDS));
        action.run();
        go.countDown();
    }

    /** Every place is taken by idle connections, and the one idle longest has sent its next request. */
    @Test
    void aConnectionWhoseRequestIsUnreadDoesNotMakeRoom() throws Exception {
        List<Bed.Client> idle = new ArrayList<>();
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream)) {
            for (int i = 0; i < Bed.MOST; i++) {
                idle.add(new Bed.Client(bed.address));
                assertEquals(200, idle.get(i).ask(Bed.look("first" + i)).status());
            }
            Bed.Client[] another = new Bed.Client[1];
            whileBlocked(
                    bed,
                    () -> {
                        another[0] = new Bed.Client(bed.address);
                        Stub.write(another[0].socket, Bed.look("new"));
                        Stub.write(idle.get(0).socket, Bed.look("unread"));
                    },
                    () -> {});
            assertEquals(200, idle.get(0).read().status());
            assertEquals(200, another[0].read().status());
            assertEquals(-1, idle.get(1).socket.getInputStream().read(), "the next in turn made room");
            another[0].close();
        } finally {
            for (Bed.Client client : idle) {
                client.close();
            }
        }
    }

    /** A request that lies unread on a used connection when the draining begins. */
    @Test
    void anUnreadRequestIsAnsweredWhenTheDrainingBegins() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream);
                Bed.Client client = new Bed.Client(bed.address)) {
            assertEquals(200, client.ask(Bed.look("a")).status());
            whileBlocked(bed, () -> Stub.write(client.socket, Bed.look("b")), bed.frontend::drain);
            Bed.Answer answer = client.read();
            assertEquals(200, answer.status());
            assertEquals("close", Stub.header(answer.head(), "Connection"));
        }
    }

    /** A slow reader sends on behind its last request: a reset would take the rest of its response. */
    @Test
    void aLastResponseIsNotCutByWhatStillArrives() throws Exception {
        try (Stub upstream = Stub.serving("x".repeat(LARGE_RESPONSE));
                Bed bed = Bed.with(upstream);
                Socket slow = new Socket()) {
            slow.setReceiveBufferSize(4096);
            slow.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Stub.LIMIT_S));
            slow.connect(bed.address);
            Stub.write(slow, Bed.look("a").replace("Host:", "Connection: close\r\nHost:"));
            InputStream in = new BufferedInputStream(slow.getInputStream());
            int left = Stub.length(Stub.head(in));
            assertEquals(LARGE_RESPONSE, left);
            while (left > 0) {
                int read = in.read(new byte[10_000]);
                assertTrue(read > 0, left + " bytes are missing");
                left -= read;
                sendOn(slow);
            }
        }
    }

    private static void sendOn(Socket socket) {
        try {
            Stub.write(socket, "\r\n");
        } catch (IOException e) {
            // The sidecar may have closed by now; what counts is what can still be read.
        }
    }
}
