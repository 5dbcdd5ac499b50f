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
import pondridge.core.Unread;

/**
 * Listens for HTTP/2 and guards what comes in: how many connections, how long one may say nothing, what is
 * held for one, and how many frames may bring nothing (RFC 9113, section 10.5). A connection that breaks a
 * bound ends with one event; the others go on. On the event loop only.
 */
public final class Door {
    private static final int RESETS = 200;
    private static final int RESETS_SECONDS = 30;
    private static final long SECOND = 1_000_000_000;
    /** Between the two GOAWAYs: a round trip, and a little. */
    private static final long PAIR = 100_000_000;

    /**
     * Its bounds; times in nanoseconds.
     *
     * @param connections that may be in
     * @param streams at a time on one of them
     * @param idle how long one may say nothing
     * @param headerBytes of one request
     * @param controlFrames frames a second that bring nothing, from one connection
     * @param heldBytes see {@link HeldBytes}
     * @param age after which one is asked to leave, give or take a tenth; 0 for never
     * @param grace how long one that was asked to leave may stay, for what is open on it
     */
    public record Limits(
            InetSocketAddress listen,
            int connections,
            int streams,
            long idle,
            int headerBytes,
            int controlFrames,
            long heldBytes,
            long age,
            long grace) {}

    /** Told what an operator should know, at whatever rate it happens. */
    @FunctionalInterface
    public interface Events {
        /** Something went wrong with a peer. */
        void warn(String event, String peer, String detail);
    }

    private final EventLoop loop;
    private final Limits limits;
    private final String name;
    private final Function<Channel, ChannelHandler> tls;
    private final Events events;
    private final LongSupplier clock;
    private final BiConsumer<Channel, HeldBytes.Share> streams;
    private final HeldBytes bytes;
    private final Set<Channel> in = new HashSet<>();
    private final Random random = new Random();
    private Channel server;

    /**
     * A door that is shut so far.
     *
     * @param name that its events begin with
     * @param tls makes the handler that goes below HTTP/2; null for none
     * @param streams puts its handlers into the pipeline of a stream that was opened by the other side
     */
    public Door(
            EventLoop loop,
            Limits limits,
            String name,
            Function<Channel, ChannelHandler> tls,
            Events events,
            LongSupplier clock,
            BiConsumer<Channel, HeldBytes.Share> streams) {
        this.loop = loop;
        this.limits = limits;
        this.name = name;
        this.tls = tls;
        this.events = events;
        this.clock = clock;
        this.streams = streams;
        this.bytes = new HeldBytes(limits.heldBytes());
    }

    /** Opens it. */
    public ChannelFuture listen() {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        cameIn(made);
                    }
                })
                .bind(limits.listen());
        server = bound.channel();
        return bound;
    }

    /** Connections that are in. */
    public int connections() {
        return in.size();
    }

    /**
     * Asks all that are in to leave (RFC 9113, section 6.8): first without a last stream, so that nothing
     * which is on its way is lost, then with it; who has nothing open is closed, and everybody after the
     * grace.
     */
    public void leave() {
        List.copyOf(in).forEach(this::leave);
    }

    private void leave(Channel channel) {
        channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR).setExtraStreamIds(Integer.MAX_VALUE));
        loop.schedule(
                () -> {
                    channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR));
                    closeWhenDone(channel, clock.getAsLong() + limits.grace());
                },
                PAIR,
                TimeUnit.NANOSECONDS);
    }

    private void closeWhenDone(Channel channel, long until) {
        Http2FrameCodec codec = channel.pipeline().get(Http2FrameCodec.class);
        if (codec == null || codec.connection().numActiveStreams() == 0 || clock.getAsLong() - until >= 0) {
            channel.close();
        } else if (channel.isActive()) {
            loop.schedule(() -> closeWhenDone(channel, until), PAIR, TimeUnit.NANOSECONDS);
        }
    }

    /** Bytes of requests and answers that are held. */
    public long heldBytes() {
        return bytes.held();
    }

    /** Takes no more connections. */
    public void close() {
        server.close();
    }

    private void cameIn(Channel made) {
        if (in.size() >= limits.connections()) {
            events.warn(name + "_full", made.remoteAddress().toString(), "no more connections are taken");
            made.close();
            return;
        }
        in.add(made);
        made.closeFuture().addListener(closed -> in.remove(made));
        if (limits.age() > 0) {
            // Not all at once: those that came together would all come again together.
            Future<?> old = loop.schedule(
                    () -> leave(made), (long) (limits.age() * (0.9 + 0.2 * random.nextDouble())), TimeUnit.NANOSECONDS);
            made.closeFuture().addListener(closed -> old.cancel(false));
        }
        made.pipeline().addLast(new Unread());
        if (tls != null) {
            made.pipeline().addLast(tls.apply(made));
        }
        HeldBytes.Share share = bytes.share();
        made.pipeline()
                .addLast(
                        new IdleStateHandler(limits.idle(), 0, 0, TimeUnit.NANOSECONDS),
                        Http2FrameCodecBuilder.forServer()
                                .decoderEnforceMaxRstFramesPerWindow(RESETS, RESETS_SECONDS)
                                .initialSettings(Http2Settings.defaultSettings()
                                        .maxConcurrentStreams(limits.streams())
                                        .maxHeaderListSize(limits.headerBytes()))
                                .build(),
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel stream) {
                                streams.accept(stream, share);
                            }
                        }),
                        new Watch());
    }

    /** Ends connections that are no use, or that may not go on. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private final FloodGuard guard = new FloodGuard(limits.controlFrames(), SECOND, clock.getAsLong());
        private boolean told;

        private void end(ChannelHandlerContext context, String event, String why) {
            if (!told) {
                told = true;
                events.warn(name + event, String.valueOf(context.channel().remoteAddress()), why);
            }
            context.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            // All that is of no stream comes here: SETTINGS, PING, GOAWAY, unknown frames.
            ReferenceCountUtil.release(frame);
            if (!guard.admit(clock.getAsLong())) {
                end(context, "_flood", "frames that bring nothing");
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
            // Who does not read what is sent is not read either, so that answers can't pile up.
            context.channel().config().setAutoRead(context.channel().isWritable());
            super.channelWritabilityChanged(context);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (event instanceof SslHandshakeCompletionEvent done && !done.isSuccess()) {
                end(context, "_refused", String.valueOf(done.cause().getMessage()));
            } else if (event instanceof IdleStateEvent) {
                end(context, "_idle", "nothing came");
            }
            super.userEventTriggered(context, event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end(context, "_broken", String.valueOf(cause.getMessage()));
        }
    }
}
