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
import pondridge.BalancerOptions;
import pondridge.core.Json;
import pondridge.demo.ChildProcess;

/**
 * A real sidecar as a separate process of the shipped program. It follows the list of the platform's discovery.
 */
final class ProcessSidecar implements RealSidecar {
    private static final int MAX_SOCKETS = 1_024;
    private static final long STARTUP_TIMEOUT_NANOS = 30_000_000_000L;
    private static final long POLL_INTERVAL_NANOS = 20_000_000;
    private static final int READ_TIMEOUT_MILLIS = 1_000;
    private final ChildProcess child;
    private final InetSocketAddress address;

    /**
     * Starts the process; {@link #awaitReady} waits until it accepts requests.
     *
     * @param configFolder folder for the configuration file
     */
    ProcessSidecar(String name, Path configFolder, BalancerOptions options, long seed, InetSocketAddress discovery)
            throws IOException {
        // The program can't report a port chosen by the system, so a free port is chosen here.
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) probe.getLocalSocketAddress();
        }
        ObjectNode config = Json.MAPPER
                .createObjectNode()
                .put("name", name)
                .put("listen", "127.0.0.1:" + address.getPort())
                .put("discovery", "127.0.0.1:" + discovery.getPort())
                .put("seed", Long.toHexString(seed));
        config.putObject("limits").put("sockets", MAX_SOCKETS);
        ObjectNode settings = config.putObject("settings");
        options.asMap().forEach(settings::put);
        Path file = Files.writeString(configFolder.resolve(name + ".json"), config.toString());
        child = ChildProcess.start(
                name, "pondridge.sidecar.Main", List.of(), Map.of("PROXY_CONFIG", file.toString()), line -> {});
    }

    /** Waits until the sidecar reports that it is ready. */
    void awaitReady() throws IOException {
        long deadline = System.nanoTime() + STARTUP_TIMEOUT_NANOS;
        while (!isReady()) {
            if (!child.handle().isAlive() || System.nanoTime() - deadline > 0) {
                throw new IOException(child.name()
                        + (child.handle().isAlive() ? " is not ready after 30 s" : " exited before it was ready"));
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private boolean isReady() {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write("GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            String statusLine = new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            return statusLine != null && statusLine.startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills the process. */
    void kill() {
        child.handle().destroyForcibly();
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public long cpuNanos() {
        return child.cpuNanos();
    }

    @Override
    public long residentKib() {
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
