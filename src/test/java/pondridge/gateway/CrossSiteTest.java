package pondridge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.UpstreamState;
import pondridge.demo.SiteTestbed;
import pondridge.demo.StandinOptions;
import pondridge.http2.TransportHarness;
import pondridge.rig.Fleet;
import pondridge.standin.ColdStart;
import pondridge.standin.ExecutionLedger.Verdict;
import pondridge.standin.FaultScript;
import pondridge.standin.FaultyLink;
import pondridge.standin.StandinServer;
import pondridge.standin.redis.RedisStandin;

/**
 * Tests two and three sites with servers, gateways and faulty links; each test ends by checking the execution
 * ledger.
 */
class CrossSiteTest {
    private static final long MS = 1_000_000;
    private static final int CLIENT_TIMEOUT_MS = 3_000;
    private static final long SEED = Long.getLong("seed", 20261201);
    private static final String PLAIN_TEXT = "security = \"plain\"\n";

    private static SiteTestbed sites(int gateways, long delayNanos, String settings, String... names) throws Exception {
        return sites(gateways, 5 * MS, delayNanos, settings, names);
    }

    private static SiteTestbed sites(int gateways, long workNanos, long delayNanos, String settings, String... names)
            throws Exception {
        System.out.println("sites seed " + SEED);
        return new SiteTestbed(
                new SiteTestbed.TestbedConfig(
                        List.of(names), 4, gateways, workNanos, delayNanos, delayNanos / 4, settings),
                StandinOptions.withDeadline(CLIENT_TIMEOUT_MS),
                SEED,
                site -> PLAIN_TEXT);
    }

    private static Verdict awaitVerdict(SiteTestbed sites, CompletableFuture<Void> load) throws Exception {
        load.get(Fleet.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(sites.awaitIdle(Fleet.TIMEOUT_SECONDS * 1_000), "requests without a response");
        Verdict verdict = sites.ledger().verdict();
        System.out.println(verdict);
        assertTrue(verdict.passed(), verdict::toString);
        return verdict;
    }

    /** A site without servers of its own is served by the other one, for every class of request. */
    @Test
    void siteWithoutServersIsServedByTheOther() throws Exception {
        try (SiteTestbed sites = sites(2, 20 * MS, "", "a", "b")) {
            sites.site("a").publishState(UpstreamState.DRAINING);
            Verdict verdict =
                    awaitVerdict(sites, sites.load("a", SEED).start(Fleet.mixedPlan(400, 100, CLIENT_TIMEOUT_MS)));
            assertTrue(verdict.served() > 300, verdict::toString);
            assertEquals(
                    0,
                    sites.site("a").servers().stream()
                            .mapToInt(each -> each.executions())
                            .sum());
            assertTrue(sites.site("a").count("crossed") >= verdict.served());
            assertEquals(0, sites.site("b").count("crossed"), "requests received over a link are not forwarded");
        }
    }

    private static long executions(SiteTestbed sites, String site) {
        return sites.site(site).servers().stream()
                .mapToLong(StandinServer::executions)
                .sum();
    }

    private static CompletableFuture<Void> loadOfClass(
            SiteTestbed sites, String site, String requestClass, int count, double rate) {
        return sites.load(site, SEED).start(Fleet.plan(count, rate, CLIENT_TIMEOUT_MS, Map.of(requestClass, 1.0)));
    }

    /** Waits until the gateways of a site have a link. */
    private static void awaitLink(SiteTestbed sites, String site) throws Exception {
        TransportHarness.waitUntil(() -> sites.site(site).count("links_up") > 0, "a link");
    }

    /**
     * The link stalls, open but silent, while confirmations and holds are in flight, and recovers after all
     * of them have timed out. Requests that arrive then are too old, and no effect happens twice.
     */
    @Test
    void stalledLinkThatRecoversLateCausesNoDuplicates() throws Exception {
        try (SiteTestbed sites = sites(2, 20 * MS, "", "a", "b")) {
            awaitLink(sites, "a");
            sites.site("a").cutServers(true);
            sites.site("a").publishState(UpstreamState.DRAINING);
            CompletableFuture<Void> confirms = loadOfClass(sites, "a", "order-confirm", 200, 400);
            CompletableFuture<Void> holds =
                    sites.load("a", SEED + 1).start(Fleet.plan(200, 400, CLIENT_TIMEOUT_MS, Map.of("stock-hold", 1.0)));
            TransportHarness.waitUntil(() -> sites.site("b").count("by_link") > 60, "requests at the other site");
            FaultyLink.Condition link = FaultyLink.Condition.delayed(20 * MS, 5 * MS);
            sites.site("b").links().forEach(each -> each.setCondition(link.withStalled(true)));
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 0, "the stall is detected");
            confirms.get(Fleet.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            holds.get(Fleet.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            sites.site("b").links().forEach(each -> each.setCondition(link));
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") > 0, "the recovery is detected");
            Verdict before = awaitVerdict(sites, holds);
            assertTrue(before.failed() > 0, "requests at the other site may have run: " + before);
            Verdict verdict =
                    awaitVerdict(sites, sites.load("a", SEED + 2).start(Fleet.mixedPlan(600, 150, CLIENT_TIMEOUT_MS)));
            assertTrue(verdict.served() - before.served() > 50, "served after the recovery: " + verdict);
        }
    }

    /** Each direction of a link is lost separately; confirmations then go through the other gateway. */
    @Test
    void lossOfOneDirection() throws Exception {
        for (FaultyLink.Direction direction : FaultyLink.Direction.values()) {
            try (SiteTestbed sites = sites(2, 20 * MS, "", "a", "b")) {
                awaitLink(sites, "a");
                sites.site("a").publishState(UpstreamState.DRAINING);
                CompletableFuture<Void> load =
                        sites.load("a", SEED).start(Fleet.mixedPlan(400, 200, CLIENT_TIMEOUT_MS));
                TransportHarness.waitUntil(() -> sites.site("b").count("by_link") > 40, "requests at the other site");
                FaultyLink.Condition link = FaultyLink.Condition.delayed(20 * MS, 5 * MS);
                sites.site("b").links().get(0).setCondition(direction, link.withDiscarding(true));
                awaitVerdict(sites, load);
                awaitRecovery(sites, "the other gateway serves");
            }
        }
    }

    /** Sends small loads to site a, one after the other, until most of one is served. */
    private static void awaitRecovery(SiteTestbed sites, String failure) throws Exception {
        long before = sites.ledger().verdict().served();
        for (int round = 1; round <= 30; round++) {
            long served = awaitVerdict(
                            sites,
                            sites.load("a", SEED + 100 + round).start(Fleet.mixedPlan(50, 100, CLIENT_TIMEOUT_MS)))
                    .served();
            if (served - before > 40) {
                return;
            }
            before = served;
        }
        throw new AssertionError(failure);
    }

    /**
     * A response is lost in transit; the repeat gets the same response from the gateway or a server, without
     * a second run.
     */
    @Test
    void lostResponseIsReplayedWithoutASecondRun() throws Exception {
        try (SiteTestbed sites = sites(1, 60 * MS, 10 * MS, "", "a", "b")) {
            awaitLink(sites, "a");
            sites.site("a").publishState(UpstreamState.DRAINING);
            CompletableFuture<Void> load = loadOfClass(sites, "a", "order-confirm", 300, 150);
            FaultyLink link = sites.site("b").links().get(0);
            for (int i = 0; i < 8; i++) {
                TransportHarness.waitUntil(
                        () -> load.isDone() || sites.site("b").count("open") > 1, "requests in progress");
                // The requests have arrived; their responses are lost with the connection.
                link.reset();
            }
            Verdict verdict = awaitVerdict(sites, load);
            assertTrue(verdict.served() > 200, verdict::toString);
            assertTrue(sites.site("b").count("repeats") + verdict.droppedRepeats() > 0, "repeats came: " + verdict);
        }
    }

    /**
     * The local site is cut and the link stalls at the same time: each request gets a response before its
     * deadline.
     */
    @Test
    void siteCutWhileTheLinkStalls() throws Exception {
        try (SiteTestbed sites = sites(2, 20 * MS, "", "a", "b")) {
            awaitLink(sites, "a");
            CompletableFuture<Void> load = sites.load("a", SEED).start(Fleet.mixedPlan(600, 200, CLIENT_TIMEOUT_MS));
            TransportHarness.waitUntil(() -> executions(sites, "a") > 100, "the local site serves");
            sites.site("a").stallServers(true);
            sites.site("b")
                    .links()
                    .forEach(each -> each.setCondition(
                            FaultyLink.Condition.delayed(20 * MS, 0).withStalled(true)));
            Verdict verdict = awaitVerdict(sites, load);
            assertTrue(verdict.served() > 50, verdict::toString);
            assertTrue(verdict.refused() + verdict.failed() > 100, verdict::toString);
        }
    }

    /**
     * Links go down and up every 300 ms: no load surge, no duplicate effects, and no more requests to the
     * other site than the budget allows.
     */
    @Test
    void flappingLinks() throws Exception {
        String budget = "[crossing]\nper_second = 50\nburst = 25\n";
        try (SiteTestbed sites = sites(2, 10 * MS, budget, "a", "b")) {
            awaitLink(sites, "a");
            sites.site("a").publishState(UpstreamState.DRAINING);
            long startedAt = System.nanoTime();
            CompletableFuture<Void> load = sites.load("a", SEED).start(Fleet.mixedPlan(1_200, 200, CLIENT_TIMEOUT_MS));
            FaultyLink.Condition link = FaultyLink.Condition.delayed(10 * MS, 2 * MS);
            for (boolean down = true; !load.isDone(); down = !down) {
                boolean stalled = down;
                sites.site("b").links().forEach(each -> each.setCondition(link.withStalled(stalled)));
                load.copy().completeOnTimeout(null, 300, TimeUnit.MILLISECONDS).join();
            }
            long seconds = (System.nanoTime() - startedAt) / 1_000_000_000 + 1;
            Verdict verdict = awaitVerdict(sites, load);
            assertTrue(
                    sites.site("a").count("crossed") <= 2 * (25 + 50 * seconds), "within the budget of two gateways");
            assertTrue(verdict.served() > 50, verdict::toString);
        }
    }

    /** Three sites, one of them cut: the others share its requests and forward none. */
    @Test
    void loadOfOneSiteIsSharedWithoutLoops() throws Exception {
        try (SiteTestbed sites = sites(1, 10 * MS, "credit = 4\n", "a", "b", "c")) {
            awaitLink(sites, "a");
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 2, "both links");
            sites.site("a").publishState(UpstreamState.DRAINING);
            Verdict verdict =
                    awaitVerdict(sites, sites.load("a", SEED).start(Fleet.mixedPlan(600, 300, CLIENT_TIMEOUT_MS)));
            assertTrue(executions(sites, "b") > 50 && executions(sites, "c") > 50, "both share: " + verdict);
            assertEquals(0, sites.site("b").count("crossed") + sites.site("c").count("crossed"));
        }
    }

    /**
     * With a plan, two gateways distribute a lost site's load by capacity, three quarters to c and one to b
     * although b is nearer; while b is unreachable all goes to c.
     */
    @Test
    void lostSiteIsServedByCapacityAndNotByDistance() throws Exception {
        StringBuilder plan = new StringBuilder("[site_plan]\nreserve = 0\n");
        for (String className : StandinOptions.withDeadline(CLIENT_TIMEOUT_MS).objectNames("profiles")) {
            plan.append("[site_plan.classes.").append(className).append("]\nwork = \"5ms\"\naim = \"1s\"\n");
        }
        plan.append("[site_plan.sites]\na = { capacity = 4, asked = { stock-check = 100 } }\n"
                + "b = { capacity = 1 }\nc = { capacity = 3 }\n"
                + "[site_plan.ways.a]\nb = {}\nc = {}\n");
        try (SiteTestbed sites = sites(2, 5 * MS, plan.toString(), "a", "b", "c")) {
            sites.site("c").links().forEach(link -> link.setCondition(FaultyLink.Condition.delayed(15 * MS, 0)));
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 8, "all links of both gateways");
            sites.site("a").publishState(UpstreamState.DRAINING);
            awaitVerdict(sites, loadOfClass(sites, "a", "stock-check", 600, 200));
            double shareOfC = executions(sites, "c") / (double) (executions(sites, "b") + executions(sites, "c"));
            assertTrue(shareOfC > 0.6 && shareOfC < 0.9, "share of c: " + shareOfC);
            sites.site("b").links().forEach(link -> link.setResetNewConnections(true));
            sites.site("b").links().forEach(FaultyLink::reset);
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 4, "b is unreachable");
            long before = executions(sites, "c");
            Verdict verdict = awaitVerdict(
                    sites,
                    sites.load("a", SEED + 1)
                            .start(Fleet.plan(300, 200, CLIENT_TIMEOUT_MS, Map.of("stock-check", 1.0))));
            assertTrue(executions(sites, "c") - before > 200, verdict::toString);
        }
    }

    /**
     * A remote gateway is killed after servers have run its requests, then the second one too: the requests
     * are repeated at the other gateway.
     */
    @Test
    void remoteGatewayKilledAfterExecution() throws Exception {
        try (SiteTestbed sites = sites(2, 60 * MS, 10 * MS, "", "a", "b")) {
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 4, "all links");
            sites.site("a").publishState(UpstreamState.DRAINING);
            CompletableFuture<Void> load = loadOfClass(sites, "a", "order-confirm", 600, 200);
            SiteTestbed.Site b = sites.site("b");
            for (int killed = 0; killed < 2; killed++) {
                TransportHarness.waitUntil(() -> load.isDone() || b.count("open") > 5, "requests in progress");
                b.killGateway(killed);
                b.restartGateway(killed);
                TransportHarness.waitUntil(
                        () -> sites.site("a").count("links_up") == 4, "links to the restarted gateway");
            }
            Verdict verdict = awaitVerdict(sites, load);
            assertTrue(verdict.served() > 400, verdict::toString);
            assertTrue(verdict.droppedRepeats() > 0, "requests that had run were repeated: " + verdict);
        }
    }

    /**
     * A local gateway is killed with requests at the other site, then both sites lose one: no effect happens
     * twice.
     */
    @Test
    void killedLocalGatewaysCauseNoDuplicates() throws Exception {
        try (SiteTestbed sites = sites(2, 60 * MS, 10 * MS, "", "a", "b")) {
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 4, "all links");
            sites.site("a").publishState(UpstreamState.DRAINING);
            CompletableFuture<Void> load = sites.load("a", SEED).start(Fleet.mixedPlan(600, 200, CLIENT_TIMEOUT_MS));
            TransportHarness.waitUntil(
                    () -> sites.site("a").count("served") > 60
                            && sites.site("b").count("open") > 3,
                    "requests served and others in progress");
            sites.site("a").killGateway(0);
            TransportHarness.waitUntil(() -> sites.site("b").count("open") > 2, "requests of the other gateway");
            sites.site("a").killGateway(1);
            sites.site("b").killGateway(0);
            load.get(Fleet.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertTrue(sites.awaitIdle(Fleet.TIMEOUT_SECONDS * 1_000));
            Verdict verdict = sites.ledger().verdict();
            assertEquals(
                    0,
                    verdict.duplicateEffects()
                            + verdict.duplicateResponses()
                            + verdict.mismatchedResponses()
                            + verdict.refusedAfterExecution()
                            + verdict.late(),
                    verdict::toString);
            assertTrue(verdict.unanswered() > 0 && verdict.served() > 0, verdict::toString);
        }
    }

    /**
     * A peer that responds to heartbeats without timestamp and credit, as an older version might, gets no
     * requests.
     */
    @Test
    void remoteGatewayWithoutRequiredHeadersGetsNoRequests() throws Exception {
        try (SiteTestbed sites = sites(1, 5 * MS, "", "a", "b");
                TransportHarness harness = new TransportHarness("");
                StandinServer oldVersion = harness.startServer(1, 100, 65_535, FaultScript.withoutFaults(MS))) {
            awaitLink(sites, "a");
            FaultyLink link = sites.site("b").links().get(0);
            link.setTarget(oldVersion.address());
            link.reset();
            TransportHarness.waitUntil(
                    () -> sites.site("a").count("links_up") == 0 && oldVersion.connections() > 0,
                    "the old version is connected");
            sites.site("a").publishState(UpstreamState.DRAINING);
            Verdict verdict =
                    awaitVerdict(sites, sites.load("a", SEED).start(Fleet.mixedPlan(60, 100, CLIENT_TIMEOUT_MS)));
            assertEquals(60, verdict.refused(), verdict::toString);
            assertEquals(0, oldVersion.executions() + executions(sites, "b"));
        }
    }

    /**
     * Requests are sent into a link that has just stalled, before the stall is detected: those delivered
     * later are rejected.
     */
    @Test
    void requestsDeliveredLateByAStalledLinkAreRejected() throws Exception {
        try (SiteTestbed sites = sites(1, 20 * MS, "", "a", "b")) {
            awaitLink(sites, "a");
            sites.site("a").publishState(UpstreamState.DRAINING);
            FaultyLink.Condition link = FaultyLink.Condition.delayed(20 * MS, 0);
            sites.site("b").links().get(0).setCondition(FaultyLink.Direction.FORWARD, link.withStalled(true));
            Verdict verdict = awaitVerdict(sites, loadOfClass(sites, "a", "stock-hold", 100, 1_000));
            assertTrue(verdict.failed() > 0, "some were sent and may have run: " + verdict);
            sites.site("b").links().get(0).setCondition(link);
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") > 0, "the recovery");
            assertEquals(0, sites.site("b").count("by_link"));
            assertEquals(0, executions(sites, "b"));
        }
    }

    /**
     * The clocks of two sites differ by 30 s in either direction: requests are served across sites, and late
     * ones are still detected.
     */
    @Test
    void remoteSiteWithClockOffset() throws Exception {
        for (long clockOffset : new long[] {30_000 * MS, -30_000 * MS}) {
            try (SiteTestbed sites = new SiteTestbed(
                    new SiteTestbed.TestbedConfig(List.of("a", "b"), 4, 1, 5 * MS, 20 * MS, 0, PLAIN_TEXT),
                    StandinOptions.withDeadline(CLIENT_TIMEOUT_MS),
                    SEED,
                    site -> "",
                    site -> () -> System.nanoTime() + (site.equals("b") ? clockOffset : 0))) {
                awaitLink(sites, "a");
                sites.site("a").publishState(UpstreamState.DRAINING);
                Verdict verdict = awaitVerdict(sites, loadOfClass(sites, "a", "order-confirm", 200, 150));
                assertTrue(verdict.served() > 180, verdict::toString);
                FaultyLink.Condition link = FaultyLink.Condition.delayed(20 * MS, 0);
                sites.site("b").links().get(0).setCondition(FaultyLink.Direction.FORWARD, link.withStalled(true));
                long acceptedBefore = sites.site("b").count("by_link");
                awaitVerdict(
                        sites,
                        sites.load("a", SEED + 1)
                                .start(Fleet.plan(100, 1_000, CLIENT_TIMEOUT_MS, Map.of("stock-hold", 1.0))));
                sites.site("b").links().get(0).setCondition(link);
                TransportHarness.waitUntil(() -> sites.site("a").count("links_up") > 0, "the recovery");
                assertEquals(
                        acceptedBefore,
                        sites.site("b").count("by_link"),
                        "late requests are rejected for either offset");
            }
        }
    }

    /**
     * Cross-site load of four times the remote site's capacity: the remote site's own clients are served
     * nearly as well as without it, and the cross-site requests keep its servers busy.
     */
    @Test
    void crossSiteLoadAtFourTimesTheRemoteCapacity() throws Exception {
        String budget = "[crossing]\nper_second = 10000\nburst = 1000\n";
        double[] servedFraction = new double[2];
        for (int withRemoteLoad = 0; withRemoteLoad < 2; withRemoteLoad++) {
            try (SiteTestbed sites = sites(1, 20 * MS, 10 * MS, budget, "a", "b")) {
                awaitLink(sites, "a");
                // 4 servers of 2 threads at 20 ms: 400 requests a second, half of them from the site's own
                // clients.
                sites.site("b").servers().forEach(each -> each.setThreadPool(2, 20));
                sites.site("a").publishState(UpstreamState.DRAINING);
                CompletableFuture<Void> localLoad = sites.load("b", SEED).start(Fleet.mixedPlan(800, 200, 400));
                CompletableFuture<Void> remoteLoad = withRemoteLoad == 0
                        ? CompletableFuture.completedFuture(null)
                        : sites.load("a", SEED).start(Fleet.plan(6_400, 1_600, 400, Map.of("stock-check", 1.0)));
                remoteLoad.get(Fleet.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                Verdict verdict = awaitVerdict(sites, localLoad);
                servedFraction[withRemoteLoad] = sites.site("b").count("served") / 800.0;
                if (withRemoteLoad == 1) {
                    assertTrue(sites.site("a").count("crossed_served") > 100, verdict::toString);
                }
            }
        }
        System.out.println("local clients served without and with cross-site load: " + servedFraction[0] + " "
                + servedFraction[1]);
        assertTrue(
                servedFraction[1] > 0.8 * servedFraction[0],
                servedFraction[0] + " without, " + servedFraction[1] + " with");
    }

    /**
     * A server starts cold, and the list's clock is 30 s behind or ahead of the gateways' clock: the server
     * is not overloaded.
     */
    @Test
    void coldServerIsNotOverloadedDespiteClockOffset() throws Exception {
        for (long clockOffset : new long[] {-30_000, 30_000}) {
            try (SiteTestbed sites = sites(1, 5 * MS, "", "a")) {
                sites.site("a").publishState(UpstreamState.READY);
                CompletableFuture<Void> load =
                        sites.load("a", SEED).start(Fleet.mixedPlan(900, 300, CLIENT_TIMEOUT_MS));
                TransportHarness.waitUntil(() -> sites.site("a").count("served") > 150, "load");
                sites.site("a")
                        .servers()
                        .get(0)
                        .setColdStart(new ColdStart(System.nanoTime(), 7_400 * MS, 0.39, 20, 4, 1_500 * MS));
                sites.site("a").publishRestart(0, clockOffset);
                Verdict verdict = awaitVerdict(sites, load);
                assertTrue(verdict.served() > 450, verdict::toString);
            }
        }
    }

    /**
     * Two gateways of a cut site share the cross-site budget by leases from a store, which then stops: the
     * site's budget is never exceeded, and no request waits for the store.
     */
    @Test
    void gatewaysOfASiteShareTheCrossSiteBudget() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (RedisStandin store = new RedisStandin(
                group.next(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                RedisStandin.Setup.defaults())) {
            String settings = "[crossing]\nper_second = 60\nburst = 20\ngateways = 2\n"
                    + "[store]\naddress = \"127.0.0.1:" + store.address().getPort() + "\"\n"
                    + "period = \"60ms\"\nwithin = \"60ms\"\n"
                    + "settle = \"200ms\"\nslot = \"100ms\"\nmisses = 1\n";
            try (SiteTestbed sites = sites(2, 5 * MS, settings, "a")) {
                TransportHarness.waitUntil(() -> sites.site("a").count("store_parts") > 4, "parts");
            }
            try (SiteTestbed sites = sites(2, 5 * MS, settings, "a", "b")) {
                awaitLink(sites, "a");
                sites.site("a").publishState(UpstreamState.DRAINING);
                long startedAt = System.nanoTime();
                CompletableFuture<Void> load =
                        sites.load("a", SEED).start(Fleet.mixedPlan(800, 200, CLIENT_TIMEOUT_MS));
                TransportHarness.waitUntil(() -> sites.site("a").count("crossed") > 80, "cross-site requests");
                store.stop();
                Verdict verdict = awaitVerdict(sites, load);
                long seconds = (System.nanoTime() - startedAt) / 1_000_000_000 + 1;
                long crossed = sites.site("a").count("crossed");
                assertTrue(crossed <= 20 + 60 * seconds + 20, crossed + " in " + seconds + " s");
                assertTrue(verdict.refused() > 100 && verdict.served() > 50, verdict::toString);
            }
        } finally {
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
