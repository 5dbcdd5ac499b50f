package pondridge.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.core.EventCounters;
import pondridge.core.MonitoredIoHandler;
import pondridge.core.Target;
import pondridge.gateway.GatewaySettings;
import pondridge.settings.SettingsFile;
import pondridge.standin.EndpointFaults;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.FaultScript;
import pondridge.standin.FaultyLink;
import pondridge.standin.IdempotencyKeyStore;
import pondridge.standin.OpenLoopLoadGenerator;
import pondridge.standin.StandinServer;

/**
 * A test bed of sites on loopback. Each site has gateways and stand-in servers; each server is reached
 * through its own {@link FaultyLink}, and each gateway through one such link from every other site. One
 * ledger records all requests and effects. Methods must not be called on the event loops of the test bed.
 */
public final class SiteTestbed implements AutoCloseable {
    private static final long MS = 1_000_000;

    /**
     * The configuration of one site.
     *
     * @param threads worker threads of each server, with a queue eight times as long; 0 for no limit
     * @param settings TOML lines for its gateways, without the sections of other sites
     */
    public record SiteConfig(String name, int servers, int gateways, int threads, String settings) {}

    /**
     * The configuration of the whole test bed.
     *
     * @param workNanos mean processing time of a request
     * @param delayNanos one-way delay of a link between sites
     * @param jitterNanos upper bound of the random addition to that delay
     */
    public record TestbedConfig(List<SiteConfig> sites, long workNanos, long delayNanos, long jitterNanos) {
        /** Identical sites with these names. */
        public TestbedConfig(
                List<String> names,
                int servers,
                int gateways,
                long workNanos,
                long delayNanos,
                long jitterNanos,
                String settings) {
            this(
                    names.stream()
                            .map(name -> new SiteConfig(name, servers, gateways, 0, settings))
                            .toList(),
                    workNanos,
                    delayNanos,
                    jitterNanos);
        }
    }

    /** Starts gateways, in this process or as processes of their own. */
    interface GatewayLauncher {
        /** Starts one gateway and waits until it listens. */
        GatewayHandle launch(String name, String toml, List<Target> targets, long seed) throws IOException;
    }

    /** A running site. */
    public final class Site {
        private final SiteConfig config;
        private final String name;
        private final String security;
        private final List<StandinServer> servers = new ArrayList<>();
        private final List<FaultyLink> serverLinks = new ArrayList<>();
        private final Map<String, List<FaultyLink>> links = new LinkedHashMap<>();
        private final List<GatewayHandle> gateways = new ArrayList<>();
        private final List<InetSocketAddress> clientAddresses = new CopyOnWriteArrayList<>();

        private Site(SiteConfig config, String security) {
            this.config = config;
            this.name = config.name;
            this.security = security;
        }

        public String name() {
            return name;
        }

        List<GatewayHandle> gateways() {
            return gateways;
        }

        /** The links from one other site to this one, one for each gateway here. */
        public List<FaultyLink> linksFrom(String otherSite) {
            return links.get(otherSite);
        }

        public List<StandinServer> servers() {
            return servers;
        }

        /** The links from all other sites to this one, one for each pair of site and gateway here. */
        public List<FaultyLink> links() {
            return links.values().stream().flatMap(List::stream).toList();
        }

        /** The addresses of the gateways' client listeners, by gateway number. */
        public List<InetSocketAddress> clientAddresses() {
            return clientAddresses;
        }

        /** Cuts the servers off (open connections are reset, new ones refused) or makes them reachable again. */
        public void cutServers(boolean unreachable) {
            cutServers(unreachable, serverLinks.size());
        }

        /** Like {@link #cutServers(boolean)}, for only the first servers. */
        public void cutServers(boolean unreachable, int count) {
            for (FaultyLink serverLink : serverLinks.subList(0, count)) {
                serverLink.setResetNewConnections(unreachable);
                if (unreachable) {
                    serverLink.reset();
                }
            }
        }

        /** Stalls the links to the servers (connections stay open, no bytes pass) or lets them pass bytes again. */
        public void stallServers(boolean stalled) {
            serverLinks.forEach(serverLink ->
                    serverLink.setCondition(FaultyLink.Condition.delayed(0, 0).withStalled(stalled)));
        }

        /** Publishes this state of all servers to the gateways. */
        public void publishState(UpstreamState state) {
            publish(targets(state));
        }

        /**
         * Publishes to the gateways that a server has just started, as discovery with a wrong clock would.
         *
         * @param clockOffsetMs how far the clock of discovery is ahead of this machine's
         */
        public void publishRestart(int number, long clockOffsetMs) {
            long startedMs = System.currentTimeMillis() + clockOffsetMs;
            Target current = targets(UpstreamState.READY).get(number);
            Target target =
                    new Target(current.uid(), current.endpoint(), name, "m", 0, UpstreamState.READY, 1, startedMs);
            publish(List.of(target));
        }

        /** Publishes to the gateways that the first servers started at this Unix time in milliseconds. */
        void publishRestartOfFirstServers(int count, long startedMs) {
            publish(targets(UpstreamState.READY).stream()
                    .limit(count)
                    .map(each ->
                            new Target(each.uid(), each.endpoint(), name, "m", 0, UpstreamState.READY, 1, startedMs))
                    .toList());
        }

        private void publish(List<Target> targets) {
            gateways.forEach(each -> each.updateTargets(EndpointListKind.DELTA, targets));
        }

        private List<Target> targets(UpstreamState state) {
            List<Target> targets = new ArrayList<>();
            for (int i = 0; i < servers.size(); i++) {
                targets.add(new Target(servers.get(i).name(), serverLinks.get(i).address(), name, "m", 0, state, 1, 0));
            }
            return targets;
        }

        /** Ends a gateway as if its process were killed: its connections break and its state is lost. */
        public void killGateway(int number) {
            endpointFaults.recordKill(clientAddresses.get(number));
            gateways.get(number).kill();
        }

        /** Records that a gateway is about to be paused, so that its clients' deadlines allow for it. */
        void recordPause(int number, long lengthNanos) {
            endpointFaults.recordPause(clientAddresses.get(number), lengthNanos);
        }

        /** Starts a new gateway in place of a killed one: other sites keep its link, clients get a new address. */
        public void restartGateway(int number) throws IOException {
            start(this, number);
        }

        /** CPU time used by its gateways so far, in nanoseconds. */
        public double cpuNanos() {
            return gateways.stream().mapToDouble(GatewayHandle::cpuNanos).sum();
        }

        /** The sum over its gateways of a counter, by its name in {@link pondridge.gateway.Gateway#counts}. */
        public long count(String counter) {
            return gateways.stream().mapToLong(each -> each.count(counter)).sum();
        }

        private boolean idle() {
            return gateways.stream().allMatch(GatewayHandle::idle);
        }
    }

    private final TestbedConfig testbedConfig;
    private final GatewayLauncher launcher;
    private final long seed;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop serverLoop;
    private final EventLoop linkLoop;
    private final EventLoop clientLoop;
    private final ExecutionLedger ledger;
    private final IdempotencyKeyStore keyStore = new IdempotencyKeyStore();
    private final Map<String, Site> sites = new LinkedHashMap<>();
    private final EndpointFaults endpointFaults = new EndpointFaults();

    /**
     * Builds and starts all sites.
     *
     * @param seed for link jitter, processing times and the gateways' random choices
     * @param security returns the security settings under {@code [link]} for a site's name
     */
    public SiteTestbed(
            TestbedConfig testbedConfig, BalancerOptions options, long seed, Function<String, String> security)
            throws IOException {
        this(testbedConfig, options, seed, security, site -> System::nanoTime);
    }

    /** Also takes {@code clocks}, which returns the clock of a site's gateways. */
    public SiteTestbed(
            TestbedConfig testbedConfig,
            BalancerOptions options,
            long seed,
            Function<String, String> security,
            Function<String, LongSupplier> clocks)
            throws IOException {
        this(testbedConfig, options, seed, security, (name, toml, targets, gatewaySeed) -> {
            SettingsFile file = SettingsFile.parse(name, toml);
            GatewaySettings settings = GatewaySettings.of(file, Path.of("."));
            file.rejectUnknownKeys();
            return new InProcessGateway(settings, options, targets, gatewaySeed, clocks.apply(settings.site()));
        });
    }

    /** Also takes {@code launcher}, which starts the gateways. */
    SiteTestbed(
            TestbedConfig testbedConfig,
            BalancerOptions options,
            long seed,
            Function<String, String> security,
            GatewayLauncher launcher)
            throws IOException {
        this.testbedConfig = testbedConfig;
        this.launcher = launcher;
        this.seed = seed;
        this.ledger = new ExecutionLedger(500 * MS, (long) options.number("rules.stopSendingWithin", 2e9));
        this.group = new MultiThreadIoEventLoopGroup(3, MonitoredIoHandler.newFactory(EventCounters.unlogged()));
        this.serverLoop = group.next();
        this.linkLoop = group.next();
        this.clientLoop = group.next();
        try {
            testbedConfig.sites.forEach(
                    config -> sites.put(config.name, new Site(config, security.apply(config.name))));
            for (Site site : sites.values()) {
                build(site);
            }
            for (Site site : sites.values()) {
                for (int i = 0; i < site.config.gateways; i++) {
                    start(site, i);
                }
            }
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private void build(Site site) {
        for (int i = 0; i < site.config.servers; i++) {
            StandinServer server = new StandinServer(
                    serverLoop,
                    local(),
                    StandinServer.Setup.of(
                            site.name + "-s" + i,
                            site.name,
                            StandinServer.Protocol.HTTP1,
                            new FaultScript(seed + i, Map.of(), testbedConfig.workNanos, 9 * testbedConfig.workNanos),
                            ledger,
                            keyStore));
            if (site.config.threads > 0) {
                server.setThreadPool(site.config.threads, 8 * site.config.threads);
            }
            site.servers.add(server);
            site.serverLinks.add(new FaultyLink(linkLoop, local(), server.address(), seed + i));
        }
        for (Site other : sites.values()) {
            if (other != site) {
                List<FaultyLink> links = new ArrayList<>();
                for (int i = 0; i < site.config.gateways; i++) {
                    FaultyLink link = new FaultyLink(linkLoop, local(), local(), seed + 100 + i);
                    link.setCondition(
                            FaultyLink.Condition.delayed(testbedConfig.delayNanos, testbedConfig.jitterNanos));
                    links.add(link);
                }
                site.links.put(other.name, links);
            }
        }
    }

    private void start(Site site, int number) throws IOException {
        String name = site.name + number;
        StringBuilder text = new StringBuilder("[gateway]\nsite = \"" + site.name
                + "\"\nplatform = \"" + name + ".json\"\n[link]\nlisten = \"127.0.0.1:0\"\n" + site.security
                + site.config.settings);
        for (Site other : sites.values()) {
            if (other != site) {
                text.append("\n[sites.").append(other.name).append("]\ngateways = [");
                other.linksFrom(site.name).forEach(link -> text.append("\"127.0.0.1:")
                        .append(link.address().getPort())
                        .append("\","));
                text.append("]\n");
            }
        }
        GatewayHandle gateway =
                launcher.launch(name, text.toString(), site.targets(UpstreamState.READY), seed + number);
        site.links.values().forEach(links -> links.get(number)
                .setTarget(gateway.addresses().sites()));
        if (number < site.gateways.size()) {
            site.gateways.set(number, gateway);
            site.clientAddresses.set(number, gateway.addresses().clients());
        } else {
            site.gateways.add(gateway);
            site.clientAddresses.add(gateway.addresses().clients());
        }
    }

    private static InetSocketAddress local() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Returns a site by its name. */
    public Site site(String name) {
        return sites.get(name);
    }

    public ExecutionLedger ledger() {
        return ledger;
    }

    /** Creates a load generator for a site's gateways; it is not started yet. */
    public OpenLoopLoadGenerator load(String site, long seed) {
        return new OpenLoopLoadGenerator(clientLoop, site(site).clientAddresses, ledger, seed, site + seed);
    }

    /**
     * Like {@link #load}, with clients that retry: at another gateway of the site if theirs was killed, and up
     * to {@code retries} times after a rejection.
     */
    OpenLoopLoadGenerator loadWithRetries(String site, long seed, int retries) {
        return new OpenLoopLoadGenerator(
                clientLoop, site(site).clientAddresses, ledger, seed, site + '-' + seed, endpointFaults, retries);
    }

    /** Waits until no gateway has an open request; returns false after the limit. */
    public boolean awaitIdle(long limitMs) throws InterruptedException {
        long deadline = System.nanoTime() + limitMs * MS;
        while (!sites.values().stream().allMatch(Site::idle)) {
            if (System.nanoTime() - deadline > 0) {
                return false;
            }
            Thread.sleep(5);
        }
        return true;
    }

    @Override
    public void close() {
        for (Site site : sites.values()) {
            site.gateways.parallelStream().forEach(GatewayHandle::close);
            site.servers.forEach(StandinServer::close);
            site.serverLinks.forEach(FaultyLink::close);
            site.links().forEach(FaultyLink::close);
        }
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
