package pondridge.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pondridge.Options;
import pondridge.core.Answer;
import pondridge.core.Client;
import pondridge.core.Headers;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.RequestLog;
import pondridge.core.Requests;
import pondridge.core.Unread;
import pondridge.http1.ConnectionTable.State;

/**
 * The application's side: reads requests, answers each once, and tells malformed ones so itself. A client
 * that sends what can't be used is told at once, and its connection ends; nobody holds one for longer than a
 * request takes.
 */
public final class Frontend {
    private static final int LARGEST_BODY = 1 << 16;
    private static final int LINGER_BYTES = 1 << 20;
    /** A request's id is held to be in use for a while after its answer: clients never use one again. */
    private static final long ID_TIME = 2_000_000_000L;

    private static final long SWEEP_MS = 100;
    /** So many are let in at a time: till the next turn those that make room keep their descriptors, too. */
    private static final int ACCEPTS = 4;
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

    private record Past(String id, long at) {}

    private record Waiting(HttpObject message, long since) {}

    private final Requests engine;
    private final JobReader reader;
    private final int mostConnections;
    private final ConnectionTable<Connection> connections = new ConnectionTable<>();
    private final Set<String> ids = new HashSet<>();
    private final ArrayDeque<Past> past = new ArrayDeque<>();
    private int heldInAll;
    private boolean ready;
    private boolean draining;
    private long acceptedAt = System.nanoTime();
    private Channel server;
    private RequestLog log = RequestLog.NONE;

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
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
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
                        made.pipeline()
                                .addLast(new Unread(), new HttpResponseEncoder(), connection.new Decoder(), connection);
                    }
                })
                .bind(address);
        server = bound.channel();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                bound.channel()
                        .eventLoop()
                        .scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
            }
        });
        return bound;
    }

    /** Has closed connections logged; before {@link #listen}. */
    public void log(RequestLog other) {
        log = other;
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
        connections.in(State.IDLE).forEach(idle -> idle.connection.closeIfQuiet("draining"));
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
        return connections.size() == 0;
    }

    /** Closes the connection that is missed least; false if each holds a whole request. */
    private boolean makeRoom() {
        for (var least = connections.leastMissed(System.nanoTime());
                least != null;
                least = connections.leastMissed(System.nanoTime())) {
            if (least.connection.closeIfQuiet("to make room")) {
                return true;
            }
        }
        return false;
    }

    private void sweep() {
        long now = System.nanoTime();
        connections.expired(now, draining).forEach(expired -> expired.connection.expire());
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

        private final ConnectionTable.Entry<Connection> entry;
        private int lingered;
        private Job job;
        private ByteArrayOutputStream body;
        private boolean keepAlive;
        private String id;
        private long request;

        Connection(Channel channel) {
            this.channel = channel;
            this.entry = connections.add(this, System.nanoTime());
        }

        /** Tells when the first byte of a request has come, and drops what follows one that was rejected. */
        private final class Decoder extends HttpRequestDecoder {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                if (in(State.LINGERING)) {
                    lingered += ((ByteBuf) message).readableBytes();
                    ReferenceCountUtil.release(message);
                    if (lingered > LINGER_BYTES) {
                        channel.config().setAutoRead(false);
                    }
                    return;
                }
                if (in(State.IDLE)) {
                    enter(State.READING);
                } else if (in(State.NEW)) {
                    connections.enter(entry, State.READING, entry.since());
                }
                super.channelRead(context, message);
            }

            /** Left to itself the decoder drops the length, and what one side takes for a body hides more. */
            @Override
            protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
                throw new CorruptedFrameException("two lengths");
            }
        }

        private boolean in(State state) {
            return entry.state() == state;
        }

        private void enter(State next) {
            connections.enter(entry, next, System.nanoTime());
        }

        /** It has been in its state for too long; what lies unread in its socket is read first. */
        private void expire() {
            State before = entry.state();
            long since = entry.since();
            if (!Unread.open(channel, true) || !in(before) || entry.since() != since) {
                return;
            }
            if (in(State.READING)) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time");
            } else {
                close("time limit");
            }
        }

        /**
         * Closes the connection unless a request lies unread in its socket: after a stall of the loop a
         * connection that looks idle may have sent one, and a close would reset it with no response.
         *
         * @return whether the connection is closed
         */
        private boolean closeIfQuiet(String reason) {
            State before = entry.state();
            long since = entry.since();
            if (!Unread.open(channel, true)) {
                connections.remove(entry);
                return true;
            }
            if (!in(before) || entry.since() != since) {
                return false;
            }
            close(reason);
            return true;
        }

        private void close(String reason) {
            if (log != RequestLog.NONE) {
                log.connectionClosed(
                        String.valueOf(channel.remoteAddress()),
                        reason,
                        entry.state().toString());
            }
            // Its end is told later in the turn; until then it would make room for all that come in between.
            connections.remove(entry);
            channel.close();
        }

        private boolean occupied() {
            return in(State.ASKED) || in(State.ANSWERED);
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
                    close("too much behind a request");
                }
            } else {
                take(message);
            }
        }

        private void take(HttpObject message) {
            if (in(State.LINGERING) || !channel.isActive()) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                reject(status(message.decoderResult().cause()), "malformed request");
                return;
            }
            if (message instanceof HttpRequest head) {
                begin(head);
            }
            if (message instanceof HttpContent content && !in(State.LINGERING)) {
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
            connections.enter(entry, State.READING, entry.since());
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
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
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
            enter(State.ASKED);
            long number = engine.submit(whole, this);
            // The answer may have come within that call.
            if (in(State.ASKED)) {
                request = number;
            }
        }

        @Override
        public boolean here(boolean late) {
            return Unread.open(channel, late);
        }

        @Override
        public void served(Answer answer) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()));
            response.headers().set(answer.headers());
            answer(response);
        }

        @Override
        public void refused(long wait) {
            FullHttpResponse response = plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
            if (wait > 0) {
                response.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                BigDecimal.valueOf(wait, 9)
                                        .setScale(3, RoundingMode.UP)
                                        .toPlainString());
            }
            answer(response);
        }

        @Override
        public void failed() {
            answer(plain(HttpResponseStatus.BAD_GATEWAY, "failed"));
        }

        private void answer(FullHttpResponse response) {
            forget();
            enter(State.ANSWERED);
            boolean keep = keepAlive && (!draining || !waiting.isEmpty());
            HttpUtil.setContentLength(response, response.content().readableBytes());
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            channel.writeAndFlush(response).addListener(done -> {
                if (!done.isSuccess()) {
                    close("response not written");
                } else if (!keep) {
                    linger();
                } else {
                    enter(State.IDLE);
                    // Not from within this call: a row of requests would nest as deep as it is long.
                    channel.eventLoop().execute(this::proceed);
                }
            });
        }

        /**
         * Ends the sending, and discards what still arrives until the client closes or its time is over: a
         * close with bytes unread would reset the connection, and the client could lose its last response.
         */
        private void linger() {
            enter(State.LINGERING);
            drop();
            ((DuplexChannel) channel).shutdownOutput();
        }

        /** Goes on with what came meanwhile. */
        private void proceed() {
            if (draining && waiting.isEmpty() && in(State.IDLE)) {
                // The draining began while the response was being written.
                closeIfQuiet("draining");
                return;
            }
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
            if (in(State.ASKED)) {
                past.add(new Past(id, System.nanoTime()));
            }
            request = 0;
        }

        /** Tells an error, sends no more, and for a while reads on what is dropped unseen. */
        private void reject(HttpResponseStatus status, String text) {
            enter(State.LINGERING);
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
            connections.remove(entry);
            long open = request;
            forget();
            enter(State.LINGERING);
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
        int head = message instanceof HttpRequest request
                ? HEAD_BYTES + request.uri().length()
                : 0;
        return PART_BYTES
                + head
                + (message instanceof HttpContent content ? content.content().readableBytes() : 0);
    }

    private static HttpResponseStatus status(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    private static FullHttpResponse plain(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
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
        if (!message.method().equals(HttpMethod.POST) && (coded || HttpUtil.getContentLength(message, 0L) > 0)) {
            throw new IllegalArgumentException("body where none belongs");
        }
        if (!message.uri().chars().allMatch(each -> each > ' ' && each < 0x7f)) {
            throw new IllegalArgumentException("path can't be read");
        }
        for (String name : headers.names()) {
            boolean once = name.regionMatches(true, 0, "Req-", 0, 4)
                    || name.equalsIgnoreCase(JobReader.KEY)
                    || name.equalsIgnoreCase("Host");
            if (once && headers.getAll(name).size() > 1) {
                throw new IllegalArgumentException("repeated " + name);
            }
        }
    }
}
