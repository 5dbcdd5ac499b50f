package pondridge.bench;

import io.lettuce.core.RedisClient;
import io.lettuce.core.RedisURI;
import io.lettuce.core.api.StatefulRedisConnection;
import io.lettuce.core.resource.DefaultClientResources;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import pondridge.settings.SettingsFile;
import pondridge.store.StoreSettings;
import pondridge.store.SyntheticMember;
import redis.clients.jedis.Jedis;

/** Starts one store client in this process and prints what it adds to an event loop that already runs. */
final class StoreClientFootprint {
    private StoreClientFootprint() {}

    public static void main(String[] args) throws Exception {
        int port = Integer.parseInt(args[1]);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        loop.submit(() -> {}).sync();
        long startNanos = System.nanoTime();
        Runnable closeClient =
                switch (args[0]) {
                    case "own" -> bankflow(loop, port);
                    case "lettuce" -> lettuce(group, port);
                    case "jedis" -> jedis(port);
                    default -> () -> {};
                };
        long firstReplyNanos = System.nanoTime() - startNanos;
        System.gc();
        System.out.printf(
                "bench store-client: client=%s first_reply_ms=%.0f threads=%d classes=%d "
                        + "heap_kb=%d resident_kb=%d%n",
                args[0],
                firstReplyNanos / 1e6,
                ManagementFactory.getThreadMXBean().getThreadCount(),
                ManagementFactory.getClassLoadingMXBean().getLoadedClassCount(),
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() >> 10,
                residentKb());
        closeClient.run();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private static long residentKb() throws IOException {
        return Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElse(0);
    }

    private static Runnable bankflow(EventLoop loop, int port) throws InterruptedException {
        StoreSettings settings = StoreSettings.of(
                SettingsFile.parse(
                        "x", "[store]\naddress = \"127.0.0.1:" + port + "\"\nperiod = \"20ms\"\nwithin = \"20ms\"\n"),
                Path.of("."));
        SyntheticMember probe = SyntheticMember.start(loop, settings, 1, 1);
        CountDownLatch exchanged = new CountDownLatch(1);
        loop.scheduleAtFixedRate(
                () -> {
                    if (probe.exchanges() > 1) {
                        exchanged.countDown();
                    }
                },
                0,
                1,
                TimeUnit.MILLISECONDS);
        exchanged.await(10, TimeUnit.SECONDS);
        return probe::close;
    }

    private static Runnable lettuce(MultiThreadIoEventLoopGroup group, int port) {
        DefaultClientResources resources =
                DefaultClientResources.builder().eventExecutorGroup(group).build();
        RedisClient client = RedisClient.create(resources, RedisURI.create("127.0.0.1", port));
        StatefulRedisConnection<String, String> connection = client.connect();
        connection.sync().time();
        return () -> {
            client.shutdown(0, 1, TimeUnit.SECONDS);
            resources.shutdown(0, 1, TimeUnit.SECONDS);
        };
    }

    private static Runnable jedis(int port) {
        Jedis jedis = new Jedis("127.0.0.1", port);
        jedis.time();
        return jedis::close;
    }
}
