package pondridge.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import pondridge.Options;
import pondridge.core.Json;
import pondridge.demo.Child;

/**
 * A real sidecar as a process of the shipped program. It follows the list as the platform's discovery has it.
 */
final class ProcessSidecar implements RealSidecar {
    private static final int SOCKETS = 1_024;
    private static final long LIMIT = 30_000_000_000L;
    private static final long PAUSE = 20_000_000;
    private static final int READ_MS = 1_000;
    private final Child child;
    private final InetSocketAddress door;

    /**
     * Starts one; {@link #awaitUp} waits until it takes requests.
     *
     * @param folder where its configuration goes
     */
    ProcessSidecar(String name, Path folder, Options options, long seed, InetSocketAddress discovery)
            throws IOException {
        // It can't say which port it has drawn, so a free one is drawn for it.
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            door = (InetSocketAddress) any.getLocalSocketAddress();
        }
        ObjectNode config = Json.MAPPER
                .createObjectNode()
                .put("name", name)
                .put("listen", "127.0.0.1:" + door.getPort())
                .put("discovery", "127.0.0.1:" + discovery.getPort())
                .put("seed", Long.toHexString(seed));
        config.putObject("limits").put("sockets", SOCKETS);
        ObjectNode settings = config.putObject("settings");
        options.lines().forEach(settings::put);
        Path file = Files.writeString(folder.resolve(name + ".json"), config.toString());
        child = Child.start(
                name, "pondridge.sidecar.Main", List.of(), Map.of("PROXY_CONFIG", file.toString()), line -> {});
    }

    /** Waits until it says that it is up. */
    void awaitUp() throws IOException {
        long until = System.nanoTime() + LIMIT;
        while (!up()) {
            if (!child.handle().isAlive() || System.nanoTime() - until > 0) {
                throw new IOException(child.name()
                        + (child.handle().isAlive() ? " is not up after 30 s" : " has ended before it was up"));
            }
            LockSupport.parkNanos(PAUSE);
        }
    }

    private boolean up() {
        try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
            socket.setSoTimeout(READ_MS);
            socket.getOutputStream()
                    .write("GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            return line != null && line.startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills it, however the run ends. */
    void kill() {
        child.handle().destroyForcibly();
    }

    @Override
    public InetSocketAddress door() {
        return door;
    }

    @Override
    public long cpuNanos() {
        return child.cpuNanos();
    }

    @Override
    public long residentKb() {
        try {
            return Files.readAllLines(
                            Path.of("/proc", Long.toString(child.handle().pid()), "status"))
                    .stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() {
        child.close();
    }
}
