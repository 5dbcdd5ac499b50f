package pondridge.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pondridge.Options;
import pondridge.core.Answer;
import pondridge.core.Client;
import pondridge.core.Headers;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.Requests;
import pondridge.core.Unread;

/**
 * The application's side: reads requests, answers each once, and tells malformed ones so itself. A client
 * that sends what can't be used is told at once, and its connection ends; nobody holds one for longer than a
 * request takes.
 */
public final class Frontend {
    private static final int LARGEST_BODY = 1 << 16;
    /** From the connecting, on a used connection from the request's first byte, to its last one. */
    private static final long REQUEST_TIME = 2_500_000_000L;
    /** Clients keep connections; one that is not used for so long is not missed. */
    private static final long IDLE_TIME = 3_000_000_000L;
    /** A client that does not take its answer holds memory. */
    private static final long TAKE_TIME = 5_000_000_000L;
    /** After an error is told: a close with bytes unread would reset the connection and lose the error. */
    private static final long LINGER_TIME = 1_000_000_000L;
    private static final int LINGER_BYTES = 1 << 20;
    /** A request's id is held to be in use for a while after its answer: clients never use one again. */
    private static final long ID_TIME = 2_000_000_000L;
    /** A new connection's request comes at once; one that is silent for longer makes room first. */
    private static final long SILENT_TIME = 100_000_000;
    private static final long SWEEP_MS = 100;
    /** So many are let in at a time: till the next turn those that make room keep their descriptors, too. */
    private static final int ACCEPTS = 4;
    /** While draining: a connection just made whose request is on its way gets this long for it. */
    private static final long NEW_TIME = 300_000_000;
    /**
     * What is held of requests that came behind an open one, so much for each connection in any case.
     * Danger: were a client read no further then, its leave would lie unseen behind what it sent.
     */
    private static final int WAITING = LARGEST_BODY;
    /** So much where there is room for it in all; a client that sends more is ended. */
    private static final int MOST_WAITING = 4 << 20;
    private static final int WAITING_IN_ALL = 8 << 20;
    /** What a request's head counts as in that, beside its path, and what each part of one does. */
    private static final int HEAD_BYTES = 2048;
    private static final int PART_BYTES = 256;

    /** Where a connection is. Those before {@link #ASKED} may make room for others, the first one first. */
    private enum Stage { LINGERING, SILENT, IDLE, NEW, READING, ASKED, ANSWERED }

    private record Past(String id, long at) { }

    private record Waiting(HttpObject message, long since) { }

    private final Requests engine;
    private final JobReader reader;
    private final int mostConnections;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Set<String> ids = new HashSet<>();
    private final ArrayDeque<Past> past = new ArrayDeque<>();
    private int heldInAll;
    private boolean ready;
    private boolean draining;
    private long acceptedAt = System.nanoTime();
    private Channel server;

    /** A front that takes at most {@code mostConnections} clients at once. */
    public Frontend(Requests engine, Options options, int mostConnections) {
        this.engine = engine;
        this.reader = new JobReader(options);
        this.mostConnections = mostConnections;
    }

    /**
     * Listens; requests are answered at once, {@code /up} says 200 after {@link #ready}. May be called again
     * where it failed.
     */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        acceptedAt = System.nanoTime();
                        if (connections.size() >= mostConnections && !makeRoom()) {
                            made.close();
                            return;
                        }
                        Connection connection = new Connection(made);
                        made.pipeline().addLast(new Unread(), new HttpResponseEncoder(),
                                connection.new Decoder(), connection);
                    }
                })
                .bind(address);
        server = bound.channel();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                bound.channel().eventLoop().scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS,
                        TimeUnit.MILLISECONDS);
            }
        });
        return bound;
    }

    /** From now on {@code /up} says 200. */
    public void ready() {
        ready = true;
    }

    /**
     * From now on each answer ends its connection, and so do those that wait for none: a request that crosses
     * such an end is sent again on a new connection, and new ones still get in. One just made is left its
     * time: to end it with no answer would lose the request that is on its way there.
     */
    public void drain() {
        draining = true;
        for (Connection connection : List.copyOf(connections)) {
            if (connection.stage == Stage.IDLE) {
                connection.channel.close();
            }
        }
    }

    /** For how many nanoseconds nobody has connected. */
    public long quiet() {
        return System.nanoTime() - acceptedAt;
    }

    /** Ends the listening as well. */
    public void close() {
        server.close();
        drain();
    }

    /** Whether no client is connected any more. */
    public boolean empty() {
        return connections.isEmpty();
    }

    /** Closes the connection that is missed least; false if each holds a whole request. */
    private boolean makeRoom() {
        long now = System.nanoTime();
        Connection least = null;
        for (Connection each : connections) {
            Stage stage = each.spare(now);
            if (stage.compareTo(Stage.ASKED) < 0 && (least == null || stage.compareTo(least.spare(now)) < 0
                    || stage == least.spare(now) && each.since < least.since)) {
                least = each;
            }
        }
        if (least != null) {
            // Danger: its end is told later in the turn, and it would make room for all that come in between.
            connections.remove(least);
            least.channel.close();
        }
        return least != null;
    }

    private void sweep() {
        long now = System.nanoTime();
        for (Connection connection : List.copyOf(connections)) {
            connection.checkTime(now);
        }
        while (!past.isEmpty() && now - past.peek().at > ID_TIME) {
            ids.remove(past.poll().id);
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements Client {
        private final Channel channel;
        /**
         * What came while a request was open. It is read on, within bounds: else nobody would see that the
         * client has left, and its requests would be sent on one after the other.
         */
        private final ArrayDeque<Waiting> waiting = new ArrayDeque<>(1);
        private int held;
        /** How long ago what is being taken has come. */
        private long waited;
        private Stage stage = Stage.NEW;
        private long since = System.nanoTime();
        private int lingered;
        private Job job;
        private ByteArrayOutputStream body;
        private boolean keepAlive;
        private String id;
        private long request;

        Connection(Channel channel) {
            this.channel = channel;
            connections.add(this);
        }

        /** Tells when the first byte of a request has come, and drops what follows one that was rejected. */
        private final class Decoder extends HttpRequestDecoder {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                if (stage == Stage.LINGERING) {
                    lingered += ((ByteBuf) message).readableBytes();
                    ReferenceCountUtil.release(message);
                    if (lingered > LINGER_BYTES) {
                        channel.config().setAutoRead(false);
                    }
                    return;
                }
                if (stage == Stage.IDLE) {
                    enter(Stage.READING);
                } else if (stage == Stage.NEW) {
                    stage = Stage.READING;
                }
                super.channelRead(context, message);
            }

            /** Left to itself the decoder drops the length, and what one side takes for a body hides more. */
            @Override
            protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
                throw new CorruptedFrameException("two lengths");
            }
        }

        private void enter(Stage next) {
            stage = next;
            since = System.nanoTime();
        }

        /** The stage, with a new connection that has been silent for long told from one just made. */
        private Stage spare(long now) {
            return stage == Stage.NEW && now - since > SILENT_TIME ? Stage.SILENT : stage;
        }

        private void checkTime(long now) {
            long limit = switch (stage) {
                case LINGERING -> LINGER_TIME;
                case IDLE -> IDLE_TIME;
                case NEW -> draining ? NEW_TIME : REQUEST_TIME;
                case ANSWERED -> TAKE_TIME;
                case ASKED -> Long.MAX_VALUE;
                default -> REQUEST_TIME;
            };
            if (now - since <= limit) {
                return;
            }
            if (stage == Stage.READING) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time");
            } else {
                channel.close();
            }
        }

        private boolean occupied() {
            return stage == Stage.ASKED || stage == Stage.ANSWERED;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (occupied() || !waiting.isEmpty()) {
                if (!channel.isActive()) {
                    return;
                }
                waiting.add(new Waiting(ReferenceCountUtil.retain(message), System.nanoTime()));
                hold(size(message));
                if (held > WAITING && (held > MOST_WAITING || heldInAll > WAITING_IN_ALL)) {
                    channel.close();
                }
            } else {
                take(message);
            }
        }

        private void take(HttpObject message) {
            if (stage == Stage.LINGERING || !channel.isActive()) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                reject(status(message.decoderResult().cause()), "malformed request");
                return;
            }
            if (message instanceof HttpRequest head) {
                begin(head);
            }
            if (message instanceof HttpContent content && stage != Stage.LINGERING) {
                if (body.size() + content.content().readableBytes() > LARGEST_BODY) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
                    return;
                }
                body.writeBytes(ByteBufUtil.getBytes(content.content()));
                if (message instanceof LastHttpContent) {
                    end();
                }
            }
        }

        /** Looks at all that a request's head tells, so that the body of a bad one need not come. */
        private void begin(HttpRequest head) {
            stage = Stage.READING;
            keepAlive = HttpUtil.isKeepAlive(head);
            job = null;
            body = new ByteArrayOutputStream(0);
            String path = JobReader.path(head.uri());
            try {
                framed(head);
                if (path.equals("/api") || path.startsWith("/api/")) {
                    job = reader.read(head.method(), head.uri(), head.headers());
                    id = head.headers().get("Req-Id");
                } else if (!path.equals("/up")) {
                    reject(HttpResponseStatus.NOT_FOUND, "no such path");
                    return;
                }
            } catch (IllegalArgumentException e) {
                reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
                return;
            }
            if (HttpUtil.getContentLength(head, 0L) > LARGEST_BODY) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            } else if (HttpUtil.is100ContinueExpected(head)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        /** The request is whole. */
        private void end() {
            if (job == null) {
                boolean up = ready && !draining;
                answer(plain(up ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, ""));
                return;
            }
            if (!ids.add(id)) {
                reject(HttpResponseStatus.CONFLICT, "Req-Id in use");
                return;
            }
            Job whole = job.with(body.toByteArray());
            if (waited > 0) {
                whole = whole.within(whole.waitMs() * 1_000_000 - waited);
            }
            job = null;
            body = null;
            enter(Stage.ASKED);
            long number = engine.submit(whole, this);
            // The answer may have come within that call.
            if (stage == Stage.ASKED) {
                request = number;
            }
        }

        @Override
        public boolean here(boolean late) {
            return Unread.open(channel, late);
        }

        @Override
        public void served(Answer answer) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()));
            response.headers().set(answer.headers());
            answer(response);
        }

        @Override
        public void refused(long wait) {
            FullHttpResponse response = plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
            if (wait > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                        BigDecimal.valueOf(wait, 9).setScale(3, RoundingMode.UP).toPlainString());
            }
            answer(response);
        }

        @Override
        public void failed() {
            answer(plain(HttpResponseStatus.BAD_GATEWAY, "failed"));
        }

        private void answer(FullHttpResponse response) {
            forget();
            enter(Stage.ANSWERED);
            boolean keep = keepAlive && (!draining || !waiting.isEmpty());
            HttpUtil.setContentLength(response, response.content().readableBytes());
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = channel.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
                return;
            }
            written.addListener(done -> {
                if (!done.isSuccess() || draining && waiting.isEmpty()) {
                    // Gone, and with it whoever sent what waits; or the draining began behind this answer.
                    channel.close();
                    return;
                }
                enter(Stage.IDLE);
                // Not from within this call: a row of requests would nest as deep as it is long.
                channel.eventLoop().execute(this::proceed);
            });
        }

        /** Goes on with what came meanwhile. */
        private void proceed() {
            while (!waiting.isEmpty() && !occupied()) {
                Waiting next = waiting.poll();
                hold(-size(next.message));
                waited = System.nanoTime() - next.since;
                try {
                    take(next.message);
                } finally {
                    ReferenceCountUtil.release(next.message);
                    waited = 0;
                }
            }
        }

        private void drop() {
            waiting.forEach(each -> ReferenceCountUtil.release(each.message));
            waiting.clear();
            hold(-held);
        }

        private void hold(int more) {
            held += more;
            heldInAll += more;
        }

        /** The request that was open is no more. */
        private void forget() {
            if (stage == Stage.ASKED) {
                past.add(new Past(id, System.nanoTime()));
            }
            request = 0;
        }

        /** Tells an error, sends no more, and for a while reads on what is dropped unseen. */
        private void reject(HttpResponseStatus status, String text) {
            enter(Stage.LINGERING);
            job = null;
            body = null;
            drop();
            FullHttpResponse response = plain(status, text);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            channel.writeAndFlush(response).addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            long open = request;
            forget();
            enter(Stage.LINGERING);
            drop();
            if (open != 0) {
                engine.hangup(open);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof DecoderException)) {
                System.err.println("frontend: " + cause);
            }
            channel.close();
        }
    }

    private static int size(HttpObject message) {
        int head = message instanceof HttpRequest request ? HEAD_BYTES + request.uri().length() : 0;
        return PART_BYTES + head
                + (message instanceof HttpContent content ? content.content().readableBytes() : 0);
    }

    private static HttpResponseStatus status(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return cause instanceof TooLongHttpLineException ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    private static FullHttpResponse plain(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        return response;
    }

    /** Rejects what two readers could take for requests of different lengths. */
    private static void framed(HttpRequest message) {
        HttpHeaders headers = message.headers();
        boolean coded = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (message.protocolVersion().majorVersion() != 1 || coded && !Headers.onlyChunked(message)) {
            throw new IllegalArgumentException("version or transfer coding not supported");
        }
        if (!message.method().equals(HttpMethod.POST)
                && (coded || HttpUtil.getContentLength(message, 0L) > 0)) {
            throw new IllegalArgumentException("body where none belongs");
        }
        if (!message.uri().chars().allMatch(each -> each > ' ' && each < 0x7f)) {
            throw new IllegalArgumentException("path can't be read");
        }
        for (String name : headers.names()) {
            boolean once = name.regionMatches(true, 0, "Req-", 0, 4) || name.equalsIgnoreCase(JobReader.KEY)
                    || name.equalsIgnoreCase("Host");
            if (once && headers.getAll(name).size() > 1) {
                throw new IllegalArgumentException("repeated " + name);
            }
        }
    }
}
