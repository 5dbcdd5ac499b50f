package pondridge.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import pondridge.Balancer.UpstreamState;
import pondridge.demo.SiteTestbed;
import pondridge.demo.StandinOptions;
import pondridge.gateway.IdempotencyCacheFootprint;
import pondridge.rig.Fleet;
import pondridge.standin.ExecutionLedger.Tally;
import pondridge.standin.ExecutionLedger.Verdict;
import pondridge.standin.OpenLoopLoadGenerator;

/**
 * Cuts a site off from its servers for some seconds: with a gateway to another site, without one, and with all
 * servers in one pool. Then measures the cost of a cross-site request. Only ratios within one run are meaningful.
 */
final class GatewayBench {
    private static final long MS = 1_000_000;
    private static final int CLIENT_TIMEOUT_MS = 2_000;
    private static final int RATE = 200;
    private static final int SERVERS = 4;
    private static final long BEFORE_CUT_MS = 5_000;
    private static final long CUT_MS = 6_000;
    private static final long AFTER_CUT_MS = 9_000;
    private static final Map<String, Double> CLASS_SHARES = new LinkedHashMap<>(
            Map.of("stock-check", 0.4, "stock-hold", 0.25, "order-confirm", 0.25, "order-book", 0.1));
    private static final Map<String, Double> CLASS_UTILITIES =
            Map.of("stock-check", 1.0, "stock-hold", 3.0, "order-confirm", 10.0, "order-book", 10.0);

    private static SiteTestbed sites(int servers, long delay, String... names) throws Exception {
        return new SiteTestbed(
                new SiteTestbed.TestbedConfig(List.of(names), servers, 1, 5 * MS, delay, delay / 4, ""),
                StandinOptions.withDeadline(CLIENT_TIMEOUT_MS),
                1,
                site -> "security = \"plain\"\n");
    }

    /** The utility requested and the utility served so far. */
    private static double[] utilityTotals(SiteTestbed sites) {
        double[] sum = new double[2];
        CLASS_UTILITIES.forEach((className, utility) -> {
            Tally tally = sites.ledger().tally(className);
            sum[0] += utility * tally.requests();
            sum[1] += utility * tally.served();
        });
        return sum;
    }

    private static void awaitAtMost(CompletableFuture<Void> load, long millis) {
        load.copy().completeOnTimeout(null, millis, TimeUnit.MILLISECONDS).join();
    }

    /** Measures the share of requested utility that is served while half of the servers of both sites are cut off. */
    private static double measureCut(String variant, SiteTestbed sites, double rate, int cutServers) throws Exception {
        try (sites) {
            OpenLoopLoadGenerator load = sites.load("a", 1);
            int requests = (int) (rate * (BEFORE_CUT_MS + CUT_MS + AFTER_CUT_MS) / 1_000);
            CompletableFuture<Void> done = load.start(Fleet.plan(requests, rate, CLIENT_TIMEOUT_MS, CLASS_SHARES));
            awaitAtMost(done, BEFORE_CUT_MS);
            double[] before = utilityTotals(sites);
            sites.site("a").cutServers(true, cutServers);
            awaitAtMost(done, CUT_MS);
            double[] after = utilityTotals(sites);
            sites.site("a").cutServers(false, cutServers);
            long healed = System.nanoTime();
            long crossed = sites.site("a").count("crossed");
            long recovered = 0;
            while (!done.isDone()) {
                awaitAtMost(done, 50);
                long crossedNow = sites.site("a").count("crossed");
                recovered = crossedNow > crossed ? System.nanoTime() - healed : recovered;
                crossed = crossedNow;
            }
            Verdict verdict = sites.ledger().verdict();
            double share = (after[1] - before[1]) / (after[0] - before[0]);
            System.out.printf(
                    "bench gateway: way=%s worth_while_cut=%.3f served=%d refused=%d failed=%d "
                            + "crossed=%d recovered_ms=%d doubled=%d late=%d clean=%s%n",
                    variant,
                    share,
                    verdict.served(),
                    verdict.refused(),
                    verdict.failed(),
                    crossed,
                    recovered / MS,
                    verdict.duplicateEffects(),
                    verdict.late(),
                    verdict.passed());
            return share;
        }
    }

    /** Measures the latency that the link adds beyond its own delay, and the CPU time of both gateways. */
    private static void measureCrossSite(long delayMs) throws Exception {
        try (SiteTestbed sites = sites(SERVERS, delayMs * MS, "a", "b")) {
            Histogram[] latency = new Histogram[2];
            double[] cpu = new double[4];
            for (int i = 0; i < 2; i++) {
                if (i == 1) {
                    sites.site("a").publishState(UpstreamState.DRAINING);
                }
                // Warm-up load, not counted.
                sites.load("a", 10 + i)
                        .start(Fleet.plan(3 * RATE, RATE, CLIENT_TIMEOUT_MS, CLASS_SHARES))
                        .join();
                double[] before = {sites.site("a").cpuNanos(), sites.site("b").cpuNanos()};
                OpenLoopLoadGenerator load = sites.load("a", 20 + i);
                load.start(Fleet.plan(8 * RATE, RATE, CLIENT_TIMEOUT_MS, CLASS_SHARES))
                        .join();
                latency[i] = new Histogram(60_000_000_000L, 3);
                load.latencies().values().forEach(latency[i]::add);
                cpu[2 * i] = (sites.site("a").cpuNanos() - before[0]) / (8e3 * RATE);
                cpu[2 * i + 1] = (sites.site("b").cpuNanos() - before[1]) / (8e3 * RATE);
            }
            System.out.printf(
                    "bench gateway: way=crossing delay_ms=%d own_p50_us=%d own_p99_us=%d "
                            + "across_p50_us=%d across_p99_us=%d added_over_link_p50_us=%d near_cpu_us_own=%.0f "
                            + "near_cpu_us_across=%.0f far_cpu_us_idle=%.0f far_cpu_us=%.0f%n",
                    delayMs,
                    latency[0].getValueAtPercentile(50) / 1_000,
                    latency[0].getValueAtPercentile(99) / 1_000,
                    latency[1].getValueAtPercentile(50) / 1_000,
                    latency[1].getValueAtPercentile(99) / 1_000,
                    (latency[1].getValueAtPercentile(50) - latency[0].getValueAtPercentile(50)) / 1_000
                            - 2_250 * delayMs,
                    cpu[0],
                    cpu[2],
                    cpu[1],
                    cpu[3]);
        }
    }

    void run() throws Exception {
        double ideal = measureCut("one-pool", sites(2 * SERVERS, 0, "a"), 2 * RATE, SERVERS);
        double without = measureCut("without", sites(SERVERS, 0, "a"), RATE, SERVERS);
        double with = measureCut("with", sites(SERVERS, 20 * MS, "a", "b"), RATE, SERVERS);
        System.out.printf("bench gateway: with_to_ideal=%.3f without_to_ideal=%.3f%n", with / ideal, without / ideal);
        long full = IdempotencyCacheFootprint.measureHeapBytes(20_000, 800);
        System.out.printf(
                "bench gateway: way=answers answers=20000 answer_bytes=16000000 heap_mb=%.1f "
                        + "heap_to_answer_bytes=%.2f%n",
                full / 1e6, full / 16e6);
        measureCrossSite(20);
        measureCrossSite(80);
    }
}
