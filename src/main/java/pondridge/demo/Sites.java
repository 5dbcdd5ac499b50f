package pondridge.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.LongSupplier;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;
import pondridge.Options;
import pondridge.core.Directory;
import pondridge.core.Target;
import pondridge.gateway.Gateway;
import pondridge.gateway.GatewaySettings;
import pondridge.http1.Upstreams;
import pondridge.settings.SettingsFile;
import pondridge.standin.EffectLedger;
import pondridge.standin.FaultScript;
import pondridge.standin.FaultyLink;
import pondridge.standin.KeyMemory;
import pondridge.standin.OpenLoad;
import pondridge.standin.StandinServer;

/**
 * Sites in this process, on loopback: each has stand-in servers behind a wire of its own and gateways; a
 * faulty link leads to each gateway from the other sites. One ledger over all of it. Its methods may be
 * called on any thread but its own.
 */
public final class Sites implements AutoCloseable {
    private static final long MS = 1_000_000;
    private static final int MOST = 4096;
    private static final long LIMIT_S = 30;

    /**
     * What is built.
     *
     * @param names of the sites
     * @param servers of each
     * @param gateways of each
     * @param work mean time of a request's work in nanoseconds
     * @param delay of a link in one direction, in nanoseconds
     * @param jitter up to how much is added to that
     * @param settings TOML lines for all gateways, without sections of sites
     */
    public record Shape(List<String> names, int servers, int gateways, long work, long delay, long jitter,
            String settings) { }

    /** One site. */
    public final class Site {
        private final String name;
        private final List<StandinServer> servers = new ArrayList<>();
        private final List<FaultyLink> wires = new ArrayList<>();
        private final List<FaultyLink> links = new ArrayList<>();
        private final List<Gateway> gateways = new ArrayList<>();
        private final List<EventLoop> loops = new ArrayList<>();
        private final List<InetSocketAddress> doors = new ArrayList<>();
        private final Set<Integer> dead = new HashSet<>();

        private Site(String name) {
            this.name = name;
        }

        public String name() {
            return name;
        }

        public List<StandinServer> servers() {
            return servers;
        }

        /** The links that lead here from other sites, one to each gateway. */
        public List<FaultyLink> links() {
            return links;
        }

        /** Where clients connect. */
        public List<InetSocketAddress> doors() {
            return doors;
        }

        /** Cuts the servers off: what is out to them is reset and nothing new is taken; or heals that. */
        public void cut(boolean on) {
            cut(on, wires.size());
        }

        /** The same for some of them, the first ones. */
        public void cut(boolean on, int first) {
            for (FaultyLink wire : wires.subList(0, first)) {
                wire.refuse(on);
                if (on) {
                    wire.reset();
                }
            }
        }

        /** Stalls the wires to the servers: open, and silent; or heals that. */
        public void stall(boolean on) {
            wires.forEach(wire -> wire.set(FaultyLink.Condition.delayed(0, 0).stalled(on)));
        }

        /** Tells the gateways what the list now says of all servers. */
        public void list(State state) {
            tell(targets(state));
        }

        /**
         * Tells the gateways that a server has just started, by a list whose clock is off.
         *
         * @param offMs how far ahead of this machine's clock the list's is
         */
        public void restarted(int number, long offMs) {
            long told = System.currentTimeMillis() + offMs;
            Target was = targets(State.READY).get(number);
            Target target = new Target(was.uid(), was.endpoint(), name, "m", 0, State.READY, 1, told);
            tell(List.of(target));
        }

        private void tell(List<Target> targets) {
            for (int i = 0; i < gateways.size(); i++) {
                Gateway gateway = gateways.get(i);
                on(loops.get(i), () -> {
                    gateway.listed(ListKind.DELTA, targets);
                    return null;
                });
            }
        }

        private List<Target> targets(State state) {
            List<Target> targets = new ArrayList<>();
            for (int i = 0; i < servers.size(); i++) {
                targets.add(new Target(servers.get(i).name(), wires.get(i).address(), name, "m", 0, state,
                        1, 0));
            }
            return targets;
        }

        /** Ends a gateway as a process is killed: all its connections end, and what it knew is gone. */
        public void kill(int number) {
            loops.get(number).shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
            dead.add(number);
        }

        /** Starts a new gateway in a killed one's place, for other sites; its clients' door is a new one. */
        public void restart(int number) throws IOException {
            start(this, number);
            dead.remove(number);
        }

        /** What the processor has spent on its gateways' loops, in nanoseconds. */
        public double cpuNanos() {
            return loops.stream().mapToDouble(loop ->
                    on(loop, () -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime())).sum();
        }

        /** A count of all its gateways together, by its name in {@link Gateway#counts}. */
        public long count(String of) {
            long sum = 0;
            for (int i = 0; i < gateways.size(); i++) {
                Gateway gateway = gateways.get(i);
                sum += dead.contains(i) ? 0 : on(loops.get(i), () -> gateway.counts().getOrDefault(of, 0L));
            }
            return sum;
        }

        private boolean idle() {
            boolean idle = true;
            for (int i = 0; i < gateways.size(); i++) {
                idle &= dead.contains(i) || on(loops.get(i), gateways.get(i)::idle);
            }
            return idle;
        }
    }

    private final Shape shape;
    private final Function<String, String> security;
    private final Function<String, LongSupplier> clocks;
    private final long seed;
    private final MultiThreadIoEventLoopGroup group;
    private final List<MultiThreadIoEventLoopGroup> gatewayLoops = new ArrayList<>();
    private final EventLoop serving;
    private final EventLoop linking;
    private final EventLoop asking;
    private final Options options;
    private final EffectLedger ledger;
    private final KeyMemory memory = new KeyMemory();
    private final Map<String, Site> sites = new LinkedHashMap<>();

    /**
     * Builds and starts it all.
     *
     * @param seed of jitter, work and the gateways' choices
     * @param security a site's lines under {@code [link]}
     */
    public Sites(Shape shape, Options options, long seed, Function<String, String> security)
            throws IOException {
        this(shape, options, seed, security, site -> System::nanoTime);
    }

    /** The same; {@code clocks} gives the clock of a site's gateways. */
    public Sites(Shape shape, Options options, long seed, Function<String, String> security,
            Function<String, LongSupplier> clocks) throws IOException {
        this.shape = shape;
        this.security = security;
        this.clocks = clocks;
        this.seed = seed;
        this.options = options;
        this.ledger = new EffectLedger(500 * MS, (long) options.number("rules.stopSendingWithin", 2e9));
        this.group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
        this.serving = group.next();
        this.linking = group.next();
        this.asking = group.next();
        try {
            for (String name : shape.names) {
                Site site = new Site(name);
                sites.put(name, site);
                for (int i = 0; i < shape.servers; i++) {
                    StandinServer server = new StandinServer(serving, local(), StandinServer.Setup.of(
                            name + "-s" + i, name, StandinServer.Protocol.HTTP1,
                            new FaultScript(seed + i, Map.of(), shape.work, shape.work), ledger, memory));
                    site.servers.add(server);
                    site.wires.add(new FaultyLink(linking, local(), server.address(), seed + i));
                }
                for (int i = 0; i < shape.gateways; i++) {
                    FaultyLink link = new FaultyLink(linking, local(), local(), seed + 100 + i);
                    link.set(FaultyLink.Condition.delayed(shape.delay, shape.jitter));
                    site.links.add(link);
                }
            }
            for (Site site : sites.values()) {
                for (int i = 0; i < shape.gateways; i++) {
                    start(site, i);
                }
            }
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private void start(Site site, int number) throws IOException {
        StringBuilder text = new StringBuilder("[gateway]\nsite = \"" + site.name
                + "\"\nplatform = \"-\"\n[link]\nlisten = \"127.0.0.1:0\"\n" + security.apply(site.name)
                + shape.settings);
        for (Site other : sites.values()) {
            if (other != site) {
                text.append("\n[sites.").append(other.name).append("]\ngateways = [");
                other.links.forEach(link -> text.append("\"127.0.0.1:").append(link.address().getPort())
                        .append("\","));
                text.append("]\n");
            }
        }
        SettingsFile file = SettingsFile.parse(site.name, text.toString());
        GatewaySettings settings = GatewaySettings.of(file, Path.of("."));
        file.finish();
        MultiThreadIoEventLoopGroup its = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        gatewayLoops.add(its);
        EventLoop loop = its.next();
        try {
            Gateway gateway = loop.submit(() -> new Gateway(loop, options, settings,
                    new Upstreams(loop, options, MOST), seed + number, MOST, clocks.apply(site.name))).get();
            Gateway.Doors doors = loop.submit(() -> gateway.start(new Directory() {
                @Override
                public void watch(boolean on) { }

                @Override
                public void fetch() { }
            }, site.targets(State.READY), local())).get().get(LIMIT_S, TimeUnit.SECONDS);
            site.links.get(number).target(doors.sites());
            if (number < site.gateways.size()) {
                site.gateways.set(number, gateway);
                site.loops.set(number, loop);
            } else {
                site.gateways.add(gateway);
                site.loops.add(loop);
                site.doors.add(doors.clients());
            }
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            throw new IOException("gateway of " + site.name + ": " + e.getMessage(), e);
        }
    }

    private static InetSocketAddress local() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private static <T> T on(EventLoop loop, Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    /** A site by its name. */
    public Site site(String name) {
        return sites.get(name);
    }

    public EffectLedger ledger() {
        return ledger;
    }

    /** Load on a site's gateways, not yet begun. */
    public OpenLoad load(String site, long seed) {
        return new OpenLoad(asking, site(site).doors, ledger, seed, site + seed);
    }

    /** Waits until no gateway has anything open; false if that takes too long. */
    public boolean quiet(long limitMs) throws InterruptedException {
        long until = System.nanoTime() + limitMs * MS;
        while (!sites.values().stream().allMatch(Site::idle)) {
            if (System.nanoTime() - until > 0) {
                return false;
            }
            Thread.sleep(5);
        }
        return true;
    }

    @Override
    public void close() {
        for (Site site : sites.values()) {
            for (int i = 0; i < site.gateways.size(); i++) {
                Gateway gateway = site.gateways.get(i);
                if (!site.dead.contains(i)) {
                    on(site.loops.get(i), () -> {
                        gateway.close();
                        return null;
                    });
                }
            }
            site.servers.forEach(StandinServer::close);
            site.wires.forEach(FaultyLink::close);
            site.links.forEach(FaultyLink::close);
        }
        gatewayLoops.forEach(each -> each.shutdownGracefully(0, 2, TimeUnit.SECONDS));
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
