package pondridge.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http2.AbstractHttp2ConnectionHandlerBuilder;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameAdapter;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Settings;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One HTTP/2 connection of a stand-in server. Frames that are wrong on purpose are written without the codec's
 * own state.
 */
final class Http2Standin extends Http2ConnectionHandler {
    private static final long GOAWAY_INTERVAL_MS = 5;
    private static final long CLOSE_POLL_MS = 20;
    private final RequestHandler handler;
    private final Runnable crash;
    private final Map<Integer, RequestHandler.Request> incomplete = new HashMap<>();
    private ChannelHandlerContext context;
    private int highestExecuted;
    private int lastAccepted = Integer.MAX_VALUE;
    private int lastAnnounced = Integer.MAX_VALUE;
    private boolean silent;
    private final boolean grpc;

    private Http2Standin(
            Http2ConnectionDecoder decoder,
            Http2ConnectionEncoder encoder,
            Http2Settings settings,
            RequestHandler handler,
            Runnable crash,
            boolean grpc) {
        super(decoder, encoder, settings, true);
        this.grpc = grpc;
        this.handler = handler;
        this.crash = crash;
    }

    /**
     * Creates the handler of one connection.
     *
     * @param crash simulates the end of the server process
     * @param grpc whether the connection carries gRPC
     */
    static Http2Standin newConnection(RequestHandler handler, Runnable crash, Http2Settings settings, boolean grpc) {
        return new Builder(handler, crash, settings, grpc).build();
    }

    private static final class Builder extends AbstractHttp2ConnectionHandlerBuilder<Http2Standin, Builder> {
        private final RequestHandler handler;
        private final Runnable crash;
        private final boolean grpc;

        Builder(RequestHandler handler, Runnable crash, Http2Settings settings, boolean grpc) {
            this.grpc = grpc;
            this.handler = handler;
            this.crash = crash;
            server(true);
            initialSettings(settings);
            gracefulShutdownTimeoutMillis(0);
            frameListener(new Http2FrameAdapter());
        }

        @Override
        protected Http2Standin build() {
            return super.build();
        }

        @Override
        protected Http2Standin build(
                Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
            Http2Standin connectionHandler = new Http2Standin(decoder, encoder, settings, handler, crash, grpc);
            frameListener(connectionHandler.new Listener());
            return connectionHandler;
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        context = ctx;
        super.handlerAdded(ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** Announces another limit of concurrent streams. */
    void setMaxConcurrentStreams(long streams) {
        encoder().writeSettings(context, new Http2Settings().maxConcurrentStreams(streams), context.newPromise());
        flush(context);
    }

    /** Announces another initial stream window, which also changes the windows of open streams. */
    void setInitialWindow(int bytes) {
        encoder().writeSettings(context, new Http2Settings().initialWindowSize(bytes), context.newPromise());
        flush(context);
    }

    /** Sends the graceful pair of GOAWAYs (RFC 9113, section 6.8); later streams are not executed. */
    void drain() {
        goAway(Integer.MAX_VALUE);
        context.executor()
                .schedule(
                        () -> {
                            lastAccepted = Math.min(
                                    lastAccepted,
                                    Math.max(
                                            highestExecuted,
                                            connection().remote().lastStreamCreated()));
                            goAway(lastAccepted);
                            closeWhenDone();
                        },
                        GOAWAY_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void goAway(int lastStream) {
        if (lastStream > lastAnnounced) {
            return;
        }
        lastAnnounced = lastStream;
        encoder()
                .frameWriter()
                .writeGoAway(
                        context, lastStream, Http2Error.NO_ERROR.code(), Unpooled.EMPTY_BUFFER, context.newPromise());
        flush(context);
    }

    private void closeWhenDone() {
        context.executor()
                .schedule(
                        () -> {
                            if (connection().numActiveStreams() > 0
                                    && context.channel().isActive()) {
                                closeWhenDone();
                            } else {
                                context.channel().close();
                            }
                        },
                        CLOSE_POLL_MS,
                        TimeUnit.MILLISECONDS);
    }

    private final class Listener extends Http2FrameAdapter {
        @Override
        public void onHeadersRead(
                ChannelHandlerContext ctx,
                int id,
                Http2Headers headers,
                int dependency,
                short weight,
                boolean exclusive,
                int padding,
                boolean end) {
            onHeadersRead(ctx, id, headers, padding, end);
        }

        @Override
        public void onHeadersRead(ChannelHandlerContext ctx, int id, Http2Headers headers, int padding, boolean end) {
            CharSequence className = grpc ? RequestHandler.className(headers.path()) : headers.get("req-kind");
            RequestHandler.Request request =
                    RequestHandler.request(headers.get("req-id"), className, headers.get("idempotency-key"));
            handler.arrived(request);
            incomplete.put(id, request);
            if (end) {
                complete(id);
            }
        }

        @Override
        public int onDataRead(ChannelHandlerContext ctx, int id, ByteBuf data, int padding, boolean end) {
            if (end) {
                complete(id);
            }
            return data.readableBytes() + padding;
        }

        @Override
        public void onRstStreamRead(ChannelHandlerContext ctx, int id, long code) {
            // A reset does not stop a request that is being executed; an incomplete request is not started.
            incomplete.remove(id);
        }
    }

    private void complete(int id) {
        RequestHandler.Request request = incomplete.remove(id);
        if (request == null || id > lastAccepted || silent) {
            return;
        }
        Fault fault = handler.script().nextFault();
        if (!handler.admit()) {
            crash.run();
            return;
        }
        switch (handler.declining() || !handler.hasCapacity() ? Fault.DECLINE : fault) {
            case REFUSE -> reset(id, Http2Error.REFUSED_STREAM);
            case RESET_UNRUN -> reset(id, Http2Error.CANCEL);
            case DECLINE -> {
                Http2Headers head = grpc ? grpcStatus("14") : new DefaultHttp2Headers().status("503");
                head.set("srv-declined", "1");
                encoder().writeHeaders(context, id, head, 0, true, context.newPromise());
                flush(context);
            }
            default -> {
                highestExecuted = Math.max(highestExecuted, id);
                handler.execute(request);
                if (fault == Fault.GOAWAY_LAST) {
                    lastAccepted = Math.min(lastAccepted, highestExecuted);
                    goAway(lastAccepted);
                }
                context.executor()
                        .schedule(
                                () -> respond(id, request, fault),
                                handler.responseDelayNanos(handler.script().nextWorkNanos(fault)),
                                TimeUnit.NANOSECONDS);
            }
        }
    }

    private void reset(int id, Http2Error code) {
        if (connection().stream(id) != null) {
            resetStream(context, id, code.code(), context.newPromise());
            flush(context);
        }
    }

    private void respond(int id, RequestHandler.Request request, Fault fault) {
        if (silent || !context.channel().isActive()) {
            return;
        }
        switch (fault) {
            case STALL -> {}
            case SILENT -> {
                silent = true;
                context.channel().config().setAutoRead(false);
            }
            case RESET -> reset(id, Http2Error.INTERNAL_ERROR);
            case LIE -> reset(id, Http2Error.REFUSED_STREAM);
            case CLOSE -> context.channel().close();
            case GOAWAY_LIE -> {
                goAway(0);
                context.channel().close();
            }
            case GOAWAY_LOWERED -> {
                lastAccepted = Math.min(lastAccepted, highestExecuted);
                goAway(lastAccepted + 200);
                goAway(lastAccepted);
                context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                context.executor().schedule(() -> context.channel().close(), GOAWAY_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
            default -> writeResponse(id, request, fault);
        }
    }

    /** The headers of a gRPC response without a message. */
    private static Http2Headers grpcStatus(String code) {
        return new DefaultHttp2Headers()
                .status("200")
                .set("content-type", "application/grpc")
                .set("grpc-status", code);
    }

    private void writeResponse(int id, RequestHandler.Request request, Fault fault) {
        if (connection().stream(id) == null) {
            return;
        }
        if (grpc && fault == Fault.ERROR) {
            // Executed, then reported as UNAVAILABLE, as by a server that fails half-way.
            encoder().writeHeaders(context, id, grpcStatus("14"), 0, true, context.newPromise());
            flush(context);
            return;
        }
        byte[] body = grpc ? RequestHandler.frame(RequestHandler.body(request), fault) : RequestHandler.body(request);
        boolean truncated = fault == Fault.HALF || fault == Fault.HALF_CLOSE;
        boolean trailers = grpc && fault != Fault.NO_STATUS || fault == Fault.ADORNED;
        if (fault == Fault.ADORNED) {
            encoder()
                    .writeHeaders(context, id, new DefaultHttp2Headers().status("103"), 0, false, context.newPromise());
        }
        Http2Headers head = new DefaultHttp2Headers().status(fault == Fault.ERROR ? "500" : "200");
        if (grpc) {
            head.set("content-type", fault == Fault.WRONG_TYPE ? "text/html" : "application/grpc");
        } else {
            head.setInt("content-length", body.length);
        }
        encoder().writeHeaders(context, id, head, 0, false, context.newPromise());
        int length = truncated ? body.length / 2 : body.length;
        encoder()
                .writeData(
                        context,
                        id,
                        Unpooled.wrappedBuffer(body, 0, length),
                        0,
                        !truncated && !trailers,
                        context.newPromise());
        if (trailers && !truncated) {
            Http2Headers trailerFields = new DefaultHttp2Headers().add("checked", "yes");
            encoder()
                    .writeHeaders(
                            context,
                            id,
                            grpc ? trailerFields.set("grpc-status", "0") : trailerFields,
                            0,
                            true,
                            context.newPromise());
        }
        flush(context);
        switch (fault) {
            case HALF_CLOSE -> reset(id, Http2Error.INTERNAL_ERROR);
            case RESET_AFTER_ANSWER -> encoder()
                    .frameWriter()
                    .writeRstStream(context, id, Http2Error.NO_ERROR.code(), context.newPromise());
            case GOAWAY -> drain();
            case GOAWAY_LAST -> closeWhenDone();
            default -> {}
        }
        flush(context);
    }
}
