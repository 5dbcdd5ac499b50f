package pondridge.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
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
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import pondridge.BalancerOptions;
import pondridge.core.AcceptMonitor;
import pondridge.core.AttemptSummary;
import pondridge.core.BufferBudget;
import pondridge.core.BufferBudgets;
import pondridge.core.Client;
import pondridge.core.ConnectionState;
import pondridge.core.EventCounters;
import pondridge.core.HeadReservation;
import pondridge.core.Headers;
import pondridge.core.HeapReceiveBuffers;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.RequestIds;
import pondridge.core.RequestLog;
import pondridge.core.RequestProcessor;
import pondridge.core.SocketMonitor;
import pondridge.core.UpstreamResponse;
import pondridge.http1.ConnectionTable.State;
import pondridge.http1.IncomingRequest.Progress;

/**
 * The listener for the application's HTTP/1.1 connections. Reads requests, hands them on and writes one
 * response to each. Malformed requests are rejected here at once, and their connection is closed. Every state
 * of a connection except the wait for a response has a timeout.
 */
public final class Frontend {
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int MAX_LINGER_BYTES = 1 << 20;
    private static final long SWEEP_INTERVAL_MILLIS = 100;
    /** Connections accepted per loop turn if no descriptors are to spare for them. */
    private static final int MIN_ACCEPTS_PER_TURN = 4;

    private static final int MAX_ACCEPTS_PER_TURN = 128;
    /**
     * Memory of a place in the queue behind an open request, which a request keeps that has no memory for more. It is
     * refused when its turn comes.
     */
    private static final int QUEUED_REQUEST_BYTES = 256;
    /** Reads of one connection's socket per loop turn, each of up to 16 KiB. */
    private static final int MAX_READS_PER_TURN = 2;
    /** Requests of one connection that are begun per loop turn; further ones that have been read wait for the next. */
    private static final int MAX_REQUESTS_PER_TURN = 16;
    /**
     * Limit on the memory of one connection's requests. Those beyond it are refused, and if not even their places in
     * the queue fit, the connection is closed.
     */
    private static final int MAX_REQUEST_BYTES_PER_CONNECTION = 3 << 20;

    private final RequestProcessor requestProcessor;
    private final JobReader jobReader;
    private final BufferBudgets budgets;
    private final int maxConnections;
    private final ConnectionTable<Connection> connections = new ConnectionTable<>();
    private final RequestIds requestIds;
    private boolean ready;
    private boolean draining;
    private long lastAcceptAt = System.nanoTime();
    private Channel serverChannel;
    private IntSupplier spareDescriptors = () -> 0;
    private RequestLog log = RequestLog.NONE;
    private EventCounters counters = EventCounters.unlogged();

    /** Creates a frontend with the whole process's memory for requests and responses to itself. */
    public Frontend(RequestProcessor requestProcessor, BalancerOptions options, int maxConnections) {
        this(requestProcessor, options, maxConnections, BufferBudgets.ofThisProcess());
    }

    /**
     * Creates a frontend that holds at most {@code maxConnections} client connections at once.
     *
     * @param budgets the memory for what clients send and do not read
     */
    public Frontend(
            RequestProcessor requestProcessor, BalancerOptions options, int maxConnections, BufferBudgets budgets) {
        this.requestProcessor = requestProcessor;
        this.jobReader = new JobReader(options);
        this.requestIds = new RequestIds(options.settings().classes());
        this.budgets = budgets;
        this.maxConnections = maxConnections;
    }

    /**
     * Binds the listener. Requests are served from then on; {@code /up} responds with 200 only after
     * {@link #markReady}. May be called again if it failed.
     */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        AcceptMonitor acceptMonitor =
                new AcceptMonitor(this::acceptLimit, counters, () -> evict(connections::restingCandidate));
        ChannelFuture bound = acceptMonitor
                .installOn(new ServerBootstrap())
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new HeapReceiveBuffers().maxMessagesPerRead(MAX_READS_PER_TURN))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        lastAcceptAt = System.nanoTime();
                        if (connections.size() >= maxConnections && !evictOne()) {
                            accepted.close();
                            return;
                        }
                        Connection connection = new Connection(accepted);
                        accepted.pipeline()
                                .addLast(
                                        new SocketMonitor(acceptMonitor),
                                        new HttpResponseEncoder(),
                                        connection.new Decoder(),
                                        connection);
                    }
                })
                .bind(address);
        serverChannel = bound.channel();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                bound.channel()
                        .eventLoop()
                        .scheduleWithFixedDelay(
                                this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
        return bound;
    }

    /**
     * Sets how many more descriptors the process may open; must be called before {@link #listen}. Without it the
     * listener assumes that none are to spare beyond those of its own connections.
     */
    public void setSpareDescriptors(IntSupplier spareDescriptors) {
        this.spareDescriptors = spareDescriptors;
    }

    /**
     * How many connections to accept at once. Those beyond the limit evict others, which keep their descriptors until
     * the next loop turn. But a backlog that is not emptied hides how long its connections have waited.
     */
    private int acceptLimit() {
        int free = Math.max(maxConnections - connections.size(), spareDescriptors.getAsInt() / 2);
        return Math.max(MIN_ACCEPTS_PER_TURN, Math.min(MAX_ACCEPTS_PER_TURN, free));
    }

    /** Sets the log for closed connections; must be called before {@link #listen}. */
    public void setRequestLog(RequestLog log) {
        this.log = log;
    }

    /** Sets the counters of failures of the listener; must be called before {@link #listen}. */
    public void setCounters(EventCounters counters) {
        this.counters = counters;
    }

    /** From now on {@code /up} responds with 200. */
    public void markReady() {
        ready = true;
    }

    /**
     * Starts draining: each response closes its connection, and idle connections are closed. A client whose
     * request meets such a close sends it again on a new connection; new connections are still accepted. A new
     * connection is kept until its timeout, since closing it would lose a request in transit.
     */
    public void drain() {
        draining = true;
        connections.inState(State.IDLE).forEach(idle -> idle.connection.closeUnlessRequestUnread("draining"));
    }

    /** Nanoseconds since the last connection was accepted. */
    public long nanosSinceLastAccept() {
        return System.nanoTime() - lastAcceptAt;
    }

    /** Closes the listener and starts draining. */
    public void close() {
        serverChannel.close();
        drain();
    }

    /** The number of client connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Whether no client is connected. */
    public boolean hasNoConnections() {
        return connections.size() == 0;
    }

    /**
     * Closes the connection that can be dropped at the least cost, to accept another.
     *
     * @return false if every connection holds a complete request
     */
    private boolean evictOne() {
        return evict(connections::evictionCandidate);
    }

    private boolean evict(LongFunction<ConnectionTable.Entry<Connection>> nextCandidate) {
        int candidates = connections.size();
        for (int i = 0; i < candidates; i++) {
            var candidate = nextCandidate.apply(System.nanoTime());
            if (candidate == null) {
                return false;
            }
            if (candidate.connection.closeUnlessRequestUnread("to make room")) {
                return true;
            }
        }
        return false;
    }

    private void sweep() {
        long now = System.nanoTime();
        connections.expired(now, draining).forEach(expired -> expired.connection.expire());
    }

    private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements Client {
        private final Channel channel;
        private final BufferBudget.ConnectionShare requestShare = budgets.requests()
                .newShare(
                        BufferBudgets.guaranteedBytes(budgets.requests(), maxConnections),
                        MAX_REQUEST_BYTES_PER_CONNECTION);
        private final BufferBudget.ConnectionShare responseShare =
                budgets.responses().newShare();
        /**
         * Requests that arrived while one was open. Reading goes on, within limits: otherwise the client's
         * disconnect would stay undetected, and its requests would be forwarded one after the other.
         */
        private final ArrayDeque<IncomingRequest> pipelined = new ArrayDeque<>(1);

        /** The request that is being received or is open; null if there is none. */
        private IncomingRequest current;
        /** Whether the request that is being received was refused, and the rest of it is discarded. */
        private boolean discardingRest;

        private final ConnectionTable.Entry<Connection> entry;
        private int requestsInTurn;
        private boolean nextRequestScheduled;
        private int lingeredBytes;
        private Job job;
        private boolean keepAlive;
        private String clientRequestId;
        /** Whether the open request may have had an attempt. */
        private boolean attempted;

        private long submittedId;

        Connection(Channel channel) {
            this.channel = channel;
            this.entry = connections.add(this, System.nanoTime());
        }

        /**
         * Enters READING at a request's first byte, and discards what follows a rejected request. The fields of a head
         * are bounded in number and counted as they arrive: an incomplete head holds memory, too, and many short fields
         * hold far more of it than their characters.
         */
        private final class Decoder extends HttpRequestDecoder {
            private final HeadReservation reservation = new HeadReservation(requestShare);

            @Override
            protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
                int before = in.readerIndex();
                super.decode(context, in, out);
                if (out.isEmpty()) {
                    reservation.addCharacters(in.readerIndex() - before);
                } else {
                    reservation.release();
                }
            }

            @Override
            protected HttpMessage createMessage(String[] initialLine) throws Exception {
                reservation.begin();
                return super.createMessage(initialLine);
            }

            @Override
            protected AsciiString splitHeaderName(byte[] line, int start, int length) {
                reservation.addField();
                return super.splitHeaderName(line, start, length);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) throws Exception {
                super.channelInactive(context);
                reservation.close();
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                if (isIn(State.LINGERING)) {
                    lingeredBytes += ((ByteBuf) message).readableBytes();
                    ReferenceCountUtil.release(message);
                    if (lingeredBytes > MAX_LINGER_BYTES) {
                        channel.config().setAutoRead(false);
                    }
                    return;
                }
                if (isIn(State.IDLE)) {
                    enterState(State.READING);
                } else if (isIn(State.NEW)) {
                    connections.enter(entry, State.READING, entry.since());
                }
                super.channelRead(context, message);
            }

            @Override
            public void channelReadComplete(ChannelHandlerContext context) throws Exception {
                super.channelReadComplete(context);
                requestsInTurn = 0;
                HeapReceiveBuffers.trim(internalBuffer());
                reservation.setBuffered(internalBuffer());
            }

            /**
             * Rejects such a message. The default drops the length; a peer that goes by the length would see
             * another end of the body, which allows request smuggling.
             */
            @Override
            protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
                throw new CorruptedFrameException("both Transfer-Encoding and Content-Length");
            }
        }

        private boolean isIn(State state) {
            return entry.state() == state;
        }

        private void enterState(State next) {
            connections.enter(entry, next, System.nanoTime());
        }

        /** Handles the timeout of the current state, unless reading the socket first changes that state. */
        private void expire() {
            State before = entry.state();
            long since = entry.since();
            boolean readToEnd = SocketMonitor.readWithinTurn(channel);
            if (!channel.isActive() || !isIn(before) || entry.since() != since) {
                return;
            }
            if (isIn(State.READING)) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time");
            } else if (readToEnd || !isIn(State.IDLE)) {
                close("time limit");
            }
        }

        /**
         * Closes the connection unless its socket holds an unread request. After a stall of the loop a
         * connection that looks idle may have sent one, and a close would reset it without a response.
         *
         * @return whether the connection is closed
         */
        private boolean closeUnlessRequestUnread(String reason) {
            State before = entry.state();
            long since = entry.since();
            boolean readToEnd = SocketMonitor.readWithinTurn(channel);
            if (!channel.isActive()) {
                connections.remove(entry);
                return true;
            }
            if (!isIn(before) || entry.since() != since) {
                return false;
            }
            if (!readToEnd && isIn(State.IDLE)) {
                enterState(State.IDLE);
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
            // channelInactive is called later in the turn; until then this connection would be chosen again for
            // every connection that is accepted in between.
            connections.remove(entry);
            channel.close();
        }

        private boolean hasOpenRequest() {
            return isIn(State.ASKED) || isIn(State.ANSWERED);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (isIn(State.LINGERING) || !channel.isActive()) {
                return;
            }
            if (discardingRest && !message.decoderResult().isFailure()) {
                discardingRest = !(message instanceof LastHttpContent);
                if (!discardingRest && isIn(State.READING)) {
                    enterState(State.IDLE);
                }
            } else if (hasOpenRequest() || !pipelined.isEmpty()) {
                enqueue(message);
            } else if (isIn(State.IDLE) && requestsInTurn >= MAX_REQUESTS_PER_TURN) {
                enterState(State.ANSWERED);
                scheduleNextRequest();
                enqueue(message);
            } else {
                receive(message);
            }
        }

        /** Adds a message to the queue behind the open request. */
        private void enqueue(HttpObject message) {
            long arrivedAt = System.nanoTime() - SocketMonitor.dataAgeNanos(channel);
            IncomingRequest last;
            if (message instanceof HttpRequest head) {
                if (!requestShare.tryReserve(QUEUED_REQUEST_BYTES)) {
                    countBuffersFull();
                    close("too much behind a request");
                    return;
                }
                last = newRequest(head, arrivedAt);
                pipelined.add(last);
            } else {
                last = pipelined.peekLast();
                if (last == null || last.progress() != Progress.INCOMPLETE) {
                    return;
                }
                last.receive(message, arrivedAt);
            }
            if (last.progress() == Progress.NO_CAPACITY) {
                countBuffersFull();
                discardingRest = !(message instanceof LastHttpContent);
            }
        }

        private IncomingRequest newRequest(HttpRequest head, long arrivedAt) {
            return new IncomingRequest(head, requestShare, MAX_BODY_BYTES, arrivedAt);
        }

        /** Handles a message of the request that is being received, with no other request before it. */
        private void receive(HttpObject message) {
            long now = System.nanoTime();
            if (message instanceof HttpRequest head) {
                begin(newRequest(head, now));
            } else if (current != null) {
                current.receive(message, now);
            }
            if (current != null && current.progress() == Progress.NO_CAPACITY) {
                countBuffersFull();
                discardingRest = !(message instanceof LastHttpContent);
            }
            proceed(0);
        }

        /** Begins to handle a request, the whole of which may have been received. */
        private void begin(IncomingRequest next) {
            current = next;
            requestsInTurn++;
            job = null;
            connections.enter(entry, State.READING, entry.since());
            keepAlive = HttpUtil.isKeepAlive(next.head());
            if (next.progress() != Progress.MALFORMED && next.progress() != Progress.NO_CAPACITY) {
                handleHead(next.head());
            }
        }

        /**
         * Goes on with the current request as far as it has been received.
         *
         * @param queuedNanos how long it has waited behind another request; 0 if it did not
         */
        private void proceed(long queuedNanos) {
            if (isIn(State.LINGERING) || current == null) {
                return;
            }
            switch (current.progress()) {
                case MALFORMED -> reject(statusOf(current.malformedBy()), "malformed request");
                case BODY_TOO_LARGE -> reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
                case NO_CAPACITY -> refused(0);
                case COMPLETE -> handleEnd(queuedNanos);
                default -> {}
            }
        }

        private void countBuffersFull() {
            counters.count(
                    EventCounters.Kind.BUFFERS_FULL,
                    () -> "requests: " + budgets.requests().reservedBytes() + " of "
                            + budgets.requests().maxBytes() + " bytes, " + requestShare.reservedBytes()
                            + " by this connection");
        }

        /** Validates a request's head, so that a bad request is rejected without waiting for its body. */
        private void handleHead(HttpRequest head) {
            String path = JobReader.pathOf(head.uri());
            try {
                requireUnambiguous(head);
                if (path.equals("/api") || path.startsWith("/api/")) {
                    job = jobReader.read(head.method(), head.uri(), head.headers());
                    clientRequestId = head.headers().get("Req-Id");
                } else if (!path.equals("/up")) {
                    reject(HttpResponseStatus.NOT_FOUND, "no such path");
                    return;
                }
            } catch (IllegalArgumentException e) {
                reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
                return;
            }
            if (HttpUtil.getContentLength(head, 0L) > MAX_BODY_BYTES) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            } else if (HttpUtil.is100ContinueExpected(head)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        /** Handles the end of a request, which has waited for {@code queuedNanos} behind another one. */
        private void handleEnd(long queuedNanos) {
            if (job == null) {
                boolean up = ready && !draining;
                respond(plainText(up ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, ""));
                return;
            }
            if (!requestIds.open(clientRequestId, System.nanoTime())) {
                reject(HttpResponseStatus.CONFLICT, "Req-Id in use");
                return;
            }
            long ageNanos = queuedNanos > 0 ? queuedNanos : SocketMonitor.dataAgeNanos(channel);
            if (ageNanos > 0) {
                log.requestAged(clientRequestId, ageNanos);
            }
            Job complete = job.withBody(current.body()).aged(ageNanos);
            job = null;
            enterState(State.ASKED);
            attempted = true;
            long number = requestProcessor.submit(complete, this);
            // The response may have been given within that call.
            if (isIn(State.ASKED)) {
                submittedId = number;
            }
        }

        @Override
        public void reportAttempts(AttemptSummary attempts) {
            attempted = attempts.attemptsSent() > 0;
        }

        @Override
        public long unreadNanos() {
            return SocketMonitor.unreadNanos(channel);
        }

        @Override
        public ConnectionState connectionState(boolean readSocket) {
            return SocketMonitor.connectionState(channel, readSocket);
        }

        @Override
        public void served(UpstreamResponse upstreamResponse) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(upstreamResponse.body()));
            response.headers().set(upstreamResponse.headers());
            respond(response);
        }

        @Override
        public void refused(long retryAfterNanos) {
            FullHttpResponse response = plainText(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
            if (retryAfterNanos > 0) {
                response.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                BigDecimal.valueOf(retryAfterNanos, 9)
                                        .setScale(3, RoundingMode.UP)
                                        .toPlainString());
            }
            respond(response);
        }

        @Override
        public void failed() {
            respond(plainText(HttpResponseStatus.BAD_GATEWAY, "failed"));
        }

        private void respond(FullHttpResponse response) {
            closeOpenRequest();
            enterState(State.ANSWERED);
            boolean keepOpen = keepAlive && (!draining || !pipelined.isEmpty());
            int bodyBytes = response.content().readableBytes();
            HttpUtil.setContentLength(response, bodyBytes);
            if (!keepOpen) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            int heldBytes = bodyBytes + Headers.memoryBytes(response.headers().iteratorCharSequence());
            responseShare.reserve(heldBytes);
            channel.writeAndFlush(response).addListener(done -> {
                responseShare.release(heldBytes);
                if (!done.isSuccess()) {
                    close("response not written");
                } else if (!keepOpen) {
                    linger();
                } else if (pipelined.isEmpty() && !draining) {
                    enterState(State.IDLE);
                } else {
                    scheduleNextRequest();
                }
            });
        }

        /**
         * Begins the next request in the next loop turn, so that one connection does not delay the others. Until then
         * the connection stays in ANSWERED: it may hold complete requests, so it must not be closed as idle.
         */
        private void scheduleNextRequest() {
            if (!nextRequestScheduled) {
                nextRequestScheduled = true;
                // schedule(), not execute(): a task executed from within a task may run in the same turn.
                channel.eventLoop().schedule(this::beginNextRequest, 0, TimeUnit.NANOSECONDS);
            }
        }

        private void beginNextRequest() {
            nextRequestScheduled = false;
            if (isIn(State.ANSWERED)) {
                enterState(State.IDLE);
                handlePipelined();
            }
        }

        /**
         * Shuts down the output and discards what still arrives until the client closes or the linger timeout
         * passes. A close with unread bytes would reset the connection, and the client could lose its last
         * response.
         */
        private void linger() {
            enterState(State.LINGERING);
            releaseRequests();
            ((DuplexChannel) channel).shutdownOutput();
        }

        /** Handles the messages that arrived while the previous request was open. */
        private void handlePipelined() {
            if (draining && pipelined.isEmpty() && isIn(State.IDLE)) {
                // Draining started while the response was being written.
                closeUnlessRequestUnread("draining");
                return;
            }
            while (!pipelined.isEmpty() && isIn(State.IDLE)) {
                IncomingRequest next = pipelined.poll();
                requestShare.release(QUEUED_REQUEST_BYTES);
                begin(next);
                proceed(System.nanoTime() - next.arrivedAt());
            }
        }

        /** Drops the current request and the pipelined ones. */
        private void releaseRequests() {
            releaseCurrent();
            pipelined.forEach(IncomingRequest::release);
            requestShare.release((long) QUEUED_REQUEST_BYTES * pipelined.size());
            pipelined.clear();
        }

        private void releaseCurrent() {
            if (current != null) {
                current.release();
                current = null;
            }
        }

        /** Ends the open request, if there is one; its id stays reserved for a while if it had attempts. */
        private void closeOpenRequest() {
            if (isIn(State.ASKED) && attempted) {
                requestIds.endAfterAttempts(clientRequestId, System.nanoTime());
            } else if (isIn(State.ASKED)) {
                requestIds.endWithoutAttempt(clientRequestId);
            }
            submittedId = 0;
            job = null;
            releaseCurrent();
        }

        /** Writes an error response, shuts down the output, and discards what still arrives for a while. */
        private void reject(HttpResponseStatus status, String text) {
            enterState(State.LINGERING);
            job = null;
            releaseRequests();
            FullHttpResponse response = plainText(status, text);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            channel.writeAndFlush(response).addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(entry);
            long openRequest = submittedId;
            closeOpenRequest();
            enterState(State.LINGERING);
            releaseRequests();
            if (openRequest != 0) {
                requestProcessor.clientDisconnected(openRequest);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof DecoderException)) {
                counters.count(EventCounters.Kind.CONNECTION_FAILED, () -> "client: " + cause);
            }
            channel.close();
        }
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (cause instanceof HeadReservation.NoCapacityException) {
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    private static FullHttpResponse plainText(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        return response;
    }

    /** Rejects requests whose length or fields two parsers could read differently. */
    private static void requireUnambiguous(HttpRequest message) {
        HttpHeaders headers = message.headers();
        boolean hasTransferEncoding = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (message.protocolVersion().majorVersion() != 1 || hasTransferEncoding && !Headers.isChunkedOnly(message)) {
            throw new IllegalArgumentException("version or transfer coding not supported");
        }
        if (!message.method().equals(HttpMethod.POST)
                && (hasTransferEncoding || HttpUtil.getContentLength(message, 0L) > 0)) {
            throw new IllegalArgumentException("body where none belongs");
        }
        if (!message.uri().chars().allMatch(character -> character > ' ' && character < 0x7f)) {
            throw new IllegalArgumentException("path can't be read");
        }
        for (String name : headers.names()) {
            boolean mustBeUnique = name.regionMatches(true, 0, "Req-", 0, 4)
                    || name.equalsIgnoreCase(JobReader.IDEMPOTENCY_KEY_HEADER)
                    || name.equalsIgnoreCase("Host");
            if (mustBeUnique && headers.getAll(name).size() > 1) {
                throw new IllegalArgumentException("repeated " + name);
            }
        }
    }
}
