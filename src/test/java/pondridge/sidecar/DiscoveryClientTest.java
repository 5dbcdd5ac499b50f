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

/** The discovery client against services with slow, split, invalid and outdated responses. */
class DiscoveryClientTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHANGE_FIRST_HALF = "{\"rev\":43,\"all\":false,\"targets\":[" + entry("DRAINING") + ",";
    private static final String CHANGE_SECOND_HALF = "{\"uid\":\"odd\",\"state\":\"???\"}]}\n";

    private record ListEvent(ListKind kind, List<Target> targets) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<ListEvent> events = new LinkedBlockingQueue<>();

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String entry(String state) {
        return SidecarFixture.target("s-1", "127.0.0.1:9", state).toString();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private Discovery discovery(Stub service) {
        return discovery(service, false);
    }

    private Discovery discovery(Stub service, boolean pushed) {
        return new Discovery(
                loop, service.address(), pushed, 41, (kind, targets) -> events.add(new ListEvent(kind, targets)));
    }

    /** A line may span several chunks and a chunk may hold several lines; only an invalid entry itself is skipped. */
    @Test
    void watchIsReadLineByLineAndReportsFailureWhenItEnds() throws Exception {
        try (Stub service = new Stub((socket, head) -> {
            Stub.write(socket, CHUNKED + chunk("\n") + chunk(CHANGE_FIRST_HALF));
            Stub.write(socket, chunk(CHANGE_SECOND_HALF + "{\"rev\":44,\"all\":true,\"targets\":[]}\n"));
            return false;
        })) {
            Discovery discovery = discovery(service);
            loop.execute(() -> discovery.watch(true));
            assertTrue(Stub.next(service.heads).startsWith("GET /discovery/hosts?watch=1&from=41 HTTP/1.1"));
            assertEquals(new ListEvent(ListKind.DELTA, List.of()), Stub.next(events), "an empty line means no change");
            ListEvent delta = Stub.next(events);
            assertEquals(ListKind.DELTA, delta.kind);
            assertEquals(
                    List.of(State.DRAINING),
                    delta.targets.stream().map(Target::state).toList());
            assertEquals(new ListEvent(ListKind.FULL, List.of()), Stub.next(events));
            assertEquals(new ListEvent(ListKind.FAILED, List.of()), Stub.next(events));
            loop.execute(() -> discovery.watch(true));
            assertTrue(Stub.next(service.heads).contains("from=44 "), "continues from the last revision");
        }
    }

    /** A failed call is reported exactly once, because the balancer schedules the next call at each report. */
    @Test
    void everyFailureIsReportedOnce() throws Exception {
        for (String rawResponse : List.of(
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                "",
                "nonsense\r\n\r\n",
                CHUNKED + chunk("{\"rev\":\n"),
                CHUNKED + chunk("[]\n"),
                CHUNKED + chunk("{\"rev\":1,\"targets\":{}}\n"))) {
            try (Stub service = new Stub((socket, head) -> {
                Stub.write(socket, rawResponse);
                return false;
            })) {
                Discovery discovery = discovery(service);
                loop.execute(() -> discovery.watch(true));
                assertEquals(ListKind.FAILED, Stub.next(events).kind, rawResponse);
                loop.execute(discovery::fetch);
                assertEquals(ListKind.FAILED, Stub.next(events).kind, rawResponse);
                loop.submit(() -> {}).sync();
                assertEquals(0, events.size(), rawResponse);
            }
        }
    }

    @Test
    void fullListIsFetchedOnce() throws Exception {
        String body = "{\"rev\":41,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (Stub service = new Stub((socket, head) -> Stub.reply(socket, "200 OK", "", body))) {
            Discovery discovery = discovery(service);
            loop.execute(discovery::fetch);
            assertTrue(Stub.next(service.heads).startsWith("GET /discovery/hosts HTTP/1.1"));
            ListEvent list = Stub.next(events);
            assertEquals(ListKind.FULL, list.kind);
            assertEquals(9, list.targets.get(0).endpoint().getPort());
            Stub.next(service.ended);
            assertEquals(0, events.size());
        }
    }

    /** After a switch the new service's list applies, whatever its revision, and the old service is ignored. */
    @Test
    void switchedWatchRequestsTheFullListAndClosesTheOldWatch() throws Exception {
        Stub.Script openWatch = (socket, head) -> {
            Stub.write(socket, CHUNKED + chunk("{\"rev\":50,\"all\":true,\"targets\":[]}\n"));
            return true;
        };
        String fullList = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n";
        try (Stub oldService = new Stub(openWatch);
                Stub newService = new Stub((socket, head) -> {
                    Stub.write(socket, CHUNKED + chunk(fullList));
                    return true;
                })) {
            Discovery discovery = discovery(oldService);
            loop.execute(() -> discovery.watch(true));
            assertEquals(ListKind.FULL, Stub.next(events).kind);
            loop.execute(() -> discovery.switchTo(newService.address()));
            assertEquals("end", Stub.next(oldService.ended), "the old watch is closed");
            assertTrue(Stub.next(newService.heads).startsWith("GET /discovery/hosts?watch=1&from=0 HTTP/1.1"));
            ListEvent list = Stub.next(events);
            assertEquals(ListKind.FULL, list.kind);
            assertEquals(1, list.targets.size());
            oldService.die();
            loop.submit(() -> {}).sync();
            assertEquals(0, events.size(), "neither a failure nor a list of the old service");
        }
    }

    /** A call that waits for its response during a switch is not closed, to keep its position in the queue. */
    @Test
    void aPendingCallCompletesBeforeTheNewServiceIsCalled() throws Exception {
        CountDownLatch configured = new CountDownLatch(1);
        String emptyList = "{\"rev\":43,\"all\":true,\"targets\":[]}\n";
        try (Stub oldService = new Stub((socket, head) -> {
                    assertTrue(Stub.await(configured));
                    Stub.write(socket, CHUNKED + chunk(emptyList));
                    return true;
                });
                Stub newService = new Stub((socket, head) -> Stub.reply(socket, "503 No", "", ""))) {
            Discovery discovery = discovery(oldService);
            loop.execute(() -> discovery.watch(true));
            Stub.next(oldService.heads);
            loop.submit(() -> discovery.switchTo(newService.address())).sync();
            assertEquals(0, newService.heads.size());
            configured.countDown();
            assertEquals(new ListEvent(ListKind.FULL, List.of()), Stub.next(events), "the old service's response");
            assertEquals(ListKind.FAILED, Stub.next(events).kind, "then the new service refuses");
            assertTrue(Stub.next(newService.heads).contains("from=0 "), "must not use a revision of the old service");
        }
    }

    /** An old service that never responds delays the switch for a bounded time and is ignored after that. */
    @Test
    void theNewServiceIsCalledInTimeIfTheOldOneDoesNotRespond() throws Exception {
        String fullList = "{\"rev\":3,\"all\":true,\"targets\":[]}\n";
        try (Stub oldService = new Stub((socket, head) -> true);
                Stub newService = new Stub((socket, head) -> {
                    Stub.write(socket, CHUNKED + chunk(fullList));
                    return true;
                })) {
            Discovery discovery = discovery(oldService);
            loop.execute(() -> discovery.watch(true));
            Stub.next(oldService.heads);
            // Timers of one event loop fire in order, whatever the speed of the machine.
            loop.execute(() -> {
                discovery.switchTo(newService.address());
                loop.schedule(
                        () -> events.add(new ListEvent(ListKind.CACHED, List.of())), 2_300, TimeUnit.MILLISECONDS);
            });
            assertEquals(ListKind.FULL, Stub.next(events).kind, "before 2.3 s are over");
            assertEquals(ListKind.CACHED, Stub.next(events).kind);
            assertEquals("end", Stub.next(oldService.ended));
        }
    }

    /** Requesting a watch again does not replace one that still waits for its first response. */
    @Test
    void aWatchWithoutAFirstResponseIsNotReplaced() throws Exception {
        CountDownLatch repeated = new CountDownLatch(1);
        try (Stub service = new Stub((socket, head) -> {
            assertTrue(Stub.await(repeated));
            Stub.write(socket, CHUNKED + chunk("\n"));
            return true;
        })) {
            Discovery discovery = discovery(service);
            loop.execute(() -> discovery.watch(true));
            Stub.next(service.heads);
            loop.submit(() -> discovery.watch(true)).sync();
            repeated.countDown();
            assertEquals(ListKind.DELTA, Stub.next(events).kind);
            assertEquals(0, service.heads.size());
            assertEquals(0, events.size());
        }
    }

    /** A connection closed by the old service after a switch is not a failure, and causes no second call. */
    @Test
    void closureByTheOldServiceAfterASwitchIsNoFailure() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        String fullList = "{\"rev\":3,\"all\":true,\"targets\":[]}\n";
        try (Stub oldService = new Stub((socket, head) -> true);
                Stub newService = new Stub((socket, head) -> {
                    assertTrue(Stub.await(ended));
                    Stub.write(socket, CHUNKED + chunk(fullList));
                    return true;
                })) {
            Discovery discovery = discovery(oldService);
            loop.execute(() -> discovery.watch(true));
            Stub.next(oldService.heads);
            loop.execute(() -> discovery.switchTo(newService.address()));
            Stub.next(newService.heads);
            oldService.die();
            Stub.next(oldService.ended);
            ended.countDown();
            assertEquals(ListKind.FULL, Stub.next(events).kind);
            assertEquals(0, events.size());
            assertEquals(0, newService.heads.size());
        }
    }

    /** Changes alone do not say which targets of the old service are gone, so the full list is fetched, too. */
    @Test
    void switchedWatchWithOnlyChangesIsFollowedByAFetchOfTheFullList() throws Exception {
        String fullList = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (Stub oldService = new Stub((socket, head) -> true);
                Stub newService = new Stub((socket, head) -> {
                    if (!head.contains("watch=1")) {
                        return Stub.reply(socket, "200 OK", "", fullList);
                    }
                    Stub.write(socket, CHUNKED + chunk("{\"rev\":3,\"all\":false,\"targets\":[]}\n"));
                    return true;
                })) {
            Discovery discovery = discovery(oldService);
            loop.execute(() -> discovery.watch(true));
            Stub.next(oldService.heads);
            loop.execute(() -> discovery.switchTo(newService.address()));
            assertEquals(ListKind.DELTA, Stub.next(events).kind);
            assertEquals(ListKind.FULL, Stub.next(events).kind);
        }
    }

    /** Lists may be indented, also on a watch, and the last one may lack its line end. */
    @Test
    void indentedListsAreRead() throws Exception {
        String quoted = entry("DRAINING").replace("s-1", "s}\\\"{1");
        String change = ("{\n \"rev\": 43,\n \"all\": false,\n \"targets\": [\n  " + quoted + "\n ]\n}");
        try (Stub service = new Stub((socket, head) -> {
            Stub.write(socket, CHUNKED + chunk(change.substring(0, 30)) + chunk(change.substring(30)));
            return true;
        })) {
            Discovery discovery = discovery(service);
            loop.execute(() -> discovery.watch(true));
            ListEvent delta = Stub.next(events);
            assertEquals(ListKind.DELTA, delta.kind);
            assertEquals(
                    List.of("s}\"{1"), delta.targets.stream().map(Target::uid).toList());
            loop.execute(discovery::fetch);
            assertEquals(ListKind.DELTA, Stub.next(events).kind);
        }
    }

    /** Fetch and watch run concurrently: an older list that arrives last must not replace a newer one. */
    @Test
    void anOlderListThatArrivesLastIsIgnored() throws Exception {
        CountDownLatch watched = new CountDownLatch(1);
        AtomicInteger fetches = new AtomicInteger();
        String ready = "{\"rev\":42,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        String draining = "{\"rev\":43,\"all\":true,\"targets\":[" + entry("DRAINING") + "]}";
        try (Stub service = new Stub((socket, head) -> {
            if (head.contains("watch=1")) {
                Stub.write(socket, CHUNKED + chunk(draining + "\n"));
                return true;
            }
            return Stub.await(watched)
                    && Stub.reply(socket, "200 OK", "", fetches.getAndIncrement() == 0 ? ready : draining);
        })) {
            Discovery discovery = discovery(service);
            loop.execute(discovery::fetch);
            Stub.next(service.heads);
            loop.execute(() -> discovery.watch(true));
            assertEquals(State.DRAINING, Stub.next(events).targets.get(0).state());
            watched.countDown();
            assertEquals(State.DRAINING, Stub.next(events).targets.get(0).state(), "it is fetched again");
            assertEquals(2, fetches.get());
        }
    }

    /** A list of a service whose revisions start again is not treated as outdated. */
    @Test
    void revisionsMayStartAgain() throws Exception {
        String fullList = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (Stub service = new Stub((socket, head) -> Stub.reply(socket, "200 OK", "", fullList))) {
            Discovery discovery = discovery(service);
            loop.execute(discovery::fetch);
            assertEquals(ListKind.FULL, Stub.next(events).kind);
        }
    }

    /**
     * Where lists are pushed the watch opens without a request and reopens by itself after a refusal, a closed
     * connection, and a connection without any response.
     */
    @Test
    void pushedListsAreWatchedWithoutRequest() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String change = "{\"rev\":44,\"all\":false,\"targets\":[" + entry("DRAINING") + "]}\n";
        try (Stub service = new Stub((socket, head) -> {
            int call = calls.getAndIncrement();
            if (call == 1) {
                return true;
            }
            Stub.write(socket, call == 0 ? "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" : CHUNKED + chunk(change));
            return call != 2;
        })) {
            Discovery discovery = discovery(service, true);
            loop.execute(discovery::follow);
            List<ListKind> kinds = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                kinds.add(Stub.next(events).kind);
            }
            assertEquals(
                    List.of(ListKind.FAILED, ListKind.FAILED, ListKind.DELTA, ListKind.FAILED, ListKind.DELTA), kinds);
            assertTrue(service.heads.stream().allMatch(head -> head.contains("watch=1")));
        }
    }

    /** A silent watch is closed early enough for two further calls before missed changes count as received. */
    @Test
    void silenceIsDetectedInHalfTheDeliveryTime() throws Exception {
        try (Stub service = new Stub((socket, head) -> {
            Stub.write(socket, CHUNKED + chunk("{\"rev\":43,\"all\":true,\"targets\":[]}\n"));
            return true;
        })) {
            Discovery discovery = discovery(service);
            loop.execute(() -> discovery.watch(true));
            assertEquals(ListKind.FULL, Stub.next(events).kind);
            // Both are timers of one event loop, so their order does not depend on the speed of the machine.
            loop.execute(() ->
                    loop.schedule(() -> events.add(new ListEvent(ListKind.CACHED, List.of())), 4, TimeUnit.SECONDS));
            assertEquals(ListKind.FAILED, Stub.next(events).kind, "before 4 s of the 6 s are over");
        }
    }

    /**
     * A first response that trickles in is abandoned with 2 s left for another call. If that is the usual speed of
     * the service, the next call waits for the complete response.
     */
    @Test
    void aSlowFirstResponseTimesOutOnceAndThenGetsMoreTime() throws Exception {
        String fullList = "{\"rev\":43,\"all\":true,\"targets\":[]}\n";
        AtomicInteger calls = new AtomicInteger();
        try (Stub service = new Stub((socket, head) -> {
            boolean first = calls.getAndIncrement() == 0;
            for (int i = 0; first && i < 9; i++) {
                pause();
            }
            Stub.write(socket, CHUNKED);
            int slowBytes = first ? 30 : 17;
            for (int i = 0; i < slowBytes; i++) {
                Stub.write(socket, chunk(fullList.substring(i, i + 1)));
                pause();
            }
            Stub.write(socket, chunk(fullList.substring(slowBytes)));
            return true;
        })) {
            Discovery discovery = discovery(service);
            loop.execute(() -> {
                discovery.watch(true);
                loop.schedule(() -> events.add(new ListEvent(ListKind.CACHED, List.of())), 4, TimeUnit.SECONDS);
            });
            assertEquals(ListKind.FAILED, Stub.next(events).kind, "before 4 s of the 6 s are over");
            assertEquals(ListKind.CACHED, Stub.next(events).kind);
            loop.execute(() -> discovery.watch(true));
            assertEquals(ListKind.FULL, Stub.next(events).kind, "complete 3.4 s after its first byte");
        }
    }

    /** A change that trickles in on an open watch times out as early as a silent watch. */
    @Test
    void aSlowChangeTimesOutLikeASilentWatch() throws Exception {
        try (Stub service = new Stub((socket, head) -> {
            Stub.write(socket, CHUNKED + chunk("\n"));
            for (int i = 0; i < 30; i++) {
                Stub.write(socket, chunk(CHANGE_FIRST_HALF.substring(i, i + 1)));
                pause();
            }
            return true;
        })) {
            Discovery discovery = discovery(service);
            loop.execute(() -> discovery.watch(true));
            assertEquals(ListKind.DELTA, Stub.next(events).kind);
            loop.execute(() ->
                    loop.schedule(() -> events.add(new ListEvent(ListKind.CACHED, List.of())), 4, TimeUnit.SECONDS));
            assertEquals(ListKind.FAILED, Stub.next(events).kind);
        }
    }

    /** Slows down a response; no order of events depends on it. */
    private static void pause() {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** After a switch the full list is fetched until it arrives: changes alone do not say which targets are gone. */
    @Test
    void aFailedFetchOfTheFullListAfterASwitchIsRepeated() throws Exception {
        for (boolean pushed : new boolean[] {false, true}) {
            AtomicInteger fetches = new AtomicInteger();
            String fullList = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
            try (Stub oldService = new Stub((socket, head) -> true);
                    Stub newService = new Stub((socket, head) -> {
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
                        return Stub.reply(socket, fetches.getAndIncrement() == 0 ? "503 No" : "200 OK", "", fullList);
                    })) {
                Discovery discovery = discovery(oldService, pushed);
                loop.execute(() -> discovery.watch(true));
                Stub.next(oldService.heads);
                loop.execute(() -> discovery.switchTo(newService.address()));
                assertEquals(ListKind.DELTA, Stub.next(events).kind);
                assertEquals(ListKind.FAILED, Stub.next(events).kind);
                if (!pushed) {
                    loop.execute(() -> discovery.watch(true));
                    assertEquals(ListKind.DELTA, Stub.next(events).kind, "an empty line");
                }
                assertEquals(ListKind.FULL, Stub.next(events).kind);
                loop.submit(() -> discovery.watch(false)).sync();
                events.clear();
            }
        }
    }
}
