package pondridge.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import pondridge.standin.DiscoveryStandin;

/**
 * Measures the latency that sidecars add: a chain of services, each of which calls the next one through its own
 * sidecar process, compared with the same chain without sidecars, alternating in one run. The load is open-loop:
 * arrivals do not wait for responses, and latency counts from the intended time of sending.
 */
final class RequestPathBench {
    private static final int[] DEPTHS = {1, 2, 4, 8, 16};
    private static final int MAX_DEPTH = 16;
    private static final int SERVERS = 16;
    /** The operators' mean request rate of a sidecar. */
    private static final double REQUESTS_PER_SECOND = 112;

    private static final int ROUNDS = 3;
    private static final int WARM_UP_REQUESTS = 336;
    /** Requests at the start of each round that are not counted, because connections of clients have been idle. */
    private static final int UNCOUNTED_REQUESTS = 22;

    private static final int COUNTED_REQUESTS = 140;
    private static final double CLOCK_TICKS_PER_SECOND = 100;
    private static final int EVENT_LOOPS = 5;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final EventLoop clients = group.next();
    private final ServiceClient client = new ServiceClient(clients);
    private final Random random = new Random(1);
    private final ChainService[] services = new ChainService[MAX_DEPTH];
    private final InetSocketAddress[] sidecarAddresses = new InetSocketAddress[MAX_DEPTH];
    private final List<Process> sidecars = new ArrayList<>();
    private final Path folder;
    /** Changed only between rounds, while no request is open. */
    private volatile boolean throughSidecars;

    RequestPathBench() throws IOException {
        folder = Files.createTempDirectory("bench");
    }

    /** The measurements of one depth, either with or without sidecars. */
    private static final class Measurement {
        private final Histogram latency = new Histogram(60_000_000_000L, 3);
        private final AtomicInteger failed = new AtomicInteger();
        private double cpuSeconds;

        private double micros(double percentile) {
            return latency.getValueAtPercentile(percentile) / 1e3;
        }
    }

    void run() throws Exception {
        try {
            build();
            measure();
        } finally {
            for (Process each : sidecars) {
                each.destroyForcibly().waitFor();
            }
        }
    }

    private void measure() throws Exception {
        Measurement[][] measurements = new Measurement[DEPTHS.length][2];
        for (Measurement[] each : measurements) {
            each[0] = new Measurement();
            each[1] = new Measurement();
        }
        for (int variant = 0; variant < 2; variant++) {
            throughSidecars = variant == 1;
            load(MAX_DEPTH, WARM_UP_REQUESTS, WARM_UP_REQUESTS, new Measurement());
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < DEPTHS.length; i++) {
                for (int variant = 0; variant < 2; variant++) {
                    throughSidecars = variant == 1;
                    load(
                            DEPTHS[i],
                            UNCOUNTED_REQUESTS + COUNTED_REQUESTS,
                            UNCOUNTED_REQUESTS,
                            measurements[i][variant]);
                }
            }
        }
        for (int i = 0; i < DEPTHS.length; i++) {
            Measurement direct = measurements[i][0];
            Measurement viaSidecars = measurements[i][1];
            System.out.printf(
                    "bench request-path: depth=%d requests=%d direct_p50_us=%.0f "
                            + "direct_p99_us=%.0f through_p50_us=%.0f through_p99_us=%.0f added_p50_us=%.0f "
                            + "added_p99_us=%.0f added_p50_us_hop=%.0f added_p99_us_hop=%.0f bad_direct=%d "
                            + "bad_through=%d%n",
                    DEPTHS[i],
                    viaSidecars.latency.getTotalCount(),
                    direct.micros(50),
                    direct.micros(99),
                    viaSidecars.micros(50),
                    viaSidecars.micros(99),
                    viaSidecars.micros(50) - direct.micros(50),
                    viaSidecars.micros(99) - direct.micros(99),
                    (viaSidecars.micros(50) - direct.micros(50)) / DEPTHS[i],
                    (viaSidecars.micros(99) - direct.micros(99)) / DEPTHS[i],
                    direct.failed.get(),
                    viaSidecars.failed.get());
        }
        Measurement[] atMaxDepth = measurements[DEPTHS.length - 1];
        double requests = (double) ROUNDS * (UNCOUNTED_REQUESTS + COUNTED_REQUESTS) * MAX_DEPTH;
        System.out.printf(
                "bench request-path: sidecars=%d cpu_us_request=%.0f cpu_us_request_over_idle=%.0f "
                        + "memory_mb=%.1f%n",
                MAX_DEPTH,
                atMaxDepth[1].cpuSeconds * 1e6 / requests,
                (atMaxDepth[1].cpuSeconds - atMaxDepth[0].cpuSeconds) * 1e6 / requests,
                meanMemoryMb());
    }

    /** Builds the chain of the greatest depth; a shorter chain starts at a later service of it. */
    private void build() throws Exception {
        List<ServerSocket> portReservations = new ArrayList<>();
        for (int i = 0; i < MAX_DEPTH; i++) {
            ServerSocket reservation = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            portReservations.add(reservation);
            sidecarAddresses[i] = (InetSocketAddress) reservation.getLocalSocketAddress();
        }
        for (int i = MAX_DEPTH - 1; i >= 0; i--) {
            int next = i + 1;
            Supplier<InetSocketAddress> nextHop =
                    () -> throughSidecars ? sidecarAddresses[next] : services[next].nextAddress();
            services[i] = new ChainService(
                    group.next(),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    SERVERS,
                    next == MAX_DEPTH ? null : nextHop);
        }
        for (int i = 0; i < MAX_DEPTH; i++) {
            portReservations.get(i).close();
            sidecars.add(start(i));
        }
        for (int i = 0; i < MAX_DEPTH; i++) {
            awaitReady(i);
        }
    }

    private void load(int depth, int requests, int uncounted, Measurement measurement) throws Exception {
        int first = MAX_DEPTH - depth;
        double before = cpuSeconds();
        CountDownLatch pendingResponses = new CountDownLatch(requests);
        long at = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            at += (long) (-Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND * 1e9);
            for (long wait = at - System.nanoTime(); wait > 0; wait = at - System.nanoTime()) {
                LockSupport.parkNanos(wait);
            }
            long intended = at;
            boolean counted = i >= uncounted;
            clients.execute(() ->
                    client.send(throughSidecars ? sidecarAddresses[first] : services[first].nextAddress(), status -> {
                        if (counted && status == 200) {
                            measurement.latency.recordValue(System.nanoTime() - intended);
                        } else if (status != 200) {
                            measurement.failed.incrementAndGet();
                        }
                        pendingResponses.countDown();
                    }));
        }
        if (!pendingResponses.await(10, TimeUnit.SECONDS)) {
            throw new IOException(pendingResponses.getCount() + " requests without a response after 10 s");
        }
        measurement.cpuSeconds += cpuSeconds() - before;
    }

    private Process start(int number) throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
        builder.environment()
                .put(
                        "PROXY_CONFIG",
                        Files.writeString(folder.resolve(number + ".json"), config(number))
                                .toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve(number + ".log").toFile())
                .start();
    }

    private void awaitReady(int number) throws Exception {
        URI readyUri = URI.create("http://127.0.0.1:" + sidecarAddresses[number].getPort() + "/up");
        for (int i = 0; i < 400; i++) {
            try {
                if (((HttpURLConnection) readyUri.toURL().openConnection()).getResponseCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                if (!sidecars.get(number).isAlive()) {
                    throw e;
                }
            }
            Thread.sleep(50);
        }
        throw new IOException("sidecar " + number + " not ready after 20 s");
    }

    private String config(int number) throws IOException {
        ObjectMapper json = new ObjectMapper();
        // connIdle is longer than the rounds of all other depths, so that connections to servers stay open.
        ObjectNode root = (ObjectNode)
                json.readTree(
                        """
                {"seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"rev":1,"all":true,"targets":[]},
                 "settings":{"discovery":"automatic","quantum":1000000,"rank":0,"replicasOfMe":1,
                  "zones":["a"],"kinds":["m"],"report":{"fields":[]},
                  "caps":{"mayCancel":true,"tryLimit":3,"connectTimeout":500000000,"connIdle":60000000000},
                  "parties":[{"name":"acme","portion":1.0,"quotaRps":100000}],
                  "rules":{"answerSlack":20000000,"stopSendingWithin":2000000000,"coldShare":0.39,
                   "rampTime":7400000000,"overloadFactor":4.0,"tipAfter":1500000000},
                  "profiles":[{"name":"order-confirm","slo":500000000,"deadline":2000000000,
                   "semantics":"by_key","keyScope":"all","keyTtl":7500000000}]}}""");
        root.put("name", "n" + number).put("listen", "127.0.0.1:" + sidecarAddresses[number].getPort());
        root.put("seed", Integer.toHexString(number + 1));
        ArrayNode targets = root.withObject("/known").withArray("/targets");
        List<DiscoveryStandin.Entry> entries = new ArrayList<>();
        for (InetSocketAddress each : services[number].addresses()) {
            DiscoveryStandin.Entry entry = new DiscoveryStandin.Entry("s" + entries.size(), each, "a", "SERVING", 0);
            entries.add(entry);
            targets.add(json.readTree(entry.json()));
        }
        DiscoveryStandin agent =
                new DiscoveryStandin(group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), entries);
        return root.put("discovery", "127.0.0.1:" + agent.address().getPort()).toString();
    }

    /** CPU time of all sidecars in seconds, from /proc. */
    private double cpuSeconds() throws IOException {
        long ticks = 0;
        for (Process each : sidecars) {
            String[] fields = Files.readString(Path.of("/proc/" + each.pid() + "/stat"))
                    .split("\\) ")[1]
                    .split(" ");
            ticks += Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        }
        return ticks / CLOCK_TICKS_PER_SECOND;
    }

    /** Mean resident memory of a sidecar in MB, from /proc. */
    private double meanMemoryMb() throws IOException {
        double sum = 0;
        for (Process each : sidecars) {
            sum += Files.readAllLines(Path.of("/proc/" + each.pid() + "/status")).stream()
                            .filter(line -> line.startsWith("VmRSS:"))
                            .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                            .sum()
                    / 1024.0;
        }
        return sum / sidecars.size();
    }
}
