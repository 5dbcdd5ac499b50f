package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pondridge.http1.StubServer;

/** Two gateway processes, started by the command line from the packaged jar. */
class GatewayIT {
    @TempDir
    private Path directory;

    private final List<Process> processes = new ArrayList<>();

    @AfterEach
    void killProcesses() {
        processes.forEach(Process::destroyForcibly);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) any.getLocalSocketAddress();
        }
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private Process start(
            String site,
            ObjectNode platformConfig,
            InetSocketAddress frontendAddress,
            InetSocketAddress linkAddress,
            String otherSite,
            InetSocketAddress otherLinkAddress)
            throws IOException {
        Files.writeString(
                directory.resolve(site + ".json"),
                platformConfig.put("listen", text(frontendAddress)).toString());
        Path file = Files.writeString(
                directory.resolve(site + ".toml"),
                "[gateway]\nsite = \"" + site
                        + "\"\nplatform = \"" + site + ".json\"\n[link]\nlisten = \"" + text(linkAddress)
                        + "\"\nsecurity = \"plain\"\n[sites." + otherSite + "]\ngateways = [\"" + text(otherLinkAddress)
                        + "\"]\n");
        Process process = new ProcessBuilder("bin/bankflow", "gateway", "--config", file.toString())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        processes.add(process);
        return process;
    }

    /** Sends requests until a response has this status: links take time to open and to be detected as closed. */
    private static String awaitStatus(int status, InetSocketAddress frontendAddress) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        for (int i = 0; System.nanoTime() - deadline < 0; i++) {
            try (SidecarFixture.Client client = new SidecarFixture.Client(frontendAddress)) {
                String request = SidecarFixture.safeRequest("x" + i)
                        .replace(Integer.toString(SidecarFixture.CLIENT_TIMEOUT_MS), "2000");
                SidecarFixture.Response response = client.exchange(request);
                if (response.status() == status) {
                    return response.body();
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(20);
        }
        throw new AssertionError("no response with status " + status);
    }

    @Test
    void aSiteWithoutServersIsServedByAnotherSiteAndShutsDownCleanly() throws Exception {
        try (StubServer server = StubServer.serving("y")) {
            InetSocketAddress frontendAddressA = freeAddress();
            InetSocketAddress frontendAddressB = freeAddress();
            InetSocketAddress linkAddressA = freeAddress();
            InetSocketAddress linkAddressB = freeAddress();
            Process a = start("a", SidecarFixture.config(), frontendAddressA, linkAddressA, "b", linkAddressB);
            Process b = start("b", SidecarFixture.config(server), frontendAddressB, linkAddressB, "a", linkAddressA);
            assertEquals("y", awaitStatus(200, frontendAddressA), "served by the other site");
            assertEquals("y", awaitStatus(200, frontendAddressB), "served by the site's own server");
            b.destroyForcibly();
            awaitStatus(503, frontendAddressA);
            a.destroy();
            assertTrue(a.waitFor(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS), "still running");
            assertEquals(0, a.exitValue());
        }
    }
}
