package pondridge.store;

import io.netty.channel.EventLoop;
import pondridge.Balancer;
import pondridge.Balancer.Outcome;
import pondridge.core.Engine;

/**
 * Connects a shared store to an engine: the results of its attempts are reported to peers, and the reports of
 * peers are passed to it as hints.
 */
public final class SharedStoreBinding {
    private SharedStoreBinding() {}

    /**
     * Starts the exchanges. To be called on the event loop, before the engine starts.
     *
     * @param limits the safety limits of the load-balancing policy
     */
    public static SharedStore start(
            EventLoop loop, Engine engine, StoreSettings settings, Balancer.SafetyLimits limits, long seed) {
        SharedStore store = new SharedStore(
                loop, settings, engine::requestCount, engine::readyServers, engine::applySlowdownReports, seed);
        if (settings.leases().warmServerPerSecond() > 0) {
            store.addLeaseHolder(new ColdStartBudgets(engine, settings.leases(), limits));
        }
        engine.observe((uid, requestClass, outcome, tookNanos) -> {
            boolean successful = outcome == Outcome.OK;
            // Rejected, cancelled and never sent attempts show nothing about the speed of the server.
            if (successful
                    || outcome == Outcome.ERROR
                    || outcome == Outcome.TIMEOUT
                    || outcome == Outcome.RESET
                    || outcome == Outcome.CONNECT_FAILED) {
                store.attemptEnded(uid, requestClass, successful, tookNanos);
            }
        });
        return store;
    }
}
