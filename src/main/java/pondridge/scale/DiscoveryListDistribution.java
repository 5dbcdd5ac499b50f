package pondridge.scale;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;
import pondridge.core.Target;
import pondridge.platform.Discovery;
import pondridge.standin.DiscoveryStandin;

/** Distribution by the platform's discovery service: each follower has its own watch at the single source. */
final class DiscoveryListDistribution implements ListDistribution {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private final MeasuredLoopGroup sourceLoops = new MeasuredLoopGroup("source", 1);
    private final boolean pushed;
    private final DiscoveryStandin source;
    /** Second listener of the source, used by the followers of the region. */
    private final InetSocketAddress regionAddress;

    /** Starts a source with these entries; {@code pushed} as in {@link ScalePlan}. */
    DiscoveryListDistribution(boolean pushed, List<Target> initialEntries) {
        this.pushed = pushed;
        this.source = new DiscoveryStandin(sourceLoops.next(), ANY_PORT, toSourceEntries(initialEntries));
        this.regionAddress = source.door(ANY_PORT);
    }

    private static List<DiscoveryStandin.Entry> toSourceEntries(List<Target> targets) {
        return targets.stream()
                .map(target -> new DiscoveryStandin.Entry(
                        target.uid(),
                        target.endpoint(),
                        target.zone(),
                        target.state() == State.READY
                                ? "SERVING"
                                : target.state() == State.DRAINING ? "DRAINING" : "DELETED",
                        target.startedMs()))
                .toList();
    }

    @Override
    public void publish(List<Target> changed) {
        source.change(toSourceEntries(changed), 0);
    }

    @Override
    public Subscription subscribe(
            int follower, EventLoop loop, boolean inRegion, BiConsumer<ListKind, List<Target>> listener) {
        Discovery discovery = new Discovery(loop, inRegion ? regionAddress : sourceAddress(), pushed, 0, listener);
        return new Subscription() {
            @Override
            public void start() {
                discovery.follow();
            }

            @Override
            public long version() {
                return discovery.rev();
            }

            @Override
            public void watch(boolean on) {
                discovery.watch(on);
            }

            @Override
            public void fetch() {
                discovery.fetch();
            }
        };
    }

    @Override
    public InetSocketAddress sourceAddress() {
        return source.address();
    }

    @Override
    public void setKilled(boolean killed) {
        source.shut(0, killed);
        source.shut(1, killed);
    }

    @Override
    public void setSilent(boolean silent) {
        source.silent(silent);
    }

    @Override
    public void setRegionCut(boolean cut) {
        source.shut(1, cut);
    }

    @Override
    public Counts sourceCounts() {
        DiscoveryStandin.Counts counts = source.counts();
        return new Counts(
                counts.calls(), counts.lists(), counts.changes(), counts.empties(), counts.bytes(), counts.watches());
    }

    @Override
    public long sourceCpuNanos() {
        return sourceLoops.cpuNanos();
    }

    @Override
    public void close() {
        source.close();
        sourceLoops.close();
    }
}
