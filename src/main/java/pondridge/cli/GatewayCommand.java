package pondridge.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pondridge.Balancer.RequestClass;
import pondridge.core.BufferBudgets;
import pondridge.core.EventCounters;
import pondridge.core.MonitoredIoHandler;
import pondridge.core.Transport;
import pondridge.gateway.Gateway;
import pondridge.gateway.GatewaySettings;
import pondridge.platform.DiscoveryClient;
import pondridge.platform.PlatformConfig;
import pondridge.settings.SettingsException;
import pondridge.transport.MixedProtocolTransport;

/** Runs one gateway of a site until SIGTERM, then completes its open requests and exits. */
@Command(name = "gateway", description = "Runs a gateway of a site until SIGTERM.")
final class GatewayCommand implements Callable<Integer> {
    private static final long POLL_MS = 20;
    private static final long SHUTDOWN_SLACK_MS = 600;

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the TOML file of the gateway")
    private Path file;

    @Option(names = "--with-parent", description = "shut down, as at SIGTERM, when standard input is closed")
    private boolean withParent;

    /** The configuration of a gateway: its own settings and those of the platform's file that they name. */
    record Configuration(GatewaySettings settings, PlatformConfig platform) {
        static Configuration read(Path file) {
            GatewaySettings settings = GatewaySettings.read(file);
            try {
                PlatformConfig platform = PlatformConfig.read(settings.platform());
                settings.validateAgainst(platform.options());
                return new Configuration(settings, platform);
            } catch (IllegalArgumentException | IOException e) {
                throw new SettingsException(settings.platform().toString(), "", e.getMessage());
            }
        }
    }

    @Override
    public Integer call() throws InterruptedException, IOException {
        Configuration configuration = Configuration.read(file);
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, MonitoredIoHandler.newFactory(EventCounters.toStandardError()));
        EventLoop loop = group.next();
        try {
            CompletableFuture<Gateway> started = new CompletableFuture<>();
            loop.execute(() -> start(loop, configuration, started));
            Gateway gateway = started.get();
            CountDownLatch ended = new CountDownLatch(1);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                shutDown(loop, gateway, maxDeadlineMs(configuration.platform()));
                ended.countDown();
                Runtime.getRuntime().halt(CommandLine.ExitCode.OK);
            }));
            if (withParent) {
                ParentWatcher.exitWithParent();
            }
            ended.await();
            return CommandLine.ExitCode.OK;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void start(EventLoop loop, Configuration configuration, CompletableFuture<Gateway> started) {
        try {
            PlatformConfig platform = configuration.platform();
            BufferBudgets budgets = BufferBudgets.ofThisProcess();
            Transport upstreams = MixedProtocolTransport.of(
                    loop,
                    platform.options(),
                    configuration.settings().upstreams(),
                    platform.maxUpstreamConnections(),
                    budgets.responses());
            Gateway gateway = new Gateway(
                    loop,
                    platform.options(),
                    configuration.settings(),
                    upstreams,
                    budgets,
                    platform.seed(),
                    platform.maxClientConnections(),
                    System::nanoTime);
            DiscoveryClient discovery = new DiscoveryClient(
                    loop,
                    platform.discoveryAddress(),
                    platform.isDiscoveryPushed(),
                    platform.cachedEndpoints().revision(),
                    gateway::updateEndpoints);
            gateway.start(discovery, platform.cachedEndpoints().targets(), platform.listenAddress())
                    .whenComplete((addresses, error) -> {
                        if (error == null) {
                            discovery.startIfPushed();
                            started.complete(gateway);
                        } else {
                            started.completeExceptionally(error);
                        }
                    });
        } catch (IOException | RuntimeException e) {
            started.completeExceptionally(e);
        }
    }

    private static long maxDeadlineMs(PlatformConfig platform) {
        return platform.options().settings().classes().stream()
                        .mapToLong(RequestClass::deadlineNanos)
                        .max()
                        .orElse(0)
                / 1_000_000;
    }

    /**
     * Drains and closes the gateway: new requests from other sites are rejected before they are processed, and
     * open ones may complete until the longest deadline of a class has passed.
     */
    private static void shutDown(EventLoop loop, Gateway gateway, long maxDeadlineMs) {
        loop.execute(gateway::drain);
        long deadline = System.nanoTime() + (maxDeadlineMs + SHUTDOWN_SLACK_MS) * 1_000_000;
        try {
            while (System.nanoTime() - deadline < 0
                    && !loop.submit(gateway::isIdle).get()) {
                Thread.sleep(POLL_MS);
            }
            loop.submit(gateway::close).get();
        } catch (InterruptedException | ExecutionException e) {
            Thread.currentThread().interrupt();
        }
    }
}
