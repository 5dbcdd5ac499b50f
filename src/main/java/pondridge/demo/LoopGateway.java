package pondridge.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import pondridge.Balancer.ListKind;
import pondridge.Options;
import pondridge.core.Directory;
import pondridge.core.Target;
import pondridge.gateway.Gateway;
import pondridge.gateway.GatewaySettings;
import pondridge.http1.Upstreams;

/** A gateway in this process, on a loop of its own. */
final class LoopGateway implements GatewayHost {
    private static final int MOST = 4096;
    private static final long LIMIT_S = 30;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Gateway gateway;
    private final Gateway.Doors doors;
    private boolean dead;

    LoopGateway(GatewaySettings settings, Options options, List<Target> known, long seed, LongSupplier clock)
            throws IOException {
        this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        this.loop = group.next();
        try {
            gateway = loop.submit(() ->
                            new Gateway(loop, options, settings, new Upstreams(loop, options, MOST), seed, MOST, clock))
                    .get();
            doors = loop.submit(() -> gateway.start(
                            new Directory() {
                                @Override
                                public void watch(boolean on) {}

                                @Override
                                public void fetch() {}
                            },
                            known,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                    .get()
                    .get(LIMIT_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw new IOException("gateway of " + settings.site() + ": " + e.getMessage(), e);
        }
    }

    private <T> T on(Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    @Override
    public Gateway.Doors doors() {
        return doors;
    }

    @Override
    public void listed(ListKind kind, List<Target> targets) {
        on(() -> {
            gateway.listed(kind, targets);
            return null;
        });
    }

    @Override
    public long count(String of) {
        return dead ? 0 : on(() -> gateway.counts().getOrDefault(of, 0L));
    }

    @Override
    public boolean idle() {
        return dead || on(gateway::idle);
    }

    @Override
    public double cpuNanos() {
        return on(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime());
    }

    @Override
    public void kill() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        dead = true;
    }

    @Override
    public void close() {
        if (!dead) {
            on(() -> {
                gateway.close();
                return null;
            });
        }
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
}
