package pondridge.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import pondridge.control.Following;
import pondridge.core.Engine;
import pondridge.core.RequestLog;
import pondridge.core.Transport;
import pondridge.http1.Frontend;
import pondridge.http1.Upstreams;
import pondridge.platform.Config;
import pondridge.platform.Discovery;
import pondridge.store.Sharing;
import pondridge.transport.MixedUpstreams;

/** Entry point of the real sidecar: configuration, start, and an orderly end at SIGTERM. */
public final class Main {
    /** New connections go on coming for up to 0.4 s after SIGTERM. */
    private static final long ACCEPT_MS = 500;
    /** SIGKILL comes no sooner than the longest deadline, of which 3 s count at most, and 0.7 s more. */
    private static final long LONGEST_MS = 3_000;

    private static final long SPARE_MS = 600;
    /** Of that: for the last answers to be written. */
    private static final long LAST_WRITES_MS = 150;

    private static final long POLL_MS = 20;
    /** The listening ends when nobody has connected for so long: what is not yet accepted would be reset. */
    private static final long QUIET = 50_000_000;

    private static final int MOST_LOOKS = 10;
    private static final String REHEARSE = "rehearse";

    private Main() {}

    /**
     * Runs until SIGTERM, with the argument {@code rehearse} only until it is warm: that checks a
     * configuration, and shows the build which classes belong in the class archive. With {@code --settings
     * FILE} the file's settings hold for the way to upstreams; without it nothing of that is loaded. A bad
     * configuration ends it with one line and exit status 2.
     */
    public static void main(String[] args) {
        // Else netty would find and load the logging of the gateway's, which the sidecar does not use.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        String file = System.getenv("PROXY_CONFIG");
        CompletableFuture<Consumer<Config>> running = new CompletableFuture<>();
        reloadAtSighup(file, running);
        Config config;
        SidecarSettings settings = null;
        try {
            if (file == null) {
                throw new IllegalArgumentException("not set: PROXY_CONFIG");
            }
            config = Config.read(Path.of(file));
            if (args.length == 2 && args[0].equals("--settings")) {
                settings = SidecarSettings.read(Path.of(args[1]));
            } else if (args.length > 0 && !REHEARSE.equals(args[0])) {
                throw new IllegalArgumentException("arguments: expected none, rehearse or --settings FILE");
            }
        } catch (IllegalArgumentException | IOException e) {
            System.err.println("pondridge: configuration: " + e.getMessage());
            System.exit(2);
            return;
        }
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        boolean rehearsal = args.length == 1 && args[0].equals(REHEARSE);
        SidecarSettings way = settings;
        loop.execute(() -> start(group, loop, config, way, rehearsal, running));
    }

    /**
     * Left to itself the JVM ends at SIGHUP. It calls this handler on a thread of its own, so reading the
     * file holds nobody up; one that comes before the start is over waits for it. A bad file changes nothing.
     */
    private static void reloadAtSighup(String file, CompletableFuture<Consumer<Config>> running) {
        onSighup(() -> {
            Consumer<Config> takeOver = running.join();
            synchronized (running) {
                try {
                    takeOver.accept(Config.read(Path.of(file)));
                } catch (IllegalArgumentException | IOException e) {
                    System.err.println("pondridge: new configuration not taken: " + e.getMessage());
                }
            }
        });
    }

    /**
     * Java's one way to a signal is {@code sun.misc.Signal}, from the module jdk.unsupported. Reached by
     * reflection since the compiler warns of its name, and that warning can't be turned off by itself.
     */
    private static void onSighup(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object ours = Proxy.newProxyInstance(
                    Main.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), ours);
            if (before == handler.getField("SIG_IGN").get(null)) {
                // The JVM leaves a signal alone that was ignored when it began, as nohup has it.
                System.err.println("pondridge: SIGHUP was ignored when this program began and stays so:"
                        + " no new configuration will be taken");
            }
        } catch (ReflectiveOperationException e) {
            System.err.println("pondridge: SIGHUP would end this program: " + e);
        }
    }

    private static void start(
            MultiThreadIoEventLoopGroup group,
            EventLoop loop,
            Config config,
            SidecarSettings settings,
            boolean rehearsal,
            CompletableFuture<Consumer<Config>> running) {
        Transport upstreams = settings == null
                ? new Upstreams(loop, config.options(), config.mostUpstream())
                : MixedUpstreams.of(loop, config.options(), settings.upstreams(), config.mostUpstream());
        Engine engine = new Engine(loop, config.options(), config.seed(), config.sockets() / 2, upstreams);
        if (settings != null && settings.store() != null) {
            Sharing.begin(
                    loop, engine, settings.store(), config.options().settings().limits(), config.seed() + 1);
        }
        Discovery discovery = new Discovery(
                loop, config.discovery(), config.pushed(), config.known().rev(), engine::listed);
        Frontend frontend = new Frontend(engine, config.options(), config.mostClients());
        RequestLog log = RequestLog.fromEnvironment();
        engine.log(log);
        discovery.log(log);
        frontend.log(log);
        if (settings != null && settings.control() != null) {
            Following.begin(loop, engine, settings.control(), config.known().targets());
        } else {
            engine.start(discovery, config.known().targets());
            discovery.follow();
        }
        SecondFront second = settings == null || settings.grpc() == null
                ? SecondFront.NONE
                : new SecondFront.Grpc(loop, settings.grpc(), config, engine);
        // Only where discovery is; all else stays as it was at the start.
        running.complete(read -> loop.execute(() -> discovery.move(read.discovery())));
        second.listen(() ->
                PatientBind.listen(loop, config.listen(), () -> frontend.listen(group, config.listen()), channel -> {
                    endAtSigterm(loop, config, engine, frontend, second);
                    WarmUp.run(
                            loop,
                            config.options(),
                            (InetSocketAddress) channel.localAddress(),
                            rehearsal ? Main::end : () -> ready(config, frontend, second));
                }));
    }

    private static void ready(Config config, Frontend frontend, SecondFront second) {
        frontend.ready();
        second.ready();
        if (!System.getProperty("java.vm.info", "").contains("sharing")) {
            // Of an archive that is there and does not fit, the JVM tells itself.
            System.err.println("pondridge: the class archive was not taken, so the start was slow");
        }
        System.err.println("pondridge: " + config.name() + " ready at " + config.listen());
    }

    /** A rehearsal is over. Not on the loop, which the shutdown hook still needs. */
    private static void end() {
        new Thread(() -> System.exit(0)).start();
    }

    /** The hook holds the process until all is answered, or as long as the platform lets it. */
    private static void endAtSigterm(
            EventLoop loop, Config config, Engine engine, Frontend frontend, SecondFront second) {
        long longest = Math.min(
                LONGEST_MS,
                config.options().settings().classes().stream()
                                .mapToLong(RequestClass::deadline)
                                .max()
                                .orElse(0)
                        / 1_000_000);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            CountDownLatch done = new CountDownLatch(1);
            loop.execute(frontend::drain);
            loop.execute(second::drain);
            loop.execute(() -> engine.endWithin((longest + SPARE_MS - LAST_WRITES_MS) * 1_000_000));
            loop.schedule(second::close, ACCEPT_MS, TimeUnit.MILLISECONDS);
            loop.schedule(() -> closeWhenQuiet(loop, frontend, MOST_LOOKS), ACCEPT_MS, TimeUnit.MILLISECONDS);
            loop.scheduleWithFixedDelay(
                    () -> {
                        if (frontend.empty() && engine.idle() && second.idle()) {
                            done.countDown();
                        }
                    },
                    ACCEPT_MS,
                    POLL_MS,
                    TimeUnit.MILLISECONDS);
            try {
                done.await(longest + SPARE_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Runtime.getRuntime().halt(0);
        }));
    }

    private static void closeWhenQuiet(EventLoop loop, Frontend frontend, int looks) {
        if (looks == 0 || frontend.quiet() > QUIET) {
            frontend.close();
        } else {
            loop.schedule(() -> closeWhenQuiet(loop, frontend, looks - 1), QUIET, TimeUnit.NANOSECONDS);
        }
    }
}
