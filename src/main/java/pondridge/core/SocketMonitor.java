package pondridge.core;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.IntPredicate;

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
    /** Reads of a trusted peer's socket until it is empty; they cover what the buffers of both ends can hold. */
    private static final int MAX_READS_OF_PEER = 1_024;
    /**
     * Reads on demand that a client's socket gets in each loop turn, however long they take. A disconnect may lie
     * behind all that the socket's receive buffer and the client's send buffer hold, some megabytes.
     */
    private static final int MIN_READS_OF_CLIENT = 4;
    /** Time for further reads on demand of all clients in one loop turn; whatever else the loop does waits. */
    private static final long MAX_READ_NANOS_PER_TURN = 20_000_000;

    private static final long NONE = -1;

    private final ReadProgress progress;
    private long arrivedAfter;
    private boolean reading;
    private boolean dataRead;
    private boolean mayHaveMore;
    /**
     * The poll after which reads on demand last stopped before the socket was empty; NONE once it has been found empty.
     * Until then nothing is known of a disconnect: one that waits in the client's send buffer arrives only as the
     * socket is read, however long ago the client left.
     */
    private long unfinishedSincePoll = NONE;

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
        if (monitor == null
                || monitor.progress == null
                || monitor.unfinishedSincePoll != NONE
                || !channel.config().isAutoRead()) {
            return Long.MAX_VALUE;
        }
        return System.nanoTime() - (monitor.reading ? monitor.arrivedAfter : monitor.progress.endArrivedAfter());
    }

    /**
     * Whether a client's connection is still open.
     *
     * @param readSocket whether to read the socket first, as {@link #readWithinTurn} does
     */
    public static ConnectionState connectionState(Channel channel, boolean readSocket) {
        boolean mayHoldMore = readSocket && !readWithinTurn(channel);
        if (!channel.isActive()) {
            return ConnectionState.CLOSED;
        }
        return mayHoldMore ? ConnectionState.UNKNOWN : ConnectionState.OPEN;
    }

    /**
     * Reads what lies unread in a client's socket, as far as the time allows that a loop turn has for that. Does not
     * read from within a read of the socket.
     *
     * @return false if the socket may hold more
     */
    public static boolean readWithinTurn(Channel channel) {
        SocketMonitor monitor = channel.pipeline().get(SocketMonitor.class);
        return monitor == null || monitor.readWithinTurnOf(channel);
    }

    /** Reads all that lies unread in the socket of a trusted peer; does nothing from within a read of it. */
    public static void readUnread(Channel channel) {
        SocketMonitor monitor = channel.pipeline().get(SocketMonitor.class);
        if (monitor != null) {
            monitor.readUntilEmpty(channel, reads -> reads < MAX_READS_OF_PEER);
        }
    }

    private boolean readWithinTurnOf(Channel channel) {
        if (progress == null) {
            return readUntilEmpty(channel, reads -> reads < MAX_READS_OF_PEER);
        }
        if (reading) {
            return unfinishedSincePoll == NONE;
        }
        PollTimes polls = progress.polls();
        if (unfinishedSincePoll == polls.current()) {
            return false;
        }
        boolean heldMore = unfinishedSincePoll != NONE && channel.isActive() && readOnce(channel);
        boolean readToEnd = readUntilEmpty(
                channel, reads -> reads < MIN_READS_OF_CLIENT || polls.readOnDemandNanos() < MAX_READ_NANOS_PER_TURN);
        // A client whose send buffer held much may be about to send more of it, so one empty read proves little.
        boolean finished = readToEnd && !heldMore;
        unfinishedSincePoll = finished ? NONE : polls.current();
        return finished;
    }

    /** Reads until the socket is empty or closed; returns false if it was given up before. */
    private boolean readUntilEmpty(Channel channel, IntPredicate mayReadAfter) {
        if (reading) {
            // Another read would pass later bytes to the decoders before earlier ones.
            return true;
        }
        for (int reads = 0; mayReadAfter.test(reads); reads++) {
            if (!channel.isActive() || !readOnce(channel)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the socket held data. */
    private boolean readOnce(Channel channel) {
        if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe)) {
            return false;
        }
        long readAt = System.nanoTime();
        dataRead = false;
        unsafe.read();
        if (progress != null) {
            progress.polls().addReadOnDemand(System.nanoTime() - readAt);
            if (!dataRead) {
                progress.foundEmpty(readAt);
            }
        }
        return dataRead;
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
