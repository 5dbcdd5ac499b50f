package pondridge.bench;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * A service of a chain, listening on many ports as if it were many servers: it calls the next one by a call
 * of its own and answers when that has; the last one answers at once. All on one loop.
 */
final class Relay {
    private static final int LARGEST = 1 << 20;
    private final Caller caller;
    private final Supplier<InetSocketAddress> next;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private int turn;

    /** {@code next} says whom to call, for each call anew; null for the last one. */
    Relay(EventLoop loop, InetSocketAddress any, int ports, Supplier<InetSocketAddress> next) {
        this.caller = new Caller(loop);
        this.next = next;
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LARGEST), new Visit());
                    }
                });
        for (int i = 0; i < ports; i++) {
            addresses.add((InetSocketAddress)
                    bootstrap.bind(any).syncUninterruptibly().channel().localAddress());
        }
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Its addresses in turn; for one caller's loop. */
    InetSocketAddress inTurn() {
        turn = (turn + 1) % addresses.size();
        return addresses.get(turn);
    }

    private final class Visit extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (next == null) {
                answer(context, HttpResponseStatus.OK.code());
            } else {
                caller.call(next.get(), status -> answer(context, status));
            }
        }

        private void answer(ChannelHandlerContext context, int status) {
            FullHttpResponse reply = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    status == HttpResponseStatus.OK.code() ? HttpResponseStatus.OK : HttpResponseStatus.BAD_GATEWAY,
                    Unpooled.wrappedBuffer(new byte[] {'o', 'k'}));
            reply.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 2);
            context.writeAndFlush(reply);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
