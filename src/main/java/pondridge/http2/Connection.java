package pondridge.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.AbstractHttp2ConnectionHandlerBuilder;
import io.netty.handler.codec.http2.DefaultHttp2Connection;
import io.netty.handler.codec.http2.DefaultHttp2ConnectionDecoder;
import io.netty.handler.codec.http2.DefaultHttp2ConnectionEncoder;
import io.netty.handler.codec.http2.DefaultHttp2FrameReader;
import io.netty.handler.codec.http2.DefaultHttp2FrameWriter;
import io.netty.handler.codec.http2.DefaultHttp2HeadersDecoder;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2Flags;
import io.netty.handler.codec.http2.Http2FrameAdapter;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.util.AsciiString;
import java.io.IOException;
import java.util.List;
import pondridge.Balancer.Outcome;
import pondridge.core.BodyBuffer;
import pondridge.core.LoadReports;
import pondridge.core.ResponseClassifier;
import pondridge.pool.PooledConnection;

/**
 * One connection to an upstream. Writes each attempt on its own stream, reports all frames written and read
 * to {@link StreamTable}, and ends attempts as the table decides.
 */
final class Connection extends Http2FrameAdapter implements PooledConnection {
    private static final AsciiString LOAD_REPORT_HEADER = AsciiString.cached(LoadReports.HEADER.toLowerCase());
    private static final AsciiString DECLINED_HEADER =
            AsciiString.cached(ResponseClassifier.DECLINED_HEADER.toLowerCase());
    /**
     * Bounds the small CONTINUATION frames of one header block; an unlimited number is an attack
     * (CVE-2024-27316 and similar).
     */
    private static final int MAX_SMALL_CONTINUATIONS = 16;

    private static final int DEFAULT_WINDOW_BYTES = 65_535;
    /**
     * WINDOW_UPDATE frames that one request may legitimately cause: for its headers, its body and its stream.
     */
    private static final int CONTROL_FRAMES_PER_REQUEST = 8;

    private static final long SECOND_NANOS = 1_000_000_000;

    private final ServerPool pool;
    private final Http2Options options;
    private final StreamTable<Http2Attempt> table;
    private final Http2Connection codecConnection = new DefaultHttp2Connection(false);
    private final CodecHandler handler;
    private final Liveness liveness;
    private final ResetBudget resetBudget;
    private final FloodGuard floodGuard;
    private Channel channel;
    private ChannelHandlerContext context;
    private boolean flushScheduled;
    private boolean connectionFailed;
    private boolean closed;
    private boolean connected;
    private boolean hasServed;
    private long idleSinceNanos;

    Connection(ServerPool pool, Http2Options options, StreamOutcomeRules outcomeRules, int firstStreamId, long now) {
        this.pool = pool;
        this.options = options;
        this.table = new StreamTable<>(outcomeRules, firstStreamId);
        this.liveness = new Liveness(options.pingAfterNanos(), options.pingTimeoutNanos(), now);
        this.resetBudget = new ResetBudget(options.maxResets(), options.resetWindowNanos(), now);
        this.floodGuard = new FloodGuard(options.controlFramesPerSecond(), SECOND_NANOS, now);
        this.idleSinceNanos = now;
        this.handler = new CodecHandlerBuilder().build();
    }

    /** Returns the handler for the channel's pipeline; each connection has a pipeline of its own. */
    Http2ConnectionHandler handler() {
        return handler;
    }

    /** Sets the channel. No request is written on it before the upstream's SETTINGS have been received. */
    void attach(Channel socket) {
        channel = socket;
    }

    /** Whether the transport connection was established. */
    boolean connected() {
        return connected;
    }

    ChannelFuture closeFuture() {
        return channel.closeFuture();
    }

    boolean settingsReceived() {
        return table.settingsReceived();
    }

    @Override
    public int credit() {
        if (closed || codecConnection.goAwaySent()) {
            return 0;
        }
        // The codec counts a stream until it has finished reading the last frame, slightly longer than the
        // table does.
        int codecAvailable = codecConnection.local().maxActiveStreams()
                - codecConnection.local().numActiveStreams();
        return Math.max(0, Math.min(codecAvailable, table.availableStreams()));
    }

    @Override
    public boolean isUsable() {
        return !closed && table.isUsable();
    }

    /** Whether any attempt on this connection has ended with {@link Outcome#OK}. */
    boolean hasServed() {
        return hasServed;
    }

    @Override
    public boolean isIdle() {
        return table.openStreams() == 0;
    }

    @Override
    public long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Writes an attempt on a new stream. The caller has just checked that {@link #credit} is positive. */
    void write(Http2Attempt attempt, long now) {
        if (isIdle()) {
            liveness.onStreamsOpened(now);
        }
        floodGuard.allow(CONTROL_FRAMES_PER_REQUEST);
        int id = table.open(attempt);
        attempt.assigned(this, id);
        byte[] body = pool.codec().encodeBody(attempt.job());
        boolean headersOnly = body.length == 0;
        ChannelPromise headersWritten = context.newPromise();
        headersWritten.addListener(write -> {
            if (!write.isSuccess() && !closed) {
                finish(table.requestWriteFailed(id));
            }
        });
        handler.encoder()
                .writeHeaders(
                        context,
                        id,
                        pool.codec().encodeHeaders(attempt.job(), attempt.remainingNanos(now)),
                        0,
                        headersOnly,
                        headersWritten);
        if (!headersOnly && table.attempt(id) != null) {
            handler.encoder().writeData(context, id, Unpooled.wrappedBuffer(body), 0, true, context.newPromise());
        }
        scheduleFlush();
    }

    /** Schedules one flush for everything written in the current event loop iteration. */
    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop().execute(() -> {
                flushScheduled = false;
                handler.flush(context);
            });
        }
    }

    void timeOut(int id) {
        finish(table.timeOut(id));
    }

    void cancel(int id) {
        finish(table.cancel(id));
    }

    void withdraw(int id) {
        finish(table.withdraw(id));
    }

    /**
     * Ends the attempts that were not fully sent, opens no more streams, and closes once all responses have
     * arrived.
     */
    void drain() {
        finishAll(table.drain());
    }

    /** Opens no more streams, and closes once all responses have arrived. */
    void retire() {
        table.stopOpening();
        closeIfFinished();
    }

    /** Periodic maintenance: sends resets that were deferred by the budget, and checks liveness. */
    void maintain(long now) {
        for (int id : table.abandonedStreams()) {
            if (!tryReset(id, now)) {
                break;
            }
        }
        switch (liveness.check(now, !isIdle())) {
            case SEND_PING -> {
                handler.encoder().writePing(context, false, now, context.newPromise());
                scheduleFlush();
            }
            case CLOSE -> close();
            default -> {}
        }
        closeIfFinished();
    }

    /**
     * Closes the connection now, with a GOAWAY if no stream is open. Open attempts end as lost with the
     * connection.
     */
    void close() {
        if (channel == null || closed) {
            return;
        }
        if (context != null && isIdle() && channel.isActive()) {
            handler.goAway(context, 0, Http2Error.NO_ERROR.code(), Unpooled.EMPTY_BUFFER, context.newPromise());
            handler.flush(context);
        }
        channel.close();
    }

    private void closeIfFinished() {
        if (table.settingsReceived() && !table.isUsable() && isIdle()) {
            close();
        }
    }

    /** Resets a stream whose attempt has ended; false if the reset budget defers it. */
    private boolean tryReset(int id, long now) {
        if (closed || !resetBudget.tryTake(now)) {
            return false;
        }
        resetStream(id);
        return true;
    }

    private void resetStream(int id) {
        if (!closed) {
            handler.resetStream(context, id, Http2Error.CANCEL.code(), context.newPromise());
            table.removeStream(id);
            scheduleFlush();
        }
    }

    private void finishAll(List<StreamTable.AttemptEnd<Http2Attempt>> ends) {
        ends.forEach(this::finishAttempt);
        streamsChanged();
    }

    private void finish(StreamTable.AttemptEnd<Http2Attempt> end) {
        if (end != null) {
            finishAttempt(end);
            streamsChanged();
        }
    }

    private void finishAttempt(StreamTable.AttemptEnd<Http2Attempt> end) {
        if (end.requestIncomplete()) {
            // The stream must not stay open: its body would be sent, and the request executed, as soon as the
            // upstream opens the window.
            resetBudget.tryTake(System.nanoTime());
            resetStream(end.streamId());
        } else if (end.streamOpen()) {
            tryReset(end.streamId(), System.nanoTime());
        }
        hasServed |= end.outcome() == Outcome.OK;
        pool.finishAttempt(end.attempt(), end.outcome());
    }

    private void streamsChanged() {
        if (isIdle()) {
            idleSinceNanos = System.nanoTime();
        }
        closeIfFinished();
        pool.streamsFreed();
    }

    /** The channel is closed. */
    private void connectionLost() {
        if (!closed) {
            closed = true;
            List<StreamTable.AttemptEnd<Http2Attempt>> ends = table.connectionLost();
            pool.connectionLost(this);
            ends.forEach(end -> pool.finishAttempt(end.attempt(), end.outcome()));
        }
    }

    @Override
    public void onSettingsRead(ChannelHandlerContext ctx, Http2Settings settings) {
        countControlFrame();
        boolean first = !table.settingsReceived();
        table.onSettings(settings.maxConcurrentStreams());
        if (first) {
            pool.settingsReceived(this);
        }
        pool.streamsFreed();
    }

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
        Http2Attempt attempt = table.attempt(id);
        int status = HeaderMapper.status(headers);
        if (attempt != null && attempt.responseBody() == null && status >= 200) {
            HttpHeaders forwarded = HeaderMapper.responseHeaders(headers);
            if (forwarded == null
                    || headers.getLong(HttpHeaderNames.CONTENT_LENGTH, 0) > options.maxResponseBodyBytes()
                    || !attempt.responseStarted(headers, forwarded, HeaderMapper.value(headers, LOAD_REPORT_HEADER))) {
                finish(table.invalidResponse(id));
                return;
            }
        }
        if (attempt != null && attempt.responseBody() != null && status == 0) {
            attempt.trailersReceived(headers);
        }
        finish(table.onHeaders(id, status, "1".equals(HeaderMapper.value(headers, DECLINED_HEADER)), end));
    }

    @Override
    public int onDataRead(ChannelHandlerContext ctx, int id, ByteBuf data, int padding, boolean end) {
        int bytes = data.readableBytes();
        if (bytes == 0 && !end) {
            countControlFrame();
        }
        Http2Attempt attempt = table.attempt(id);
        if (attempt != null && attempt.responseBody() != null) {
            if (attempt.responseBody().append(data) != BodyBuffer.Result.APPENDED) {
                finish(table.invalidResponse(id));
                return bytes + padding;
            }
        }
        finish(table.onData(id, end));
        return bytes + padding;
    }

    @Override
    public void onRstStreamRead(ChannelHandlerContext ctx, int id, long code) {
        if (code == StreamTable.HTTP_1_1_REQUIRED) {
            pool.http1Required();
        }
        finish(table.onReset(id, code));
    }

    @Override
    public void onGoAwayRead(ChannelHandlerContext ctx, int lastStreamId, long code, ByteBuf debug) {
        List<StreamTable.AttemptEnd<Http2Attempt>> ends = table.onGoAway(lastStreamId);
        if (code == StreamTable.HTTP_1_1_REQUIRED) {
            pool.http1Required();
        }
        pool.goAwayReceived(this);
        finishAll(ends);
    }

    @Override
    public void onPingRead(ChannelHandlerContext ctx, long data) {
        countControlFrame();
    }

    @Override
    public void onPriorityRead(ChannelHandlerContext ctx, int id, int dependency, short weight, boolean exclusive) {
        countControlFrame();
    }

    @Override
    public void onUnknownFrame(ChannelHandlerContext ctx, byte type, int id, Http2Flags flags, ByteBuf payload) {
        countControlFrame();
    }

    @Override
    public void onWindowUpdateRead(ChannelHandlerContext ctx, int id, int increment) {
        countControlFrame();
    }

    private void countControlFrame() {
        if (!connectionFailed && !floodGuard.admit(System.nanoTime())) {
            handler.onError(
                    context,
                    false,
                    Http2Exception.connectionError(Http2Error.ENHANCE_YOUR_CALM, "too many control frames"));
        }
    }

    /**
     * Records in the table when the last frame of a request is passed to the socket, and when that write
     * fails.
     */
    private final class FrameWriter extends DefaultHttp2FrameWriter {
        @Override
        public ChannelFuture writeData(
                ChannelHandlerContext ctx, int id, ByteBuf data, int padding, boolean end, ChannelPromise promise) {
            return super.writeData(ctx, id, data, padding, end, end ? trackEndStream(id, promise) : promise);
        }

        @Override
        public ChannelFuture writeHeaders(
                ChannelHandlerContext ctx,
                int id,
                Http2Headers headers,
                int padding,
                boolean end,
                ChannelPromise promise) {
            return super.writeHeaders(ctx, id, headers, padding, end, end ? trackEndStream(id, promise) : promise);
        }

        private ChannelPromise trackEndStream(int id, ChannelPromise promise) {
            table.endStreamWritten(id);
            return promise.addListener(write -> {
                if (!write.isSuccess()) {
                    table.endStreamWriteFailed(id);
                }
            });
        }
    }

    /** The codec's connection handler; reports stream and connection errors to the table and the pool. */
    private final class CodecHandler extends Http2ConnectionHandler {
        CodecHandler(Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
            super(decoder, encoder, settings, true);
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
            context = ctx;
            super.handlerAdded(ctx);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) throws Exception {
            connected = true;
            super.channelActive(ctx);
            if (options.connectionWindowBytes() > DEFAULT_WINDOW_BYTES) {
                codecConnection
                        .local()
                        .flowController()
                        .incrementWindowSize(
                                codecConnection.connectionStream(),
                                options.connectionWindowBytes() - DEFAULT_WINDOW_BYTES);
            }
            flush(ctx);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            liveness.onReceived(System.nanoTime());
            super.channelRead(ctx, message);
        }

        @Override
        protected void onStreamError(
                ChannelHandlerContext ctx, boolean outbound, Throwable cause, Http2Exception.StreamException error) {
            StreamTable.AttemptEnd<Http2Attempt> end =
                    outbound ? table.requestWriteFailed(error.streamId()) : table.invalidResponse(error.streamId());
            table.removeStream(error.streamId());
            super.onStreamError(ctx, outbound, cause, error);
            if (end != null) {
                pool.finishAttempt(end.attempt(), end.outcome());
            }
            streamsChanged();
        }

        @Override
        protected void onConnectionError(
                ChannelHandlerContext ctx, boolean outbound, Throwable cause, Http2Exception error) {
            if (connectionFailed) {
                return;
            }
            // The rest of the read buffer is still decoded, but only the first error is reported.
            connectionFailed = true;
            if (!(cause instanceof IOException)) {
                pool.connectionFailed(Connection.this, cause);
            }
            super.onConnectionError(ctx, outbound, cause, error);
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
            if (cause instanceof IOException) {
                ctx.close();
            } else {
                super.exceptionCaught(ctx, cause);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            super.channelInactive(ctx);
            connectionLost();
        }
    }

    /** Builds the codec with {@link FrameWriter} in place of the default writer. */
    private final class CodecHandlerBuilder
            extends AbstractHttp2ConnectionHandlerBuilder<CodecHandler, CodecHandlerBuilder> {
        @Override
        protected CodecHandler build() {
            Http2ConnectionEncoder encoder = new DefaultHttp2ConnectionEncoder(codecConnection, new FrameWriter());
            Http2ConnectionDecoder decoder = new DefaultHttp2ConnectionDecoder(
                    codecConnection,
                    encoder,
                    new DefaultHttp2FrameReader(
                            new DefaultHttp2HeadersDecoder(true, options.maxResponseHeaderBytes()),
                            MAX_SMALL_CONTINUATIONS));
            codec(decoder, encoder);
            initialSettings(Http2Settings.defaultSettings()
                    .pushEnabled(false)
                    .initialWindowSize(options.streamWindowBytes())
                    .maxHeaderListSize(options.maxResponseHeaderBytes()));
            frameListener(Connection.this);
            gracefulShutdownTimeoutMillis(0);
            return super.build();
        }

        @Override
        protected CodecHandler build(
                Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
            return new CodecHandler(decoder, encoder, settings);
        }
    }
}
