package pondridge.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.FaultScript;
import pondridge.standin.IdempotencyKeyStore;
import pondridge.standin.StandinServer;
import pondridge.standin.StandinServer.Protocol;

/**
 * Compares HTTP/1.1 and HTTP/2 to the same stand-in servers, through sidecar processes with the command of the
 * deploy file, and without a sidecar. Only ratios within one run are meaningful.
 */
final class Http2Bench {
    private static final int SERVERS = 4;
    private static final int ROUNDS = 2;
    private static final long WARM_UP_MS = 4_000;
    private static final long MEASURED_MS = 5_000;
    private static final double CLOCK_TICKS_PER_SECOND = 100;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(5, NioIoHandler.newFactory());
    private final Path folder;

    /** The result of a round; CPU time is per request. */
    private record Result(
            double perSecond,
            double p50Micros,
            double p99Micros,
            double cpuMicros,
            int connections,
            double memoryMb,
            long bad) {}

    Http2Bench() throws IOException {
        folder = Files.createTempDirectory("bench");
    }

    void run() throws Exception {
        for (int clients : new int[] {1, 64}) {
            List<Result> direct = new ArrayList<>();
            List<Result> http1 = new ArrayList<>();
            List<Result> http2 = new ArrayList<>();
            for (int i = 0; i < ROUNDS; i++) {
                direct.add(measure(null, Protocol.HTTP1, clients));
                http1.add(measure("http1", Protocol.HTTP1, clients));
                http2.add(measure("http2", Protocol.HTTP2, clients));
            }
            print("direct", clients, direct, direct, http1);
            print("http1", clients, http1, direct, http1);
            print("http2", clients, http2, direct, http1);
        }
    }

    private static double mean(List<Result> results, ToDoubleFunction<Result> of) {
        return results.stream().mapToDouble(of).average().orElse(0);
    }

    private static void print(String variant, int clients, List<Result> of, List<Result> direct, List<Result> http1) {
        double cpuMicros = mean(of, Result::cpuMicros);
        System.out.printf(
                "bench http2: way=%s clients=%d per_s=%.0f per_s_core=%.0f p50_us=%.0f p99_us=%.0f "
                        + "added_p50_us=%.0f added_p99_us=%.0f cpu_us=%.1f cpu_to_http1=%.2f connections=%.0f "
                        + "connections_to_http1=%.2f memory_mb=%.1f bad=%.0f%n",
                variant,
                clients,
                mean(of, Result::perSecond),
                cpuMicros == 0 ? 0 : 1e6 / cpuMicros,
                mean(of, Result::p50Micros),
                mean(of, Result::p99Micros),
                mean(of, Result::p50Micros) - mean(direct, Result::p50Micros),
                mean(of, Result::p99Micros) - mean(direct, Result::p99Micros),
                cpuMicros,
                cpuMicros / mean(http1, Result::cpuMicros),
                mean(of, Result::connections),
                mean(of, Result::connections) / mean(http1, Result::connections),
                mean(of, Result::memoryMb),
                mean(of, Result::bad));
    }

    private Result measure(String variant, Protocol protocol, int clients) throws Exception {
        ExecutionLedger ledger = new ExecutionLedger(0, 0);
        IdempotencyKeyStore keyStore = new IdempotencyKeyStore();
        List<StandinServer> servers = new ArrayList<>();
        EventLoop[] loops = {group.next(), group.next(), group.next()};
        Process sidecar = null;
        try {
            for (int i = 0; i < SERVERS; i++) {
                servers.add(new StandinServer(
                        loops[i % 2],
                        local(0),
                        StandinServer.Setup.of(
                                "s" + i, "a", protocol, FaultScript.withoutFaults(0), ledger, keyStore)));
            }
            List<InetSocketAddress> addresses =
                    servers.stream().map(StandinServer::address).toList();
            if (variant != null) {
                InetSocketAddress sidecarAddress = local(freePort());
                sidecar = start(variant, sidecarAddress, servers);
                addresses = List.of(sidecarAddress);
            }
            try (ClosedLoopLoad load = new ClosedLoopLoad(loops[2], addresses, clients)) {
                load.run(WARM_UP_MS / 2, WARM_UP_MS / 2);
            }
            double before = sidecar == null ? 0 : cpuSeconds(sidecar);
            try (ClosedLoopLoad load = new ClosedLoopLoad(loops[2], addresses, clients)) {
                load.run(0, MEASURED_MS);
                double usedSeconds = sidecar == null ? 0 : cpuSeconds(sidecar) - before;
                int held = servers.stream().mapToInt(StandinServer::connections).sum();
                return new Result(
                        load.succeeded() * 1e3 / MEASURED_MS,
                        load.latency().getValueAtPercentile(50) / 1e3,
                        load.latency().getValueAtPercentile(99) / 1e3,
                        usedSeconds * 1e6 / load.succeeded(),
                        held,
                        sidecar == null ? 0 : memoryMb(sidecar),
                        load.failed());
            }
        } finally {
            if (sidecar != null) {
                sidecar.destroyForcibly().waitFor();
            }
            servers.forEach(StandinServer::close);
        }
    }

    private static InetSocketAddress local(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /** Starts a sidecar with the command of the deploy file and its own settings; waits until it is ready. */
    private Process start(String protocol, InetSocketAddress sidecarAddress, List<StandinServer> servers)
            throws Exception {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        Path settings =
                Files.writeString(folder.resolve("bankflow.toml"), "[upstreams]\nprotocol = \"" + protocol + "\"\n");
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')) + " --settings " + settings;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        builder.environment()
                .put(
                        "PROXY_CONFIG",
                        Files.writeString(folder.resolve("config.json"), config(sidecarAddress, servers))
                                .toString());
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log-" + protocol).toFile())
                .start();
        URI readyUri = URI.create("http://127.0.0.1:" + sidecarAddress.getPort() + "/up");
        for (int i = 0; i < 400; i++) {
            try {
                if (((HttpURLConnection) readyUri.toURL().openConnection()).getResponseCode() == 200) {
                    return process;
                }
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw e;
                }
            }
            Thread.sleep(50);
        }
        throw new IOException("sidecar not ready after 20 s");
    }

    private static String config(InetSocketAddress sidecarAddress, List<StandinServer> servers) throws IOException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode root = (ObjectNode)
                json.readTree(
                        """
                {"name":"bench","discovery":"127.0.0.1:1","seed":"1",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"rev":1,"all":true,"targets":[]},
                 "settings":{"discovery":"automatic","quantum":1000000,"rank":0,"replicasOfMe":1,
                  "zones":["a"],"kinds":["m"],"report":{"fields":[]},
                  "caps":{"mayCancel":true,"tryLimit":3,"connectTimeout":500000000,"connIdle":10000000000},
                  "parties":[{"name":"acme","portion":1.0,"quotaRps":100000}],
                  "rules":{"answerSlack":20000000,"stopSendingWithin":2000000000,"coldShare":0.39,
                   "rampTime":7400000000,"overloadFactor":4.0,"tipAfter":1500000000},
                  "profiles":[{"name":"order-confirm","slo":500000000,"deadline":2000000000,
                   "semantics":"by_key","keyScope":"all","keyTtl":7500000000}]}}""");
        root.put("listen", "127.0.0.1:" + sidecarAddress.getPort());
        ArrayNode targets = root.withObject("/known").withArray("/targets");
        for (StandinServer server : servers) {
            targets.addObject()
                    .put("uid", server.name())
                    .put("endpoint", "127.0.0.1:" + server.address().getPort())
                    .put("az", "a")
                    .put("model", "m")
                    .put("pod_group", 1)
                    .put("state", "SERVING")
                    .put("capacity_hint", 1.0)
                    .put("boot_ms", 0);
        }
        return root.toString();
    }

    /** CPU time of a process in seconds, from /proc. */
    private static double cpuSeconds(Process process) throws IOException {
        String[] fields = Files.readString(Path.of("/proc/" + process.pid() + "/stat"))
                .split("\\) ")[1]
                .split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_SECOND;
    }

    /** Resident memory of a process in MB, from /proc. */
    private static double memoryMb(Process process) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmRSS:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                        .findFirst()
                        .orElse(0)
                / 1024.0;
    }
}
