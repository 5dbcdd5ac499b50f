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
import pondridge.BalancerOptions;
import pondridge.core.BufferBudget;
import pondridge.core.BufferBudgets;
import pondridge.core.HeapReceiveBuffers;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Transport;
import pondridge.pool.SharedConnectionLimit;

/**
 * The transport to upstreams that speak HTTP/2 (RFC 9113) in cleartext, by prior knowledge. An attempt is
 * written once, on one stream, and ends with one outcome; this class never retries. Used on the event loop
 * only.
 */
public final class Http2Upstreams implements Transport {
    private static final long PROBE_TIMEOUT_NANOS = 250_000_000;
    private static final long MIN_MAINTENANCE_INTERVAL_NANOS = 5_000_000;
    private static final long MAX_MAINTENANCE_INTERVAL_NANOS = 250_000_000;

    private final EventLoop loop;
    private final Http2Options options;
    private final StreamOutcomeRules outcomeRules;
    private final int firstStreamId;
    private final int connectTimeoutMs;
    private final long idleTimeoutNanos;
    private final LoadReports reports;
    private final Map<Long, ServerPool> pools = new HashMap<>();
    /** Pools of upstreams that were removed from the endpoint list and still have open connections. */
    private final List<ServerPool> removedPools = new ArrayList<>();

    private final SharedConnectionLimit connectionLimit;
    private final Connector connector;
    private final ServerPool unlistedUpstream;
    private final Future<?> maintenanceTask;
    private MessageCodec codec = MessageCodec.HTTP;
    private LongConsumer http1RequiredListener = upstream -> {};
    /** The memory of all responses that are being received. */
    private final BufferBudget.ConnectionShare responseMemory;

    /**
     * Creates a transport. Connect and idle timeouts come from the platform's settings, everything else from
     * {@code options}.
     */
    public Http2Upstreams(EventLoop loop, BalancerOptions settings, Http2Options options, BufferBudget responseBudget) {
        this(loop, settings, options, responseBudget, StreamOutcomeRules.RFC9113, 1, tcpConnector(loop));
    }

    /** Creates a transport with the whole process's memory for responses to itself. */
    public Http2Upstreams(EventLoop loop, BalancerOptions settings, Http2Options options) {
        this(loop, settings, options, BufferBudgets.ofThisProcess().responses());
    }

    /**
     * Creates a transport whose sockets are opened by a connector, which may add a layer such as TLS below
     * HTTP/2.
     */
    public Http2Upstreams(
            EventLoop loop,
            BalancerOptions settings,
            Http2Options options,
            BufferBudget responseBudget,
            Connector connector) {
        this(loop, settings, options, responseBudget, StreamOutcomeRules.RFC9113, 1, connector);
    }

    /** Creates a transport for servers that use another message format than plain HTTP. */
    public Http2Upstreams(
            EventLoop loop,
            BalancerOptions settings,
            Http2Options options,
            BufferBudget responseBudget,
            MessageCodec codec) {
        this(loop, settings, options, responseBudget);
        this.codec = codec;
    }

    /** For tests: with other outcome rules and another first stream id. */
    Http2Upstreams(
            EventLoop loop,
            BalancerOptions settings,
            Http2Options options,
            StreamOutcomeRules outcomeRules,
            int firstStreamId) {
        this(loop, settings, options, outcomeRules, firstStreamId, tcpConnector(loop));
    }

    /** For tests: with other outcome rules, another first stream id and another connector. */
    Http2Upstreams(
            EventLoop loop,
            BalancerOptions settings,
            Http2Options options,
            StreamOutcomeRules outcomeRules,
            int firstStreamId,
            Connector connector) {
        this(
                loop,
                settings,
                options,
                BufferBudgets.ofThisProcess().responses(),
                outcomeRules,
                firstStreamId,
                connector);
    }

    private static Connector tcpConnector(EventLoop loop) {
        return (address, timeoutMs, initializer) -> new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveBuffers())
                .handler(initializer)
                .connect(address);
    }

    private Http2Upstreams(
            EventLoop loop,
            BalancerOptions settings,
            Http2Options options,
            BufferBudget responseBudget,
            StreamOutcomeRules outcomeRules,
            int firstStreamId,
            Connector connector) {
        this.loop = loop;
        this.options = options;
        this.responseMemory =
                responseBudget.newChild(options.maxBufferedResponseBytes()).newUndividedShare();
        this.outcomeRules = outcomeRules;
        this.firstStreamId = firstStreamId;
        this.connectTimeoutMs = Math.max(1, (int) (settings.number("caps.connectTimeout", 1e9) / 1e6));
        // As for HTTP/1.1: idle connections are closed after nine tenths of the upstream's idle timeout, so
        // that no request can cross the upstream's close.
        this.idleTimeoutNanos = (long) (settings.number("caps.connIdle", 5e9) * 0.9);
        this.reports = new LoadReports(settings);
        this.connectionLimit = new SharedConnectionLimit(options.maxConnections());
        this.connector = connector;
        this.unlistedUpstream = new ServerPool(this, options);
        long intervalNanos = Math.max(
                MIN_MAINTENANCE_INTERVAL_NANOS,
                Math.min(
                        MAX_MAINTENANCE_INTERVAL_NANOS,
                        Math.min(options.pingAfterNanos(), options.pingTimeoutNanos()) / 4));
        this.maintenanceTask =
                loop.scheduleWithFixedDelay(this::maintain, intervalNanos, intervalNanos, TimeUnit.NANOSECONDS);
    }

    /** Sets the listener that is called with an upstream that requires HTTP/1.1. */
    public void onHttp1Required(LongConsumer listener) {
        http1RequiredListener = listener;
    }

    /**
     * Determines whether an upstream speaks HTTP/2: opens a connection, sends only the connection preface,
     * and waits for the upstream's SETTINGS. The listener is called on the event loop, possibly within this
     * call.
     */
    public void probeProtocol(long upstream, Consumer<ProtocolProbeResult> listener) {
        pools.getOrDefault(upstream, unlistedUpstream).probeProtocol(listener);
    }

    @Override
    public void updateEndpoint(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        pools.computeIfAbsent(upstream, id -> new ServerPool(this, options)).update(address, startedMs, ready);
    }

    @Override
    public void removeEndpoint(long upstream) {
        ServerPool pool = pools.remove(upstream);
        if (pool != null) {
            removedPools.add(pool);
            pool.shutDown();
        }
    }

    @Override
    public Transport.Attempt send(long upstream, Job job, long timeoutNanos, Listener listener) {
        if (!codec.canEncode(job)) {
            listener.ended(Outcome.NEVER_SENT, null, LoadReports.NONE);
            return Attempt.ENDED;
        }
        ServerPool pool = pools.getOrDefault(upstream, unlistedUpstream);
        Http2Attempt attempt = new Http2Attempt(pool, job, System.nanoTime() + timeoutNanos, listener);
        attempt.setTimer(loop.schedule(attempt::timeOut, timeoutNanos, TimeUnit.NANOSECONDS));
        pool.offer(attempt);
        return attempt;
    }

    @Override
    public void probe(long upstream, Listener listener) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "app.svc");
        send(
                upstream,
                new Job(0, 0, 0, 0, 0, false, HttpMethod.GET, reports.probePath(), headers, new byte[0]),
                PROBE_TIMEOUT_NANOS,
                listener);
    }

    @Override
    public void closeIdle(long upstream) {
        pools.getOrDefault(upstream, unlistedUpstream).closeIdle();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connectionLimit.connectionCount();
    }

    /** Closes all idle connections and stops the periodic maintenance. */
    public void close() {
        maintenanceTask.cancel(false);
        pools.values().forEach(ServerPool::closeIdle);
    }

    private void maintain() {
        long now = System.nanoTime();
        List.copyOf(pools.values()).forEach(pool -> pool.maintain(now, idleTimeoutNanos));
        removedPools.forEach(pool -> pool.maintain(now, idleTimeoutNanos));
        removedPools.removeIf(ServerPool::unregisterIfEmpty);
    }

    EventLoop loop() {
        return loop;
    }

    MessageCodec codec() {
        return codec;
    }

    LoadReports reports() {
        return reports;
    }

    int connectTimeoutMs() {
        return connectTimeoutMs;
    }

    SharedConnectionLimit connectionLimit() {
        return connectionLimit;
    }

    Connector connector() {
        return connector;
    }

    Connection newConnection(ServerPool pool) {
        return new Connection(pool, options, outcomeRules, firstStreamId, System.nanoTime());
    }

    BufferBudget.ConnectionShare responseMemory() {
        return responseMemory;
    }

    void http1Required(ServerPool pool) {
        pools.forEach((id, each) -> {
            if (each == pool) {
                http1RequiredListener.accept(id);
            }
        });
    }
}
