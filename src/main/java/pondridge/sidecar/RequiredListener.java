package pondridge.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;
import pondridge.core.RetryingBinder;

/** Binds a listener without which the process cannot do its work. */
final class RequiredListener {
    private RequiredListener() {}

    /**
     * Binds the listener, with retries. If they all fail, the process ends with one line and status 1.
     *
     * @param address the address to name in that line
     * @param onBound receives the bound channel, on the event loop
     */
    static void bind(
            EventLoop loop, InetSocketAddress address, Supplier<ChannelFuture> bind, Consumer<Channel> onBound) {
        RetryingBinder.bind(loop, bind).whenComplete((channel, failure) -> {
            if (failure == null) {
                onBound.accept(channel);
                return;
            }
            System.err.println(
                    "pondridge: listen: " + NetUtil.toSocketAddressString(address) + ": " + failure.getMessage());
            Runtime.getRuntime().halt(1);
        });
    }
}
