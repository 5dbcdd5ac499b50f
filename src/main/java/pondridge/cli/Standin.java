package pondridge.cli;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pondridge.standin.EffectLedger;
import pondridge.standin.Fault;
import pondridge.standin.FaultScript;
import pondridge.standin.KeyMemory;
import pondridge.standin.StandinServer;
import pondridge.standin.redis.RedisStandin;

/** Stand-ins for outside systems, for trials on loopback. */
@Command(
        name = "standin",
        description = "Stand-ins for outside systems, on loopback addresses only.",
        subcommands = {Standin.Server.class, Standin.Redis.class})
final class Standin implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "which stand-in? (server, redis)");
    }

    /** One stand-in order server. */
    @Command(name = "server", description = "An order server with scripted faults; runs until it is ended.")
    static final class Server implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--protocol", required = true, description = "http1, http2 or grpc")
        private String protocol;

        @Option(
                names = "--listen",
                required = true,
                paramLabel = "ADDRESS:PORT",
                description = "a loopback address and a port")
        private String listen;

        @Option(
                names = "--fault",
                defaultValue = "",
                paramLabel = "NAME=SHARE,...",
                description = "which part of the requests meets which fault")
        private String faults;

        @Option(names = "--seed", defaultValue = "1", description = "for the faults' order")
        private long seed;

        @Option(names = "--work-ms", defaultValue = "5", description = "mean time of a request's work")
        private long workMs;

        @Option(names = "--streams", defaultValue = "100", description = "HTTP/2: streams at a time")
        private long streams;

        @Option(names = "--for-s", defaultValue = "3600", description = "ends by itself after so long")
        private long forSeconds;

        @Override
        public Integer call() throws InterruptedException {
            StandinServer.Protocol speaks =
                    switch (protocol) {
                        case "http1" -> StandinServer.Protocol.HTTP1;
                        case "http2" -> StandinServer.Protocol.HTTP2;
                        case "grpc" -> StandinServer.Protocol.GRPC;
                        default -> throw wrong("--protocol: expected http1, http2 or grpc, found " + protocol);
                    };
            Map<Fault, Double> shares;
            try {
                shares = FaultScript.parse(faults);
            } catch (IllegalArgumentException e) {
                throw wrong("--fault: " + e.getMessage());
            }
            MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            EffectLedger ledger = new EffectLedger(0, 0);
            try (StandinServer server = new StandinServer(
                    group.next(),
                    loopback(spec, listen),
                    new StandinServer.Setup(
                            "standin",
                            "a",
                            speaks,
                            streams,
                            65_535,
                            new FaultScript(seed, shares, workMs * 1_000_000, 10 * workMs * 1_000_000),
                            ledger,
                            new KeyMemory()))) {
                say(protocol + " at " + server.address());
                CountDownLatch ended = new CountDownLatch(1);
                Runtime.getRuntime().addShutdownHook(new Thread(ended::countDown));
                ended.await(forSeconds, TimeUnit.SECONDS);
                say("ran " + server.runs() + ", connections at most " + server.mostConnections());
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
            return CommandLine.ExitCode.OK;
        }

        private void say(String text) {
            spec.commandLine().getOut().println("standin server: " + text);
        }

        private ParameterException wrong(String text) {
            return new ParameterException(spec.commandLine(), text);
        }
    }

    /** A stand-in store that speaks the protocol of Redis. */
    @Command(name = "redis", description = "A store that speaks the protocol of Redis; runs until it is ended.")
    static final class Redis implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--listen",
                required = true,
                paramLabel = "ADDRESS:PORT",
                description = "a loopback address and a port")
        private String listen;

        @Option(names = "--memory-mb", defaultValue = "64", description = "of keys and values")
        private int memoryMb;

        @Option(names = "--refuse-when-full", description = "instead of letting the longest unused keys go")
        private boolean refuses;

        @Option(names = "--delay-ms", defaultValue = "0", description = "each reply waits for so long")
        private long delayMs;

        @Option(names = "--for-s", defaultValue = "3600", description = "ends by itself after so long")
        private long forSeconds;

        @Override
        public Integer call() throws InterruptedException {
            if (memoryMb < 1 || memoryMb > 4_096) {
                throw new ParameterException(spec.commandLine(), "--memory-mb: expected 1 to 4096, found " + memoryMb);
            }
            MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            RedisStandin.Setup usual = RedisStandin.Setup.usual();
            try (RedisStandin store = new RedisStandin(
                    group.next(),
                    loopback(spec, listen),
                    new RedisStandin.Setup(
                            usual.user(),
                            usual.password(),
                            (long) memoryMb << 20,
                            !refuses,
                            usual.lagMs(),
                            usual.connections()))) {
                store.faults().delay(delayMs);
                spec.commandLine().getOut().println("standin redis: at " + store.address());
                CountDownLatch ended = new CountDownLatch(1);
                Runtime.getRuntime().addShutdownHook(new Thread(ended::countDown));
                ended.await(forSeconds, TimeUnit.SECONDS);
                spec.commandLine()
                        .getOut()
                        .println("standin redis: " + store.commands() + " commands, " + store.bytes() + " bytes");
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
            return CommandLine.ExitCode.OK;
        }
    }

    private static InetSocketAddress loopback(CommandSpec spec, String listen) {
        int colon = listen.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(listen.substring(0, colon));
        try {
            int port = Integer.parseInt(listen.substring(colon + 1));
            if (host != null && host.isLoopbackAddress() && port >= 0 && port <= 0xffff) {
                return new InetSocketAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // Told below, with what was expected.
        }
        throw new ParameterException(
                spec.commandLine(), "--listen: expected a loopback address and port, found " + listen);
    }
}
