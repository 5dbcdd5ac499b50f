package pondridge.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
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
import pondridge.Balancer.EndpointListKind;
import pondridge.BalancerOptions;
import pondridge.core.BufferBudgets;
import pondridge.core.EndpointDiscovery;
import pondridge.core.EventCounters;
import pondridge.core.MonitoredIoHandler;
import pondridge.core.Target;
import pondridge.gateway.Gateway;
import pondridge.gateway.GatewaySettings;
import pondridge.http1.Upstreams;

/** A gateway in this process, on its own event loop. */
final class InProcessGateway implements GatewayHandle {
    private static final int MAX_CONNECTIONS = 4096;
    private static final long START_TIMEOUT_S = 30;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Gateway gateway;
    private final Gateway.ListenAddresses addresses;
    private boolean stopped;

    InProcessGateway(
            GatewaySettings settings, BalancerOptions options, List<Target> targets, long seed, LongSupplier clock)
            throws IOException {
        this.group = new MultiThreadIoEventLoopGroup(1, MonitoredIoHandler.newFactory(EventCounters.unlogged()));
        this.loop = group.next();
        try {
            gateway = loop.submit(() -> new Gateway(
                            loop,
                            options,
                            settings,
                            new Upstreams(loop, options, MAX_CONNECTIONS),
                            BufferBudgets.ofThisProcess(),
                            seed,
                            MAX_CONNECTIONS,
                            clock))
                    .get();
            addresses = loop.submit(() -> gateway.start(
                            new EndpointDiscovery() {
                                @Override
                                public void watch(boolean on) {}

                                @Override
                                public void fetch() {}
                            },
                            targets,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                    .get()
                    .get(START_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw new IOException("gateway of " + settings.site() + ": " + e.getMessage(), e);
        }
    }

    private <T> T callOnLoop(Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    @Override
    public Gateway.ListenAddresses addresses() {
        return addresses;
    }

    @Override
    public void updateTargets(EndpointListKind kind, List<Target> targets) {
        callOnLoop(() -> {
            gateway.updateEndpoints(kind, targets);
            return null;
        });
    }

    @Override
    public long count(String counter) {
        return stopped ? 0 : callOnLoop(() -> gateway.counts().getOrDefault(counter, 0L));
    }

    @Override
    public boolean idle() {
        return stopped || callOnLoop(gateway::isIdle);
    }

    @Override
    public double cpuNanos() {
        return callOnLoop(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime());
    }

    @Override
    public void kill() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        stopped = true;
    }

    @Override
    public void close() {
        if (!stopped) {
            callOnLoop(() -> {
                gateway.close();
                return null;
            });
        }
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
}
