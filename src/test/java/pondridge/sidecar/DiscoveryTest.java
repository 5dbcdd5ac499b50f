package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;
import pondridge.core.Target;
import pondridge.http1.Stub;
import pondridge.platform.Discovery;

/** The list and its watch against a discovery that answers in awkward ways. */
class DiscoveryTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HALF_1 = "{\"rev\":43,\"all\":false,\"targets\":[" + entry("DRAINING") + ",";
    private static final String HALF_2 = "{\"uid\":\"odd\",\"state\":\"???\"}]}\n";

    private record Told(ListKind kind, List<Target> targets) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String entry(String state) {
        return Bed.target("s-1", "127.0.0.1:9", state).toString();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private Discovery discovery(Stub stub) {
        return discovery(stub, false);
    }

    private Discovery discovery(Stub stub, boolean pushed) {
        return new Discovery(loop, stub.address(), pushed, 41, (kind, targets) -> told.add(new Told(kind, targets)));
    }

    /** Lines come split over chunks and chunks hold several; an odd entry spoils none but itself. */
    @Test
    void watchIsReadLineByLineAndItsEndIsAFailure() throws Exception {
        try (Stub stub = new Stub((socket, head) -> {
            Stub.write(socket, CHUNKED + chunk("\n") + chunk(HALF_1));
            Stub.write(socket, chunk(HALF_2 + "{\"rev\":44,\"all\":true,\"targets\":[]}\n"));
            return false;
        })) {
            Discovery discovery = discovery(stub);
            loop.execute(() -> discovery.watch(true));
            assertTrue(Stub.next(stub.heads).startsWith("GET /discovery/hosts?watch=1&from=41 HTTP/1.1"));
            assertEquals(new Told(ListKind.DELTA, List.of()), Stub.next(told), "an empty line: no news");
            Told delta = Stub.next(told);
            assertEquals(ListKind.DELTA, delta.kind);
            assertEquals(
                    List.of(State.DRAINING),
                    delta.targets.stream().map(Target::state).toList());
            assertEquals(new Told(ListKind.FULL, List.of()), Stub.next(told));
            assertEquals(new Told(ListKind.FAILED, List.of()), Stub.next(told));
            loop.execute(() -> discovery.watch(true));
            assertTrue(Stub.next(stub.heads).contains("from=44 "), "goes on from the last version");
        }
    }

    /** Each call that fails is told of once, so that the module's waits between calls hold. */
    @Test
    void everyFailureIsToldOnce() throws Exception {
        for (String reply : List.of(
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                "",
                "nonsense\r\n\r\n",
                CHUNKED + chunk("{\"rev\":\n"),
                CHUNKED + chunk("[]\n"),
                CHUNKED + chunk("{\"rev\":1,\"targets\":{}}\n"))) {
            try (Stub stub = new Stub((socket, head) -> {
                Stub.write(socket, reply);
                return false;
            })) {
                Discovery discovery = discovery(stub);
                loop.execute(() -> discovery.watch(true));
                assertEquals(ListKind.FAILED, Stub.next(told).kind, reply);
                loop.execute(discovery::fetch);
                assertEquals(ListKind.FAILED, Stub.next(told).kind, reply);
                loop.submit(() -> {}).sync();
                assertEquals(0, told.size(), reply);
            }
        }
    }

    @Test
    void wholeListIsFetchedOnce() throws Exception {
        String body = "{\"rev\":41,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (Stub stub = new Stub((socket, head) -> Stub.reply(socket, "200 OK", "", body))) {
            Discovery discovery = discovery(stub);
            loop.execute(discovery::fetch);
            assertTrue(Stub.next(stub.heads).startsWith("GET /discovery/hosts HTTP/1.1"));
            Told list = Stub.next(told);
            assertEquals(ListKind.FULL, list.kind);
            assertEquals(9, list.targets.get(0).endpoint().getPort());
            Stub.next(stub.ended);
            assertEquals(0, told.size());
        }
    }

    /** After a move the new service's list holds, whatever its version; the old one is heard no more. */
    @Test
    void movedWatchAsksForTheWholeListAndDropsTheOldOne() throws Exception {
        Stub.Script silent = (socket, head) -> {
            Stub.write(socket, CHUNKED + chunk("{\"rev\":50,\"all\":true,\"targets\":[]}\n"));
            return true;
        };
        String whole = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n";
        try (Stub old = new Stub(silent);
                Stub next = new Stub((socket, head) -> {
                    Stub.write(socket, CHUNKED + chunk(whole));
                    return true;
                })) {
            Discovery discovery = discovery(old);
            loop.execute(() -> discovery.watch(true));
            assertEquals(ListKind.FULL, Stub.next(told).kind);
            loop.execute(() -> discovery.switchTo(next.address()));
            assertEquals("end", Stub.next(old.ended), "the old watch is closed");
            assertTrue(Stub.next(next.heads).startsWith("GET /discovery/hosts?watch=1&from=0 HTTP/1.1"));
            Told list = Stub.next(told);
            assertEquals(ListKind.FULL, list.kind);
            assertEquals(1, list.targets.size());
            old.die();
            loop.submit(() -> {}).sync();
            assertEquals(0, told.size(), "neither a failure nor a word of the old one");
        }
    }

    /** A call that waits for its answer when another service is configured keeps its place in the queue. */
    @Test
    void aCallThatWaitsIsAnsweredBeforeTheNewServiceIsAsked() throws Exception {
        CountDownLatch configured = new CountDownLatch(1);
        String without = "{\"rev\":43,\"all\":true,\"targets\":[]}\n";
        try (Stub old = new Stub((socket, head) -> {
                    assertTrue(Stub.await(configured));
                    Stub.write(socket, CHUNKED + chunk(without));
                    return true;
                });
                Stub next = new Stub((socket, head) -> Stub.reply(socket, "503 No", "", ""))) {
            Discovery discovery = discovery(old);
            loop.execute(() -> discovery.watch(true));
            Stub.next(old.heads);
            loop.submit(() -> discovery.switchTo(next.address())).sync();
            assertEquals(0, next.heads.size());
            configured.countDown();
            assertEquals(new Told(ListKind.FULL, List.of()), Stub.next(told), "the old one's answer");
            assertEquals(ListKind.FAILED, Stub.next(told).kind, "then the new one refuses");
            assertTrue(Stub.next(next.heads).contains("from=0 "), "a version of the old one");
        }
    }

    /** An old service that never answers delays the move for a bounded time, and is heard no more then. */
    @Test
    void theNewServiceIsAskedInTimeThoughTheOldOneIsSilent() throws Exception {
        String whole = "{\"rev\":3,\"all\":true,\"targets\":[]}\n";
        try (Stub old = new Stub((socket, head) -> true);
                Stub next = new Stub((socket, head) -> {
                    Stub.write(socket, CHUNKED + chunk(whole));
                    return true;
                })) {
            Discovery discovery = discovery(old);
            loop.execute(() -> discovery.watch(true));
            Stub.next(old.heads);
            // Timers of one loop fire in order, whatever the machine's speed.
            loop.execute(() -> {
                discovery.switchTo(next.address());
                loop.schedule(() -> told.add(new Told(ListKind.CACHED, List.of())), 2_300, TimeUnit.MILLISECONDS);
            });
            assertEquals(ListKind.FULL, Stub.next(told).kind, "before 2.3 s are over");
            assertEquals(ListKind.CACHED, Stub.next(told).kind);
            assertEquals("end", Stub.next(old.ended));
        }
    }

    /** Asked for again while it waits for its first answer, a watch is not replaced. */
    @Test
    void aWatchThatWaitsIsNotReplaced() throws Exception {
        CountDownLatch again = new CountDownLatch(1);
        try (Stub stub = new Stub((socket, head) -> {
            assertTrue(Stub.await(again));
            Stub.write(socket, CHUNKED + chunk("\n"));
            return true;
        })) {
            Discovery discovery = discovery(stub);
            loop.execute(() -> discovery.watch(true));
            Stub.next(stub.heads);
            loop.submit(() -> discovery.watch(true)).sync();
            again.countDown();
            assertEquals(ListKind.DELTA, Stub.next(told).kind);
            assertEquals(0, stub.heads.size());
            assertEquals(0, told.size());
        }
    }

    /** The old service's end after a move is no failure of the new one, which is asked once only. */
    @Test
    void theOldServicesEndAfterAMoveIsNoFailure() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        String whole = "{\"rev\":3,\"all\":true,\"targets\":[]}\n";
        try (Stub old = new Stub((socket, head) -> true);
                Stub next = new Stub((socket, head) -> {
                    assertTrue(Stub.await(ended));
                    Stub.write(socket, CHUNKED + chunk(whole));
                    return true;
                })) {
            Discovery discovery = discovery(old);
            loop.execute(() -> discovery.watch(true));
            Stub.next(old.heads);
            loop.execute(() -> discovery.switchTo(next.address()));
            Stub.next(next.heads);
            old.die();
            Stub.next(old.ended);
            ended.countDown();
            assertEquals(ListKind.FULL, Stub.next(told).kind);
            assertEquals(0, told.size());
            assertEquals(0, next.heads.size());
        }
    }

    /** A new service that tells changes only leaves open who is gone: the whole list is asked for besides. */
    @Test
    void movedWatchThatTellsOnlyChangesIsFollowedByTheWholeList() throws Exception {
        String whole = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (Stub old = new Stub((socket, head) -> true);
                Stub next = new Stub((socket, head) -> {
                    if (!head.contains("watch=1")) {
                        return Stub.reply(socket, "200 OK", "", whole);
                    }
                    Stub.write(socket, CHUNKED + chunk("{\"rev\":3,\"all\":false,\"targets\":[]}\n"));
                    return true;
                })) {
            Discovery discovery = discovery(old);
            loop.execute(() -> discovery.watch(true));
            Stub.next(old.heads);
            loop.execute(() -> discovery.switchTo(next.address()));
            assertEquals(ListKind.DELTA, Stub.next(told).kind);
            assertEquals(ListKind.FULL, Stub.next(told).kind);
        }
    }

    /** Lists may come indented, on a watch too, and the last without its end of line. */
    @Test
    void indentedListsAreRead() throws Exception {
        String quoted = entry("DRAINING").replace("s-1", "s}\\\"{1");
        String change = ("{\n \"rev\": 43,\n \"all\": false,\n \"targets\": [\n  " + quoted + "\n ]\n}");
        try (Stub stub = new Stub((socket, head) -> {
            Stub.write(socket, CHUNKED + chunk(change.substring(0, 30)) + chunk(change.substring(30)));
            return true;
        })) {
            Discovery discovery = discovery(stub);
            loop.execute(() -> discovery.watch(true));
            Told delta = Stub.next(told);
            assertEquals(ListKind.DELTA, delta.kind);
            assertEquals(
                    List.of("s}\"{1"), delta.targets.stream().map(Target::uid).toList());
            loop.execute(discovery::fetch);
            assertEquals(ListKind.DELTA, Stub.next(told).kind);
        }
    }

    /** The whole list and the watch cross: an older one that comes last must not undo what is known. */
    @Test
    void anOlderListThatComesLastChangesNothing() throws Exception {
        CountDownLatch watched = new CountDownLatch(1);
        AtomicInteger fetches = new AtomicInteger();
        String ready = "{\"rev\":42,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        String drains = "{\"rev\":43,\"all\":true,\"targets\":[" + entry("DRAINING") + "]}";
        try (Stub stub = new Stub((socket, head) -> {
            if (head.contains("watch=1")) {
                Stub.write(socket, CHUNKED + chunk(drains + "\n"));
                return true;
            }
            return Stub.await(watched)
                    && Stub.reply(socket, "200 OK", "", fetches.getAndIncrement() == 0 ? ready : drains);
        })) {
            Discovery discovery = discovery(stub);
            loop.execute(discovery::fetch);
            Stub.next(stub.heads);
            loop.execute(() -> discovery.watch(true));
            assertEquals(State.DRAINING, Stub.next(told).targets.get(0).state());
            watched.countDown();
            assertEquals(State.DRAINING, Stub.next(told).targets.get(0).state(), "it is asked again");
            assertEquals(2, fetches.get());
        }
    }

    /** A service whose versions begin anew is not taken for one that lags behind. */
    @Test
    void versionsMayBeginAnew() throws Exception {
        String whole = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (Stub stub = new Stub((socket, head) -> Stub.reply(socket, "200 OK", "", whole))) {
            Discovery discovery = discovery(stub);
            loop.execute(discovery::fetch);
            assertEquals(ListKind.FULL, Stub.next(told).kind);
        }
    }

    /**
     * Where lists are pushed nobody orders the watch, and it comes back by itself: refused, ended and silent
     * from its first byte.
     */
    @Test
    void pushedListsAreFollowedUnasked() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String change = "{\"rev\":44,\"all\":false,\"targets\":[" + entry("DRAINING") + "]}\n";
        try (Stub stub = new Stub((socket, head) -> {
            int call = calls.getAndIncrement();
            if (call == 1) {
                return true;
            }
            Stub.write(socket, call == 0 ? "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" : CHUNKED + chunk(change));
            return call != 2;
        })) {
            Discovery discovery = discovery(stub, true);
            loop.execute(discovery::follow);
            List<ListKind> kinds = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                kinds.add(Stub.next(told).kind);
            }
            assertEquals(
                    List.of(ListKind.FAILED, ListKind.FAILED, ListKind.DELTA, ListKind.FAILED, ListKind.DELTA), kinds);
            assertTrue(stub.heads.stream().allMatch(head -> head.contains("watch=1")));
        }
    }

    /** A watch that falls silent is given up with time left to ask twice before that counts as told. */
    @Test
    void silenceIsNoticedInHalfTheTimeAtWhichItCountsAsTold() throws Exception {
        try (Stub stub = new Stub((socket, head) -> {
            Stub.write(socket, CHUNKED + chunk("{\"rev\":43,\"all\":true,\"targets\":[]}\n"));
            return true;
        })) {
            Discovery discovery = discovery(stub);
            loop.execute(() -> discovery.watch(true));
            assertEquals(ListKind.FULL, Stub.next(told).kind);
            // Both are timers of one loop, so their order does not hang on the machine's speed.
            loop.execute(
                    () -> loop.schedule(() -> told.add(new Told(ListKind.CACHED, List.of())), 4, TimeUnit.SECONDS));
            assertEquals(ListKind.FAILED, Stub.next(told).kind, "before 4 s of the 6 s are over");
        }
    }

    /**
     * A first answer that only trickles is given up with 2 s left for another call's wait; where whole ones
     * do take so long, the next call waits for it.
     */
    @Test
    void aFirstAnswerThatTricklesIsGivenUpOnceAndThenWaitedFor() throws Exception {
        String whole = "{\"rev\":43,\"all\":true,\"targets\":[]}\n";
        AtomicInteger calls = new AtomicInteger();
        try (Stub stub = new Stub((socket, head) -> {
            boolean first = calls.getAndIncrement() == 0;
            for (int i = 0; first && i < 9; i++) {
                rest();
            }
            Stub.write(socket, CHUNKED);
            int pieces = first ? 30 : 17;
            for (int i = 0; i < pieces; i++) {
                Stub.write(socket, chunk(whole.substring(i, i + 1)));
                rest();
            }
            Stub.write(socket, chunk(whole.substring(pieces)));
            return true;
        })) {
            Discovery discovery = discovery(stub);
            loop.execute(() -> {
                discovery.watch(true);
                loop.schedule(() -> told.add(new Told(ListKind.CACHED, List.of())), 4, TimeUnit.SECONDS);
            });
            assertEquals(ListKind.FAILED, Stub.next(told).kind, "before 4 s of the 6 s are over");
            assertEquals(ListKind.CACHED, Stub.next(told).kind);
            loop.execute(() -> discovery.watch(true));
            assertEquals(ListKind.FULL, Stub.next(told).kind, "3.4 s from its first byte on");
        }
    }

    /** A change that trickles on an open watch is given up as soon as one that falls silent. */
    @Test
    void aChangeThatTricklesIsGivenUpLikeSilence() throws Exception {
        try (Stub stub = new Stub((socket, head) -> {
            Stub.write(socket, CHUNKED + chunk("\n"));
            for (int i = 0; i < 30; i++) {
                Stub.write(socket, chunk(HALF_1.substring(i, i + 1)));
                rest();
            }
            return true;
        })) {
            Discovery discovery = discovery(stub);
            loop.execute(() -> discovery.watch(true));
            assertEquals(ListKind.DELTA, Stub.next(told).kind);
            loop.execute(
                    () -> loop.schedule(() -> told.add(new Told(ListKind.CACHED, List.of())), 4, TimeUnit.SECONDS));
            assertEquals(ListKind.FAILED, Stub.next(told).kind);
        }
    }

    /** So that bytes trickle: no order hangs on it. */
    private static void rest() {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** After a move the whole list is asked for until it has come: changes alone leave open who is gone. */
    @Test
    void aWholeListThatFailsAfterAMoveIsAskedForAgain() throws Exception {
        for (boolean pushed : new boolean[] {false, true}) {
            AtomicInteger fetches = new AtomicInteger();
            String whole = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
            try (Stub old = new Stub((socket, head) -> true);
                    Stub next = new Stub((socket, head) -> {
                        if (head.contains("watch=1")) {
                            Stub.write(
                                    socket,
                                    CHUNKED
                                            + chunk(
                                                    head.contains("from=0 ")
                                                            ? "{\"rev\":3,\"all\":false,\"targets\":[]}\n"
                                                            : "\n"));
                            return true;
                        }
                        return Stub.reply(socket, fetches.getAndIncrement() == 0 ? "503 No" : "200 OK", "", whole);
                    })) {
                Discovery discovery = discovery(old, pushed);
                loop.execute(() -> discovery.watch(true));
                Stub.next(old.heads);
                loop.execute(() -> discovery.switchTo(next.address()));
                assertEquals(ListKind.DELTA, Stub.next(told).kind);
                assertEquals(ListKind.FAILED, Stub.next(told).kind);
                if (!pushed) {
                    loop.execute(() -> discovery.watch(true));
                    assertEquals(ListKind.DELTA, Stub.next(told).kind, "an empty line");
                }
                assertEquals(ListKind.FULL, Stub.next(told).kind);
                loop.submit(() -> discovery.watch(false)).sync();
                told.clear();
            }
        }
    }
}
