package pondridge.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.Stream;
import pondridge.BalancerOptions;
import pondridge.siteloss.SitePlanSettings;
import pondridge.siteloss.Topology;
import pondridge.siteloss.Topology.TrafficClass;
import pondridge.standin.ColdStart;
import pondridge.standin.Fault;
import pondridge.standin.FaultyLink;
import pondridge.standin.OpenLoopLoadGenerator;
import pondridge.standin.StandinRequestClass;
import pondridge.standin.StandinServer;

/**
 * Runs a {@link DrillPlan}. Gateways are processes of the packaged jar. Stand-in servers, links, discovery
 * agents, clients and the ledger are in this process, so that all faults and effects have one clock. Not
 * thread-safe.
 */
public final class Drill implements AutoCloseable {
    private static final long MS = 1_000_000;
    private static final int LOAD_TIMEOUT_MIN = 60;
    private static final long IDLE_CHECK_MS = 1_000;
    /** Added to the plan's seed for the warm-up, so that its requests can be distinguished from the measured ones. */
    private static final long WARM_UP_SEED_OFFSET = 1_000_000_007L;
    /** Behaviour of servers after a cold start, as specified by the operators. */
    private static final long RAMP_NANOS = 7_400 * MS;

    private static final double COLD_SHARE = 0.39;
    private static final double OVERLOAD_FACTOR = 4;
    private static final long OVERLOAD_WINDOW_NANOS = 1_500 * MS;

    private final DrillPlan plan;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup discoveryGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ConcurrentLinkedQueue<ChildProcess.LogLine> log = new ConcurrentLinkedQueue<>();
    private final Map<String, ProcessGateway> gateways = new HashMap<>();
    private final Map<DrillPlan.Step, Long> stepStartNanos = new LinkedHashMap<>();
    private final Consumer<String> progress;
    private final SiteTestbed sites;
    private long startNanos;

    /** Builds and starts all sites; {@code progress} receives a line for each step. */
    public Drill(DrillPlan plan, Consumer<String> progress) throws IOException {
        this.plan = plan;
        this.progress = progress;
        this.folder = Files.createTempDirectory("bankflow-drill");
        EventLoop loop = discoveryGroup.next();
        BalancerOptions options = options(plan);
        try {
            this.sites = new SiteTestbed(
                    testbedConfig(plan),
                    options,
                    plan.seed(),
                    site -> "security = \"plain\"\n",
                    (name, toml, targets, seed) -> {
                        ProcessGateway gateway =
                                new ProcessGateway(name, folder, loop, toml, options, targets, seed, log::add);
                        gateways.put(name, gateway);
                        return gateway;
                    });
        } catch (IOException | RuntimeException e) {
            discoveryGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
    }

    private static SiteTestbed.TestbedConfig testbedConfig(DrillPlan plan) {
        double work = plan.topology().classes().stream()
                .mapToDouble(TrafficClass::workSeconds)
                .average()
                .orElse(0);
        return new SiteTestbed.TestbedConfig(
                plan.sites().entrySet().stream()
                        .map(each -> new SiteTestbed.SiteConfig(
                                each.getKey(),
                                each.getValue().servers(),
                                each.getValue().gateways(),
                                each.getValue().threads(),
                                plan.gatewayToml().strip()
                                        + '\n'
                                        + (plan.gatewayTopologies().containsKey(each.getKey())
                                                ? SitePlanSettings.toToml(
                                                        plan.gatewayTopologies().get(each.getKey()))
                                                : "")))
                        .toList(),
                (long) (work * 1e9),
                plan.linkDelayNanos(),
                plan.linkDelayNanos() / 4);
    }

    private static BalancerOptions options(DrillPlan plan) {
        List<TrafficClass> classes = plan.topology().classes();
        StringBuilder extraOptions = new StringBuilder(
                "zones=" + String.join(",", plan.sites().keySet()) + "\nprofiles.count=" + classes.size() + '\n');
        for (TrafficClass trafficClass : classes) {
            StandinRequestClass requestClass = StandinRequestClass.named(trafficClass.name());
            String path = "profiles." + classes.indexOf(trafficClass) + '.';
            extraOptions
                    .append(path)
                    .append("name=")
                    .append(trafficClass.name())
                    .append('\n')
                    .append(path)
                    .append("slo=")
                    .append((long) (trafficClass.sloSeconds() * 1e9))
                    .append('\n')
                    .append(path)
                    .append("deadline=")
                    .append(plan.clientTimeoutNanos())
                    .append('\n')
                    .append(path)
                    .append("worth=")
                    .append(trafficClass.utility())
                    .append('\n')
                    .append(path)
                    .append("semantics=")
                    .append(
                            switch (requestClass.effect()) {
                                case SAFE -> "repeatable";
                                case KEYED -> "by_key";
                                case UNSAFE -> "once";
                            })
                    .append('\n')
                    .append(path)
                    .append("keyScope=")
                    .append(requestClass.keyPerZone() ? "zone" : "all")
                    .append('\n')
                    .append(path)
                    .append("keyTtl=")
                    .append(requestClass.keyTtlNanos())
                    .append('\n');
        }
        return StandinOptions.withDeadline(plan.clientTimeoutNanos() / MS, extraOptions.toString());
    }

    private OpenLoopLoadGenerator.Plan loadPlan(Topology.Site site, double seconds, double factor) {
        Map<String, Double> shares = new LinkedHashMap<>();
        Map<String, Long> timeouts = new LinkedHashMap<>();
        double perSecond = site.demandPerSecond().values().stream()
                .mapToDouble(rate -> rate)
                .sum();
        plan.topology().classes().forEach(trafficClass -> {
            shares.put(trafficClass.name(), site.demandPerSecond().getOrDefault(trafficClass.name(), 0.0) / perSecond);
            timeouts.put(trafficClass.name(), plan.clientTimeoutNanos());
        });
        return new OpenLoopLoadGenerator.Plan(
                (int) Math.ceil(perSecond * factor * seconds), perSecond * factor, shares, timeouts, 200);
    }

    private List<CompletableFuture<Void>> startLoads(long seed, double seconds) {
        List<CompletableFuture<Void>> loads = new ArrayList<>();
        for (Topology.Site site : plan.topology().sites()) {
            if (site.demandPerSecond().values().stream().anyMatch(rate -> rate > 0)) {
                loads.add(
                        sites.loadWithRetries(site.name(), seed, plan.retries()).start(loadPlan(site, seconds, 1)));
            }
        }
        return loads;
    }

    /** Runs the drill from the warm-up to the last response and returns its report. */
    public DrillReport run() throws IOException, InterruptedException {
        long warmUpSeed = plan.seed() + WARM_UP_SEED_OFFSET;
        join(startLoads(warmUpSeed, plan.warmUpNanos() / 1e9));
        startNanos = System.nanoTime();
        List<CompletableFuture<Void>> loads = new ArrayList<>(startLoads(plan.seed(), plan.lengthNanos() / 1e9));
        for (DrillPlan.Step step : plan.steps()) {
            sleepUntil(startNanos + step.atNanos());
            progress.accept(String.format(Locale.ROOT, "%6.1f s  %s", (System.nanoTime() - startNanos) / 1e9, step));
            stepStartNanos.put(step, System.nanoTime() - startNanos);
            apply(step, loads);
        }
        join(loads);
        awaitServersIdle();
        return new DrillReport(
                plan, startNanos, Long.toString(warmUpSeed), sites.ledger(), stepStartNanos, List.copyOf(log));
    }

    private static void sleepUntil(long timeNanos) throws InterruptedException {
        for (long remainingNanos = timeNanos - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = timeNanos - System.nanoTime()) {
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            LockSupport.parkNanos(remainingNanos);
        }
    }

    private static void join(List<CompletableFuture<Void>> loads) throws IOException, InterruptedException {
        try {
            for (CompletableFuture<Void> each : loads) {
                each.get(LOAD_TIMEOUT_MIN, TimeUnit.MINUTES);
            }
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("load generators did not finish within " + LOAD_TIMEOUT_MIN + " min", e);
        }
    }

    /** Waits until no server has executed a request for a while: abandoned requests may still be executing. */
    private void awaitServersIdle() throws InterruptedException {
        int before = -1;
        for (int now = executedRequests(); now != before; now = executedRequests()) {
            before = now;
            Thread.sleep(IDLE_CHECK_MS);
        }
    }

    private int executedRequests() {
        return plan.sites().keySet().stream()
                .flatMap(name -> sites.site(name).servers().stream())
                .mapToInt(StandinServer::executions)
                .sum();
    }

    private void apply(DrillPlan.Step step, List<CompletableFuture<Void>> loads) throws IOException {
        SiteTestbed.Site site = sites.site(step.site());
        switch (step.action()) {
            case CUT -> site.cutServers(true);
            case HEAL -> site.cutServers(false);
            case STALL -> site.stallServers(true);
            case FLOW -> site.stallServers(false);
            case LOSE -> {
                site.cutServers(true);
                forEachGateway(step, site::killGateway);
            }
            case RETURN -> {
                startGateways(step, site);
                startServersCold(site, 1);
            }
            case COLD -> startServersCold(site, step.amount());
            case KILL -> forEachGateway(step, site::killGateway);
            case START -> startGateways(step, site);
            case STOP -> {
                for (int number : gatewayNumbers(step)) {
                    site.recordPause(number, step.lengthNanos());
                    gateways.get(step.site() + number).child().pause(step.lengthNanos() / MS);
                }
            }
            case CUT_LINK, HEAL_LINK -> linksOf(step).forEach(link -> {
                link.setResetNewConnections(step.action() == DrillPlan.Action.CUT_LINK);
                if (step.action() == DrillPlan.Action.CUT_LINK) {
                    link.reset();
                } else {
                    link.setCondition(FaultyLink.Condition.delayed(plan.linkDelayNanos(), plan.linkDelayNanos() / 4));
                }
            });
            case STALL_LINK -> linksOf(step)
                    .forEach(link -> link.setCondition(
                            FaultyLink.Condition.delayed(plan.linkDelayNanos(), plan.linkDelayNanos() / 4)
                                    .withStalled(true)));
            case ONE_WAY -> otherSites(step).forEach(other -> {
                FaultyLink.Condition lost =
                        FaultyLink.Condition.delayed(plan.linkDelayNanos(), 0).withDiscarding(true);
                sites.site(other)
                        .linksFrom(step.site())
                        .forEach(link -> link.setCondition(FaultyLink.Direction.FORWARD, lost));
                site.linksFrom(other).forEach(link -> link.setCondition(FaultyLink.Direction.BACKWARD, lost));
            });
            case SLOW -> site.servers()
                    .subList(0, (int) Math.ceil(step.amount() * site.servers().size()))
                    .forEach(server -> server.overrideFaults(Map.of(Fault.SLOW, 1.0)));
            case WELL -> site.servers().forEach(server -> server.overrideFaults(null));
            case SURGE -> plan.topology().sites().stream()
                    .filter(each -> each.name().equals(step.site()))
                    .forEach(each ->
                            loads.add(sites.loadWithRetries(step.site(), plan.seed() + loads.size(), plan.retries())
                                    .start(loadPlan(each, step.lengthNanos() / 1e9, step.amount() - 1))));
            default -> throw new IllegalStateException(step.toString());
        }
    }

    private List<Integer> gatewayNumbers(DrillPlan.Step step) {
        return step.gateway() >= 0
                ? List.of(step.gateway())
                : Stream.iterate(0, i -> i + 1)
                        .limit(plan.sites().get(step.site()).gateways())
                        .toList();
    }

    private void forEachGateway(DrillPlan.Step step, Consumer<Integer> action) {
        gatewayNumbers(step).forEach(action);
    }

    private void startGateways(DrillPlan.Step step, SiteTestbed.Site site) throws IOException {
        for (int number : gatewayNumbers(step)) {
            site.restartGateway(number);
        }
    }

    /** Restarts this fraction of its servers, the first ones, and publishes their new start time. */
    private void startServersCold(SiteTestbed.Site site, double fraction) {
        double perSecond = plan.sites().get(site.name()).threads()
                / plan.topology().classes().stream()
                        .mapToDouble(TrafficClass::workSeconds)
                        .average()
                        .orElse(1);
        List<StandinServer> started = site.servers()
                .subList(0, (int) Math.ceil(fraction * site.servers().size()));
        started.forEach(server -> server.setColdStart(new ColdStart(
                System.nanoTime(), RAMP_NANOS, COLD_SHARE, perSecond, OVERLOAD_FACTOR, OVERLOAD_WINDOW_NANOS)));
        site.publishRestartOfFirstServers(started.size(), System.currentTimeMillis());
        site.cutServers(false, started.size());
    }

    private List<String> otherSites(DrillPlan.Step step) {
        return step.other().isEmpty()
                ? plan.sites().keySet().stream()
                        .filter(each -> !each.equals(step.site()))
                        .toList()
                : List.of(step.other());
    }

    private List<FaultyLink> linksOf(DrillPlan.Step step) {
        List<FaultyLink> links = new ArrayList<>();
        for (String other : otherSites(step)) {
            links.addAll(sites.site(other).linksFrom(step.site()));
            links.addAll(sites.site(step.site()).linksFrom(other));
        }
        return links;
    }

    @Override
    public void close() throws IOException {
        sites.close();
        discoveryGroup.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
