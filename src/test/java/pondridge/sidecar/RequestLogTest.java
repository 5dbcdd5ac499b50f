package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.core.Job;
import pondridge.core.RequestLog;
import pondridge.http1.StubServer;

class RequestLogTest {
    @Test
    void aRequestIsLoggedFromReceiptToResponse() throws Exception {
        List<String> events = new ArrayList<>();
        RequestLog log = new RequestLog() {
            @Override
            public void requestReceived(long number, Job job) {
                events.add("taken " + job.headers().get("Req-Id"));
            }

            @Override
            public void attemptSent(long number, int attempt, String server, long waitNanos) {
                events.add("sent " + server);
            }

            @Override
            public void attemptEnded(long number, int attempt, String server, Outcome outcome, long tookNanos) {
                events.add("ended " + server + " " + outcome);
            }

            @Override
            public void responseSent(long number, String result) {
                events.add(result);
            }
        };
        try (StubServer upstream = StubServer.serving("x");
                SidecarFixture sidecar =
                        new SidecarFixture(SidecarFixture.config(upstream), engine -> engine.setRequestLog(log))) {
            assertEquals(200, sidecar.exchange(SidecarFixture.safeRequest("a")).status());
            List<String> logged = sidecar.loop.submit(() -> List.copyOf(events)).get();
            assertEquals(List.of("taken a", "sent s-0", "ended s-0 OK", "served"), logged);
        }
    }

    @Test
    void nothingIsLoggedUnlessEnabled() {
        assertSame(RequestLog.NONE, RequestLog.fromEnvironment());
    }
}
