package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pondridge.grpc.GrpcFrontendFixture;
import pondridge.http1.StubServer;
import pondridge.standin.DiscoveryStandin;
import pondridge.standin.DiscoveryStandin.Entry;

/** Both programs, started from the packaged jar by the commands of the deploy file. */
class DeployCommandIT {
    private static final int MAX_DESCRIPTORS = 128;
    private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

    @TempDir
    private Path directory;

    private Process process;
    /** Shell commands that run before the command. */
    private String shellPrefix = "";

    @AfterEach
    void killProcess() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void start(String key, ObjectNode config, String... arguments) throws IOException {
        String command = DeployedProcess.command(key) + String.join("", arguments);
        Path file = write(config.toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", shellPrefix + command);
        builder.environment().put("PROXY_CONFIG", file.toString());
        process = builder.start();
    }

    private Path write(String config) throws IOException {
        return Files.writeString(directory.resolve("config.json"), config);
    }

    /** Sends SIGHUP to the program: the shell that started it was replaced by exec. */
    private void sendSighup() throws Exception {
        sendSignal("-HUP");
    }

    private void sendSignal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private int awaitExit() throws InterruptedException {
        assertTrue(process.waitFor(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS), "still running");
        return process.exitValue();
    }

    private void awaitUp(InetSocketAddress address) throws Exception {
        while (true) {
            try (SidecarFixture.Client client = new SidecarFixture.Client(address)) {
                if (client.exchange(UP).status() == 200) {
                    return;
                }
            } catch (ConnectException e) {
                assertTrue(process.isAlive(), "exited before it listened");
            }
            Thread.sleep(20);
        }
    }

    @Test
    void simExitsAtTheEndOfItsInput() throws Exception {
        start("sim", SidecarFixture.config());
        process.getOutputStream().close();
        assertEquals(0, awaitExit());
    }

    /** At SIGTERM open requests get responses, new connections are still accepted, and the process exits by itself. */
    @Test
    void runServesAndShutsDownGracefullyAtSigterm() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
            return StubServer.await(go) && StubServer.reply(socket, "200 OK", "", "held");
        })) {
            InetSocketAddress address = DeployedProcess.freeAddress();
            start("run", SidecarFixture.config(upstream).put("listen", "127.0.0.1:" + address.getPort()));
            awaitUp(address);
            try (SidecarFixture.Client client = new SidecarFixture.Client(address);
                    SidecarFixture.Client other = new SidecarFixture.Client(address)) {
                StubServer.write(client.socket, SidecarFixture.safeRequest("a"));
                StubServer.awaitNext(upstream.requestHeads);
                assertEquals(200, other.exchange(UP).status());
                process.destroy();
                // Shutdown has started once /up responds with an error on an existing connection, or closes it.
                int up = 200;
                while (up == 200) {
                    try {
                        up = other.exchange(UP).status();
                    } catch (IOException e) {
                        up = 0;
                    }
                }
                go.countDown();
                assertEquals("held", client.readResponse().body());
            }
            assertEquals(0, awaitExit());
        }
    }

    /** At most 3 s of a deadline count at shutdown: a request with 20 s left still gets a response before SIGKILL. */
    @Test
    void aLongDeadlineIsShortenedAtSigterm() throws Exception {
        try (StubServer hung = new StubServer((socket, head) -> true)) {
            InetSocketAddress address = DeployedProcess.freeAddress();
            start("run", SidecarFixture.config(hung).put("listen", "127.0.0.1:" + address.getPort()));
            awaitUp(address);
            try (SidecarFixture.Client client = new SidecarFixture.Client(address)) {
                StubServer.write(client.socket, SidecarFixture.safeRequest("a"));
                StubServer.awaitNext(hung.requestHeads);
                process.destroy();
                long sigtermNanos = System.nanoTime();
                assertEquals(503, client.readResponse().status());
                assertTrue(System.nanoTime() - sigtermNanos < 12_000_000_000L, "before its deadline");
            }
            assertEquals(0, awaitExit());
        }
    }

    /** With the settings for it {@code run} also serves gRPC; without them it does not. */
    @Test
    void aSecondaryFrontendServesGrpc() throws Exception {
        InetSocketAddress address = DeployedProcess.freeAddress();
        InetSocketAddress grpc = DeployedProcess.freeAddress();
        Path file = Files.writeString(
                directory.resolve("settings.toml"),
                "[grpc]\nsecurity = \"plain\"\nlisten = " + "\"127.0.0.1:" + grpc.getPort() + "\"\n");
        start("run", SidecarFixture.config().put("listen", "127.0.0.1:" + address.getPort()), " --settings " + file);
        awaitUp(address);
        assertTrue(GrpcFrontendFixture.isServing(grpc));
        process.destroy();
        assertEquals(0, awaitExit());
    }

    /** The JVM exits at SIGHUP by default; here each one applies the file's discovery address while running. */
    @Test
    void sighupReloadsTheDiscoveryAddressAndAnInvalidFileChangesNothing() throws Exception {
        try (StubServer upstream = StubServer.serving("x");
                StubServer first = new StubServer((socket, head) -> true);
                StubServer second = new StubServer((socket, head) -> true);
                StubServer third = new StubServer((socket, head) -> true)) {
            InetSocketAddress address = DeployedProcess.freeAddress();
            ObjectNode json = SidecarFixture.config(upstream)
                    .put("listen", "127.0.0.1:" + address.getPort())
                    .put("discovery", first.endpoint());
            json.withObject("/settings").put("discovery", "subscribe");
            start("run", json);
            awaitUp(address);
            StubServer.awaitNext(first.requestHeads);
            write(json.put("discovery", second.endpoint()).toString());
            sendSighup();
            assertTrue(StubServer.awaitNext(second.requestHeads).contains("watch=1"));
            StubServer.awaitNext(first.closedConnections);
            write("{\"listen\":");
            sendSighup();
            BufferedReader log = process.errorReader();
            String line = log.readLine();
            while (!line.contains("new configuration rejected")) {
                line = log.readLine();
            }
            write(json.put("discovery", third.endpoint()).toString());
            sendSighup();
            assertTrue(StubServer.awaitNext(third.requestHeads).contains("watch=1"));
            try (SidecarFixture.Client client = new SidecarFixture.Client(address)) {
                assertEquals(
                        200, client.exchange(SidecarFixture.safeRequest("a")).status());
            }
            assertEquals(0, second.requestHeads.size(), "an invalid file causes no new call");
        }
    }

    /** Under nohup the JVM does not handle the signal; the log must show the sender why nothing happens. */
    @Test
    void anIgnoredSighupIsReportedAtStartup() throws Exception {
        try (StubServer upstream = StubServer.serving("x")) {
            InetSocketAddress address = DeployedProcess.freeAddress();
            shellPrefix = "trap '' HUP; ";
            start("run", SidecarFixture.config(upstream).put("listen", "127.0.0.1:" + address.getPort()));
            awaitUp(address);
            BufferedReader log = process.errorReader();
            String line = log.readLine();
            while (!line.contains("SIGHUP was ignored")) {
                assertFalse(line.contains("ready at"), "reported before the process is ready");
                line = log.readLine();
            }
            sendSighup();
            try (SidecarFixture.Client client = new SidecarFixture.Client(address)) {
                assertEquals(
                        200, client.exchange(SidecarFixture.safeRequest("a")).status());
            }
        }
    }

    /** Idle clients that use every connection they get and reconnect at once when they are closed. */
    private static final class IdleClients implements AutoCloseable {
        private static final int COUNT = 300;
        private final Thread thread;
        private final CountDownLatch connected = new CountDownLatch(COUNT * 2);
        private volatile boolean closed;

        IdleClients(InetSocketAddress address) {
            thread = new Thread(() -> {
                SocketChannel[] connections = new SocketChannel[COUNT];
                ByteBuffer buffer = ByteBuffer.allocate(64);
                for (int i = 0; !closed; i = (i + 1) % COUNT) {
                    try {
                        if (connections[i] == null) {
                            connections[i] = SocketChannel.open(address);
                            connections[i].configureBlocking(false);
                            connected.countDown();
                        } else if (connections[i].read(buffer.clear()) < 0) {
                            connections[i].close();
                            connections[i] = null;
                        }
                    } catch (IOException e) {
                        connections[i] = null;
                    }
                }
                for (SocketChannel each : connections) {
                    try {
                        if (each != null) {
                            each.close();
                        }
                    } catch (IOException e) {
                        // Already closed.
                    }
                }
            });
            thread.start();
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    /** Sends requests until one is served. Its connection evicts an idle one, but may itself be closed unread. */
    private static void awaitServed(InetSocketAddress address, String id) {
        for (int i = 0; i < 20; i++) {
            try (SidecarFixture.Client client = new SidecarFixture.Client(address)) {
                if (client.exchange(SidecarFixture.safeRequest(id + "-" + i)).status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // Closed before it was read: try again.
            }
        }
        throw new AssertionError("not served: " + id);
    }

    private static void awaitServedBy(InetSocketAddress address, StubServer server) {
        server.requestHeads.clear();
        for (int i = 0; server.requestHeads.isEmpty(); i++) {
            assertTrue(i < 2000, "the server never got a request");
            awaitServed(address, "to-" + i);
        }
    }

    /** Idle clients use up their descriptors while discovery is down: all other uses still get theirs. */
    @Test
    void idleClientsDoNotExhaustFileDescriptors() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (StubServer one = StubServer.serving("x");
                StubServer two = StubServer.serving("x")) {
            InetSocketAddress address = DeployedProcess.freeAddress();
            InetSocketAddress discovery = DeployedProcess.freeAddress();
            ObjectNode json = SidecarFixture.config(one)
                    .put("listen", "127.0.0.1:" + address.getPort())
                    .put("discovery", "127.0.0.1:" + discovery.getPort());
            ((ObjectNode) json.get("limits")).put("sockets", MAX_DESCRIPTORS);
            shellPrefix = "ulimit -n " + MAX_DESCRIPTORS + "; ";
            start("run", json);
            awaitUp(address);
            try (IdleClients idleClients = new IdleClients(address)) {
                assertTrue(idleClients.connected.await(10, TimeUnit.SECONDS), "twice as many connections as clients");
                awaitServedBy(address, one);
                try (DiscoveryStandin recovered = new DiscoveryStandin(
                        group.next(),
                        discovery,
                        List.of(
                                new Entry("s-0", one.address(), "a", "DRAINING", 0),
                                new Entry("s-1", two.address(), "a", "SERVING", 0)))) {
                    assertEquals(discovery, recovered.address());
                    awaitServedBy(address, two);
                    one.requestHeads.clear();
                    for (int i = 0; i < 10; i++) {
                        awaitServed(address, "kept-" + i);
                    }
                    assertEquals(0, one.requestHeads.size(), "the draining server gets no new requests");
                    try (DiscoveryStandin newDiscovery = new DiscoveryStandin(
                            group.next(),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            List.of(new Entry("s-0", one.address(), "a", "SERVING", 0)))) {
                        write(json.put(
                                        "discovery",
                                        "127.0.0.1:" + newDiscovery.address().getPort())
                                .toString());
                        sendSighup();
                        awaitServedBy(address, one);
                    }
                }
            }
            // Process.destroy would close the stream with the process's output.
            sendSignal("-TERM");
            String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(0, awaitExit());
            assertFalse(err.contains("Too many open files"), err);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void invalidConfigurationExitsWithOneLineNamingTheKey() throws Exception {
        ObjectNode json = SidecarFixture.config();
        json.withObject("/settings/rules").remove("rampTime");
        start("run", json);
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, awaitExit());
        assertTrue(err.contains("rules.rampTime") && err.lines().count() == 1, err);
    }
}
