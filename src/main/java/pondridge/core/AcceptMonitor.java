package pondridge.core;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The first handler in the pipeline of a listener. Bounds how long the connections that are being accepted may have
 * waited in the backlog. The connections must use the same event loop.
 */
public final class AcceptMonitor extends ChannelInboundHandlerAdapter {
    private final int maxAcceptsPerTurn;
    private ReadProgress progress;
    private long connectedAfter;
    private int accepted;

    /**
     * Creates the handler for one listener.
     *
     * @param maxAcceptsPerTurn how many connections the listener accepts for one poll at most
     */
    public AcceptMonitor(int maxAcceptsPerTurn) {
        this.maxAcceptsPerTurn = maxAcceptsPerTurn;
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

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        beginTurn();
        if (progress != null) {
            progress.dataRead(connectedAfter, accepted >= maxAcceptsPerTurn);
        }
        accepted = 0;
        context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (progress != null) {
            progress.dataRead(connectedAfter, true);
        }
        context.fireExceptionCaught(cause);
    }
}
