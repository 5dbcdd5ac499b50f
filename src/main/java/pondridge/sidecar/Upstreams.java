package pondridge.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pondridge.Balancer.Outcome;
import pondridge.Options;

/**
 * Connections to upstreams and the attempts on them. An attempt is written once, on one connection, and ends
 * with one outcome; nothing is sent again from here.
 */
final class Upstreams {
    /** A body's 64 KiB and no more, so that answers can't fill the memory. */
    private static final int LARGEST_ANSWER = 1 << 16;
    private static final long PROBE_TIMEOUT = 250_000_000;
    private static final String LOAD_PATH = "/metrics/load";
    private static final float[] NO_REPORT = {};

    /** How an attempt ended; {@code answer} is there for {@link Outcome#OK} alone. */
    interface Listener {
        void ended(Outcome outcome, Engine.Answer answer, float[] load);
    }

    private final EventLoop loop;
    private final int connectTimeoutMs;
    private final long keepIdle;
    private final int mostConnections;
    private final List<String> reportFields;
    private final Map<Long, Pool> pools = new HashMap<>();
    private final Future<?> retirement;
    private int connections;

    Upstreams(EventLoop loop, Options options, int mostConnections) {
        this.loop = loop;
        this.connectTimeoutMs = Math.max(1, (int) (options.number("caps.connectTimeout", 1e9) / 1e6));
        // An upstream closes at its idle time; a tenth before it, no request can cross that on its way.
        this.keepIdle = (long) (options.number("caps.connIdle", 5e9) * 0.9);
        this.mostConnections = mostConnections;
        this.reportFields = options.list("report.fields");
        long sweep = Math.max(1, keepIdle / 20);
        retirement = loop.scheduleWithFixedDelay(this::retire, sweep, sweep, TimeUnit.NANOSECONDS);
    }

    /**
     * Takes over what the list says of an upstream. Once it is no longer ready, nothing not yet written goes
     * there: who waits for a connection is told that none came, idle connections are closed. So are those to
     * a process that has started anew since: a machine that vanished has not ended them, and what is written
     * to them would count as perhaps run.
     */
    void listed(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        Pool pool = pools.computeIfAbsent(upstream, id -> new Pool());
        if (!address.equals(pool.address) || startedMs > pool.startedMs) {
            pool.address = address;
            pool.startedMs = startedMs;
            pool.closeIdle();
        }
        if (ready) {
            pool.ready = true;
        } else {
            gone(upstream);
        }
    }

    /** Takes over that an upstream drains, or is in the list no more. */
    void gone(long upstream) {
        Pool pool = pools.get(upstream);
        if (pool == null) {
            return;
        }
        pool.ready = false;
        pool.closeIdle();
        for (Attempt attempt : List.copyOf(pool.unwritten)) {
            attempt.end(Outcome.CONNECT_FAILED);
        }
    }

    /** Sends a request as one attempt; {@code wait} in nanoseconds bounds it. */
    Attempt send(long upstream, FullHttpRequest request, long wait, Listener listener) {
        Pool pool = pools.computeIfAbsent(upstream, id -> new Pool());
        Attempt attempt = new Attempt(pool, request, listener);
        attempt.timer = loop.schedule(attempt::late, wait, TimeUnit.NANOSECONDS);
        pool.unwritten.add(attempt);
        Connection idle = pool.idle.pollLast();
        if (!pool.ready || pool.address == null) {
            attempt.end(Outcome.CONNECT_FAILED);
        } else if (idle != null) {
            idle.write(attempt);
        } else if (connections >= mostConnections) {
            attempt.end(Outcome.NEVER_SENT);
        } else {
            new Connection(pool).open(attempt);
        }
        return attempt;
    }

    /** Probes an upstream: for its load report where the deployment has reports, else for its health. */
    void probe(long upstream, Listener listener) {
        String path = reportFields.isEmpty() ? "/alive" : LOAD_PATH;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, "app.svc");
        send(upstream, request, PROBE_TIMEOUT, listener);
    }

    /** Closes the idle connections to an upstream. */
    void closeIdle(long upstream) {
        Pool pool = pools.get(upstream);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    /** Closes all idle connections and keeps no more watch on them. */
    void close() {
        retirement.cancel(false);
        pools.values().forEach(Pool::closeIdle);
    }

    private void retire() {
        long now = System.nanoTime();
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && now - pool.idle.peekFirst().idleSince > keepIdle) {
                pool.idle.pollFirst().close();
            }
        }
    }

    /** One upstream's connections; the least lately used idle one comes first. */
    private static final class Pool {
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private final Set<Attempt> unwritten = new LinkedHashSet<>();
        private InetSocketAddress address;
        private long startedMs;
        private boolean ready = true;

        void closeIdle() {
            while (!idle.isEmpty()) {
                idle.pollFirst().close();
            }
        }
    }

    /** One sending of a request. Until its last byte is written it has never run; after that it may have. */
    final class Attempt {
        private final Pool pool;
        private final FullHttpRequest request;
        private final Listener listener;
        private Connection connection;
        private Future<?> timer;
        private boolean written;
        private boolean over;

        private Attempt(Pool pool, FullHttpRequest request, Listener listener) {
            this.pool = pool;
            this.request = request;
            this.listener = listener;
        }

        /** Gives the attempt up and closes its connection. */
        void cancel() {
            end(Outcome.CANCELLED);
        }

        private void late() {
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        private void broken() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }

        private void end(Outcome outcome) {
            if (!over) {
                if (connection != null) {
                    connection.close();
                }
                end(outcome, null, NO_REPORT);
            }
        }

        private void end(Outcome outcome, Engine.Answer answer, float[] load) {
            over = true;
            timer.cancel(false);
            pool.unwritten.remove(this);
            listener.ended(outcome, answer, load);
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Pool pool;
        private Channel channel;
        private Attempt current;
        private long idleSince;

        Connection(Pool pool) {
            this.pool = pool;
        }

        void open(Attempt first) {
            connections++;
            current = first;
            first.connection = this;
            new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            channel = made;
                            made.closeFuture().addListener(closed -> connections--);
                            made.pipeline().addLast(new HttpClientCodec(),
                                    new HttpObjectAggregator(LARGEST_ANSWER), Connection.this);
                        }
                    })
                    .connect(pool.address)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            first.broken();
                        } else if (first.over) {
                            close();
                        } else {
                            write(first);
                        }
                    });
        }

        void write(Attempt attempt) {
            current = attempt;
            attempt.connection = this;
            channel.writeAndFlush(attempt.request).addListener(done -> {
                if (done.isSuccess()) {
                    attempt.written = true;
                    pool.unwritten.remove(attempt);
                } else {
                    attempt.broken();
                }
            });
        }

        void close() {
            pool.idle.remove(this);
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Attempt attempt = current;
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            if (attempt == null || attempt.over || response.decoderResult().isFailure()) {
                if (attempt != null) {
                    attempt.end(Outcome.ERROR);
                }
                close();
                return;
            }
            current = null;
            if (HttpUtil.isKeepAlive(response) && attempt.written && pool.ready) {
                idleSince = System.nanoTime();
                pool.idle.addLast(this);
            } else {
                close();
            }
            Outcome outcome = outcome(response);
            attempt.end(outcome, outcome == Outcome.OK ? new Engine.Answer(response.headers(),
                    ByteBufUtil.getBytes(response.content())) : null,
                    load(response, attempt.request.uri().equals(LOAD_PATH)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                System.err.println("upstream " + pool.address + ": " + cause);
            }
            lost();
        }

        private void lost() {
            close();
            if (current != null) {
                current.broken();
            }
        }
    }

    private static Outcome outcome(FullHttpResponse response) {
        return switch (response.status().code()) {
            case 200 -> Outcome.OK;
            case 503, 504 -> "1".equals(response.headers().get("Srv-Declined")) ? Outcome.REJECTED
                    : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    /** The load report in the order of the settings' fields; empty where there is none that can be read. */
    private float[] load(FullHttpResponse response, boolean probe) {
        String text = response.headers().get("Srv-Load");
        if (text == null && probe) {
            text = response.content().toString(StandardCharsets.UTF_8);
        }
        if (text == null || reportFields.isEmpty()) {
            return NO_REPORT;
        }
        try {
            JsonNode node = Config.JSON.readTree(text);
            float[] values = new float[reportFields.size()];
            for (int i = 0; i < values.length; i++) {
                JsonNode value = node.path(reportFields.get(i));
                if (!value.isNumber()) {
                    return NO_REPORT;
                }
                values[i] = value.floatValue();
            }
            return values;
        } catch (JsonProcessingException e) {
            return NO_REPORT;
        }
    }
}
