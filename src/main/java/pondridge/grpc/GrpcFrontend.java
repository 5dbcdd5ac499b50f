package pondridge.grpc;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolConfig.Protocol;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectedListenerFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectorFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pondridge.BalancerOptions;
import pondridge.core.AttemptSummary;
import pondridge.core.BodyBuffer;
import pondridge.core.BufferBudget;
import pondridge.core.BufferBudgets;
import pondridge.core.Client;
import pondridge.core.ConnectionState;
import pondridge.core.Headers;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.RequestIds;
import pondridge.core.RequestProcessor;
import pondridge.core.SocketMonitor;
import pondridge.core.UpstreamResponse;
import pondridge.http2.Http2Server;

/**
 * Front end for gRPC clients. It accepts unary calls of the configured methods; each call becomes one request.
 * Other methods are UNIMPLEMENTED, since it is unknown whether they may be executed twice. Used on the event
 * loop only.
 */
public final class GrpcFrontend {
    /** ALPN over TLS: HTTP/2 is the only protocol. */
    static final ApplicationProtocolConfig ALPN = new ApplicationProtocolConfig(
            Protocol.ALPN,
            SelectorFailureBehavior.NO_ADVERTISE,
            SelectedListenerFailureBehavior.ACCEPT,
            ApplicationProtocolNames.HTTP_2);

    private static final AsciiString STATUS = AsciiString.cached("grpc-status");
    private static final AsciiString MESSAGE = AsciiString.cached("grpc-message");
    private static final AsciiString PUSHBACK = AsciiString.cached("grpc-retry-pushback-ms");
    private static final AsciiString GRPC_CONTENT_TYPE = AsciiString.cached("application/grpc");
    private static final String HEALTH_CHECK_PATH = "/grpc.health.v1.Health/Check";
    private static final byte[] SERVING = {8, 1};
    private static final byte[] NOT_SERVING = {8, 2};
    private static final int PREFIX_BYTES = 5;

    private final GrpcSettings settings;
    private final MethodTable methods;
    private final JobReader reader;
    private final RequestProcessor requests;
    private final Http2Server server;
    private final RequestIds requestIds;
    private int openRequests;
    private final String runId;
    private long lastGeneratedId;
    private boolean ready;

    /** Creates a front end with the whole process's memory for messages in transit to itself. */
    public GrpcFrontend(
            EventLoop loop,
            GrpcSettings settings,
            BalancerOptions platform,
            RequestProcessor requests,
            String runId,
            Http2Server.Events events) {
        this(loop, settings, platform, requests, BufferBudgets.ofThisProcess().total(), runId, events);
    }

    /**
     * Creates a front end that does not listen yet.
     *
     * @param processBudget the process's memory for messages in transit; the settings limit the part of it
     * @param runId identifies this run of the program in generated request IDs
     */
    public GrpcFrontend(
            EventLoop loop,
            GrpcSettings settings,
            BalancerOptions platform,
            RequestProcessor requests,
            BufferBudget processBudget,
            String runId,
            Http2Server.Events events) {
        this.settings = settings;
        this.methods = settings.methodTable(platform);
        this.reader = new JobReader(platform);
        this.requestIds = new RequestIds(platform.settings().classes());
        this.requests = requests;
        this.runId = runId;
        this.server = new Http2Server(
                loop,
                new Http2Server.Limits(
                        settings.listenAddress(),
                        settings.maxConnections(),
                        settings.maxStreamsPerConnection(),
                        settings.idleTimeoutNanos(),
                        settings.maxHeaderBytes(),
                        settings.controlFramesPerSecond(),
                        settings.maxBufferedBytes(),
                        settings.maxAgeNanos(),
                        settings.drainTimeoutNanos()),
                processBudget,
                "grpc",
                settings.tls() == null ? null : channel -> settings.tls().newHandler(channel.alloc()),
                events,
                System::nanoTime,
                (stream, share) -> stream.pipeline().addLast(new Call(stream, share)));
    }

    /** Starts to listen; health checks report NOT_SERVING until {@link #setReady}. */
    public ChannelFuture listen() {
        return server.listen();
    }

    /** Sets what health checks report; calls are accepted in either state, as over HTTP/1.1. */
    public void setReady(boolean ready) {
        this.ready = ready;
    }

    /** Asks all clients to close their connections and reports NOT_SERVING; new calls are still accepted. */
    public void drain() {
        ready = false;
        server.drainConnections();
    }

    /** The number of open client connections. */
    public int connectionCount() {
        return server.connectionCount();
    }

    /** Whether no call is in flight. */
    public boolean isIdle() {
        return openRequests == 0;
    }

    /** Accepts no more connections. */
    public void close() {
        server.stopAccepting();
    }

    /** A stream, which carries one unary call. */
    private final class Call extends ChannelInboundHandlerAdapter implements Client {
        private final Channel stream;
        private final BufferBudget.ConnectionShare share;
        private final BodyBuffer body;
        private Future<?> timeout;
        private Http2Headers requestHeaders;
        private GrpcMethod method;
        private String requestId;
        private long reservedBytes;
        private long deadlineNanos;
        private long submissionId;
        private boolean complete;
        /** Whether the request may have had an attempt. */
        private boolean attempted = true;

        private boolean ended;

        Call(Channel stream, BufferBudget.ConnectionShare share) {
            this.stream = stream;
            this.share = share;
            this.body = new BodyBuffer(share, settings.classificationRules().maxMessageBytes() + PREFIX_BYTES);
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            timeout = stream.eventLoop()
                    .schedule(
                            () -> end(GrpcCode.CANCELLED, "the call did not come whole in time", 0),
                            settings.transferTimeoutNanos(),
                            TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            try {
                if (!ended && frame instanceof Http2HeadersFrame headers) {
                    if (requestHeaders != null) {
                        end(GrpcCode.INTERNAL, "trailers in a request", 0);
                        return;
                    }
                    requestHeaders = headers.headers();
                    if (reserveHeaders() && acceptHeaders() && headers.isEndStream()) {
                        onRequestComplete();
                    }
                } else if (!ended && frame instanceof Http2DataFrame data) {
                    receive(data);
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        /** Reserves the memory that the request headers hold; false where the call has been refused for lack of it. */
        private boolean reserveHeaders() {
            int bytes = Headers.memoryBytes(requestHeaders.iterator());
            if (!share.tryReserve(bytes)) {
                end(LocalStatus.refused(), "no room for the request's headers", 0);
                return false;
            }
            reservedBytes += bytes;
            return true;
        }

        /** Validates the request headers; false where the call has been ended. */
        private boolean acceptHeaders() {
            if (!ClassifiedResponse.isGrpc(requestHeaders.get(HttpHeaderNames.CONTENT_TYPE))
                    || !"POST".contentEquals(requestHeaders.method())) {
                finish(() -> stream.writeAndFlush(
                        new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().status("415"), true)));
                return false;
            }
            method = methods.forGrpcPath(requestHeaders.path());
            if (method == null && !HEALTH_CHECK_PATH.contentEquals(requestHeaders.path())) {
                end(GrpcCode.UNIMPLEMENTED, "no such method: " + requestHeaders.path(), 0);
                return false;
            }
            return true;
        }

        private void receive(Http2DataFrame data) {
            switch (body.append(data.content())) {
                case TOO_LARGE -> end(
                        GrpcCode.RESOURCE_EXHAUSTED,
                        "message larger than " + settings.classificationRules().maxMessageBytes() + " bytes",
                        0);
                case NO_CAPACITY -> end(LocalStatus.refused(), "no room for the message", 0);
                default -> {
                    if (data.isEndStream()) {
                        onRequestComplete();
                    }
                }
            }
        }

        /** Submits the call once its request has been received completely. */
        private void onRequestComplete() {
            complete = true;
            timeout.cancel(false);
            UnaryMessage.Decoded decoded = UnaryMessage.decode(
                    body.trimmedBytes(),
                    requestHeaders.get("grpc-encoding"),
                    settings.classificationRules().maxMessageBytes());
            if (decoded.message() == null) {
                end(decoded.code(), decoded.problem(), 0);
                return;
            }
            if (method == null) {
                respond(ready ? SERVING : NOT_SERVING, new DefaultHttpHeaders());
                return;
            }
            Job job;
            try {
                job = toJob(decoded.message()).aged(SocketMonitor.dataAgeNanos(stream.parent()));
            } catch (IllegalArgumentException e) {
                end(GrpcCode.INVALID_ARGUMENT, e.getMessage(), 0);
                return;
            }
            requestId = job.headers().get("Req-Id");
            if (!requestIds.open(requestId, System.nanoTime())) {
                requestId = null;
                end(GrpcCode.ALREADY_EXISTS, "the request's id is in use", 0);
                return;
            }
            openRequests++;
            deadlineNanos = System.nanoTime() + job.clientTimeoutMillis() * 1_000_000;
            submissionId = requests.submit(job, this);
        }

        /**
         * Converts the call to a request of the method's class.
         *
         * @throws IllegalArgumentException where the metadata is not valid for such a request
         */
        private Job toJob(byte[] message) {
            HttpHeaders headers = new DefaultHttpHeaders();
            for (Map.Entry<CharSequence, CharSequence> header : requestHeaders) {
                String name = header.getKey().toString();
                if (!name.startsWith(":")
                        && !name.startsWith("grpc-")
                        && !Headers.isHopByHop(name)
                        && !HttpHeaderNames.CONTENT_TYPE.contentEquals(name)
                        && !HttpHeaderNames.CONTENT_LENGTH.contentEquals(name)
                        && !name.startsWith("req-")) {
                    headers.add(name, header.getValue());
                }
            }
            moveMetadata(headers, settings.tenantMetadata(), "Req-Owner");
            moveMetadata(headers, settings.idempotencyKeyMetadata(), JobReader.IDEMPOTENCY_KEY_HEADER);
            moveMetadata(headers, settings.requestIdMetadata(), "Req-Id");
            if (!headers.contains("Req-Id")) {
                headers.set("Req-Id", "grpc-" + runId + '-' + ++lastGeneratedId);
            }
            headers.set("Req-Kind", method.className()).set(HttpHeaderNames.HOST, "app.svc");
            CharSequence grpcTimeout = requestHeaders.get("grpc-timeout");
            long timeLeftNanos = grpcTimeout == null ? Long.MAX_VALUE : GrpcTimeout.parse(grpcTimeout);
            if (timeLeftNanos < 0) {
                throw new IllegalArgumentException("not a grpc-timeout: " + grpcTimeout);
            }
            headers.set(
                    "Req-Deadline-Ms", Long.toString(Math.min(999_999_999, Math.max(1, timeLeftNanos / 1_000_000))));
            return reader.read(method.httpMethod(), method.requestTarget(message), headers)
                    .withBody(method.usesGet() ? new byte[0] : message);
        }

        /** Moves a metadata value to the header of the request that has the same meaning. */
        private void moveMetadata(HttpHeaders headers, String metadata, String name) {
            CharSequence value = requestHeaders.get(metadata);
            headers.remove(metadata);
            if (value != null) {
                headers.set(name, value);
            }
        }

        @Override
        public long unreadNanos() {
            return SocketMonitor.unreadNanos(stream.parent());
        }

        @Override
        public ConnectionState connectionState(boolean readSocket) {
            ConnectionState state = SocketMonitor.connectionState(stream.parent(), readSocket);
            return stream.isActive() ? state : ConnectionState.CLOSED;
        }

        @Override
        public void reportAttempts(AttemptSummary attempts) {
            attempted = attempts.attemptsSent() > 0;
        }

        @Override
        public void served(UpstreamResponse response) {
            String status = response.headers().get(GrpcUpstreamCodec.STATUS_HEADER);
            if (status != null) {
                Http2Headers trailersOnly = toHttp2Headers(response.headers())
                        .status("200")
                        .set(HttpHeaderNames.CONTENT_TYPE, GRPC_CONTENT_TYPE);
                trailersOnly.set(STATUS, status);
                if (response.headers().contains(GrpcUpstreamCodec.MESSAGE_HEADER)) {
                    trailersOnly.set(MESSAGE, response.headers().get(GrpcUpstreamCodec.MESSAGE_HEADER));
                }
                finish(() -> stream.writeAndFlush(new DefaultHttp2HeadersFrame(trailersOnly, true)));
                return;
            }
            respond(response.body(), response.headers());
        }

        @Override
        public void refused(long retryAfterNanos) {
            end(LocalStatus.refused(), "refused: nothing that a repeat would do twice", retryAfterNanos);
        }

        @Override
        public void failed() {
            end(LocalStatus.failed(deadlineNanos - System.nanoTime()), "failed: it may have run", 0);
        }

        /** Copies the headers that are neither of one hop nor set by this front end. */
        private static Http2Headers toHttp2Headers(HttpHeaders from) {
            Http2Headers headers = new DefaultHttp2Headers();
            for (Map.Entry<String, String> header : from) {
                AsciiString name = AsciiString.of(header.getKey()).toLowerCase();
                if (!name.startsWith("grpc-")
                        && !Headers.isHopByHop(name)
                        && !name.contentEquals(HttpHeaderNames.CONTENT_LENGTH)
                        && !name.contentEquals(HttpHeaderNames.CONTENT_TYPE)) {
                    headers.add(name, header.getValue());
                }
            }
            return headers;
        }

        /** Ends the call with a message and status OK. */
        private void respond(byte[] message, HttpHeaders headers) {
            Http2Headers responseHeaders = toHttp2Headers(headers)
                    .status("200")
                    .set(HttpHeaderNames.CONTENT_TYPE, GRPC_CONTENT_TYPE)
                    .set("grpc-accept-encoding", UnaryMessage.ACCEPTED_ENCODINGS);
            finish(() -> {
                stream.write(new DefaultHttp2HeadersFrame(responseHeaders));
                stream.write(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(MessageReader.frame(message))));
                return stream.writeAndFlush(new DefaultHttp2HeadersFrame(
                        new DefaultHttp2Headers().set(STATUS, GrpcCode.OK.number()), true));
            });
            share.reserve(message.length);
            reservedBytes += message.length;
        }

        /** Ends the call with a Trailers-Only response. */
        private void end(GrpcCode code, String text, long retryAfterNanos) {
            Http2Headers headers = new DefaultHttp2Headers()
                    .status("200")
                    .set(HttpHeaderNames.CONTENT_TYPE, GRPC_CONTENT_TYPE)
                    .set(STATUS, code.number())
                    .set(MESSAGE, LocalStatus.percentEncode(text));
            if (retryAfterNanos > 0) {
                headers.set(PUSHBACK, Long.toString(Math.max(1, retryAfterNanos / 1_000_000)));
            }
            finish(() -> stream.writeAndFlush(new DefaultHttp2HeadersFrame(headers, true)));
        }

        /** Ends the call, once, by writing its response. */
        private void finish(java.util.function.Supplier<ChannelFuture> write) {
            if (ended) {
                return;
            }
            ended = true;
            timeout.cancel(false);
            ChannelFuture written = write.get();
            // Resets a response that the client's flow-control window blocks for too long.
            timeout = stream.eventLoop()
                    .schedule(
                            () -> stream.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL)),
                            settings.transferTimeoutNanos(),
                            TimeUnit.NANOSECONDS);
            written.addListener(done -> {
                timeout.cancel(false);
                if (!complete) {
                    // The rest of the request is not needed (RFC 9113, section 8.1).
                    stream.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.NO_ERROR));
                }
            });
            releaseRequestId();
        }

        private void releaseRequestId() {
            if (requestId == null) {
                return;
            }
            openRequests--;
            if (attempted) {
                requestIds.endAfterAttempts(requestId, System.nanoTime());
            } else {
                requestIds.endWithoutAttempt(requestId);
            }
            requestId = null;
        }

        private void streamClosed() {
            if (!ended && submissionId != 0) {
                requests.clientDisconnected(submissionId);
            }
            ended = true;
            releaseRequestId();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            streamClosed();
            timeout.cancel(false);
            share.release(reservedBytes);
            reservedBytes = 0;
            body.release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
