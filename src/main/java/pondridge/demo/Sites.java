package pondridge.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;
import pondridge.Options;
import pondridge.core.Target;
import pondridge.gateway.GatewaySettings;
import pondridge.settings.SettingsFile;
import pondridge.standin.Doors;
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

    /**
     * One site of what is built.
     *
     * @param threads of each server, with a queue of eight times as many; 0 for any number at a time
     * @param settings TOML lines for its gateways, without sections of sites
     */
    public record Place(String name, int servers, int gateways, int threads, String settings) {}

    /**
     * What is built.
     *
     * @param work mean time of a request's work in nanoseconds
     * @param delay of a link in one direction, in nanoseconds
     * @param jitter up to how much is added to that
     */
    public record Shape(List<Place> places, long work, long delay, long jitter) {
        /** Sites that are all alike. */
        public Shape(
                List<String> names, int servers, int gateways, long work, long delay, long jitter, String settings) {
            this(
                    names.stream()
                            .map(name -> new Place(name, servers, gateways, 0, settings))
                            .toList(),
                    work,
                    delay,
                    jitter);
        }
    }

    /** Starts gateways, in whichever way. */
    interface Hosting {
        /** One gateway, listening. */
        GatewayHost start(String name, String toml, List<Target> known, long seed) throws IOException;
    }

    /** One site. */
    public final class Site {
        private final Place place;
        private final String name;
        private final String security;
        private final List<StandinServer> servers = new ArrayList<>();
        private final List<FaultyLink> wires = new ArrayList<>();
        private final Map<String, List<FaultyLink>> links = new LinkedHashMap<>();
        private final List<GatewayHost> gateways = new ArrayList<>();
        private final List<InetSocketAddress> doors = new CopyOnWriteArrayList<>();

        private Site(Place place, String security) {
            this.place = place;
            this.name = place.name;
            this.security = security;
        }

        public String name() {
            return name;
        }

        List<GatewayHost> gateways() {
            return gateways;
        }

        /** The links that lead here from one other site, one to each gateway. */
        public List<FaultyLink> linksFrom(String other) {
            return links.get(other);
        }

        public List<StandinServer> servers() {
            return servers;
        }

        /** The links that lead here from other sites, one from each to each gateway. */
        public List<FaultyLink> links() {
            return links.values().stream().flatMap(List::stream).toList();
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

        /** Tells the gateways that the first servers have just started, at this Unix time in milliseconds. */
        void startedAnew(int first, long toldMs) {
            tell(targets(State.READY).stream()
                    .limit(first)
                    .map(each -> new Target(each.uid(), each.endpoint(), name, "m", 0, State.READY, 1, toldMs))
                    .toList());
        }

        private void tell(List<Target> targets) {
            gateways.forEach(each -> each.listed(ListKind.DELTA, targets));
        }

        private List<Target> targets(State state) {
            List<Target> targets = new ArrayList<>();
            for (int i = 0; i < servers.size(); i++) {
                targets.add(new Target(servers.get(i).name(), wires.get(i).address(), name, "m", 0, state, 1, 0));
            }
            return targets;
        }

        /** Ends a gateway as a process is killed: all its connections end, and what it knew is gone. */
        public void kill(int number) {
            known.killed(doors.get(number));
            gateways.get(number).kill();
        }

        /** A gateway is about to stand still for so long, in nanoseconds. */
        void stops(int number, long length) {
            known.stops(doors.get(number), length);
        }

        /** Starts a new gateway in a killed one's place, for other sites; its clients' door is a new one. */
        public void restart(int number) throws IOException {
            start(this, number);
        }

        /** What the processor has spent on its gateways, in nanoseconds. */
        public double cpuNanos() {
            return gateways.stream().mapToDouble(GatewayHost::cpuNanos).sum();
        }

        /** A count of all its gateways together, by its name in {@link pondridge.gateway.Gateway#counts}. */
        public long count(String of) {
            return gateways.stream().mapToLong(each -> each.count(of)).sum();
        }

        private boolean idle() {
            return gateways.stream().allMatch(GatewayHost::idle);
        }
    }

    private final Shape shape;
    private final Hosting hosting;
    private final long seed;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop serving;
    private final EventLoop linking;
    private final EventLoop asking;
    private final EffectLedger ledger;
    private final KeyMemory memory = new KeyMemory();
    private final Map<String, Site> sites = new LinkedHashMap<>();
    private final Doors known = new Doors();

    /**
     * Builds and starts it all.
     *
     * @param seed of jitter, work and the gateways' choices
     * @param security a site's lines under {@code [link]}
     */
    public Sites(Shape shape, Options options, long seed, Function<String, String> security) throws IOException {
        this(shape, options, seed, security, site -> System::nanoTime);
    }

    /** The same; {@code clocks} gives the clock of a site's gateways. */
    public Sites(
            Shape shape,
            Options options,
            long seed,
            Function<String, String> security,
            Function<String, LongSupplier> clocks)
            throws IOException {
        this(shape, options, seed, security, (name, toml, known, itsSeed) -> {
            SettingsFile file = SettingsFile.parse(name, toml);
            GatewaySettings settings = GatewaySettings.of(file, Path.of("."));
            file.finish();
            return new LoopGateway(settings, options, known, itsSeed, clocks.apply(settings.site()));
        });
    }

    /** The same; its gateways are started by {@code hosting}. */
    Sites(Shape shape, Options options, long seed, Function<String, String> security, Hosting hosting)
            throws IOException {
        this.shape = shape;
        this.hosting = hosting;
        this.seed = seed;
        this.ledger = new EffectLedger(500 * MS, (long) options.number("rules.stopSendingWithin", 2e9));
        this.group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
        this.serving = group.next();
        this.linking = group.next();
        this.asking = group.next();
        try {
            shape.places.forEach(place -> sites.put(place.name, new Site(place, security.apply(place.name))));
            for (Site site : sites.values()) {
                build(site);
            }
            for (Site site : sites.values()) {
                for (int i = 0; i < site.place.gateways; i++) {
                    start(site, i);
                }
            }
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private void build(Site site) {
        for (int i = 0; i < site.place.servers; i++) {
            StandinServer server = new StandinServer(
                    serving,
                    local(),
                    StandinServer.Setup.of(
                            site.name + "-s" + i,
                            site.name,
                            StandinServer.Protocol.HTTP1,
                            new FaultScript(seed + i, Map.of(), shape.work, 9 * shape.work),
                            ledger,
                            memory));
            if (site.place.threads > 0) {
                server.threads(site.place.threads, 8 * site.place.threads);
            }
            site.servers.add(server);
            site.wires.add(new FaultyLink(linking, local(), server.address(), seed + i));
        }
        for (Site other : sites.values()) {
            if (other != site) {
                List<FaultyLink> links = new ArrayList<>();
                for (int i = 0; i < site.place.gateways; i++) {
                    FaultyLink link = new FaultyLink(linking, local(), local(), seed + 100 + i);
                    link.set(FaultyLink.Condition.delayed(shape.delay, shape.jitter));
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
                + site.place.settings);
        for (Site other : sites.values()) {
            if (other != site) {
                text.append("\n[sites.").append(other.name).append("]\ngateways = [");
                other.linksFrom(site.name).forEach(link -> text.append("\"127.0.0.1:")
                        .append(link.address().getPort())
                        .append("\","));
                text.append("]\n");
            }
        }
        GatewayHost made = hosting.start(name, text.toString(), site.targets(State.READY), seed + number);
        site.links.values().forEach(links -> links.get(number)
                .target(made.doors().sites()));
        if (number < site.gateways.size()) {
            site.gateways.set(number, made);
            site.doors.set(number, made.doors().clients());
        } else {
            site.gateways.add(made);
            site.doors.add(made.doors().clients());
        }
    }

    private static InetSocketAddress local() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
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

    /**
     * The same by clients that ask again: at another of the site's gateways where theirs was killed, and so
     * many times after a refusal.
     */
    OpenLoad persistent(String site, long seed, int retries) {
        return new OpenLoad(asking, site(site).doors, ledger, seed, site + '-' + seed, known, retries);
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
            site.gateways.parallelStream().forEach(GatewayHost::close);
            site.servers.forEach(StandinServer::close);
            site.wires.forEach(FaultyLink::close);
            site.links().forEach(FaultyLink::close);
        }
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
