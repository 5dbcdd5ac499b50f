package pondridge.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Listens, and tries for some time to: after a restart the process before may still hold the port, and an
 * address may come up late. All of it runs on one loop, which waits between the tries.
 */
final class PatientBind {
    /** SIGKILL ends the process before at most 3.7 s after its SIGTERM. */
    private static final long LONGEST = 5_000_000_000L;

    private static final long AGAIN_MS = 50;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Supplier<ChannelFuture> listen;
    private final Consumer<Channel> listening;
    private final long began = System.nanoTime();

    private PatientBind(
            EventLoop loop, InetSocketAddress address, Supplier<ChannelFuture> listen, Consumer<Channel> listening) {
        this.loop = loop;
        this.address = address;
        this.listen = listen;
        this.listening = listening;
    }

    /**
     * Calls {@code listen} until its channel is bound. Where that stays impossible, or what is wrong is not
     * the address, this process ends with one line and status 1.
     *
     * @param address for that line
     * @param listening told of the channel that is bound
     */
    static void listen(
            EventLoop loop, InetSocketAddress address, Supplier<ChannelFuture> listen, Consumer<Channel> listening) {
        new PatientBind(loop, address, listen, listening).tryOnce();
    }

    private void tryOnce() {
        ChannelFuture bound = listen.get();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                listening.accept(bound.channel());
            } else if (done.cause() instanceof BindException && System.nanoTime() - began < LONGEST) {
                loop.schedule(this::tryOnce, AGAIN_MS, TimeUnit.MILLISECONDS);
            } else {
                System.err.println("pondridge: listen: " + NetUtil.toSocketAddressString(address) + ": "
                        + done.cause().getMessage());
                Runtime.getRuntime().halt(1);
            }
        });
    }
}
