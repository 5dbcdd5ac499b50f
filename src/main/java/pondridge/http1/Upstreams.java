package pondridge.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
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
import pondridge.Options;
import pondridge.core.Answer;
import pondridge.core.Evidence;
import pondridge.core.Headers;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Transport;

/**
 * Connections to upstreams and the attempts on them. An attempt is written once, on one connection, and ends
 * with one outcome; nothing is sent again from here.
 */
public final class Upstreams implements Transport {
    /** Good answers of 350 KB have been seen, beyond the protocol's 64 KiB; a bound keeps the memory free. */
    private static final int LARGEST_ANSWER = 1 << 20;
    /** Some answers come behind interim ones; more than a few are no way to an answer. */
    private static final int MOST_INTERIM = 16;

    private static final long PROBE_TIMEOUT = 250_000_000;
    private static final AsciiString DEADLINE = AsciiString.cached("Req-Deadline-Ms");
    /** However soon upstreams close: the loop must have time for anything else. */
    private static final long SHORTEST_SWEEP = 5_000_000;
    /**
     * A second answer may come some milliseconds behind the first. Where such things have been seen lately, a
     * connection carries nothing new for so long after an answer: what is on its way would pass for the next
     * one. Elsewhere that would only cost connections.
     */
    private static final long SETTLING = 25_000_000;

    private static final long WARY = 60_000_000_000L;

    private final EventLoop loop;
    private final int connectTimeoutMs;
    private final long keepIdle;
    private final int mostConnections;
    private final LoadReports reports;
    private final Map<Long, Pool> pools = new HashMap<>();
    /** Stands for every upstream that is not listed. */
    private final Pool nobody = new Pool();

    private final Future<?> retirement;
    private int connections;
    /** When something came that was not asked for; 0 if nothing has. */
    private long strayAt;

    /** Holds at most {@code mostConnections} connections in all; time-outs come from the settings. */
    public Upstreams(EventLoop loop, Options options, int mostConnections) {
        this.loop = loop;
        this.connectTimeoutMs = Math.max(1, (int) (options.number("caps.connectTimeout", 1e9) / 1e6));
        // An upstream closes at its idle time; a tenth before it, no request can cross that on its way.
        this.keepIdle = (long) (options.number("caps.connIdle", 5e9) * 0.9);
        this.mostConnections = mostConnections;
        this.reports = new LoadReports(options);
        long sweep = Math.max(SHORTEST_SWEEP, keepIdle / 20);
        retirement = loop.scheduleWithFixedDelay(this::retire, sweep, sweep, TimeUnit.NANOSECONDS);
    }

    /**
     * Takes over what the list says of an upstream. Once it is no longer ready, nothing not yet written goes
     * there: who waits for a connection is told that none came, idle connections are closed. The same holds
     * for connections to a process that has started anew since, or to another address, also once they come
     * up or have answered: a machine that vanished has not ended them, and what is written to them would
     * count as perhaps run.
     */
    @Override
    public void listed(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        Pool pool = pools.computeIfAbsent(upstream, id -> new Pool());
        if (!address.equals(pool.address) || startedMs > pool.startedMs) {
            pool.address = address;
            pool.startedMs = startedMs;
            pool.renew();
        }
        if (ready) {
            pool.ready = true;
        } else {
            pool.shut();
        }
    }

    @Override
    public void gone(long upstream) {
        Pool pool = pools.remove(upstream);
        if (pool != null) {
            pool.shut();
        }
    }

    @Override
    public Attempt send(long upstream, Job job, long wait, Listener listener) {
        return send(upstream, message(job), wait, listener);
    }

    private static FullHttpRequest message(Job job) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, job.method(), job.uri(), Unpooled.wrappedBuffer(job.body()));
        Headers.copyEndToEnd(job.headers(), request.headers());
        // The time left is set when it is written: the connection may come up late.
        request.headers().set(DEADLINE, 0);
        if (!job.method().equals(HttpMethod.GET) || job.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, job.body().length);
        }
        return request;
    }

    private Sending send(long upstream, FullHttpRequest request, long wait, Listener listener) {
        Pool pool = pools.getOrDefault(upstream, nobody);
        Sending attempt = new Sending(pool, request, listener, System.nanoTime() + wait);
        attempt.timer = loop.schedule(attempt::late, wait, TimeUnit.NANOSECONDS);
        pool.unwritten.add(attempt);
        Connection idle = pool.ready ? pool.take(System.nanoTime()) : null;
        if (pool.ready && idle == null && connections >= mostConnections) {
            idle = pool.takeUnsettled();
        }
        if (!pool.ready) {
            attempt.end(Outcome.CONNECT_FAILED);
        } else if (idle != null) {
            idle.write(attempt);
        } else if (connections >= mostConnections && !closeLongestIdle()) {
            attempt.end(Outcome.NEVER_SENT);
        } else {
            new Connection(pool).open(attempt);
        }
        return attempt;
    }

    @Override
    public void probe(long upstream, Listener listener) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, reports.probePath());
        request.headers().set(HttpHeaderNames.HOST, "app.svc");
        send(upstream, request, PROBE_TIMEOUT, listener);
    }

    @Override
    public void closeIdle(long upstream) {
        Pool pool = pools.get(upstream);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    /** Closes all idle connections and keeps no more watch on them. */
    public void close() {
        retirement.cancel(false);
        pools.values().forEach(Pool::closeIdle);
    }

    /** Makes room for a connection where it is needed; false if every one is in use. */
    private boolean closeLongestIdle() {
        Connection longest = null;
        for (Pool pool : pools.values()) {
            Connection first = pool.idle.peekFirst();
            if (first != null && (longest == null || first.idleSince < longest.idleSince)) {
                longest = first;
            }
        }
        if (longest != null) {
            longest.close();
        }
        return longest != null;
    }

    private void retire() {
        long now = System.nanoTime();
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && now - pool.idle.peekFirst().idleSince > keepIdle) {
                pool.idle.pollFirst().close();
            }
        }
    }

    /** One upstream's connections; the least lately used idle one comes first. */
    private final class Pool {
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private final Set<Sending> unwritten = new LinkedHashSet<>();
        private InetSocketAddress address;
        private long startedMs;
        private boolean ready;
        /** How often another process has taken the place of the one before. */
        private int renewals;

        /**
         * The one used last that has settled. Not one that is beyond its time: where the loop stood still the
         * upstream closes it before the sweep does, and what is written to it counts as perhaps run.
         */
        Connection take(long now) {
            long settling = strayAt != 0 && now - strayAt < WARY ? SETTLING : 0;
            for (Iterator<Connection> each = idle.descendingIterator(); each.hasNext(); ) {
                Connection next = each.next();
                if (now - next.idleSince >= keepIdle) {
                    return null;
                }
                if (now - next.idleSince < settling) {
                    continue;
                }
                each.remove();
                if (!next.decoder.holds()) {
                    return next;
                }
                // More has come there than was asked for.
                next.close();
            }
            return null;
        }

        /** Where no more connections may be made: the one that has settled longest, or null. */
        Connection takeUnsettled() {
            Connection first = idle.pollFirst();
            while (first != null && first.decoder.holds()) {
                first.close();
                first = idle.pollFirst();
            }
            return first;
        }

        /** Nothing not yet written goes there any more. */
        void shut() {
            ready = false;
            renew();
        }

        /** Nothing more goes to who was there until now. */
        void renew() {
            renewals++;
            closeIdle();
            for (Sending attempt : List.copyOf(unwritten)) {
                attempt.end(Outcome.CONNECT_FAILED);
            }
        }

        void closeIdle() {
            while (!idle.isEmpty()) {
                idle.pollFirst().close();
            }
        }
    }

    /** One sending of a request. Until its last byte is written it has never run; after that it may have. */
    private final class Sending implements Attempt {
        private final Pool pool;
        private final FullHttpRequest request;
        private final Listener listener;
        /** By {@link System#nanoTime}: from then on nobody waits for its answer. */
        private final long until;

        private Connection connection;
        private Future<?> timer;
        private boolean written;
        private boolean over;

        Sending(Pool pool, FullHttpRequest request, Listener listener, long until) {
            this.pool = pool;
            this.request = request;
            this.listener = listener;
            this.until = until;
        }

        /** Danger: told what was left when it was ordered, an upstream works on after nobody waits. */
        private void tellTimeLeft() {
            if (request.headers().contains(DEADLINE)) {
                request.headers().set(DEADLINE, Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
        }

        /** Closes its connection as well. */
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

        private void late() {
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        private void broken() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }

        /** Ends it without an answer, unless it has ended before; its connection is of no further use. */
        private void end(Outcome outcome) {
            if (!over) {
                // First: closing one that is coming up tells its end at once, as if none had come.
                over = true;
                if (connection != null) {
                    connection.close();
                }
                end(outcome, null, LoadReports.NONE);
            }
        }

        private void end(Outcome outcome, Answer answer, float[] load) {
            over = true;
            timer.cancel(false);
            pool.unwritten.remove(this);
            listener.ended(outcome, answer, load);
        }
    }

    /**
     * Reads answers. What can't be one is told at its first bytes: left to itself the decoder skips control
     * characters and waits for the end of a line that may never come.
     */
    private static final class Decoder extends HttpResponseDecoder {
        private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
        private boolean begun;

        /** Headers are looked at later: a load report may hold anything and spoils only itself. */
        Decoder() {
            super(new HttpDecoderConfig().setValidateHeaders(false));
        }

        /** Whether something has come that is no whole answer yet: also lines that have been read already. */
        boolean holds() {
            return begun || actualReadableBytes() > 0;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
            if (!begun) {
                int known = Math.min(START.length, in.readableBytes());
                for (int i = 0; i < known; i++) {
                    if (in.getByte(in.readerIndex() + i) != START[i]) {
                        throw new CorruptedFrameException("no answer");
                    }
                }
                if (known < START.length) {
                    return;
                }
                begun = true;
            }
            super.decode(context, in, out);
            if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
                begun = false;
            }
        }

        /** In an answer the decoder takes a line of words without a colon for a header with no value. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (start + length >= line.length || line[start + length] != ':') {
                throw new CorruptedFrameException("no colon");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new CorruptedFrameException("two lengths");
        }
    }

    /**
     * One connection, one request at a time. An answer counts once all that came with it has been read: only
     * then is it known whether more has come than was asked for, and whether the next request may follow.
     */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Pool pool;
        private final Decoder decoder = new Decoder();
        private final int renewals;
        private Channel channel;
        private Sending current;
        private long idleSince;
        private HttpResponse head;
        private HttpHeaders headers;
        private ByteArrayOutputStream body;
        private int interim;
        private boolean whole;
        private boolean soiled;

        Connection(Pool pool) {
            this.pool = pool;
            this.renewals = pool.renewals;
        }

        void open(Sending first) {
            current = first;
            first.connection = this;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            channel = made;
                            connections++;
                            made.closeFuture().addListener(closed -> connections--);
                            made.pipeline().addLast(new HttpRequestEncoder(), decoder, Connection.this);
                        }
                    })
                    .connect(pool.address)
                    .addListener(done -> {
                        if (channel == null) {
                            // No socket could be made, which is no fault of the upstream's; told elsewhere.
                            loop.execute(() -> first.end(Outcome.NEVER_SENT));
                        } else if (!done.isSuccess()) {
                            first.broken();
                        } else if (first.over) {
                            close();
                        } else {
                            write(first);
                        }
                    });
        }

        void write(Sending attempt) {
            current = attempt;
            attempt.connection = this;
            interim = 0;
            if (!attempt.listener.wanted()) {
                attempt.end(Outcome.NEVER_SENT);
                return;
            }
            attempt.tellTimeLeft();
            channel.writeAndFlush(attempt.request).addListener(done -> {
                if (done.isSuccess()) {
                    attempt.written = true;
                    pool.unwritten.remove(attempt);
                } else {
                    attempt.broken();
                }
            });
        }

        void close() {
            pool.idle.remove(this);
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (current == null
                    || current.over
                    || whole
                    || message.decoderResult().isFailure()) {
                spoilt();
                return;
            }
            if (message instanceof HttpResponse response && !begin(response)) {
                spoilt();
                return;
            }
            if (message instanceof HttpContent content && head != null) {
                ByteBuf bytes = content.content();
                if (body.size() + bytes.readableBytes() > LARGEST_ANSWER) {
                    spoilt();
                    return;
                }
                body.writeBytes(ByteBufUtil.getBytes(bytes));
                whole = message instanceof LastHttpContent;
            }
        }

        /**
         * Looks at an answer's head; false if it spoils the answer. One that says nowhere where it ends goes
         * on until the connection does, and a cut would pass as its end.
         */
        private boolean begin(HttpResponse response) {
            int code = response.status().code();
            if (code / 100 == 1) {
                return code != 101 && ++interim <= MOST_INTERIM;
            }
            HttpHeaders given = response.headers();
            boolean bounded = given.contains(HttpHeaderNames.TRANSFER_ENCODING)
                    ? Headers.onlyChunked(response)
                    : HttpUtil.getContentLength(response, -1L) >= 0;
            if (!bounded && code != 204 && code != 304 || HttpUtil.getContentLength(response, 0L) > LARGEST_ANSWER) {
                return false;
            }
            try {
                headers = new DefaultHttpHeaders();
                Headers.copyEndToEnd(given, headers);
            } catch (IllegalArgumentException e) {
                return false;
            }
            head = response;
            body = new ByteArrayOutputStream((int) HttpUtil.getContentLength(response, 1024L));
            return true;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!whole) {
                return;
            }
            Sending attempt = current;
            HttpResponse response = head;
            Outcome outcome = attempt.written || response.status().code() != 200 ? outcome(response) : Outcome.ERROR;
            ByteArrayOutputStream came = body;
            float[] load = reports.read(
                    response.headers().get(LoadReports.HEADER),
                    attempt.request.uri(),
                    () -> came.toString(StandardCharsets.UTF_8));
            Answer answer = outcome == Outcome.OK ? new Answer(headers, body.toByteArray()) : null;
            strayAt = decoder.holds() ? System.nanoTime() : strayAt;
            boolean reusable = HttpUtil.isKeepAlive(response)
                    && attempt.written
                    && renewals == pool.renewals
                    && !soiled
                    && !decoder.holds()
                    && channel.isActive();
            current = null;
            head = null;
            headers = null;
            body = null;
            whole = false;
            if (reusable) {
                idleSince = System.nanoTime();
                pool.idle.addLast(this);
            } else {
                close();
            }
            attempt.end(outcome, answer, load);
        }

        /** Something came that is no answer or not asked for. What is whole already stays good. */
        private void spoilt() {
            if (whole || current == null || current.over) {
                strayAt = System.nanoTime();
            }
            if (whole) {
                soiled = true;
            } else if (current != null) {
                current.end(Outcome.ERROR);
            }
            if (!whole) {
                close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException) {
                spoilt();
            } else {
                if (!(cause instanceof IOException)) {
                    System.err.println("upstream " + pool.address + ": " + cause);
                }
                lost();
            }
        }

        private void lost() {
            close();
            if (current != null) {
                current.broken();
            }
        }
    }

    private static Outcome outcome(HttpResponse response) {
        return Evidence.ofAnswer(
                response.status().code(), "1".equals(response.headers().get(Evidence.DECLINED)));
    }
}
