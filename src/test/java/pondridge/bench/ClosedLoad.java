package pondridge.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** So many clients, each of which asks again as soon as it has its answer: measures what a way can carry. */
final class ClosedLoad implements AutoCloseable {
    private static final AtomicInteger IDS = new AtomicInteger();
    private final Histogram latency = new ConcurrentHistogram(10_000_000_000L, 3);
    private final LongAdder good = new LongAdder();
    private final LongAdder bad = new LongAdder();
    private final List<Channel> channels = new ArrayList<>();
    private volatile boolean counting;
    private volatile boolean over;

    /** Confirmations, from so many clients spread over the doors. */
    ClosedLoad(EventLoopGroup group, List<InetSocketAddress> doors, int clients) throws InterruptedException {
        for (int i = 0; i < clients; i++) {
            Channel channel = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline()
                                    .addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 20), new Asking());
                        }
                    })
                    .connect(doors.get(i % doors.size()))
                    .sync()
                    .channel();
            channels.add(channel);
        }
    }

    /** Counts for so long, after a time that does not count. */
    void run(long warmMs, long countMs) throws InterruptedException {
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(this));
        Thread.sleep(warmMs);
        counting = true;
        Thread.sleep(countMs);
        counting = false;
        over = true;
    }

    Histogram latency() {
        return latency;
    }

    long good() {
        return good.sum();
    }

    long bad() {
        return bad.sum();
    }

    @Override
    public void close() {
        over = true;
        channels.forEach(Channel::close);
    }

    private final class Asking extends SimpleChannelInboundHandler<FullHttpResponse> {
        private long sent;

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            ask(context);
        }

        private void ask(ChannelHandlerContext context) {
            String id = "c" + IDS.incrementAndGet();
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, "/api/" + id, Unpooled.wrappedBuffer(new byte[200]));
            request.headers()
                    .set(HttpHeaderNames.HOST, "app.svc")
                    .set("Req-Id", id)
                    .set("Req-Kind", "order-confirm")
                    .set("Req-Owner", "acme")
                    .set("Req-Deadline-Ms", 2000)
                    .set("Idempotency-Key", id)
                    .set(HttpHeaderNames.CONTENT_LENGTH, 200);
            sent = System.nanoTime();
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (counting) {
                boolean served = response.status().code() == 200;
                (served ? good : bad).increment();
                if (served) {
                    latency.recordValue(System.nanoTime() - sent);
                }
            }
            if (!over) {
                ask(context);
            }
        }
    }
}
