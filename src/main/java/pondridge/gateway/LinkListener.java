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
import pondridge.core.BufferBudget;
import pondridge.http2.Http2Server;

/**
 * Listens for other sites' gateways with an {@link Http2Server} and bounds on each stream the time and the memory that
 * receiving a request may take. On the event loop only.
 */
final class LinkListener {
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int MAX_HEADER_BYTES = 16 << 10;

    private final GatewaySettings.Link link;
    private final Log log;
    private final Http2Server server;

    /**
     * A listener that does not listen yet.
     *
     * @param exchangeHandlerFactory creates the handler of one stream, which receives complete requests
     */
    LinkListener(
            EventLoop loop,
            GatewaySettings.Link link,
            BufferBudget processBudget,
            LinkTls tls,
            Log log,
            LongSupplier clock,
            Function<BufferBudget.ConnectionShare, ChannelHandler> exchangeHandlerFactory) {
        this.link = link;
        this.log = log;
        this.server = new Http2Server(
                loop,
                new Http2Server.Limits(
                        link.listen(),
                        link.maxConnections(),
                        link.maxStreamsPerConnection(),
                        link.idleTimeoutNanos(),
                        MAX_HEADER_BYTES,
                        link.http2().controlFramesPerSecond(),
                        link.maxBufferedBytes(),
                        0,
                        0),
                processBudget,
                "link",
                tls == null ? null : tls::serverHandler,
                log::warn,
                clock,
                (stream, share) -> streamOpened(stream, share, exchangeHandlerFactory));
    }

    private void streamOpened(
            Channel stream,
            BufferBudget.ConnectionShare share,
            Function<BufferBudget.ConnectionShare, ChannelHandler> exchangeHandlerFactory) {
        stream.pipeline()
                .addLast(
                        new Http2StreamFrameToHttpObjectCodec(true),
                        new RequestGuard(share),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        exchangeHandlerFactory.apply(share));
    }

    ChannelFuture listen() {
        return server.listen();
    }

    /** Open connections. */
    int connectionCount() {
        return server.connectionCount();
    }

    /** Bytes of requests and responses that are buffered for links. */
    long bufferedBytes() {
        return server.bufferedBytes();
    }

    void close() {
        server.stopAccepting();
    }

    /** Bounds how long one request may take to arrive and counts its bytes as buffered until its stream ends. */
    private final class RequestGuard extends ChannelInboundHandlerAdapter {
        private final BufferBudget.ConnectionShare share;
        private Future<?> timeout;
        private long bufferedBytes;

        RequestGuard(BufferBudget.ConnectionShare share) {
            this.share = share;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            timeout = context.executor()
                    .schedule(
                            () -> {
                                log.warn(
                                        "link_slow",
                                        String.valueOf(
                                                context.channel().parent().remoteAddress()),
                                        "a request was not complete within the transfer timeout");
                                refuseStream(context);
                            },
                            link.transferTimeoutNanos(),
                            TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpContent content) {
                int contentBytes = content.content().readableBytes();
                if (contentBytes > 0 && !share.tryReserve(contentBytes)) {
                    ReferenceCountUtil.release(message);
                    log.warn(
                            "link_held",
                            String.valueOf(context.channel().parent().remoteAddress()),
                            "more bytes of requests at a time than may be held");
                    refuseStream(context);
                    return;
                }
                bufferedBytes += contentBytes;
            }
            if (message instanceof LastHttpContent) {
                timeout.cancel(false);
            }
            context.fireChannelRead(message);
        }

        /**
         * Nothing of the request has been processed, and this error code tells the peer so (RFC 9113, section
         * 8.7).
         */
        private void refuseStream(ChannelHandlerContext context) {
            context.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.REFUSED_STREAM))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            timeout.cancel(false);
            share.release(bufferedBytes);
            bufferedBytes = 0;
        }
    }
}
