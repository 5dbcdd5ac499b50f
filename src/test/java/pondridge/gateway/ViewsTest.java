package pondridge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** How gateways of one site come to see it alike, though they have no way to each other. */
class ViewsTest {
    private static final long MS = 1_000_000;
    private static final long BEAT = 50 * MS;
    private static final OwnSite.Limits LIMITS = new OwnSite.Limits(5, 200 * MS, 1_000 * MS, 0.05, 1_000 * MS);

    /**
     * One to eight gateways with a request each 5 to 200 ms, two other sites that lose a fifth of the beats;
     * a twentieth of the tries at the site that is back still fails. The time from the first gateway's seeing
     * it cut, and returning, to the last one's.
     */
    private static long[] apart(long seed, boolean told) {
        Random random = new Random(seed);
        int count = 1 + random.nextInt(8);
        List<OwnSite> gateways = new ArrayList<>();
        List<Views> sites = List.of(new Views(), new Views());
        long[] gap = new long[count];
        long[][] seen = new long[2][count];
        for (int i = 0; i < count; i++) {
            gateways.add(new OwnSite(LIMITS, 0));
            gap[i] = (5 + random.nextInt(195)) * MS;
        }
        for (long now = 0; now < 30_000 * MS; now += MS) {
            boolean there = now < 1_000 * MS || now > 6_000 * MS;
            for (int i = 0; i < count; i++) {
                OwnSite own = gateways.get(i);
                if (now % gap[i] == 0 && own.accepts(now)) {
                    own.ended(there && random.nextInt(20) > 0, now);
                }
                if ((now + i * MS) % BEAT == 0 && told && random.nextInt(5) > 0) {
                    own.others(
                            Views.Counts.read(sites.get(random.nextInt(2))
                                    .heard("a", Views.said("g" + i, own.state()), now)
                                    .text()),
                            now);
                }
                if (own.state() == OwnSite.State.CUT && now < 6_000 * MS && seen[0][i] == 0) {
                    seen[0][i] = now;
                }
                if (own.state() != OwnSite.State.CUT && now > 6_000 * MS && seen[1][i] == 0) {
                    seen[1][i] = now;
                }
            }
        }
        return new long[] {spread(seen[0]), spread(seen[1])};
    }

    private static long spread(long[] times) {
        long least = Long.MAX_VALUE;
        long most = 0;
        for (long time : times) {
            least = Math.min(least, time);
            most = Math.max(most, time);
        }
        return most - least;
    }

    @Test
    void viewsDifferForSomeBeatsAndTrialsAndNotForLonger() {
        long[] told = new long[2];
        long[] alone = new long[2];
        for (long seed = 0; seed < 300; seed++) {
            long[] with = apart(seed, true);
            long[] without = apart(seed, false);
            for (int i = 0; i < 2; i++) {
                assertTrue(with[i] < 1_500 * MS, "seed " + seed + ": " + with[i] / MS + " ms apart");
                told[i] += with[i];
                alone[i] += without[i];
            }
        }
        System.out.println("apart, mean ms, cut and returning: " + told[0] / 300 / MS + ", "
                + told[1] / 300 / MS + "; each by itself " + alone[0] / 300 / MS + ", "
                + alone[1] / 300 / MS);
        assertTrue(told[0] < 0.7 * alone[0] && told[1] < 0.3 * alone[1]);
    }

    /** A site whose servers all start at once takes its load as they grow warm; others do the rest. */
    @Test
    void aSiteThatIsAllColdTakesItsLoadByAndBy() {
        OwnSite own = new OwnSite(LIMITS, 0);
        own.started(0, 0.39, 7_400 * MS);
        int[] taken = new int[10];
        for (int i = 0; i < 1_000; i++) {
            taken[i / 100] += own.accepts(i * 10 * MS) ? 1 : 0;
        }
        assertTrue(taken[0] > 35 && taken[0] < 50 && taken[4] > 70 && taken[4] < 85, "by their warmth");
        assertEquals(100, taken[8], "warm");
        assertEquals(OwnSite.State.IN, own.state());
    }

    @Test
    void whatMakesNoSenseSaysNothingAndNothingGrows() {
        Views views = new Views();
        for (String odd : new String[] {null, "", "cut", "g1 gone", "g1 cut now", "g".repeat(99) + " cut"}) {
            assertEquals(Views.Counts.NONE, views.heard("a", odd, 0));
        }
        for (int i = 0; i < 1_000; i++) {
            views.heard("a", "g" + i + " cut", i);
        }
        assertEquals(63, views.heard("a", "me in", 1_000).cut(), "the youngest, and me");
        assertEquals(0, views.heard("a", "me in", 600 * MS).cut(), "old ones are not heard");
        assertEquals(0, views.heard("b", "me in", 1_000).cut(), "of another site");
        for (String odd : new String[] {null, "", "1,2", "1,2,3,4", "-1,0,0", "a,b,c", "9999999999,0,0"}) {
            assertEquals(Views.Counts.NONE, Views.Counts.read(odd));
        }
        assertEquals(new Views.Counts(1, 2, 3), Views.Counts.read(new Views.Counts(1, 2, 3).text()));
    }

    /** The own clients' trouble halves what other sites may have in work, at most so often. */
    @Test
    void ownClientsComeFirst() {
        Pressure pressure = new Pressure();
        int pressed = 0;
        for (int i = 0; i < 1_000; i++) {
            pressed += pressure.ended(i % 25 > 0) ? 1 : 0;
        }
        assertEquals(0, pressed, "one in 25 is chance");
        for (int i = 0; i < 100; i++) {
            pressed += pressure.ended(i % 5 > 0) ? 1 : 0;
        }
        assertTrue(pressed > 5, "one in five: " + pressed);
        CreditControl credit = new CreditControl(400, 200 * MS, 0);
        credit.pressed(0);
        assertEquals(400, credit.credit(), "nobody has anything in work");
        for (int i = 0; i < 12; i++) {
            assertTrue(credit.take());
        }
        credit.pressed(0);
        credit.pressed(MS);
        for (int i = 0; i < 6; i++) {
            assertEquals(0, credit.credit());
            credit.ended(false, MS);
        }
        credit.ended(false, MS);
        assertTrue(credit.take() && credit.credit() <= 2, "6 of 12, and what came back meanwhile");
    }
}
