package pondridge.http1;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.Options;
import pondridge.core.Answer;
import pondridge.core.Job;
import pondridge.core.Transport;
import pondridge.core.Transport.Listener;

/** Attempts and probes on real connections, and what they end as. */
class UpstreamsTest {
    private static final long LONG = 60_000_000_000L;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<float[]> reports = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Upstreams upstreams(InetSocketAddress address, long connectTimeout, int most) throws Exception {
        Options options = new Options(
                "caps.connectTimeout=" + connectTimeout + "\ncaps.connIdle=60000000000\nreport.fields=rate,q");
        return loop.submit(() -> {
                    Upstreams made = new Upstreams(loop, options, most);
                    made.listed(1, address, 0, true);
                    return made;
                })
                .get();
    }

    private void send(Upstreams upstreams) {
        loop.execute(() -> upstreams.send(1, get("/api/x"), LONG, this::ended));
    }

    private void ended(Outcome outcome, Answer answer, float[] load) {
        reports.add(load);
        outcomes.add(outcome);
    }

    /** Once a drain is told, a request that waits for its connection must not go there any more. */
    @Test
    void drainEndsTheWaitForAConnection() throws Exception {
        try (LateConnection full = new LateConnection()) {
            Upstreams upstreams = upstreams(full.address(), LONG, 10);
            send(upstreams);
            loop.execute(() -> upstreams.listed(1, full.address(), 0, false));
            assertEquals(Outcome.CONNECT_FAILED, Stub.next(outcomes));
            send(upstreams);
            assertEquals(Outcome.CONNECT_FAILED, Stub.next(outcomes), "nor does a later one");
        }
    }

    /** A machine that is cut off says nothing: the connect time-out, not the request's, ends the wait. */
    @Test
    void silentConnectFailsAtItsOwnTimeout() throws Exception {
        try (LateConnection full = new LateConnection()) {
            send(upstreams(full.address(), 100_000_000, 10));
            assertEquals(Outcome.CONNECT_FAILED, Stub.next(outcomes));
        }
    }

    /** What an upstream is told to be left is what is left when it is written, however late that is. */
    @Test
    void theTimeToldIsWhatIsLeftAtTheWriting() throws Exception {
        try (LateConnection late = new LateConnection()) {
            Upstreams upstreams = upstreams(late.address(), LONG, 10);
            loop.submit(() -> upstreams.send(1, get("/api/x"), LONG, this::ended))
                    .sync();
            long ordered = System.nanoTime();
            loop.schedule(() -> {}, 300, TimeUnit.MILLISECONDS).sync();
            long waited = System.nanoTime() - ordered;
            try (Socket came = late.accept()) {
                String told = Stub.header(Stub.head(came.getInputStream()), "Req-Deadline-Ms");
                assertTrue(Long.parseLong(told) * 1_000_000 <= LONG - waited, "told " + told + " ms");
            }
        }
    }

    /** Nothing of a request that has ended is written, on a connection that comes up late or is idle. */
    @Test
    void whatIsNoLongerWantedIsNotWritten() throws Exception {
        Listener unwanted = new Listener() {
            @Override
            public void ended(Outcome outcome, Answer answer, float[] load) {
                outcomes.add(outcome);
            }

            @Override
            public boolean wanted() {
                return false;
            }
        };
        try (LateConnection late = new LateConnection();
                Stub upstream = Stub.serving("x")) {
            Upstreams upstreams = upstreams(late.address(), LONG, 10);
            loop.execute(() -> upstreams.send(1, get("/api/x"), LONG, unwanted));
            try (Socket came = late.accept()) {
                assertEquals(-1, came.getInputStream().read(), "it ends with nothing written to it");
            }
            assertEquals(Outcome.NEVER_SENT, Stub.next(outcomes));
            loop.execute(() -> upstreams.listed(1, upstream.address(), 0, true));
            send(upstreams);
            assertEquals(Outcome.OK, Stub.next(outcomes));
            loop.execute(() -> upstreams.send(1, get("/api/never"), LONG, unwanted));
            assertEquals(Outcome.NEVER_SENT, Stub.next(outcomes));
            send(upstreams);
            assertEquals(Outcome.OK, Stub.next(outcomes));
            assertEquals(2, upstream.heads.size());
        }
    }

    /** A request that has ended ends its attempt at once while that waits to be written, and only then. */
    @Test
    void withdrawingEndsWhatIsNotYetWritten() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (LateConnection late = new LateConnection();
                Stub held = new Stub((socket, head) -> {
                    return Stub.await(go) && Stub.reply(socket, "200 OK", "", "x");
                })) {
            Upstreams upstreams = upstreams(late.address(), LONG, 10);
            loop.execute(
                    () -> upstreams.send(1, get("/api/x"), LONG, this::ended).withdraw());
            assertEquals(Outcome.NEVER_SENT, Stub.next(outcomes));
            Transport.Attempt coming = loop.submit(() -> upstreams.send(1, get("/api/x"), LONG, this::ended))
                    .get();
            loop.execute(coming::cancel);
            assertEquals(Outcome.CANCELLED, Stub.next(outcomes), "nothing against the upstream");
            loop.execute(() -> upstreams.listed(1, held.address(), 0, true));
            Transport.Attempt out = loop.submit(() -> upstreams.send(1, get("/api/y"), LONG, this::ended))
                    .get();
            Stub.next(held.heads);
            loop.submit(out::withdraw).sync();
            go.countDown();
            assertEquals(Outcome.OK, Stub.next(outcomes), "what has begun goes on");
        }
    }

    /** A machine that vanished and came back under its address has not ended the connections to it. */
    @Test
    void connectionsToTheProcessBeforeARestartAreClosed() throws Exception {
        try (Stub upstream = Stub.serving("x")) {
            Upstreams upstreams = upstreams(upstream.address(), LONG, 10);
            send(upstreams);
            assertEquals(Outcome.OK, Stub.next(outcomes));
            loop.execute(() -> upstreams.listed(1, upstream.address(), 1_700_000_000_000L, true));
            Stub.next(upstream.ended);
            send(upstreams);
            assertEquals(Outcome.OK, Stub.next(outcomes), "on a new one");
        }
    }

    /** Descriptors are few: over the limit an attempt is not sent, instead of the process running out. */
    @Test
    void connectionsAreBounded() throws Exception {
        try (Stub silent = new Stub((socket, head) -> true)) {
            Upstreams upstreams = upstreams(silent.address(), LONG, 2);
            send(upstreams);
            send(upstreams);
            Stub.next(silent.heads);
            Stub.next(silent.heads);
            send(upstreams);
            assertEquals(Outcome.NEVER_SENT, Stub.next(outcomes));
        }
    }

    /** Reports come in the settings' order, from answers and probes; bad ones are none, never a crash. */
    @Test
    void loadReportsAreRead() throws Exception {
        List<String> texts = List.of("{\"q\":2,\"rate\":1.5,\"more\":0}", "{\"q\":2}", "{", "[]", "{\"q\":\"x\"}");
        try (Stub upstream = new Stub((socket, head) -> head.startsWith("GET /metrics/load")
                ? Stub.reply(socket, "200 OK", "", "{\"rate\":7,\"q\":0}")
                : Stub.reply(socket, "200 OK", "Srv-Load: " + Stub.header(head, "Say") + "\r\n", "x"))) {
            Upstreams upstreams = upstreams(upstream.address(), LONG, 10);
            for (String text : texts) {
                Job request = get("/");
                request.headers().set("Say", text);
                loop.execute(() -> upstreams.send(1, request, LONG, this::ended));
                assertEquals(Outcome.OK, Stub.next(outcomes));
                assertArrayEquals(text.contains("rate") ? new float[] {1.5f, 2} : new float[0], Stub.next(reports));
            }
            loop.execute(() -> upstreams.probe(1, this::ended));
            assertArrayEquals(new float[] {7, 0}, Stub.next(reports));
        }
    }

    /** An answer beyond what a body may hold must not fill the memory. */
    @Test
    void overlongAnswerIsAnError() throws Exception {
        try (Stub upstream = Stub.serving("x".repeat(1_200_000))) {
            send(upstreams(upstream.address(), LONG, 10));
            assertEquals(false, Stub.next(outcomes).provesNeverRan());
        }
    }

    /**
     * What comes right behind an answer, unasked for, must never be taken for the next one: not even by a
     * request that is sent from within the first one's end.
     */
    @Test
    void whatFollowsAnAnswerIsNotTheNextOne() throws Exception {
        String stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
        for (String extra : List.of(stale, stale.substring(0, 20), "\u0000\u0007noise", "\r\n")) {
            try (Stub upstream = new Stub((socket, head) -> head.startsWith("GET /first")
                    ? Stub.reply(socket, "200 OK", "", "first" + extra, 5)
                    : Stub.reply(socket, "200 OK", "", "second"))) {
                Upstreams upstreams = upstreams(upstream.address(), LONG, 10);
                BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
                loop.execute(() -> upstreams.send(1, get("/first"), LONG, (outcome, answer, load) -> {
                    bodies.add(text(answer));
                    upstreams.send(1, get("/second"), LONG, (later, next, more) -> bodies.add(text(next)));
                }));
                assertEquals("first", Stub.next(bodies));
                assertEquals("second", Stub.next(bodies), extra);
                Stub.next(upstream.ended);
            }
        }
    }

    /** Where the loop stood still the sweep comes too late: what is beyond its time is not taken even so. */
    @Test
    void aConnectionBeyondItsTimeIsNotTaken() throws Exception {
        Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        try (Stub upstream = new Stub((socket, head) -> sockets.add(socket) | Stub.reply(socket, "200 OK", "", "x"))) {
            Options options = new Options("caps.connIdle=1000000000");
            Upstreams upstreams =
                    loop.submit(() -> new Upstreams(loop, options, 10)).get();
            loop.execute(() -> upstreams.listed(1, upstream.address(), 0, true));
            send(upstreams);
            assertEquals(Outcome.OK, Stub.next(outcomes));
            loop.execute(() -> {
                // In one turn of the loop: no sweep can come between.
                LockSupport.parkNanos(1_200_000_000);
                upstreams.send(1, get("/api/x"), LONG, this::ended);
            });
            assertEquals(Outcome.OK, Stub.next(outcomes));
            assertEquals(2, sockets.size());
        }
    }

    /**
     * A second answer that is on its way while the next request is written would pass for that one's. Once
     * such things have been seen, a connection that has just answered carries nothing new for a while.
     */
    @Test
    void aSecondAnswerThatCrossesTheNextRequestIsNotItsAnswer() throws Exception {
        AtomicReference<Socket> second = new AtomicReference<>();
        try (Stub upstream = new Stub((socket, head) -> {
            if (head.startsWith("GET /first")) {
                return Stub.reply(socket, "200 OK", "", "firstHTTP/1.1 200 OK\r\n", 5);
            } else if (head.startsWith("GET /second")) {
                second.set(socket);
                return Stub.reply(socket, "200 OK", "", "second");
            }
            Stub.reply(second.get(), "200 OK", "", "second");
            return Stub.reply(socket, "200 OK", "", "third");
        })) {
            Upstreams upstreams = upstreams(upstream.address(), LONG, 10);
            send(
                    upstreams,
                    "/first",
                    body -> send(
                            upstreams,
                            "/second",
                            next -> send(upstreams, "/third", body3 -> bodies.add(body + next + body3))));
            assertEquals("firstsecondthird", Stub.next(bodies));
        }
    }

    /**
     * A process that has taken the place of another while that one's answer was on its way: the connection is
     * to the one before, and what is written to it would count as perhaps run.
     */
    @Test
    void aConnectionThatAnswersAfterARestartIsNotUsedAgain() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        try (Stub upstream = new Stub((socket, head) -> {
            sockets.add(socket);
            return Stub.await(go) && Stub.reply(socket, "200 OK", "", "x");
        })) {
            Upstreams upstreams = upstreams(upstream.address(), LONG, 10);
            send(upstreams);
            Stub.next(upstream.heads);
            loop.submit(() -> upstreams.listed(1, upstream.address(), 1_700_000_000_000L, true))
                    .sync();
            go.countDown();
            assertEquals(Outcome.OK, Stub.next(outcomes));
            send(upstreams);
            assertEquals(Outcome.OK, Stub.next(outcomes));
            assertEquals(2, sockets.size(), "a new connection, to who is there now");
        }
    }

    /** Settings may say that idle connections are closed at once: then none is kept, and the loop goes on. */
    @Test
    void noIdleTimeKeepsNothing() throws Exception {
        try (Stub upstream = Stub.serving("x")) {
            Options options = new Options("caps.connIdle=0");
            Upstreams upstreams =
                    loop.submit(() -> new Upstreams(loop, options, 10)).get();
            loop.execute(() -> upstreams.listed(1, upstream.address(), 0, true));
            for (int i = 0; i < 2; i++) {
                send(upstreams);
                assertEquals(Outcome.OK, Stub.next(outcomes));
                Stub.next(upstream.ended);
            }
        }
    }

    private final BlockingQueue<String> bodies = new LinkedBlockingQueue<>();

    private void send(Upstreams upstreams, String uri, Consumer<String> then) {
        loop.execute(() -> upstreams.send(
                1,
                get(uri),
                LONG,
                (outcome, answer, load) -> then.accept(answer == null ? outcome.toString() : text(answer))));
    }

    /** A spoilt answer may stand on a connection that stays open: it has failed now, not when time is up. */
    @Test
    void spoiltAnswersFailAtOnceAndEndTheirConnection() throws Exception {
        for (String spoilt : List.of(
                "\u0001\u0002\u0003",
                "\r\n\r\n",
                "HTTP/2.x",
                "HTTP/1.1 two hundred\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nnone\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nbad name: x\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\n\r\nends with the connection",
                "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: " + "x".repeat(20_000),
                "HTTP/1.1 101 Switching\r\n\r\n",
                "HTTP/1.1 100 Go on\r\n\r\n".repeat(100))) {
            try (Stub upstream = new Stub((socket, head) -> {
                Stub.write(socket, spoilt);
                return true;
            })) {
                send(upstreams(upstream.address(), LONG, 10));
                assertEquals(Outcome.ERROR, Stub.next(outcomes), spoilt);
                Stub.next(upstream.ended);
            }
        }
    }

    /** What a good answer brings besides spoils nothing: interim answers ahead, a report of any bytes. */
    @Test
    void interimAnswersAndUnreadableReportsSpoilNothing() throws Exception {
        try (Stub upstream = new Stub((socket, head) -> {
            Stub.write(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n");
            return Stub.reply(socket, "200 OK", "Srv-Load: \u0001{\"rate\":1e99,\"q\":-3}\r\n", "x");
        })) {
            Upstreams upstreams = upstreams(upstream.address(), LONG, 10);
            for (int i = 0; i < 3; i++) {
                send(upstreams);
                assertEquals(Outcome.OK, Stub.next(outcomes));
                assertArrayEquals(new float[0], Stub.next(reports));
            }
            assertEquals(0, upstream.ended.size(), "and the connection is used again");
        }
    }

    /** Idle connections to others must not keep a request from its own. */
    @Test
    void idleConnectionsMakeRoom() throws Exception {
        try (Stub first = Stub.serving("x");
                Stub second = Stub.serving("y")) {
            Upstreams upstreams = upstreams(first.address(), LONG, 1);
            send(upstreams);
            assertEquals(Outcome.OK, Stub.next(outcomes));
            loop.execute(() -> {
                upstreams.listed(2, second.address(), 0, true);
                upstreams.send(2, get("/api/x"), LONG, this::ended);
            });
            assertEquals(Outcome.OK, Stub.next(outcomes));
        }
    }

    /** Nothing may reach an upstream that is in the list no more, though its address may be another's now. */
    @Test
    void goneUpstreamTakesNothing() throws Exception {
        try (Stub upstream = Stub.serving("x")) {
            Upstreams upstreams = upstreams(upstream.address(), LONG, 10);
            loop.execute(() -> upstreams.gone(1));
            send(upstreams);
            assertEquals(Outcome.CONNECT_FAILED, Stub.next(outcomes));
            assertEquals(0, upstream.heads.size());
        }
    }

    private static Job get(String path) {
        return new Job(0, 0, 0, 0, 0, false, HttpMethod.GET, path, new DefaultHttpHeaders(), new byte[0]);
    }

    private static String text(Answer answer) {
        return answer == null ? "none" : new String(answer.body(), StandardCharsets.ISO_8859_1);
    }
}
