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
import java.net.ServerSocket;
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
import pondridge.grpc.GrpcProbe;
import pondridge.http1.Stub;
import pondridge.standin.DiscoveryStandin;
import pondridge.standin.DiscoveryStandin.Entry;

/** Both programs as the deploy file starts them, with the packaged jar. */
class DeployedIT {
    private static final int SOCKETS = 128;
    private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

    @TempDir
    private Path folder;

    private Process process;
    /** What goes before the command in its shell. */
    private String before = "";

    @AfterEach
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void start(String key, ObjectNode config, String... more) throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith(key + " = \""))
                .findFirst()
                .orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')) + String.join("", more);
        Path file = write(config.toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", before + command);
        builder.environment().put("PROXY_CONFIG", file.toString());
        process = builder.start();
    }

    private Path write(String config) throws IOException {
        return Files.writeString(folder.resolve("config.json"), config);
    }

    /** SIGHUP, to the program itself: the shell that started it has become it. */
    private void hangUp() throws Exception {
        signal("-HUP");
    }

    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private int exit() throws InterruptedException {
        assertTrue(process.waitFor(Stub.LIMIT_S, TimeUnit.SECONDS), "still running");
        return process.exitValue();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) any.getLocalSocketAddress();
        }
    }

    private void awaitUp(InetSocketAddress address) throws Exception {
        while (true) {
            try (Bed.Client client = new Bed.Client(address)) {
                if (client.ask(UP).status() == 200) {
                    return;
                }
            } catch (ConnectException e) {
                assertTrue(process.isAlive(), "ended before it listened");
            }
            Thread.sleep(20);
        }
    }

    @Test
    void simStartsAndEndsWithItsInput() throws Exception {
        start("sim", Bed.json());
        process.getOutputStream().close();
        assertEquals(0, exit());
    }

    /** At SIGTERM what is held is answered, new connections still get in, and the process ends by itself. */
    @Test
    void runServesAndEndsInOrderAtSigterm() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Stub upstream = new Stub((socket, head) -> {
            return Stub.await(go) && Stub.reply(socket, "200 OK", "", "held");
        })) {
            InetSocketAddress address = freeAddress();
            start("run", Bed.json(upstream).put("listen", "127.0.0.1:" + address.getPort()));
            awaitUp(address);
            try (Bed.Client client = new Bed.Client(address);
                    Bed.Client other = new Bed.Client(address)) {
                Stub.write(client.socket, Bed.look("a"));
                Stub.next(upstream.heads);
                assertEquals(200, other.ask(UP).status());
                process.destroy();
                // The end has begun once /up says no, or closes, on a connection that was there before.
                int up = 200;
                while (up == 200) {
                    try {
                        up = other.ask(UP).status();
                    } catch (IOException e) {
                        up = 0;
                    }
                }
                go.countDown();
                assertEquals("held", client.read().body());
            }
            assertEquals(0, exit());
        }
    }

    /** Of the longest deadline 3 s count: one of 20 s is answered before SIGKILL may come all the same. */
    @Test
    void aLongDeadlineIsCutShortAtSigterm() throws Exception {
        try (Stub hung = new Stub((socket, head) -> true)) {
            InetSocketAddress address = freeAddress();
            start("run", Bed.json(hung).put("listen", "127.0.0.1:" + address.getPort()));
            awaitUp(address);
            try (Bed.Client client = new Bed.Client(address)) {
                Stub.write(client.socket, Bed.look("a"));
                Stub.next(hung.heads);
                process.destroy();
                long told = System.nanoTime();
                assertEquals(503, client.read().status());
                assertTrue(System.nanoTime() - told < 12_000_000_000L, "not at its deadline");
            }
            assertEquals(0, exit());
        }
    }

    /** With settings that say so it speaks gRPC, too; without them {@code run} has nothing of it. */
    @Test
    void aSecondFrontSpeaksGrpc() throws Exception {
        InetSocketAddress address = freeAddress();
        InetSocketAddress grpc = freeAddress();
        Path file = Files.writeString(
                folder.resolve("settings.toml"),
                "[grpc]\nsecurity = \"plain\"\nlisten = " + "\"127.0.0.1:" + grpc.getPort() + "\"\n");
        start("run", Bed.json().put("listen", "127.0.0.1:" + address.getPort()), " --settings " + file);
        awaitUp(address);
        assertTrue(GrpcProbe.healthy(grpc));
        process.destroy();
        assertEquals(0, exit());
    }

    /** The JVM's own way with SIGHUP is to end: here each one brings the file's new discovery, under way. */
    @Test
    void sighupTakesTheNewDiscoveryAndABadFileChangesNothing() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Stub first = new Stub((socket, head) -> true);
                Stub second = new Stub((socket, head) -> true);
                Stub third = new Stub((socket, head) -> true)) {
            InetSocketAddress address = freeAddress();
            ObjectNode json = Bed.json(upstream)
                    .put("listen", "127.0.0.1:" + address.getPort())
                    .put("discovery", first.endpoint());
            json.withObject("/settings").put("discovery", "subscribe");
            start("run", json);
            awaitUp(address);
            Stub.next(first.heads);
            write(json.put("discovery", second.endpoint()).toString());
            hangUp();
            assertTrue(Stub.next(second.heads).contains("watch=1"));
            Stub.next(first.ended);
            write("{\"listen\":");
            hangUp();
            BufferedReader log = process.errorReader();
            String line = log.readLine();
            while (!line.contains("new configuration rejected")) {
                line = log.readLine();
            }
            write(json.put("discovery", third.endpoint()).toString());
            hangUp();
            assertTrue(Stub.next(third.heads).contains("watch=1"));
            try (Bed.Client client = new Bed.Client(address)) {
                assertEquals(200, client.ask(Bed.look("a")).status());
            }
            assertEquals(0, second.heads.size(), "a bad file starts nothing anew");
        }
    }

    /** As nohup has it: the JVM then leaves the signal alone, and who sends one must be able to see why. */
    @Test
    void aStartWithSighupIgnoredSaysSo() throws Exception {
        try (Stub upstream = Stub.serving("x")) {
            InetSocketAddress address = freeAddress();
            before = "trap '' HUP; ";
            start("run", Bed.json(upstream).put("listen", "127.0.0.1:" + address.getPort()));
            awaitUp(address);
            BufferedReader log = process.errorReader();
            String line = log.readLine();
            while (!line.contains("SIGHUP was ignored")) {
                assertFalse(line.contains("ready at"), "said before it is ready");
                line = log.readLine();
            }
            hangUp();
            try (Bed.Client client = new Bed.Client(address)) {
                assertEquals(200, client.ask(Bed.look("a")).status());
            }
        }
    }

    /** Idle clients that take all there is, and come again at once when they are ended. */
    private static final class Idlers implements AutoCloseable {
        private static final int COUNT = 300;
        private final Thread thread;
        private final CountDownLatch full = new CountDownLatch(COUNT * 2);
        private volatile boolean over;

        Idlers(InetSocketAddress address) {
            thread = new Thread(() -> {
                SocketChannel[] all = new SocketChannel[COUNT];
                ByteBuffer sink = ByteBuffer.allocate(64);
                for (int i = 0; !over; i = (i + 1) % COUNT) {
                    try {
                        if (all[i] == null) {
                            all[i] = SocketChannel.open(address);
                            all[i].configureBlocking(false);
                            full.countDown();
                        } else if (all[i].read(sink.clear()) < 0) {
                            all[i].close();
                            all[i] = null;
                        }
                    } catch (IOException e) {
                        all[i] = null;
                    }
                }
                for (SocketChannel each : all) {
                    try {
                        if (each != null) {
                            each.close();
                        }
                    } catch (IOException e) {
                        // It is gone already.
                    }
                }
            });
            thread.start();
        }

        @Override
        public void close() {
            over = true;
        }
    }

    /** Served in place of idle ones; a connection may be shut unread meanwhile. */
    private static void served(InetSocketAddress address, String id) {
        for (int i = 0; i < 20; i++) {
            try (Bed.Client client = new Bed.Client(address)) {
                if (client.ask(Bed.look(id + "-" + i)).status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // Shut unread: once more.
            }
        }
        throw new AssertionError("not served: " + id);
    }

    private static void served(InetSocketAddress address, Stub by) {
        by.heads.clear();
        for (int i = 0; by.heads.isEmpty(); i++) {
            assertTrue(i < 2000, "never asked");
            served(address, "to-" + i);
        }
    }

    /** Idle clients fill the descriptors while discovery is down: what else needs one still gets it. */
    @Test
    void idleClientsLeaveDescriptorsForAllElse() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Stub one = Stub.serving("x");
                Stub two = Stub.serving("x")) {
            InetSocketAddress address = freeAddress();
            InetSocketAddress discovery = freeAddress();
            ObjectNode json = Bed.json(one)
                    .put("listen", "127.0.0.1:" + address.getPort())
                    .put("discovery", "127.0.0.1:" + discovery.getPort());
            ((ObjectNode) json.get("limits")).put("sockets", SOCKETS);
            before = "ulimit -n " + SOCKETS + "; ";
            start("run", json);
            awaitUp(address);
            try (Idlers idlers = new Idlers(address)) {
                assertTrue(idlers.full.await(10, TimeUnit.SECONDS), "each has come twice");
                served(address, one);
                try (DiscoveryStandin back = new DiscoveryStandin(
                        group.next(),
                        discovery,
                        List.of(
                                new Entry("s-0", one.address(), "a", "DRAINING", 0),
                                new Entry("s-1", two.address(), "a", "SERVING", 0)))) {
                    assertEquals(discovery, back.address());
                    served(address, two);
                    one.heads.clear();
                    for (int i = 0; i < 10; i++) {
                        served(address, "kept-" + i);
                    }
                    assertEquals(0, one.heads.size(), "the drain is kept");
                    try (DiscoveryStandin other = new DiscoveryStandin(
                            group.next(),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            List.of(new Entry("s-0", one.address(), "a", "SERVING", 0)))) {
                        write(json.put(
                                        "discovery",
                                        "127.0.0.1:" + other.address().getPort())
                                .toString());
                        hangUp();
                        served(address, one);
                    }
                }
            }
            // Not destroyed: that would close what it has said.
            signal("-TERM");
            String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(0, exit());
            assertFalse(err.contains("Too many open files"), err);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void badConfigurationEndsWithOneLineNamingTheKey() throws Exception {
        ObjectNode json = Bed.json();
        json.withObject("/settings/rules").remove("rampTime");
        start("run", json);
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, exit());
        assertTrue(err.contains("rules.rampTime") && err.lines().count() == 1, err);
    }
}
