package pondridge.scale;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import pondridge.BalancerOptions;
import pondridge.core.Engine;
import pondridge.http1.Frontend;
import pondridge.http1.Upstreams;

/** A real sidecar on an event loop of this process, assembled as the sidecar's main program does it. */
final class InProcessSidecar implements RealSidecar {
    private static final int MAX_CONNECTIONS = 512;
    private final MeasuredLoopGroup loops = new MeasuredLoopGroup("sidecar", 1);
    private final InetSocketAddress address;

    /** Starts a sidecar that follows the given list and accepts connections. */
    InProcessSidecar(BalancerOptions options, long seed, ListDistribution distribution) {
        EventLoop loop = loops.next();
        Frontend frontend = loop.submit(() -> {
                    Engine engine = new Engine(
                            loop, options, seed, MAX_CONNECTIONS, new Upstreams(loop, options, MAX_CONNECTIONS));
                    ListDistribution.Subscription subscription =
                            distribution.subscribe(-1, loop, false, engine::updateEndpoints);
                    engine.start(subscription, List.of());
                    subscription.start();
                    return new Frontend(engine, options, MAX_CONNECTIONS);
                })
                .syncUninterruptibly()
                .getNow();
        address = (InetSocketAddress) frontend.listen(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
        loop.execute(frontend::markReady);
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public long cpuNanos() {
        return loops.cpuNanos();
    }

    @Override
    public long residentKib() {
        return 0;
    }

    @Override
    public void close() {
        loops.close();
    }
}
