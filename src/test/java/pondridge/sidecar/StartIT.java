package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pondridge.http1.Stub;

/**
 * Starts of the real program as processes, by the deploy file's {@code run}: the term is that nine in ten are
 * ready within 10 s, also where many start at once and discovery is no help.
 */
class StartIT {
    private static final int MANY = 20;
    /** In milliseconds. */
    private static final long TERM = 10_000;

    private static final int NEVER = 1_000_000;
    private static final long LATE_MS = 200;
    private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

    @TempDir
    private Path folder;

    private final List<Process> processes = new ArrayList<>();

    /** How long a start took, on the clock and of the processor, in milliseconds. */
    private record Start(long ready, long cpu) {}

    @AfterEach
    void end() throws InterruptedException {
        for (Process each : processes) {
            each.destroyForcibly();
        }
        for (Process each : processes) {
            each.waitFor();
        }
    }

    private static ServerSocket anyPort() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    /** One process; what it says goes into the file {@code N.log}. */
    private Process start(int number, ObjectNode config) throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith("run = \""))
                .findFirst()
                .orElseThrow();
        Path file = Files.writeString(folder.resolve(number + ".json"), config.toString());
        ProcessBuilder builder = new ProcessBuilder(
                        "/bin/sh", "-c", line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .redirectErrorStream(true)
                .redirectOutput(log(number).toFile());
        builder.environment().put("PROXY_CONFIG", file.toString());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private Path log(int number) {
        return folder.resolve(number + ".log");
    }

    private static boolean up(InetSocketAddress address) {
        try (Bed.Client client = new Bed.Client(address)) {
            return client.ask(UP).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static Start awaitUp(Process process, InetSocketAddress address, long began) {
        long limit = began + TimeUnit.SECONDS.toNanos(Stub.LIMIT_S);
        boolean up = up(address);
        while (!up && process.isAlive() && System.nanoTime() < limit) {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
            up = up(address);
        }
        long took = (System.nanoTime() - began) / 1_000_000;
        return new Start(
                up ? took : NEVER,
                process.info().totalCpuDuration().map(each -> each.toMillis()).orElse(-1L));
    }

    /** Half of them ask discovery, half have lists pushed; each knows four servers from before. */
    private void twentyAtOnce(String name, String discovery) throws Exception {
        Stub[] servers = {Stub.serving("x"), Stub.serving("x"), Stub.serving("x"), Stub.serving("x")};
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            held.add(anyPort());
        }
        ExecutorService watchers = Executors.newFixedThreadPool(MANY);
        List<CompletableFuture<Start>> starts = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            InetSocketAddress address = (InetSocketAddress) held.get(i).getLocalSocketAddress();
            held.get(i).close();
            ObjectNode json = Bed.json(servers)
                    .put("name", "n" + i)
                    .put("discovery", discovery)
                    .put("listen", "127.0.0.1:" + address.getPort());
            json.withObject("/settings").put("discovery", i % 2 == 0 ? "subscribe" : "automatic");
            long began = System.nanoTime();
            Process process = start(i, json);
            starts.add(CompletableFuture.supplyAsync(() -> awaitUp(process, address, began), watchers));
        }
        List<Start> ended = starts.stream().map(CompletableFuture::join).toList();
        watchers.shutdown();
        for (Stub each : servers) {
            each.close();
        }
        long[] ready = ended.stream().mapToLong(Start::ready).sorted().toArray();
        long[] cpu = ended.stream().mapToLong(Start::cpu).sorted().toArray();
        System.out.printf(
                "start: discovery=%s processes=%d ready_ms_median=%d ready_ms_nine_in_ten=%d "
                        + "ready_ms_worst=%d cpu_ms_median=%d cpu_ms_worst=%d%n",
                name, MANY, ready[MANY / 2], ready[MANY * 9 / 10 - 1], ready[MANY - 1], cpu[MANY / 2], cpu[MANY - 1]);
        assertTrue(ready[MANY * 9 / 10 - 1] <= TERM, Arrays.toString(ready));
        for (int i = 0; i < MANY; i++) {
            String said = Files.readString(log(i));
            assertFalse(said.contains("archive"), said);
        }
    }

    @Test
    void twentyAtOnceAreReadyWithDiscoveryDown() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket any = anyPort()) {
            nobody = (InetSocketAddress) any.getLocalSocketAddress();
        }
        twentyAtOnce("refuses", "127.0.0.1:" + nobody.getPort());
    }

    @Test
    void twentyAtOnceAreReadyWithASilentDiscovery() throws Exception {
        try (Stub silent = new Stub((socket, head) -> true)) {
            twentyAtOnce("silent", silent.endpoint());
            assertFalse(silent.heads.isEmpty(), "nobody asked");
        }
    }

    /** Discovery does one call after the other, and all of them ask. */
    @Test
    void twentyAtOnceAreReadyWithDiscoveryAskedByAll() throws Exception {
        Object turn = new Object();
        String list = Bed.list(42, true).toString();
        try (Stub busy = new Stub((socket, head) -> {
            synchronized (turn) {
                try {
                    Thread.sleep(LATE_MS);
                } catch (InterruptedException e) {
                    return false;
                }
            }
            return Stub.reply(socket, "200 OK", "", list);
        })) {
            twentyAtOnce("late", busy.endpoint());
            assertFalse(busy.heads.isEmpty(), "nobody asked");
        }
    }

    /** As after a restart: the process before ends by SIGKILL up to 3.7 s after it was told to. */
    @Test
    void aPortStillHeldIsTakenAsSoonAsItIsLetGo() throws Exception {
        ServerSocket before = anyPort();
        try (Stub discovery = new Stub((socket, head) -> true)) {
            InetSocketAddress address = (InetSocketAddress) before.getLocalSocketAddress();
            Process process = start(
                    0,
                    Bed.json().put("listen", "127.0.0.1:" + address.getPort()).put("discovery", discovery.endpoint()));
            // It asks in the same turn in which it first tries to listen.
            Stub.next(discovery.heads);
            Thread.sleep(500);
            assertTrue(process.isAlive(), "ended at once");
            before.close();
            long began = System.nanoTime();
            assertTrue(awaitUp(process, address, began).ready < NEVER, "never ready");
        } finally {
            before.close();
        }
    }

    @Test
    void aPortHeldForEverEndsTheStartWithOneLine() throws Exception {
        try (ServerSocket other = anyPort()) {
            Process process = start(0, Bed.json().put("listen", "127.0.0.1:" + other.getLocalPort()));
            assertTrue(process.waitFor(Stub.LIMIT_S, TimeUnit.SECONDS), "still running");
            assertEquals(1, process.exitValue());
            String said = Files.readString(log(0));
            assertEquals(1, said.lines().count(), said);
            assertTrue(said.startsWith("pondridge: listen: 127.0.0.1:" + other.getLocalPort() + ": "), said);
            assertTrue(said.trim().endsWith("in use"), said);
        }
    }
}
