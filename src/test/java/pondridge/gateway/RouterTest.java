package pondridge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.siteloss.SiteFailoverRouting;
import pondridge.siteloss.Topology;

/**
 * Tests the router against a model of three sites that execute, lose, reject and deliver late, in virtual
 * time.
 */
class RouterTest {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final long MAX_DELIVERY_NANOS = 300 * MS;
    private static final RequestClass CHECK = newClass(1, RetrySemantics.REPEATABLE, KeyScope.ALL, 0);
    private static final RequestClass HOLD = newClass(3, RetrySemantics.BY_KEY, KeyScope.ZONE, SECOND);
    private static final RequestClass CONFIRM = newClass(10, RetrySemantics.BY_KEY, KeyScope.ALL, 7_500 * MS);
    private static final RequestClass BOOK = newClass(10, RetrySemantics.ONCE, KeyScope.ALL, 0);
    private static final List<RequestClass> CLASSES = List.of(CHECK, HOLD, CONFIRM, BOOK);
    private static final LocalSiteHealth.Limits LIMITS = new LocalSiteHealth.Limits(5, 200 * MS, SECOND, 0.05, SECOND);

    private static RequestClass newClass(double utility, RetrySemantics semantics, KeyScope scope, long keyTtlNanos) {
        return new RequestClass(500 * MS, 0, 12 * SECOND, utility, 0, semantics, scope, keyTtlNanos, false);
    }

    private static Router.SiteSnapshot site(long roundTripNanos, boolean reachable, int credit) {
        LinkRttEstimator link = new LinkRttEstimator(10 * MS, 4, 0);
        link.addRoundTrip(roundTripNanos, 0);
        return new Router.SiteSnapshot(link, reachable, credit, 10 - Math.min(10, credit));
    }

    private static Router router(LocalSiteHealth localSite, CrossSiteBudget budget) {
        return new Router("a", localSite, budget, 10 * MS, MAX_DELIVERY_NANOS, SiteFailoverRouting.NONE);
    }

    private static CrossSiteBudget budget(double perSecond, double burst, double arrivalShare) {
        List<CrossSiteBudget.ClassLimit> limits = new ArrayList<>();
        for (int i = 0; i < CLASSES.size(); i++) {
            limits.add(new CrossSiteBudget.ClassLimit(null, CrossSiteBudget.defaultReservedFraction(CLASSES, i)));
        }
        return new CrossSiteBudget(new CrossSiteBudget.Rate(perSecond, burst, arrivalShare), limits, 0);
    }

    /** An execution of one request: when and where servers received it; evaluated in order of time. */
    private record Execution(String site, long at) {}

    private static int effects(RequestClass requestClass, List<Execution> executions) {
        Map<String, Long> keyExpiryByScope = new HashMap<>();
        int effects = 0;
        for (Execution execution : executions.stream()
                .sorted(Comparator.comparingLong(Execution::at))
                .toList()) {
            String scopeKey = requestClass.keyScope() == KeyScope.ALL ? "" : execution.site;
            boolean isDuplicate = execution.at < keyExpiryByScope.getOrDefault(scopeKey, Long.MIN_VALUE);
            if (requestClass.retrySemantics() != RetrySemantics.BY_KEY || !isDuplicate) {
                effects++;
                keyExpiryByScope.put(scopeKey, execution.at + requestClass.keyTtlNanos());
            }
        }
        return effects;
    }

    /** Runs one request with random events and returns its final step. */
    private static Router.Step runRequest(
            Random random,
            Router router,
            LocalSiteHealth localSite,
            RequestClass requestClass,
            long startNanos,
            boolean fromLink,
            List<Execution> executions) {
        AttemptHistory history = new AttemptHistory(CLASSES.indexOf(requestClass), fromLink, 0);
        router.requestArrived(history);
        long deadline = startNanos + 200 * MS + (long) (random.nextDouble() * 11 * SECOND);
        long now = startNanos;
        while (true) {
            Map<String, Router.SiteSnapshot> sites = Map.of(
                    "b", site(40 * MS, random.nextInt(5) > 0, random.nextInt(3)),
                    "c", site(160 * MS, random.nextInt(5) > 0, random.nextInt(3)));
            Router.Step step = router.nextStep(now, requestClass, deadline, history, sites);
            if (step instanceof Router.Refuse || step instanceof Router.Fail) {
                assertTrue(now <= deadline, "responded in time");
                return step;
            }
            if (step instanceof Router.Wait wait) {
                now += wait.delayNanos();
                continue;
            }
            boolean atRemoteSite = step instanceof Router.Remote;
            String at = step instanceof Router.Remote remote ? remote.site() : "a";
            long timeLeftNanos = step instanceof Router.Remote remote
                    ? remote.timeLeftNanos()
                    : ((Router.Local) step).timeLeftNanos();
            assertFalse(atRemoteSite && fromLink, "at most one link");
            assertTrue(timeLeftNanos > 0 && now + timeLeftNanos <= deadline);
            history.attemptSent(at, now);
            long deliveryNanos = atRemoteSite ? (long) (random.nextDouble() * MAX_DELIVERY_NANOS) : 0;
            long durationNanos = deliveryNanos + 1 + (long) (random.nextDouble() * random.nextDouble() * timeLeftNanos);
            int outcome = random.nextInt(10);
            boolean served = outcome < 3;
            boolean provenNotExecuted = !served && outcome < 6;
            // An uncertain attempt has executed or has not; its delivery is within the maximum that the other
            // side accepts.
            if (served || !provenNotExecuted && random.nextBoolean()) {
                executions.add(new Execution(at, now + deliveryNanos));
            }
            now = Math.min(deadline, now + durationNanos);
            history.attemptEnded(provenNotExecuted);
            if (!atRemoteSite) {
                localSite.attemptEnded(served || random.nextBoolean(), now);
            }
            if (served) {
                return step;
            }
        }
    }

    @Test
    void noEffectHappensTwiceWhateverIsLost() {
        int sentToRemoteSite = 0;
        int repeated = 0;
        for (long seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            LocalSiteHealth localSite = new LocalSiteHealth(LIMITS, 0);
            Router router = router(localSite, budget(1e6, 1e6, 1));
            for (int i = 0; i < 40; i++) {
                RequestClass requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
                List<Execution> executions = new ArrayList<>();
                boolean fromLink = random.nextInt(4) == 0;
                Router.Step last =
                        runRequest(random, router, localSite, requestClass, i * 100 * MS, fromLink, executions);
                int effects = effects(requestClass, executions);
                String description =
                        "seed " + seed + " request " + i + " " + requestClass.retrySemantics() + " " + executions;
                assertTrue(requestClass.retrySemantics() == RetrySemantics.REPEATABLE || effects <= 1, description);
                assertFalse(
                        last instanceof Router.Refuse
                                && effects > 0
                                && requestClass.retrySemantics() != RetrySemantics.REPEATABLE,
                        "refused although it was executed: " + description);
                sentToRemoteSite += executions.stream().anyMatch(execution -> !execution.site.equals("a")) ? 1 : 0;
                repeated += executions.size() > 1 ? 1 : 0;
            }
        }
        assertTrue(
                sentToRemoteSite > 5_000 && repeated > 2_000,
                sentToRemoteSite + " sent to a remote site, " + repeated + " repeated");
    }

    @Test
    void uncertainHoldsAreRepeatedOnlyWithinTheirKeyScope() {
        LocalSiteHealth localSite = new LocalSiteHealth(LIMITS, 0);
        Router router = router(localSite, budget(100, 100, 1));
        Map<String, Router.SiteSnapshot> sites = Map.of("b", site(40 * MS, true, 9));
        AttemptHistory atLocalSite = new AttemptHistory(2, false, 0);
        atLocalSite.attemptSent("a", 0);
        atLocalSite.attemptEnded(false);
        assertInstanceOf(Router.Fail.class, router.nextStep(MS, HOLD, SECOND, atLocalSite, sites));
        Map<String, Router.SiteSnapshot> down = Map.of("b", site(40 * MS, false, 0));
        AttemptHistory afterBrokenLink = new AttemptHistory(2, false, 0);
        afterBrokenLink.attemptSent("b", 0);
        afterBrokenLink.attemptEnded(false);
        afterBrokenLink.attemptSent("a", 0);
        afterBrokenLink.attemptEnded(true);
        for (long waited = 0, i = 0; i < 4; i++) {
            Router.Wait wait = assertInstanceOf(
                    Router.Wait.class, router.nextStep(MS + waited, CONFIRM, 5 * SECOND, afterBrokenLink, down));
            waited += wait.delayNanos();
        }
        assertInstanceOf(
                Router.Fail.class,
                router.nextStep(SECOND, CONFIRM, 5 * SECOND, afterBrokenLink, down),
                "no more waits");
        AttemptHistory atOtherSite = new AttemptHistory(2, false, 0);
        atOtherSite.attemptSent("b", 0);
        atOtherSite.attemptEnded(false);
        assertInstanceOf(
                Router.Remote.class,
                router.nextStep(MS, HOLD, SECOND, atOtherSite, sites),
                "repeated at the same site");
        assertInstanceOf(
                Router.Fail.class,
                router.nextStep(SECOND - MAX_DELIVERY_NANOS, HOLD, 5 * SECOND, atOtherSite, sites),
                "it might arrive after the key window");
        AttemptHistory confirm = new AttemptHistory(2, false, 0);
        confirm.attemptSent("a", 0);
        confirm.attemptEnded(false);
        Router.Remote remote =
                assertInstanceOf(Router.Remote.class, router.nextStep(SECOND, CONFIRM, 10 * SECOND, confirm, sites));
        long roundTripNanos = sites.get("b").link().roundTripNanos();
        assertEquals(
                new Router.Remote("b", 9 * SECOND - roundTripNanos, 6_500 * MS - roundTripNanos),
                remote,
                "time left to the other site");
    }

    /** An attempt for an earlier request with the same key counts like one of this request. */
    @Test
    void theAttemptOfAnEarlierRequestWithTheSameKeyCounts() {
        LocalSiteHealth localSite = new LocalSiteHealth(LIMITS, 0);
        Router router = router(localSite, budget(100, 100, 1));
        Map<String, Router.SiteSnapshot> sites = Map.of("b", site(40 * MS, true, 9));
        AttemptHistory.UncertainAttempt atOtherSite = new AttemptHistory.UncertainAttempt("b", 0);
        assertInstanceOf(
                Router.Remote.class,
                router.nextStep(MS, HOLD, SECOND, new AttemptHistory(1, false, 0, atOtherSite), sites),
                "the other site knows its key");
        assertInstanceOf(
                Router.Local.class,
                router.nextStep(MS, CONFIRM, SECOND, new AttemptHistory(2, false, 0, atOtherSite), sites),
                "all sites know its key");
        assertInstanceOf(
                Router.Fail.class,
                router.nextStep(7_500 * MS, CONFIRM, 9 * SECOND, new AttemptHistory(2, false, 0, atOtherSite), sites),
                "the key is forgotten");
    }

    @Test
    void requestsWithoutTimeForTheRoundTripAreNotSent() {
        LocalSiteHealth localSite = new LocalSiteHealth(LIMITS, 0);
        localSite.noServerReady(0);
        Router router = router(localSite, budget(100, 100, 1));
        AttemptHistory history = new AttemptHistory(2, false, 0);
        history.attemptSent("a", 0);
        history.attemptEnded(true);
        Map<String, Router.SiteSnapshot> sites = Map.of("b", site(80 * MS, true, 9));
        long roundTripNanos = sites.get("b").link().roundTripNanos();
        assertInstanceOf(Router.Refuse.class, router.nextStep(MS, BOOK, roundTripNanos + 11 * MS, history, sites));
        assertInstanceOf(Router.Remote.class, router.nextStep(MS, BOOK, roundTripNanos + 12 * MS, history, sites));
    }

    @Test
    void budgetIsNeverExceededAndReservedForHigherUtility() {
        CrossSiteBudget budget = budget(10, 20, 0.5);
        assertEquals(
                List.of(8, 12),
                List.of(takeAll(budget, 0, 0), takeAll(budget, 2, 0)),
                "most is reserved for the class of highest utility");
        assertFalse(budget.tryTake(2, SECOND), "time alone adds no tokens without arrivals");
        budget.requestArrived(0);
        budget.requestArrived(0);
        assertEquals(1, takeAll(budget, 2, SECOND));
    }

    private static int takeAll(CrossSiteBudget budget, int requestClass, long now) {
        int taken = 0;
        while (taken < 1_000 && budget.tryTake(requestClass, now)) {
            taken++;
        }
        return taken;
    }

    /**
     * A class's own rate and arrival share bind that class only, and its reserved fraction is as configured,
     * not derived from its utility.
     */
    @Test
    void classLimitsApplyWithinTheCommonBudget() {
        CrossSiteBudget.ClassLimit free = new CrossSiteBudget.ClassLimit(null, 0);
        CrossSiteBudget budget = new CrossSiteBudget(
                new CrossSiteBudget.Rate(100, 100, 1),
                List.of(
                        new CrossSiteBudget.ClassLimit(new CrossSiteBudget.Rate(2, 5, 0.5), 0),
                        new CrossSiteBudget.ClassLimit(null, 0.9),
                        free,
                        free),
                0);
        assertEquals(List.of(5, 5, 90), List.of(takeAll(budget, 0, 0), takeAll(budget, 1, 0), takeAll(budget, 2, 0)));
        for (int i = 0; i < 100; i++) {
            budget.requestArrived(i % 2);
        }
        // After one second its own rate has added 2 of the 25 tokens that its arrival share added; the others
        // have the rest.
        assertEquals(List.of(2, 98), List.of(takeAll(budget, 0, SECOND), takeAll(budget, 3, SECOND)));
    }

    /** A lease replaces the default rate for its duration, also if the budget was not used meanwhile. */
    @Test
    void leaseAppliesOnlyForItsDuration() {
        CrossSiteBudget budget = budget(10, 1_000, 1);
        takeAll(budget, 2, 0);
        for (int i = 0; i < 1_000; i++) {
            budget.requestArrived(2);
        }
        budget.lease(100, 0, SECOND);
        assertEquals(100 + 10, takeAll(budget, 2, 2 * SECOND), 1);
        budget.lease(0, 2 * SECOND, 3 * SECOND);
        assertEquals(0, takeAll(budget, 2, 3 * SECOND));
    }

    @Test
    void returnStartsSmallAndFlappingLengthensTheWait() {
        LocalSiteHealth localSite = new LocalSiteHealth(LIMITS, 0);
        long now = 0;
        long waited = 0;
        for (int flap = 0; flap < 4; flap++) {
            localSite.noServerReady(now);
            long cutAt = now;
            for (; localSite.state() == LocalSiteHealth.State.CUT; now += 10 * MS) {
                if (localSite.admits(now)) {
                    localSite.attemptEnded(true, now);
                }
            }
            assertTrue(now - cutAt >= waited, "each return waits longer");
            waited = (now - cutAt) * 3 / 2;
            int admitted = 0;
            for (int i = 0; i < 100; i++) {
                admitted += localSite.admits(now) ? 1 : 0;
            }
            assertTrue(admitted >= 4 && admitted <= 6, "initial share of one twentieth: " + admitted);
        }
        assertTrue(localSite.admits(now + 5 * SECOND), "the whole load in the end");
        assertEquals(LocalSiteHealth.State.IN, localSite.state());
    }

    @Test
    void stallsAreDetectedRelativeToTheRoundTrip() {
        LinkRttEstimator link = new LinkRttEstimator(10 * MS, 4, 0);
        for (int i = 1; i <= 50; i++) {
            link.addRoundTrip(80 * MS, i * SECOND);
        }
        long now = 60 * SECOND;
        assertTrue(link.roundTripNanos() >= 80 * MS && link.roundTripNanos() < 85 * MS, "" + link.roundTripNanos());
        assertFalse(link.isStalled(now), "no response is pending");
        link.setResponsePending(true, now);
        assertFalse(link.isStalled(now + 300 * MS));
        assertTrue(link.isStalled(now + 400 * MS));
        link.received(now + 400 * MS);
        assertFalse(link.isStalled(now + 401 * MS));
    }

    /**
     * Site b is near with little capacity, c is far with much, and together they can't take all: requests
     * follow the plan.
     */
    @Test
    void allGatewaysDistributeTheLoadOfTheirLostSiteByCapacity() {
        List<Topology.TrafficClass> trafficClasses = new ArrayList<>();
        Map<String, Double> demandPerSecond = new HashMap<>();
        for (int i = 0; i < CLASSES.size(); i++) {
            trafficClasses.add(new Topology.TrafficClass("k" + i, CLASSES.get(i).utility(), 0.1, 0.5));
            demandPerSecond.put("k" + i, 10.0);
        }
        Topology topology = new Topology(
                List.of(
                        new Topology.Site("a", 9, demandPerSecond),
                        new Topology.Site("b", 0.8, Map.of()),
                        new Topology.Site("c", 2.4, Map.of())),
                trafficClasses,
                List.of(new Topology.SiteLink("a", "b", 1e6, 0), new Topology.SiteLink("a", "c", 1e6, 0)),
                0);
        SiteFailoverRouting failoverRouting = SiteFailoverRouting.of(topology, "a", List.of("k0", "k1", "k2", "k3"));
        Map<String, Router.SiteSnapshot> sites = Map.of("b", site(MS, true, 9), "c", site(5 * MS, true, 9));
        List<Router> gateways = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            LocalSiteHealth localSite = new LocalSiteHealth(LIMITS, 0);
            localSite.noServerReady(0);
            gateways.add(new Router("a", localSite, budget(1e6, 1e6, 1), 10 * MS, MAX_DELIVERY_NANOS, failoverRouting));
        }
        int[] confirmsBySite = new int[3];
        int[] checksBySite = new int[3];
        long admittedKey = -1;
        for (long key = 0; key < 8_000; key++) {
            String firstSite = siteFor(gateways.get(0), 2, key, sites);
            assertEquals(firstSite, siteFor(gateways.get(1), 2, key, sites), "the other gateway selects the same site");
            confirmsBySite["bc-".indexOf(firstSite)]++;
            String checkSite = siteFor(gateways.get(0), 0, key, sites);
            admittedKey = checkSite.equals("-") ? admittedKey : key;
            checksBySite["bc-".indexOf(checkSite)]++;
            if (firstSite.equals("c")) {
                assertEquals("c", siteFor(gateways.get(0), 2, key, Map.of("c", sites.get("c"))), "stays at c");
            }
            assertEquals("c", siteFor(gateways.get(0), 2, key, Map.of("c", sites.get("c"))), "b is unreachable");
        }
        int checksWithoutB = 0;
        for (long key = 0; key < 8_000; key++) {
            checksWithoutB += siteFor(gateways.get(0), 0, key, Map.of("c", sites.get("c")))
                            .equals("c")
                    ? 1
                    : 0;
        }
        assertEquals(0, checksWithoutB, "without b the capacity goes to classes of higher utility and to no check");
        Map<String, Router.SiteSnapshot> littleCredit = Map.of("b", site(MS, true, 3), "c", site(5 * MS, true, 3));
        assertTrue(
                "bc".contains(siteFor(gateways.get(0), 2, 1, littleCredit)),
                "3 of 10 credits suffice for a class of high utility");
        assertEquals(
                "local", siteFor(gateways.get(0), 0, admittedKey, littleCredit), "checks are tried at the local site");
        assertEquals(0, confirmsBySite[2], "all confirmations fit");
        assertEquals(0.25, confirmsBySite[0] / 8_000.0, 0.02, "by capacity, not by distance");
        assertEquals(8_000 * 8 / 10, checksBySite[2], 250, "capacity for 32 of 40; checks are refused first");
    }

    /** The site that a new request is sent to, "-" for refused. */
    private static String siteFor(Router router, int classIndex, long key, Map<String, Router.SiteSnapshot> sites) {
        Router.Step step =
                router.nextStep(1, CLASSES.get(classIndex), SECOND, new AttemptHistory(classIndex, false, key), sites);
        return step instanceof Router.Remote remote ? remote.site() : step instanceof Router.Refuse ? "-" : "local";
    }
}
