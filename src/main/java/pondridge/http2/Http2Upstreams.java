package pondridge.http2;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import pondridge.Balancer.Outcome;
import pondridge.Options;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Transport;
import pondridge.pool.SharedRoom;

/**
 * The way to upstreams that speak HTTP/2 (RFC 9113) in the clear, by prior knowledge. An attempt is written
 * once, on one stream, and ends with one outcome; nothing is sent again from here. On the event loop only.
 */
public final class Http2Upstreams implements Transport {
    private static final long PROBE_TIMEOUT = 250_000_000;
    private static final long SHORTEST_LOOK = 5_000_000;
    private static final long LONGEST_LOOK = 250_000_000;

    private final EventLoop loop;
    private final Http2Options options;
    private final Proof proof;
    private final int firstStream;
    private final int connectTimeoutMs;
    private final long keepIdle;
    private final LoadReports reports;
    private final Map<Long, ServerPool> pools = new HashMap<>();
    /** Pools of upstreams that are listed no more, while something is open there. */
    private final List<ServerPool> leaving = new ArrayList<>();

    private final SharedRoom room;
    private final Dialler dialler;
    private final ServerPool nobody;
    private final Future<?> looking;
    private Wording wording = Wording.HTTP;
    private LongConsumer http1Wanted = upstream -> {};
    private long held;

    /** Time-outs for connecting and idleness come from the platform's settings, all else from its own. */
    public Http2Upstreams(EventLoop loop, Options settings, Http2Options options) {
        this(loop, settings, options, Proof.RFC9113, 1);
    }

    /** The same on sockets that are opened elsewhere, perhaps with something below HTTP/2. */
    public Http2Upstreams(EventLoop loop, Options settings, Http2Options options, Dialler dialler) {
        this(loop, settings, options, Proof.RFC9113, 1, dialler);
    }

    /** The same for servers that are spoken to in another form than HTTP's own. */
    public Http2Upstreams(EventLoop loop, Options settings, Http2Options options, Wording wording) {
        this(loop, settings, options, Proof.RFC9113, 1);
        this.wording = wording;
    }

    /** With other rules of proof and another first stream: for tests. */
    Http2Upstreams(EventLoop loop, Options settings, Http2Options options, Proof proof, int firstStream) {
        this(loop, settings, options, proof, firstStream, (address, timeoutMs, initializer) -> new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer)
                .connect(address));
    }

    /** With other rules of proof, another first stream and another way to sockets: for tests. */
    Http2Upstreams(
            EventLoop loop, Options settings, Http2Options options, Proof proof, int firstStream, Dialler dialler) {
        this.loop = loop;
        this.options = options;
        this.proof = proof;
        this.firstStream = firstStream;
        this.connectTimeoutMs = Math.max(1, (int) (settings.number("caps.connectTimeout", 1e9) / 1e6));
        // As for HTTP/1.1: closed a tenth before the upstream would, nothing can cross its close.
        this.keepIdle = (long) (settings.number("caps.connIdle", 5e9) * 0.9);
        this.reports = new LoadReports(settings);
        this.room = new SharedRoom(options.connections());
        this.dialler = dialler;
        this.nobody = new ServerPool(this, options);
        long step = Math.max(SHORTEST_LOOK, Math.min(LONGEST_LOOK, Math.min(options.quiet(), options.pingWait()) / 4));
        this.looking = loop.scheduleWithFixedDelay(this::look, step, step, TimeUnit.NANOSECONDS);
    }

    /** Tells whom to ask when an upstream says that it wants HTTP/1.1. */
    public void onHttp1Wanted(LongConsumer listener) {
        http1Wanted = listener;
    }

    /**
     * Finds out whether an upstream speaks HTTP/2: opens a connection on which nothing but the preface goes
     * out, and waits for the upstream's own. Told on the loop, perhaps within this call.
     */
    public void learn(long upstream, Consumer<Learned> learner) {
        pools.getOrDefault(upstream, nobody).learn(learner);
    }

    @Override
    public void listed(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        pools.computeIfAbsent(upstream, id -> new ServerPool(this, options)).listed(address, startedMs, ready);
    }

    @Override
    public void gone(long upstream) {
        ServerPool pool = pools.remove(upstream);
        if (pool != null) {
            leaving.add(pool);
            pool.shut();
        }
    }

    @Override
    public Transport.Attempt send(long upstream, Job job, long wait, Listener listener) {
        if (!wording.fits(job)) {
            listener.ended(Outcome.NEVER_SENT, null, LoadReports.NONE);
            return Attempt.ENDED;
        }
        ServerPool pool = pools.getOrDefault(upstream, nobody);
        Sending attempt = new Sending(pool, job, System.nanoTime() + wait, listener);
        attempt.timer(loop.schedule(attempt::late, wait, TimeUnit.NANOSECONDS));
        pool.offer(attempt);
        return attempt;
    }

    @Override
    public void probe(long upstream, Listener listener) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "app.svc");
        send(
                upstream,
                new Job(0, 0, 0, 0, 0, false, HttpMethod.GET, reports.probePath(), headers, new byte[0]),
                PROBE_TIMEOUT,
                listener);
    }

    @Override
    public void closeIdle(long upstream) {
        pools.getOrDefault(upstream, nobody).closeIdle();
    }

    /** How many connections are open. */
    public int connections() {
        return room.taken();
    }

    /** Closes all idle connections and keeps no more watch on them. */
    public void close() {
        looking.cancel(false);
        pools.values().forEach(ServerPool::closeIdle);
    }

    private void look() {
        long now = System.nanoTime();
        List.copyOf(pools.values()).forEach(pool -> pool.look(now, keepIdle));
        leaving.forEach(pool -> pool.look(now, keepIdle));
        leaving.removeIf(ServerPool::dissolve);
    }

    EventLoop loop() {
        return loop;
    }

    Wording wording() {
        return wording;
    }

    LoadReports reports() {
        return reports;
    }

    int connectTimeoutMs() {
        return connectTimeoutMs;
    }

    SharedRoom room() {
        return room;
    }

    Dialler dialler() {
        return dialler;
    }

    Connection connection(ServerPool pool) {
        return new Connection(pool, options, proof, firstStream, System.nanoTime());
    }

    /** Takes room for a part of an answer; false if all bodies together are too large. */
    boolean hold(int bytes) {
        if (held + bytes > options.answersBytes()) {
            return false;
        }
        held += bytes;
        return true;
    }

    void release(int bytes) {
        held -= bytes;
    }

    void wantsHttp1(ServerPool pool) {
        pools.forEach((id, each) -> {
            if (each == pool) {
                http1Wanted.accept(id);
            }
        });
    }
}
