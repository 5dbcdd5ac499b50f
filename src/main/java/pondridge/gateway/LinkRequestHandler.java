package pondridge.gateway;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import pondridge.Balancer.RetrySemantics;
import pondridge.core.AttemptSummary;
import pondridge.core.BufferBudget;
import pondridge.core.Client;
import pondridge.core.ConnectionState;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.SocketMonitor;
import pondridge.core.UpstreamResponse;

/**
 * Handles the requests of other sites' gateways. A request is accepted if the peer's site is authenticated,
 * the request came over one link and not too late, and there is credit. Responses state whether a request was
 * proven not to have executed; every rejection before processing does. On the event loop only.
 */
final class LinkRequestHandler {
    /** Shortest time between two halvings of a site's credit. */
    private static final long CREDIT_HALVING_INTERVAL_NANOS = 200_000_000;

    private static final int MAX_WAITERS_PER_RUN = 8;

    /** The part of a response that is cached. */
    private record CachedResponse(HttpHeaders headers, byte[] body) {}

    private final GatewaySettings.Link link;
    private final LongSupplier clock;
    private final LinkListener listener;
    private final Set<String> sites;
    private final Dispatcher dispatcher;
    private final JobReader reader;
    private final EchoedTimestamps timestamps;
    private final Log log;
    private final IdempotencyCache<Exchange, CachedResponse> idempotencyCache;
    private final Map<String, CreditControl> credits = new HashMap<>();
    private final SiteStateReports stateReports = new SiteStateReports();
    private long deduplicated;
    private boolean draining;

    LinkRequestHandler(
            EventLoop loop,
            GatewaySettings.Link link,
            BufferBudget processBudget,
            LinkTls tls,
            Set<String> sites,
            Dispatcher dispatcher,
            JobReader reader,
            long epoch,
            Log log,
            LongSupplier clock) {
        this.link = link;
        this.clock = clock;
        this.listener = new LinkListener(loop, link, processBudget, tls, log, clock, Exchange::new);
        this.sites = sites;
        this.dispatcher = dispatcher;
        this.reader = reader;
        this.timestamps = new EchoedTimestamps(epoch, link.maxDeliveryNanos());
        this.log = log;
        this.idempotencyCache =
                new IdempotencyCache<>(link.maxCachedResponses(), link.maxCachedResponseBytes(), MAX_WAITERS_PER_RUN);
    }

    ChannelFuture listen() {
        return listener.listen();
    }

    private CreditControl credit(String site) {
        return credits.computeIfAbsent(
                site,
                each -> new CreditControl(link.maxCreditPerSite(), CREDIT_HALVING_INTERVAL_NANOS, clock.getAsLong()));
    }

    /** Requests that were not run because the same request had run or was running. */
    long deduplicated() {
        return deduplicated;
    }

    int cachedResponses() {
        return idempotencyCache.size();
    }

    long cachedBytes() {
        return idempotencyCache.bytes();
    }

    long bufferedBytes() {
        return listener.bufferedBytes();
    }

    int connectionCount() {
        return listener.connectionCount();
    }

    /** Reduces the credit of other sites because local clients miss their deadlines. */
    void onLocalOverload() {
        credits.values().forEach(credit -> credit.localClientsOverloaded(clock.getAsLong()));
    }

    /** From now on rejects new requests unprocessed and grants no credit in heartbeat responses. */
    void drain() {
        draining = true;
    }

    void close() {
        listener.close();
    }

    /** One stream: a heartbeat, or a request and its response. */
    private final class Exchange extends SimpleChannelInboundHandler<FullHttpRequest> implements Client {
        private final BufferBudget.ConnectionShare share;
        private Channel stream;
        private String site;
        private String cacheKey;
        private long responseTtlNanos;
        private boolean holdsCredit;
        private boolean runsToEnd;
        private boolean responded;
        private AttemptSummary lastAttempts = new AttemptSummary(0, 0, false);
        private long requestId;

        Exchange(BufferBudget.ConnectionShare share) {
            this.share = share;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            stream = context.channel();
            long now = clock.getAsLong();
            HttpHeaders headers = request.headers();
            site = headers.get(LinkHeaders.SITE, "");
            SslHandler tlsHandler = stream.parent().pipeline().get(SslHandler.class);
            if (!sites.contains(site) || tlsHandler != null && !LinkTls.certificateNames(tlsHandler, site)) {
                reject("site", "claims to be site \"" + site + '"');
                return;
            }
            if (!LinkHeaders.SUPPORTED_VERSION.equals(headers.get(LinkHeaders.VERSION))) {
                reject("version", "unsupported version " + headers.get(LinkHeaders.VERSION));
            } else if (request.uri().equals(LinkHeaders.HEARTBEAT_PATH)) {
                respond(
                        HttpResponseStatus.OK,
                        new byte[0],
                        new DefaultHttpHeaders()
                                .set(
                                        LinkHeaders.PEER_STATES,
                                        stateReports
                                                .recordAndCount(site, headers.get(LinkHeaders.SITE_STATE), now)
                                                .toHeader()));
            } else if (!"1".equals(headers.get(LinkHeaders.HOPS))) {
                reject("loop", "a request has passed " + headers.get(LinkHeaders.HOPS) + " links");
            } else if (!timestamps.isFresh(headers.get(LinkHeaders.TIMESTAMP), now)) {
                reject("stale", "a request was on its way for longer than the link allows");
            } else if (draining) {
                reject("draining", "this gateway is shutting down");
            } else if (!share.hasCapacity()) {
                reject("unread", "the peer does not read its responses");
            } else if (!credit(site).tryTake()) {
                reject("credit", "no credit left");
            } else {
                holdsCredit = true;
                process(request);
            }
        }

        private void process(FullHttpRequest request) {
            Job job;
            try {
                long timeLeftNanos = JobReader.parseNumber(request.headers(), LinkHeaders.TIME_LEFT) * 1_000_000;
                HttpHeaders headers = request.headers().copy();
                headers.names().stream()
                        .filter(name -> name.startsWith(LinkHeaders.PREFIX) || name.startsWith("x-http2-"))
                        .forEach(headers::remove);
                job = reader.read(request.method(), request.uri(), headers)
                        .withBody(ByteBufUtil.getBytes(request.content()));
                job = job.withTimeLeft(Math.min(timeLeftNanos, job.clientTimeoutMillis() * 1_000_000))
                        .aged(SocketMonitor.dataAgeNanos(stream.parent()));
            } catch (IllegalArgumentException e) {
                log.warn("link_request", site, e.getMessage());
                respond(HttpResponseStatus.BAD_REQUEST, new byte[0], null);
                return;
            }
            if (reader.requestClass(job).retrySemantics() != RetrySemantics.BY_KEY) {
                requestId = dispatcher.submitFromLink(job, this);
                return;
            }
            // A keyed request runs to its end even if all waiters have disconnected, so that the repeat gets
            // its response.
            runsToEnd = true;
            String key = job.requestClass() + "/" + job.tenant() + '/'
                    + job.headers().get(JobReader.IDEMPOTENCY_KEY_HEADER);
            responseTtlNanos = reader.requestClass(job).keyTtlNanos();
            switch (idempotencyCache.admit(key, digest(job), this, clock.getAsLong())) {
                case RUN -> {
                    cacheKey = key;
                    dispatcher.submitFromLink(job, this);
                }
                case RUN_UNCACHED -> {
                    log.warn(
                            "link_memory",
                            site,
                            "the idempotency cache is full of running requests; running without it");
                    dispatcher.submitFromLink(job, this);
                }
                case REPLAY -> replay(idempotencyCache.response(key));
                case JOINED -> deduplicated++;
                default -> {
                    log.warn("link_conflict", site, "the key belongs to a different request, or too many wait for it");
                    reject("conflict", "key " + job.headers().get(JobReader.IDEMPOTENCY_KEY_HEADER));
                }
            }
        }

        private void replay(CachedResponse cached) {
            deduplicated++;
            FullHttpResponse response = newResponse(HttpResponseStatus.OK, cached.body);
            response.headers().add(cached.headers);
            response.headers().set(LinkHeaders.REPLAYED, "1");
            send(response, false);
        }

        @Override
        public long unreadNanos() {
            return runsToEnd ? 0 : SocketMonitor.unreadNanos(stream.parent());
        }

        @Override
        public ConnectionState connectionState(boolean readSocket) {
            if (runsToEnd) {
                return ConnectionState.OPEN;
            }
            ConnectionState state = SocketMonitor.connectionState(stream.parent(), readSocket);
            return stream.isActive() ? state : ConnectionState.CLOSED;
        }

        @Override
        public void reportAttempts(AttemptSummary attempts) {
            lastAttempts = attempts;
        }

        @Override
        public void served(UpstreamResponse response) {
            List<Exchange> waiters =
                    completeRun(new CachedResponse(response.headers(), response.body()), response.body().length);
            waiters.forEach(each -> each.respond(HttpResponseStatus.OK, response.body(), response.headers()));
        }

        @Override
        public void refused(long retryAfterNanos) {
            completeRun(null, 0).forEach(each -> each.respondUnserved(lastAttempts));
        }

        @Override
        public void failed() {
            completeRun(null, 0).forEach(each -> each.respondUnserved(lastAttempts));
        }

        /** Completes the run and returns all exchanges that wait for it, this one included if it does. */
        private List<Exchange> completeRun(CachedResponse cached, int sizeBytes) {
            return cacheKey == null
                    ? List.of(this)
                    : idempotencyCache.complete(cacheKey, cached, sizeBytes, responseTtlNanos, clock.getAsLong());
        }

        private void respondUnserved(AttemptSummary attempts) {
            if (attempts.mayHaveRun()) {
                respond(HttpResponseStatus.BAD_GATEWAY, new byte[0], null);
            } else {
                FullHttpResponse response = newResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
                response.headers().set(LinkHeaders.NOT_EXECUTED, "1");
                send(response, attempts.responsesReceived() > 0 || attempts.attemptsSent() == 0);
            }
        }

        private void reject(String reason, String detail) {
            log.warn("link_turned_away_" + reason, site, detail);
            FullHttpResponse response = newResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            response.headers().set(LinkHeaders.NOT_EXECUTED, "1");
            send(response, false);
        }

        private void respond(HttpResponseStatus status, byte[] body, HttpHeaders headers) {
            FullHttpResponse response = newResponse(status, body);
            if (headers != null) {
                response.headers().add(headers);
            }
            send(response, false);
        }

        private FullHttpResponse newResponse(HttpResponseStatus status, byte[] body) {
            return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        }

        private void send(FullHttpResponse response, boolean rejectedByLocalSite) {
            if (responded) {
                response.release();
                return;
            }
            responded = true;
            long now = clock.getAsLong();
            if (holdsCredit) {
                credit(site).requestEnded(rejectedByLocalSite, now);
            }
            HttpUtil.setContentLength(response, response.content().readableBytes());
            response.headers().set(LinkHeaders.VERSION, LinkHeaders.SUPPORTED_VERSION);
            if (sites.contains(site)) {
                response.headers()
                        .set(LinkHeaders.TIMESTAMP, timestamps.issue(now))
                        .set(LinkHeaders.CREDIT, draining ? 0 : credit(site).credit());
            }
            int sizeBytes = response.content().readableBytes();
            share.reserve(sizeBytes);
            ChannelFuture written = stream.writeAndFlush(response);
            Future<?> timeout = written.isDone()
                    ? null
                    : stream.eventLoop()
                            .schedule(this::resetUnreadResponse, link.transferTimeoutNanos(), TimeUnit.NANOSECONDS);
            written.addListener(done -> {
                share.release(sizeBytes);
                if (timeout != null) {
                    timeout.cancel(false);
                }
            });
        }

        /**
         * The response has waited too long for the peer's flow-control window. Closing the stream would leave
         * the response in the codec, which counts its end as sent; a reset removes it.
         */
        private void resetUnreadResponse() {
            log.warn("link_unread", site, "the peer did not read a response within the transfer timeout");
            stream.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (requestId != 0 && !responded) {
                responded = true;
                credit(site).requestEnded(false, clock.getAsLong());
                dispatcher.clientDisconnected(requestId);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** A digest of all that identifies a request: method, URI and body. */
    private static String digest(Job job) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((job.method().name() + ' ' + job.uri() + '\n').getBytes(StandardCharsets.UTF_8));
            digest.update(job.body());
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
