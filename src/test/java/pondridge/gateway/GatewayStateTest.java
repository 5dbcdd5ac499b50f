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
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.UpstreamState;
import pondridge.core.BufferBudget;
import pondridge.core.Target;
import pondridge.gateway.IdempotencyCache.Decision;

/**
 * Unit tests of the state behind a link without I/O: idempotency cache, timestamps, credit, buffered bytes and
 * start times.
 */
class GatewayStateTest {
    private static final long MS = 1_000_000;
    private static final int MAX_ENTRIES = 12;
    private static final int MAX_BYTES = 400;
    private static final int MAX_WAITERS = 3;

    /** The model's state of one key: what runs, and the response and its expiry. */
    private static final class ExpectedEntry {
        private final List<Integer> waiters = new ArrayList<>();
        private boolean running;
        private String response;
        private long expiresAt;
    }

    /** Sends random requests with few keys, served or not and repeated, to a cache that is often full. */
    private static void runRandomRequests(long seed, Map<Decision, Integer> counts) {
        Random random = new Random(seed);
        IdempotencyCache<Integer, String> cache = new IdempotencyCache<>(MAX_ENTRIES, MAX_BYTES, MAX_WAITERS);
        Map<String, ExpectedEntry> expectedEntries = new HashMap<>();
        List<String> running = new ArrayList<>();
        long now = 0;
        int waiter = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(20);
            String key = "k" + random.nextInt(30);
            ExpectedEntry expected = expectedEntries.computeIfAbsent(key, each -> new ExpectedEntry());
            if (random.nextInt(3) > 0) {
                boolean differentRequest = random.nextInt(10) == 0;
                Decision decision = cache.admit(key, differentRequest ? "other" : "same", ++waiter, now);
                counts.merge(decision, 1, Integer::sum);
                switch (decision) {
                    case RUN -> {
                        // A second run of a key is correct only if no response of the first is cached.
                        assertFalse(expected.running, "already running");
                        expected.running = true;
                        expected.waiters.add(waiter);
                        running.add(key);
                        if (differentRequest) {
                            running.remove(key);
                            expected.running = false;
                            expected.waiters.clear();
                            cache.complete(key, null, 0, 0, now);
                        }
                    }
                    case JOINED -> {
                        assertTrue(expected.running && !differentRequest && expected.waiters.size() < MAX_WAITERS);
                        expected.waiters.add(waiter);
                    }
                    case REPLAY -> {
                        assertTrue(
                                expected.response != null && now < expected.expiresAt, "replayed an expired response");
                        assertEquals(expected.response, cache.response(key));
                    }
                    case REJECT -> assertTrue(differentRequest || expected.waiters.size() == MAX_WAITERS);
                    default -> assertEquals(MAX_ENTRIES, cache.size(), "the cache was not full");
                }
            } else if (!running.isEmpty()) {
                String ended = running.remove(random.nextInt(running.size()));
                ExpectedEntry done = expectedEntries.get(ended);
                boolean served = random.nextInt(3) > 0;
                done.response = served ? "response " + i : null;
                long ttlNanos = random.nextBoolean() ? 100 : 750;
                done.expiresAt = now + ttlNanos;
                int sizeBytes = 10 + random.nextInt(80);
                assertEquals(done.waiters, cache.complete(ended, done.response, sizeBytes, ttlNanos, now));
                done.waiters.clear();
                done.running = false;
            }
            assertTrue(cache.size() <= MAX_ENTRIES && cache.bytes() <= MAX_BYTES && cache.bytes() >= 0);
        }
        for (String key : running) {
            cache.complete(key, null, 0, 0, now);
        }
        cache.admit("last", "same", 0, now + 1_000);
        assertEquals(List.of(1L, 0L), List.of((long) cache.size(), cache.bytes()), "all entries expired");
    }

    @Test
    void responsesAreReplayedWithinTheirLifetimeAndBounds() {
        Map<Decision, Integer> counts = new HashMap<>();
        for (long seed = 0; seed < 2_000; seed++) {
            try {
                runRandomRequests(seed, counts);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
        for (Decision decision : Decision.values()) {
            assertTrue(counts.getOrDefault(decision, 0) > 1_000, "each decision occurs often: " + counts);
        }
    }

    /**
     * A timestamp is valid for a limited time and only in the run that issued it; no other clock is involved.
     */
    @Test
    void timestampsAreValidOnlyAtTheirIssuer() {
        EchoedTimestamps timestamps = new EchoedTimestamps(0x8c1f30d27a5be964L, 300 * MS);
        String timestamp = timestamps.issue(-5 * MS);
        assertTrue(timestamps.isFresh(timestamp, -5 * MS));
        assertTrue(timestamps.isFresh(timestamp, 295 * MS));
        assertFalse(timestamps.isFresh(timestamp, 296 * MS));
        assertFalse(timestamps.isFresh(timestamp, -6 * MS), "timestamp from the future");
        assertFalse(new EchoedTimestamps(7, 300 * MS).isFresh(timestamp, 0), "timestamp of another run");
        for (String malformed :
                new String[] {null, "", ".", "1.", ".1", timestamp + "0x", timestamp + timestamp, "8c1f"}) {
            assertFalse(timestamps.isFresh(malformed, 0), malformed);
        }
    }

    @Test
    void creditHalvesOnRejectionsAndRecovers() {
        CreditControl credit = new CreditControl(64, 200 * MS, 0);
        int accepted = 0;
        while (credit.tryTake()) {
            accepted++;
        }
        assertEquals(64, accepted);
        for (int i = 0; i < 64; i++) {
            credit.requestEnded(true, MS);
        }
        assertEquals(32, credit.credit(), "one halving per interval");
        for (int interval = 1; interval < 20; interval++) {
            assertTrue(credit.tryTake(), "credit never falls to 0");
            credit.requestEnded(true, interval * 300 * MS);
        }
        assertEquals(1, credit.credit());
        int ended = 0;
        for (; credit.credit() < 64; ended++) {
            assertTrue(credit.tryTake());
            credit.requestEnded(false, 0);
        }
        assertTrue(ended > 64 && ended < 64 * 64, "the limit recovers gradually: " + ended);
    }

    /**
     * No connection reserves more than its share and all together no more than the total; a connection at its
     * share does not affect the others.
     */
    @Test
    void bytesBufferedForOneConnectionDoNotStarveOthers() {
        Random random = new Random(5);
        BufferBudget budget = new BufferBudget(4_000);
        List<BufferBudget.ConnectionShare> shares = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            shares.add(budget.newShare());
        }
        int rejected = 0;
        for (int i = 0; i < 20_000; i++) {
            BufferBudget.ConnectionShare share = shares.get(random.nextInt(8));
            long before = share.reservedBytes();
            long additional = random.nextInt(400);
            if (random.nextBoolean()) {
                boolean fits = before + additional <= 1_000 && budget.reservedBytes() + additional <= 4_000;
                assertEquals(fits, share.tryReserve(additional));
                rejected += fits ? 0 : 1;
            } else {
                share.release(Math.min(before, additional));
            }
            assertEquals(share.reservedBytes() < 1_000 && budget.reservedBytes() < 4_000, share.hasCapacity());
            assertEquals(
                    budget.reservedBytes(),
                    shares.stream()
                            .mapToLong(BufferBudget.ConnectionShare::reservedBytes)
                            .sum());
        }
        assertTrue(rejected > 1_000, "often rejected: " + rejected);
    }

    /**
     * The list's clock is off, and servers start, restart, leave and return. No server counts as started
     * before it was listed or as new twice, and the times of the first list are used up to the clock error.
     */
    @Test
    void startTimesFollowTheLocalClock() {
        for (long seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            long clockOffset = random.nextInt(120_000) - 60_000;
            long maxClockError = random.nextInt(2_000);
            long now = 1_000_000;
            ServerStartTimes startTimes = new ServerStartTimes(maxClockError);
            Map<String, Long> startedAt = new HashMap<>();
            Map<String, Long> localStart = new HashMap<>();
            for (int i = 0; i < 5; i++) {
                startedAt.put("s" + i, now - random.nextInt(100_000));
            }
            EndpointListKind kind = EndpointListKind.FULL;
            for (int round = 0; round < 40; round++, now += random.nextInt(3_000)) {
                String changed = "s" + random.nextInt(8);
                boolean restarted = round > 0 && random.nextBoolean();
                if (restarted) {
                    startedAt.put(changed, now);
                }
                List<Target> listed = new ArrayList<>();
                for (Map.Entry<String, Long> each : startedAt.entrySet()) {
                    listed.add(new Target(
                            each.getKey(), null, "a", "m", 0, UpstreamState.READY, 1, each.getValue() + clockOffset));
                }
                for (Target target : startTimes.withLocalStartTimes(kind, listed, now)) {
                    String uid = target.uid();
                    Long before = localStart.put(uid, target.startedMs());
                    if (round == 0) {
                        assertEquals(
                                Math.min(now, startedAt.get(uid) + clockOffset + maxClockError), target.startedMs());
                    } else {
                        assertEquals(
                                restarted && uid.equals(changed) ? now : before, target.startedMs(), "seed " + seed);
                    }
                }
                kind = random.nextInt(4) == 0 ? EndpointListKind.FULL : EndpointListKind.DELTA;
            }
        }
    }
}
