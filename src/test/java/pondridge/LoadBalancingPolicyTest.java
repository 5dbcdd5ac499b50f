package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.RecordingHost.BY_KEY_ANYWHERE;
import static pondridge.RecordingHost.BY_KEY_IN_CELL;
import static pondridge.RecordingHost.MS;
import static pondridge.RecordingHost.ONCE;
import static pondridge.RecordingHost.REPEATABLE;
import static pondridge.RecordingHost.settings;
import static pondridge.RecordingHost.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.UpstreamState;

class LoadBalancingPolicyTest {

    private static RecordingHost host(Balancer.RequestClass... classes) {
        return new RecordingHost(settings(classes), 7);
    }

    /** Upstreams of one rotation, with requests served one at a time, so that in-flight counts always tie. */
    private static List<Long> oneRotation(RecordingHost host, int length, long firstId) {
        List<Long> order = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            host.request(firstId + i, 0);
            order.add(host.lastSend().upstream());
            host.advance(MS);
            host.outcome(host.lastSend(), Outcome.OK);
        }
        return order;
    }

    // ---------------------------------------------------------------- rotation

    @Test
    void rotationIsCyclicAndEvenWhileCountsTie() {
        RecordingHost host = host(REPEATABLE).withUpstreams(5);
        List<Long> first = oneRotation(host, 5, 0);
        assertEquals(5, new HashSet<>(first).size());
        assertEquals(first, oneRotation(host, 5, 5));
        assertEquals(first, oneRotation(host, 5, 10));
    }

    @Test
    void everyPermutationIsAboutEquallyLikely() {
        Map<List<Long>, Integer> seen = new HashMap<>();
        for (int seed = 0; seed < 6_000; seed++) {
            RecordingHost host = new RecordingHost(settings(REPEATABLE), seed).withUpstreams(3);
            seen.merge(oneRotation(host, 3, 0), 1, Integer::sum);
        }
        assertEquals(6, seen.size());
        // 1000 expected each; 150 is over five standard deviations.
        seen.values().forEach(count -> assertTrue(Math.abs(count - 1_000) < 150, seen.toString()));
    }

    @Test
    void lessBusyOfCurrentAndNextIsPicked() {
        RecordingHost host = host(REPEATABLE).withUpstreams(3);
        List<Long> order = oneRotation(host, 3, 0);
        host.request(10, 0);
        assertEquals(order.get(0), host.lastSend().upstream());
        host.request(11, 0);
        host.request(12, 0);
        assertEquals(order.get(2), host.lastSend().upstream());
        host.outcome(host.sendsOf(11).get(0), Outcome.OK);
        host.request(13, 0);
        assertEquals(order.get(1), host.lastSend().upstream(), "the current entry has one in flight, the next none");
    }

    @Test
    void reshufflesOnlyWhenTheReadySetChanges() {
        RecordingHost host = host(REPEATABLE).withUpstreams(8);
        List<Long> before = oneRotation(host, 8, 0);
        host.policy.endpointListChanged(host.now, EndpointListKind.DELTA, List.of(upstream(3)));
        assertEquals(before, oneRotation(host, 8, 20));
        host.policy.endpointListChanged(host.now, EndpointListKind.DELTA, List.of(upstream(3, UpstreamState.GONE, 0)));
        List<Long> after = oneRotation(host, 7, 40);
        assertFalse(after.contains(3L));
        before.remove(3L);
        assertNotEquals(before, after, "drawn anew; this seed yields another order");
    }

    @Test
    void requestIsRefusedAtOnceWithoutReadyUpstreams() {
        RecordingHost host = host(ONCE).withUpstreams(0);
        host.request(1, 0);
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }

    @Test
    void sameEventsProduceSameActions() {
        List<List<String>> logs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            RecordingHost host = host(REPEATABLE, ONCE).withUpstreams(6);
            host.serve(0, 60, 0, 3 * MS);
            for (int i = 100; i < 160; i++) {
                host.request(i, i % 2);
                host.advance(2 * MS);
            }
            host.advance(2_000 * MS);
            logs.add(host.actions);
        }
        assertEquals(logs.get(0), logs.get(1));
    }

    /** Requests sent to a fast and a slow upstream of two kinds, given their response times. */
    private static List<Long> turnsOfTwoKinds(long fast, long slow) {
        RecordingHost host = host(REPEATABLE);
        host.policy.endpointListChanged(
                host.now,
                EndpointListKind.CACHED,
                List.of(
                        new Balancer.Upstream(0, 0, 0, 0, UpstreamState.READY, 1, 0),
                        new Balancer.Upstream(1, 0, 1, 0, UpstreamState.READY, 1, 0)));
        for (int i = 0; i < 200; i++) {
            host.request(i, 0);
            host.advance(host.lastSend().upstream() == 0 ? fast : slow);
            host.outcome(host.lastSend(), Outcome.OK);
        }
        return List.of(host.countSendsTo(0, 100), host.countSendsTo(1, 100));
    }

    @Test
    void slowKindTakesFewerTurnsOnceItsResponsesUseUpTheSlo() {
        assertEquals(List.of(50L, 50L), turnsOfTwoKinds(20 * MS, 60 * MS), "well within the SLO of 500 ms");
        List<Long> turns = turnsOfTwoKinds(100 * MS, 300 * MS);
        assertTrue(turns.get(1) > 15 && turns.get(1) < 35, "a third of the speed, a third of the turns: " + turns);
    }

    // ---------------------------------------------------------------- final responses

    @Test
    void earlyTimerDoesNotLoseRequests() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        host.request(1, 0);
        RecordingHost.Timer timer = host.timers.poll();
        host.now = timer.dueNanos() - 30;
        host.policy.timerFired(host.now, timer.token());
        host.advance(2_000 * MS);
        assertEquals(List.of("fail 1"), host.finalResponses);
    }

    @Test
    void queuedRequestsGetResponsesBeforeTheirDeadline() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        host.burst(0, 50, 0);
        host.advance(1_000 * MS);
        assertEquals(50, new HashSet<>(host.finalResponses).size());
        assertEquals(50, host.finalResponses.size());
    }

    @Test
    void requestWithoutTimeLeftIsRefusedAtOnce() {
        RecordingHost host = host(ONCE).withUpstreams(3);
        host.request(1, 0, 0);
        assertEquals(List.of("refuse 1"), host.finalResponses);
        assertTrue(host.sends.isEmpty());
    }

    @Test
    void timeoutAtTheDeadlineFailsOnce() {
        RecordingHost host = host(ONCE).withUpstreams(3);
        host.request(1, 0);
        RecordingHost.SentAttempt sent = host.lastSend();
        host.now += 1_000 * MS;
        host.outcome(sent, Outcome.TIMEOUT);
        host.advance(100 * MS);
        assertEquals(List.of("fail 1"), host.finalResponses);
    }

    // ---------------------------------------------------------------- retries

    @Test
    void onceIsResentOnlyIfItProvablyNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            RecordingHost host = host(ONCE).withUpstreams(4);
            host.request(1, 0);
            host.outcome(host.lastSend(), outcome);
            assertEquals(outcome.provesNotExecuted() ? 2 : 1, host.sends.size(), outcome.toString());
            if (!outcome.provesNotExecuted()) {
                assertEquals(List.of("fail 1"), host.finalResponses);
            }
        }
    }

    @Test
    void keyedRetryStaysInItsCellAndWithinTheKeyTtl() {
        RecordingHost host = host(BY_KEY_IN_CELL).withUpstreams(9);
        host.request(1, 0);
        long cell = host.lastSend().upstream() / 3;
        host.outcome(host.lastSend(), Outcome.ERROR);
        assertEquals(2, host.sends.size());
        assertEquals(cell, host.lastSend().upstream() / 3);
        host.now += 699 * MS;
        host.outcome(host.lastSend(), Outcome.ERROR);
        assertEquals(2, host.sends.size(), "the key is about to expire");
        assertEquals(List.of("fail 1"), host.finalResponses);
    }

    /**
     * Guards against refusals that make clients execute an order twice: a refusal promises that a retry is harmless,
     * which it is not if the key may be forgotten before the client's retry has reached an upstream.
     */
    @Test
    void keyedRequestThatMayHaveRunIsRefusedOnlyWhileTheKeyOutlastsTheClientsRetry() {
        long deadline = BY_KEY_ANYWHERE.deadlineNanos();
        long longestClientRetry = 1_000 * MS + deadline;
        for (long elapsed : List.of(0L, 100 * MS, 900 * MS)) {
            assertEquals(
                    List.of("refuse 1"), responseAfterReset(elapsed, elapsed + longestClientRetry + 1), "remembered");
            assertEquals(List.of("fail 1"), responseAfterReset(elapsed, elapsed + longestClientRetry), "forgotten");
            assertEquals(List.of("fail 1"), responseAfterReset(elapsed, elapsed / 2), "already forgotten");
        }
    }

    /** An attempt for an earlier request with the same key counts like one of this request. */
    @Test
    void attemptsOfAnEarlierRequestWithTheSameKeyCount() {
        RecordingHost host = host(BY_KEY_IN_CELL).withUpstreams(9);
        long sentAt = host.now;
        for (int i = 0; i < 9; i++) {
            host.requestAfter(i, new Balancer.PriorAttempt(4, sentAt));
            assertEquals(1, host.lastSend().upstream() / 3, "the cell of upstream 4");
        }
        host.advance(700 * MS);
        host.requestAfter(20, new Balancer.PriorAttempt(4, sentAt));
        assertEquals(List.of(), host.sendsOf(20), "the key is forgotten");
        assertEquals("fail 20", host.finalResponses.get(host.finalResponses.size() - 1));
        host.requestAfter(21, new Balancer.PriorAttempt(99, host.now));
        assertEquals("fail 21", host.finalResponses.get(host.finalResponses.size() - 1), "cell unknown");
    }

    /** The final response to a keyed request whose only attempt is reset after this time. */
    private static List<String> responseAfterReset(long elapsed, long keyTtl) {
        Balancer.RequestClass requestClass = new Balancer.RequestClass(
                500 * MS, 0, 1_000 * MS, 1, 0, Balancer.RetrySemantics.BY_KEY, Balancer.KeyScope.ALL, keyTtl, false);
        RecordingHost host = host(requestClass).withUpstreams(1);
        host.request(1, 0);
        host.advance(elapsed);
        host.outcome(host.lastSend(), Outcome.RESET);
        return host.finalResponses;
    }

    @Test
    void attemptLimitIsKept() {
        RecordingHost host = host(REPEATABLE).withUpstreams(9);
        host.request(1, 0);
        for (int i = 0; i < 5 && host.finalResponses.isEmpty(); i++) {
            host.outcome(host.lastSend(), Outcome.REJECTED);
        }
        assertEquals(3, host.sends.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }

    // ---------------------------------------------------------------- server list and discovery

    @Test
    void drainingAndMissingUpstreamsGetNoNewRequests() {
        RecordingHost host = host(REPEATABLE).withUpstreams(4);
        host.policy.endpointListChanged(
                host.now, EndpointListKind.DELTA, List.of(upstream(2, UpstreamState.DRAINING, 0)));
        assertFalse(oneRotation(host, 12, 0).contains(2L));
        host.policy.endpointListChanged(host.now, EndpointListKind.FULL, List.of(upstream(0), upstream(1)));
        assertEquals(Set.of(0L, 1L), new HashSet<>(oneRotation(host, 12, 20)));
    }

    /** Guards against memory that grows with each server that was ever listed; those in use are not affected. */
    @Test
    void manyServersThatCameAndWentAreForgotten() {
        RecordingHost host = host(REPEATABLE).withUpstreams(3);
        for (long id = 10; id < 20_000; id++) {
            host.policy.endpointListChanged(host.now, EndpointListKind.DELTA, List.of(upstream(id)));
            host.policy.endpointListChanged(
                    host.now, EndpointListKind.DELTA, List.of(upstream(id, UpstreamState.GONE, 0)));
        }
        host.policy.endpointListChanged(
                host.now, EndpointListKind.FULL, List.of(upstream(0), upstream(1), upstream(2)));
        assertEquals(Set.of(0L, 1L, 2L), new HashSet<>(oneRotation(host, 12, 0)));
    }

    @Test
    void failedSubscriptionKeepsTheListAndIsRetriedAtTheCallInterval() {
        RecordingHost host = new RecordingHost(settings(DiscoveryMode.SUBSCRIBE, REPEATABLE), 7).withUpstreams(3);
        assertEquals(1, host.subscribeCalls);
        for (int i = 0; i < 8; i++) {
            long failedAt = host.now;
            host.policy.endpointListChanged(host.now, EndpointListKind.FAILED, List.of());
            host.advance(599 * MS);
            assertEquals(i + 1, host.subscribeCalls, "at least 0.6 s after the previous call");
            while (host.subscribeCalls == i + 1) {
                host.policy.endpointListChanged(host.now, EndpointListKind.FAILED, List.of());
                host.advance(MS);
            }
            assertTrue(host.now - failedAt <= 1_200 * MS, "also after eight failures and repeated failure events");
        }
        host.request(1, 0);
        assertEquals(1, host.sends.size());
    }

    @Test
    void subscriptionWithoutResponseIsRepeated() {
        RecordingHost host = new RecordingHost(settings(DiscoveryMode.SUBSCRIBE, REPEATABLE), 7).withUpstreams(3);
        host.advance(6_000 * MS);
        assertEquals(2, host.subscribeCalls);
    }

    // ---------------------------------------------------------------- cold upstreams

    @Test
    void coldUpstreamGetsNoMoreThanItsShareOfAWarmOne() {
        RecordingHost host = host(REPEATABLE).withUpstreams(4);
        host.serve(0, 2_000, 0, 5 * MS);
        host.policy.endpointListChanged(
                host.now, EndpointListKind.DELTA, List.of(upstream(9, UpstreamState.READY, host.now)));
        int before = host.sends.size();
        host.serve(5_000, 5_300, 0, 5 * MS);
        long cold = host.countSendsTo(9, before);
        // 1.5 s at 200 requests per second over 4 warm servers: 75 each; the cold fraction is 0.3 and has hardly grown.
        assertTrue(cold > 5 && cold < 40, "requests sent to the cold upstream: " + cold);
    }

    @Test
    void firstRequestsOfManySidecarsDoNotOverloadAColdUpstream() {
        int cold = 0;
        int warm = 0;
        for (int seed = 0; seed < 100; seed++) {
            RecordingHost host = new RecordingHost(settings(REPEATABLE), seed).withUpstreams(4);
            host.serve(0, 20, 0, 500 * MS);
            host.policy.endpointListChanged(
                    host.now, EndpointListKind.DELTA, List.of(upstream(9, UpstreamState.READY, host.now)));
            int before = host.sends.size();
            host.serve(100, 105, 0, 300 * MS);
            cold += (int) host.countSendsTo(9, before);
            warm += 5 - (int) host.countSendsTo(9, before);
        }
        // A warm upstream gets about 120; the cold fraction of 0.3 grows to 0.4 in these 1.5 s.
        assertTrue(cold > 5 && cold < 0.5 * warm / 4, "cold upstream: " + cold + ", warm ones: " + warm);
    }

    @Test
    void sidecarWithoutObservationsSendsNothingToColdUpstreams() {
        for (int seed = 0; seed < 20; seed++) {
            RecordingHost host = new RecordingHost(settings(REPEATABLE), seed).withUpstreams(2);
            host.policy.endpointListChanged(
                    host.now, EndpointListKind.DELTA, List.of(upstream(9, UpstreamState.READY, host.now)));
            host.burst(0, 3, 0);
            assertEquals(0, host.countSendsTo(9, 0));
        }
    }

    // ---------------------------------------------------------------- health

    @Test
    void unresponsiveUpstreamLosesItsTurns() {
        RecordingHost host = host(ONCE, REPEATABLE).withUpstreams(4);
        host.serve(0, 40, 0, 20 * MS);
        int before = host.sends.size();
        for (int i = 100; i < 160; i++) {
            host.request(i, 0);
            RecordingHost.SentAttempt sent = host.lastSend();
            host.advance(20 * MS);
            if (sent.upstream() != 2) {
                host.outcome(sent, Outcome.OK);
            }
        }
        long wasted = host.countSendsTo(2, before);
        assertTrue(wasted <= 4, "unresponsive upstream got " + wasted + " of 60");
    }

    @Test
    void fastErrorsDoNotAttractRequests() {
        RecordingHost host = host(ONCE, REPEATABLE).withUpstreams(4);
        host.serve(0, 40, 0, 20 * MS);
        int before = host.sends.size();
        for (int i = 100; i < 200; i++) {
            host.request(i, 0);
            RecordingHost.SentAttempt sent = host.lastSend();
            host.advance(sent.upstream() == 2 ? MS : 20 * MS);
            host.outcome(sent, sent.upstream() == 2 ? Outcome.ERROR : Outcome.OK);
        }
        long wasted = host.countSendsTo(2, before);
        assertTrue(wasted <= 8, "failing upstream got " + wasted + " of 100, a third of an equal share");
    }

    @Test
    void commonSlownessExcludesNoUpstream() {
        RecordingHost host = host(REPEATABLE).withUpstreams(4);
        host.serve(0, 200, 0, 20 * MS);
        host.serve(1_000, 1_100, 0, 80 * MS);
        int before = host.sends.size();
        host.serve(2_000, 2_040, 0, 80 * MS);
        Map<Long, Integer> turns = new HashMap<>();
        host.sends.subList(before, before + 40).forEach(s -> turns.merge(s.upstream(), 1, Integer::sum));
        turns.values().forEach(count -> assertEquals(10, count));
        assertTrue(host.finalResponses.isEmpty(), "nothing refused: " + host.finalResponses);
    }

    @Test
    void unreachableUpstreamsAreTriedIfAllAreUnreachable() {
        RecordingHost host = host(REPEATABLE).withUpstreams(2);
        for (int i = 0; i < 4; i++) {
            host.request(i, 0);
            host.outcome(host.lastSend(), Outcome.CONNECT_FAILED);
        }
        int before = host.sends.size();
        host.request(10, 0);
        assertTrue(host.sends.size() > before, "health is ignored if all are unhealthy");
    }

    @Test
    void missingResponseCausesNoSecondAttempt() {
        RecordingHost host = host(REPEATABLE).withUpstreams(4);
        host.serve(0, 80, 0, 20 * MS);
        host.request(100, 0);
        host.advance(300 * MS);
        assertEquals(1, host.sendsOf(100).size(), "one attempt at a time");
    }

    // ---------------------------------------------------------------- probes before a send

    private static RecordingHost probingHost(int replicas) {
        return new RecordingHost(RecordingHost.probingSettings(replicas, REPEATABLE), 7).withUpstreams(10);
    }

    /**
     * Responds to every probe so far. Each upstream reports {@code inFlight} requests; the probe at index
     * {@code idle} reports none.
     */
    private static void respondToProbes(RecordingHost host, float inFlight, int idle) {
        List<Long> probed = host.actions.stream()
                .filter(line -> line.startsWith("probe "))
                .map(line -> Long.parseLong(line.substring(6)))
                .toList();
        host.actions.clear();
        host.now += MS;
        for (int i = 0; i < probed.size(); i++) {
            host.policy.probeEnded(host.now, probed.get(i), Outcome.OK, MS, new float[] {0, i == idle ? 0 : inFlight});
        }
    }

    @Test
    void busyUpstreamsAreSkippedWhereProbesAreCheap() {
        RecordingHost host = probingHost(100);
        host.request(1, 0);
        assertTrue(host.sends.isEmpty(), "it probes first");
        List<String> probed =
                host.actions.stream().filter(line -> line.startsWith("probe ")).toList();
        assertEquals(5, probed.size());
        respondToProbes(host, 3, 2);
        assertEquals(probed.get(2), "probe " + host.lastSend().upstream());
    }

    /** The timer of the first attempt's probes must not end the wait for those of the second. */
    @Test
    void probesOfARetryGetTheirOwnTime() {
        RecordingHost host = probingHost(100);
        long probeTimeout = REPEATABLE.sloNanos() / 20;
        host.request(1, 0);
        respondToProbes(host, 3, 2);
        host.advance(probeTimeout / 2);
        host.outcome(host.lastSend(), Outcome.REJECTED);
        host.advance(probeTimeout - MS);
        assertEquals(1, host.sends.size(), "no result yet");
        host.advance(MS);
        assertEquals(2, host.sends.size());
    }

    @Test
    void requestProceedsIfNoProbeGetsAResponse() {
        RecordingHost host = probingHost(100);
        host.request(1, 0);
        host.advance(30 * MS);
        assertEquals(1, host.sends.size());
    }

    @Test
    void requestIsRefusedAtOnceIfAllProbedUpstreamsAreFull() {
        RecordingHost host = probingHost(100);
        for (int i = 0; i < 40; i++) {
            host.request(i, 0);
            respondToProbes(host, 0, 0);
            host.advance(100 * MS);
            host.outcome(host.lastSend(), Outcome.OK);
        }
        host.request(100, 0);
        respondToProbes(host, 9, -1);
        assertEquals(List.of("refuse 100"), host.finalResponses, "ten times 100 ms each against an SLO of 500 ms");
    }

    @Test
    void attemptTimesOutAtItsSloOnlyWhereUpstreamsAreProbed() {
        RecordingHost host = probingHost(100);
        host.request(1, 0);
        respondToProbes(host, 0, 0);
        assertEquals(
                List.of("send 1 " + host.lastSend().upstream() + " " + 499 * MS),
                host.actions.stream().filter(line -> line.startsWith("send")).toList());
        host = probingHost(3);
        host.request(1, 0);
        assertTrue(host.actions.contains("send 1 " + host.lastSend().upstream() + " 0"));
    }

    @Test
    void fewSidecarsDoNotProbe() {
        RecordingHost host = probingHost(3);
        host.request(1, 0);
        assertEquals(1, host.sends.size());
        assertFalse(host.actions.stream().anyMatch(line -> line.startsWith("probe ")));
    }

    // ---------------------------------------------------------------- admission control

    /**
     * Runs rounds of 200 ms with one request of each class and returns the refused fraction of each class in
     * rounds from..to. Responses carry the given load report and take {@code responseTime}.
     */
    private static double[] refusedFractions(RecordingHost host, int from, int to, long responseTime, float... load) {
        int[] sent = new int[2];
        for (int round = from; round < to; round++) {
            for (int requestClass = 0; requestClass < 2; requestClass++) {
                host.request(2L * round + requestClass, requestClass);
                host.advance(responseTime);
                if (!host.sendsOf(2L * round + requestClass).isEmpty()) {
                    sent[requestClass]++;
                    host.outcome(host.lastSend(), Outcome.OK, load);
                }
                host.advance(100 * MS - responseTime);
            }
        }
        return new double[] {1 - sent[0] / (double) (to - from), 1 - sent[1] / (double) (to - from)};
    }

    /** Reported queues cause low-utility requests to be shed before responses are late, and only while queues last. */
    @Test
    void manySidecarsShedByUtilityWhileAllServersHaveQueues() {
        RecordingHost host = new RecordingHost(RecordingHost.queueReportingSettings(100), 7).withUpstreams(20);
        assertEquals(0, refusedFractions(host, 0, 50, 20 * MS, 5, 0)[0], "idle");
        double[] full = refusedFractions(host, 50, 250, 20 * MS, 5, 3);
        assertTrue(full[0] > 0.8, "low-utility class: " + full[0]);
        assertTrue(full[1] > 0 && full[1] < 0.9, "high-utility class: " + full[1]);
        refusedFractions(host, 250, 265, 20 * MS, 5, 0);
        double[] after = refusedFractions(host, 265, 300, 20 * MS, 5, 0);
        assertEquals(0, after[0] + after[1], "six SLOs later");
        assertEquals(0, refusedFractions(host, 300, 320, 20 * MS, 5, Float.NaN)[0], "an invalid report is ignored");
        RecordingHost few = new RecordingHost(RecordingHost.queueReportingSettings(15), 7).withUpstreams(20);
        assertEquals(0, refusedFractions(few, 0, 200, 20 * MS, 5, 3)[0], "few sidecars use lateness only");
    }

    /** If reports stop during an overload, the last one must not cause shedding forever. */
    @Test
    void fleetLoadExpiresWhenReportsStop() {
        RecordingHost host = new RecordingHost(RecordingHost.queueReportingSettings(100), 7).withUpstreams(20);
        assertTrue(refusedFractions(host, 0, 100, 20 * MS, 5, 3)[0] > 0.7, "all have queues");
        refusedFractions(host, 100, 140, 20 * MS);
        double[] after = refusedFractions(host, 140, 170, 20 * MS);
        assertEquals(0, after[0] + after[1], "sixteen SLOs after the last report");
        assertEquals(0, refusedFractions(host, 170, 171, 20 * MS, 5, 3)[0], "starts from zero");
        assertEquals(0, refusedFractions(host, 171, 173, 20 * MS, 5, 0)[0], "and not from the earlier level");
    }

    /**
     * A sidecar that sheds everything receives no load reports: its last report must not make it refuse all
     * requests for long.
     */
    @Test
    void sheddingSidecarSendsTrialRequests() {
        for (int seed = 0; seed < 20; seed++) {
            RecordingHost host = new RecordingHost(RecordingHost.queueReportingSettings(100), seed).withUpstreams(20);
            refusedFractions(host, 0, 200, 20 * MS, 5, 3);
            int before = host.sends.size();
            for (int i = 0; i < 8; i++) {
                host.request(10_000 + i, 0);
                host.advance(500 * MS);
            }
            assertTrue(host.sends.size() > before, "seed " + seed + ": eight SLOs with one low-utility request each");
        }
    }

    /** Where queues are reported, late responses alone cause no shedding: they show a past overload. */
    @Test
    void pastOverloadShedsNothing() {
        RecordingHost host = new RecordingHost(RecordingHost.queueReportingSettings(100), 7).withUpstreams(20);
        assertEquals(0, refusedFractions(host, 0, 60, 99 * MS, 5, 0)[0]);
        for (int i = 0; i < 40; i++) {
            host.request(1_000 + i, 1);
        }
        List<RecordingHost.SentAttempt> out =
                List.copyOf(host.sends.subList(host.sends.size() - 40, host.sends.size()));
        host.advance(900 * MS);
        out.forEach(sent -> host.outcome(sent, Outcome.OK, 5, 0));
        double[] after = refusedFractions(host, 1_000, 1_020, 20 * MS, 5, 0);
        assertEquals(0, after[0] + after[1]);
    }

    /**
     * Clients that leave while a connection is being established are no evidence about the servers: other
     * requests are not refused.
     */
    @Test
    void neverSentAttemptsCauseNoShedding() {
        RecordingHost host = new RecordingHost(settings(REPEATABLE), 7).withUpstreams(40);
        for (int i = 0; i < 20; i++) {
            host.request(i, 0);
            RecordingHost.SentAttempt sent = host.lastSend();
            host.policy.clientDisconnected(host.now, i);
            host.policy.attemptEnded(
                    host.now, i, sent.attempt(), sent.upstream(), Outcome.NEVER_SENT, 10 * MS, true, new float[0]);
        }
        host.finalResponses.clear();
        for (int i = 100; i < 120; i++) {
            host.request(i, 0);
        }
        assertEquals(List.of(), host.finalResponses);
    }

    @Test
    void markedRetriesAreShedMoreReadilyThanFirstTries() {
        int[] sent = new int[2];
        for (int seed = 0; seed < 100; seed++) {
            RecordingHost host = new RecordingHost(settings(REPEATABLE), seed).withUpstreams(40);
            for (int i = 0; i < 8; i++) {
                host.request(i, 0);
                RecordingHost.SentAttempt last = host.lastSend();
                host.advance(i % 2 == 0 ? 10 * MS : 600 * MS);
                host.outcome(last, Outcome.OK);
            }
            int before = host.sends.size();
            host.policy.requestArrived(
                    host.now, new Balancer.Request(100, 0, 0, 0, 1_000 * MS, 0, seed % 2 == 1, false));
            sent[seed % 2] += host.sends.size() - before;
        }
        assertTrue(sent[0] > 15 && sent[1] < sent[0] / 2, "first tries " + sent[0] + ", retries " + sent[1]);
    }

    @Test
    void lateResponsesCauseSheddingAndAFewOnTimeEndIt() {
        RecordingHost host = host(REPEATABLE).withUpstreams(40);
        for (int i = 0; i < 30; i++) {
            host.request(i, 0);
            host.advance(100 * MS);
        }
        host.advance(1_000 * MS);
        host.sends.forEach(sent -> host.outcome(sent, Outcome.TIMEOUT));
        int before = host.sends.size();
        host.burst(100, 140, 0);
        assertTrue(host.sends.size() - before < 8, "no response was on time: " + (host.sends.size() - before));
        host.advance(30_000 * MS);
        host.serve(200, 300, 0, 20 * MS);
        assertEquals(
                100, host.sends.stream().filter(sent -> sent.request() >= 200).count());
    }

    @Test
    void queuedRequestsAreSentNewestFirst() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        host.burst(0, 6, 0);
        int sent = host.sends.size();
        assertTrue(sent < 6, "some are queued");
        host.advance(10 * MS);
        host.outcome(host.sends.get(0), Outcome.OK);
        assertEquals(5, host.sends.get(sent).request());
    }

    /**
     * First tries mistaken for later ones are refused at once, and two of three are retried after one wait.
     * This must not keep first tries from being recognized: there are never more retries than first tries.
     */
    @Test
    void firstTriesAreRecognizedAgainAmongLaterOnes() {
        RecordingHost host = host(REPEATABLE).withUpstreams(5);
        long id = 0;
        for (int i = 0; i < 10; i++) {
            sendAndRespond(host, id++, 950 * MS);
        }
        boolean served = false;
        for (int i = 0; i < 300; i++) {
            served = sendAndRespond(host, id++, 450 * MS);
            if (!served && i % 3 > 0) {
                sendAndRespond(host, id++, 950 * MS);
            }
        }
        assertTrue(served);
    }

    /** Sends one request, responds after 1 ms if it was sent on, and returns whether it was. */
    private static boolean sendAndRespond(RecordingHost host, long id, long timeLeft) {
        host.request(id, 0, timeLeft);
        boolean sent = !host.sendsOf(id).isEmpty();
        host.advance(MS);
        if (sent) {
            host.outcome(host.lastSend(), Outcome.OK);
        }
        return sent;
    }

    @Test
    void hopelessLaterTriesAreRefusedAtOnceUnderLoad() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        host.burst(0, 6, 0);
        int sent = host.sends.size();
        host.policy.clientDisconnected(host.now, 5);
        host.advance(600 * MS);
        int responsesBefore = host.finalResponses.size();
        host.request(50, 0, 400 * MS);
        assertEquals(
                List.of("refuse 50"),
                host.finalResponses.subList(responsesBefore, host.finalResponses.size()),
                "600 ms of an SLO of 500 ms have passed");
        assertEquals(sent, host.sends.size());
    }

    /** Little time left and no earlier try here: a first try, started only if most such requests are on time. */
    @Test
    void firstTryWithShortTimeoutIsServedIfItCanBeOnTime() {
        RecordingHost host = host(REPEATABLE).withUpstreams(10);
        host.serve(0, 100, 0, 60 * MS);
        host.request(200, 0, 80 * MS);
        assertEquals("refuse 200", host.finalResponses.get(host.finalResponses.size() - 1), "60 ms are expected");
        int sent = host.sends.size();
        host.request(201, 0, 150 * MS);
        assertEquals(sent + 1, host.sends.size(), "it can be on time");
        host.advance(145 * MS);
        host.policy.clientDisconnected(host.now, 201);
        host.advance(5 * MS);
        host.request(202, 0, 850 * MS);
        assertEquals(sent + 2, host.sends.size(), "a later try of it, with 350 ms of its SLO left");
        host.request(203, 0, 150 * MS);
        host.advance(840 * MS);
        host.policy.clientDisconnected(host.now, 203);
        host.advance(10 * MS);
        host.request(204, 0, 150 * MS);
        assertEquals(
                "refuse 204",
                host.finalResponses.get(host.finalResponses.size() - 1),
                "850 ms of an SLO of 500 ms have passed");
    }

    /** If all client timeouts are short, past slowness or missing observations must not exclude requests for good. */
    @Test
    void pastSlownessIsForgottenWhereAllTimeoutsAreShort() {
        RecordingHost host = host(REPEATABLE).withUpstreams(10);
        int[] sent = new int[3];
        for (int i = 0; i < 900; i++) {
            int phase = i / 300;
            long responseTime = phase == 1 ? 190 * MS : 20 * MS;
            int before = host.sends.size();
            host.request(i, 0, 200 * MS);
            if (host.sends.size() > before) {
                sent[phase]++;
                host.advance(responseTime);
                host.outcome(host.lastSend(), Outcome.OK);
            } else {
                host.advance(20 * MS);
            }
        }
        assertTrue(sent[0] > 290, "no observations: " + sent[0]);
        assertTrue(sent[1] < 250, "slow: " + sent[1]);
        assertTrue(sent[2] > 100, "fast again: " + sent[2]);
    }

    @Test
    void firstTriesWithLessTimeThanLaterOnesCountAsFirst() {
        RecordingHost host = host(ONCE).withUpstreams(1);
        for (int i = 0; i < 30; i++) {
            host.request(i, 0, i % 3 == 2 ? 900 * MS : 600 * MS);
        }
        int responsesBefore = host.finalResponses.size();
        host.request(50, 0, 600 * MS);
        assertEquals(responsesBefore, host.finalResponses.size(), "first tries have 600 ms: queued, not refused");
    }

    @Test
    void tenantWithLowestQuotaUsageGoesFirst() {
        Balancer.Settings base = settings(ONCE);
        RecordingHost host = new RecordingHost(
                        new Balancer.Settings(
                                0,
                                1,
                                0,
                                5 * MS,
                                DiscoveryMode.AUTOMATIC,
                                Balancer.WeightKind.SILENT,
                                base.classes(),
                                List.of(new Balancer.Tenant(0.5, 10), new Balancer.Tenant(0.5, 10)),
                                base.capabilities(),
                                base.safetyLimits(),
                                List.of(),
                                Balancer.OverheadCosts.NONE,
                                false,
                                0.1),
                        7)
                .withUpstreams(1);
        for (int i = 0; i < 4; i++) {
            host.policy.requestArrived(host.now, new Balancer.Request(i, 0, 0, 0, 1_000 * MS, 0, false, false));
        }
        host.policy.requestArrived(host.now, new Balancer.Request(10, 0, 1, 0, 1_000 * MS, 0, false, false));
        host.policy.requestArrived(host.now, new Balancer.Request(11, 0, 0, 0, 1_000 * MS, 0, false, false));
        int out = host.sends.size();
        host.advance(10 * MS);
        host.outcome(host.sends.get(0), Outcome.OK);
        assertEquals(
                10,
                host.sends.get(out).request(),
                "not the newest request, but that of the tenant that was not served yet");
    }

    @Test
    void unhealthyUpstreamIsTriedAgainWithOnceRequestsOnly() {
        RecordingHost host = host(ONCE).withUpstreams(2);
        host.serve(0, 40, 0, 20 * MS);
        for (int i = 100; i < 1_200; i++) {
            host.request(i, 0);
            RecordingHost.SentAttempt sent = host.lastSend();
            host.advance(20 * MS);
            host.outcome(sent, sent.upstream() == 1 && i < 200 ? Outcome.ERROR : Outcome.OK);
        }
        assertTrue(
                host.sends.subList(host.sends.size() - 20, host.sends.size()).stream()
                        .anyMatch(s -> s.upstream() == 1),
                "it is used again");
    }

    // ---------------------------------------------------------------- settings, peer messages and sources

    @Test
    void invalidSettingsAreNamed() {
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> new Balancer.SafetyLimits(0, 0, 0, 1.5, 0, 3, 0));
        assertTrue(e.getMessage().contains("cold share"));
        assertThrows(IllegalArgumentException.class, () -> settings());
    }

    @Test
    void eventsAboutUnknownRequestsAreIgnored() {
        RecordingHost host = host(REPEATABLE).withUpstreams(2);
        int before = host.actions.size();
        host.policy.clientDisconnected(host.now, 99);
        host.policy.attemptEnded(host.now, 99, 0, 1, Outcome.OK, 0, true, new float[0]);
        host.policy.firstByteReceived(host.now, 99, 0, 1, 0);
        host.policy.timerFired(host.now, 12345);
        host.policy.peerMessageReceived(host.now, 1, new byte[] {1});
        assertEquals(before, host.actions.size());
    }

    private static byte[] peerReport(long upstream, double ratio) {
        return ByteBuffer.allocate(12).putLong(upstream).putFloat((float) ratio).array();
    }

    /**
     * A server that peers report as slow gets no request until its trial. Own observations take precedence over
     * reports.
     */
    @Test
    void peerReportsApplyOnlyWithoutRecentOwnResponses() {
        RecordingHost host = host(REPEATABLE).withUpstreams(3);
        host.policy.peerMessageReceived(host.now, 0, peerReport(1, 500));
        host.serve(0, 20, 0, 5 * RecordingHost.MS);
        assertEquals(0, host.countSendsTo(1, 0), "reported slow, with no own response yet");
        host.advance(4_500 * RecordingHost.MS);
        int before = host.sends.size();
        host.serve(20, 40, 0, 5 * RecordingHost.MS);
        assertTrue(host.countSendsTo(1, before) > 0, "tried, and found healthy");
        host.policy.peerMessageReceived(host.now, 0, peerReport(1, 500));
        before = host.sends.size();
        host.serve(40, 60, 0, 5 * RecordingHost.MS);
        assertTrue(host.countSendsTo(1, before) > 3, "just observed as healthy: " + host.countSendsTo(1, before));
    }

    /** Reports with invalid values or unknown servers, and truncated ones, change nothing. */
    @Test
    void invalidPeerReportsAreIgnored() {
        RecordingHost host = host(REPEATABLE).withUpstreams(3);
        for (double invalid : new double[] {Double.NaN, -5, 0, 1, 1e30, Double.POSITIVE_INFINITY}) {
            for (long upstream = 0; upstream < 3; upstream++) {
                host.policy.peerMessageReceived(host.now, 0, peerReport(upstream, invalid));
            }
        }
        host.policy.peerMessageReceived(host.now, 0, peerReport(99, 500));
        host.policy.peerMessageReceived(host.now, 0, new byte[] {0, 0, 0, 0, 0, 0, 0, 1, 0x44});
        host.serve(0, 30, 0, 5 * RecordingHost.MS);
        for (long upstream = 0; upstream < 3; upstream++) {
            assertEquals(10, host.countSendsTo(upstream, 0), "equal turns for each, upstream " + upstream);
        }
    }

    /**
     * Sends one request per 10 ms to three warm upstreams and a cold one, and returns how many the cold one gets
     * within the time.
     */
    private static long countSendsToColdUpstream(RecordingHost host, long millis) {
        int before = host.sends.size();
        for (long id = host.now; millis > 0; millis -= 10, id++) {
            host.request(id, 0);
            RecordingHost.SentAttempt sent = host.lastSend();
            host.advance(10 * RecordingHost.MS);
            host.outcome(sent, Outcome.OK);
        }
        return host.countSendsTo(9, before);
    }

    private static RecordingHost hostWithColdUpstream() {
        RecordingHost host = host(REPEATABLE).withUpstreams(3);
        host.serve(0, 300, 0, 10 * RecordingHost.MS);
        host.policy.endpointListChanged(
                host.now, EndpointListKind.DELTA, List.of(RecordingHost.upstream(9, UpstreamState.READY, host.now)));
        return host;
    }

    private static byte[] lease(long upstream, double count, int millis) {
        return ByteBuffer.allocate(16)
                .putLong(upstream)
                .putFloat((float) count)
                .putInt(millis)
                .array();
    }

    /** A lease is neither exceeded nor used after it expires, and an invalid lease has no effect. */
    @Test
    void coldUpstreamGetsItsLeasedPermitsAndNoneAfterExpiry() {
        long own = countSendsToColdUpstream(hostWithColdUpstream(), 1_000);
        RecordingHost host = hostWithColdUpstream();
        host.policy.peerMessageReceived(host.now, Balancer.COLD_START_LEASES, lease(9, 0, 1_000));
        assertEquals(0, countSendsToColdUpstream(host, 1_000), "a lease of no permits");
        assertTrue(countSendsToColdUpstream(host, 1_000) > 0, "its own budget again");
        host = hostWithColdUpstream();
        host.policy.peerMessageReceived(host.now, Balancer.COLD_START_LEASES, lease(9, 20, 1_000));
        long leased = countSendsToColdUpstream(host, 1_000);
        assertTrue(
                leased > own && leased >= 15 && leased <= 20, own + " of its own budget, " + leased + " of 20 leased");
        // A pause of 3 s right after a lease of 1,000 permits for one second: as without the lease.
        host = hostWithColdUpstream();
        RecordingHost other = hostWithColdUpstream();
        host.policy.peerMessageReceived(host.now, Balancer.COLD_START_LEASES, lease(9, 1_000, 1_000));
        host.advance(3_000 * RecordingHost.MS);
        other.advance(3_000 * RecordingHost.MS);
        assertEquals(countSendsToColdUpstream(other, 1_000), countSendsToColdUpstream(host, 1_000));
        host = hostWithColdUpstream();
        for (double invalid : new double[] {Double.NaN, -1, 1e30, Double.POSITIVE_INFINITY}) {
            host.policy.peerMessageReceived(host.now, Balancer.COLD_START_LEASES, lease(9, invalid, 1_000));
        }
        host.policy.peerMessageReceived(host.now, Balancer.COLD_START_LEASES, lease(9, 100, -5));
        host.policy.peerMessageReceived(host.now, Balancer.COLD_START_LEASES, lease(9, 100, Integer.MAX_VALUE));
        host.policy.peerMessageReceived(host.now, Balancer.COLD_START_LEASES, lease(99, 100, 1_000));
        assertEquals(own, countSendsToColdUpstream(host, 1_000));
    }

    @Test
    void sourceLinesStayWithinTheLengthLimit() throws IOException {
        int files = 0;
        try (DirectoryStream<Path> sources = Files.newDirectoryStream(Path.of("src/main/java/pondridge"), "*.java")) {
            for (Path source : sources) {
                files++;
                for (String line : Files.readAllLines(source)) {
                    assertTrue(line.length() <= 120, source + ": " + line);
                }
            }
        }
        assertTrue(files > 0, "no source file found");
    }
}
