package pondridge.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pondridge.Balancer.RequestClass;
import pondridge.control.SidecarControl;
import pondridge.core.BufferBudgets;
import pondridge.core.Engine;
import pondridge.core.EventCounters;
import pondridge.core.MonitoredIoHandler;
import pondridge.core.RequestLog;
import pondridge.core.Transport;
import pondridge.http1.Frontend;
import pondridge.http1.Upstreams;
import pondridge.platform.DiscoveryClient;
import pondridge.platform.PlatformConfig;
import pondridge.store.SharedStoreBinding;
import pondridge.transport.MixedProtocolTransport;

/** Entry point of the sidecar process: configuration, startup, and graceful shutdown at SIGTERM. */
public final class Main {
    /** New connections keep arriving for up to 0.4 s after SIGTERM. */
    private static final long ACCEPT_AFTER_SIGTERM_MS = 500;
    /** SIGKILL follows SIGTERM no sooner than the longest deadline, counted as 3 s at most, plus 0.7 s. */
    private static final long MAX_COUNTED_DEADLINE_MS = 3_000;

    private static final long SIGKILL_MARGIN_MS = 600;
    /** Part of the margin that is reserved for writing the last responses, also after a stall of the process. */
    private static final long FINAL_WRITES_MS = 500;

    private static final long DRAIN_POLL_MS = 20;
    /** By {@link System#nanoTime}. The cached list is as old as the process, at least. */
    private static final long STARTED_AT_NANOS = System.nanoTime();

    /**
     * The listener closes when no client has connected for this time, because connections in the accept queue would
     * be reset.
     */
    private static final long ACCEPT_QUIET_NANOS = 50_000_000;

    private static final int MAX_QUIET_CHECKS = 10;
    private static final String DRY_RUN_ARGUMENT = "rehearse";

    private Main() {}

    /**
     * Runs until SIGTERM. With the argument {@code rehearse} it exits after the warm-up: this checks a
     * configuration, and lets the build record the classes for the class data sharing archive. With
     * {@code --settings FILE} the settings in that file apply to upstream connections; without it none of those
     * classes are loaded. An invalid configuration ends the process with one line and exit status 2.
     */
    public static void main(String[] args) {
        // Otherwise Netty would find and load the gateway's logging library, which the sidecar does not use.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        String file = System.getenv("PROXY_CONFIG");
        CompletableFuture<Consumer<PlatformConfig>> configApplier = new CompletableFuture<>();
        reloadAtSighup(file, configApplier);
        PlatformConfig config;
        SidecarSettings settings = null;
        try {
            if (file == null) {
                throw new IllegalArgumentException("not set: PROXY_CONFIG");
            }
            config = PlatformConfig.read(Path.of(file));
            if (args.length == 2 && args[0].equals("--settings")) {
                settings = SidecarSettings.read(Path.of(args[1]));
            } else if (args.length > 0 && !DRY_RUN_ARGUMENT.equals(args[0])) {
                throw new IllegalArgumentException("arguments: expected none, rehearse or --settings FILE");
            }
        } catch (IllegalArgumentException | IOException e) {
            System.err.println("pondridge: configuration: " + e.getMessage());
            System.exit(2);
            return;
        }
        EventCounters counters = EventCounters.toStandardError();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, MonitoredIoHandler.newFactory(counters));
        EventLoop loop = group.next();
        boolean dryRun = args.length == 1 && args[0].equals(DRY_RUN_ARGUMENT);
        SidecarSettings sidecarSettings = settings;
        loop.execute(() -> start(group, loop, counters, config, sidecarSettings, dryRun, configApplier));
    }

    /**
     * Reloads the configuration at SIGHUP, at which the JVM would exit by default. The JVM calls the handler on a
     * separate thread, so reading the file does not block the event loop. A signal during startup waits until
     * startup is complete. An invalid file changes nothing.
     */
    private static void reloadAtSighup(String file, CompletableFuture<Consumer<PlatformConfig>> configApplier) {
        onSighup(() -> {
            Consumer<PlatformConfig> applyConfig = configApplier.join();
            synchronized (configApplier) {
                try {
                    applyConfig.accept(PlatformConfig.read(Path.of(file)));
                } catch (IllegalArgumentException | IOException e) {
                    System.err.println("pondridge: new configuration rejected: " + e.getMessage());
                }
            }
        });
    }

    /**
     * Installs a SIGHUP handler. Java's only interface for signals is {@code sun.misc.Signal} in the module
     * jdk.unsupported. It is accessed by reflection, since the compiler warns about its name and that warning
     * cannot be disabled on its own.
     */
    private static void onSighup(Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object reloadHandler = Proxy.newProxyInstance(
                    Main.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Object previousHandler = signalType
                    .getMethod("handle", signalType, handlerType)
                    .invoke(null, signalType.getConstructor(String.class).newInstance("HUP"), reloadHandler);
            if (previousHandler == handlerType.getField("SIG_IGN").get(null)) {
                // The JVM does not handle a signal that was ignored when it started, for example under nohup.
                System.err.println("pondridge: SIGHUP was ignored when this process started and stays ignored:"
                        + " configuration reload is disabled");
            }
        } catch (ReflectiveOperationException e) {
            System.err.println("pondridge: no SIGHUP handler installed, so SIGHUP ends this process: " + e);
        }
    }

    private static void start(
            MultiThreadIoEventLoopGroup group,
            EventLoop loop,
            EventCounters counters,
            PlatformConfig config,
            SidecarSettings settings,
            boolean dryRun,
            CompletableFuture<Consumer<PlatformConfig>> configApplier) {
        BufferBudgets budgets = BufferBudgets.ofThisProcess();
        Transport upstreams = settings == null
                ? newHttp1Transport(loop, config, budgets, counters)
                : MixedProtocolTransport.of(
                        loop,
                        config.options(),
                        settings.upstreams(),
                        config.maxUpstreamConnections(),
                        budgets.responses());
        Engine engine = new Engine(loop, config.options(), config.seed(), config.maxSockets() / 2, upstreams);
        if (settings != null && settings.store() != null) {
            SharedStoreBinding.start(
                    loop, engine, settings.store(), config.options().settings().safetyLimits(), config.seed() + 1);
        }
        DiscoveryClient discovery = new DiscoveryClient(
                loop,
                config.discoveryAddress(),
                config.isDiscoveryPushed(),
                config.cachedEndpoints().revision(),
                engine::updateEndpoints);
        discovery.setSwitchListener(engine::discoverySwitched);
        Frontend frontend = new Frontend(engine, config.options(), config.maxClientConnections(), budgets);
        RequestLog requestLog = RequestLog.fromEnvironment();
        engine.setRequestLog(requestLog);
        engine.setCounters(counters);
        discovery.setRequestLog(requestLog);
        frontend.setRequestLog(requestLog);
        frontend.setCounters(counters);
        frontend.setSpareDescriptors(
                () -> config.connectionDescriptors() - frontend.connectionCount() - upstreams.openConnections());
        if (settings != null && settings.control() != null) {
            SidecarControl.start(
                    loop, engine, settings.control(), config.cachedEndpoints().targets());
        } else {
            engine.start(discovery, config.cachedEndpoints().targets(), System.nanoTime() - STARTED_AT_NANOS);
            discovery.startIfPushed();
        }
        SecondaryFrontend secondary = settings == null || settings.grpc() == null
                ? SecondaryFrontend.NONE
                : new SecondaryFrontend.Grpc(loop, settings.grpc(), config, engine, budgets.total());
        // Only the discovery address is reloaded; all other settings keep their values from startup.
        configApplier.complete(newConfig -> loop.execute(() -> discovery.switchTo(newConfig.discoveryAddress())));
        secondary.listen(() -> RequiredListener.bind(
                loop, config.listenAddress(), () -> frontend.listen(group, config.listenAddress()), channel -> {
                    installShutdownHook(loop, config, engine, frontend, secondary);
                    WarmUp.run(
                            loop,
                            config.options(),
                            (InetSocketAddress) channel.localAddress(),
                            dryRun ? Main::exitAfterDryRun : () -> markReady(config, frontend, secondary));
                }));
    }

    private static Transport newHttp1Transport(
            EventLoop loop, PlatformConfig config, BufferBudgets budgets, EventCounters counters) {
        Upstreams upstreams =
                new Upstreams(loop, config.options(), config.maxUpstreamConnections(), budgets.responses());
        upstreams.setCounters(counters);
        return upstreams;
    }

    private static void markReady(PlatformConfig config, Frontend frontend, SecondaryFrontend secondary) {
        frontend.markReady();
        secondary.markReady();
        if (!System.getProperty("java.vm.info", "").contains("sharing")) {
            // If an archive exists but does not match, the JVM prints its own warning.
            System.err.println("pondridge: class data sharing archive not in use, so startup was slow");
        }
        System.err.println("pondridge: " + config.name() + " ready at " + config.listenAddress());
    }

    /** Exits after a dry run, on a new thread because the shutdown hook still needs the event loop. */
    private static void exitAfterDryRun() {
        new Thread(() -> System.exit(0)).start();
    }

    /** Installs a hook that drains the sidecar at SIGTERM and exits when it is empty or its time is up. */
    private static void installShutdownHook(
            EventLoop loop, PlatformConfig config, Engine engine, Frontend frontend, SecondaryFrontend secondary) {
        long longestDeadlineMs = Math.min(
                MAX_COUNTED_DEADLINE_MS,
                config.options().settings().classes().stream()
                                .mapToLong(RequestClass::deadlineNanos)
                                .max()
                                .orElse(0)
                        / 1_000_000);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            CountDownLatch drained = new CountDownLatch(1);
            loop.execute(frontend::drain);
            loop.execute(secondary::drain);
            loop.execute(() ->
                    engine.announceShutdown((longestDeadlineMs + SIGKILL_MARGIN_MS - FINAL_WRITES_MS) * 1_000_000));
            loop.schedule(secondary::close, ACCEPT_AFTER_SIGTERM_MS, TimeUnit.MILLISECONDS);
            loop.schedule(
                    () -> closeWhenQuiet(loop, frontend, MAX_QUIET_CHECKS),
                    ACCEPT_AFTER_SIGTERM_MS,
                    TimeUnit.MILLISECONDS);
            loop.scheduleWithFixedDelay(
                    () -> {
                        if (frontend.hasNoConnections() && engine.isIdle() && secondary.isIdle()) {
                            drained.countDown();
                        }
                    },
                    ACCEPT_AFTER_SIGTERM_MS,
                    DRAIN_POLL_MS,
                    TimeUnit.MILLISECONDS);
            try {
                drained.await(longestDeadlineMs + SIGKILL_MARGIN_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Runtime.getRuntime().halt(0);
        }));
    }

    /** Closes the listener once no client has connected for a while, or after the last check. */
    private static void closeWhenQuiet(EventLoop loop, Frontend frontend, int remainingChecks) {
        if (remainingChecks == 0 || frontend.nanosSinceLastAccept() > ACCEPT_QUIET_NANOS) {
            frontend.close();
        } else {
            loop.schedule(
                    () -> closeWhenQuiet(loop, frontend, remainingChecks - 1),
                    ACCEPT_QUIET_NANOS,
                    TimeUnit.NANOSECONDS);
        }
    }
}
