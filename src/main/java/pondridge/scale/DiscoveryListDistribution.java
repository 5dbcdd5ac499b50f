package pondridge.scale;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.UpstreamState;
import pondridge.core.Target;
import pondridge.platform.DiscoveryClient;
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
        this.regionAddress = source.addListener(ANY_PORT);
    }

    private static List<DiscoveryStandin.Entry> toSourceEntries(List<Target> targets) {
        return targets.stream()
                .map(target -> new DiscoveryStandin.Entry(
                        target.uid(),
                        target.endpoint(),
                        target.zone(),
                        target.state() == UpstreamState.READY
                                ? "SERVING"
                                : target.state() == UpstreamState.DRAINING ? "DRAINING" : "DELETED",
                        target.startedMs()))
                .toList();
    }

    @Override
    public void publish(List<Target> changed) {
        source.updateEntries(toSourceEntries(changed), 0);
    }

    @Override
    public Subscription subscribe(
            int follower, EventLoop loop, boolean inRegion, BiConsumer<EndpointListKind, List<Target>> listener) {
        DiscoveryClient discovery =
                new DiscoveryClient(loop, inRegion ? regionAddress : sourceAddress(), pushed, 0, listener);
        return new Subscription() {
            @Override
            public void start() {
                discovery.startIfPushed();
            }

            @Override
            public long version() {
                return discovery.revision();
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
        source.setListenerClosed(0, killed);
        source.setListenerClosed(1, killed);
    }

    @Override
    public void setSilent(boolean silent) {
        source.setSilent(silent);
    }

    @Override
    public void setRegionCut(boolean cut) {
        source.setListenerClosed(1, cut);
    }

    @Override
    public Counts sourceCounts() {
        DiscoveryStandin.Counts counts = source.counts();
        return new Counts(
                counts.calls(),
                counts.lists(),
                counts.changes(),
                counts.emptyLines(),
                counts.bytes(),
                counts.watches());
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
