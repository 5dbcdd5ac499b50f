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
 * Splits messages into frames on a connection. A frame is a length of 4 bytes and that many bytes, of which
 * the first says whether more frames of the same message follow. No frame is longer than 1 MiB, and no
 * message longer than the receiver allows. Runs on the event loop.
 */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int LENGTH_BYTES = 4;
    private static final byte LAST_FRAME = 0;
    private static final byte MORE_FRAMES = 1;

    private final int maxMessageBytes;
    private final Traffic traffic;
    private ByteArrayOutputStream partialMessage;
    private int messageBytes;

    FrameHandler(int maxMessageBytes, Traffic traffic) {
        this.maxMessageBytes = maxMessageBytes;
        this.traffic = traffic;
    }

    /**
     * Handles a complete message. An {@link IllegalArgumentException} thrown here is passed to {@link
     * #onProtocolError}.
     */
    abstract void onMessage(byte[] bytes);

    /** Handles invalid or excessive input. */
    abstract void onProtocolError(String problem);

    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                this);
    }

    /** Sends a message and returns its size including all frame headers. */
    static int send(Channel channel, byte[] message, Traffic traffic) {
        int totalBytes = 0;
        int maxPayload = MAX_FRAME_BYTES - 1;
        for (int offset = 0; offset < message.length || offset == 0; offset += maxPayload) {
            int length = Math.min(maxPayload, message.length - offset);
            ByteBuf header = channel.alloc()
                    .buffer(LENGTH_BYTES + 1)
                    .writeInt(length + 1)
                    .writeByte(offset + length < message.length ? MORE_FRAMES : LAST_FRAME);
            channel.write(
                    Unpooled.wrappedBuffer(header, Unpooled.wrappedBuffer(message, offset, length)),
                    channel.voidPromise());
            totalBytes += LENGTH_BYTES + 1 + length;
        }
        channel.flush();
        traffic.recordSent(totalBytes);
        return totalBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        if (!frame.isReadable()) {
            onProtocolError("an empty frame");
            return;
        }
        boolean more = frame.readByte() == MORE_FRAMES;
        messageBytes += LENGTH_BYTES + 1 + frame.readableBytes();
        if (messageBytes > maxMessageBytes) {
            onProtocolError("a message of more than " + maxMessageBytes + " bytes");
            return;
        }
        byte[] bytes = new byte[frame.readableBytes()];
        frame.readBytes(bytes);
        if (more || partialMessage != null) {
            partialMessage = partialMessage == null ? new ByteArrayOutputStream() : partialMessage;
            partialMessage.writeBytes(bytes);
            if (more) {
                return;
            }
            bytes = partialMessage.toByteArray();
        }
        traffic.recordReceived(messageBytes);
        partialMessage = null;
        messageBytes = 0;
        try {
            onMessage(bytes);
        } catch (IllegalArgumentException e) {
            onProtocolError(e.getMessage());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        onProtocolError(
                cause instanceof io.netty.handler.codec.TooLongFrameException
                        ? "a frame of more than " + MAX_FRAME_BYTES + " bytes"
                        : cause.toString());
    }
}
