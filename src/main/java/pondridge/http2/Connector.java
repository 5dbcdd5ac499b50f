package pondridge.http2;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;

/** Opens connections. Implementations may add TLS below HTTP/2, and tests may replace the sockets. */
@FunctionalInterface
public interface Connector {
    /**
     * Starts to connect. The initializer runs within this call; the future is completed on the event loop.
     *
     * @param timeoutMs connect timeout in milliseconds
     */
    ChannelFuture connect(InetSocketAddress address, int timeoutMs, ChannelInitializer<Channel> initializer);
}
