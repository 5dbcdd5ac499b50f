package pondridge.core;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * The first handler in the pipeline of a connection whose unread bytes matter: a client's, which may have disconnected,
 * and discovery's, which may have sent a change. Bounds how long ago the bytes that are being read arrived, and reads
 * the unread ones on demand. On an event loop that is not a {@link MonitoredIoHandler} ages are unknown and count as 0.
 */
public final class SocketMonitor extends ChannelInboundHandlerAdapter {
    /**
     * Part of the bound that does not count as a request's age, since a loop without a stall polls that rarely. An
     * attempt may begin up to 0.1 s after its client has left, which leaves the rest for the time to the write.
     */
    private static final long AGE_TOLERANCE_NANOS = 40_000_000;
    /**
     * Reads on demand until the socket is empty. A disconnect may lie behind all that the socket's receive buffer and
     * the peer's send buffer hold, some megabytes; a client that still sends after that many reads is not gone.
     */
    private static final int MAX_READS_ON_DEMAND = 1_024;

    private final ReadProgress progress;
    private long arrivedAfter;
    private boolean reading;
    private boolean dataRead;
    private boolean mayHaveMore;

    /** Creates the monitor of a connection that is opened here. */
    public SocketMonitor() {
        PollTimes polls = MonitoredIoHandler.pollsOfCurrentLoop();
        progress = polls == null ? null : new ReadProgress(polls, System.nanoTime());
    }

    /**
     * Creates the monitor of a connection that was just accepted.
     *
     * @param listener its listener, whose backlog the connection may have been in
     */
    public SocketMonitor(AcceptMonitor listener) {
        PollTimes polls = MonitoredIoHandler.pollsOfCurrentLoop();
        progress = polls == null ? null : new ReadProgress(polls, listener.connectedAfter());
    }

    /** How long ago the bytes that are being read may have arrived, in nanoseconds; 0 within the tolerance. */
    public static long dataAgeNanos(Channel channel) {
        SocketMonitor monitor = channel.pipeline().get(SocketMonitor.class);
        if (monitor == null || monitor.progress == null) {
            return 0;
        }
        long since = monitor.reading ? monitor.arrivedAfter : monitor.progress.dataArrivedAfter();
        return Math.max(0, System.nanoTime() - since - AGE_TOLERANCE_NANOS);
    }

    /** How long ago a disconnect that has not been read yet may have arrived, in nanoseconds. */
    public static long unreadNanos(Channel channel) {
        SocketMonitor monitor = channel.pipeline().get(SocketMonitor.class);
        if (monitor == null || monitor.progress == null || !channel.config().isAutoRead()) {
            return Long.MAX_VALUE;
        }
        return System.nanoTime() - (monitor.reading ? monitor.arrivedAfter : monitor.progress.endArrivedAfter());
    }

    /**
     * Whether a connection is still open.
     *
     * @param readSocket whether to read the socket first, as {@link #readUnread} does
     */
    public static boolean isConnected(Channel channel, boolean readSocket) {
        if (readSocket) {
            readUnread(channel);
        }
        return channel.isActive();
    }

    /** Reads what lies unread in the socket; does nothing from within a read of it. */
    public static void readUnread(Channel channel) {
        SocketMonitor monitor = channel.pipeline().get(SocketMonitor.class);
        // A read from within a read would pass later bytes to the decoders before earlier ones.
        if (monitor != null && !monitor.reading) {
            monitor.readUntilEmpty(channel);
        }
    }

    private void readUntilEmpty(Channel channel) {
        for (int i = 0; i < MAX_READS_ON_DEMAND; i++) {
            if (!channel.isActive() || !(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe)) {
                return;
            }
            long readAt = System.nanoTime();
            dataRead = false;
            unsafe.read();
            if (!dataRead) {
                if (progress != null) {
                    progress.foundEmpty(readAt);
                }
                return;
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!reading) {
            arrivedAfter = progress == null ? 0 : progress.dataArrivedAfter();
        }
        dataRead = true;
        mayHaveMore = message instanceof ByteBuf bytes && !bytes.isWritable();
        reading = true;
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        boolean hadData = reading;
        reading = true;
        try {
            context.fireChannelReadComplete();
        } finally {
            reading = false;
        }
        if (hadData && progress != null) {
            progress.dataRead(arrivedAfter, mayHaveMore);
        }
    }
}
