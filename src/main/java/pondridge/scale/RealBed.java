package pondridge.scale;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import pondridge.Balancer.State;
import pondridge.Options;
import pondridge.core.Target;
import pondridge.standin.EffectLedger;
import pondridge.standin.FaultScript;
import pondridge.standin.KeyMemory;
import pondridge.standin.OpenLoad;
import pondridge.standin.StandinServer;

/**
 * The few real sidecars with what they need: stand-in servers behind the list's lines, clients, and the
 * ledger that judges them. Of the run's thread.
 */
final class RealBed implements AutoCloseable {
    private static final long MS = 1_000_000;
    private static final long WORK = 5 * MS;
    private static final int BODY = 120;
    private static final InetSocketAddress LOCAL = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    /** Port 9, discard: lines without a server are there for hollow sidecars, which send nothing. */
    private static final InetSocketAddress NOBODY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);

    private final ScalePlan plan;
    private final Options options;
    /** How long clients wait, in nanoseconds. */
    private final long waits;

    private final Role serving = new Role("servers", 1);
    private final Role asking = new Role("clients", 1);
    private final EventLoop clients = asking.next();
    private final EffectLedger ledger;
    private final KeyMemory memory = new KeyMemory();
    private final List<StandinServer> servers = new ArrayList<>();
    private final List<RealSidecar> sidecars = new ArrayList<>();
    private final Thread killer = new Thread(this::killAll);

    /** The servers, without sidecars so far. */
    RealBed(ScalePlan plan, Options options, long waitMs) {
        this.plan = plan;
        this.options = options;
        this.waits = waitMs * MS;
        this.ledger = new EffectLedger(500 * MS, (long) options.number("rules.stopSendingWithin", 2e9));
        EventLoop loop = serving.next();
        for (int i = 0; i < plan.servers(); i++) {
            servers.add(new StandinServer(
                    loop,
                    LOCAL,
                    StandinServer.Setup.of(
                            name(i), zone(i), StandinServer.Protocol.HTTP1, FaultScript.none(WORK), ledger, memory)));
        }
        Runtime.getRuntime().addShutdownHook(killer);
    }

    private static String name(int line) {
        return "e-" + line;
    }

    private String zone(int line) {
        return "z-" + line % plan.zones();
    }

    /** These lines of the list, all in one state. */
    List<Target> targets(List<Integer> lines, State state) {
        return lines.stream()
                .map(line -> new Target(
                        name(line),
                        servers.isEmpty()
                                ? NOBODY
                                : servers.get(line % servers.size()).address(),
                        zone(line),
                        "m",
                        0,
                        state,
                        1,
                        0))
                .toList();
    }

    /** The source is about to say so of these lines, which the ledger holds sidecars to from now on. */
    void told(List<Integer> lines, State state) {
        // Where several lines share a server it is never away as a whole.
        if (servers.size() == plan.entries()) {
            lines.forEach(line -> ledger.draining(name(line), state != State.READY));
        }
    }

    /** Starts the sidecars and waits until they take requests. */
    void start(ListWay way) throws IOException {
        Path folder = plan.processes() ? Files.createTempDirectory("bankflow-scale") : null;
        List<ProcessSidecar> started = new ArrayList<>();
        for (int i = 0; i < plan.sidecars(); i++) {
            long seed = plan.seed() + 1_000 + i;
            if (plan.processes()) {
                ProcessSidecar made = new ProcessSidecar("sidecar-" + i, folder, options, seed, way.door());
                sidecars.add(made);
                started.add(made);
            } else {
                sidecars.add(new LoopSidecar(options, seed, way));
            }
        }
        for (ProcessSidecar each : started) {
            each.awaitUp();
        }
    }

    /** Begins load on the sidecars for so many seconds; none where the plan has none. */
    CompletableFuture<Void> load(String run, double seconds) {
        if (servers.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        Map<String, Double> shares = new LinkedHashMap<>();
        shares.put("stock-check", 0.3);
        shares.put("stock-hold", 0.25);
        shares.put("order-confirm", 0.3);
        shares.put("order-book", 0.15);
        Map<String, Long> patience = new LinkedHashMap<>();
        shares.keySet().forEach(each -> patience.put(each, waits));
        return new OpenLoad(
                        clients,
                        sidecars.stream().map(RealSidecar::door).toList(),
                        ledger,
                        plan.seed() + run.hashCode(),
                        run)
                .start(new OpenLoad.Plan(
                        (int) Math.ceil(plan.perSecond() * seconds), plan.perSecond(), shares, patience, BODY));
    }

    EffectLedger.Verdict verdict() {
        return ledger.verdict();
    }

    /** Processor time of all sidecars so far, in nanoseconds. */
    long cpuNanos() {
        return sidecars.stream().mapToLong(RealSidecar::cpuNanos).sum();
    }

    /** Resident memory of the largest, in KiB. */
    long residentKb() {
        return sidecars.stream().mapToLong(RealSidecar::residentKb).max().orElse(0);
    }

    private void killAll() {
        sidecars.forEach(each -> {
            if (each instanceof ProcessSidecar process) {
                process.kill();
            }
        });
    }

    @Override
    public void close() {
        sidecars.forEach(RealSidecar::close);
        servers.forEach(StandinServer::close);
        serving.close();
        asking.close();
        Runtime.getRuntime().removeShutdownHook(killer);
    }
}
