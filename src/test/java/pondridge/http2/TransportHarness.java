package pondridge.http2;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import pondridge.Balancer.Outcome;
import pondridge.BalancerOptions;
import pondridge.core.Job;
import pondridge.core.Transport;
import pondridge.core.UpstreamResponse;
import pondridge.http1.StubServer;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.FaultScript;
import pondridge.standin.FaultyLink;
import pondridge.standin.IdempotencyKeyStore;
import pondridge.standin.StandinRequestClass;
import pondridge.standin.StandinServer;

/**
 * Runs the transport against stand-in servers without an engine; the result of each attempt is added to a
 * queue.
 */
public final class TransportHarness implements AutoCloseable {
    static final long LONG_TIMEOUT_NANOS = 60_000_000_000L;

    /** The result of an attempt and the time it took. */
    record Result(String id, Outcome outcome, UpstreamResponse response, long durationNanos) {}

    final BlockingQueue<Result> results = new LinkedBlockingQueue<>();
    final ExecutionLedger ledger = new ExecutionLedger(0, 0);
    final EventLoop loop;
    Http2Upstreams transport;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop serverLoop;

    TransportHarness(String options, int firstStreamId) throws Exception {
        loop = group.next();
        serverLoop = group.next();
        BalancerOptions settings = new BalancerOptions("caps.connectTimeout=5000000000\ncaps.connIdle=60000000000");
        transport = loop.submit(() -> new Http2Upstreams(
                        loop, settings, SoakTest.options(options), StreamOutcomeRules.RFC9113, firstStreamId))
                .get();
    }

    public TransportHarness(String options) throws Exception {
        this(options, 1);
    }

    /** Starts a server and lists it as the upstream with this number. */
    public StandinServer startServer(long upstream, long streams, int window, FaultScript script) throws Exception {
        StandinServer server = new StandinServer(
                serverLoop,
                local(0),
                new StandinServer.Setup(
                        "s" + upstream,
                        "a",
                        StandinServer.Protocol.HTTP2,
                        streams,
                        window,
                        script,
                        ledger,
                        new IdempotencyKeyStore()));
        updateEndpoint(upstream, server.address(), true);
        return server;
    }

    /**
     * Starts a fault-free link to a server and lists the link as the address of the upstream with this
     * number.
     */
    FaultyLink link(StandinServer server, long upstream) throws Exception {
        FaultyLink link = new FaultyLink(serverLoop, local(0), server.address(), 1);
        updateEndpoint(upstream, link.address(), true);
        return link;
    }

    static InetSocketAddress local(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    void updateEndpoint(long upstream, InetSocketAddress address, boolean ready) throws Exception {
        loop.submit(() -> transport.updateEndpoint(upstream, address, 0, ready)).get();
    }

    /** Sends a request of class {@code order-book} with a body. */
    Transport.Attempt send(long upstream, String id, long timeoutNanos) throws Exception {
        return loop.submit(() -> start(upstream, id, timeoutNanos)).get();
    }

    /**
     * Sends several requests in one event loop iteration, so that none of them is affected by the result of
     * another.
     */
    void sendConcurrently(long upstream, String id, int count) throws Exception {
        loop.submit(() -> {
                    for (int i = 0; i < count; i++) {
                        start(upstream, id + i, LONG_TIMEOUT_NANOS);
                    }
                })
                .get();
    }

    private Transport.Attempt start(long upstream, String id, long timeoutNanos) {
        ledger.requestSent(id, StandinRequestClass.named("order-book"), "", LONG_TIMEOUT_NANOS);
        HttpHeaders headers = new DefaultHttpHeaders()
                .set("Host", "app.svc")
                .set("Req-Id", id)
                .set("Req-Kind", "order-book");
        Job job = new Job(0, 0, 0, 0, 0, false, HttpMethod.POST, "/api/" + id, headers, new byte[100]);
        long startedAt = System.nanoTime();
        return transport.send(
                upstream,
                job,
                timeoutNanos,
                (outcome, response, loadReport) ->
                        results.add(new Result(id, outcome, response, System.nanoTime() - startedAt)));
    }

    void cancel(Transport.Attempt attempt) throws Exception {
        loop.submit(attempt::cancel).get();
    }

    Result nextResult() throws InterruptedException {
        return StubServer.awaitNext(results);
    }

    /** Waits until a condition holds. */
    public static void waitUntil(BooleanSupplier condition, String description) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("timed out waiting for: " + description);
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
