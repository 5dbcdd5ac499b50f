package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pondridge.core.Answer;
import pondridge.core.Client;
import pondridge.core.Job;
import pondridge.http1.Stub;

/** The whole sidecar between a client and upstreams on loopback. */
class SidecarTest {

    @Test
    void requestAndAnswerGoOnUnchanged() throws Exception {
        try (Stub upstream = Stub.serving("{\"parts\":7}");
                Bed bed = Bed.with(upstream)) {
            Bed.Answer answer = bed.ask(Bed.post("hold", "Idempotency-Key: 5c0f\r\nX-Trace: t1\r\n", "two"));
            assertEquals(200, answer.status());
            assertEquals("{\"parts\":7}", answer.body());
            assertEquals("text/x-part", Stub.header(answer.head(), "Content-Type"));
            String head = Stub.next(upstream.heads);
            assertTrue(head.startsWith("POST /api/7f3a HTTP/1.1\r\n"), head);
            assertEquals("9b1f", Stub.header(head, "Req-Id"));
            assertEquals("5c0f", Stub.header(head, "Idempotency-Key"));
            assertEquals("t1", Stub.header(head, "X-Trace"));
            int wait = Integer.parseInt(Stub.header(head, "Req-Deadline-Ms"));
            assertTrue(wait > 0 && wait < Bed.LONG_MS, "room for the way back: " + wait);
            assertEquals("two", Stub.next(upstream.bodies));
            assertEquals(200, bed.ask(Bed.look("a")).status());
            assertTrue(Stub.next(upstream.heads).startsWith("GET /api/7f3a?full=1 HTTP/1.1\r\n"));
        }
    }

    /** The largest body that the protocol allows, both ways; one byte more is refused below. */
    @Test
    void largestBodiesGoThrough() throws Exception {
        String body = "x".repeat(1 << 16);
        try (Stub upstream = Stub.serving(body);
                Bed bed = Bed.with(upstream)) {
            assertEquals(body, bed.ask(Bed.post("book", "", body)).body());
            assertEquals(body, Stub.next(upstream.bodies));
        }
    }

    /** Upstreams have sent more than the protocol allows: failing it would have every one tried in turn. */
    @Test
    void largeAnswerGoesThrough() throws Exception {
        String body = "x".repeat(400_000);
        try (Stub upstream = Stub.serving(body);
                Bed bed = Bed.with(upstream)) {
            assertEquals(body, bed.ask(Bed.look("a")).body());
            assertEquals(1, upstream.heads.size());
        }
    }

    /** A request in no known form must not reach an upstream: there it would void more than itself. */
    @Test
    void malformedRequestsAreToldSoAndGoNowhere() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream)) {
            for (String bad : List.of(
                    "NONSENSE\r\n\r\n",
                    Bed.look("a").replace("Req-Id: a\r\n", ""),
                    Bed.look("a").replace("look", "glance"),
                    Bed.look("a").replace("acme", "nobody"),
                    Bed.look("a").replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: soon"),
                    Bed.look("a").replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: -5"),
                    Bed.look("a").replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 99999999999999999999"),
                    Bed.look("a").replace("GET", "PUT"),
                    Bed.post("hold", "", "x"),
                    Bed.post("book", "Idempotency-Key: 1\r\n", "x"))) {
                assertEquals(400, bed.ask(bad).status(), bad);
            }
            assertEquals(404, bed.ask(Bed.look("a").replace("/api/", "/other/")).status());
            assertEquals(
                    413,
                    bed.ask(Bed.post("book", "", "x".repeat((1 << 16) + 1))).status());
            assertEquals(200, bed.ask(Bed.look("good")).status());
            assertEquals("good", Stub.header(Stub.next(upstream.heads), "Req-Id"));
            assertNull(upstream.heads.poll(), "no other request came this far");
        }
    }

    /** A refused connection proves that nothing ran, so that even an unsafe request may go elsewhere. */
    @Test
    void unsafeRequestGoesOnWhenNoConnectionComesUp() throws Exception {
        try (Stub gone = Stub.serving("x");
                Stub upstream = Stub.serving("y");
                Bed bed = Bed.with(gone, upstream)) {
            gone.die();
            for (int i = 0; i < 4; i++) {
                String request = Bed.post("book", "", "b" + i).replace("9b1f", "9b1f" + i);
                assertEquals("y", bed.ask(request).body());
                assertEquals("b" + i, Stub.next(upstream.bodies), "each once");
            }
            assertNull(upstream.bodies.poll());
        }
    }

    /** Once written whole, an unsafe request may have run: a break then fails it and sends nothing more. */
    @Test
    void unsafeRequestIsNotSentAgainAfterAReset() throws Exception {
        for (String how : List.of("reset", "close", "cut short", "nonsense", "500 Error", "503 No")) {
            Stub.Script script = (socket, head) -> {
                if (how.startsWith("5")) {
                    return Stub.reply(socket, how, "", "");
                }
                if (how.equals("cut short")) {
                    Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                } else if (how.equals("nonsense")) {
                    Stub.write(socket, "what is this\r\n\r\n");
                }
                return how.equals("reset") && Stub.reset(socket);
            };
            try (Stub one = new Stub(script);
                    Stub two = new Stub(script);
                    Bed bed = Bed.with(one, two)) {
                assertEquals(502, bed.ask(Bed.post("book", "", "b")).status(), how);
                assertEquals(1, one.heads.size() + two.heads.size(), how);
            }
        }
    }

    /** A repeat is harmless for a safe request and for one whose key the upstreams know. */
    @Test
    void safeAndKeyedRequestsAreSentAgainAfterAReset() throws Exception {
        Stub.Script script = (socket, head) -> Stub.reset(socket);
        for (String request : List.of(Bed.look("a"), Bed.post("hold", "Idempotency-Key: 1\r\n", "b"))) {
            try (Stub one = new Stub(script);
                    Stub two = new Stub(script);
                    Bed bed = Bed.with(one, two)) {
                assertEquals(503, bed.ask(request).status(), "all tried, and a retry is harmless");
                assertEquals(1, one.heads.size());
                assertEquals(1, two.heads.size());
            }
        }
    }

    /** Srv-Declined proves that nothing ran; without that header a 503 proves nothing (tested above). */
    @Test
    void declinedUnsafeRequestGoesElsewhere() throws Exception {
        Stub.Script declines = (socket, head) -> Stub.reply(socket, "503 No", "Srv-Declined: 1\r\n", "");
        try (Stub one = new Stub(declines);
                Stub two = new Stub(declines);
                Bed bed = Bed.with(one, two)) {
            Bed.Answer answer = bed.ask(Bed.post("book", "", "b"));
            assertEquals(503, answer.status());
            assertEquals("0.750", Stub.header(answer.head(), "Retry-After"), "as long as the module says");
            assertEquals(1, one.heads.size());
            assertEquals(1, two.heads.size());
        }
    }

    /** A client that leaves takes its attempt with it: its connection must close, not be used again. */
    @Test
    void hangUpClosesTheAttemptsConnection() throws Exception {
        try (Stub silent = new Stub((socket, head) -> true);
                Bed bed = Bed.with(silent)) {
            try (Bed.Client client = new Bed.Client(bed.address)) {
                Stub.write(client.socket, Bed.look("a"));
                Stub.next(silent.heads);
            }
            Stub.next(silent.ended);
        }
    }

    /** Silent upstreams must not cost the client its answer: it comes while the client still waits. */
    @Test
    void silenceIsAnsweredBeforeTheClientsDeadline() throws Exception {
        try (Stub silent = new Stub((socket, head) -> true);
                Bed bed = Bed.with(silent)) {
            String shorter = Bed.post("book", "", "b").replace("Deadline-Ms: 20000", "Deadline-Ms: 1500");
            assertEquals(502, bed.ask(shorter).status());
            Stub.next(silent.ended);
        }
    }

    @Test
    void requestsAheadOfTheirTurnAreAnsweredInOrder() throws Exception {
        Stub.Script echo = (socket, head) -> Stub.reply(socket, "200 OK", "", Stub.header(head, "Req-Id"));
        try (Stub upstream = new Stub(echo);
                Bed bed = Bed.with(upstream);
                Bed.Client client = new Bed.Client(bed.address)) {
            Stub.write(client.socket, Bed.look("a") + Bed.look("b") + Bed.look("c"));
            for (String id : List.of("a", "b", "c")) {
                assertEquals(id, client.read().body());
            }
        }
    }

    /** A stale connection turns requests into resets: it is retired before the upstream's own idle time. */
    @Test
    void idleConnectionIsRetired() throws Exception {
        try (Stub upstream = Stub.serving("x")) {
            ObjectNode json = Bed.json(upstream);
            json.withObject("/settings/caps").put("connIdle", 500_000_000L);
            try (Bed bed = new Bed(json)) {
                assertEquals(200, bed.ask(Bed.look("a")).status());
                Stub.next(upstream.ended);
                assertEquals(200, bed.ask(Bed.look("b")).status());
            }
        }
    }

    @Test
    void connectionIsKeptAndUsedAgain() throws Exception {
        CountDownLatch connections = new CountDownLatch(2);
        ThreadLocal<Boolean> first = ThreadLocal.withInitial(() -> true);
        Stub.Script counting = (socket, head) -> {
            if (first.get()) {
                first.set(false);
                connections.countDown();
            }
            return Stub.reply(socket, "200 OK", "", "x");
        };
        try (Stub upstream = new Stub(counting);
                Bed bed = Bed.with(upstream)) {
            for (int i = 0; i < 5; i++) {
                assertEquals(200, bed.ask(Bed.look("a" + i)).status());
            }
            assertEquals(1, connections.getCount(), "one connection for all five");
        }
    }

    /** From watch to sends: a drain that is told ends new work there, and a broken watch is renewed. */
    @Test
    void toldDrainIsKeptAndABrokenWatchRenewed() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Stub drained = Stub.serving("x");
                Stub other = Stub.serving("y")) {
            String line = "{\"rev\":42,\"all\":false,\"targets\":[" + Bed.target("s-0", drained.endpoint(), "DRAINING")
                    + "]}\n";
            try (Stub discovery = new Stub((socket, head) -> {
                Stub.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                try {
                    go.await();
                } catch (InterruptedException e) {
                    return false;
                }
                if (head.contains("from=41 ")) {
                    Stub.write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                }
                return false;
            })) {
                ObjectNode json = Bed.json(drained, other).put("discovery", discovery.endpoint());
                json.withObject("/settings").put("discovery", "subscribe");
                try (Bed bed = new Bed(json)) {
                    for (int i = 0; drained.heads.isEmpty(); i++) {
                        assertEquals(200, bed.ask(Bed.look("a" + i)).status());
                    }
                    go.countDown();
                    Stub.next(drained.ended);
                    int before = drained.heads.size();
                    for (int i = 0; i < 6; i++) {
                        assertEquals("y", bed.ask(Bed.look("b" + i)).body());
                    }
                    assertEquals(before, drained.heads.size());
                    assertTrue(Stub.next(discovery.heads).contains("from=41 "));
                    assertTrue(Stub.next(discovery.heads).contains("from=42 "), "where the first one ended");
                }
            }
        }
    }

    @Test
    void drainingSidecarAnswersWhatItHoldsAndEndsItsConnections() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Stub.Script held = (socket, head) -> {
            try {
                go.await();
            } catch (InterruptedException e) {
                return false;
            }
            return Stub.reply(socket, "200 OK", "", "late");
        };
        try (Stub upstream = new Stub(held);
                Bed bed = Bed.with(upstream);
                Bed.Client busy = new Bed.Client(bed.address);
                Bed.Client idle = new Bed.Client(bed.address)) {
            assertEquals(503, idle.ask("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
            Stub.write(busy.socket, Bed.look("a"));
            Stub.next(upstream.heads);
            bed.loop.submit(bed.frontend::drain).sync();
            assertEquals(-1, idle.socket.getInputStream().read(), "an idle connection is ended");
            Bed.Answer meanwhile = bed.ask("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals(503, meanwhile.status(), "and its client still gets in");
            assertEquals("close", Stub.header(meanwhile.head(), "Connection"));
            bed.loop.submit(bed.frontend::close).sync();
            assertThrows(IOException.class, () -> bed.ask(Bed.look("b")), "until the listening ends");
            assertFalse(bed.loop.submit(bed.frontend::empty).get());
            go.countDown();
            Bed.Answer answer = busy.read();
            assertEquals("late", answer.body());
            assertEquals("close", Stub.header(answer.head(), "Connection"));
            assertEquals(-1, busy.socket.getInputStream().read());
        }
    }

    /**
     * What two readers could take for requests of different lengths hides a second one; a repeated header
     * lets each reader pick its own. Both are told so, the connection ends, and nothing reaches an upstream.
     */
    @Test
    void ambiguousRequestsEndTheirConnection() throws Exception {
        String hidden = Bed.look("hidden");
        String post = Bed.post("book", "", "");
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream)) {
            for (String bad : List.of(
                    post.replace("Content-Length: 0", "Content-Length: 6\r\nTransfer-Encoding: chunked") + "0\r\n\r\n",
                    post.replace("Content-Length: 0", "Transfer-Encoding: chunked\r\nContent-Length: 6") + "0\r\n\r\n",
                    post.replace("Content-Length: 0", "Transfer-Encoding: gzip\r\nContent-Length: 0"),
                    post.replace("Content-Length: 0", "Transfer-Encoding: chunked, chunked") + "0\r\n\r\n",
                    post.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 9"),
                    post.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 0"),
                    post.replace("Content-Length: 0", "Content-Length: -1"),
                    post.replace("Content-Length: 0", "Content-Length: 99999999999999999999"),
                    post.replace("Req-Kind: book", "Req-Kind: book\r\nreq-kind: hold"),
                    post.replace("Req-Id: 9b1f", "Req-Id: 9b1f\r\nReq-Id: 9b20"),
                    Bed.post("hold", "Idempotency-Key: 1\r\nIdempotency-Key: 2\r\n", ""),
                    Bed.look("a").replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"))) {
                try (Bed.Client client = new Bed.Client(bed.address)) {
                    assertEquals(400, client.ask(bad + hidden).status(), bad);
                    assertThrows(IOException.class, client::read, bad);
                }
            }
            assertNull(upstream.heads.poll(), "nothing came this far");
        }
    }

    /** An id belongs to the client whose request is open: another's is rejected, the first one is served. */
    @Test
    void idOfAnOpenRequestIsRejected() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Stub upstream = new Stub((socket, head) -> {
                    return Stub.await(go) && Stub.reply(socket, "200 OK", "", "own");
                });
                Bed bed = Bed.with(upstream);
                Bed.Client first = new Bed.Client(bed.address)) {
            Stub.write(first.socket, Bed.look("a"));
            Stub.next(upstream.heads);
            assertEquals(409, bed.ask(Bed.look("a")).status());
            go.countDown();
            assertEquals("own", first.read().body());
            assertEquals(0, upstream.heads.size());
        }
    }

    /** A client that sends much more than will be read must still get its error, not only a reset. */
    @Test
    void errorArrivesWhileTheClientStillSends() throws Exception {
        try (Bed bed = Bed.with();
                Bed.Client client = new Bed.Client(bed.address)) {
            Stub.write(client.socket, Bed.post("book", "", "x".repeat(900_000)));
            assertEquals(413, client.read().status());
            assertEquals(-1, client.socket.getInputStream().read());
        }
    }

    /** Half a request, a silent connection and an idle one end by themselves; the half one is told why. */
    @Test
    void connectionsWithoutARequestEnd() throws Exception {
        try (Bed bed = Bed.with();
                Bed.Client half = new Bed.Client(bed.address);
                Bed.Client silent = new Bed.Client(bed.address);
                Bed.Client idle = new Bed.Client(bed.address)) {
            Stub.write(half.socket, Bed.post("book", "", "xx").replaceFirst("x$", ""));
            assertEquals(503, idle.ask("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
            assertEquals(408, half.read().status());
            assertEquals(-1, silent.socket.getInputStream().read());
            assertEquals(-1, idle.socket.getInputStream().read());
        }
    }

    /** Silent connections must not keep others out: over the limit the one that is missed least ends. */
    @Test
    void silentConnectionsMakeRoom() throws Exception {
        List<Bed.Client> silent = new ArrayList<>();
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream)) {
            for (int i = 0; i < 3 * Bed.MOST; i++) {
                silent.add(new Bed.Client(bed.address));
            }
            assertEquals(200, bed.ask(Bed.look("a")).status());
        } finally {
            for (Bed.Client each : silent) {
                each.close();
            }
        }
    }

    /** What is kept of a request for its deadline's sake goes with its answer, not with its deadline. */
    @Test
    void answeredRequestIsNotKeptUntilItsDeadline() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream)) {
            WeakReference<byte[]> body = answered(bed);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Stub.LIMIT_S);
            while (body.get() != null && System.nanoTime() < end) {
                System.gc();
                Thread.sleep(20);
            }
            assertNull(body.get(), "ten minutes would be too long");
        }
    }

    /** Sends a request with ten minutes' time; returns its body once it is answered. */
    private static WeakReference<byte[]> answered(Bed bed) throws Exception {
        byte[] body = new byte[1000];
        CountDownLatch done = new CountDownLatch(1);
        Job job = new Job(2, 0, 0, 600_000, 0, false, HttpMethod.POST, "/api/x", new DefaultHttpHeaders(), body);
        bed.loop.execute(() -> bed.engine.submit(job, new Client() {
            @Override
            public void served(Answer answer) {
                done.countDown();
            }

            @Override
            public void refused(long wait) {}

            @Override
            public void failed() {}
        }));
        assertTrue(done.await(Stub.LIMIT_S, TimeUnit.SECONDS));
        return new WeakReference<>(body);
    }
}
