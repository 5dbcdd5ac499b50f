package pondridge.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;
import pondridge.BalancerOptions;
import pondridge.core.EndpointDiscovery;
import pondridge.core.Engine;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Target;
import pondridge.core.Transport;

/**
 * A sidecar reduced to the part that follows the endpoint list: the real load-balancing policy in the real engine, and
 * the real list client over a real socket. It has no frontend and no upstream transport, so it handles no
 * requests, and its memory does not include connection pools. Used on the thread of its event loop only.
 */
final class HollowSidecar {
    private static final int MAX_OPEN_REQUESTS = 16;

    /** Transport that sends nothing. */
    private static final Transport NO_TRANSPORT = new Transport() {
        @Override
        public void updateEndpoint(long upstream, InetSocketAddress address, long startedMs, boolean ready) {}

        @Override
        public void removeEndpoint(long upstream) {}

        @Override
        public Attempt send(long upstream, Job job, long wait, Listener listener) {
            listener.ended(Outcome.NEVER_SENT, null, LoadReports.NONE);
            return Attempt.ENDED;
        }

        @Override
        public void probe(long upstream, Listener listener) {
            listener.ended(Outcome.NEVER_SENT, null, LoadReports.NONE);
        }

        @Override
        public void closeIdle(long upstream) {}
    };

    private final int number;
    private final PropagationTracker tracker;
    private final Runnable onFailure;
    private final Engine engine;
    private final ListDistribution.Subscription subscription;
    private boolean stopped;

    /** Creates a sidecar that is not started yet; {@code onFailure} runs for each failed list request. */
    HollowSidecar(
            int number,
            EventLoop loop,
            BalancerOptions options,
            long seed,
            ListDistribution distribution,
            boolean inRegion,
            PropagationTracker tracker,
            Runnable onFailure) {
        this.number = number;
        this.tracker = tracker;
        this.onFailure = onFailure;
        this.engine = new Engine(loop, options, seed, MAX_OPEN_REQUESTS, NO_TRANSPORT);
        this.subscription = distribution.subscribe(number, loop, inRegion, this::listChanged);
    }

    /** Starts the sidecar with an empty list. */
    void start() {
        engine.start(
                new EndpointDiscovery() {
                    @Override
                    public void watch(boolean on) {
                        if (!stopped) {
                            subscription.watch(on);
                        }
                    }

                    @Override
                    public void fetch() {
                        if (!stopped) {
                            subscription.fetch();
                        }
                    }
                },
                List.of());
        subscription.start();
    }

    private void listChanged(EndpointListKind kind, List<Target> targets) {
        if (stopped) {
            return;
        }
        engine.updateEndpoints(kind, targets);
        if (kind == EndpointListKind.FAILED) {
            onFailure.run();
        } else {
            tracker.recordReceived(number, subscription.version(), System.nanoTime());
        }
    }

    /** Cancels the subscription; timers of the module expire by themselves. */
    void stop() {
        stopped = true;
        engine.retire();
        subscription.cancel();
    }
}
