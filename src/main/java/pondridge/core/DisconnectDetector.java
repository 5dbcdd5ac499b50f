package pondridge.core;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * The first handler in the pipeline of a client connection. Reads the unread bytes of its socket on demand, so
 * that a disconnect is detected before a request is forwarded for that client.
 */
public final class DisconnectDetector extends ChannelInboundHandlerAdapter {
    private boolean reading;

    /**
     * Whether a client's connection is still open.
     *
     * @param readSocket whether the event loop may not have read the socket recently; without auto-read the
     *     socket is read in any case
     */
    public static boolean isConnected(Channel channel, boolean readSocket) {
        if (readSocket || !channel.config().isAutoRead()) {
            DisconnectDetector handler = channel.pipeline().get(DisconnectDetector.class);
            // A read from within a read would pass later bytes to the decoders before earlier ones.
            if (handler != null
                    && !handler.reading
                    && channel.isActive()
                    && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
                unsafe.read();
            }
        }
        return channel.isActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reading = true;
        try {
            context.fireChannelRead(message);
        } finally {
            reading = false;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        reading = true;
        try {
            context.fireChannelReadComplete();
        } finally {
            reading = false;
        }
    }
}
