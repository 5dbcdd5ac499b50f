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
 * The event loops of one component of the run, to measure its CPU time separately. Only the time of these
 * threads counts: garbage collection and JIT compilation on their behalf are not included.
 */
final class MeasuredLoopGroup implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group;
    private final long[] threadIds;

    /** Starts one thread for each loop. */
    MeasuredLoopGroup(String name, int loops) {
        group = new MultiThreadIoEventLoopGroup(
                loops, new DefaultThreadFactory("scale-" + name, true), NioIoHandler.newFactory());
        threadIds = new long[loops];
        int i = 0;
        for (EventExecutor executor : group) {
            threadIds[i++] = executor.submit(() -> Thread.currentThread().getId())
                    .syncUninterruptibly()
                    .getNow();
        }
    }

    /** Returns one of the loops, in round-robin order. */
    EventLoop next() {
        return group.next();
    }

    /** Returns the CPU time of all threads so far. */
    long cpuNanos() {
        ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
        long totalNanos = 0;
        for (long threadId : threadIds) {
            totalNanos += Math.max(0, threadBean.getThreadCpuTime(threadId));
        }
        return totalNanos;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
