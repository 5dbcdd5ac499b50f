package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.ListKind;
import pondridge.core.Engine;
import pondridge.http1.Stub;
import pondridge.http1.Upstreams;
import pondridge.platform.Config;
import pondridge.platform.Discovery;

/** Where discovery is asked, it is asked anew in time after whatever failed: sockets and the real module. */
class AskedAnewTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EMPTY_LINE = "1\r\n\n\r\n";

    private enum Fault {
        TURNED_AWAY,
        ENDED,
        HUNG,
        HEAD_ONLY
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String chunk(ObjectNode list) {
        String line = list + "\n";
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }

    /** A module and its discovery, with settings that allow ten minutes without a call. */
    private Discovery sidecar(Stub stub, BlockingQueue<ListKind> told) throws Exception {
        ObjectNode json = Bed.json();
        json.withObject("/settings").put("discovery", "subscribe");
        json.withObject("/settings/rules").put("askWithin", 600_000_000_000L);
        Config config = Config.of(json);
        Engine engine = new Engine(
                loop,
                config.options(),
                config.seed(),
                Bed.MOST,
                new Upstreams(loop, config.options(), config.mostUpstream()));
        Discovery discovery = new Discovery(loop, stub.address(), config.pushed(), 41, (kind, targets) -> {
            told.add(kind);
            engine.listed(kind, targets);
        });
        loop.submit(() -> engine.start(discovery, List.of())).sync();
        return discovery;
    }

    private static boolean play(Fault fault, Socket socket) throws IOException {
        switch (fault) {
            case TURNED_AWAY -> Stub.write(socket, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
            case HEAD_ONLY -> Stub.write(socket, CHUNKED);
            default -> {}
        }
        return fault == Fault.HUNG || fault == Fault.HEAD_ONLY;
    }

    /** One call fails, just before the return or as the first one after it; then it is told within 6 s. */
    @Test
    void askedAnewInTimeAfterEachKindOfFailure() throws Exception {
        Map<Fault, BlockingQueue<ListKind>> told = new EnumMap<>(Fault.class);
        List<Stub> stubs = new ArrayList<>();
        try {
            for (Fault fault : Fault.values()) {
                AtomicInteger calls = new AtomicInteger();
                BlockingQueue<ListKind> queue = new LinkedBlockingQueue<>();
                told.put(fault, queue);
                Stub stub = new Stub((socket, head) -> {
                    if (calls.getAndIncrement() == 0) {
                        // Both are timers of one loop, so their order does not hang on the machine's speed.
                        loop.schedule(() -> queue.add(ListKind.CACHED), 6, TimeUnit.SECONDS);
                        return play(fault, socket);
                    }
                    Stub.write(socket, CHUNKED + EMPTY_LINE);
                    return true;
                });
                stubs.add(stub);
                sidecar(stub, queue);
            }
            for (Fault fault : Fault.values()) {
                assertEquals(ListKind.FAILED, Stub.next(told.get(fault)), fault.name());
                assertEquals(ListKind.DELTA, Stub.next(told.get(fault)), fault.name());
            }
        } finally {
            for (Stub stub : stubs) {
                stub.close();
            }
        }
    }

    /**
     * The watch breaks while a call for the whole list is out, as after a move. Danger: that list was taken
     * for the watch's answer, and nobody ever asked again.
     */
    @Test
    void theWholeListIsNotTakenForTheWatchThatBroke() throws Exception {
        CountDownLatch fetching = new CountDownLatch(1);
        CountDownLatch broken = new CountDownLatch(1);
        AtomicInteger watches = new AtomicInteger();
        BlockingQueue<ListKind> told = new LinkedBlockingQueue<>();
        try (Stub old = new Stub((socket, head) -> true);
                Stub next = new Stub((socket, head) -> {
                    try {
                        if (!head.contains("watch=1")) {
                            fetching.countDown();
                            return broken.await(Stub.LIMIT_S, TimeUnit.SECONDS)
                                    && Stub.reply(
                                            socket,
                                            "200 OK",
                                            "",
                                            Bed.list(3, true).toString());
                        }
                        if (watches.getAndIncrement() == 0) {
                            Stub.write(socket, CHUNKED + chunk(Bed.list(3, false)));
                            return !fetching.await(Stub.LIMIT_S, TimeUnit.SECONDS);
                        }
                        Stub.write(socket, CHUNKED + EMPTY_LINE);
                        return true;
                    } catch (InterruptedException e) {
                        return false;
                    }
                })) {
            Discovery discovery = sidecar(old, told);
            Stub.next(old.heads);
            loop.execute(() -> discovery.switchTo(next.address()));
            assertEquals(ListKind.DELTA, Stub.next(told));
            assertEquals(ListKind.FAILED, Stub.next(told));
            broken.countDown();
            assertEquals(ListKind.FULL, Stub.next(told));
            assertEquals(ListKind.DELTA, Stub.next(told), "the new watch's first word");
            assertEquals(2, watches.get(), "one call more");
        }
    }
}
