package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.RecordingHost.MS;

import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.HostCapabilities;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.SafetyLimits;
import pondridge.Balancer.Settings;
import pondridge.Balancer.UpstreamState;
import pondridge.Balancer.WeightKind;

/** Settings that differ from the three deployments: minimal hosts, single servers, large and emptied lists. */
class UnusualSettingsTest {

    /** A host that supports nothing but sending, with the given limit of attempts. */
    private static RecordingHost minimalHost(int maxAttempts, RequestClass... classes) {
        HostCapabilities capabilities = new HostCapabilities(false, false, false, false, false, maxAttempts, 0, 0);
        SafetyLimits limits = new SafetyLimits(20 * MS, 10_000 * MS, 250 * MS, 1, 0, 1, 0);
        return new RecordingHost(
                new Settings(
                        0,
                        1,
                        0,
                        0,
                        DiscoveryMode.AUTOMATIC,
                        WeightKind.SILENT,
                        List.of(classes),
                        List.of(),
                        capabilities,
                        limits,
                        List.of(),
                        Balancer.OverheadCosts.NONE,
                        true,
                        0),
                5);
    }

    @Test
    void singleServerTakesAllRequestsAndIsTriedAgainAfterFailure() {
        RecordingHost host = minimalHost(3, RecordingHost.ONCE).withUpstreams(1);
        host.serve(0, 50, 0, 10 * MS);
        assertEquals(50, host.sends.size());
        host.request(100, 0);
        host.outcome(host.lastSend(), Outcome.CONNECT_FAILED);
        assertEquals(List.of("refuse 100"), host.finalResponses, "no other server, and it never ran");
        host.advance(2_000 * MS);
        host.request(101, 0);
        assertEquals(101, host.lastSend().request());
    }

    @Test
    void everyOneOfManyServersGetsItsTurn() {
        RecordingHost host = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(500);
        host.serve(0, 500, 0, MS);
        assertEquals(
                500,
                host.sends.stream()
                        .mapToLong(RecordingHost.SentAttempt::upstream)
                        .distinct()
                        .count());
    }

    @Test
    void attemptLimitOfOneAllowsNoRetry() {
        RecordingHost host = minimalHost(1, RecordingHost.REPEATABLE).withUpstreams(3);
        host.request(1, 0);
        host.outcome(host.lastSend(), Outcome.REJECTED);
        assertEquals(1, host.sends.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }

    @Test
    void unsupportedActionsAreNeverIssued() {
        RecordingHost host =
                minimalHost(3, RecordingHost.REPEATABLE, RecordingHost.ONCE).withUpstreams(2);
        for (int i = 0; i < 40; i++) {
            host.request(i, i % 2);
        }
        host.policy.clientDisconnected(host.now, host.lastSend().request());
        host.advance(3_000 * MS);
        assertTrue(
                host.actions.stream().noneMatch(l -> l.matches("(cancel|probe|sendToPeer|close).*")),
                "disallowed action");
        assertTrue(host.actions.stream().anyMatch(l -> l.startsWith("refuse")));
        assertTrue(host.actions.stream().noneMatch(l -> l.matches("refuse \\d+ [1-9].*")), "no retry-after time");
    }

    @Test
    void emptiedListCanBeRefilled() {
        RecordingHost host = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(4);
        host.serve(0, 20, 0, 10 * MS);
        host.policy.endpointListChanged(host.now, EndpointListKind.FULL, List.of());
        host.request(100, 0);
        assertEquals(List.of("refuse 100"), host.finalResponses, "no ready upstream");
        host.withUpstreams(4);
        host.request(101, 0);
        assertEquals(101, host.lastSend().request());
    }

    @Test
    void loadReportsDoNotAffectThePick() {
        RecordingHost one = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(5);
        RecordingHost other = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(5);
        for (int i = 0; i < 30; i++) {
            one.request(i, 0);
            other.request(i, 0);
            one.advance(MS);
            other.advance(MS);
            RecordingHost.SentAttempt sent = one.lastSend();
            one.policy.attemptEnded(one.now, i, 0, sent.upstream(), Outcome.OK, MS, true, new float[0]);
            float[] report = {9, -1, 7e9f};
            other.policy.attemptEnded(other.now, i, 0, sent.upstream(), Outcome.OK, MS, true, report);
        }
        assertEquals(one.actions, other.actions);
    }

    @Test
    void startedStreamIsNeitherResentNorEndedAtTheDeadline() {
        RequestClass stream =
                new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, RetrySemantics.REPEATABLE, KeyScope.ALL, 0, true);
        RecordingHost host = new RecordingHost(RecordingHost.settings(stream), 3).withUpstreams(3);
        host.request(1, 0);
        RecordingHost.SentAttempt sent = host.lastSend();
        host.advance(100 * MS);
        host.policy.firstByteReceived(host.now, 1, 0, sent.upstream(), 100 * MS);
        host.advance(2_000 * MS);
        assertEquals(List.of(), host.finalResponses);
        host.outcome(sent, Outcome.RESET);
        assertEquals(1, host.sends.size());
        assertEquals(List.of("refuse 1"), host.finalResponses, "a repeatable request may be retried by its client");
    }

    @Test
    void onceIsNeverResentAfterPossibleExecution() {
        for (Outcome outcome : List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)) {
            RecordingHost host = minimalHost(3, RecordingHost.ONCE).withUpstreams(6);
            host.request(outcome.ordinal(), 0);
            host.outcome(host.lastSend(), outcome);
            assertEquals(1, host.sendsOf(outcome.ordinal()).size(), outcome.name());
        }
    }

    @Test
    void noRequestIsSentIfAllServersDrain() {
        RecordingHost host = minimalHost(3, RecordingHost.REPEATABLE).withUpstreams(2);
        host.policy.endpointListChanged(
                host.now,
                EndpointListKind.DELTA,
                List.of(
                        RecordingHost.upstream(0, UpstreamState.DRAINING, 0),
                        RecordingHost.upstream(1, UpstreamState.DRAINING, 0)));
        host.request(1, 0);
        assertEquals(0, host.sends.size());
        assertEquals(List.of("refuse 1"), host.finalResponses);
    }
}
