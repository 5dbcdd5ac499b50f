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
import pondridge.core.Evidence;
import pondridge.core.LoadReports;
import pondridge.pool.Member;

/**
 * One connection to an upstream: writes attempts on streams of their own, tells {@link StreamTable} what goes
 * and comes, and ends attempts by what that says.
 */
final class Connection extends Http2FrameAdapter implements Member {
    private static final AsciiString LOAD = AsciiString.cached(LoadReports.HEADER.toLowerCase());
    private static final AsciiString DECLINED = AsciiString.cached(Evidence.DECLINED.toLowerCase());
    /** A header block may come in many small frames, but not in any number (CVE-2024-27316 and its kin). */
    private static final int MOST_SMALL_CONTINUATIONS = 16;

    private static final int DEFAULT_WINDOW = 65_535;
    /** Window updates that one request may bring about: for its headers, its body, its stream. */
    private static final int EXPLAINED = 8;

    private static final long SECOND = 1_000_000_000;

    private final ServerPool pool;
    private final Http2Options options;
    private final StreamTable<Sending> table;
    private final Http2Connection streams = new DefaultHttp2Connection(false);
    private final Handler handler;
    private final Liveness liveness;
    private final ResetBudget resets;
    private final FloodGuard floods;
    private Channel channel;
    private ChannelHandlerContext context;
    private boolean flushing;
    private boolean broken;
    private boolean ended;
    private boolean reached;
    private boolean useful;
    private long idleSince;

    Connection(ServerPool pool, Http2Options options, Proof proof, int firstStream, long now) {
        this.pool = pool;
        this.options = options;
        this.table = new StreamTable<>(proof, firstStream);
        this.liveness = new Liveness(options.quiet(), options.pingWait(), now);
        this.resets = new ResetBudget(options.resets(), options.resetWindow(), now);
        this.floods = new FloodGuard(options.controlFrames(), SECOND, now);
        this.idleSince = now;
        this.handler = new Builder().build();
    }

    /** Goes into a pipeline of its own. */
    Http2ConnectionHandler handler() {
        return handler;
    }

    /** The socket is there; nothing goes out on it before the upstream's SETTINGS have come. */
    void made(Channel socket) {
        channel = socket;
    }

    /** Whether the upstream took the connection at all. */
    boolean reached() {
        return reached;
    }

    ChannelFuture closed() {
        return channel.closeFuture();
    }

    boolean up() {
        return table.up();
    }

    @Override
    public int credit() {
        if (ended || streams.goAwaySent()) {
            return 0;
        }
        // The codec counts a stream until its last frame's reading is over, a moment longer than the table.
        int codec = streams.local().maxActiveStreams() - streams.local().numActiveStreams();
        return Math.max(0, Math.min(codec, table.credit()));
    }

    @Override
    public boolean usable() {
        return !ended && table.usable();
    }

    /** Whether it has brought an answer. */
    boolean useful() {
        return useful;
    }

    @Override
    public boolean idle() {
        return table.open() == 0;
    }

    @Override
    public long idleSince() {
        return idleSince;
    }

    /** Writes an attempt on a stream of its own; there has just been credit. */
    void write(Sending attempt, long now) {
        if (idle()) {
            liveness.awoken(now);
        }
        floods.explain(EXPLAINED);
        int id = table.open(attempt);
        attempt.placed(this, id);
        byte[] body = pool.wording().body(attempt.job());
        boolean whole = body.length == 0;
        ChannelPromise head = context.newPromise();
        head.addListener(done -> {
            if (!done.isSuccess() && !ended) {
                apply(table.unsendable(id));
            }
        });
        handler.encoder()
                .writeHeaders(context, id, pool.wording().head(attempt.job(), attempt.left(now)), 0, whole, head);
        if (!whole && table.attempt(id) != null) {
            handler.encoder().writeData(context, id, Unpooled.wrappedBuffer(body), 0, true, context.newPromise());
        }
        flush();
    }

    /** What is written within one turn of the loop leaves together. */
    private void flush() {
        if (!flushing) {
            flushing = true;
            channel.eventLoop().execute(() -> {
                flushing = false;
                handler.flush(context);
            });
        }
    }

    void late(int id) {
        apply(table.late(id));
    }

    void cancel(int id) {
        apply(table.cancelled(id));
    }

    void withdraw(int id) {
        apply(table.withdrawn(id));
    }

    /** Nothing that has not wholly left goes to the upstream any more; closes when all is answered. */
    void drain() {
        applyAll(table.drain());
    }

    /** Opens no more streams, and closes when all is answered. */
    void retire() {
        table.retire();
        closeIfDone();
    }

    /** Regular work: silence, resets that had to wait. */
    void look(long now) {
        for (int id : table.givenUp()) {
            if (!reset(id, now)) {
                break;
            }
        }
        switch (liveness.look(now, !idle())) {
            case PING -> {
                handler.encoder().writePing(context, false, now, context.newPromise());
                flush();
            }
            case DEAD -> close();
            default -> {}
        }
        closeIfDone();
    }

    /** Ends the connection now, politely where nothing is open; what is open on it ends as lost. */
    void close() {
        if (channel == null || ended) {
            return;
        }
        if (context != null && idle() && channel.isActive()) {
            handler.goAway(context, 0, Http2Error.NO_ERROR.code(), Unpooled.EMPTY_BUFFER, context.newPromise());
            handler.flush(context);
        }
        channel.close();
    }

    private void closeIfDone() {
        if (table.up() && !table.usable() && idle()) {
            close();
        }
    }

    /** Resets a stream that was given up; false if that has to wait. */
    private boolean reset(int id, long now) {
        if (ended || !resets.take(now)) {
            return false;
        }
        resetNow(id);
        return true;
    }

    private void resetNow(int id) {
        if (!ended) {
            handler.resetStream(context, id, Http2Error.CANCEL.code(), context.newPromise());
            table.closed(id);
            flush();
        }
    }

    private void applyAll(List<StreamTable.End<Sending>> ends) {
        ends.forEach(this::settle);
        after();
    }

    private void apply(StreamTable.End<Sending> end) {
        if (end != null) {
            settle(end);
            after();
        }
    }

    private void settle(StreamTable.End<Sending> end) {
        if (end.unsent()) {
            // Danger: left open, its body would leave as soon as the upstream opens the window, and run.
            resets.take(System.nanoTime());
            resetNow(end.stream());
        } else if (end.open()) {
            reset(end.stream(), System.nanoTime());
        }
        useful |= end.outcome() == Outcome.OK;
        pool.ended(end.attempt(), end.outcome());
    }

    private void after() {
        if (idle()) {
            idleSince = System.nanoTime();
        }
        closeIfDone();
        pool.freed();
    }

    /** The connection is no more. */
    private void lost() {
        if (!ended) {
            ended = true;
            List<StreamTable.End<Sending>> ends = table.lost();
            pool.lost(this);
            ends.forEach(end -> pool.ended(end.attempt(), end.outcome()));
        }
    }

    @Override
    public void onSettingsRead(ChannelHandlerContext ctx, Http2Settings settings) {
        control();
        boolean first = !table.up();
        table.settings(settings.maxConcurrentStreams());
        if (first) {
            pool.up(this);
        }
        pool.freed();
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
        Sending attempt = table.attempt(id);
        int status = Messages.status(headers);
        if (attempt != null && attempt.body() == null && status >= 200) {
            HttpHeaders through = Messages.answer(headers);
            if (through == null || headers.getLong(HttpHeaderNames.CONTENT_LENGTH, 0) > options.answerBytes()) {
                apply(table.spoilt(id));
                return;
            }
            attempt.begin(headers, through, Messages.text(headers, LOAD));
        }
        if (attempt != null && attempt.body() != null && status == 0) {
            attempt.trailers(headers);
        }
        apply(table.head(id, status, "1".equals(Messages.text(headers, DECLINED)), end));
    }

    @Override
    public int onDataRead(ChannelHandlerContext ctx, int id, ByteBuf data, int padding, boolean end) {
        int bytes = data.readableBytes();
        if (bytes == 0 && !end) {
            control();
        }
        Sending attempt = table.attempt(id);
        if (attempt != null && attempt.body() != null) {
            if (attempt.bodyBytes() + bytes > options.answerBytes() || !pool.hold(bytes)) {
                apply(table.spoilt(id));
                return bytes + padding;
            }
            try {
                data.getBytes(data.readerIndex(), attempt.body(), bytes);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        apply(table.data(id, end));
        return bytes + padding;
    }

    @Override
    public void onRstStreamRead(ChannelHandlerContext ctx, int id, long code) {
        if (code == StreamTable.HTTP_1_1_REQUIRED) {
            pool.wantsHttp1();
        }
        apply(table.reset(id, code));
    }

    @Override
    public void onGoAwayRead(ChannelHandlerContext ctx, int last, long code, ByteBuf debug) {
        List<StreamTable.End<Sending>> ends = table.goAway(last);
        if (code == StreamTable.HTTP_1_1_REQUIRED) {
            pool.wantsHttp1();
        }
        pool.leaving(this);
        applyAll(ends);
    }

    @Override
    public void onPingRead(ChannelHandlerContext ctx, long data) {
        control();
    }

    @Override
    public void onPriorityRead(ChannelHandlerContext ctx, int id, int dependency, short weight, boolean exclusive) {
        control();
    }

    @Override
    public void onUnknownFrame(ChannelHandlerContext ctx, byte type, int id, Http2Flags flags, ByteBuf payload) {
        control();
    }

    @Override
    public void onWindowUpdateRead(ChannelHandlerContext ctx, int id, int increment) {
        control();
    }

    private void control() {
        if (!broken && !floods.admit(System.nanoTime())) {
            handler.onError(
                    context,
                    false,
                    Http2Exception.connectionError(Http2Error.ENHANCE_YOUR_CALM, "too many control frames"));
        }
    }

    /** Tells the table when a request's last frame goes to the socket, and if it never got there. */
    private final class Writer extends DefaultHttp2FrameWriter {
        @Override
        public ChannelFuture writeData(
                ChannelHandlerContext ctx, int id, ByteBuf data, int padding, boolean end, ChannelPromise promise) {
            return super.writeData(ctx, id, data, padding, end, end ? handed(id, promise) : promise);
        }

        @Override
        public ChannelFuture writeHeaders(
                ChannelHandlerContext ctx,
                int id,
                Http2Headers headers,
                int padding,
                boolean end,
                ChannelPromise promise) {
            return super.writeHeaders(ctx, id, headers, padding, end, end ? handed(id, promise) : promise);
        }

        private ChannelPromise handed(int id, ChannelPromise promise) {
            table.handed(id);
            return promise.addListener(done -> {
                if (!done.isSuccess()) {
                    table.unhanded(id);
                }
            });
        }
    }

    /** The codec's own state, with what it finds wrong told to the table. */
    private final class Handler extends Http2ConnectionHandler {
        Handler(Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
            super(decoder, encoder, settings, true);
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
            context = ctx;
            super.handlerAdded(ctx);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) throws Exception {
            reached = true;
            super.channelActive(ctx);
            if (options.connectionWindow() > DEFAULT_WINDOW) {
                streams.local()
                        .flowController()
                        .incrementWindowSize(streams.connectionStream(), options.connectionWindow() - DEFAULT_WINDOW);
            }
            flush(ctx);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            liveness.heard(System.nanoTime());
            super.channelRead(ctx, message);
        }

        @Override
        protected void onStreamError(
                ChannelHandlerContext ctx, boolean outbound, Throwable cause, Http2Exception.StreamException error) {
            StreamTable.End<Sending> end =
                    outbound ? table.unsendable(error.streamId()) : table.spoilt(error.streamId());
            table.closed(error.streamId());
            super.onStreamError(ctx, outbound, cause, error);
            if (end != null) {
                pool.ended(end.attempt(), end.outcome());
            }
            after();
        }

        @Override
        protected void onConnectionError(
                ChannelHandlerContext ctx, boolean outbound, Throwable cause, Http2Exception error) {
            if (broken) {
                return;
            }
            // What is still in the buffer of a broken connection is read, but told of no more.
            broken = true;
            if (!(cause instanceof IOException)) {
                pool.broken(Connection.this, cause);
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
            lost();
        }
    }

    /** Puts the codec together so that {@link Writer} is in it. */
    private final class Builder extends AbstractHttp2ConnectionHandlerBuilder<Handler, Builder> {
        @Override
        protected Handler build() {
            Http2ConnectionEncoder encoder = new DefaultHttp2ConnectionEncoder(streams, new Writer());
            Http2ConnectionDecoder decoder = new DefaultHttp2ConnectionDecoder(
                    streams,
                    encoder,
                    new DefaultHttp2FrameReader(
                            new DefaultHttp2HeadersDecoder(true, options.headerBytes()), MOST_SMALL_CONTINUATIONS));
            codec(decoder, encoder);
            initialSettings(Http2Settings.defaultSettings()
                    .pushEnabled(false)
                    .initialWindowSize(options.streamWindow())
                    .maxHeaderListSize(options.headerBytes()));
            frameListener(Connection.this);
            gracefulShutdownTimeoutMillis(0);
            return super.build();
        }

        @Override
        protected Handler build(
                Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
            return new Handler(decoder, encoder, settings);
        }
    }
}
