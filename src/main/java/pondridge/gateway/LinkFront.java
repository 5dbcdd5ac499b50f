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
import pondridge.Balancer.Semantics;
import pondridge.core.Answer;
import pondridge.core.Client;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.Tried;
import pondridge.core.Unread;
import pondridge.http2.HeldBytes;

/**
 * Where other sites' gateways come in: takes what they send across, once it is sure who they are and that it
 * has not been on its way for too long, and answers with what is proven. All that it turns away unseen says
 * so. On the event loop only.
 */
final class LinkFront {
    /** A halving of a site's credit holds for a while before the next. */
    private static final long PAUSE = 200_000_000;

    private static final int MOST_JOINED = 8;

    /** What the far side keeps of an answer. */
    private record Kept(HttpHeaders headers, byte[] body) {}

    private final GatewaySettings.Link link;
    private final LongSupplier clock;
    private final LinkDoor door;
    private final Set<String> sites;
    private final Dispatcher dispatcher;
    private final JobReader reader;
    private final Stamps stamps;
    private final Log log;
    private final AnswerMemory<Visit, Kept> memory;
    private final Map<String, CreditControl> credits = new HashMap<>();
    private final Views views = new Views();
    private long repeats;
    private boolean draining;

    LinkFront(
            EventLoop loop,
            GatewaySettings.Link link,
            LinkTls tls,
            Set<String> sites,
            Dispatcher dispatcher,
            JobReader reader,
            long epoch,
            Log log,
            LongSupplier clock) {
        this.link = link;
        this.clock = clock;
        this.door = new LinkDoor(loop, link, tls, log, clock, Visit::new);
        this.sites = sites;
        this.dispatcher = dispatcher;
        this.reader = reader;
        this.stamps = new Stamps(epoch, link.freshness());
        this.log = log;
        this.memory = new AnswerMemory<>(link.answers(), link.answerBytes(), MOST_JOINED);
    }

    ChannelFuture listen() {
        return door.listen();
    }

    private CreditControl credit(String site) {
        return credits.computeIfAbsent(site, each -> new CreditControl(link.credit(), PAUSE, clock.getAsLong()));
    }

    /** Requests that were not run since the same one had run or was running. */
    long repeats() {
        return repeats;
    }

    int remembered() {
        return memory.size();
    }

    long rememberedBytes() {
        return memory.bytes();
    }

    long heldBytes() {
        return door.heldBytes();
    }

    int connections() {
        return door.connections();
    }

    /** The own clients suffer: other sites get less credit. */
    void pressed() {
        credits.values().forEach(credit -> credit.pressed(clock.getAsLong()));
    }

    /** From now on new requests are turned away unseen, and beats bring no credit. */
    void drain() {
        draining = true;
    }

    void close() {
        door.close();
    }

    /** One stream: a beat, or one request and its answer. */
    private final class Visit extends SimpleChannelInboundHandler<FullHttpRequest> implements Client {
        private final HeldBytes.Share share;
        private Channel stream;
        private String site;
        private String remembered;
        private long keep;
        private boolean counted;
        private boolean answered;
        private Tried tried = new Tried(0, 0, false);
        private long journey;

        Visit(HeldBytes.Share share) {
            this.share = share;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            stream = context.channel();
            long now = clock.getAsLong();
            HttpHeaders headers = request.headers();
            site = headers.get(LinkHeaders.SITE, "");
            SslHandler secure = stream.parent().pipeline().get(SslHandler.class);
            if (!sites.contains(site) || secure != null && !LinkTls.names(secure, site)) {
                turnAway("site", "says it is \"" + site + '"');
                return;
            }
            if (!LinkHeaders.SPOKEN.equals(headers.get(LinkHeaders.VERSION))) {
                turnAway("version", "speaks version " + headers.get(LinkHeaders.VERSION));
            } else if (request.uri().equals(LinkHeaders.BEAT)) {
                answer(
                        HttpResponseStatus.OK,
                        new byte[0],
                        new DefaultHttpHeaders()
                                .set(
                                        LinkHeaders.OTHERS,
                                        views.heard(site, headers.get(LinkHeaders.VIEW), now)
                                                .text()));
            } else if (!"1".equals(headers.get(LinkHeaders.HOPS))) {
                turnAway("loop", "a request has come by " + headers.get(LinkHeaders.HOPS) + " links");
            } else if (!stamps.fresh(headers.get(LinkHeaders.STAMP), now)) {
                turnAway("stale", "a request was on its way for too long");
            } else if (draining) {
                turnAway("draining", "this gateway is about to end");
            } else if (!share.room()) {
                turnAway("unread", "it does not take the answers it asked for");
            } else if (!credit(site).take()) {
                turnAway("credit", "no more requests are taken just now");
            } else {
                counted = true;
                take(request);
            }
        }

        private void take(FullHttpRequest request) {
            Job job;
            try {
                long left = JobReader.number(request.headers(), LinkHeaders.LEFT) * 1_000_000;
                HttpHeaders headers = request.headers().copy();
                headers.names().stream()
                        .filter(name -> name.startsWith(LinkHeaders.PREFIX) || name.startsWith("x-http2-"))
                        .forEach(headers::remove);
                job = reader.read(request.method(), request.uri(), headers)
                        .with(ByteBufUtil.getBytes(request.content()));
                job = job.within(Math.min(left, job.waitMs() * 1_000_000));
            } catch (IllegalArgumentException e) {
                log.warn("link_request", site, e.getMessage());
                answer(HttpResponseStatus.BAD_REQUEST, new byte[0], null);
                return;
            }
            if (reader.kind(job).semantics() != Semantics.BY_KEY) {
                journey = dispatcher.submitFromLink(job, this);
                return;
            }
            // A keyed request runs to its end though its stream may be gone: the repeat gets its answer.
            String key = job.requestClass() + "/" + job.tenant() + '/'
                    + job.headers().get(JobReader.KEY);
            keep = reader.kind(job).keyTtl();
            switch (memory.ask(key, digest(job), this, clock.getAsLong())) {
                case RUN -> {
                    remembered = key;
                    dispatcher.submitFromLink(job, this);
                }
                case RUN_UNREMEMBERED -> {
                    log.warn("link_memory", site, "all answers remembered are of running requests");
                    dispatcher.submitFromLink(job, this);
                }
                case REPLAY -> replay(memory.answer(key));
                case JOINED -> repeats++;
                default -> {
                    log.warn("link_conflict", site, "a key stands for another request already");
                    turnAway("conflict", "key " + job.headers().get(JobReader.KEY));
                }
            }
        }

        private void replay(Kept kept) {
            repeats++;
            FullHttpResponse response = response(HttpResponseStatus.OK, kept.body);
            response.headers().add(kept.headers);
            response.headers().set(LinkHeaders.REPLAYED, "1");
            send(response, false);
        }

        @Override
        public boolean here(boolean late) {
            // A keyed request runs to its end, whoever has left: it has no journey to hang up.
            return journey == 0 || Unread.open(stream.parent(), late) && stream.isActive();
        }

        @Override
        public void tried(Tried what) {
            tried = what;
        }

        @Override
        public void served(Answer answer) {
            List<Visit> others = end(new Kept(answer.headers(), answer.body()), answer.body().length);
            others.forEach(each -> each.answer(HttpResponseStatus.OK, answer.body(), answer.headers()));
        }

        @Override
        public void refused(long wait) {
            end(null, 0).forEach(each -> each.unserved(tried));
        }

        @Override
        public void failed() {
            end(null, 0).forEach(each -> each.unserved(tried));
        }

        /** The run has ended; gives all who wait for it, this one too if it does. */
        private List<Visit> end(Kept kept, int size) {
            return remembered == null ? List.of(this) : memory.ended(remembered, kept, size, keep, clock.getAsLong());
        }

        private void unserved(Tried what) {
            if (what.mayHaveRun()) {
                answer(HttpResponseStatus.BAD_GATEWAY, new byte[0], null);
            } else {
                FullHttpResponse response = response(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
                response.headers().set(LinkHeaders.NEVER_RAN, "1");
                send(response, what.reached() > 0 || what.sent() == 0);
            }
        }

        private void turnAway(String why, String detail) {
            log.warn("link_turned_away_" + why, site, detail);
            FullHttpResponse response = response(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            response.headers().set(LinkHeaders.NEVER_RAN, "1");
            send(response, false);
        }

        private void answer(HttpResponseStatus status, byte[] body, HttpHeaders headers) {
            FullHttpResponse response = response(status, body);
            if (headers != null) {
                response.headers().add(headers);
            }
            send(response, false);
        }

        private FullHttpResponse response(HttpResponseStatus status, byte[] body) {
            return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        }

        private void send(FullHttpResponse response, boolean turnedAway) {
            if (answered) {
                response.release();
                return;
            }
            answered = true;
            long now = clock.getAsLong();
            if (counted) {
                credit(site).ended(turnedAway, now);
            }
            HttpUtil.setContentLength(response, response.content().readableBytes());
            response.headers().set(LinkHeaders.VERSION, LinkHeaders.SPOKEN);
            if (sites.contains(site)) {
                response.headers()
                        .set(LinkHeaders.STAMP, stamps.issue(now))
                        .set(LinkHeaders.CREDIT, draining ? 0 : credit(site).credit());
            }
            int size = response.content().readableBytes();
            share.add(size);
            ChannelFuture gone = stream.writeAndFlush(response);
            Future<?> limit = gone.isDone()
                    ? null
                    : stream.eventLoop().schedule(this::takeBack, link.transfer(), TimeUnit.NANOSECONDS);
            gone.addListener(done -> {
                share.give(size);
                if (limit != null) {
                    limit.cancel(false);
                }
            });
        }

        /**
         * The answer waits for the other side's window for too long. Closing the stream would leave it in the
         * codec, since its end counts as sent; a reset takes it out.
         */
        private void takeBack() {
            log.warn("link_unread", site, "an answer was not taken in time");
            stream.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (journey != 0 && !answered) {
                answered = true;
                credit(site).ended(false, clock.getAsLong());
                dispatcher.hangup(journey);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** All that makes a request the same one. */
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
