package pondridge.core;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * The first handler in the pipeline of a listener. Bounds how long the connections that are being accepted may have
 * waited in the backlog, and keeps the listener going when accepting fails. The connections must use the same event
 * loop.
 */
public final class AcceptMonitor extends ChannelInboundHandlerAdapter {
    /** Connections that a listener accepts for one poll, unless it needs another limit. */
    public static final int DEFAULT_ACCEPTS_PER_TURN = 16;
    /** Limit on the backlog of a listener. */
    public static final int BACKLOG = 1_024;

    private static final int MAX_RETRY_DELAY_MILLIS = 16;

    private final IntSupplier acceptLimit;
    private final ServerChannelRecvByteBufAllocator accepts = new ServerChannelRecvByteBufAllocator();
    private final EventCounters counters;
    private final Runnable onDescriptorsExhausted;
    private ReadProgress progress;
    private long connectedAfter;
    /** The limit on the connections that are accepted for the current poll. */
    private int maxAcceptsPerTurn;

    private int accepted;
    /** A time at which {@link #acceptedSinceMark} were still in the backlog, or not established yet. */
    private long markAt;

    private int acceptedSinceMark;
    private int consecutiveFailures;

    /**
     * Creates the handler for one listener.
     *
     * @param maxAcceptsPerTurn how many connections the listener accepts for one poll at most
     * @param onDescriptorsExhausted called if the process or the machine still has no file descriptor
     *     left when accepting is tried again
     */
    public AcceptMonitor(int maxAcceptsPerTurn, EventCounters counters, Runnable onDescriptorsExhausted) {
        this(() -> maxAcceptsPerTurn, counters, onDescriptorsExhausted);
    }

    /**
     * Creates the handler for one listener.
     *
     * @param acceptLimit how many connections the listener accepts for the next poll at most
     * @param onDescriptorsExhausted called if the process or the machine still has no file descriptor
     *     left when accepting is tried again
     */
    public AcceptMonitor(IntSupplier acceptLimit, EventCounters counters, Runnable onDescriptorsExhausted) {
        this.acceptLimit = acceptLimit;
        this.counters = counters;
        this.onDescriptorsExhausted = onDescriptorsExhausted;
    }

    /** Adds this handler and its limit to a listener that is not bound yet. */
    public ServerBootstrap installOn(ServerBootstrap listener) {
        setAcceptLimit();
        return listener.handler(this)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.RECVBUF_ALLOCATOR, accepts);
    }

    private void setAcceptLimit() {
        maxAcceptsPerTurn = Math.max(1, acceptLimit.getAsInt());
        accepts.maxMessagesPerRead(maxAcceptsPerTurn);
    }

    /** Connections that are being accepted were established after this time. */
    long connectedAfter() {
        return connectedAfter;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        PollTimes polls = MonitoredIoHandler.pollsOfCurrentLoop();
        progress = polls == null ? null : new ReadProgress(polls, System.nanoTime());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        beginTurn();
        accepted++;
        context.fireChannelRead(connection);
    }

    private void beginTurn() {
        if (accepted == 0 && progress != null) {
            connectedAfter = progress.dataArrivedAfter();
        }
    }

    /**
     * Whether a backlog that is never found empty has been accepted since the mark. It is a queue of limited length, so
     * what is accepted from then on was established after the mark.
     */
    private boolean backlogPassed() {
        acceptedSinceMark += accepted;
        return acceptedSinceMark > BACKLOG;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        beginTurn();
        if (progress != null) {
            boolean mayHaveMore = accepted >= maxAcceptsPerTurn;
            boolean passed = backlogPassed();
            progress.dataRead(passed ? Math.max(connectedAfter, markAt) : connectedAfter, mayHaveMore);
            if (passed || !mayHaveMore) {
                acceptedSinceMark = 0;
                markAt = System.nanoTime();
            }
        }
        setAcceptLimit();
        consecutiveFailures = accepted > 0 ? 0 : consecutiveFailures;
        accepted = 0;
        context.fireChannelReadComplete();
    }

    /** Accepting failed. Tries again: at once the first time, then after a delay that doubles up to a maximum. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (progress != null) {
            progress.dataRead(connectedAfter, true);
        }
        counters.count(EventCounters.Kind.ACCEPT_FAILED, cause::toString);
        if (consecutiveFailures > 0 && String.valueOf(cause.getMessage()).contains("Too many open files")) {
            onDescriptorsExhausted.run();
        }
        int delayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, (1 << Math.min(consecutiveFailures, 10)) >> 1);
        consecutiveFailures++;
        if (delayMillis > 0) {
            context.channel().config().setAutoRead(false);
            context.channel()
                    .eventLoop()
                    .schedule(() -> context.channel().config().setAutoRead(true), delayMillis, TimeUnit.MILLISECONDS);
        }
    }
}
