package pondridge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pondridge.Balancer.UpstreamState;
import pondridge.demo.Certificates;
import pondridge.demo.SiteTestbed;
import pondridge.demo.StandinOptions;
import pondridge.http1.StubServer;
import pondridge.http2.TransportHarness;
import pondridge.rig.Fleet;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;
import pondridge.standin.ExecutionLedger.Verdict;

/** Tests that only gateways with trusted certificates can use a link. */
class LinkSecurityTest {
    private static final long MS = 1_000_000;
    private static final int CLIENT_TIMEOUT_MS = 3_000;

    @TempDir
    private Path folder;

    private static SiteTestbed sites(Function<String, String> security) throws IOException {
        return new SiteTestbed(
                new SiteTestbed.TestbedConfig(List.of("a", "b"), 2, 1, 5 * MS, 5 * MS, MS, ""),
                StandinOptions.withDeadline(CLIENT_TIMEOUT_MS),
                1,
                security);
    }

    private static Verdict load(SiteTestbed sites, int requests) throws Exception {
        sites.site("a").publishState(UpstreamState.DRAINING);
        sites.load("a", requests)
                .start(Fleet.mixedPlan(requests, 100, CLIENT_TIMEOUT_MS))
                .get(Fleet.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        Verdict verdict = sites.ledger().verdict();
        assertTrue(verdict.passed(), verdict::toString);
        return verdict;
    }

    private interface CertificateSettings {
        String site(String name) throws IOException;
    }

    private static Function<String, String> toFunction(CertificateSettings certificateSettings) {
        return name -> {
            try {
                return certificateSettings.site(name);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        };
    }

    /**
     * With valid certificates at both ends requests are served; other connections get no HTTP response and do
     * not affect the link.
     */
    @Test
    void onlyValidCertificatesAreAccepted() throws Exception {
        Certificates certificates = new Certificates(folder);
        try (SiteTestbed sites = sites(toFunction(certificates::issue))) {
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 1, "the link");
            InetSocketAddress address = sites.site("b").links().get(0).address();
            for (String input :
                    List.of("GET / HTTP/1.1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\u0016\u0003\u0001x")) {
                try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS));
                    StubServer.write(socket, input);
                    socket.shutdownOutput();
                    String response = new String(socket.getInputStream().readAllBytes());
                    assertTrue(!response.contains("HTTP"), "expected no HTTP response: " + response);
                } catch (IOException e) {
                    // A reset counts as closed.
                    assertTrue(e.getMessage() != null);
                }
            }
            Verdict verdict = load(sites, 100);
            assertTrue(verdict.served() > 60, verdict::toString);
        }
    }

    /**
     * With a certificate that is expired, of another site or of a foreign authority no request gets through,
     * and no server has run any.
     */
    @Test
    void invalidCertificatesAreRejected() throws Exception {
        Path foreign = Files.createDirectory(folder.resolve("foreign"));
        Certificates certificates = new Certificates(folder);
        Certificates foreignCertificates = new Certificates(foreign);
        Instant later = Instant.now().plus(1, ChronoUnit.DAYS);
        List<CertificateSettings> invalidSettings = List.of(
                name -> certificates.issue(name, name, Instant.now().minus(1, ChronoUnit.HOURS)),
                name -> certificates.issue(name, name.equals("a") ? "c" : "b", later),
                name -> certificates.issue(name, name.equals("b") ? "c" : "a", later),
                name -> name.equals("a") ? foreignCertificates.issue(name) : certificates.issue(name));
        for (CertificateSettings certificateSettings : invalidSettings) {
            try (SiteTestbed sites = sites(toFunction(certificateSettings))) {
                Verdict verdict = load(sites, 40);
                assertEquals(40, verdict.refused(), verdict::toString);
                assertEquals(0, sites.site("b").count("by_link"));
                assertEquals(
                        0,
                        sites.site("b").servers().stream()
                                .mapToInt(each -> each.executions())
                                .sum());
            }
        }
    }

    /**
     * Certificate files change while gateways run. Malformed files and a key of another certificate change
     * nothing. Certificates of a new authority are loaded and replace the old ones.
     */
    @Test
    void certificatesAreReloadedAtRuntime() throws Exception {
        Certificates first = new Certificates(folder);
        try (SiteTestbed sites =
                sites(name -> "look = \"20ms\"\n" + toFunction(first::issue).apply(name))) {
            TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 1, "the link");
            byte[] key = Files.readAllBytes(folder.resolve("a.key"));
            Files.writeString(folder.resolve("a.key"), Files.readString(folder.resolve("b.key")));
            Files.writeString(folder.resolve("b.pem"), "nonsense");
            TransportHarness.waitUntil(
                    () -> sites.site("a").count("certificates_refused") > 0
                            && sites.site("b").count("certificates_refused") > 0,
                    "both gateways have checked the files");
            sites.site("b").links().get(0).reset();
            Verdict before = load(sites, 60);
            assertTrue(before.served() > 30, "the old certificates remain in use: " + before);
            Files.write(folder.resolve("a.key"), key);
            Certificates second = new Certificates(folder);
            second.issue("a");
            second.issue("b");
            TransportHarness.waitUntil(
                    () -> sites.site("a").count("certificates_taken") > 0
                            && sites.site("b").count("certificates_taken") > 0,
                    "both have loaded the new certificates");
            sites.site("b").links().get(0).reset();
            TransportHarness.waitUntil(
                    () -> sites.site("a").count("links_up") == 1, "the link, with the new certificates");
            Verdict after = load(sites, 61);
            assertTrue(after.served() > before.served() + 30, after::toString);
        }
    }

    /** A settings error names file and key and the expected value; plain text is allowed on loopback only. */
    @Test
    void settingsErrorsNameTheirKey() {
        String valid = "[gateway]\nsite = \"a\"\nplatform = \"p\"\n[link]\nlisten = \"127.0.0.1:1\"\n"
                + "security = \"plain\"\n";
        GatewaySettings.of(SettingsFile.parse("x", valid), folder);
        List.of(
                        List.of(valid.replace("site = \"a\"\n", ""), "gateway.site"),
                        List.of(valid.replace("127.0.0.1", "10.0.0.1"), "loopback"),
                        List.of(valid.replace("security = \"plain\"\n", ""), "link.certificate"),
                        List.of(valid.replace("127.0.0.1:1", "somewhere"), "link.listen"),
                        List.of(valid + "[sites.a]\ngateways = [\"127.0.0.1:2\"]", "sites.a.gateways"),
                        List.of(valid + "[sites.b]\ngateways = []", "sites.b.gateways"),
                        List.of(valid + "[sites.b]\ngateways = [\"127.0.0.1:2\"]\nweight = 1", "sites.b.weight"),
                        List.of(valid + "freshness = \"60ms\"", "link.freshness"),
                        List.of(valid + "[crossing]\nshare = 2.0", "crossing.share"))
                .forEach(each -> {
                    SettingsException thrown = assertThrows(
                            SettingsException.class,
                            () -> {
                                SettingsFile file = SettingsFile.parse("x", each.get(0));
                                GatewaySettings.of(file, folder);
                                file.rejectUnknownKeys();
                            },
                            each.get(1));
                    assertTrue(thrown.getMessage().contains(each.get(1)), thrown.getMessage());
                });
    }
}
