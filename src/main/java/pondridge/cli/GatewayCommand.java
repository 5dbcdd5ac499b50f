package pondridge.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import pondridge.core.Transport;
import pondridge.gateway.Gateway;
import pondridge.gateway.GatewaySettings;
import pondridge.platform.Config;
import pondridge.platform.Discovery;
import pondridge.settings.SettingsException;
import pondridge.transport.MixedUpstreams;

/** One gateway of a site, until SIGTERM; then it answers what it holds and ends. */
@Command(name = "gateway", description = "Runs a site's gateway until SIGTERM.")
final class GatewayCommand implements Callable<Integer> {
    private static final long POLL_MS = 20;
    private static final long SPARE_MS = 600;

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the TOML file")
    private Path file;

    @Option(names = "--with-parent", description = "ends, as at SIGTERM, when its standard input ends")
    private boolean withParent;

    /** What a gateway is told: its own file and the platform's that it names. */
    record Told(GatewaySettings settings, Config platform) {
        static Told read(Path file) {
            GatewaySettings settings = GatewaySettings.read(file);
            try {
                Config platform = Config.read(settings.platform());
                settings.agree(platform.options());
                return new Told(settings, platform);
            } catch (IllegalArgumentException | IOException e) {
                throw new SettingsException(settings.platform().toString(), "", e.getMessage());
            }
        }
    }

    @Override
    public Integer call() throws InterruptedException, IOException {
        Told told = Told.read(file);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try {
            CompletableFuture<Gateway> started = new CompletableFuture<>();
            loop.execute(() -> start(loop, told, started));
            Gateway gateway = started.get();
            CountDownLatch ended = new CountDownLatch(1);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                end(loop, gateway, longest(told.platform()));
                ended.countDown();
                Runtime.getRuntime().halt(CommandLine.ExitCode.OK);
            }));
            if (withParent) {
                Parent.watch();
            }
            ended.await();
            return CommandLine.ExitCode.OK;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void start(EventLoop loop, Told told, CompletableFuture<Gateway> started) {
        try {
            Config platform = told.platform();
            Transport upstreams =
                    MixedUpstreams.of(loop, platform.options(), told.settings().upstreams(), platform.mostUpstream());
            Gateway gateway = new Gateway(
                    loop,
                    platform.options(),
                    told.settings(),
                    upstreams,
                    platform.seed(),
                    platform.mostClients(),
                    System::nanoTime);
            Discovery discovery = new Discovery(
                    loop,
                    platform.discovery(),
                    platform.pushed(),
                    platform.known().rev(),
                    gateway::listed);
            gateway.start(discovery, platform.known().targets(), platform.listen())
                    .whenComplete((doors, problem) -> {
                        if (problem == null) {
                            discovery.follow();
                            started.complete(gateway);
                        } else {
                            started.completeExceptionally(problem);
                        }
                    });
        } catch (IOException | RuntimeException e) {
            started.completeExceptionally(e);
        }
    }

    private static long longest(Config platform) {
        return platform.options().settings().classes().stream()
                        .mapToLong(RequestClass::deadline)
                        .max()
                        .orElse(0)
                / 1_000_000;
    }

    /** New requests by the link are turned away unseen; what is open is answered, if that can be. */
    private static void end(EventLoop loop, Gateway gateway, long longestMs) {
        loop.execute(gateway::drain);
        long until = System.nanoTime() + (longestMs + SPARE_MS) * 1_000_000;
        try {
            while (System.nanoTime() - until < 0 && !loop.submit(gateway::idle).get()) {
                Thread.sleep(POLL_MS);
            }
            loop.submit(gateway::close).get();
        } catch (InterruptedException | ExecutionException e) {
            Thread.currentThread().interrupt();
        }
    }
}
