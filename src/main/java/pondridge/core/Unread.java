package pondridge.core;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * First in the pipeline of a client's connection: reads on demand what lies unread in its socket, so that a
 * leave there is seen before anything is sent on for that client.
 */
public final class Unread extends ChannelInboundHandlerAdapter {
    private boolean reading;

    /**
     * Whether a client's connection is still open.
     *
     * @param late whether the loop may not have looked for long; where reading is off nobody looks at all
     */
    public static boolean open(Channel channel, boolean late) {
        if (late || !channel.config().isAutoRead()) {
            Unread first = channel.pipeline().get(Unread.class);
            // Danger: read from within its own reading, decoders would meet later bytes before earlier ones.
            if (first != null
                    && !first.reading
                    && channel.isActive()
                    && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
                socket.read();
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
