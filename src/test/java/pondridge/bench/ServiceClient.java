package pondridge.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
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
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

/** The HTTP/1.1 client of a service: sends order confirmations, each with a unique id, from one event loop. */
final class ServiceClient {
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final int REQUEST_BODY_BYTES = 200;
    private final EventLoop loop;
    private final Map<InetSocketAddress, ArrayDeque<Connection>> idleConnections = new HashMap<>();

    ServiceClient(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs on the event loop; {@code onStatus} receives the response status, or 0 if there was no response. */
    void send(InetSocketAddress to, IntConsumer onStatus) {
        ArrayDeque<Connection> connections = idleConnections.computeIfAbsent(to, each -> new ArrayDeque<>());
        Connection connection = connections.pollLast();
        while (connection != null && !connection.channel.isActive()) {
            connection = connections.pollLast();
        }
        if (connection != null) {
            connection.reused = true;
            connection.write(onStatus);
        } else {
            connect(to, onStatus);
        }
    }

    private void connect(InetSocketAddress to, IntConsumer onStatus) {
        Connection connection = new Connection(to);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.channel = channel;
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        connection);
                    }
                })
                .connect(to)
                .addListener((ChannelFutureListener) done -> {
                    if (done.isSuccess()) {
                        connection.write(onStatus);
                    } else {
                        onStatus.accept(0);
                    }
                });
    }

    private static FullHttpRequest request() {
        String id = "p" + IDS.incrementAndGet();
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.POST,
                "/api/" + id,
                Unpooled.wrappedBuffer(new byte[REQUEST_BODY_BYTES]));
        request.headers()
                .set(HttpHeaderNames.HOST, "app.svc")
                .set("Req-Id", id)
                .set("Req-Kind", "order-confirm")
                .set("Req-Owner", "acme")
                .set("Req-Deadline-Ms", 2000)
                .set("Idempotency-Key", id)
                .set(HttpHeaderNames.CONTENT_LENGTH, REQUEST_BODY_BYTES);
        return request;
    }

    /** A connection with at most one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress to;
        private Channel channel;
        private IntConsumer pending;
        private boolean reused;

        Connection(InetSocketAddress to) {
            this.to = to;
        }

        void write(IntConsumer onStatus) {
            pending = onStatus;
            channel.writeAndFlush(request());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            IntConsumer onStatus = pending;
            pending = null;
            idleConnections.get(to).addLast(this);
            onStatus.accept(response.status().code());
        }

        /** Retries once, on a new connection, a request that was sent while a kept-alive connection was closing. */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            IntConsumer onStatus = pending;
            pending = null;
            if (onStatus != null && reused) {
                connect(to, onStatus);
            } else if (onStatus != null) {
                onStatus.accept(0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
