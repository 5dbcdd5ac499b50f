package pondridge.scale;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import pondridge.Options;
import pondridge.core.Engine;
import pondridge.http1.Frontend;
import pondridge.http1.Upstreams;

/** A real sidecar on a loop of this process, wired as its own program does. */
final class LoopSidecar implements RealSidecar {
    private static final int MOST = 512;
    private final Role role = new Role("sidecar", 1);
    private final InetSocketAddress door;

    /** One that follows the list by the given way, and listens. */
    LoopSidecar(Options options, long seed, ListWay way) {
        EventLoop loop = role.next();
        Frontend front = loop.submit(() -> {
                    Engine engine = new Engine(loop, options, seed, MOST, new Upstreams(loop, options, MOST));
                    ListWay.Link link = way.attach(-1, loop, false, engine::listed);
                    engine.start(link, List.of());
                    link.follow();
                    return new Frontend(engine, options, MOST);
                })
                .syncUninterruptibly()
                .getNow();
        door = (InetSocketAddress) front.listen(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
        loop.execute(front::ready);
    }

    @Override
    public InetSocketAddress door() {
        return door;
    }

    @Override
    public long cpuNanos() {
        return role.cpuNanos();
    }

    @Override
    public long residentKb() {
        return 0;
    }

    @Override
    public void close() {
        role.close();
    }
}
