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
import pondridge.Options;
import pondridge.siteloss.SitePlanSettings;
import pondridge.siteloss.Topology;
import pondridge.siteloss.Topology.Kind;
import pondridge.standin.ColdStart;
import pondridge.standin.Fault;
import pondridge.standin.FaultyLink;
import pondridge.standin.OpenLoad;
import pondridge.standin.OrderClass;
import pondridge.standin.StandinServer;

/**
 * Plays a {@link DrillPlan}: its gateways as processes of the shipped program; stand-in servers, links,
 * agents of discovery, clients and the ledger here, so that all faults and effects are seen by one clock. Of
 * one thread.
 */
public final class Drill implements AutoCloseable {
    private static final long MS = 1_000_000;
    private static final int PATIENCE_S = 60;
    private static final long STILL_MS = 1_000;
    /** Makes seeds of what is not counted differ from those of what is. */
    private static final long WARM = 1_000_000_007L;
    /** Figures of cold servers, as the operators give them. */
    private static final long RAMP = 7_400 * MS;

    private static final double COLD_SHARE = 0.39;
    private static final double FALL_FACTOR = 4;
    private static final long FALL_WINDOW = 1_500 * MS;

    private final DrillPlan plan;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup agents = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ConcurrentLinkedQueue<Child.Line> log = new ConcurrentLinkedQueue<>();
    private final Map<String, ProcessGateway> hosts = new HashMap<>();
    private final Map<DrillPlan.Step, Long> done = new LinkedHashMap<>();
    private final Consumer<String> progress;
    private final Sites sites;
    private long began;

    /** Builds and starts it all; {@code progress} is told of each step in words. */
    public Drill(DrillPlan plan, Consumer<String> progress) throws IOException {
        this.plan = plan;
        this.progress = progress;
        this.folder = Files.createTempDirectory("bankflow-drill");
        EventLoop loop = agents.next();
        Options options = options(plan);
        try {
            this.sites = new Sites(
                    shape(plan), options, plan.seed(), site -> "security = \"plain\"\n", (name, toml, known, seed) -> {
                        ProcessGateway made =
                                new ProcessGateway(name, folder, loop, toml, options, known, seed, log::add);
                        hosts.put(name, made);
                        return made;
                    });
        } catch (IOException | RuntimeException e) {
            agents.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
    }

    private static Sites.Shape shape(DrillPlan plan) {
        double work = plan.topology().classes().stream()
                .mapToDouble(Kind::work)
                .average()
                .orElse(0);
        return new Sites.Shape(
                plan.sites().entrySet().stream()
                        .map(each -> new Sites.Place(
                                each.getKey(),
                                each.getValue().servers(),
                                each.getValue().gateways(),
                                each.getValue().threads(),
                                plan.gateway().strip()
                                        + '\n'
                                        + (plan.told().containsKey(each.getKey())
                                                ? SitePlanSettings.text(
                                                        plan.told().get(each.getKey()))
                                                : "")))
                        .toList(),
                (long) (work * 1e9),
                plan.delay(),
                plan.delay() / 4);
    }

    private static Options options(DrillPlan plan) {
        List<Kind> kinds = plan.topology().classes();
        StringBuilder more = new StringBuilder(
                "zones=" + String.join(",", plan.sites().keySet()) + "\nprofiles.count=" + kinds.size() + '\n');
        for (Kind kind : kinds) {
            OrderClass order = OrderClass.named(kind.name());
            String path = "profiles." + kinds.indexOf(kind) + '.';
            more.append(path)
                    .append("name=")
                    .append(kind.name())
                    .append('\n')
                    .append(path)
                    .append("slo=")
                    .append((long) (kind.aim() * 1e9))
                    .append('\n')
                    .append(path)
                    .append("deadline=")
                    .append(plan.patience())
                    .append('\n')
                    .append(path)
                    .append("worth=")
                    .append(kind.worth())
                    .append('\n')
                    .append(path)
                    .append("semantics=")
                    .append(
                            switch (order.effect()) {
                                case SAFE -> "repeatable";
                                case KEYED -> "by_key";
                                case UNSAFE -> "once";
                            })
                    .append('\n')
                    .append(path)
                    .append("keyScope=")
                    .append(order.perZone() ? "zone" : "all")
                    .append('\n')
                    .append(path)
                    .append("keyTtl=")
                    .append(order.memory())
                    .append('\n');
        }
        return Usual.options(plan.patience() / MS, more.toString());
    }

    private OpenLoad.Plan load(Topology.Site site, double seconds, double times) {
        Map<String, Double> shares = new LinkedHashMap<>();
        Map<String, Long> waits = new LinkedHashMap<>();
        double sum = site.asked().values().stream().mapToDouble(rate -> rate).sum();
        plan.topology().classes().forEach(kind -> {
            shares.put(kind.name(), site.asked().getOrDefault(kind.name(), 0.0) / sum);
            waits.put(kind.name(), plan.patience());
        });
        return new OpenLoad.Plan((int) Math.ceil(sum * times * seconds), sum * times, shares, waits, 200);
    }

    private List<CompletableFuture<Void>> loads(long seed, double seconds) {
        List<CompletableFuture<Void>> loads = new ArrayList<>();
        for (Topology.Site site : plan.topology().sites()) {
            if (site.asked().values().stream().anyMatch(rate -> rate > 0)) {
                loads.add(sites.persistent(site.name(), seed, plan.retries()).start(load(site, seconds, 1)));
            }
        }
        return loads;
    }

    /** Plays it from the warm-up to the last answer, and judges. */
    public DrillReport play() throws IOException, InterruptedException {
        long warm = plan.seed() + WARM;
        join(loads(warm, plan.warmUp() / 1e9));
        began = System.nanoTime();
        List<CompletableFuture<Void>> loads = new ArrayList<>(loads(plan.seed(), plan.length() / 1e9));
        for (DrillPlan.Step step : plan.steps()) {
            until(began + step.at());
            progress.accept(String.format(Locale.ROOT, "%6.1f s  %s", (System.nanoTime() - began) / 1e9, step));
            done.put(step, System.nanoTime() - began);
            act(step, loads);
        }
        join(loads);
        still();
        return new DrillReport(plan, began, Long.toString(warm), sites.ledger(), done, List.copyOf(log));
    }

    private static void until(long time) throws InterruptedException {
        for (long left = time - System.nanoTime(); left > 0; left = time - System.nanoTime()) {
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            LockSupport.parkNanos(left);
        }
    }

    private static void join(List<CompletableFuture<Void>> loads) throws IOException, InterruptedException {
        try {
            for (CompletableFuture<Void> each : loads) {
                each.get(PATIENCE_S, TimeUnit.MINUTES);
            }
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("load doesn't end", e);
        }
    }

    /** Waits until no server has run anything for a while: what was given up may still run. */
    private void still() throws InterruptedException {
        int before = -1;
        for (int now = runs(); now != before; now = runs()) {
            before = now;
            Thread.sleep(STILL_MS);
        }
    }

    private int runs() {
        return plan.sites().keySet().stream()
                .flatMap(name -> sites.site(name).servers().stream())
                .mapToInt(StandinServer::runs)
                .sum();
    }

    private void act(DrillPlan.Step step, List<CompletableFuture<Void>> loads) throws IOException {
        Sites.Site site = sites.site(step.site());
        switch (step.act()) {
            case CUT -> site.cut(true);
            case HEAL -> site.cut(false);
            case STALL -> site.stall(true);
            case FLOW -> site.stall(false);
            case LOSE -> {
                site.cut(true);
                each(step, site::kill);
            }
            case RETURN -> {
                begin(step, site);
                cold(site, 1);
            }
            case COLD -> cold(site, step.part());
            case KILL -> each(step, site::kill);
            case START -> begin(step, site);
            case STOP -> {
                for (int number : numbers(step)) {
                    site.stops(number, step.length());
                    hosts.get(step.site() + number).child().pause(step.length() / MS);
                }
            }
            case CUT_LINK, HEAL_LINK -> between(step).forEach(link -> {
                link.refuse(step.act() == DrillPlan.Act.CUT_LINK);
                if (step.act() == DrillPlan.Act.CUT_LINK) {
                    link.reset();
                } else {
                    link.set(FaultyLink.Condition.delayed(plan.delay(), plan.delay() / 4));
                }
            });
            case STALL_LINK -> between(step)
                    .forEach(link -> link.set(FaultyLink.Condition.delayed(plan.delay(), plan.delay() / 4)
                            .stalled(true)));
            case ONE_WAY -> others(step).forEach(other -> {
                FaultyLink.Condition lost =
                        FaultyLink.Condition.delayed(plan.delay(), 0).lost(true);
                sites.site(other).linksFrom(step.site()).forEach(link -> link.set(FaultyLink.Way.THERE, lost));
                site.linksFrom(other).forEach(link -> link.set(FaultyLink.Way.BACK, lost));
            });
            case SLOW -> site.servers()
                    .subList(0, (int) Math.ceil(step.part() * site.servers().size()))
                    .forEach(server -> server.faults(Map.of(Fault.SLOW, 1.0)));
            case WELL -> site.servers().forEach(server -> server.faults(null));
            case SURGE -> plan.topology().sites().stream()
                    .filter(each -> each.name().equals(step.site()))
                    .forEach(each -> loads.add(sites.persistent(step.site(), plan.seed() + loads.size(), plan.retries())
                            .start(load(each, step.length() / 1e9, step.part() - 1))));
            default -> throw new IllegalStateException(step.toString());
        }
    }

    private List<Integer> numbers(DrillPlan.Step step) {
        return step.gateway() >= 0
                ? List.of(step.gateway())
                : Stream.iterate(0, i -> i + 1)
                        .limit(plan.sites().get(step.site()).gateways())
                        .toList();
    }

    private void each(DrillPlan.Step step, Consumer<Integer> act) {
        numbers(step).forEach(act);
    }

    private void begin(DrillPlan.Step step, Sites.Site site) throws IOException {
        for (int number : numbers(step)) {
            site.restart(number);
        }
    }

    /** The first of its servers are started anew, and the list says so. */
    private void cold(Sites.Site site, double part) {
        double perSecond = plan.sites().get(site.name()).threads()
                / plan.topology().classes().stream()
                        .mapToDouble(Kind::work)
                        .average()
                        .orElse(1);
        List<StandinServer> started =
                site.servers().subList(0, (int) Math.ceil(part * site.servers().size()));
        started.forEach(server ->
                server.cold(new ColdStart(System.nanoTime(), RAMP, COLD_SHARE, perSecond, FALL_FACTOR, FALL_WINDOW)));
        site.startedAnew(started.size(), System.currentTimeMillis());
        site.cut(false, started.size());
    }

    private List<String> others(DrillPlan.Step step) {
        return step.other().isEmpty()
                ? plan.sites().keySet().stream()
                        .filter(each -> !each.equals(step.site()))
                        .toList()
                : List.of(step.other());
    }

    private List<FaultyLink> between(DrillPlan.Step step) {
        List<FaultyLink> links = new ArrayList<>();
        for (String other : others(step)) {
            links.addAll(sites.site(other).linksFrom(step.site()));
            links.addAll(sites.site(step.site()).linksFrom(other));
        }
        return links;
    }

    @Override
    public void close() throws IOException {
        sites.close();
        agents.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
