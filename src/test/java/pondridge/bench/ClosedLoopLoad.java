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

/** Closed-loop load: each client sends its next request as soon as it has a response, to measure throughput. */
final class ClosedLoopLoad implements AutoCloseable {
    private static final AtomicInteger IDS = new AtomicInteger();
    private final Histogram latency = new ConcurrentHistogram(10_000_000_000L, 3);
    private final LongAdder succeeded = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final List<Channel> channels = new ArrayList<>();
    private volatile boolean counting;
    private volatile boolean stopped;

    /** Connects this number of clients, distributed over the addresses; they send order confirmations. */
    ClosedLoopLoad(EventLoopGroup group, List<InetSocketAddress> addresses, int clients) throws InterruptedException {
        for (int i = 0; i < clients; i++) {
            Channel channel = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(1 << 20),
                                            new ClientHandler());
                        }
                    })
                    .connect(addresses.get(i % addresses.size()))
                    .sync()
                    .channel();
            channels.add(channel);
        }
    }

    /** Runs the load; counts requests only after the warm-up. */
    void run(long warmUpMs, long measuredMs) throws InterruptedException {
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(this));
        Thread.sleep(warmUpMs);
        counting = true;
        Thread.sleep(measuredMs);
        counting = false;
        stopped = true;
    }

    Histogram latency() {
        return latency;
    }

    long succeeded() {
        return succeeded.sum();
    }

    long failed() {
        return failed.sum();
    }

    @Override
    public void close() {
        stopped = true;
        channels.forEach(Channel::close);
    }

    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private long sentAtNanos;

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            sendRequest(context);
        }

        private void sendRequest(ChannelHandlerContext context) {
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
            sentAtNanos = System.nanoTime();
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (counting) {
                boolean served = response.status().code() == 200;
                (served ? succeeded : failed).increment();
                if (served) {
                    latency.recordValue(System.nanoTime() - sentAtNanos);
                }
            }
            if (!stopped) {
                sendRequest(context);
            }
        }
    }
}
