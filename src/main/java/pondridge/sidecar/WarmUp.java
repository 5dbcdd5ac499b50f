package pondridge.sidecar;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.List;
import pondridge.Balancer;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.Settings;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.LoadBalancingPolicy;
import pondridge.core.Job;
import pondridge.http1.Upstreams;

/**
 * Loads and compiles the code on the request path before the first client connects. The sidecar sends requests to its
 * own frontend, and a separate balancer instance whose actions are discarded decides on simulated requests.
 */
final class WarmUp {
    private static final int ITERATIONS = 600;
    private static final long REQUEST_TIMEOUT_NANOS = 1_000_000_000;
    /** On an overloaded core it is better to start without a full warm-up than to start late. */
    private static final long TIME_LIMIT_NANOS = 3_000_000_000L;

    private static final long STEP_NANOS = 10_000_000;
    private static final Job HEALTH_CHECK =
            new Job(0, 0, 0, 0, 0, false, HttpMethod.GET, "/up", new DefaultHttpHeaders(), new byte[0]);

    private final Upstreams frontendClient;
    private final Runnable onDone;
    private final long startNanos = System.nanoTime();

    private WarmUp(Upstreams frontendClient, Runnable onDone) {
        this.frontendClient = frontendClient;
        this.onDone = onDone;
    }

    /** Call on the event loop. {@code onDone} runs at the end, also if the frontend cannot be reached. */
    static void run(EventLoop loop, BalancerOptions options, InetSocketAddress frontendAddress, Runnable onDone) {
        warmUpBalancer(options.settings());
        Upstreams frontendClient = Upstreams.toOwnFrontend(loop, options);
        frontendClient.updateEndpoint(0, frontendAddress, 0, true);
        new WarmUp(frontendClient, onDone).sendRequests(ITERATIONS);
    }

    /** Sends requests one by one. The frontend, not ready yet, responds with 503 on the normal request path. */
    private void sendRequests(int remaining) {
        if (remaining == 0 || System.nanoTime() - startNanos > TIME_LIMIT_NANOS) {
            frontendClient.close();
            onDone.run();
            return;
        }
        frontendClient.send(
                0,
                HEALTH_CHECK,
                REQUEST_TIMEOUT_NANOS,
                (outcome, response, load) -> sendRequests(outcome == Outcome.ERROR ? remaining - 1 : 0));
    }

    private static void warmUpBalancer(Settings settings) {
        Balancer balancer = new LoadBalancingPolicy(settings, 0, new NoOpActions());
        long now = System.nanoTime() & Long.MAX_VALUE;
        balancer.start(now);
        balancer.endpointListChanged(
                now,
                EndpointListKind.CACHED,
                List.of(
                        new Upstream(1, 0, 0, 0, UpstreamState.READY, 1, 0),
                        new Upstream(2, 0, 0, 0, UpstreamState.READY, 1, 0)));
        for (int i = 0; i < ITERATIONS; i++) {
            now += STEP_NANOS;
            balancer.requestArrived(
                    now, new Request(i, i % settings.classes().size(), 0, 0, REQUEST_TIMEOUT_NANOS, 0, false, false));
            balancer.attemptEnded(now + STEP_NANOS / 2, i, 0, 1, Outcome.OK, STEP_NANOS / 2, true, new float[0]);
            balancer.timerFired(now + STEP_NANOS / 2, i);
        }
    }

    private static final class NoOpActions implements Balancer.Actions {
        @Override
        public void send(long request, long upstream, long timeoutNanos) {}

        @Override
        public void refuse(long request, long retryAfterNanos) {}

        @Override
        public void fail(long request) {}

        @Override
        public void cancelAttempt(long request, int attempt) {}

        @Override
        public void setTimer(long token, long dueNanos) {}

        @Override
        public void probe(long upstream) {}

        @Override
        public void closeIdleConnections(long upstream) {}

        @Override
        public void sendToPeer(int peer, byte[] message) {}

        @Override
        public void log(String line) {}

        @Override
        public void setSubscription(boolean subscribed) {}

        @Override
        public void fetchEndpointList() {}
    }
}
