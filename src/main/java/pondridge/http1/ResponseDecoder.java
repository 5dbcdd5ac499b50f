package pondridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import pondridge.core.BufferBudget;
import pondridge.core.HeadReservation;
import pondridge.core.HeapReceiveBuffers;

/**
 * Decodes responses. Input that is not a response fails at its first bytes: the default decoder skips
 * control characters and waits for the end of a line that may never arrive.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private final HeadReservation reservation;
    private boolean inResponse;

    /** Header values are not validated here: an invalid load report must not fail the response. */
    ResponseDecoder(BufferBudget.ConnectionShare share) {
        super(new HttpDecoderConfig().setValidateHeaders(false));
        reservation = new HeadReservation(share);
    }

    /** Whether part of a response was received, including lines that are already decoded. */
    boolean hasPartialResponse() {
        return inResponse || actualReadableBytes() > 0;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        HeapReceiveBuffers.trim(internalBuffer());
        reservation.setBuffered(internalBuffer());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        super.channelInactive(context);
        reservation.close();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!inResponse) {
            int available = Math.min(STATUS_LINE_START.length, in.readableBytes());
            for (int i = 0; i < available; i++) {
                if (in.getByte(in.readerIndex() + i) != STATUS_LINE_START[i]) {
                    throw new CorruptedFrameException("not an HTTP/1 response");
                }
            }
            if (available < STATUS_LINE_START.length) {
                return;
            }
            inResponse = true;
        }
        int before = in.readerIndex();
        super.decode(context, in, out);
        if (out.isEmpty()) {
            reservation.addCharacters(in.readerIndex() - before);
        } else {
            reservation.release();
        }
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            inResponse = false;
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        reservation.begin();
        return super.createMessage(initialLine);
    }

    /** In a response the default decoder accepts a line without a colon as a header with no value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new CorruptedFrameException("header line without a colon");
        }
        reservation.addField();
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new CorruptedFrameException("both Transfer-Encoding and Content-Length");
    }
}
