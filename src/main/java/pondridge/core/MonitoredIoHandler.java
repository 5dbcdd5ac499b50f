package pondridge.core;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.FastThreadLocal;

/**
 * An NIO event loop that records when it polls its sockets, polls at least every {@link #MAX_BLOCK_NANOS} while it
 * runs, and counts longer interruptions.
 */
public final class MonitoredIoHandler implements IoHandler {
    /** How long a poll blocks; a fraction of the 0.1 s within which a client's disconnect has to be noticed. */
    private static final long MAX_BLOCK_NANOS = 30_000_000;
    /** A poll that takes this much longer was interrupted; shorter delays are the scheduler's. */
    private static final long BLOCK_SLACK_NANOS = 5_000_000;
    /** Interruptions from this length on are counted and logged. */
    private static final long MIN_STALL_NANOS = 100_000_000;

    private static final FastThreadLocal<PollTimes> POLLS_OF_LOOP = new FastThreadLocal<>();

    private final IoHandler delegate;
    private final EventCounters counters;
    private final PollTimes polls = new PollTimes(MAX_BLOCK_NANOS + BLOCK_SLACK_NANOS);
    private PollContext pollContext;

    private MonitoredIoHandler(IoHandler delegate, EventCounters counters) {
        this.delegate = delegate;
        this.counters = counters;
    }

    /** A factory for event loops that count their interruptions in {@code counters}. */
    public static IoHandlerFactory newFactory(EventCounters counters) {
        IoHandlerFactory nio = NioIoHandler.newFactory();
        return executor -> new MonitoredIoHandler(nio.newHandler(executor), counters);
    }

    /** The polls of the event loop that runs on this thread; null if it is not monitored. */
    static PollTimes pollsOfCurrentLoop() {
        return POLLS_OF_LOOP.get();
    }

    /**
     * A time before which bytes that are being read from an open connection did not arrive: now, less the time that
     * the event loop of this thread needed since it last looked at its sockets.
     */
    public static long arrivedAfter() {
        PollTimes polls = pollsOfCurrentLoop();
        return polls == null || polls.handled() == 0 ? System.nanoTime() : polls.handledAt();
    }

    @Override
    public void initialize() {
        POLLS_OF_LOOP.set(polls);
        delegate.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        if (pollContext == null || pollContext.delegate != context) {
            pollContext = new PollContext(context);
        }
        long now = System.nanoTime();
        countStall(now - polls.currentAt());
        polls.pollStarted(now);
        int handled = delegate.run(pollContext);
        polls.eventsHandled();
        return handled;
    }

    private void pollReturned() {
        long now = System.nanoTime();
        countStall(now - polls.currentAt());
        polls.pollReturned(now);
    }

    private void countStall(long sinceNanos) {
        if (sinceNanos > MIN_STALL_NANOS && polls.handled() > 0) {
            counters.count(EventCounters.Kind.LOOP_STALLED, () -> sinceNanos / 1_000_000 + " ms between two polls");
        }
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return delegate.isCompatible(handleType);
    }

    /** Bounds the time that a poll blocks, and learns from the delegate's question when a poll has returned. */
    private final class PollContext implements IoHandlerContext {
        private final IoHandlerContext delegate;

        PollContext(IoHandlerContext delegate) {
            this.delegate = delegate;
        }

        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return Math.min(MAX_BLOCK_NANOS, delegate.delayNanos(currentTimeNanos));
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            delegate.reportActiveIoTime(activeNanos);
        }

        /** Called once for each poll, after it has returned and before its events are handled. */
        @Override
        public boolean shouldReportActiveIoTime() {
            pollReturned();
            return delegate.shouldReportActiveIoTime();
        }
    }
}
