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
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.SafetyLimits;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.core.BufferBudgets;
import pondridge.core.EndpointDiscovery;
import pondridge.core.Engine;
import pondridge.core.HeapReceiveBuffers;
import pondridge.core.JobReader;
import pondridge.core.Target;
import pondridge.core.Transport;
import pondridge.grpc.GrpcFrontend;
import pondridge.grpc.GrpcSettings;
import pondridge.http1.Frontend;
import pondridge.http2.Connector;
import pondridge.http2.Http2Upstreams;
import pondridge.siteloss.SiteFailoverRouting;
import pondridge.store.SharedStore;
import pondridge.store.SharedStoreBinding;

/**
 * One gateway of a site: takes clients' requests as the sidecar does and other sites' requests over links. It
 * has a balancer engine for its own site's servers and one for the gateways of each other site. On one event
 * loop; keeps no state that another gateway would need for safety.
 */
public final class Gateway {

    private final EventLoop loop;
    private final Engine localEngine;
    private final LocalSiteHealth localSite;
    private final Dispatcher dispatcher;
    private final Frontend frontend;
    private final LinkRequestHandler linkRequestHandler;
    private final GrpcFrontend grpc;
    private final Map<String, RemoteSite> remoteSites = new LinkedHashMap<>();
    private final Map<String, Target> servers = new HashMap<>();
    private final SafetyLimits safetyLimits;
    private long latestStartMillis;
    private final ServerStartTimes startTimes;
    private final SharedStore store;
    private final LinkTls tls;
    private long certificateReloads;
    private long certificateReloadFailures;
    private final long certificateCheckNanos;
    private final Log log;
    private final LongSupplier clock;

    /**
     * A gateway that does not listen yet; to be called on its loop.
     *
     * @param options of the platform: classes, tenants, limits
     * @param upstreams transport to the local site's servers
     * @param budgets the memory for requests and responses in transit
     * @param maxOpenRequests limit of open requests, and of client connections
     * @param clock monotonic nanoseconds from any origin: its times leave this gateway only in timestamps
     *     that only this gateway reads
     * @throws IOException if a certificate can't be used
     */
    public Gateway(
            EventLoop loop,
            BalancerOptions options,
            GatewaySettings settings,
            Transport upstreams,
            BufferBudgets budgets,
            long seed,
            int maxOpenRequests,
            LongSupplier clock)
            throws IOException {
        this.loop = loop;
        this.clock = clock;
        this.log = new Log(settings.site());
        long now = clock.getAsLong();
        GatewaySettings.Link link = settings.link();
        GatewaySettings.CrossSite crossSite = settings.crossSite();
        this.tls = link.tls() == null ? null : new LinkTls(link.tls());
        this.certificateCheckNanos = link.certificateCheckNanos();
        this.localEngine = new Engine(loop, options, seed, maxOpenRequests, upstreams);
        this.localSite = new LocalSiteHealth(crossSite.localSite(), now);
        CrossSiteBudget budget = new CrossSiteBudget(
                crossSite.common(),
                crossSite.classLimits(
                        options.objectNames("profiles"), options.settings().classes()),
                now);
        SiteFailoverRouting failoverRouting = settings.sitePlan() == null
                ? SiteFailoverRouting.NONE
                : SiteFailoverRouting.of(settings.sitePlan(), settings.site(), options.objectNames("profiles"));
        Router router = new Router(
                settings.site(), localSite, budget, crossSite.minWorkNanos(), link.maxDeliveryNanos(), failoverRouting);
        this.safetyLimits = options.settings().safetyLimits();
        this.startTimes = new ServerStartTimes(settings.maxClockErrorNanos() / 1_000_000);
        this.store = settings.store() == null
                ? null
                : SharedStoreBinding.start(
                        loop, localEngine, settings.store(), options.settings().safetyLimits(), seed);
        if (store != null) {
            store.addLeaseHolder(new SharedCrossSiteBudget(settings.site(), crossSite.sitePerSecond(), budget, clock));
        }
        JobReader reader = new JobReader(options);
        Random random = new Random(seed);
        BalancerOptions remoteOptions = RemoteSite.engineOptions(options, link.maxDeliveryNanos());
        String gatewayId = Long.toHexString(random.nextLong());
        RemoteSite.LocalSiteInfo localSiteInfo = new RemoteSite.LocalSiteInfo(
                settings.site(), () -> SiteStateReports.format(gatewayId, localSite.state()), counts -> {
                    localSite.applyPeerReports(counts, clock.getAsLong());
                    logLocalSiteState();
                });
        settings.remoteSites()
                .forEach((name, addresses) -> remoteSites.put(
                        name,
                        new RemoteSite(
                                loop,
                                localSiteInfo,
                                name,
                                addresses,
                                link,
                                remoteOptions,
                                new Http2Upstreams(
                                        loop, remoteOptions, link.http2(), budgets.responses(), connector(name)),
                                random.nextLong(),
                                maxOpenRequests,
                                log,
                                clock)));
        this.dispatcher = new Dispatcher(
                loop,
                settings.site(),
                router,
                localSite,
                localEngine,
                remoteSites,
                reader,
                link.maxDeliveryNanos(),
                log,
                clock);
        this.frontend = new Frontend(dispatcher, options, maxOpenRequests, budgets);
        GrpcSettings grpcSettings = settings.upstreams().grpc();
        this.grpc = grpcSettings == null || grpcSettings.listenAddress() == null
                ? null
                : new GrpcFrontend(
                        loop,
                        grpcSettings,
                        options,
                        dispatcher,
                        budgets.total(),
                        Long.toHexString(random.nextLong()),
                        log::warn);
        this.linkRequestHandler = new LinkRequestHandler(
                loop,
                link,
                budgets.total(),
                tls,
                settings.remoteSites().keySet(),
                dispatcher,
                reader,
                random.nextLong(),
                log,
                clock);
        dispatcher.onLocalOverload(linkRequestHandler::onLocalOverload);
    }

    private void logLocalSiteState() {
        dispatcher.logLocalSiteState();
    }

    private Connector connector(String site) {
        return (address, timeoutMs, initializer) -> new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveBuffers())
                .handler(tls == null ? initializer : withTls(site, initializer))
                .connect(address);
    }

    private ChannelHandler withTls(String site, ChannelInitializer<Channel> next) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(tls.clientHandler(channel, site), next);
            }
        };
    }

    /** The addresses on which a gateway listens for clients and for other sites. */
    public record ListenAddresses(InetSocketAddress clients, InetSocketAddress sites) {}

    /**
     * Starts with the last received server list and listens for clients and for other sites; to be called on
     * its loop. The future completes on the loop, with an {@link IOException} if listening fails.
     */
    public CompletableFuture<ListenAddresses> start(
            EndpointDiscovery discovery, List<Target> initialServers, InetSocketAddress listen) {
        List<Target> localized =
                startTimes.withLocalStartTimes(EndpointListKind.CACHED, initialServers, System.currentTimeMillis());
        recordServers(EndpointListKind.CACHED, localized);
        localEngine.start(discovery, localized);
        CompletableFuture<ListenAddresses> started = new CompletableFuture<>();
        ChannelFuture linkBinding = linkRequestHandler.listen();
        ChannelFuture clientBinding = frontend.listen(loop, listen);
        ChannelFuture grpcBinding = grpc == null ? clientBinding : grpc.listen();
        linkBinding.addListener(
                sitesBound -> clientBinding.addListener(clientsBound -> grpcBinding.addListener(grpcBound -> {
                    Throwable cause = !sitesBound.isSuccess()
                            ? sitesBound.cause()
                            : clientsBound.isSuccess() ? grpcBound.cause() : clientsBound.cause();
                    if (cause != null) {
                        started.completeExceptionally(new IOException("listening failed: " + cause.getMessage()));
                        return;
                    }
                    frontend.markReady();
                    if (grpc != null) {
                        grpc.setReady(true);
                    }
                    if (tls != null) {
                        loop.scheduleWithFixedDelay(
                                this::refreshCertificates,
                                certificateCheckNanos,
                                certificateCheckNanos,
                                TimeUnit.NANOSECONDS);
                    }
                    ListenAddresses addresses = new ListenAddresses(
                            (InetSocketAddress) clientBinding.channel().localAddress(),
                            (InetSocketAddress) linkBinding.channel().localAddress());
                    log.info("started", "", "clients at " + addresses.clients + ", sites at " + addresses.sites);
                    started.complete(addresses);
                })));
        return started;
    }

    private void refreshCertificates() {
        try {
            if (tls.refresh()) {
                certificateReloads++;
                log.info("certificates", "", "reloaded for new connections");
            }
        } catch (IOException e) {
            certificateReloadFailures++;
            log.warn("certificates", "", e.getMessage());
        }
    }

    /** Applies an update of the local site's server list. */
    public void updateEndpoints(EndpointListKind kind, List<Target> targets) {
        List<Target> localized = startTimes.withLocalStartTimes(kind, targets, System.currentTimeMillis());
        recordServers(kind, localized);
        localEngine.updateEndpoints(kind, localized);
    }

    private void recordServers(EndpointListKind kind, List<Target> targets) {
        if (kind == EndpointListKind.FULL) {
            servers.clear();
        }
        targets.forEach(target -> servers.put(target.uid(), target));
        servers.values().removeIf(each -> each.state() == UpstreamState.GONE);
        LongSummaryStatistics startMillis = servers.values().stream()
                .filter(each -> each.state() == UpstreamState.READY)
                .mapToLong(Target::startedMs)
                .summaryStatistics();
        long nowMillis = System.currentTimeMillis();
        if (kind != EndpointListKind.FAILED && startMillis.getCount() == 0) {
            localSite.noServerReady(clock.getAsLong());
        } else if (startMillis.getCount() > 0
                && startMillis.getMax() != latestStartMillis
                && nowMillis - startMillis.getMin() < safetyLimits.rampNanos() / 1_000_000) {
            latestStartMillis = startMillis.getMax();
            localSite.serversStarted(
                    clock.getAsLong() - Math.max(0, nowMillis - latestStartMillis) * 1_000_000,
                    safetyLimits.coldCapacityFraction(),
                    safetyLimits.rampNanos());
        }
        logLocalSiteState();
    }

    /** Counters and gauges by name. */
    public Map<String, Long> counts() {
        Dispatcher.Counts counts = dispatcher.counts();
        Map<String, Long> result = new LinkedHashMap<>();
        result.put("asked", counts.received);
        result.put("served", counts.served);
        result.put("refused", counts.refused);
        result.put("failed", counts.failed);
        result.put("crossed", counts.sentToRemoteSites);
        result.put("crossed_served", counts.servedByRemoteSites);
        result.put("by_link", counts.fromLink);
        result.put("open", (long) dispatcher.openRequests());
        result.put(
                "links_up",
                remoteSites.values().stream()
                        .mapToLong(RemoteSite::readyGateways)
                        .sum());
        result.put("repeats", linkRequestHandler.deduplicated());
        result.put("remembered", (long) linkRequestHandler.cachedResponses());
        result.put("remembered_bytes", linkRequestHandler.cachedBytes());
        result.put("certificates_taken", certificateReloads);
        result.put("certificates_refused", certificateReloadFailures);
        result.put("link_connections", (long) linkRequestHandler.connectionCount());
        result.put("link_held_bytes", linkRequestHandler.bufferedBytes());
        if (store != null) {
            store.counts().forEach((name, count) -> result.put("store_" + name, count));
        }
        return result;
    }

    /** Whether no request is open. */
    public boolean isIdle() {
        return dispatcher.openRequests() == 0 && localEngine.isIdle();
    }

    /**
     * From now on responses close their connections, and new requests of other sites are rejected
     * unprocessed.
     */
    public void drain() {
        linkRequestHandler.drain();
        frontend.drain();
        if (grpc != null) {
            grpc.drain();
        }
    }

    /** Stops listening and closes the links; requests open there end with them. */
    public void close() {
        frontend.close();
        linkRequestHandler.close();
        if (grpc != null) {
            grpc.close();
        }
        if (store != null) {
            store.close();
        }
        remoteSites.values().forEach(RemoteSite::close);
    }
}
