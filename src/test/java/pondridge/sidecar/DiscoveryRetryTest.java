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
import pondridge.Balancer.EndpointListKind;
import pondridge.core.Engine;
import pondridge.http1.StubServer;
import pondridge.http1.Upstreams;
import pondridge.platform.DiscoveryClient;
import pondridge.platform.PlatformConfig;

/** In subscribe mode the balancer calls discovery again in time after each kind of failure, on real sockets. */
class DiscoveryRetryTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EMPTY_LINE = "1\r\n\n\r\n";

    private enum Fault {
        REJECTED,
        CLOSED,
        NO_RESPONSE,
        HEADERS_ONLY
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String chunk(ObjectNode list) {
        String line = list + "\n";
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }

    /** Starts a balancer and its discovery client, with settings that allow ten minutes without a call. */
    private DiscoveryClient startDiscovery(StubServer service, BlockingQueue<EndpointListKind> events)
            throws Exception {
        ObjectNode json = SidecarFixture.config();
        json.withObject("/settings").put("discovery", "subscribe");
        json.withObject("/settings/rules").put("askWithin", 600_000_000_000L);
        PlatformConfig config = PlatformConfig.of(json);
        Engine engine = new Engine(
                loop,
                config.options(),
                config.seed(),
                SidecarFixture.MAX_OPEN,
                new Upstreams(loop, config.options(), config.maxUpstreamConnections()));
        DiscoveryClient discovery =
                new DiscoveryClient(loop, service.address(), config.isDiscoveryPushed(), 41, (kind, targets) -> {
                    events.add(kind);
                    engine.updateEndpoints(kind, targets);
                });
        loop.submit(() -> engine.start(discovery, List.of())).sync();
        return discovery;
    }

    private static boolean injectFault(Fault fault, Socket socket) throws IOException {
        switch (fault) {
            case REJECTED -> StubServer.write(socket, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
            case HEADERS_ONLY -> StubServer.write(socket, CHUNKED);
            default -> {}
        }
        return fault == Fault.NO_RESPONSE || fault == Fault.HEADERS_ONLY;
    }

    /** One call fails, just before discovery recovers or as the first one afterwards: a list must arrive within 6 s. */
    @Test
    void discoveryIsCalledAgainInTimeAfterEachKindOfFailure() throws Exception {
        Map<Fault, BlockingQueue<EndpointListKind>> events = new EnumMap<>(Fault.class);
        List<StubServer> services = new ArrayList<>();
        try {
            for (Fault fault : Fault.values()) {
                AtomicInteger calls = new AtomicInteger();
                BlockingQueue<EndpointListKind> queue = new LinkedBlockingQueue<>();
                events.put(fault, queue);
                StubServer service = new StubServer((socket, head) -> {
                    if (calls.getAndIncrement() == 0) {
                        // Both are timers of one event loop, so their order does not depend on the speed of the
                        // machine.
                        loop.schedule(() -> queue.add(EndpointListKind.CACHED), 6, TimeUnit.SECONDS);
                        return injectFault(fault, socket);
                    }
                    StubServer.write(socket, CHUNKED + EMPTY_LINE);
                    return true;
                });
                services.add(service);
                startDiscovery(service, queue);
            }
            for (Fault fault : Fault.values()) {
                assertEquals(EndpointListKind.FAILED, StubServer.awaitNext(events.get(fault)), fault.name());
                assertEquals(EndpointListKind.DELTA, StubServer.awaitNext(events.get(fault)), fault.name());
            }
        } finally {
            for (StubServer service : services) {
                service.close();
            }
        }
    }

    /**
     * The watch fails while a fetch of the full list is open, as after a switch. The list must not be mistaken for a
     * response of the watch, because then the watch would never be opened again.
     */
    @Test
    void aFetchedListIsNoResponseOfAFailedWatch() throws Exception {
        CountDownLatch fetching = new CountDownLatch(1);
        CountDownLatch broken = new CountDownLatch(1);
        AtomicInteger watches = new AtomicInteger();
        BlockingQueue<EndpointListKind> events = new LinkedBlockingQueue<>();
        try (StubServer oldService = new StubServer((socket, head) -> true);
                StubServer newService = new StubServer((socket, head) -> {
                    try {
                        if (!head.contains("watch=1")) {
                            fetching.countDown();
                            return broken.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                    && StubServer.reply(
                                            socket,
                                            "200 OK",
                                            "",
                                            SidecarFixture.endpointList(3, true).toString());
                        }
                        if (watches.getAndIncrement() == 0) {
                            StubServer.write(socket, CHUNKED + chunk(SidecarFixture.endpointList(3, false)));
                            return !fetching.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                        }
                        StubServer.write(socket, CHUNKED + EMPTY_LINE);
                        return true;
                    } catch (InterruptedException e) {
                        return false;
                    }
                })) {
            DiscoveryClient discovery = startDiscovery(oldService, events);
            StubServer.awaitNext(oldService.requestHeads);
            loop.execute(() -> discovery.switchTo(newService.address()));
            assertEquals(EndpointListKind.DELTA, StubServer.awaitNext(events));
            assertEquals(EndpointListKind.FAILED, StubServer.awaitNext(events));
            broken.countDown();
            assertEquals(EndpointListKind.FULL, StubServer.awaitNext(events));
            assertEquals(EndpointListKind.DELTA, StubServer.awaitNext(events), "the first response of the new watch");
            assertEquals(2, watches.get(), "one more watch");
        }
    }
}
