package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;

/** The README's embedding example, compiled and run. */
class EmbeddingExampleTest {

    @Test
    void hostDrivesTheBalancer() {
        // The host carries out the balancer's actions; this one only records them.
        RecordingHost host = new RecordingHost(RecordingHost.settings(RecordingHost.REPEATABLE), 42);
        Balancer balancer = host.policy;
        long now = host.now;

        balancer.endpointListChanged(
                now,
                EndpointListKind.CACHED,
                List.of(
                        new Upstream(1, 0, 0, 0, UpstreamState.READY, 1, 0),
                        new Upstream(2, 0, 0, 0, UpstreamState.READY, 1, 0)));
        balancer.requestArrived(now, new Request(100, 0, 0, 0, 1_000_000_000L, 0, false, false));
        RecordingHost.SentAttempt sent = host.lastSend();
        assertEquals(100, sent.request());

        now += 20_000_000;
        balancer.attemptEnded(now, 100, 0, sent.upstream(), Outcome.OK, 20_000_000, true, new float[0]);
        assertTrue(host.finalResponses.isEmpty(), "the host passed the response on; no other final response follows");

        // A restart is a new instance with a new seed and no state.
        RecordingHost restarted = new RecordingHost(RecordingHost.settings(RecordingHost.REPEATABLE), 43);
        restarted.policy.endpointListChanged(now, EndpointListKind.CACHED, List.of());
        restarted.request(101, 0);
        assertEquals(List.of("refuse 101"), restarted.finalResponses);
    }
}
