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
import pondridge.store.StoreModel.Store;
import pondridge.store.StoreProbe;
import pondridge.store.StoreSettings;

/**
 * What a shared store is worth, what its troubles cost, what lending is worth, in virtual time and by number
 * of sidecars; what an exchange costs over sockets; and what three clients of such a store cost a process.
 */
final class StoreBench {
    private static final int[][] FLEETS = {{3, 8}, {8, 16}, {64, 32}, {1_000, 100}};
    private static final int[][] COSTS = {{3, 8}, {3, 64}, {3, 256}, {12, 64}, {48, 64}};
    private static final long SECONDS = 24;
    private static final long COST_S = 6;

    void run() throws Exception {
        clients();
        costs();
        hearsay();
        lending();
    }

    private static void hearsay() {
        for (int[] fleet : FLEETS) {
            Result without = null;
            for (Store store : fleet[0] > 64 ? new Store[] {Store.NONE, Store.GOOD, Store.POISON} : Store.values()) {
                Result result = StoreModel.play(new Plan(fleet[0], fleet[1], store, false, false, false, SECONDS, 1));
                without = without == null ? result : without;
                System.out.printf(
                        "bench store: sidecars=%d servers=%d store=%s %s worth_to_without=%.4f "
                                + "slow_sends_to_without=%.3f avoided_to_without=%.3f%n",
                        fleet[0],
                        fleet[1],
                        store,
                        result,
                        result.inTime() / without.inTime(),
                        result.slowSends() / without.slowSends(),
                        result.avoidedMs() / (double) without.avoidedMs());
            }
        }
    }

    private static void lending() {
        for (int[] fleet : FLEETS) {
            for (boolean all : new boolean[] {false, true}) {
                Result own = StoreModel.play(new Plan(fleet[0], fleet[1], Store.GOOD, all, false, false, SECONDS, 1));
                Result lent = StoreModel.play(new Plan(fleet[0], fleet[1], Store.GOOD, all, true, false, SECONDS, 1));
                System.out.printf(
                        "bench store-leases: sidecars=%d servers=%d cold=%s worth_own=%.4f "
                                + "worth_lent=%.4f ratio=%.4f cold_used_own=%.2f cold_used_lent=%.2f p99_own=%.0f "
                                + "p99_lent=%.0f%n",
                        fleet[0],
                        fleet[1],
                        all ? "all" : "two",
                        own.inTime(),
                        lent.inTime(),
                        lent.inTime() / own.inTime(),
                        own.coldUsed(),
                        lent.coldUsed(),
                        own.p99Ms(),
                        lent.p99Ms());
            }
        }
    }

    /**
     * Real exchanges with the stand-in over loopback, at one period a second, so many members on one loop.
     */
    private static void costs() throws Exception {
        for (int[] each : COSTS) {
            MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
            EventLoop loop = group.next();
            try (RedisStandin store = new RedisStandin(
                    group.next(),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    RedisStandin.Setup.usual())) {
                List<StoreProbe> members = IntStream.range(0, each[0])
                        .mapToObj(number -> StoreProbe.begin(loop, settings(store, "m" + number), each[1], number))
                        .toList();
                Thread.sleep(TimeUnit.SECONDS.toMillis(COST_S));
                long commands = store.commands();
                long bytes = store.bytes();
                long cpu = cpu(loop);
                Thread.sleep(TimeUnit.SECONDS.toMillis(COST_S));
                double memberSeconds = each[0] * COST_S;
                System.out.printf(
                        "bench store-cost: sidecars=%d servers=%d commands_a_second=%.1f "
                                + "bytes_a_second=%.0f cpu_us_a_second=%.0f%n",
                        each[0],
                        each[1],
                        (store.commands() - commands) / memberSeconds,
                        (store.bytes() - bytes) / memberSeconds,
                        (cpu(loop) - cpu) / 1e3 / memberSeconds);
                members.forEach(StoreProbe::close);
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

    /** Each client in a process of its own, five times. */
    private static void clients() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (RedisStandin store = new RedisStandin(
                group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), RedisStandin.Setup.usual())) {
            for (int turn = 0; turn < 5; turn++) {
                for (String client : List.of("none", "own", "lettuce", "jedis")) {
                    Process process = new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx64m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path").replace("::", File.pathSeparator),
                                    StoreClientCost.class.getName(),
                                    client,
                                    Integer.toString(store.address().getPort()))
                            .inheritIO()
                            .start();
                    if (!process.waitFor(60, TimeUnit.SECONDS) || process.exitValue() != 0) {
                        process.destroyForcibly();
                        throw new IllegalStateException("client " + client);
                    }
                }
            }
        } finally {
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
