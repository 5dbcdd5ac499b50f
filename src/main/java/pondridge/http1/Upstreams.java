package pondridge.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pondridge.Balancer.Outcome;
import pondridge.BalancerOptions;
import pondridge.core.BodyBuffer;
import pondridge.core.BufferBudget;
import pondridge.core.BufferBudgets;
import pondridge.core.EventCounters;
import pondridge.core.Headers;
import pondridge.core.HeapReceiveBuffers;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.MonitoredIoHandler;
import pondridge.core.ResponseClassifier;
import pondridge.core.Transport;
import pondridge.core.UpstreamResponse;

/**
 * The HTTP/1.1 connections to upstreams and the attempts on them. An attempt is written at most once, on one
 * connection, and ends with one outcome. This class never retries.
 */
public final class Upstreams implements Transport {
    /** Bounds the memory for one response. Valid responses have reached 350 KB, above the protocol's 64 KiB. */
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    /** Interim (1xx) responses accepted before a final one; more fail the attempt. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final long PROBE_TIMEOUT_NANOS = 250_000_000;
    private static final AsciiString DEADLINE_HEADER = AsciiString.cached("Req-Deadline-Ms");
    /** Lower bound for short idle timeouts, so that the sweep does not occupy the event loop. */
    private static final long MIN_SWEEP_INTERVAL_NANOS = 5_000_000;
    /**
     * How long ago the check may be whether a request is still wanted, and the time left that it tells, when its bytes
     * go to the socket. The process may stand still in between. Half of the time within which a disconnect must be
     * noticed.
     */
    private static final long MAX_WRITE_DELAY_NANOS = 50_000_000;

    private final EventLoop loop;
    private final int connectTimeoutMillis;
    private final long idleTimeoutNanos;
    private final int maxConnections;
    private final boolean reusesAtOnce;
    private final LoadReports loadReports;
    private final BufferBudget responseBudget;
    private final long guaranteedResponseBytes;
    private final Map<Long, Pool> pools = new HashMap<>();
    /** The pool of every upstream that is not listed; never ready. */
    private final Pool unlistedPool = new Pool();

    private final Future<?> idleSweep;
    private EventCounters counters = EventCounters.unlogged();
    private int openConnections;
    private final SettlePeriod settlePeriod = new SettlePeriod();

    /** Creates a transport with the whole process's memory for responses to itself. */
    public Upstreams(EventLoop loop, BalancerOptions options, int maxConnections) {
        this(loop, options, maxConnections, BufferBudgets.ofThisProcess().responses());
    }

    /**
     * Creates a transport with at most {@code maxConnections} connections; timeouts come from the settings.
     *
     * @param responseBudget the memory for responses that are being received
     */
    public Upstreams(EventLoop loop, BalancerOptions options, int maxConnections, BufferBudget responseBudget) {
        this(loop, options, maxConnections, responseBudget, false);
    }

    private Upstreams(
            EventLoop loop,
            BalancerOptions options,
            int maxConnections,
            BufferBudget responseBudget,
            boolean reusesAtOnce) {
        this.loop = loop;
        this.reusesAtOnce = reusesAtOnce;
        this.responseBudget = responseBudget;
        this.guaranteedResponseBytes = BufferBudgets.guaranteedBytes(responseBudget, maxConnections);
        this.connectTimeoutMillis = Math.max(1, (int) (options.number("caps.connectTimeout", 1e9) / 1e6));
        // Upstreams close at their idle timeout. Closing a tenth earlier avoids a request meeting that close.
        this.idleTimeoutNanos = (long) (options.number("caps.connIdle", 5e9) * 0.9);
        this.maxConnections = maxConnections;
        this.loadReports = new LoadReports(options);
        long sweepInterval = Math.max(MIN_SWEEP_INTERVAL_NANOS, idleTimeoutNanos / 20);
        idleSweep =
                loop.scheduleWithFixedDelay(this::closeExpiredIdle, sweepInterval, sweepInterval, TimeUnit.NANOSECONDS);
    }

    /** Creates a transport to a frontend of this process, with one connection that is reused at once. */
    public static Upstreams toOwnFrontend(EventLoop loop, BalancerOptions options) {
        BufferBudget budget = BufferBudgets.ofThisProcess().responses();
        return new Upstreams(loop, options, 1, budget, true);
    }

    /** Sets the counters of responses that were not accepted; must be called before the first attempt. */
    public void setCounters(EventCounters counters) {
        this.counters = counters;
    }

    /**
     * Applies an upstream's entry in the endpoint list. Once it is no longer ready, nothing that is not yet
     * written goes there: attempts waiting for a connection end as {@link Outcome#CONNECT_FAILED}, and idle
     * connections are closed. The same applies to connections to an earlier process or another address, even if
     * they are still being established or still await a response: a machine that has failed has not closed them,
     * and a request written to them would count as one that may have run.
     */
    @Override
    public void updateEndpoint(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        Pool pool = pools.computeIfAbsent(upstream, id -> new Pool());
        if (!address.equals(pool.address) || startedMs > pool.startedMs) {
            pool.address = address;
            pool.startedMs = startedMs;
            pool.startGeneration();
        }
        if (ready) {
            pool.ready = true;
        } else {
            pool.markNotReady();
        }
    }

    @Override
    public void removeEndpoint(long upstream) {
        Pool pool = pools.remove(upstream);
        if (pool != null) {
            pool.markNotReady();
        }
    }

    @Override
    public Attempt send(long upstream, Job job, long timeoutNanos, Listener listener) {
        return send(upstream, toHttpRequest(job), timeoutNanos, listener);
    }

    private static FullHttpRequest toHttpRequest(Job job) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, job.method(), job.uri(), Unpooled.wrappedBuffer(job.body()));
        Headers.copyEndToEnd(job.headers(), request.headers());
        // The time left is set when the request is written: the connection may be established late.
        request.headers().set(DEADLINE_HEADER, 0);
        if (!job.method().equals(HttpMethod.GET) || job.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, job.body().length);
        }
        return request;
    }

    private Http1Attempt send(long upstream, FullHttpRequest request, long timeoutNanos, Listener listener) {
        Pool pool = pools.getOrDefault(upstream, unlistedPool);
        Http1Attempt attempt = new Http1Attempt(pool, request, listener, System.nanoTime() + timeoutNanos);
        attempt.timer = loop.schedule(attempt::timeOut, timeoutNanos, TimeUnit.NANOSECONDS);
        pool.unwritten.add(attempt);
        Connection idle = pool.ready ? pool.takeIdle(System.nanoTime()) : null;
        if (!pool.ready) {
            attempt.end(Outcome.CONNECT_FAILED);
        } else if (idle != null) {
            idle.write(attempt);
        } else if (openConnections >= maxConnections && !closeLongestIdle()) {
            attempt.end(Outcome.NEVER_SENT);
        } else {
            new Connection(pool).open(attempt);
        }
        return attempt;
    }

    @Override
    public void probe(long upstream, Listener listener) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, loadReports.probePath());
        request.headers().set(HttpHeaderNames.HOST, "app.svc");
        send(upstream, request, PROBE_TIMEOUT_NANOS, listener);
    }

    @Override
    public void closeIdle(long upstream) {
        Pool pool = pools.get(upstream);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    @Override
    public int openConnections() {
        return openConnections;
    }

    /** Stops the idle sweep and closes all idle connections. */
    public void close() {
        idleSweep.cancel(false);
        pools.values().forEach(Pool::closeIdle);
    }

    /** Closes the connection that has been idle longest; false if every connection is in use. */
    private boolean closeLongestIdle() {
        Connection longestIdle = null;
        for (Pool pool : pools.values()) {
            Connection first = pool.idle.peekFirst();
            if (first != null && (longestIdle == null || first.idleSince < longestIdle.idleSince)) {
                longestIdle = first;
            }
        }
        if (longestIdle != null) {
            longestIdle.close();
        }
        return longestIdle != null;
    }

    private void closeExpiredIdle() {
        long now = System.nanoTime();
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && now - pool.idle.peekFirst().idleSince > idleTimeoutNanos) {
                pool.idle.pollFirst().close();
            }
        }
    }

    /** One upstream's connections; the least recently used idle connection comes first. */
    private final class Pool {
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private final Set<Http1Attempt> unwritten = new LinkedHashSet<>();
        private InetSocketAddress address;
        private long startedMs;
        private boolean ready;
        /** Grows with each restart, address change or loss of readiness; older connections are not reused. */
        private int generation;

        /**
         * The most recently used idle connection that has settled, or null. It has settled if all that arrived in the
         * pause after its response has been read: the time alone does not tell, since after a stall of the event loop a
         * second response may lie unread in the socket. One beyond its idle timeout is not
         * taken: after a stall of the loop the upstream may close it before the sweep does, and a request
         * written to it would count as one that may have run.
         */
        Connection takeIdle(long now) {
            long settledBefore = reusesAtOnce ? now : MonitoredIoHandler.arrivedAfter() - settlePeriod.nanos(now);
            for (Iterator<Connection> each = idle.descendingIterator(); each.hasNext(); ) {
                Connection next = each.next();
                if (now - next.idleSince >= idleTimeoutNanos) {
                    return null;
                }
                if (next.readAt - settledBefore > 0) {
                    continue;
                }
                each.remove();
                if (!next.decoder.hasPartialResponse()) {
                    return next;
                }
                // Unsolicited data was received on it.
                next.close();
            }
            return null;
        }

        /** Marks the upstream as not ready; nothing that is not yet written goes there any more. */
        void markNotReady() {
            ready = false;
            startGeneration();
        }

        /** Starts a new generation: nothing more goes to the process that was there until now. */
        void startGeneration() {
            generation++;
            closeIdle();
            for (Http1Attempt attempt : List.copyOf(unwritten)) {
                attempt.end(Outcome.CONNECT_FAILED);
            }
        }

        void closeIdle() {
            while (!idle.isEmpty()) {
                idle.pollFirst().close();
            }
        }
    }

    /** One attempt. Until its last byte is written it cannot have run; after that it may have. */
    private final class Http1Attempt implements Attempt {
        private final Pool pool;
        private final FullHttpRequest request;
        private final Listener listener;
        /** By {@link System#nanoTime}: from then on its response is not awaited any more. */
        private final long deadlineAt;

        private Connection connection;
        private Future<?> timer;
        private boolean written;
        private boolean ended;

        Http1Attempt(Pool pool, FullHttpRequest request, Listener listener, long deadlineAt) {
            this.pool = pool;
            this.request = request;
            this.listener = listener;
            this.deadlineAt = deadlineAt;
        }

        /**
         * Sets the time left at the write. With the time left when the balancer sent the attempt, an
         * upstream would keep working after the client's timeout.
         */
        private void setTimeLeft() {
            if (request.headers().contains(DEADLINE_HEADER)) {
                request.headers().set(DEADLINE_HEADER, Math.max(1, (deadlineAt - System.nanoTime()) / 1_000_000));
            }
        }

        /** Also closes the connection. */
        @Override
        public void cancel() {
            end(Outcome.CANCELLED);
        }

        @Override
        public void withdraw() {
            if (!written) {
                end(Outcome.NEVER_SENT);
            }
        }

        private void timeOut() {
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        private void connectionLost() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }

        /** Ends the attempt without a response, unless it has ended before, and closes its connection. */
        private void end(Outcome outcome) {
            if (!ended) {
                // Set first: closing a connection that is being established reports a failed connect at once.
                ended = true;
                if (connection != null) {
                    connection.close();
                }
                complete(outcome, null, LoadReports.NONE);
            }
        }

        private void complete(Outcome outcome, UpstreamResponse response, float[] load) {
            ended = true;
            timer.cancel(false);
            pool.unwritten.remove(this);
            listener.ended(outcome, response, load);
        }
    }

    /**
     * One connection, which carries one request at a time. A response is delivered once everything received
     * with it has been read: only then is it known whether unsolicited data followed it and whether the
     * connection can be reused.
     */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Pool pool;
        private final int generation;
        private Channel channel;
        private Http1Attempt current;
        /** When the last response may have arrived: the upstream's idle timeout runs from before then. */
        private long idleSince;
        /** When the last response was read. */
        private long readAt;

        private HttpResponse head;
        private HttpHeaders headers;
        private final BufferBudget.ConnectionShare share = responseBudget.newShare(guaranteedResponseBytes);
        private final ResponseDecoder decoder = new ResponseDecoder(share);
        private final BodyBuffer body = new BodyBuffer(share, MAX_RESPONSE_BYTES);
        private int headBytes;
        private int interimResponses;
        private boolean complete;
        private boolean unsolicitedData;

        Connection(Pool pool) {
            this.pool = pool;
            this.generation = pool.generation;
        }

        void open(Http1Attempt first) {
            current = first;
            first.connection = this;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveBuffers())
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel created) {
                            channel = created;
                            openConnections++;
                            created.closeFuture().addListener(closed -> openConnections--);
                            created.pipeline().addLast(new HttpRequestEncoder(), decoder, Connection.this);
                        }
                    })
                    .connect(pool.address)
                    .addListener(done -> {
                        if (channel == null) {
                            // No socket could be created, which is not the upstream's fault. The outcome
                            // is reported from a separate task.
                            loop.execute(() -> first.end(Outcome.NEVER_SENT));
                        } else if (!done.isSuccess()) {
                            first.connectionLost();
                        } else if (first.ended) {
                            close();
                        } else {
                            write(first);
                        }
                    });
        }

        void write(Http1Attempt attempt) {
            current = attempt;
            attempt.connection = this;
            interimResponses = 0;
            long checkedAt = System.nanoTime();
            if (!attempt.listener.shouldWrite()) {
                attempt.end(Outcome.NEVER_SENT);
                return;
            }
            attempt.setTimeLeft();
            channel.write(attempt.request).addListener(done -> {
                if (done.isSuccess()) {
                    attempt.written = true;
                    pool.unwritten.remove(attempt);
                } else {
                    attempt.connectionLost();
                }
            });
            if (System.nanoTime() - checkedAt > MAX_WRITE_DELAY_NANOS) {
                attempt.end(Outcome.NEVER_SENT);
                return;
            }
            channel.flush();
        }

        void close() {
            pool.idle.remove(this);
            if (!complete) {
                releaseResponse();
            }
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (current == null
                    || current.ended
                    || complete
                    || message.decoderResult().isFailure()) {
                handleInvalidInput();
                return;
            }
            if (message instanceof HttpResponse response && !acceptHead(response)) {
                handleInvalidInput();
                return;
            }
            if (message instanceof HttpContent content && head != null) {
                if (!acceptContent(content)) {
                    handleInvalidInput();
                    return;
                }
                complete = message instanceof LastHttpContent;
            }
        }

        /** Collects a part of the body, or returns false if it is too large or there is no memory for it. */
        private boolean acceptContent(HttpContent content) {
            BodyBuffer.Result result = body.append(content.content());
            if (result == BodyBuffer.Result.NO_CAPACITY) {
                countBuffersFull();
            }
            return result == BodyBuffer.Result.APPENDED;
        }

        private void countBuffersFull() {
            counters.count(
                    EventCounters.Kind.BUFFERS_FULL,
                    () -> "responses: " + responseBudget.reservedBytes() + " of " + responseBudget.maxBytes()
                            + " bytes, " + share.reservedBytes() + " by this connection");
        }

        private void releaseResponse() {
            body.release();
            share.release(headBytes);
            headBytes = 0;
        }

        /**
         * Accepts a response's head, or returns false if it makes the response invalid. A response without a
         * length would end at the connection's end, where a truncated one looks complete.
         */
        private boolean acceptHead(HttpResponse response) {
            int code = response.status().code();
            if (code / 100 == 1) {
                return code != 101 && ++interimResponses <= MAX_INTERIM_RESPONSES;
            }
            HttpHeaders receivedHeaders = response.headers();
            boolean hasLength = receivedHeaders.contains(HttpHeaderNames.TRANSFER_ENCODING)
                    ? Headers.isChunkedOnly(response)
                    : HttpUtil.getContentLength(response, -1L) >= 0;
            if (!hasLength && code != 204 && code != 304
                    || HttpUtil.getContentLength(response, 0L) > MAX_RESPONSE_BYTES) {
                return false;
            }
            try {
                headers = new DefaultHttpHeaders();
                Headers.copyEndToEnd(receivedHeaders, headers);
            } catch (IllegalArgumentException e) {
                return false;
            }
            int bytes = Headers.memoryBytes(receivedHeaders.iteratorCharSequence());
            if (!share.tryReserve(bytes)) {
                countBuffersFull();
                return false;
            }
            headBytes += bytes;
            head = response;
            return true;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!complete) {
                return;
            }
            Http1Attempt attempt = current;
            HttpResponse response = head;
            Outcome outcome = attempt.written || response.status().code() != 200 ? outcomeOf(response) : Outcome.ERROR;
            byte[] completeBody = body.trimmedBytes();
            float[] load = loadReports.read(
                    response.headers().get(LoadReports.HEADER),
                    attempt.request.uri(),
                    () -> new String(completeBody, StandardCharsets.UTF_8));
            UpstreamResponse upstreamResponse =
                    outcome == Outcome.OK ? new UpstreamResponse(headers, completeBody) : null;
            if (decoder.hasPartialResponse()) {
                settlePeriod.unsolicitedDataReceived(System.nanoTime());
            }
            boolean reusable = HttpUtil.isKeepAlive(response)
                    && attempt.written
                    && generation == pool.generation
                    && !unsolicitedData
                    && !decoder.hasPartialResponse()
                    && channel.isActive();
            current = null;
            head = null;
            headers = null;
            complete = false;
            // From here on the response counts where it is written to the client, before anything else is read.
            releaseResponse();
            if (reusable) {
                readAt = System.nanoTime();
                idleSince = MonitoredIoHandler.arrivedAfter();
                pool.idle.addLast(this);
            } else {
                close();
            }
            attempt.complete(outcome, upstreamResponse, load);
        }

        /** Handles invalid or unsolicited input. A response that is already complete stays valid. */
        private void handleInvalidInput() {
            if (complete || current == null || current.ended) {
                settlePeriod.unsolicitedDataReceived(System.nanoTime());
            }
            if (complete) {
                unsolicitedData = true;
            } else if (current != null) {
                current.end(Outcome.ERROR);
            }
            if (!complete) {
                close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            handleDisconnect();
            releaseResponse();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException) {
                handleInvalidInput();
            } else {
                if (!(cause instanceof IOException)) {
                    System.err.println("upstream " + pool.address + ": " + cause);
                }
                handleDisconnect();
            }
        }

        private void handleDisconnect() {
            close();
            if (current != null) {
                current.connectionLost();
            }
        }
    }

    private static Outcome outcomeOf(HttpResponse response) {
        return ResponseClassifier.outcomeOf(
                response.status().code(), "1".equals(response.headers().get(ResponseClassifier.DECLINED_HEADER)));
    }
}
