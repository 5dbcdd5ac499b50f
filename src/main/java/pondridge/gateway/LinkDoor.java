package pondridge.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import pondridge.http2.Door;
import pondridge.http2.HeldBytes;

/**
 * Where other sites' gateways come in: a {@link Door}, and on each stream how long a request may take to come
 * and an answer to go. On the event loop only.
 */
final class LinkDoor {
    private static final int LARGEST_BODY = 1 << 16;
    private static final int LARGEST_HEADERS = 16 << 10;

    private final GatewaySettings.Link link;
    private final Log log;
    private final Door door;

    /**
     * A door that is shut so far.
     *
     * @param visits makes the handler of one stream, which takes whole requests
     */
    LinkDoor(
            EventLoop loop,
            GatewaySettings.Link link,
            LinkTls tls,
            Log log,
            LongSupplier clock,
            Function<HeldBytes.Share, ChannelHandler> visits) {
        this.link = link;
        this.log = log;
        this.door = new Door(
                loop,
                new Door.Limits(
                        link.listen(),
                        link.connections(),
                        link.streams(),
                        link.idle(),
                        LARGEST_HEADERS,
                        link.http2().controlFrames(),
                        link.heldBytes(),
                        0,
                        0),
                "link",
                tls == null ? null : tls::server,
                log::warn,
                clock,
                (stream, share) -> opened(stream, share, visits));
    }

    private void opened(Channel stream, HeldBytes.Share share, Function<HeldBytes.Share, ChannelHandler> visits) {
        stream.pipeline()
                .addLast(
                        new Http2StreamFrameToHttpObjectCodec(true),
                        new Arrival(share),
                        new HttpObjectAggregator(LARGEST_BODY),
                        visits.apply(share));
    }

    ChannelFuture listen() {
        return door.listen();
    }

    /** Connections that are in. */
    int connections() {
        return door.connections();
    }

    /** Bytes of requests and answers that are held for links. */
    long heldBytes() {
        return door.heldBytes();
    }

    void close() {
        door.close();
    }

    /** One request on its way in: has so long to come, and counts as held until its stream ends. */
    private final class Arrival extends ChannelInboundHandlerAdapter {
        private final HeldBytes.Share share;
        private Future<?> timer;
        private long its;

        Arrival(HeldBytes.Share share) {
            this.share = share;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            timer = context.executor()
                    .schedule(
                            () -> {
                                log.warn(
                                        "link_slow",
                                        String.valueOf(
                                                context.channel().parent().remoteAddress()),
                                        "a request did not come whole in time");
                                refuse(context);
                            },
                            link.transfer(),
                            TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpContent content) {
                int more = content.content().readableBytes();
                if (more > 0 && !share.take(more)) {
                    ReferenceCountUtil.release(message);
                    log.warn(
                            "link_held",
                            String.valueOf(context.channel().parent().remoteAddress()),
                            "more of requests at a time than may be held");
                    refuse(context);
                    return;
                }
                its += more;
            }
            if (message instanceof LastHttpContent) {
                timer.cancel(false);
            }
            context.fireChannelRead(message);
        }

        /** Nothing of it has run, and the other side may know that (RFC 9113, section 8.7). */
        private void refuse(ChannelHandlerContext context) {
            context.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.REFUSED_STREAM))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            timer.cancel(false);
            share.give(its);
            its = 0;
        }
    }
}
