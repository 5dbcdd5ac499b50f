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

/** A service's way out: confirmations over HTTP/1.1, each with an id of its own, on one loop. */
final class Caller {
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final int LARGEST = 1 << 20;
    private static final int BODY = 200;
    private final EventLoop loop;
    private final Map<InetSocketAddress, ArrayDeque<Line>> idle = new HashMap<>();

    Caller(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs on the loop; {@code answered} is told the status, 0 where no answer came. */
    void call(InetSocketAddress to, IntConsumer answered) {
        ArrayDeque<Line> lines = idle.computeIfAbsent(to, each -> new ArrayDeque<>());
        Line line = lines.pollLast();
        while (line != null && !line.channel.isActive()) {
            line = lines.pollLast();
        }
        if (line != null) {
            line.reused = true;
            line.ask(answered);
        } else {
            dial(to, answered);
        }
    }

    private void dial(InetSocketAddress to, IntConsumer answered) {
        Line made = new Line(to);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        made.channel = channel;
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST), made);
                    }
                })
                .connect(to)
                .addListener((ChannelFutureListener) done -> {
                    if (done.isSuccess()) {
                        made.ask(answered);
                    } else {
                        answered.accept(0);
                    }
                });
    }

    private static FullHttpRequest request() {
        String id = "p" + IDS.incrementAndGet();
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/api/" + id, Unpooled.wrappedBuffer(new byte[BODY]));
        request.headers()
                .set(HttpHeaderNames.HOST, "app.svc")
                .set("Req-Id", id)
                .set("Req-Kind", "order-confirm")
                .set("Req-Owner", "acme")
                .set("Req-Deadline-Ms", 2000)
                .set("Idempotency-Key", id)
                .set(HttpHeaderNames.CONTENT_LENGTH, BODY);
        return request;
    }

    /** A connection: one call at a time. */
    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress to;
        private Channel channel;
        private IntConsumer waiting;
        private boolean reused;

        Line(InetSocketAddress to) {
            this.to = to;
        }

        void ask(IntConsumer answered) {
            waiting = answered;
            channel.writeAndFlush(request());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            IntConsumer answered = waiting;
            waiting = null;
            idle.get(to).addLast(this);
            answered.accept(response.status().code());
        }

        /** What crosses the close of a connection that was kept is asked once more. */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            IntConsumer answered = waiting;
            waiting = null;
            if (answered != null && reused) {
                dial(to, answered);
            } else if (answered != null) {
                answered.accept(0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
