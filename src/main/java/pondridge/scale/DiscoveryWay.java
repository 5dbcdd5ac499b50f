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

/** Lists as the platform's discovery serves them: each follower has a watch of its own at the one source. */
final class DiscoveryWay implements ListWay {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private final Role role = new Role("source", 1);
    private final boolean pushed;
    private final DiscoveryStandin source;
    private final InetSocketAddress region;

    /** Begins with these lines. */
    DiscoveryWay(boolean pushed, List<Target> first) {
        this.pushed = pushed;
        this.source = new DiscoveryStandin(role.next(), ANY, entries(first));
        this.region = source.door(ANY);
    }

    private static List<DiscoveryStandin.Entry> entries(List<Target> targets) {
        return targets.stream()
                .map(each -> new DiscoveryStandin.Entry(
                        each.uid(),
                        each.endpoint(),
                        each.zone(),
                        each.state() == State.READY
                                ? "SERVING"
                                : each.state() == State.DRAINING ? "DRAINING" : "DELETED",
                        each.startedMs()))
                .toList();
    }

    @Override
    public void put(List<Target> changed) {
        source.change(entries(changed), 0);
    }

    @Override
    public Link attach(int follower, EventLoop loop, boolean inRegion, BiConsumer<ListKind, List<Target>> listener) {
        Discovery discovery = new Discovery(loop, inRegion ? region : door(), pushed, 0, listener);
        return new Link() {
            @Override
            public void follow() {
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
    public InetSocketAddress door() {
        return source.address();
    }

    @Override
    public void kill(boolean on) {
        source.shut(0, on);
        source.shut(1, on);
    }

    @Override
    public void silence(boolean on) {
        source.silent(on);
    }

    @Override
    public void cut(boolean on) {
        source.shut(1, on);
    }

    @Override
    public Counts counts() {
        DiscoveryStandin.Counts now = source.counts();
        return new Counts(now.calls(), now.lists(), now.changes(), now.empties(), now.bytes(), now.watches());
    }

    @Override
    public long cpuNanos() {
        return role.cpuNanos();
    }

    @Override
    public void close() {
        source.close();
        role.close();
    }
}
