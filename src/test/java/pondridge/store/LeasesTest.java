package pondridge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pondridge.store.LeaseHolder.Budget;
import pondridge.store.Leases.Grant;
import pondridge.store.Leases.LeaseRequest;

/** Leases of a budget that many members take from one counter, each with a clock that differs from true time. */
class LeasesTest {
    private static final long MS = 1_000_000;
    private static final long SLOT_MILLIS = 1_500;
    private static final long SECOND = 1_000 * MS;

    /** A member whose clock is off by an arbitrary amount. */
    private static final class Member {
        private final Leases leases;
        private final long clockOffset;
        private final double weight;

        Member(long seed, long clockOffset, double weight) {
            this.leases = new Leases(SLOT_MILLIS, seed);
            this.clockOffset = clockOffset;
            this.weight = weight;
        }
    }

    /** A grant, with its validity in milliseconds of true time. */
    private record ValidGrant(long count, double fromMillis, double untilMillis) {}

    /**
     * Up to 64 members, messages that take up to 400 ms each way, and counters that are lost in one run of
     * three. The leases valid at one time never exceed the budget or, with lost counters, what all members
     * together may request.
     */
    @Test
    void leasesValidAtATimeStayWithinTheBudget() {
        long totalGranted = 0;
        for (long seed = 0; seed < 1_000; seed++) {
            Random random = new Random(seed);
            double lossProbability = seed % 3 == 0 ? 0.2 : 0;
            int count = 1 + random.nextInt(64);
            double capacity = 1 + random.nextInt(400);
            FleetMembership fleet = new FleetMembership(30 * SECOND, 0);
            fleet.recordCount(count, 0);
            List<Member> members = new ArrayList<>();
            double weights = 0;
            for (int i = 0; i < count; i++) {
                double weight = random.nextInt(4) == 0 ? 10 * random.nextDouble() : 1;
                weights += Math.max(Leases.MIN_EVEN_SHARES, Math.min(Leases.MAX_EVEN_SHARES, weight));
                members.add(new Member(seed + i, random.nextLong() >> 20, weight));
            }
            Map<String, Long> counters = new HashMap<>();
            List<ValidGrant> grants = new ArrayList<>();
            for (int i = 0; i < 40 * count; i++) {
                double sentMillis = 1_000_000 + i * 900.0 / count;
                Member member = members.get(random.nextInt(count));
                double storeMillisExact = sentMillis + random.nextDouble() * 400;
                double receivedMillis = storeMillisExact + random.nextDouble() * 400;
                long storeMillis = (long) storeMillisExact;
                for (LeaseRequest request : member.leases.requests(
                        List.of(new Budget("b", capacity)), fleet.size(SECOND), member.weight, (long) sentMillis)) {
                    String key = request.name() + request.slot();
                    if (random.nextDouble() < lossProbability) {
                        counters.remove(key);
                    }
                    long counter = counters.merge(key, request.amount(), Long::sum);
                    Grant grant = member.leases.grantFor(
                            request,
                            counter,
                            storeMillis,
                            nanos(sentMillis) + member.clockOffset,
                            nanos(receivedMillis) + member.clockOffset);
                    assertTrue(grant.count() >= 0 && grant.count() <= request.amount(), "seed " + seed);
                    grants.add(new ValidGrant(
                            grant.count(),
                            (grant.fromNanos() - member.clockOffset) / (double) MS,
                            (grant.untilNanos() - member.clockOffset) / (double) MS));
                }
            }
            double bound = lossProbability == 0 ? capacity : capacity * weights / count + count;
            for (ValidGrant each : grants) {
                // The sum of the leases that are valid when this one begins, each counted in full.
                long sum = grants.stream()
                        .filter(other -> other.fromMillis <= each.fromMillis && each.fromMillis < other.untilMillis)
                        .mapToLong(ValidGrant::count)
                        .sum();
                assertTrue(
                        each.fromMillis >= each.untilMillis || sum <= bound,
                        "seed " + seed + ": " + sum + " of " + bound);
                totalGranted += each.count;
            }
        }
        assertTrue(totalGranted > 100_000, "few uses were granted: " + totalGranted);
    }

    private static long nanos(double ms) {
        return (long) (ms * MS);
    }

    /** A member gets one lease per slot, and none if the store's clock is set back or forward in between. */
    @Test
    void oneLeasePerSlotAndNoneAfterAClockChange() {
        Leases leases = new Leases(SLOT_MILLIS, 1);
        Set<Long> slots = new HashSet<>();
        for (long ms = 0; ms < 60_000; ms += 300) {
            for (LeaseRequest request : leases.requests(List.of(new Budget("b", 10)), 1, 1, ms)) {
                assertTrue(slots.add(request.slot()));
                assertTrue(request.slot() * SLOT_MILLIS > ms && request.slot() * SLOT_MILLIS <= ms + SLOT_MILLIS);
                assertEquals(
                        10, leases.grantFor(request, request.amount(), ms, 0, 0).count());
                assertNull(leases.grantFor(request, request.amount(), ms - 3_600_000, 0, 0));
                assertNull(leases.grantFor(request, request.amount(), ms + 3_600_000, 0, 0));
                assertEquals(0, leases.grantFor(request, -1_000_000, ms, 0, 0).count(), "an impossible counter");
                assertEquals(
                        0, leases.grantFor(request, Long.MAX_VALUE, ms, 0, 0).count());
            }
        }
        assertEquals(40, slots.size(), 1);
        assertEquals(
                1,
                leases.requests(List.of(new Budget("b", 10)), 1, 1, 7_200_000).size(),
                "an hour ahead");
        assertEquals(
                1, leases.requests(List.of(new Budget("b", 10)), 1, 1, 30_000).size(), "and back");
    }

    /** A store that loses members makes no lease larger; a new member uses no count at first. */
    @Test
    void fleetSizeIsTheLargestRecentCount() {
        FleetMembership fleet = new FleetMembership(30 * SECOND, 10 * SECOND);
        for (int i = 0; i < 20; i++) {
            fleet.recordCount(i < 5 ? 64 : 1, i * SECOND);
            assertEquals(64, fleet.size(i * SECOND));
            assertEquals(i >= 10, fleet.isSettled(i * SECOND));
        }
        assertEquals(64, fleet.size(34 * SECOND));
        assertEquals(1, fleet.size(35 * SECOND), "their last count is 30 s old");
        assertEquals(false, fleet.isSettled(60 * SECOND), "no count for a long time");
        fleet.recordRates(List.of(0.0, 30.0, 20.0), 10);
        assertEquals(0.5, fleet.trafficWeight(10), 1e-9);
    }

    @Test
    void requestRateIsSmoothed() {
        RequestRateEstimate requestRate = new RequestRateEstimate();
        for (long i = 0; i <= 100; i++) {
            requestRate.recordTotal(50 * i, i * SECOND);
        }
        assertEquals(50, requestRate.perSecond(), 0.1);
        requestRate.recordTotal(50 * 100, 101 * SECOND);
        assertTrue(requestRate.perSecond() > 40, "after one second without requests");
    }
}
