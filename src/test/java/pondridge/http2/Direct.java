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
import pondridge.Options;
import pondridge.core.Answer;
import pondridge.core.Job;
import pondridge.core.Transport;
import pondridge.http1.Stub;
import pondridge.standin.EffectLedger;
import pondridge.standin.FaultScript;
import pondridge.standin.FaultyLink;
import pondridge.standin.KeyMemory;
import pondridge.standin.OrderClass;
import pondridge.standin.StandinServer;

/** The transport by itself, with servers and without an engine: each attempt's outcome comes to a queue. */
public final class Direct implements AutoCloseable {
    static final long LONG = 60_000_000_000L;

    /** How an attempt ended, and after how long. */
    record Ended(String id, Outcome outcome, Answer answer, long took) {}

    final BlockingQueue<Ended> ended = new LinkedBlockingQueue<>();
    final EffectLedger ledger = new EffectLedger(0, 0);
    final EventLoop loop;
    Http2Upstreams transport;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop servers;

    Direct(String options, int firstStream) throws Exception {
        loop = group.next();
        servers = group.next();
        Options settings = new Options("caps.connectTimeout=5000000000\ncaps.connIdle=60000000000");
        transport = loop.submit(
                        () -> new Http2Upstreams(loop, settings, SoakTest.options(options), Proof.RFC9113, firstStream))
                .get();
    }

    public Direct(String options) throws Exception {
        this(options, 1);
    }

    /** A server that becomes the upstream of that number. */
    public StandinServer server(long upstream, long streams, int window, FaultScript script) throws Exception {
        StandinServer made = new StandinServer(
                servers,
                local(0),
                new StandinServer.Setup(
                        "s" + upstream,
                        "a",
                        StandinServer.Protocol.HTTP2,
                        streams,
                        window,
                        script,
                        ledger,
                        new KeyMemory()));
        listed(upstream, made.address(), true);
        return made;
    }

    /** A good link in front of a server, which becomes the way to the upstream of that number. */
    FaultyLink link(StandinServer server, long upstream) throws Exception {
        FaultyLink made = new FaultyLink(servers, local(0), server.address(), 1);
        listed(upstream, made.address(), true);
        return made;
    }

    static InetSocketAddress local(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    void listed(long upstream, InetSocketAddress address, boolean ready) throws Exception {
        loop.submit(() -> transport.listed(upstream, address, 0, ready)).get();
    }

    /** Sends a booking with a body; returns the attempt. */
    Transport.Attempt send(long upstream, String id, long wait) throws Exception {
        return loop.submit(() -> start(upstream, id, wait)).get();
    }

    /** Sends so many in one turn of the loop: none of them can know what comes of the others. */
    void burst(long upstream, String id, int count) throws Exception {
        loop.submit(() -> {
                    for (int i = 0; i < count; i++) {
                        start(upstream, id + i, LONG);
                    }
                })
                .get();
    }

    private Transport.Attempt start(long upstream, String id, long wait) {
        ledger.asked(id, OrderClass.named("order-book"), "", LONG);
        HttpHeaders headers = new DefaultHttpHeaders()
                .set("Host", "app.svc")
                .set("Req-Id", id)
                .set("Req-Kind", "order-book");
        Job job = new Job(0, 0, 0, 0, 0, false, HttpMethod.POST, "/api/" + id, headers, new byte[100]);
        long began = System.nanoTime();
        return transport.send(
                upstream,
                job,
                wait,
                (outcome, answer, load) -> ended.add(new Ended(id, outcome, answer, System.nanoTime() - began)));
    }

    void cancel(Transport.Attempt attempt) throws Exception {
        loop.submit(attempt::cancel).get();
    }

    Ended next() throws InterruptedException {
        return Stub.next(ended);
    }

    /** Waits for something that is on its way to become so. */
    public static void until(BooleanSupplier holds, String what) throws InterruptedException {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(Stub.LIMIT_S);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() - limit > 0) {
                throw new AssertionError("never came: " + what);
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
