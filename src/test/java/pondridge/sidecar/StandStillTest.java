package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import pondridge.http1.LateConnection;
import pondridge.http1.Stub;

/**
 * The loop stands still while a client leaves and something falls due for it: what is due may be read first.
 */
class StandStillTest {
    /** More than the 0.1 s in which a leave has to be seen. */
    private static final long LONG_MS = 150;

    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();

    /** What happens while nothing is read. */
    private interface Meanwhile {
        void happens() throws Exception;
    }

    private Bed bed(ObjectNode json) throws Exception {
        return new Bed(json, engine -> engine.observe((uid, kind, outcome, took) -> outcomes.add(outcome)));
    }

    private static void still(Bed bed, Meanwhile meanwhile) throws Exception {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        bed.loop.execute(() -> {
            stands.countDown();
            assertTrue(Stub.await(go));
        });
        assertTrue(stands.await(Stub.LIMIT_S, TimeUnit.SECONDS));
        meanwhile.happens();
        Thread.sleep(LONG_MS);
        go.countDown();
    }

    private static void reset(Socket socket) throws IOException {
        Stub.reset(socket);
        socket.close();
    }

    @Test
    void aConnectionThatComesUpCarriesNothingForWhoHasLeft() throws Exception {
        try (LateConnection late = new LateConnection()) {
            ObjectNode json = Bed.json();
            ((ObjectNode) json.at("/settings/caps")).put("mayCancel", false).put("connectTimeout", 600_000_000_000L);
            json.withObject("/known")
                    .withArray("/targets")
                    .add(Bed.target("s-0", "127.0.0.1:" + late.address().getPort(), "SERVING"));
            try (Bed bed = bed(json);
                    Bed.Client client = new Bed.Client(bed.address)) {
                Stub.write(client.socket, Bed.look("a"));
                while (bed.loop.submit(bed.engine::asked).get() == 0) {
                    Thread.onSpinWait();
                }
                // Behind the turn in which the module is told.
                bed.loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
                Socket[] came = new Socket[1];
                still(bed, () -> {
                    came[0] = late.accept();
                    client.socket.close();
                });
                assertEquals(-1, came[0].getInputStream().read(), "nothing is written to it");
                assertEquals(Outcome.NEVER_SENT, Stub.next(outcomes));
            }
        }
    }

    /** The answer is read before the client's end, and the second server has a connection that rests. */
    private void furtherAttempt(boolean reset) throws Exception {
        BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
        Stub.Script script = (socket, head) -> {
            if (Stub.header(head, "Req-Id").startsWith("warm")) {
                return Stub.reply(socket, "200 OK", "", "x");
            }
            asked.add(socket);
            return true;
        };
        try (Stub one = new Stub(script);
                Stub two = new Stub(script);
                Bed bed = bed(Bed.json(one, two));
                Bed.Client client = new Bed.Client(bed.address)) {
            for (int i = 0; one.heads.isEmpty() || two.heads.isEmpty(); i++) {
                assertTrue(i < 1000, "one is never asked");
                assertEquals(200, bed.ask(Bed.look("warm" + i)).status());
                assertEquals(Outcome.OK, Stub.next(outcomes));
            }
            Stub.write(client.socket, Bed.look("a"));
            Socket first = Stub.next(asked);
            still(bed, () -> {
                Stub.reply(first, "500 Error", "", "x");
                if (reset) {
                    reset(client.socket);
                } else {
                    client.socket.close();
                }
            });
            assertEquals(Outcome.ERROR, Stub.next(outcomes));
            assertEquals(Outcome.NEVER_SENT, Stub.next(outcomes), "the further attempt");
            assertEquals(200, bed.ask(Bed.look("warm")).status());
            assertEquals(0, asked.size());
        }
    }

    @Test
    void noFurtherAttemptIsMadeForWhoHasClosed() throws Exception {
        furtherAttempt(false);
    }

    @Test
    void noFurtherAttemptIsMadeForWhoHasReset() throws Exception {
        furtherAttempt(true);
    }

    /** A whole request and its client's end lie in the socket together: it is not sent on at all. */
    @Test
    void aRequestWhoseClientIsGoneAlreadyIsNotSent() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Bed bed = bed(Bed.json(upstream));
                Bed.Client client = new Bed.Client(bed.address)) {
            assertEquals(200, client.ask(Bed.look("a")).status());
            Stub.next(upstream.heads);
            still(bed, () -> {
                Stub.write(client.socket, Bed.look("b"));
                client.socket.close();
            });
            while (!bed.loop
                    .submit(() -> bed.engine.asked() == 2 && bed.engine.idle())
                    .get()) {
                Thread.onSpinWait();
            }
            assertEquals(200, bed.ask(Bed.look("c")).status());
            assertEquals("c", Stub.header(Stub.next(upstream.heads), "Req-Id"), "not the one before");
        }
    }

    /** However much a client has sent behind its open request, it is read to its end; too much ends it. */
    @Test
    void aLeaveIsSeenBehindMuchThatWaits() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Stub upstream = new Stub((socket, head) -> {
                    return Stub.await(go) && Stub.reply(socket, "200 OK", "", "x");
                });
                Bed bed = bed(Bed.json(upstream));
                Bed.Client much = new Bed.Client(bed.address);
                Bed.Client flood = new Bed.Client(bed.address)) {
            Stub.write(much.socket, many(200));
            Stub.next(upstream.heads);
            // Timers of one loop ring in order: this one before the deadline, at which it would be cancelled.
            bed.loop.execute(() -> bed.loop.schedule(() -> outcomes.add(Outcome.TIMEOUT), 10, TimeUnit.SECONDS));
            much.socket.close();
            assertEquals(Outcome.CANCELLED, Stub.next(outcomes), "before any answer");
            IOException end = assertThrows(IOException.class, () -> {
                Stub.write(flood.socket, many(2500));
                while (true) {
                    flood.read();
                }
            });
            assertFalse(end instanceof SocketTimeoutException, "ended while the server holds what it has");
            go.countDown();
        }
    }

    private static String many(int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(Bed.look(count + "-" + i));
        }
        return all.toString();
    }
}
