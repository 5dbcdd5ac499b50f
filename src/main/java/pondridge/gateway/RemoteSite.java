package pondridge.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.core.EndpointDiscovery;
import pondridge.core.Engine;
import pondridge.core.Job;
import pondridge.core.Target;
import pondridge.core.UpstreamResponse;
import pondridge.http2.Http2Upstreams;

/**
 * Another site as reached from here: a balancer engine of its own chooses among its gateways, and heartbeats
 * show the state of each. A heartbeat is a request without work: it measures the link, returns the gateway's
 * timestamp and credit, and reveals a stall. On the event loop only.
 */
final class RemoteSite {
    /**
     * Consecutive heartbeats without a response after which a gateway counts as down, however long its round
     * trip.
     */
    private static final int MAX_MISSED_HEARTBEATS = 3;

    private static final long MAX_HEARTBEAT_TIMEOUT_NANOS = 2_000_000_000;

    /**
     * What heartbeats exchange about the local site.
     *
     * @param stateReport how this gateway sees its site, in the form of {@link SiteStateReports#format}
     * @param peerReports receives how the site's other gateways see it
     */
    record LocalSiteInfo(
            String name, Supplier<String> stateReport, Consumer<SiteStateReports.StateCounts> peerReports) {}

    private final class RemoteGateway {
        private final String name;
        private final InetSocketAddress address;
        private final LinkRttEstimator rtt;
        private long id;
        private int credit;
        private int missedHeartbeats = 1;
        private boolean heartbeatPending;
        private boolean ready;

        RemoteGateway(String name, InetSocketAddress address, long now) {
            this.name = name;
            this.address = address;
            this.rtt = new LinkRttEstimator(link.minStallNanos(), link.stallFactor(), now);
        }

        private boolean isUsable(long now) {
            return missedHeartbeats == 0 && transport.hasTimestamp(id) && !rtt.isStalled(now);
        }

        private int freeCredit() {
            return Math.max(0, credit - transport.inFlight(id));
        }

        /**
         * The endpoint entries of this gateway: it stands for many servers, so the engine has several entries
         * for it.
         */
        private List<Target> targets() {
            UpstreamState state = ready ? UpstreamState.READY : UpstreamState.DRAINING;
            return IntStream.range(0, link.entriesPerGateway())
                    .mapToObj(entry -> new Target(name + '/' + entry, address, site, "gateway", 0, state, 1, 0))
                    .toList();
        }
    }

    private final LocalSiteInfo localSite;
    private final String site;
    private final EventLoop loop;
    private final GatewaySettings.Link link;
    private final Log log;
    private final LongSupplier clock;
    private final LinkTransport transport;
    private final Supplier<Engine> engineFactory;
    private Engine engine;
    private final List<RemoteGateway> gateways = new ArrayList<>();
    private final Future<?> heartbeatTimer;

    /**
     * A site with gateways at these addresses.
     *
     * @param options of its engine, see {@link #engineOptions}
     * @param maxOpenRequests requests that may be sent to it at a time
     */
    RemoteSite(
            EventLoop loop,
            LocalSiteInfo localSite,
            String site,
            List<InetSocketAddress> addresses,
            GatewaySettings.Link link,
            BalancerOptions options,
            Http2Upstreams connections,
            long seed,
            int maxOpenRequests,
            Log log,
            LongSupplier clock) {
        this.loop = loop;
        this.localSite = localSite;
        this.site = site;
        this.link = link;
        this.log = log;
        this.clock = clock;
        this.transport = new LinkTransport(connections, clock, this::endpointRegistered);
        Random engineSeeds = new Random(seed);
        this.engineFactory = () -> new Engine(loop, options, engineSeeds.nextLong(), maxOpenRequests, transport);
        long now = clock.getAsLong();
        for (InetSocketAddress address : addresses) {
            gateways.add(new RemoteGateway(site + '-' + gateways.size(), address, now));
        }
        startEngine();
        this.heartbeatTimer =
                loop.scheduleWithFixedDelay(this::sendHeartbeats, 0, link.heartbeatNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Starts with a new engine that has learned nothing. After a time without any gateway, the failures that
     * the previous engine has recorded would stop it from sending for seconds. Requests still open in the
     * previous one end there.
     */
    private void startEngine() {
        if (engine != null) {
            engine.retire();
        }
        engine = engineFactory.get();
        engine.start(
                new EndpointDiscovery() {
                    @Override
                    public void watch(boolean on) {}

                    @Override
                    public void fetch() {}
                },
                gateways.stream().flatMap(each -> each.targets().stream()).toList());
    }

    private void endpointRegistered(InetSocketAddress address, long id) {
        gateways.stream().filter(each -> each.address.equals(address)).forEach(each -> each.id = id);
    }

    /**
     * The options of an engine whose endpoints are gateways: those of the site, except that a repeat may
     * arrive up to {@code maxDeliveryNanos} late, gateways are not probed, and the list is pushed.
     */
    static BalancerOptions engineOptions(BalancerOptions platform, long maxDeliveryNanos) {
        StringBuilder overrides = new StringBuilder("discovery=automatic\ncaps.mayProbe=false\nreport.fields=\n");
        int classes = platform.settings().classes().size();
        for (int i = 0; i < classes; i++) {
            long keyWindowNanos = platform.settings().classes().get(i).keyTtlNanos();
            overrides
                    .append("profiles.")
                    .append(i)
                    .append(".keyTtl=")
                    .append(Math.max(0, keyWindowNanos - maxDeliveryNanos))
                    .append('\n');
        }
        return platform.withOverrides(overrides.toString());
    }

    Engine engine() {
        return engine;
    }

    /**
     * The site as the router sees it: the nearest gateway with free credit if there is one, and the sums over
     * all gateways.
     */
    Router.SiteSnapshot snapshot(long now) {
        LinkRttEstimator nearestRtt = null;
        int credit = 0;
        int inFlight = 0;
        LinkRttEstimator usableRtt = null;
        for (RemoteGateway each : gateways) {
            int freeCredit = each.isUsable(now) ? each.freeCredit() : 0;
            credit += freeCredit;
            inFlight += transport.inFlight(each.id);
            if (freeCredit > 0 && (nearestRtt == null || each.rtt.roundTripNanos() < nearestRtt.roundTripNanos())) {
                nearestRtt = each.rtt;
            }
            usableRtt = each.isUsable(now) ? each.rtt : usableRtt;
        }
        LinkRttEstimator fallbackRtt = usableRtt == null ? gateways.get(0).rtt : usableRtt;
        return new Router.SiteSnapshot(
                nearestRtt == null ? fallbackRtt : nearestRtt, usableRtt != null, credit, inFlight);
    }

    /** The number of gateways that take requests. */
    long readyGateways() {
        return gateways.stream().filter(each -> each.ready).count();
    }

    private void sendHeartbeats() {
        long now = clock.getAsLong();
        for (RemoteGateway each : gateways) {
            updateReadiness(each, now);
            if (!each.heartbeatPending) {
                sendHeartbeat(each, now);
            }
        }
    }

    private void sendHeartbeat(RemoteGateway gateway, long now) {
        gateway.heartbeatPending = true;
        gateway.rtt.setResponsePending(true, now);
        HttpHeaders headers = new DefaultHttpHeaders()
                .set("Host", site)
                .set(LinkHeaders.VERSION, LinkHeaders.SUPPORTED_VERSION)
                .set(LinkHeaders.SITE, localSite.name)
                .set(LinkHeaders.SITE_STATE, localSite.stateReport.get());
        Job job = new Job(0, 0, 0, 0, 0, false, HttpMethod.GET, LinkHeaders.HEARTBEAT_PATH, headers, new byte[0]);
        long timeoutNanos =
                Math.min(MAX_HEARTBEAT_TIMEOUT_NANOS, 8 * Math.max(link.minStallNanos(), gateway.rtt.roundTripNanos()));
        transport.sendHeartbeat(gateway.id, job, timeoutNanos, (outcome, response, load) -> {
            gateway.heartbeatPending = false;
            long receivedAt = clock.getAsLong();
            gateway.rtt.setResponsePending(false, receivedAt);
            if (outcome == Outcome.OK && applyHeartbeat(gateway, response)) {
                gateway.rtt.addRoundTrip(receivedAt - now, receivedAt);
                gateway.missedHeartbeats = 0;
            } else {
                gateway.missedHeartbeats++;
            }
            updateReadiness(gateway, receivedAt);
        });
    }

    private boolean applyHeartbeat(RemoteGateway gateway, UpstreamResponse response) {
        String timestamp = response.headers().get(LinkHeaders.TIMESTAMP);
        Integer credit = response.headers().getInt(LinkHeaders.CREDIT);
        if (timestamp == null
                || credit == null
                || !LinkHeaders.SUPPORTED_VERSION.equals(response.headers().get(LinkHeaders.VERSION))) {
            // An older version or another program: requests must not be sent without a timestamp.
            log.warn(
                    "link_version",
                    gateway.name,
                    "heartbeat responses have no timestamp or credit or another version: sending no requests");
            return false;
        }
        transport.setTimestamp(gateway.id, timestamp);
        gateway.credit = credit;
        localSite.peerReports.accept(
                SiteStateReports.StateCounts.parse(response.headers().get(LinkHeaders.PEER_STATES)));
        return true;
    }

    /** Updates the engine's endpoint list when a gateway starts or stops taking new requests. */
    private void updateReadiness(RemoteGateway gateway, long now) {
        boolean ready = gateway.isUsable(now);
        boolean failed = gateway.missedHeartbeats >= MAX_MISSED_HEARTBEATS || gateway.rtt.isStalled(now);
        if (ready != gateway.ready && (ready || failed)) {
            boolean firstUp = ready && readyGateways() == 0;
            gateway.ready = ready;
            if (ready) {
                log.info("link_up", gateway.name, "round trip " + gateway.rtt.roundTripNanos() / 1_000_000 + " ms");
            } else {
                log.warn(
                        "link_down",
                        gateway.name,
                        gateway.missedHeartbeats == 0 ? "stalled" : "no heartbeat response received");
            }
            if (firstUp) {
                startEngine();
            } else {
                engine.updateEndpoints(EndpointListKind.DELTA, gateway.targets());
            }
        }
    }

    void close() {
        heartbeatTimer.cancel(false);
        transport.close();
    }
}
