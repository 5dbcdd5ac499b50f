package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.State;
import pondridge.Balancer.Upstream;

/** The README's embedding example, compiled and run. */
class EmbeddingExampleTest {

    @Test
    void hostDrivesTheBalancer() {
        // The host carries out the balancer's actions; this one only records them.
        Recorder host = new Recorder(Recorder.settings(Recorder.REPEATABLE), 42);
        Balancer balancer = host.rules;
        long now = host.now;

        balancer.listChanged(
                now,
                ListKind.CACHED,
                List.of(new Upstream(1, 0, 0, 0, State.READY, 1, 0), new Upstream(2, 0, 0, 0, State.READY, 1, 0)));
        balancer.request(now, new Request(100, 0, 0, 0, 1_000_000_000L, 0, false, false));
        Recorder.SentAttempt sent = host.last();
        assertEquals(100, sent.request());

        now += 20_000_000;
        balancer.outcome(now, 100, 0, sent.upstream(), Outcome.OK, 20_000_000, true, new float[0]);
        assertTrue(host.finalResponses.isEmpty(), "the host passed the response on; no other final response follows");

        // A restart is a new instance with a new seed and no state.
        Recorder restarted = new Recorder(Recorder.settings(Recorder.REPEATABLE), 43);
        restarted.rules.listChanged(now, ListKind.CACHED, List.of());
        restarted.request(101, 0);
        assertEquals(List.of("refuse 101"), restarted.finalResponses);
    }
}
