package pondridge.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.TimeUnit;

/**
 * The event loops of one part of the run, so that its processor time can be told apart from the others'. That
 * is the time of its threads alone: what the collector and the compiler do for them is not in it.
 */
final class Role implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group;
    private final long[] threads;

    /** Starts so many threads. */
    Role(String name, int loops) {
        group = new MultiThreadIoEventLoopGroup(
                loops, new DefaultThreadFactory("scale-" + name, true), NioIoHandler.newFactory());
        threads = new long[loops];
        int i = 0;
        for (EventExecutor each : group) {
            threads[i++] = each.submit(() -> Thread.currentThread().getId())
                    .syncUninterruptibly()
                    .getNow();
        }
    }

    /** One of its loops, in turn. */
    EventLoop next() {
        return group.next();
    }

    /** Processor time of all its threads so far, in nanoseconds. */
    long cpuNanos() {
        ThreadMXBean told = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long thread : threads) {
            sum += Math.max(0, told.getThreadCpuTime(thread));
        }
        return sum;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
