package pondridge.rig;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.core.EndpointDiscovery;
import pondridge.core.Engine;
import pondridge.core.Target;
import pondridge.core.Transport;
import pondridge.demo.StandinOptions;
import pondridge.http1.Frontend;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.ExecutionLedger.Verdict;
import pondridge.standin.FaultScript;
import pondridge.standin.IdempotencyKeyStore;
import pondridge.standin.OpenLoopLoadGenerator;
import pondridge.standin.StandinServer;
import pondridge.standin.StandinServer.Protocol;
import pondridge.standin.StandinServer.Setup;

/**
 * A fleet in this process: the HTTP front end, the engine and the transport under test on one event loop,
 * stand-in servers on a second, the load on a third, and one ledger for all of it.
 */
public final class Fleet implements AutoCloseable {
    /** Long enough for an overloaded machine; a passing test never waits this long. */
    public static final long TIMEOUT_SECONDS = 90;

    private static final long NANOS_PER_MS = 1_000_000;
    /** The limit of open requests and of client connections of each front end. */
    private static final int MAX_OPEN = 4096;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    private final EventLoop frontendLoop = group.next();
    private final EventLoop serverLoop = group.next();
    private final EventLoop clientLoop = group.next();
    private final ExecutionLedger ledger;
    private final IdempotencyKeyStore keyStore = new IdempotencyKeyStore();
    private final Map<String, StandinServer> serversByName = new LinkedHashMap<>();
    private final Map<String, Long> startTimes = new LinkedHashMap<>();
    private final BalancerOptions options;
    private final List<Engine> engines = new ArrayList<>();
    private final List<InetSocketAddress> frontendAddresses = new ArrayList<>();

    /** Creates a fleet without servers. */
    public Fleet(BalancerOptions options) {
        this.options = options;
        // The slack is generous: on an overloaded machine responses are late without a fault of the program.
        this.ledger = new ExecutionLedger(500 * NANOS_PER_MS, (long) options.number("rules.stopSendingWithin", 2e9));
    }

    /**
     * Settings with the default request classes and two zones.
     *
     * @param deadlineMs the deadline of each class
     * @param extraSettings additional settings lines
     */
    public static BalancerOptions defaultOptions(long deadlineMs, String... extraSettings) {
        return StandinOptions.withDeadline(deadlineMs, extraSettings);
    }

    public ExecutionLedger ledger() {
        return ledger;
    }

    public BalancerOptions settings() {
        return options;
    }

    public EventLoop loop() {
        return frontendLoop;
    }

    public Engine engine() {
        return engines.get(0);
    }

    /** The address of the first front end. */
    public InetSocketAddress frontendAddress() {
        return frontendAddresses.get(0);
    }

    /** Adds a server that is not in the endpoint list yet. */
    public StandinServer server(String name, String zone, Protocol protocol, FaultScript script) {
        return server(Setup.of(name, zone, protocol, script, ledger, keyStore));
    }

    /** Adds a server with its own stream limit and window. */
    public StandinServer server(
            String name, String zone, Protocol protocol, long streams, int window, FaultScript script) {
        return server(new Setup(name, zone, protocol, streams, window, script, ledger, keyStore));
    }

    private StandinServer server(Setup setup) {
        StandinServer server =
                new StandinServer(serverLoop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), setup);
        serversByName.put(setup.name(), server);
        startTimes.put(setup.name(), 0L);
        return server;
    }

    /** Starts a front end with a transport created on its loop; all servers are listed as ready. */
    public Fleet start(BiFunction<EventLoop, BalancerOptions, Transport> transportFactory) throws Exception {
        return start(transportFactory, engine -> {});
    }

    /** The same; {@code beforeStart} gets the engine before it starts. Each call starts one more front end. */
    public Fleet start(BiFunction<EventLoop, BalancerOptions, Transport> transportFactory, Consumer<Engine> beforeStart)
            throws Exception {
        Frontend frontend = frontendLoop
                .submit(() -> {
                    Engine engine = new Engine(
                            frontendLoop,
                            options,
                            7 + engines.size(),
                            MAX_OPEN,
                            transportFactory.apply(frontendLoop, options));
                    beforeStart.accept(engine);
                    engine.start(
                            new EndpointDiscovery() {
                                @Override
                                public void watch(boolean on) {}

                                @Override
                                public void fetch() {}
                            },
                            serversByName.keySet().stream()
                                    .map(name -> target(name, UpstreamState.READY))
                                    .toList());
                    engines.add(engine);
                    return new Frontend(engine, options, MAX_OPEN);
                })
                .get();
        frontendAddresses.add((InetSocketAddress)
                frontend.listen(frontendLoop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel()
                        .localAddress());
        return this;
    }

    private Target target(String name, UpstreamState state) {
        StandinServer server = serversByName.get(name);
        return new Target(name, server.address(), server.zone(), "m", 0, state, 1, startTimes.get(name));
    }

    /** Publishes a server's state to the front ends and records in the ledger whether it drains. */
    public void publishState(String name, UpstreamState state) throws Exception {
        frontendLoop
                .submit(() -> {
                    engines.forEach(each -> each.updateEndpoints(EndpointListKind.DELTA, List.of(target(name, state))));
                    ledger.setDraining(name, state != UpstreamState.READY);
                })
                .get();
    }

    /** Publishes to the front ends that a server has restarted. */
    public void publishRestart(String name) throws Exception {
        startTimes.put(name, System.currentTimeMillis());
        publishState(name, UpstreamState.READY);
    }

    /** Starts load on the front ends. */
    public CompletableFuture<Void> load(OpenLoopLoadGenerator.Plan plan, long seed, String idPrefix) {
        return new OpenLoopLoadGenerator(clientLoop, frontendAddresses, ledger, seed, idPrefix).start(plan);
    }

    /** A load that the caller starts and evaluates. */
    public OpenLoopLoadGenerator load(long seed, String idPrefix) {
        return new OpenLoopLoadGenerator(clientLoop, frontendAddresses, ledger, seed, idPrefix);
    }

    /** Load of all classes with the same client timeout. */
    public static OpenLoopLoadGenerator.Plan mixedPlan(int requests, double perSecond, long timeoutMs) {
        Map<String, Double> shares = new LinkedHashMap<>();
        shares.put("stock-check", 0.3);
        shares.put("stock-hold", 0.25);
        shares.put("order-confirm", 0.3);
        shares.put("order-book", 0.15);
        return plan(requests, perSecond, timeoutMs, shares);
    }

    /** Load of these classes, with the same client timeout. */
    public static OpenLoopLoadGenerator.Plan plan(
            int requests, double perSecond, long timeoutMs, Map<String, Double> shares) {
        Map<String, Long> timeouts = new LinkedHashMap<>();
        shares.keySet().forEach(name -> timeouts.put(name, timeoutMs * NANOS_PER_MS));
        return new OpenLoopLoadGenerator.Plan(requests, perSecond, shares, timeouts, 120);
    }

    /** Waits until the load has ended. */
    public static void await(CompletableFuture<Void> load) throws Exception {
        load.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** The verdict, after all engines have become idle. */
    public Verdict verdict() throws Exception {
        long limit = System.nanoTime() + TIMEOUT_SECONDS * 1_000 * NANOS_PER_MS;
        while (!frontendLoop
                        .submit(() -> engines.stream().allMatch(Engine::isIdle))
                        .get()
                && System.nanoTime() < limit) {
            Thread.sleep(5);
        }
        return ledger.verdict();
    }

    /** All servers, in the order in which they were added. */
    public List<StandinServer> servers() {
        return new ArrayList<>(serversByName.values());
    }

    @Override
    public void close() {
        serversByName.values().forEach(StandinServer::close);
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
