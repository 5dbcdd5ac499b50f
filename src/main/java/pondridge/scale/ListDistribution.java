package pondridge.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import pondridge.Balancer.EndpointListKind;
import pondridge.core.EndpointDiscovery;
import pondridge.core.Target;

/**
 * Mechanism that distributes the endpoint list from its source to its followers. Implementations are exchangeable
 * and measured alike. The source runs on its own threads from construction on. Versions are integers: the source
 * starts with {@link #FIRST}, and each publication adds one. All methods except those of {@link Subscription} are
 * called on the thread of the run, never on an event loop.
 */
public interface ListDistribution extends AutoCloseable {
    /** Version of the list with which a source starts. */
    long FIRST = 1;

    /** One follower's subscription. Its methods and its listener are called on the follower's event loop. */
    interface Subscription extends EndpointDiscovery {
        /** Starts to follow the list, where the mechanism does so without {@link #watch}. */
        void start();

        /** Returns the follower's version; during a call of the listener, the version that is being delivered. */
        long version();

        /** Ends the subscription permanently. */
        default void cancel() {
            watch(false);
        }
    }

    /**
     * Counters of the source, or sums over all relays. All but the last are cumulative.
     *
     * @param calls requests or connections received
     * @param fullLists full lists written
     * @param deltas incremental changes written
     * @param heartbeats keep-alive messages written
     * @param bytes bytes written
     * @param subscriptions followers that are subscribed now
     */
    record Counts(long calls, long fullLists, long deltas, long heartbeats, long bytes, int subscriptions) {
        static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0);

        Counts plus(Counts other) {
            return new Counts(
                    calls + other.calls,
                    fullLists + other.fullLists,
                    deltas + other.deltas,
                    heartbeats + other.heartbeats,
                    bytes + other.bytes,
                    subscriptions + other.subscriptions);
        }

        Counts since(Counts before) {
            return new Counts(
                    calls - before.calls,
                    fullLists - before.fullLists,
                    deltas - before.deltas,
                    heartbeats - before.heartbeats,
                    bytes - before.bytes,
                    subscriptions);
        }

        long messages() {
            return fullLists + deltas + heartbeats;
        }
    }

    /** Publishes changed entries as the next version; does not wait. */
    void publish(List<Target> changed);

    /**
     * Creates one follower's subscription.
     *
     * @param follower number of the follower; negative for one that is not counted
     * @param inRegion whether {@link #setRegionCut} applies to the follower
     */
    Subscription subscribe(
            int follower, EventLoop loop, boolean inRegion, BiConsumer<EndpointListKind, List<Target>> listener);

    /** Returns the address of the source, for {@code discovery} in the configuration of real sidecars. */
    InetSocketAddress sourceAddress();

    /** Stops one relay, or the source where there are no relays; or starts it again with the list that it had. */
    void setKilled(boolean killed);

    /** Stops or restarts the source, whether there are relays or not. */
    default void setSourceKilled(boolean killed) {
        setKilled(killed);
    }

    /** Makes the source, or one relay, send nothing on open connections; or resumes sending. */
    void setSilent(boolean silent);

    /** Cuts off the followers of the region from the source, or reconnects them. */
    void setRegionCut(boolean cut);

    /** Returns the counters of the source. */
    Counts sourceCounts();

    /** Returns the counters of all relays; zeros where there are none. */
    default Counts relayCounts() {
        return Counts.NONE;
    }

    /** Returns the number of subscribed followers. */
    default int subscriptions() {
        return sourceCounts().subscriptions();
    }

    /** Returns the CPU time of all relays so far. */
    default long relayCpuNanos() {
        return 0;
    }

    /** Returns the CPU time of the source so far. */
    long sourceCpuNanos();

    @Override
    void close();
}
