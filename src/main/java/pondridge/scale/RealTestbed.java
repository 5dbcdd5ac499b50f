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
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.core.Target;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.FaultScript;
import pondridge.standin.IdempotencyKeyStore;
import pondridge.standin.OpenLoopLoadGenerator;
import pondridge.standin.StandinServer;

/**
 * The real sidecars with their environment: stand-in servers behind the entries of the list, clients, and the
 * ledger that checks the results. Used on the thread of the run only.
 */
final class RealTestbed implements AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long WORK_NANOS = 5 * NANOS_PER_MILLI;
    private static final int BODY_BYTES = 120;
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    /** Port 9 (discard): entries without a server are only for hollow sidecars, which send nothing. */
    private static final InetSocketAddress DISCARD_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);

    private final ScalePlan plan;
    private final BalancerOptions options;
    private final long clientTimeoutNanos;
    private final MeasuredLoopGroup serverLoops = new MeasuredLoopGroup("servers", 1);
    private final MeasuredLoopGroup clientLoops = new MeasuredLoopGroup("clients", 1);
    private final EventLoop clientLoop = clientLoops.next();
    private final ExecutionLedger ledger;
    private final IdempotencyKeyStore keyStore = new IdempotencyKeyStore();
    private final List<StandinServer> servers = new ArrayList<>();
    private final List<RealSidecar> sidecars = new ArrayList<>();
    private final Thread shutdownHook = new Thread(this::killAll);

    /** Starts the servers; {@link #start} starts the sidecars. */
    RealTestbed(ScalePlan plan, BalancerOptions options, long clientTimeoutMillis) {
        this.plan = plan;
        this.options = options;
        this.clientTimeoutNanos = clientTimeoutMillis * NANOS_PER_MILLI;
        this.ledger = new ExecutionLedger(500 * NANOS_PER_MILLI, (long) options.number("rules.stopSendingWithin", 2e9));
        EventLoop loop = serverLoops.next();
        for (int i = 0; i < plan.serverCount(); i++) {
            servers.add(new StandinServer(
                    loop,
                    ANY_PORT,
                    StandinServer.Setup.of(
                            entryName(i),
                            zoneName(i),
                            StandinServer.Protocol.HTTP1,
                            FaultScript.withoutFaults(WORK_NANOS),
                            ledger,
                            keyStore)));
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    private static String entryName(int entry) {
        return "e-" + entry;
    }

    private String zoneName(int entry) {
        return "z-" + entry % plan.zones();
    }

    /** Returns these entries of the list, all in one state. */
    List<Target> targets(List<Integer> entries, UpstreamState state) {
        return entries.stream()
                .map(entry -> new Target(
                        entryName(entry),
                        servers.isEmpty()
                                ? DISCARD_ADDRESS
                                : servers.get(entry % servers.size()).address(),
                        zoneName(entry),
                        "m",
                        0,
                        state,
                        1,
                        0))
                .toList();
    }

    /** Records in the ledger that the source is about to publish this state; the ledger checks sidecars against it. */
    void announceState(List<Integer> entries, UpstreamState state) {
        // A server shared by several entries is never unavailable as a whole.
        if (servers.size() == plan.entries()) {
            entries.forEach(entry -> ledger.setDraining(entryName(entry), state != UpstreamState.READY));
        }
    }

    /** Starts the sidecars and waits until they accept requests. */
    void start(ListDistribution distribution) throws IOException {
        Path configFolder = plan.separateProcesses() ? Files.createTempDirectory("bankflow-scale") : null;
        List<ProcessSidecar> processes = new ArrayList<>();
        for (int i = 0; i < plan.realSidecars(); i++) {
            long seed = plan.seed() + 1_000 + i;
            if (plan.separateProcesses()) {
                ProcessSidecar process =
                        new ProcessSidecar("sidecar-" + i, configFolder, options, seed, distribution.sourceAddress());
                sidecars.add(process);
                processes.add(process);
            } else {
                sidecars.add(new InProcessSidecar(options, seed, distribution));
            }
        }
        for (ProcessSidecar process : processes) {
            process.awaitReady();
        }
    }

    /** Starts load on the sidecars for this many seconds; completes at once if the plan has no servers. */
    CompletableFuture<Void> startLoad(String caseName, double seconds) {
        if (servers.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        Map<String, Double> classShares = new LinkedHashMap<>();
        classShares.put("stock-check", 0.3);
        classShares.put("stock-hold", 0.25);
        classShares.put("order-confirm", 0.3);
        classShares.put("order-book", 0.15);
        Map<String, Long> timeouts = new LinkedHashMap<>();
        classShares.keySet().forEach(requestClass -> timeouts.put(requestClass, clientTimeoutNanos));
        return new OpenLoopLoadGenerator(
                        clientLoop,
                        sidecars.stream().map(RealSidecar::address).toList(),
                        ledger,
                        plan.seed() + caseName.hashCode(),
                        caseName)
                .start(new OpenLoopLoadGenerator.Plan(
                        (int) Math.ceil(plan.requestsPerSecond() * seconds),
                        plan.requestsPerSecond(),
                        classShares,
                        timeouts,
                        BODY_BYTES));
    }

    ExecutionLedger.Verdict verdict() {
        return ledger.verdict();
    }

    /** Returns the number of sidecars. */
    int sidecarCount() {
        return sidecars.size();
    }

    /** Returns the CPU time of all sidecars so far. */
    long cpuNanos() {
        return sidecars.stream().mapToLong(RealSidecar::cpuNanos).sum();
    }

    /** Returns the resident memory of the largest sidecar. */
    long residentKib() {
        return sidecars.stream().mapToLong(RealSidecar::residentKib).max().orElse(0);
    }

    private void killAll() {
        sidecars.forEach(sidecar -> {
            if (sidecar instanceof ProcessSidecar process) {
                process.kill();
            }
        });
    }

    @Override
    public void close() {
        sidecars.forEach(RealSidecar::close);
        servers.forEach(StandinServer::close);
        serverLoops.close();
        clientLoops.close();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
