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
 * A service in a chain of services, listening on several ports as if it were several servers. It calls the next
 * service and responds when that has responded; the last one responds at once. Runs on one event loop.
 */
final class ChainService {
    private static final int MAX_REQUEST_BYTES = 1 << 20;
    private final ServiceClient client;
    private final Supplier<InetSocketAddress> nextService;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private int addressIndex;

    /** {@code nextService} returns the address for each call; null for the last service of the chain. */
    ChainService(EventLoop loop, InetSocketAddress any, int ports, Supplier<InetSocketAddress> nextService) {
        this.client = new ServiceClient(loop);
        this.nextService = nextService;
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                        new RequestHandler());
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

    /** Returns its addresses in rotation; for use on a single event loop. */
    InetSocketAddress nextAddress() {
        addressIndex = (addressIndex + 1) % addresses.size();
        return addresses.get(addressIndex);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (nextService == null) {
                respond(context, HttpResponseStatus.OK.code());
            } else {
                client.send(nextService.get(), status -> respond(context, status));
            }
        }

        private void respond(ChannelHandlerContext context, int status) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    status == HttpResponseStatus.OK.code() ? HttpResponseStatus.OK : HttpResponseStatus.BAD_GATEWAY,
                    Unpooled.wrappedBuffer(new byte[] {'o', 'k'}));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 2);
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
