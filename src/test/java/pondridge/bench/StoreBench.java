package pondridge.bench;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import pondridge.settings.SettingsFile;
import pondridge.standin.redis.RedisStandin;
import pondridge.store.StoreModel;
import pondridge.store.StoreModel.Plan;
import pondridge.store.StoreModel.Result;
import pondridge.store.StoreModel.StoreCondition;
import pondridge.store.StoreSettings;
import pondridge.store.SyntheticMember;

/**
 * Measures, in virtual time and by number of sidecars, the benefit of a shared store, the cost of its failures and
 * the benefit of leases; then the cost of an exchange over sockets, and the footprint of three store clients in a
 * process.
 */
final class StoreBench {
    /** Numbers of sidecars and servers. */
    private static final int[][] FLEETS = {{3, 8}, {8, 16}, {64, 32}, {1_000, 100}};

    private static final int[][] COST_FLEETS = {{3, 8}, {3, 64}, {3, 256}, {12, 64}, {48, 64}};
    private static final long VIRTUAL_SECONDS = 24;
    private static final long COST_SECONDS = 6;

    void run() throws Exception {
        clientFootprints();
        exchangeCosts();
        peerReports();
        leases();
    }

    private static void peerReports() {
        for (int[] fleet : FLEETS) {
            Result withoutStore = null;
            for (StoreCondition store : fleet[0] > 64
                    ? new StoreCondition[] {StoreCondition.NONE, StoreCondition.GOOD, StoreCondition.POISON}
                    : StoreCondition.values()) {
                Result result = StoreModel.simulate(
                        new Plan(fleet[0], fleet[1], store, false, false, false, VIRTUAL_SECONDS, 1));
                withoutStore = withoutStore == null ? result : withoutStore;
                System.out.printf(
                        "bench store: sidecars=%d servers=%d store=%s %s worth_to_without=%.4f "
                                + "slow_sends_to_without=%.3f avoided_to_without=%.3f%n",
                        fleet[0],
                        fleet[1],
                        store,
                        result,
                        result.inTimeFraction() / withoutStore.inTimeFraction(),
                        result.slowSendsPerSidecar() / withoutStore.slowSendsPerSidecar(),
                        result.avoidanceDelayMillis() / (double) withoutStore.avoidanceDelayMillis());
            }
        }
    }

    private static void leases() {
        for (int[] fleet : FLEETS) {
            for (boolean allCold : new boolean[] {false, true}) {
                Result withoutLeases = StoreModel.simulate(
                        new Plan(fleet[0], fleet[1], StoreCondition.GOOD, allCold, false, false, VIRTUAL_SECONDS, 1));
                Result withLeases = StoreModel.simulate(
                        new Plan(fleet[0], fleet[1], StoreCondition.GOOD, allCold, true, false, VIRTUAL_SECONDS, 1));
                System.out.printf(
                        "bench store-leases: sidecars=%d servers=%d cold=%s worth_own=%.4f "
                                + "worth_lent=%.4f ratio=%.4f cold_used_own=%.2f cold_used_lent=%.2f p99_own=%.0f "
                                + "p99_lent=%.0f%n",
                        fleet[0],
                        fleet[1],
                        allCold ? "all" : "two",
                        withoutLeases.inTimeFraction(),
                        withLeases.inTimeFraction(),
                        withLeases.inTimeFraction() / withoutLeases.inTimeFraction(),
                        withoutLeases.coldLimitFraction(),
                        withLeases.coldLimitFraction(),
                        withoutLeases.p99Millis(),
                        withLeases.p99Millis());
            }
        }
    }

    /**
     * Measures exchanges with the stand-in store over loopback, one per second and member, with all members on one
     * event loop.
     */
    private static void exchangeCosts() throws Exception {
        for (int[] each : COST_FLEETS) {
            MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
            EventLoop loop = group.next();
            try (RedisStandin store = new RedisStandin(
                    group.next(),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    RedisStandin.Setup.defaults())) {
                List<SyntheticMember> members = IntStream.range(0, each[0])
                        .mapToObj(number -> SyntheticMember.start(loop, settings(store, "m" + number), each[1], number))
                        .toList();
                Thread.sleep(TimeUnit.SECONDS.toMillis(COST_SECONDS));
                long commandsBefore = store.commandCount();
                long bytesBefore = store.transferredBytes();
                long cpuBefore = cpu(loop);
                Thread.sleep(TimeUnit.SECONDS.toMillis(COST_SECONDS));
                double memberSeconds = each[0] * COST_SECONDS;
                System.out.printf(
                        "bench store-cost: sidecars=%d servers=%d commands_a_second=%.1f "
                                + "bytes_a_second=%.0f cpu_us_a_second=%.0f%n",
                        each[0],
                        each[1],
                        (store.commandCount() - commandsBefore) / memberSeconds,
                        (store.transferredBytes() - bytesBefore) / memberSeconds,
                        (cpu(loop) - cpuBefore) / 1e3 / memberSeconds);
                members.forEach(SyntheticMember::close);
            } finally {
                group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
            }
        }
    }

    private static long cpu(EventLoop loop) {
        return loop.submit(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime())
                .syncUninterruptibly()
                .getNow();
    }

    private static StoreSettings settings(RedisStandin store, String member) {
        return StoreSettings.of(
                SettingsFile.parse(
                        "bench",
                        "[store]\naddress = \"127.0.0.1:" + store.address().getPort() + "\"\nmember = \"" + member
                                + "\"\n"),
                Path.of("."));
    }

    /** Measures each client in its own process, five times. */
    private static void clientFootprints() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (RedisStandin store = new RedisStandin(
                group.next(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                RedisStandin.Setup.defaults())) {
            for (int round = 0; round < 5; round++) {
                for (String client : List.of("none", "own", "lettuce", "jedis")) {
                    Process process = new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx64m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path").replace("::", File.pathSeparator),
                                    StoreClientFootprint.class.getName(),
                                    client,
                                    Integer.toString(store.address().getPort()))
                            .inheritIO()
                            .start();
                    if (!process.waitFor(60, TimeUnit.SECONDS) || process.exitValue() != 0) {
                        process.destroyForcibly();
                        throw new IllegalStateException("client process failed or timed out after 60 s: " + client);
                    }
                }
            }
        } finally {
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
