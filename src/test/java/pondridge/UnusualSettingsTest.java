package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.Recorder.MS;

import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Allowed;
import pondridge.Balancer.Discovery;
import pondridge.Balancer.Limits;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Scope;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Settings;
import pondridge.Balancer.State;
import pondridge.Balancer.Weights;

/** Settings that differ from the three deployments: minimal hosts, single servers, large and emptied lists. */
class UnusualSettingsTest {

    /** A host that allows nothing but sending, with the given try limit. */
    private static Recorder minimalHost(int tryLimit, RequestClass... classes) {
        Allowed allowed = new Allowed(false, false, false, false, false, tryLimit, 0, 0);
        Limits limits = new Limits(20 * MS, 10_000 * MS, 250 * MS, 1, 0, 1, 0);
        return new Recorder(
                new Settings(
                        0,
                        1,
                        0,
                        0,
                        Discovery.AUTOMATIC,
                        Weights.SILENT,
                        List.of(classes),
                        List.of(),
                        allowed,
                        limits,
                        List.of(),
                        Balancer.Charges.NONE,
                        true,
                        0),
                5);
    }

    @Test
    void singleServerTakesAllRequestsAndIsTriedAgainAfterFailure() {
        Recorder host = minimalHost(3, Recorder.ONCE).withUpstreams(1);
        host.serve(0, 50, 0, 10 * MS);
        assertEquals(50, host.sends.size());
        host.request(100, 0);
        host.outcome(host.last(), Outcome.CONNECT_FAILED);
        assertEquals(List.of("refuse 100"), host.finalResponses, "no other server, and it never ran");
        host.advance(2_000 * MS);
        host.request(101, 0);
        assertEquals(101, host.last().request());
    }

    @Test
    void everyOneOfManyServersGetsItsTurn() {
        Recorder host = minimalHost(3, Recorder.REPEATABLE).withUpstreams(500);
        host.serve(0, 500, 0, MS);
        assertEquals(
                500,
                host.sends.stream()
                        .mapToLong(Recorder.SentAttempt::upstream)
                        .distinct()
                        .count());
    }

    @Test
    void tryLimitOfOneAllowsNoRetry() {
        Recorder host = minimalHost(1, Recorder.REPEATABLE).withUpstreams(3);
        host.request(1, 0);
        host.outcome(host.last(), Outcome.REJECTED);
        assertEquals(1, host.sends.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }

    @Test
    void disallowedActionsAreNeverRequested() {
        Recorder host = minimalHost(3, Recorder.REPEATABLE, Recorder.ONCE).withUpstreams(2);
        for (int i = 0; i < 40; i++) {
            host.request(i, i % 2);
        }
        host.rules.hangup(host.now, host.last().request());
        host.advance(3_000 * MS);
        assertTrue(host.actions.stream().noneMatch(l -> l.matches("(cancel|probe|tell|close).*")), "disallowed action");
        assertTrue(host.actions.stream().anyMatch(l -> l.startsWith("refuse")));
        assertTrue(host.actions.stream().noneMatch(l -> l.matches("refuse \\d+ [1-9].*")), "no retry-after time");
    }

    @Test
    void emptiedListCanBeRefilled() {
        Recorder host = minimalHost(3, Recorder.REPEATABLE).withUpstreams(4);
        host.serve(0, 20, 0, 10 * MS);
        host.rules.listChanged(host.now, ListKind.FULL, List.of());
        host.request(100, 0);
        assertEquals(List.of("refuse 100"), host.finalResponses, "no ready upstream");
        host.withUpstreams(4);
        host.request(101, 0);
        assertEquals(101, host.last().request());
    }

    @Test
    void loadReportsDoNotAffectThePick() {
        Recorder one = minimalHost(3, Recorder.REPEATABLE).withUpstreams(5);
        Recorder other = minimalHost(3, Recorder.REPEATABLE).withUpstreams(5);
        for (int i = 0; i < 30; i++) {
            one.request(i, 0);
            other.request(i, 0);
            one.advance(MS);
            other.advance(MS);
            Recorder.SentAttempt sent = one.last();
            one.rules.outcome(one.now, i, 0, sent.upstream(), Outcome.OK, MS, true, new float[0]);
            float[] report = {9, -1, 7e9f};
            other.rules.outcome(other.now, i, 0, sent.upstream(), Outcome.OK, MS, true, report);
        }
        assertEquals(one.actions, other.actions);
    }

    @Test
    void startedStreamIsNeitherResentNorEndedAtTheDeadline() {
        RequestClass stream = new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, Semantics.REPEATABLE, Scope.ALL, 0, true);
        Recorder host = new Recorder(Recorder.settings(stream), 3).withUpstreams(3);
        host.request(1, 0);
        Recorder.SentAttempt sent = host.last();
        host.advance(100 * MS);
        host.rules.firstByte(host.now, 1, 0, sent.upstream(), 100 * MS);
        host.advance(2_000 * MS);
        assertEquals(List.of(), host.finalResponses);
        host.outcome(sent, Outcome.RESET);
        assertEquals(1, host.sends.size());
        assertEquals(List.of("refuse 1"), host.finalResponses, "a repeatable request may be retried by its client");
    }

    @Test
    void onceIsNeverResentAfterPossibleExecution() {
        for (Outcome outcome : List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)) {
            Recorder host = minimalHost(3, Recorder.ONCE).withUpstreams(6);
            host.request(outcome.ordinal(), 0);
            host.outcome(host.last(), outcome);
            assertEquals(1, host.sendsOf(outcome.ordinal()).size(), outcome.name());
        }
    }

    @Test
    void noRequestIsSentIfAllServersDrain() {
        Recorder host = minimalHost(3, Recorder.REPEATABLE).withUpstreams(2);
        host.rules.listChanged(
                host.now,
                ListKind.DELTA,
                List.of(Recorder.upstream(0, State.DRAINING, 0), Recorder.upstream(1, State.DRAINING, 0)));
        host.request(1, 0);
        assertEquals(0, host.sends.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }
}
