package pondridge.core;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Binds a listener and retries for a limited time: after a restart the previous process may still hold the port, and
 * an address may come up late, and the call may fail for a moment. The event loop is not blocked between attempts.
 */
public final class RetryingBinder {
    /** The previous process is ended by SIGKILL at most 3.7 s after its SIGTERM. */
    private static final long BIND_TIMEOUT_NANOS = 5_000_000_000L;

    private static final long RETRY_DELAY_MS = 50;

    private final EventLoop loop;
    private final Supplier<ChannelFuture> bind;
    private final CompletableFuture<Channel> bound = new CompletableFuture<>();
    private final long startNanos = System.nanoTime();

    private RetryingBinder(EventLoop loop, Supplier<ChannelFuture> bind) {
        this.loop = loop;
        this.bind = bind;
    }

    /**
     * Calls {@code bind} until its channel is bound.
     *
     * @return the bound channel, or the last failure once the time limit has passed; completed on the event loop
     */
    public static CompletableFuture<Channel> bind(EventLoop loop, Supplier<ChannelFuture> bind) {
        RetryingBinder binder = new RetryingBinder(loop, bind);
        binder.tryBind();
        return binder.bound;
    }

    private void tryBind() {
        ChannelFuture future = bind.get();
        future.addListener(result -> {
            if (result.isSuccess()) {
                bound.complete(future.channel());
            } else if (System.nanoTime() - startNanos < BIND_TIMEOUT_NANOS) {
                loop.schedule(this::tryBind, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            } else {
                bound.completeExceptionally(result.cause());
            }
        });
    }
}
