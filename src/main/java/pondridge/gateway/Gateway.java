package pondridge.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import pondridge.Balancer.Limits;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;
import pondridge.Options;
import pondridge.core.Directory;
import pondridge.core.Engine;
import pondridge.core.JobReader;
import pondridge.core.Target;
import pondridge.core.Transport;
import pondridge.grpc.GrpcFront;
import pondridge.grpc.GrpcSettings;
import pondridge.http1.Frontend;
import pondridge.http2.Dialler;
import pondridge.http2.Http2Upstreams;
import pondridge.siteloss.Split;
import pondridge.store.SharedStore;
import pondridge.store.Sharing;

/**
 * One gateway of a site: takes clients' requests as the sidecar does and other sites' requests from its link,
 * and has a decision module for its own site's servers and one for each other site's gateways. On one event
 * loop; keeps nothing that another gateway would need for safety.
 */
public final class Gateway {

    private final EventLoop loop;
    private final Engine own;
    private final OwnSite ownSite;
    private final Dispatcher dispatcher;
    private final Frontend frontend;
    private final LinkFront linkFront;
    private final GrpcFront grpc;
    private final Map<String, FarSite> others = new LinkedHashMap<>();
    private final Map<String, Target> servers = new HashMap<>();
    private final Limits rules;
    private long lastStart;
    private final StartTimes starts;
    private final SharedStore store;
    private final LinkTls tls;
    private long certificatesTaken;
    private long certificatesRefused;
    private final long look;
    private final Log log;
    private final LongSupplier clock;

    /**
     * A gateway that does not listen yet; on its loop.
     *
     * @param options of the platform: classes, tenants, rules
     * @param upstreams the way to the own site's servers
     * @param mostOpen requests that may be open at a time, and client connections
     * @param clock nanoseconds that never run back, from any origin: none of its times leaves this gateway,
     *     but in stamps that only itself reads
     * @throws IOException if a certificate can't be used
     */
    public Gateway(
            EventLoop loop,
            Options options,
            GatewaySettings settings,
            Transport upstreams,
            long seed,
            int mostOpen,
            LongSupplier clock)
            throws IOException {
        this.loop = loop;
        this.clock = clock;
        this.log = new Log(settings.site());
        long now = clock.getAsLong();
        GatewaySettings.Link link = settings.link();
        GatewaySettings.Crossing crossing = settings.crossing();
        this.tls = link.tls() == null ? null : new LinkTls(link.tls());
        this.look = link.look();
        this.own = new Engine(loop, options, seed, mostOpen, upstreams);
        this.ownSite = new OwnSite(crossing.own(), now);
        CrossingBudget budget = new CrossingBudget(
                crossing.common(),
                crossing.parts(options.names("profiles"), options.settings().classes()),
                now);
        Split split = settings.plan() == null
                ? Split.NONE
                : Split.of(settings.plan(), settings.site(), options.names("profiles"));
        Router router = new Router(settings.site(), ownSite, budget, crossing.leastWork(), link.freshness(), split);
        this.rules = options.settings().limits();
        this.starts = new StartTimes(settings.clockError() / 1_000_000);
        this.store = settings.store() == null
                ? null
                : Sharing.begin(loop, own, settings.store(), options.settings().limits(), seed);
        if (store != null) {
            store.share(new CrossingParts(settings.site(), crossing.sitePerSecond(), budget, clock));
        }
        JobReader reader = new JobReader(options);
        Random random = new Random(seed);
        Options far = FarSite.options(options, link.freshness());
        String self = Long.toHexString(random.nextLong());
        FarSite.Own seen = new FarSite.Own(settings.site(), () -> Views.said(self, ownSite.state()), counts -> {
            ownSite.others(counts, clock.getAsLong());
            tellOwnSite();
        });
        settings.sites()
                .forEach((name, addresses) -> others.put(
                        name,
                        new FarSite(
                                loop,
                                seen,
                                name,
                                addresses,
                                link,
                                far,
                                new Http2Upstreams(loop, far, link.http2(), dialler(name)),
                                random.nextLong(),
                                mostOpen,
                                log,
                                clock)));
        this.dispatcher = new Dispatcher(
                loop, settings.site(), router, ownSite, own, others, reader, link.freshness(), log, clock);
        this.frontend = new Frontend(dispatcher, options, mostOpen);
        GrpcSettings spoken = settings.upstreams().grpc();
        this.grpc = spoken == null || spoken.listen() == null
                ? null
                : new GrpcFront(loop, spoken, options, dispatcher, Long.toHexString(random.nextLong()), log::warn);
        this.linkFront = new LinkFront(
                loop, link, tls, settings.sites().keySet(), dispatcher, reader, random.nextLong(), log, clock);
        dispatcher.whenPressed(linkFront::pressed);
    }

    private void tellOwnSite() {
        dispatcher.tellOwnSite();
    }

    private Dialler dialler(String site) {
        return (address, timeoutMs, initializer) -> new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(tls == null ? initializer : secured(site, initializer))
                .connect(address);
    }

    private ChannelHandler secured(String site, ChannelInitializer<Channel> above) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel made) {
                made.pipeline().addLast(tls.client(made, site), above);
            }
        };
    }

    /** Where a gateway listens for clients, and where for other sites. */
    public record Doors(InetSocketAddress clients, InetSocketAddress sites) {}

    /**
     * Begins with the list of servers as it was last known, and listens for clients and for other sites; on
     * its loop. The future is told on the loop, with an {@link IOException} where listening fails.
     */
    public CompletableFuture<Doors> start(Directory source, List<Target> known, InetSocketAddress listen) {
        List<Target> held = starts.held(ListKind.CACHED, known, System.currentTimeMillis());
        note(ListKind.CACHED, held);
        own.start(source, held);
        CompletableFuture<Doors> started = new CompletableFuture<>();
        ChannelFuture forSites = linkFront.listen();
        ChannelFuture forClients = frontend.listen(loop, listen);
        ChannelFuture forGrpc = grpc == null ? forClients : grpc.listen();
        forSites.addListener(done -> forClients.addListener(also -> forGrpc.addListener(third -> {
            Throwable cause = !done.isSuccess() ? done.cause() : also.isSuccess() ? third.cause() : also.cause();
            if (cause != null) {
                started.completeExceptionally(new IOException("listening failed: " + cause.getMessage()));
                return;
            }
            frontend.ready();
            if (grpc != null) {
                grpc.ready(true);
            }
            if (tls != null) {
                loop.scheduleWithFixedDelay(this::refresh, look, look, TimeUnit.NANOSECONDS);
            }
            Doors doors = new Doors((InetSocketAddress) forClients.channel().localAddress(), (InetSocketAddress)
                    forSites.channel().localAddress());
            log.info("started", "", "clients at " + doors.clients + ", sites at " + doors.sites);
            started.complete(doors);
        })));
        return started;
    }

    private void refresh() {
        try {
            if (tls.refresh()) {
                certificatesTaken++;
                log.info("certificates", "", "new ones are taken for new connections");
            }
        } catch (IOException e) {
            certificatesRefused++;
            log.warn("certificates", "", e.getMessage());
        }
    }

    /** News of the list of the own site's servers. */
    public void listed(ListKind kind, List<Target> targets) {
        List<Target> held = starts.held(kind, targets, System.currentTimeMillis());
        note(kind, held);
        own.listed(kind, held);
    }

    private void note(ListKind kind, List<Target> targets) {
        if (kind == ListKind.FULL) {
            servers.clear();
        }
        targets.forEach(target -> servers.put(target.uid(), target));
        servers.values().removeIf(each -> each.state() == State.GONE);
        LongSummaryStatistics started = servers.values().stream()
                .filter(each -> each.state() == State.READY)
                .mapToLong(Target::startedMs)
                .summaryStatistics();
        long now = System.currentTimeMillis();
        if (kind != ListKind.FAILED && started.getCount() == 0) {
            ownSite.noneReady(clock.getAsLong());
        } else if (started.getCount() > 0
                && started.getMax() != lastStart
                && now - started.getMin() < rules.rampTime() / 1_000_000) {
            lastStart = started.getMax();
            ownSite.started(
                    clock.getAsLong() - Math.max(0, now - lastStart) * 1_000_000, rules.coldShare(), rules.rampTime());
        }
        tellOwnSite();
    }

    /** Where it stands, for whoever shows it: counts by name. */
    public Map<String, Long> counts() {
        Dispatcher.Counts counts = dispatcher.counts();
        Map<String, Long> shown = new LinkedHashMap<>();
        shown.put("asked", counts.asked);
        shown.put("served", counts.served);
        shown.put("refused", counts.refused);
        shown.put("failed", counts.failed);
        shown.put("crossed", counts.crossed);
        shown.put("crossed_served", counts.crossedServed);
        shown.put("by_link", counts.byLink);
        shown.put("open", (long) dispatcher.open());
        shown.put(
                "links_up",
                others.values().stream().mapToLong(FarSite::gatewaysUp).sum());
        shown.put("repeats", linkFront.repeats());
        shown.put("remembered", (long) linkFront.remembered());
        shown.put("remembered_bytes", linkFront.rememberedBytes());
        shown.put("certificates_taken", certificatesTaken);
        shown.put("certificates_refused", certificatesRefused);
        shown.put("link_connections", (long) linkFront.connections());
        shown.put("link_held_bytes", linkFront.heldBytes());
        if (store != null) {
            store.counts().forEach((name, count) -> shown.put("store_" + name, count));
        }
        return shown;
    }

    /** Whether nothing is open any more. */
    public boolean idle() {
        return dispatcher.open() == 0 && own.idle();
    }

    /** From now on answers end their connections, and other sites' new requests are turned away unseen. */
    public void drain() {
        linkFront.drain();
        frontend.drain();
        if (grpc != null) {
            grpc.drain();
        }
    }

    /** Ends the listening and the links; what is open there ends with them. */
    public void close() {
        frontend.close();
        linkFront.close();
        if (grpc != null) {
            grpc.close();
        }
        if (store != null) {
            store.close();
        }
        others.values().forEach(FarSite::close);
    }
}
