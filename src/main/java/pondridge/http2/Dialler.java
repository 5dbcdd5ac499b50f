package pondridge.http2;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;

/** Opens sockets; a seam, so that a link can put TLS below and a test can play a connection's turns. */
@FunctionalInterface
public interface Dialler {
    /**
     * Begins to connect. The initializer runs within the call; the future is told on the event loop.
     *
     * @param timeoutMs after which the connecting has failed
     */
    ChannelFuture dial(InetSocketAddress address, int timeoutMs, ChannelInitializer<Channel> initializer);
}
