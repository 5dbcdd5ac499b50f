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
import pondridge.store.Hearsay.Heard;

/**
 * What is decided about knowledge of others, in virtual time: who is doubted, and when the store is asked.
 */
class HearsayTest {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final Hearsay.Limits LIMITS = new Hearsay.Limits(4_000, 6, 2, 0.25);

    /** One sidecar of a made-up fleet: what it truly sees, or what it makes of it. */
    private enum Kind {
        TRUE,
        CONFUSED,
        LIAR,
        STALE,
        AHEAD
    }

    /**
     * Fleets of sidecars and servers, some of them slow; among the sidecars one that is confused, one that
     *  tells
     * lies of a single server, some with old reports or clocks that are off. Only slow servers are doubted,
     *  never
     * more than the stated part, and most slow ones are.
     */
    @Test
    void onlySlowServersAreDoubtedWhoeverTells() {
        int found = 0;
        int slowOnes = 0;
        for (long seed = 0; seed < 3_000; seed++) {
            Random random = new Random(seed);
            int servers = 4 + random.nextInt(60);
            int sidecars = 5 + random.nextInt(30);
            Set<Integer> slow = new HashSet<>();
            for (int i = 0; i < random.nextInt(1 + 2 * servers / 5); i++) {
                slow.add(random.nextInt(servers));
            }
            Set<String> listed = new HashSet<>();
            for (int i = 0; i < servers; i++) {
                listed.add("s" + i);
            }
            List<Heard> all = new ArrayList<>();
            for (int i = 0; i < sidecars; i++) {
                Kind kind = Kind.values()[i < 4 ? 1 + i : 0];
                Report report = seen(kind, servers, slow, random);
                long age = kind == Kind.STALE ? 3_600_000 : kind == Kind.AHEAD ? -60_000 : random.nextInt(4_000);
                Report read = Report.read(report.write(), 256);
                assertNotNull(read, "its own can be read");
                all.add(new Heard("m" + i, age, read));
                all.add(new Heard("m" + i, age + 1_000, seen(Kind.LIAR, servers, Set.of(), random)));
            }
            Map<String, Double> doubted = new Hearsay(LIMITS).doubted(all, listed);
            String said = "seed " + seed + " slow " + slow + " doubted " + doubted;
            assertTrue(doubted.size() <= servers / 4, said);
            for (String each : doubted.keySet()) {
                assertTrue(slow.contains(Integer.parseInt(each.substring(1))), said);
            }
            found += doubted.size();
            slowOnes += Math.min(slow.size(), servers / 4);
        }
        assertTrue(found > 0.9 * slowOnes, found + " found of " + slowOnes);
    }

    private static Report seen(Kind kind, int servers, Set<Integer> slow, Random random) {
        // Its own sums, by the very class that makes them; what is usual comes from a time before.
        OwnSums sums = new OwnSums(2.5, SECOND, 256, 0);
        for (int i = 0; i < 50; i++) {
            sums.ended("s" + i % servers, 0, true, 10 * MS, 0);
        }
        long now = 5 * SECOND;
        for (int i = 0; i < servers; i++) {
            boolean bad =
                    switch (kind) {
                        case CONFUSED -> true;
                        case LIAR, STALE, AHEAD -> i == servers - 1;
                        default -> slow.contains(i);
                    };
            for (int j = 0; j < 4; j++) {
                sums.ended(
                        "s" + i,
                        0,
                        !(bad && kind == Kind.LIAR),
                        (long) ((bad ? 60 : 10) * MS * (0.7 + 0.6 * random.nextDouble())),
                        now);
            }
        }
        return new Report(1, 1, sums.lately(256, now));
    }

    /** Fewer than the quorum condemn nobody, however sure they are, nor do as many as find it well. */
    @Test
    void aQuorumIsAsked() {
        Hearsay hearsay = new Hearsay(new Hearsay.Limits(4_000, 1, 3, 0.5));
        List<Heard> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            assertEquals(i >= 3, !hearsay.doubted(all, Set.of("a", "b")).isEmpty(), "of " + i);
            all.add(new Heard("m" + i, 10, new Report(0, 1, List.of(new ServerSum("a", 9, 90, 9)))));
        }
        for (int i = 0; i < 6; i++) {
            all.add(new Heard("w" + i, 10, new Report(0, 1, List.of(new ServerSum("a", 9, 9, 0)))));
        }
        assertEquals(Map.of(), hearsay.doubted(all, Set.of("a", "b")), "as many find it well");
    }

    /** What can't be is not read: each spoilt part takes the whole report with it. */
    @Test
    void poisonIsNotRead() {
        String good = "{\"v\":1,\"at\":5,\"s\":[[\"a\",4,8.5,1]]}";
        assertEquals(0, Report.read(good, 10).rate(), "an older program's");
        for (String[] spoil : new String[][] {
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
            assertNull(Report.read(good.replace(spoil[0], spoil[1]), 10), String.join(" for ", spoil));
        }
        assertNull(Report.read(good, 0), "more servers than may be told of");
        assertNull(Report.read("x".repeat(100_000), 10));
        Random random = new Random(3);
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder(good);
            for (int j = 0; j <= random.nextInt(3); j++) {
                text.setCharAt(random.nextInt(text.length()), (char) (32 + random.nextInt(95)));
            }
            Report read = Report.read(text.toString(), 10);
            assertTrue(read == null || read.sums().stream().allMatch(ServerSum::sound), text.toString());
        }
    }

    /** What was seen longer ago than two windows is gone, whatever number of servers came by. */
    @Test
    void ownSumsAreShortAndBounded() {
        OwnSums sums = new OwnSums(2.5, SECOND, 100, 0);
        for (int i = 0; i < 10_000; i++) {
            sums.ended("s" + i, 0, true, MS, 0);
        }
        assertEquals(100, sums.lately(1_000, 0).size());
        assertEquals(10, sums.lately(10, SECOND).size());
        assertTrue(sums.lately(10, 2 * SECOND + 1).isEmpty());
        sums.ended("a", 0, false, MS, 3 * SECOND);
        ServerSum sum = sums.lately(10, 3 * SECOND).get(0);
        assertTrue(sum.bad() == 1 && sum.ratio() >= 2.5, sum::toString);
    }

    /**
     * 200 sidecars lose the store together and it comes back after 60 s: the tries stay few while it is
     *  away, and
     * none of the moments after brings more than a part of them.
     */
    @Test
    void manyDoNotComeBackTogether() {
        StoreCircuit.Limits limits = new StoreCircuit.Limits(100 * MS, 2, 500 * MS, 30 * SECOND);
        List<StoreCircuit> all = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            all.add(new StoreCircuit(limits, i));
        }
        int[] tries = new int[1_200];
        int[] back = new int[1_200];
        for (int step = 0; step < tries.length; step++) {
            long now = step * 100 * MS;
            boolean away = step < 600;
            for (StoreCircuit each : all) {
                if (each.may(now) && (away || each.open())) {
                    tries[step]++;
                    if (away) {
                        each.failed(now);
                    } else {
                        back[step]++;
                        each.answered(MS, now);
                    }
                }
            }
        }
        int whileAway = 0;
        int most = 0;
        int returned = 0;
        for (int step = 2; step < tries.length; step++) {
            whileAway += step < 600 ? tries[step] : 0;
            most = Math.max(most, back[step]);
            returned += back[step];
        }
        assertTrue(whileAway < 200 * 12, "tries in 60 s: " + whileAway);
        assertTrue(most < 20, "in a tenth of a second: " + most);
        assertEquals(200, returned);
        StoreCircuit slow = new StoreCircuit(limits, 1);
        slow.answered(200 * MS, 0);
        assertFalse(slow.open());
        slow.answered(200 * MS, 1);
        assertTrue(slow.open(), "slowness opens it too");
    }
}
