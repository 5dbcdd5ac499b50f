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
import pondridge.http1.Stub;

/** What the end of the sidecar can cross: a new connection's request, an answer on its way, a hung server. */
class EndTest {
    private static final long END = 300_000_000;

    /** Ended with no answer, a connection just made would lose the request that is on its way. */
    @Test
    void aConnectionJustMadeIsLeftItsFirstRequest() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream);
                Bed.Client silent = new Bed.Client(bed.address)) {
            Bed.Client young = new Bed.Client(bed.address);
            // Accepted in the order they came, so both are.
            assertEquals(200, bed.ask(Bed.look("a")).status());
            CountDownLatch drained = new CountDownLatch(1);
            CountDownLatch written = new CountDownLatch(1);
            bed.loop.execute(() -> {
                bed.frontend.drain();
                drained.countDown();
                // Within the same turn: what the client sends now is on its way when the draining begins.
                assertTrue(Stub.await(written));
            });
            assertTrue(drained.await(Stub.LIMIT_S, TimeUnit.SECONDS));
            Stub.write(young.socket, Bed.look("b"));
            written.countDown();
            Bed.Answer answer = young.read();
            assertEquals(200, answer.status());
            assertEquals("close", Stub.header(answer.head(), "Connection"));
            assertEquals(-1, silent.socket.getInputStream().read(), "one that stays silent ends");
            young.close();
        }
    }

    /** An answer still being written when the draining begins ends its connection, too. */
    @Test
    void anAnswerOnItsWayEndsItsConnection() throws Exception {
        int size = 1_000_000;
        try (Stub upstream = Stub.serving("x".repeat(size));
                Bed bed = Bed.with(upstream);
                Socket slow = new Socket()) {
            slow.setReceiveBufferSize(4096);
            slow.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Stub.LIMIT_S));
            slow.connect(bed.address);
            Stub.write(slow, Bed.look("a"));
            Stub.next(upstream.heads);
            while (!bed.loop
                    .submit(() -> bed.engine.asked() > 0 && bed.engine.idle())
                    .get()) {
                Thread.onSpinWait();
            }
            bed.loop.submit(bed.frontend::drain).sync();
            InputStream in = new BufferedInputStream(slow.getInputStream());
            assertEquals(size, in.readNBytes(Stub.length(Stub.head(in))).length);
            assertThrows(
                    IOException.class,
                    () -> {
                        Stub.write(slow, Bed.look("b"));
                        if (Stub.head(in).isEmpty()) {
                            throw new IOException("ended");
                        }
                    },
                    "no further request is taken there");
        }
    }

    /** All that a client sent before the end was told is answered, the last with the connection's end. */
    @Test
    void whatCameBehindAnOpenRequestIsStillAnswered() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Stub upstream = new Stub((socket, head) -> {
                    return Stub.await(go) && Stub.reply(socket, "200 OK", "", "x");
                });
                Bed bed = Bed.with(upstream);
                Bed.Client client = new Bed.Client(bed.address)) {
            Stub.write(client.socket, Bed.look("a") + Bed.look("b"));
            Stub.next(upstream.heads);
            bed.loop.submit(bed.frontend::drain).sync();
            go.countDown();
            assertEquals(200, client.read().status());
            Bed.Answer last = client.read();
            assertEquals(200, last.status());
            assertEquals("close", Stub.header(last.head(), "Connection"));
        }
    }

    /** A deadline beyond the end is no reason to leave a request without its answer. */
    @Test
    void whatIsOpenAtTheEndIsAnsweredBefore() throws Exception {
        try (Stub hung = new Stub((socket, head) -> true);
                Bed bed = Bed.with(hung);
                Bed.Client safe = new Bed.Client(bed.address);
                Bed.Client once = new Bed.Client(bed.address)) {
            Stub.write(safe.socket, Bed.look("a"));
            Stub.write(once.socket, Bed.post("book", "", "x"));
            Stub.next(hung.heads);
            Stub.next(hung.heads);
            bed.loop.submit(() -> bed.engine.endWithin(END)).sync();
            // A timer of the same loop, far behind the end and far before the deadlines.
            CountDownLatch late = new CountDownLatch(1);
            bed.loop.execute(() -> bed.loop.schedule(late::countDown, 10, TimeUnit.SECONDS));
            assertEquals(503, safe.read().status(), "harmless to ask again");
            assertEquals(502, once.read().status(), "it may have run");
            assertEquals(503, bed.ask(Bed.look("b")).status(), "and what comes later at once");
            assertTrue(bed.loop.submit(bed.engine::idle).get());
            assertEquals(1, late.getCount(), "by the end, not by the deadline");
        }
    }
}
