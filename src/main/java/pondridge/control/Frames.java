package pondridge.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.ByteArrayOutputStream;

/**
 * Messages on a connection: frames of a length (4 bytes) and so many bytes, of which the first says whether
 * more of the same message follow. No frame is longer than 1 MiB, no message than its reader allows. On the
 * loop.
 */
abstract class Frames extends SimpleChannelInboundHandler<ByteBuf> {
    static final int LONGEST_FRAME = 1 << 20;
    private static final int LENGTH = 4;
    private static final byte LAST = 0;
    private static final byte MORE = 1;

    private final int longestMessage;
    private final Traffic traffic;
    private ByteArrayOutputStream parts;
    private int size;

    Frames(int longestMessage, Traffic traffic) {
        this.longestMessage = longestMessage;
        this.traffic = traffic;
    }

    /** A message is whole; what it throws as {@link IllegalArgumentException} comes to {@link #bad}. */
    abstract void message(byte[] bytes);

    /** What came makes no sense, or too much came. */
    abstract void bad(String problem);

    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(LONGEST_FRAME + LENGTH, 0, LENGTH, 0, LENGTH), this);
    }

    /** Sends one; gives its size with all frames. */
    static int send(Channel channel, byte[] message, Traffic traffic) {
        int total = 0;
        int most = LONGEST_FRAME - 1;
        for (int at = 0; at < message.length || at == 0; at += most) {
            int length = Math.min(most, message.length - at);
            ByteBuf head = channel.alloc()
                    .buffer(LENGTH + 1)
                    .writeInt(length + 1)
                    .writeByte(at + length < message.length ? MORE : LAST);
            channel.write(
                    Unpooled.wrappedBuffer(head, Unpooled.wrappedBuffer(message, at, length)), channel.voidPromise());
            total += LENGTH + 1 + length;
        }
        channel.flush();
        traffic.out(total);
        return total;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        if (!frame.isReadable()) {
            bad("an empty frame");
            return;
        }
        boolean more = frame.readByte() == MORE;
        size += LENGTH + 1 + frame.readableBytes();
        if (size > longestMessage) {
            bad("a message of more than " + longestMessage + " bytes");
            return;
        }
        byte[] bytes = new byte[frame.readableBytes()];
        frame.readBytes(bytes);
        if (more || parts != null) {
            parts = parts == null ? new ByteArrayOutputStream() : parts;
            parts.writeBytes(bytes);
            if (more) {
                return;
            }
            bytes = parts.toByteArray();
        }
        traffic.in(size);
        parts = null;
        size = 0;
        try {
            message(bytes);
        } catch (IllegalArgumentException e) {
            bad(e.getMessage());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        bad(
                cause instanceof io.netty.handler.codec.TooLongFrameException
                        ? "a frame of more than " + LONGEST_FRAME + " bytes"
                        : cause.toString());
    }
}
