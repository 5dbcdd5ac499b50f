package pondridge.bench;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import pondridge.Balancer.UpstreamState;
import pondridge.demo.SiteTestbed;
import pondridge.demo.StandinOptions;
import pondridge.rig.Fleet;
import pondridge.standin.ExecutionLedger.Verdict;
import pondridge.standin.FaultyLink;
import pondridge.standin.FaultyLink.Condition;
import pondridge.standin.FaultyLink.Direction;

/**
 * Runs two sites under load and injects random faults one after the other: links stall, lose one direction or
 * break; sites are cut off, stall or drain. Repeats rounds with consecutive seeds for {@code SOAK_MINUTES} (default
 * 10). After each round the ledger is checked; the first broken rule ends the run with an error that names the seed.
 */
final class GatewaySoak {
    private static final long MS = 1_000_000;
    private static final int CLIENT_TIMEOUT_MS = 2_000;
    private static final int REQUESTS = 3_000;
    private static final double RATE = 150;
    private static final long DRAIN_TIMEOUT_MS = 60_000;

    void run() throws Exception {
        String minutes = System.getenv().getOrDefault("SOAK_MINUTES", "10");
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos((long) (60 * Double.parseDouble(minutes)));
        for (long seed = Long.getLong("seed", 1); System.nanoTime() - deadline < 0; seed++) {
            Verdict verdict = runRound(new Random(seed), seed);
            System.out.printf(
                    "bench gateway-soak: seed=%d asked=%d served=%d refused=%d failed=%d "
                            + "dropped=%d doubled=%d late=%d unanswered=%d clean=%s%n",
                    seed,
                    verdict.requests(),
                    verdict.served(),
                    verdict.refused(),
                    verdict.failed(),
                    verdict.droppedRepeats(),
                    verdict.duplicateEffects(),
                    verdict.late(),
                    verdict.unanswered(),
                    verdict.passed());
            if (!verdict.passed()) {
                throw new IllegalStateException("seed " + seed + ": " + verdict);
            }
        }
    }

    private static Verdict runRound(Random random, long seed) throws Exception {
        long delay = (5 + random.nextInt(75)) * MS;
        try (SiteTestbed sites = new SiteTestbed(
                new SiteTestbed.TestbedConfig(List.of("a", "b"), 4, 2, 10 * MS, delay, delay / 4, ""),
                StandinOptions.withDeadline(CLIENT_TIMEOUT_MS),
                seed,
                site -> "security = \"plain\"\n")) {
            CompletableFuture<Void> load = CompletableFuture.allOf(
                    sites.load("a", seed).start(Fleet.mixedPlan(REQUESTS, RATE, CLIENT_TIMEOUT_MS)),
                    sites.load("b", seed).start(Fleet.mixedPlan(REQUESTS, RATE, CLIENT_TIMEOUT_MS)));
            while (!load.isDone()) {
                injectFault(sites, random, Condition.delayed(delay, delay / 4), load);
            }
            if (!sites.awaitIdle(DRAIN_TIMEOUT_MS)) {
                throw new IllegalStateException(
                        "seed " + seed + ": requests still open after " + DRAIN_TIMEOUT_MS + " ms");
            }
            return sites.ledger().verdict();
        }
    }

    private static void awaitAtMost(CompletableFuture<Void> load, long millis) {
        load.copy().completeOnTimeout(null, millis, TimeUnit.MILLISECONDS).join();
    }

    /** Injects one fault, waits, removes it and waits again. */
    private static void injectFault(SiteTestbed sites, Random random, Condition normal, CompletableFuture<Void> load) {
        SiteTestbed.Site site = sites.site(random.nextBoolean() ? "a" : "b");
        FaultyLink link = site.links().get(random.nextInt(site.links().size()));
        Direction direction = Direction.values()[random.nextInt(2)];
        long length = 200 + random.nextInt(3_000);
        switch (random.nextInt(6)) {
            case 0 -> site.links().forEach(each -> each.setCondition(normal.withStalled(true)));
            case 1 -> link.setCondition(direction, normal.withDiscarding(true));
            case 2 -> link.reset();
            case 3 -> site.cutServers(true);
            case 4 -> site.stallServers(true);
            default -> site.publishState(UpstreamState.DRAINING);
        }
        awaitAtMost(load, length);
        site.links().forEach(each -> each.setCondition(normal));
        link.reset();
        site.cutServers(false);
        site.stallServers(false);
        site.publishState(UpstreamState.READY);
        awaitAtMost(load, 300 + random.nextInt(1_500));
    }
}
