package pondridge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;
import pondridge.core.Target;
import pondridge.gateway.AnswerMemory.Verdict;
import pondridge.http2.HeldBytes;

/** What the far end of a link decides, without a link: the memory of answers, stamps, credit. */
class DecidersTest {
    private static final long MS = 1_000_000;
    private static final int MOST = 12;
    private static final int MOST_BYTES = 400;
    private static final int JOINED = 3;

    /** One key as the model knows it: what runs, what was answered and until when. */
    private static final class Known {
        private final List<Integer> waiting = new ArrayList<>();
        private boolean running;
        private String answer;
        private long until;
    }

    /** Requests of few keys come, run, are served or not, and repeat, in a memory that is often full. */
    private static void play(long seed, Map<Verdict, Integer> counts) {
        Random random = new Random(seed);
        AnswerMemory<Integer, String> memory = new AnswerMemory<>(MOST, MOST_BYTES, JOINED);
        Map<String, Known> known = new HashMap<>();
        List<String> running = new ArrayList<>();
        long now = 0;
        int asker = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(20);
            String key = "k" + random.nextInt(30);
            Known its = known.computeIfAbsent(key, each -> new Known());
            if (random.nextInt(3) > 0) {
                boolean other = random.nextInt(10) == 0;
                Verdict verdict = memory.ask(key, other ? "other" : "same", ++asker, now);
                counts.merge(verdict, 1, Integer::sum);
                switch (verdict) {
                    case RUN -> {
                        // A new run of the same key is right only if the last one's answer is not there.
                        assertFalse(its.running, "runs already");
                        its.running = true;
                        its.waiting.add(asker);
                        running.add(key);
                        if (other) {
                            running.remove(key);
                            its.running = false;
                            its.waiting.clear();
                            memory.ended(key, null, 0, 0, now);
                        }
                    }
                    case JOINED -> {
                        assertTrue(its.running && !other && its.waiting.size() < JOINED);
                        its.waiting.add(asker);
                    }
                    case REPLAY -> {
                        assertTrue(its.answer != null && now < its.until, "replayed what is over");
                        assertEquals(its.answer, memory.answer(key));
                    }
                    case REFUSE -> assertTrue(other || its.waiting.size() == JOINED);
                    default -> assertEquals(MOST, memory.size(), "there was room");
                }
            } else if (!running.isEmpty()) {
                String ended = running.remove(random.nextInt(running.size()));
                Known done = known.get(ended);
                boolean served = random.nextInt(3) > 0;
                done.answer = served ? "answer " + i : null;
                long keep = random.nextBoolean() ? 100 : 750;
                done.until = now + keep;
                int size = 10 + random.nextInt(80);
                assertEquals(done.waiting, memory.ended(ended, done.answer, size, keep, now));
                done.waiting.clear();
                done.running = false;
            }
            assertTrue(memory.size() <= MOST && memory.bytes() <= MOST_BYTES && memory.bytes() >= 0);
        }
        for (String key : running) {
            memory.ended(key, null, 0, 0, now);
        }
        memory.ask("last", "same", 0, now + 1_000);
        assertEquals(List.of(1L, 0L), List.of((long) memory.size(), memory.bytes()), "all is forgotten");
    }

    @Test
    void answersAreGivenAgainWithinTheirTimeAndBounds() {
        Map<Verdict, Integer> counts = new HashMap<>();
        for (long seed = 0; seed < 2_000; seed++) {
            try {
                play(seed, counts);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
        for (Verdict verdict : Verdict.values()) {
            assertTrue(counts.getOrDefault(verdict, 0) > 1_000, "each often: " + counts);
        }
    }

    /** A stamp is good for a while, at the one run of the program that made it; no other clock matters. */
    @Test
    void stampsAreTheirMakersAlone() {
        Stamps stamps = new Stamps(0x8c1f30d27a5be964L, 300 * MS);
        String stamp = stamps.issue(-5 * MS);
        assertTrue(stamps.fresh(stamp, -5 * MS));
        assertTrue(stamps.fresh(stamp, 295 * MS));
        assertFalse(stamps.fresh(stamp, 296 * MS));
        assertFalse(stamps.fresh(stamp, -6 * MS), "from the future");
        assertFalse(new Stamps(7, 300 * MS).fresh(stamp, 0), "of another run");
        for (String odd : new String[] {null, "", ".", "1.", ".1", stamp + "0x", stamp + stamp, "8c1f"}) {
            assertFalse(stamps.fresh(odd, 0), odd);
        }
    }

    @Test
    void creditHalvesWhenRequestsAreTurnedAwayAndComesBack() {
        CreditControl credit = new CreditControl(64, 200 * MS, 0);
        int taken = 0;
        while (credit.take()) {
            taken++;
        }
        assertEquals(64, taken);
        for (int i = 0; i < 64; i++) {
            credit.ended(true, MS);
        }
        assertEquals(32, credit.credit(), "one halving for one spell");
        for (int spell = 1; spell < 20; spell++) {
            assertTrue(credit.take(), "never nothing");
            credit.ended(true, spell * 300 * MS);
        }
        assertEquals(1, credit.credit());
        int ended = 0;
        for (; credit.credit() < 64; ended++) {
            assertTrue(credit.take());
            credit.ended(false, 0);
        }
        assertTrue(ended > 64 && ended < 64 * 64, "back by and by: " + ended);
    }

    /**
     * No connection holds more than its part, nor all more than the whole, and one at its part harms none.
     */
    @Test
    void whatOneConnectionHoldsTakesNoRoomFromTheOthers() {
        Random random = new Random(5);
        HeldBytes bytes = new HeldBytes(4_000);
        List<HeldBytes.Share> shares = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            shares.add(bytes.share());
        }
        int turnedAway = 0;
        for (int i = 0; i < 20_000; i++) {
            HeldBytes.Share share = shares.get(random.nextInt(8));
            long before = share.held();
            long more = random.nextInt(400);
            if (random.nextBoolean()) {
                boolean fits = before + more <= 1_000 && bytes.held() + more <= 4_000;
                assertEquals(fits, share.take(more));
                turnedAway += fits ? 0 : 1;
            } else {
                share.give(Math.min(before, more));
            }
            assertEquals(share.held() < 1_000 && bytes.held() < 4_000, share.room());
            assertEquals(
                    bytes.held(),
                    shares.stream().mapToLong(HeldBytes.Share::held).sum());
        }
        assertTrue(turnedAway > 1_000, "often full: " + turnedAway);
    }

    /**
     * Lists by a clock that is off, of servers that start, restart, leave and come back: nobody is held to
     * have started before it was seen, nobody is fresh twice, and the first list's times are believed but for
     * the error.
     */
    @Test
    void startTimesAreThisMachinesWhateverTheListsClock() {
        for (long seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            long off = random.nextInt(120_000) - 60_000;
            long error = random.nextInt(2_000);
            long now = 1_000_000;
            StartTimes times = new StartTimes(error);
            Map<String, Long> began = new HashMap<>();
            Map<String, Long> held = new HashMap<>();
            for (int i = 0; i < 5; i++) {
                began.put("s" + i, now - random.nextInt(100_000));
            }
            ListKind kind = ListKind.FULL;
            for (int turn = 0; turn < 40; turn++, now += random.nextInt(3_000)) {
                String one = "s" + random.nextInt(8);
                boolean news = turn > 0 && random.nextBoolean();
                if (news) {
                    began.put(one, now);
                }
                List<Target> told = new ArrayList<>();
                for (Map.Entry<String, Long> each : began.entrySet()) {
                    told.add(new Target(each.getKey(), null, "a", "m", 0, State.READY, 1, each.getValue() + off));
                }
                for (Target target : times.held(kind, told, now)) {
                    String uid = target.uid();
                    Long before = held.put(uid, target.startedMs());
                    if (turn == 0) {
                        assertEquals(Math.min(now, began.get(uid) + off + error), target.startedMs());
                    } else {
                        assertEquals(news && uid.equals(one) ? now : before, target.startedMs(), "seed " + seed);
                    }
                }
                kind = random.nextInt(4) == 0 ? ListKind.FULL : ListKind.DELTA;
            }
        }
    }
}
