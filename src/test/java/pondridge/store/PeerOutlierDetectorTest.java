package pondridge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pondridge.store.PeerOutlierDetector.ReceivedReport;

/**
 * Tests the decisions on peer reports in virtual time: which servers are suspected, how reports are parsed, and
 * when the circuit breaker lets the store be used.
 */
class PeerOutlierDetectorTest {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final PeerOutlierDetector.Limits LIMITS = new PeerOutlierDetector.Limits(4_000, 6, 2, 0.25);

    /** The reliability of a simulated sidecar's report. */
    private enum Reporter {
        HONEST,
        FINDS_ALL_SLOW,
        FALSE_REPORT,
        STALE_REPORT,
        CLOCK_AHEAD
    }

    /**
     * Random fleets with some slow servers. Among the sidecars one finds all servers slow, one reports falsely
     * on a single server, one has an old report and one a clock that is ahead. Only slow servers are suspected,
     * never more than the limit, and most slow ones are.
     */
    @Test
    void onlySlowServersAreSuspectedDespiteFalseReports() {
        int suspected = 0;
        int detectable = 0;
        for (long seed = 0; seed < 3_000; seed++) {
            Random random = new Random(seed);
            int servers = 4 + random.nextInt(60);
            int sidecars = 5 + random.nextInt(30);
            Set<Integer> slow = new HashSet<>();
            for (int i = 0; i < random.nextInt(1 + 2 * servers / 5); i++) {
                slow.add(random.nextInt(servers));
            }
            Set<String> readyServers = new HashSet<>();
            for (int i = 0; i < servers; i++) {
                readyServers.add("s" + i);
            }
            List<ReceivedReport> reports = new ArrayList<>();
            for (int i = 0; i < sidecars; i++) {
                Reporter reporter = Reporter.values()[i < 4 ? 1 + i : 0];
                PeerReport report = report(reporter, servers, slow, random);
                long ageMillis = reporter == Reporter.STALE_REPORT
                        ? 3_600_000
                        : reporter == Reporter.CLOCK_AHEAD ? -60_000 : random.nextInt(4_000);
                PeerReport parsed = PeerReport.parse(report.toJson(), 256);
                assertNotNull(parsed, "a report that was written can be parsed");
                reports.add(new ReceivedReport("m" + i, ageMillis, parsed));
                reports.add(new ReceivedReport(
                        "m" + i, ageMillis + 1_000, report(Reporter.FALSE_REPORT, servers, Set.of(), random)));
            }
            Map<String, Double> suspects = new PeerOutlierDetector(LIMITS).suspects(reports, readyServers);
            String details = "seed " + seed + " slow " + slow + " suspects " + suspects;
            assertTrue(suspects.size() <= servers / 4, details);
            for (String each : suspects.keySet()) {
                assertTrue(slow.contains(Integer.parseInt(each.substring(1))), details);
            }
            suspected += suspects.size();
            detectable += Math.min(slow.size(), servers / 4);
        }
        assertTrue(suspected > 0.9 * detectable, suspected + " suspected of " + detectable);
    }

    private static PeerReport report(Reporter reporter, int servers, Set<Integer> slow, Random random) {
        // Made by the production class; the baseline comes from an earlier window.
        LocalAttemptStats stats = new LocalAttemptStats(2.5, SECOND, 256, 0);
        for (int i = 0; i < 50; i++) {
            stats.attemptEnded("s" + i % servers, 0, true, 10 * MS, 0);
        }
        long now = 5 * SECOND;
        for (int i = 0; i < servers; i++) {
            boolean bad =
                    switch (reporter) {
                        case FINDS_ALL_SLOW -> true;
                        case FALSE_REPORT, STALE_REPORT, CLOCK_AHEAD -> i == servers - 1;
                        default -> slow.contains(i);
                    };
            for (int j = 0; j < 4; j++) {
                stats.attemptEnded(
                        "s" + i,
                        0,
                        !(bad && reporter == Reporter.FALSE_REPORT),
                        (long) ((bad ? 60 : 10) * MS * (0.7 + 0.6 * random.nextDouble())),
                        now);
            }
        }
        return new PeerReport(1, 1, stats.recent(256, now));
    }

    /**
     * Fewer sidecars than the quorum mark no server, however clear their reports are; nor does a quorum that
     * does not outweigh the sidecars that find the server fast.
     */
    @Test
    void suspicionNeedsAQuorumThatOutweighsTheOthers() {
        PeerOutlierDetector detector = new PeerOutlierDetector(new PeerOutlierDetector.Limits(4_000, 1, 3, 0.5));
        List<ReceivedReport> reports = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            assertEquals(i >= 3, !detector.suspects(reports, Set.of("a", "b")).isEmpty(), "reports: " + i);
            reports.add(new ReceivedReport("m" + i, 10, new PeerReport(0, 1, List.of(new ServerStats("a", 9, 90, 9)))));
        }
        for (int i = 0; i < 6; i++) {
            reports.add(new ReceivedReport("w" + i, 10, new PeerReport(0, 1, List.of(new ServerStats("a", 9, 9, 0)))));
        }
        assertEquals(Map.of(), detector.suspects(reports, Set.of("a", "b")), "as many find it fast");
    }

    /** A report with one invalid or impossible value is rejected as a whole. */
    @Test
    void invalidReportsAreRejected() {
        String good = "{\"v\":1,\"at\":5,\"s\":[[\"a\",4,8.5,1]]}";
        assertEquals(0, PeerReport.parse(good, 10).requestsPerSecond(), "from an older version");
        for (String[] replacement : new String[][] {
            {"\"v\":1", "\"v\":2"},
            {"5,", "5,\"r\":-3,"},
            {"8.5", "\"NaN\""},
            {"8.5", "NaN"},
            {"8.5", "1e99"},
            {"8.5", "-1"},
            {"4,", "-4,"},
            {"4,", "2000000000,"},
            {",1]", ",5]"},
            {"\"a\"", "7"},
            {"\"a\"", "\"\""},
            {"5,", "\"x\","},
            {"]}", ""},
            {"[[", "[[\"b\"],["}
        }) {
            assertNull(
                    PeerReport.parse(good.replace(replacement[0], replacement[1]), 10),
                    String.join(" replaced by ", replacement));
        }
        assertNull(PeerReport.parse(good, 0), "more servers than allowed");
        assertNull(PeerReport.parse("x".repeat(100_000), 10));
        Random random = new Random(3);
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder(good);
            for (int j = 0; j <= random.nextInt(3); j++) {
                text.setCharAt(random.nextInt(text.length()), (char) (32 + random.nextInt(95)));
            }
            PeerReport parsed = PeerReport.parse(text.toString(), 10);
            assertTrue(parsed == null || parsed.servers().stream().allMatch(ServerStats::isValid), text.toString());
        }
    }

    /** Attempts older than two windows are dropped, and the number of servers is limited. */
    @Test
    void statisticsAreRecentAndBounded() {
        LocalAttemptStats stats = new LocalAttemptStats(2.5, SECOND, 100, 0);
        for (int i = 0; i < 10_000; i++) {
            stats.attemptEnded("s" + i, 0, true, MS, 0);
        }
        assertEquals(100, stats.recent(1_000, 0).size());
        assertEquals(10, stats.recent(10, SECOND).size());
        assertTrue(stats.recent(10, 2 * SECOND + 1).isEmpty());
        stats.attemptEnded("a", 0, false, MS, 3 * SECOND);
        ServerStats server = stats.recent(10, 3 * SECOND).get(0);
        assertTrue(server.badAttempts() == 1 && server.meanSlowdown() >= 2.5, server::toString);
    }

    /**
     * 200 sidecars lose the store at the same time, and it comes back after 60 s. They try it rarely while it
     * is unavailable, and after that only a fraction of them returns at any one time.
     */
    @Test
    void sidecarsDoNotReturnToTheStoreTogether() {
        StoreCircuitBreaker.Limits limits = new StoreCircuitBreaker.Limits(100 * MS, 2, 500 * MS, 30 * SECOND);
        List<StoreCircuitBreaker> circuitBreakers = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            circuitBreakers.add(new StoreCircuitBreaker(limits, i));
        }
        int[] triesByStep = new int[1_200];
        int[] returnsByStep = new int[1_200];
        for (int step = 0; step < triesByStep.length; step++) {
            long now = step * 100 * MS;
            boolean unavailable = step < 600;
            for (StoreCircuitBreaker each : circuitBreakers) {
                if (each.allowsExchange(now) && (unavailable || each.isOpen())) {
                    triesByStep[step]++;
                    if (unavailable) {
                        each.recordFailure(now);
                    } else {
                        returnsByStep[step]++;
                        each.recordCompletion(MS, now);
                    }
                }
            }
        }
        int whileUnavailable = 0;
        int mostReturnsInAStep = 0;
        int returned = 0;
        for (int step = 2; step < triesByStep.length; step++) {
            whileUnavailable += step < 600 ? triesByStep[step] : 0;
            mostReturnsInAStep = Math.max(mostReturnsInAStep, returnsByStep[step]);
            returned += returnsByStep[step];
        }
        assertTrue(whileUnavailable < 200 * 12, "tries in 60 s: " + whileUnavailable);
        assertTrue(mostReturnsInAStep < 20, "returns in a tenth of a second: " + mostReturnsInAStep);
        assertEquals(200, returned);
        StoreCircuitBreaker slow = new StoreCircuitBreaker(limits, 1);
        slow.recordCompletion(200 * MS, 0);
        assertFalse(slow.isOpen());
        slow.recordCompletion(200 * MS, 1);
        assertTrue(slow.isOpen(), "slow exchanges open the circuit, too");
    }
}
