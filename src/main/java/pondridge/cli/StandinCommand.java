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
import pondridge.standin.ExecutionLedger;
import pondridge.standin.Fault;
import pondridge.standin.FaultScript;
import pondridge.standin.IdempotencyKeyStore;
import pondridge.standin.StandinServer;
import pondridge.standin.redis.RedisStandin;

/** Runs stand-ins for external systems on loopback, for tests by hand. */
@Command(
        name = "standin",
        description = "Runs stand-ins for external systems, on loopback addresses only.",
        subcommands = {StandinCommand.Server.class, StandinCommand.Redis.class})
final class StandinCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing subcommand: expected server or redis");
    }

    /** Runs a stand-in order server. */
    @Command(name = "server", description = "Runs an order server with scripted faults until it is terminated.")
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
                description = "the share of requests that meet each fault")
        private String faults;

        @Option(names = "--seed", defaultValue = "1", description = "seed for the order of faults")
        private long seed;

        @Option(
                names = "--work-ms",
                defaultValue = "5",
                description = "mean processing time of a request in milliseconds")
        private long workMs;

        @Option(names = "--streams", defaultValue = "100", description = "HTTP/2: concurrent streams per connection")
        private long streams;

        @Option(names = "--for-s", defaultValue = "3600", description = "exit after this many seconds")
        private long forSeconds;

        @Override
        public Integer call() throws InterruptedException {
            StandinServer.Protocol serverProtocol =
                    switch (protocol) {
                        case "http1" -> StandinServer.Protocol.HTTP1;
                        case "http2" -> StandinServer.Protocol.HTTP2;
                        case "grpc" -> StandinServer.Protocol.GRPC;
                        default -> throw usageError("--protocol: expected http1, http2 or grpc, found " + protocol);
                    };
            Map<Fault, Double> shares;
            try {
                shares = FaultScript.parseFractions(faults);
            } catch (IllegalArgumentException e) {
                throw usageError("--fault: " + e.getMessage());
            }
            MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            ExecutionLedger ledger = new ExecutionLedger(0, 0);
            try (StandinServer server = new StandinServer(
                    group.next(),
                    loopback(spec, listen),
                    new StandinServer.Setup(
                            "standin",
                            "a",
                            serverProtocol,
                            streams,
                            65_535,
                            new FaultScript(seed, shares, workMs * 1_000_000, 10 * workMs * 1_000_000),
                            ledger,
                            new IdempotencyKeyStore()))) {
                print(protocol + " at " + server.address());
                CountDownLatch stopped = new CountDownLatch(1);
                Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown));
                stopped.await(forSeconds, TimeUnit.SECONDS);
                print("ran " + server.executions() + ", connections at most " + server.peakConnections());
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
            return CommandLine.ExitCode.OK;
        }

        private void print(String text) {
            spec.commandLine().getOut().println("standin server: " + text);
        }

        private ParameterException usageError(String text) {
            return new ParameterException(spec.commandLine(), text);
        }
    }

    /** Runs a stand-in store with the Redis protocol. */
    @Command(name = "redis", description = "Runs a store with the Redis protocol until it is terminated.")
    static final class Redis implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--listen",
                required = true,
                paramLabel = "ADDRESS:PORT",
                description = "a loopback address and a port")
        private String listen;

        @Option(names = "--memory-mb", defaultValue = "64", description = "memory for keys and values in MiB")
        private int memoryMb;

        @Option(
                names = "--refuse-when-full",
                description = "refuse writes when full instead of evicting the least recently used keys")
        private boolean refuseWhenFull;

        @Option(names = "--delay-ms", defaultValue = "0", description = "delay of each reply in milliseconds")
        private long delayMs;

        @Option(names = "--for-s", defaultValue = "3600", description = "exit after this many seconds")
        private long forSeconds;

        @Override
        public Integer call() throws InterruptedException {
            if (memoryMb < 1 || memoryMb > 4_096) {
                throw new ParameterException(spec.commandLine(), "--memory-mb: expected 1 to 4096, found " + memoryMb);
            }
            MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            RedisStandin.Setup defaults = RedisStandin.Setup.defaults();
            try (RedisStandin store = new RedisStandin(
                    group.next(),
                    loopback(spec, listen),
                    new RedisStandin.Setup(
                            defaults.user(),
                            defaults.password(),
                            (long) memoryMb << 20,
                            !refuseWhenFull,
                            defaults.lagMs(),
                            defaults.maxConnections()))) {
                store.faults().setReplyDelayMillis(delayMs);
                spec.commandLine().getOut().println("standin redis: at " + store.address());
                CountDownLatch stopped = new CountDownLatch(1);
                Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown));
                stopped.await(forSeconds, TimeUnit.SECONDS);
                spec.commandLine()
                        .getOut()
                        .println("standin redis: " + store.commandCount() + " commands, " + store.transferredBytes()
                                + " bytes");
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
            // Reported below.
        }
        throw new ParameterException(
                spec.commandLine(), "--listen: expected a loopback address and port, found " + listen);
    }
}
