package pondridge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests how the gateways of one site arrive at the same view of it although they have no connection to each
 * other.
 */
class LocalSiteStateTest {
    private static final long MS = 1_000_000;
    private static final long HEARTBEAT = 50 * MS;
    private static final LocalSiteHealth.Limits LIMITS =
            new LocalSiteHealth.Limits(5, 200 * MS, 1_000 * MS, 0.05, 1_000 * MS);

    /**
     * One to eight gateways with a request each 5 to 200 ms and two other sites that lose a fifth of the
     * heartbeats; after the site is back a twentieth of the attempts still fails. Returns the time between
     * the first and the last gateway that sees the site as cut, and as returning.
     */
    private static long[] stateChangeSpread(long seed, boolean exchangeReports) {
        Random random = new Random(seed);
        int count = 1 + random.nextInt(8);
        List<LocalSiteHealth> gateways = new ArrayList<>();
        List<SiteStateReports> otherSites = List.of(new SiteStateReports(), new SiteStateReports());
        long[] requestInterval = new long[count];
        long[][] observedAt = new long[2][count];
        for (int i = 0; i < count; i++) {
            gateways.add(new LocalSiteHealth(LIMITS, 0));
            requestInterval[i] = (5 + random.nextInt(195)) * MS;
        }
        for (long now = 0; now < 30_000 * MS; now += MS) {
            boolean siteUp = now < 1_000 * MS || now > 6_000 * MS;
            for (int i = 0; i < count; i++) {
                LocalSiteHealth localSite = gateways.get(i);
                if (now % requestInterval[i] == 0 && localSite.admits(now)) {
                    localSite.attemptEnded(siteUp && random.nextInt(20) > 0, now);
                }
                if ((now + i * MS) % HEARTBEAT == 0 && exchangeReports && random.nextInt(5) > 0) {
                    localSite.applyPeerReports(
                            SiteStateReports.StateCounts.parse(otherSites
                                    .get(random.nextInt(2))
                                    .recordAndCount("a", SiteStateReports.format("g" + i, localSite.state()), now)
                                    .toHeader()),
                            now);
                }
                if (localSite.state() == LocalSiteHealth.State.CUT && now < 6_000 * MS && observedAt[0][i] == 0) {
                    observedAt[0][i] = now;
                }
                if (localSite.state() != LocalSiteHealth.State.CUT && now > 6_000 * MS && observedAt[1][i] == 0) {
                    observedAt[1][i] = now;
                }
            }
        }
        return new long[] {spread(observedAt[0]), spread(observedAt[1])};
    }

    private static long spread(long[] times) {
        long earliest = Long.MAX_VALUE;
        long latest = 0;
        for (long time : times) {
            earliest = Math.min(earliest, time);
            latest = Math.max(latest, time);
        }
        return latest - earliest;
    }

    @Test
    void viewsConvergeWithinSomeHeartbeatsAndTrials() {
        long[] withReports = new long[2];
        long[] withoutReports = new long[2];
        for (long seed = 0; seed < 300; seed++) {
            long[] with = stateChangeSpread(seed, true);
            long[] without = stateChangeSpread(seed, false);
            for (int i = 0; i < 2; i++) {
                assertTrue(with[i] < 1_500 * MS, "seed " + seed + ": " + with[i] / MS + " ms apart");
                withReports[i] += with[i];
                withoutReports[i] += without[i];
            }
        }
        System.out.println("mean time apart in ms, cut and returning: " + withReports[0] / 300 / MS + ", "
                + withReports[1] / 300 / MS + "; without reports " + withoutReports[0] / 300 / MS + ", "
                + withoutReports[1] / 300 / MS);
        assertTrue(withReports[0] < 0.7 * withoutReports[0] && withReports[1] < 0.3 * withoutReports[1]);
    }

    /** A site whose servers all start at once takes its load as they warm up; other sites take the rest. */
    @Test
    void coldSiteTakesItsLoadGradually() {
        LocalSiteHealth localSite = new LocalSiteHealth(LIMITS, 0);
        localSite.serversStarted(0, 0.39, 7_400 * MS);
        int[] admitted = new int[10];
        for (int i = 0; i < 1_000; i++) {
            admitted[i / 100] += localSite.admits(i * 10 * MS) ? 1 : 0;
        }
        assertTrue(admitted[0] > 35 && admitted[0] < 50 && admitted[4] > 70 && admitted[4] < 85, "by their warm-up");
        assertEquals(100, admitted[8], "warm");
        assertEquals(LocalSiteHealth.State.IN, localSite.state());
    }

    @Test
    void malformedReportsAreIgnoredAndReportsAreBounded() {
        SiteStateReports reports = new SiteStateReports();
        for (String malformed : new String[] {null, "", "cut", "g1 gone", "g1 cut now", "g".repeat(99) + " cut"}) {
            assertEquals(SiteStateReports.StateCounts.NONE, reports.recordAndCount("a", malformed, 0));
        }
        for (int i = 0; i < 1_000; i++) {
            reports.recordAndCount("a", "g" + i + " cut", i);
        }
        assertEquals(63, reports.recordAndCount("a", "me in", 1_000).cut(), "the newest reports, without the own one");
        assertEquals(0, reports.recordAndCount("a", "me in", 600 * MS).cut(), "expired reports are not counted");
        assertEquals(0, reports.recordAndCount("b", "me in", 1_000).cut(), "reports of another site");
        for (String malformed : new String[] {null, "", "1,2", "1,2,3,4", "-1,0,0", "a,b,c", "9999999999,0,0"}) {
            assertEquals(SiteStateReports.StateCounts.NONE, SiteStateReports.StateCounts.parse(malformed));
        }
        assertEquals(
                new SiteStateReports.StateCounts(1, 2, 3),
                SiteStateReports.StateCounts.parse(new SiteStateReports.StateCounts(1, 2, 3).toHeader()));
    }

    /**
     * Missed deadlines of local clients halve the requests that other sites may have in flight, at most once
     * per interval.
     */
    @Test
    void localClientsTakePrecedence() {
        LocalSloMonitor monitor = new LocalSloMonitor();
        int overloads = 0;
        for (int i = 0; i < 1_000; i++) {
            overloads += monitor.requestEnded(i % 25 > 0) ? 1 : 0;
        }
        assertEquals(0, overloads, "one in 25 is tolerated");
        for (int i = 0; i < 100; i++) {
            overloads += monitor.requestEnded(i % 5 > 0) ? 1 : 0;
        }
        assertTrue(overloads > 5, "one in five: " + overloads);
        CreditControl credit = new CreditControl(400, 200 * MS, 0);
        credit.localClientsOverloaded(0);
        assertEquals(400, credit.credit(), "no request is in flight");
        for (int i = 0; i < 12; i++) {
            assertTrue(credit.tryTake());
        }
        credit.localClientsOverloaded(0);
        credit.localClientsOverloaded(MS);
        for (int i = 0; i < 6; i++) {
            assertEquals(0, credit.credit());
            credit.requestEnded(false, MS);
        }
        credit.requestEnded(false, MS);
        assertTrue(credit.tryTake() && credit.credit() <= 2, "6 of 12, and the recovery meanwhile");
    }
}
