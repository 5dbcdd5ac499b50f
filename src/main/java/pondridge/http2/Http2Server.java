package pondridge.http2;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.NetUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import pondridge.core.AcceptMonitor;
import pondridge.core.BufferBudget;
import pondridge.core.EventCounters;
import pondridge.core.HeapReceiveBuffers;
import pondridge.core.SocketMonitor;

/**
 * Accepts HTTP/2 connections and enforces limits on them: the number of connections, the idle time, the bytes
 * buffered for a connection, and the rate of frames without payload (RFC 9113, section 10.5). A connection
 * that exceeds a limit is closed and reported with one event; other connections are not affected. Used on the
 * event loop only.
 */
public final class Http2Server {
    private static final int MAX_RESETS_PER_WINDOW = 200;
    private static final int RESET_WINDOW_SECONDS = 30;
    private static final long SECOND_NANOS = 1_000_000_000;
    /** Time between the two GOAWAY frames of a graceful shutdown: slightly more than a round trip. */
    private static final long GOAWAY_INTERVAL_NANOS = 100_000_000;

    /**
     * The limits; times in nanoseconds.
     *
     * @param listenAddress address to listen on
     * @param maxConnections maximum number of open connections
     * @param maxStreamsPerConnection maximum number of concurrent streams on one connection
     * @param idleTimeoutNanos time without received data after which a connection is closed
     * @param maxRequestHeaderBytes maximum size of the headers of one request
     * @param controlFramesPerSecond maximum number of frames without payload per second from one connection
     * @param maxBufferedBytes limit of {@link BufferBudget}
     * @param maxAgeNanos age, plus or minus a tenth, after which a connection is drained; 0 for no limit
     * @param drainTimeoutNanos how long a connection being drained may stay open for its open streams
     */
    public record Limits(
            InetSocketAddress listenAddress,
            int maxConnections,
            int maxStreamsPerConnection,
            long idleTimeoutNanos,
            int maxRequestHeaderBytes,
            int controlFramesPerSecond,
            long maxBufferedBytes,
            long maxAgeNanos,
            long drainTimeoutNanos) {}

    /** Receives events for operators. Events are not rate-limited here. */
    @FunctionalInterface
    public interface Events {
        /** Reports a problem with a peer. */
        void warn(String event, String peer, String detail);
    }

    private final EventLoop loop;
    private final Limits limits;
    private final String eventPrefix;
    private final Function<Channel, ChannelHandler> tlsHandlerFactory;
    private final Events events;
    private final LongSupplier clock;
    private final BiConsumer<Channel, BufferBudget.ConnectionShare> streamInitializer;
    private final BufferBudget bufferBudget;
    private final Set<Channel> connections = new HashSet<>();
    private final Random random = new Random();
    private Channel serverChannel;

    /**
     * Creates a server that does not listen yet.
     *
     * @param eventPrefix prefix of the names of its events
     * @param tlsHandlerFactory creates the TLS handler below HTTP/2; null for cleartext
     * @param processBudget the memory for messages in transit, of which the limit is a part
     * @param streamInitializer adds the handlers to the pipeline of a stream opened by the peer
     */
    public Http2Server(
            EventLoop loop,
            Limits limits,
            BufferBudget processBudget,
            String eventPrefix,
            Function<Channel, ChannelHandler> tlsHandlerFactory,
            Events events,
            LongSupplier clock,
            BiConsumer<Channel, BufferBudget.ConnectionShare> streamInitializer) {
        this.loop = loop;
        this.limits = limits;
        this.eventPrefix = eventPrefix;
        this.tlsHandlerFactory = tlsHandlerFactory;
        this.events = events;
        this.clock = clock;
        this.streamInitializer = streamInitializer;
        this.bufferBudget = processBudget.newChild(limits.maxBufferedBytes());
    }

    /** Starts to listen. */
    public ChannelFuture listen() {
        AcceptMonitor acceptMonitor = new AcceptMonitor(
                AcceptMonitor.DEFAULT_ACCEPTS_PER_TURN,
                new EventCounters(
                        line -> events.warn(
                                eventPrefix + "_accept", NetUtil.toSocketAddressString(limits.listenAddress()), line),
                        clock),
                () -> {});
        ChannelFuture bound = acceptMonitor
                .installOn(new ServerBootstrap())
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveBuffers())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel, acceptMonitor);
                    }
                })
                .bind(limits.listenAddress());
        serverChannel = bound.channel();
        return bound;
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /**
     * Shuts all connections down gracefully (RFC 9113, section 6.8): sends a GOAWAY without a last stream id,
     * so that requests already in flight are not lost, and then one with it. A connection without open
     * streams is then closed, and every connection once the drain timeout has passed.
     */
    public void drainConnections() {
        List.copyOf(connections).forEach(this::drain);
    }

    private void drain(Channel channel) {
        channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR).setExtraStreamIds(Integer.MAX_VALUE));
        loop.schedule(
                () -> {
                    channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR));
                    closeWhenFinished(channel, clock.getAsLong() + limits.drainTimeoutNanos());
                },
                GOAWAY_INTERVAL_NANOS,
                TimeUnit.NANOSECONDS);
    }

    private void closeWhenFinished(Channel channel, long deadline) {
        Http2FrameCodec codec = channel.pipeline().get(Http2FrameCodec.class);
        if (codec == null || codec.connection().numActiveStreams() == 0 || clock.getAsLong() - deadline >= 0) {
            channel.close();
        } else if (channel.isActive()) {
            loop.schedule(() -> closeWhenFinished(channel, deadline), GOAWAY_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    /** Returns the bytes of requests and responses being buffered. */
    public long bufferedBytes() {
        return bufferBudget.reservedBytes();
    }

    /** Stops accepting connections. */
    public void stopAccepting() {
        serverChannel.close();
    }

    private void accept(Channel channel, AcceptMonitor acceptMonitor) {
        if (connections.size() >= limits.maxConnections()) {
            events.warn(eventPrefix + "_full", channel.remoteAddress().toString(), "connection limit reached");
            channel.close();
            return;
        }
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        if (limits.maxAgeNanos() > 0) {
            // Connection ages are randomized so that clients that connected together do not all reconnect
            // together.
            Future<?> drainTask = loop.schedule(
                    () -> drain(channel),
                    (long) (limits.maxAgeNanos() * (0.9 + 0.2 * random.nextDouble())),
                    TimeUnit.NANOSECONDS);
            channel.closeFuture().addListener(closed -> drainTask.cancel(false));
        }
        channel.pipeline().addLast(new SocketMonitor(acceptMonitor));
        if (tlsHandlerFactory != null) {
            channel.pipeline().addLast(tlsHandlerFactory.apply(channel));
        }
        BufferBudget.ConnectionShare share = bufferBudget.newShare();
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(limits.idleTimeoutNanos(), 0, 0, TimeUnit.NANOSECONDS),
                        Http2FrameCodecBuilder.forServer()
                                .decoderEnforceMaxRstFramesPerWindow(MAX_RESETS_PER_WINDOW, RESET_WINDOW_SECONDS)
                                .initialSettings(Http2Settings.defaultSettings()
                                        .maxConcurrentStreams(limits.maxStreamsPerConnection())
                                        .maxHeaderListSize(limits.maxRequestHeaderBytes()))
                                .build(),
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel stream) {
                                streamInitializer.accept(stream, share);
                            }
                        }),
                        new ConnectionGuard());
    }

    /** Closes connections that are idle, that violate a limit, or that fail. */
    private final class ConnectionGuard extends ChannelInboundHandlerAdapter {
        private final FloodGuard floodGuard =
                new FloodGuard(limits.controlFramesPerSecond(), SECOND_NANOS, clock.getAsLong());
        private boolean reported;

        private void close(ChannelHandlerContext context, String event, String detail) {
            if (!reported) {
                reported = true;
                events.warn(
                        eventPrefix + event, String.valueOf(context.channel().remoteAddress()), detail);
            }
            context.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            // Frames that belong to no stream arrive here: SETTINGS, PING, GOAWAY, unknown frames.
            ReferenceCountUtil.release(frame);
            if (!floodGuard.admit(clock.getAsLong())) {
                close(context, "_flood", "too many control frames");
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
            // Stops reading from a peer that does not read, so that responses do not accumulate.
            context.channel().config().setAutoRead(context.channel().isWritable());
            super.channelWritabilityChanged(context);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (event instanceof SslHandshakeCompletionEvent handshake && !handshake.isSuccess()) {
                close(context, "_refused", String.valueOf(handshake.cause().getMessage()));
            } else if (event instanceof IdleStateEvent) {
                close(context, "_idle", "no data received within the idle timeout");
            }
            super.userEventTriggered(context, event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            close(context, "_broken", String.valueOf(cause.getMessage()));
        }
    }
}
