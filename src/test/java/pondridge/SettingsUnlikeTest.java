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

/** Settings far from the three deployments: bare hosts, lone servers, large and vanishing lists. */
class SettingsUnlikeTest {

    /** A host that allows nothing but sending, with the given try limit. */
    private static Recorder bare(int tryLimit, RequestClass... classes) {
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
    void oneServerTakesAllInTurnAndIsTriedAgainWhenItReturns() {
        Recorder host = bare(3, Recorder.ONCE).withUpstreams(1);
        host.serve(0, 50, 0, 10 * MS);
        assertEquals(50, host.sends.size());
        host.request(100, 0);
        host.outcome(host.last(), Outcome.CONNECT_FAILED);
        assertEquals(List.of("refuse 100"), host.answers, "no other server, and it never ran");
        host.advance(2_000 * MS);
        host.request(101, 0);
        assertEquals(101, host.last().request());
    }

    @Test
    void manyServersAllGetTheirTurn() {
        Recorder host = bare(3, Recorder.REPEATABLE).withUpstreams(500);
        host.serve(0, 500, 0, MS);
        assertEquals(
                500,
                host.sends.stream()
                        .mapToLong(Recorder.Sent::upstream)
                        .distinct()
                        .count());
    }

    @Test
    void aTryLimitOfOneMeansNoFurtherAttempt() {
        Recorder host = bare(1, Recorder.REPEATABLE).withUpstreams(3);
        host.request(1, 0);
        host.outcome(host.last(), Outcome.REJECTED);
        assertEquals(1, host.sends.size());
        assertEquals(List.of("refuse 1"), host.answers);
    }

    @Test
    void whatTheHostDoesNotAllowIsNeverAskedFor() {
        Recorder host = bare(3, Recorder.REPEATABLE, Recorder.ONCE).withUpstreams(2);
        for (int i = 0; i < 40; i++) {
            host.request(i, i % 2);
        }
        host.rules.hangup(host.now, host.last().request());
        host.advance(3_000 * MS);
        assertTrue(host.log.stream().noneMatch(l -> l.matches("(cancel|probe|tell|close).*")), "unasked");
        assertTrue(host.log.stream().anyMatch(l -> l.startsWith("refuse")));
        assertTrue(host.log.stream().noneMatch(l -> l.matches("refuse \\d+ [1-9].*")), "no wait is told");
    }

    @Test
    void aListThatEmptiesAndRefillsStartsAfresh() {
        Recorder host = bare(3, Recorder.REPEATABLE).withUpstreams(4);
        host.serve(0, 20, 0, 10 * MS);
        host.rules.listChanged(host.now, ListKind.FULL, List.of());
        host.request(100, 0);
        assertEquals(List.of("refuse 100"), host.answers, "nothing ready");
        host.withUpstreams(4);
        host.request(101, 0);
        assertEquals(101, host.last().request());
    }

    @Test
    void aLoadReportIsNoPartOfThePick() {
        Recorder one = bare(3, Recorder.REPEATABLE).withUpstreams(5);
        Recorder other = bare(3, Recorder.REPEATABLE).withUpstreams(5);
        for (int i = 0; i < 30; i++) {
            one.request(i, 0);
            other.request(i, 0);
            one.advance(MS);
            other.advance(MS);
            Recorder.Sent sent = one.last();
            one.rules.outcome(one.now, i, 0, sent.upstream(), Outcome.OK, MS, true, new float[0]);
            float[] report = {9, -1, 7e9f};
            other.rules.outcome(other.now, i, 0, sent.upstream(), Outcome.OK, MS, true, report);
        }
        assertEquals(one.log, other.log);
    }

    @Test
    void aStreamThatHasBegunIsNeitherSentAgainNorCutAtTheDeadline() {
        RequestClass stream = new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, Semantics.REPEATABLE, Scope.ALL, 0, true);
        Recorder host = new Recorder(Recorder.settings(stream), 3).withUpstreams(3);
        host.request(1, 0);
        Recorder.Sent sent = host.last();
        host.advance(100 * MS);
        host.rules.firstByte(host.now, 1, 0, sent.upstream(), 100 * MS);
        host.advance(2_000 * MS);
        assertEquals(List.of(), host.answers);
        host.outcome(sent, Outcome.RESET);
        assertEquals(1, host.sends.size());
        assertEquals(List.of("refuse 1"), host.answers, "a repeatable request may be tried by its client");
    }

    @Test
    void onceAloneIsNeverSentTwiceOnDoubt() {
        for (Outcome doubt : List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)) {
            Recorder host = bare(3, Recorder.ONCE).withUpstreams(6);
            host.request(doubt.ordinal(), 0);
            host.outcome(host.last(), doubt);
            assertEquals(1, host.sendsOf(doubt.ordinal()).size(), doubt.name());
        }
    }

    @Test
    void drainingEverywhereStopsAllNewWork() {
        Recorder host = bare(3, Recorder.REPEATABLE).withUpstreams(2);
        host.rules.listChanged(
                host.now,
                ListKind.DELTA,
                List.of(Recorder.upstream(0, State.DRAINING, 0), Recorder.upstream(1, State.DRAINING, 0)));
        host.request(1, 0);
        assertEquals(0, host.sends.size());
        assertEquals(List.of("refuse 1"), host.answers);
    }
}
