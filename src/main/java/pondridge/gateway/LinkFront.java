package pondridge.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pondridge.Balancer.Semantics;
import pondridge.core.Answer;
import pondridge.core.Client;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.Tried;

/**
 * Where other sites' gateways come in: takes what they send across, once it is sure who they are and that it
 * has not been on its way for too long, and answers with what is proven. All that it turns away unseen says
 * so. On the event loop only.
 */
final class LinkFront {
    private static final int LARGEST_BODY = 1 << 16;
    private static final int LARGEST_HEADERS = 16 << 10;
    /** A halving of a site's credit holds for a while before the next. */
    private static final long PAUSE = 200_000_000;
    private static final int MOST_JOINED = 8;

    /** What the far side keeps of an answer. */
    private record Kept(HttpHeaders headers, byte[] body) { }

    private final EventLoop loop;
    private final GatewaySettings.Link link;
    private final LinkTls tls;
    private final Set<String> sites;
    private final Dispatcher dispatcher;
    private final JobReader reader;
    private final Stamps stamps;
    private final Log log;
    private final AnswerMemory<Visit, Kept> memory;
    private final Map<String, CreditControl> credits = new HashMap<>();
    private int connections;
    private long repeats;
    private boolean draining;
    private Channel server;

    LinkFront(EventLoop loop, GatewaySettings.Link link, LinkTls tls, Set<String> sites,
            Dispatcher dispatcher, JobReader reader, long epoch, Log log) {
        this.loop = loop;
        this.link = link;
        this.tls = tls;
        this.sites = sites;
        this.dispatcher = dispatcher;
        this.reader = reader;
        this.stamps = new Stamps(epoch, link.freshness());
        this.log = log;
        this.memory = new AnswerMemory<>(link.answers(), link.answerBytes(), MOST_JOINED);
    }

    ChannelFuture listen() {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        cameIn(made);
                    }
                })
                .bind(link.listen());
        server = bound.channel();
        return bound;
    }

    private void cameIn(Channel made) {
        if (connections >= link.connections()) {
            log.warn("link_full", made.remoteAddress().toString(), "no more connections are taken");
            made.close();
            return;
        }
        connections++;
        made.closeFuture().addListener(closed -> connections--);
        if (tls != null) {
            made.pipeline().addLast(tls.server(made));
        }
        made.pipeline().addLast(
                Http2FrameCodecBuilder.forServer().initialSettings(Http2Settings.defaultSettings()
                        .maxConcurrentStreams(link.streams()).maxHeaderListSize(LARGEST_HEADERS)).build(),
                new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel stream) {
                        stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true),
                                new HttpObjectAggregator(LARGEST_BODY), new Visit());
                    }
                }),
                new Watch());
    }

    /** Tells of connections that were no link. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private boolean told;

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (event instanceof SslHandshakeCompletionEvent done && !done.isSuccess()) {
                told = true;
                log.warn("link_refused", context.channel().remoteAddress().toString(),
                        String.valueOf(done.cause().getMessage()));
            }
            super.userEventTriggered(context, event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!told) {
                log.warn("link_broken", String.valueOf(context.channel().remoteAddress()),
                        String.valueOf(cause.getMessage()));
            }
            context.close();
        }
    }

    private CreditControl credit(String site) {
        return credits.computeIfAbsent(site,
                each -> new CreditControl(link.credit(), PAUSE, System.nanoTime()));
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

    /** From now on new requests are turned away unseen, and beats bring no credit. */
    void drain() {
        draining = true;
    }

    void close() {
        server.close();
    }

    /** One stream: a beat, or one request and its answer. */
    private final class Visit extends SimpleChannelInboundHandler<FullHttpRequest> implements Client {
        private Channel stream;
        private String site;
        private String remembered;
        private long keep;
        private boolean counted;
        private boolean answered;
        private Tried tried = new Tried(0, 0, false);
        private long journey;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            stream = context.channel();
            long now = System.nanoTime();
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
                answer(HttpResponseStatus.OK, new byte[0], null);
            } else if (!"1".equals(headers.get(LinkHeaders.HOPS))) {
                turnAway("loop", "a request has come by " + headers.get(LinkHeaders.HOPS) + " links");
            } else if (!stamps.fresh(headers.get(LinkHeaders.STAMP), now)) {
                turnAway("stale", "a request was on its way for too long");
            } else if (draining) {
                turnAway("draining", "this gateway is about to end");
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
                headers.names().stream().filter(name -> name.startsWith(LinkHeaders.PREFIX)
                        || name.startsWith("x-http2-")).forEach(headers::remove);
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
            String key = job.requestClass() + "/" + job.tenant() + '/' + job.headers().get(JobReader.KEY);
            keep = reader.kind(job).keyTtl();
            switch (memory.ask(key, digest(job), this, System.nanoTime())) {
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
            return remembered == null ? List.of(this)
                    : memory.ended(remembered, kept, size, keep, System.nanoTime());
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
            long now = System.nanoTime();
            if (counted) {
                credit(site).ended(turnedAway, now);
            }
            HttpUtil.setContentLength(response, response.content().readableBytes());
            response.headers().set(LinkHeaders.VERSION, LinkHeaders.SPOKEN);
            if (sites.contains(site)) {
                response.headers().set(LinkHeaders.STAMP, stamps.issue(now))
                        .set(LinkHeaders.CREDIT, draining ? 0 : credit(site).credit());
            }
            stream.writeAndFlush(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (journey != 0 && !answered) {
                answered = true;
                credit(site).ended(false, System.nanoTime());
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
