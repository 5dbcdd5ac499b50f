package pondridge.store;

import io.netty.channel.EventLoop;
import pondridge.Balancer;
import pondridge.Balancer.Outcome;
import pondridge.core.Engine;

/**
 * Puts a shared store beside an engine: what its attempts saw goes out, what others saw comes in as a hint.
 */
public final class Sharing {
    private Sharing() {}

    /** Begins; on the loop, before the engine starts. {@code limits} are the module's. */
    public static SharedStore begin(
            EventLoop loop, Engine engine, StoreSettings settings, Balancer.Limits limits, long seed) {
        SharedStore store = new SharedStore(loop, settings, engine::asked, engine::ready, engine::heard, seed);
        if (settings.shares().coldPerSecond() > 0) {
            store.share(new ColdBudgets(engine, settings.shares(), limits));
        }
        engine.observe((uid, requestClass, outcome, took) -> {
            boolean good = outcome == Outcome.OK;
            // Turned away, given up here or never sent: nothing was seen of how the server works.
            if (good
                    || outcome == Outcome.ERROR
                    || outcome == Outcome.TIMEOUT
                    || outcome == Outcome.RESET
                    || outcome == Outcome.CONNECT_FAILED) {
                store.ended(uid, requestClass, good, took);
            }
        });
        return store;
    }
}
