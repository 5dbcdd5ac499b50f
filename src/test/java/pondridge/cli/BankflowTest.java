package pondridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line: an error is reported on one line that names its cause, with exit status 2. */
class BankflowTest {
    @TempDir
    private Path folder;

    private static String errors(int status, String... args) {
        PrintStream before = System.err;
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            assertEquals(status, Bankflow.run(args));
        } finally {
            System.setErr(before);
        }
        return errors.toString(StandardCharsets.UTF_8);
    }

    @Test
    void acceptsShippedSettings() {
        assertEquals("", errors(0, "check", "deploy/bankflow.toml"));
        assertEquals("", errors(0, "check", "deploy/gateway.toml"));
        assertEquals("", errors(0, "check", "deploy/control.toml"));
    }

    @Test
    void settingsErrorsNameTheKey() throws Exception {
        Map<String, String> invalidSettings = new LinkedHashMap<>(Map.of(
                "[http2]\nstream_wait = 50", "http2.stream_wait: expected a time with its unit",
                "[http2]\nstream_wait = \"50\"", "http2.stream_wait: expected a time with its unit",
                "[http2]\nstream_wait = \"1MiB\"", "http2.stream_wait: expected a time with its unit",
                "[http2]\nwaiting = -1", "http2.waiting: expected a whole number from 0",
                "[http2]\nwating = 1", "http2.wating: unknown key",
                "[http3]\nx = 1", "http3: unknown section"));
        invalidSettings.putAll(Map.of(
                "[upstreams]\nprotocol = \"spdy\"",
                "upstreams.protocol: expected one of http1, http2, auto, grpc",
                "[http2]\nconnections = 2",
                "http2.connections: fewer than connections_per_server",
                "http2 = 3",
                "http2: expected a section",
                "[upstreams]\nprotocol = \"grpc\"",
                "upstreams.protocol: grpc needs [grpc] and methods",
                "[store]\naddress = \"there\"",
                "store.address: expected an address and a port",
                "[store]\nslot = \"1s\"",
                "store.slot: less than 5/4 of period",
                "[store]\nsecurity = \"tls\"\nauthorities = \"none.pem\"",
                "store.authorities: can't be used",
                "[http2",
                "not TOML: line 1"));
        for (Map.Entry<String, String> each : invalidSettings.entrySet()) {
            Path file = Files.writeString(folder.resolve("x.toml"), each.getKey());
            String error = errors(2, "check", file.toString());
            assertTrue(error.startsWith(file + ": " + each.getValue()), error);
            assertEquals(1, error.lines().count(), error);
        }
        for (String[] each : new String[][] {
            {"listen = \"0.0.0.0:1\"\nsecurity = \"plain\"", "grpc.security: plain"},
            {"listen = \"127.0.0.1:1\"", "grpc.certificate: expected a text"},
            {"declines = [\"BUSY\"]", "grpc.declines: no status code of gRPC: BUSY"},
            {"tenant = \"grpc-x\"", "grpc.tenant: expected a name of text metadata"},
            {"[grpc_methods.m]\npath = \"a/b\"\nclass = \"c\"\nuri = \"/api\"", "grpc_methods.m.path: expected"}
        }) {
            Path file = Files.writeString(folder.resolve("x.toml"), "[grpc]\n" + each[0]);
            String error = errors(2, "check", file.toString());
            assertTrue(error.startsWith(file + ": " + each[1]), error);
        }
        assertTrue(errors(2, "check", folder.resolve("none").toString()).contains("can't be read"));
    }

    @Test
    void gatewaySettingsMustMatchThePlatformFile() throws Exception {
        Path file = Files.writeString(
                folder.resolve("g.toml"),
                "[gateway]\nsite = \"a\"\n"
                        + "platform = \"none.json\"\n[link]\nlisten = \"127.0.0.1:0\"\nsecurity = \"plain\"\n");
        for (String[] command : new String[][] {{"check", file.toString()}, {"gateway", "--config", file.toString()}}) {
            assertTrue(errors(2, command).contains("none.json"), command[0]);
        }
        Files.writeString(
                file,
                "[gateway]\nsite = \"a\"\nplatform = \""
                        + Path.of("deploy/rehearsal.json").toAbsolutePath() + "\"\n[link]\nlisten = \"127.0.0.1:0\"\n"
                        + "security = \"plain\"\n[crossing_classes.order-confrim]\nshare = 0.5\n");
        String error = errors(2, "check", file.toString());
        assertTrue(error.contains("crossing_classes.order-confrim: the platform's file has no such class"), error);
        Files.writeString(
                file,
                "[gateway]\nsite = \"ebene\"\nplatform = \""
                        + Path.of("deploy/rehearsal.json").toAbsolutePath() + "\"\n[link]\nlisten = \"127.0.0.1:0\"\n"
                        + "security = \"plain\"\n" + Files.readString(Path.of("deploy/site-plan.toml")));
        error = errors(2, "check", file.toString());
        assertTrue(error.contains("site_plan.classes: the platform's file has the class rehearsal"), error);
        Files.writeString(file, Files.readString(file).replace("\"ebene\"", "\"elsewhere\""));
        error = errors(2, "check", file.toString());
        assertTrue(error.contains("site_plan.sites: expected elsewhere and all of [sites]"), error);
        assertTrue(errors(2, "demo", "--seconds", "1").contains("--seconds: expected 3 to 600, found 1"));
    }

    @Test
    void standinsListenOnLoopbackOnly() {
        assertTrue(errors(2, "standin", "server", "--protocol", "http2", "--listen", "192.0.2.1:80")
                .contains("expected a loopback address"));
        assertTrue(errors(2, "standin", "server", "--protocol", "spdy", "--listen", "127.0.0.1:0")
                .contains("expected http1, http2 or grpc"));
        assertTrue(errors(2, "standin", "server", "--protocol", "http2", "--listen", "127.0.0.1:0", "--fault", "sulk=1")
                .contains("unknown fault: sulk"));
        assertEquals(
                "", errors(0, "standin", "server", "--protocol", "http2", "--listen", "127.0.0.1:0", "--for-s", "0"));
    }

    /** Exit status 1 if requests of the highest-utility classes would be refused, as with two of three sites lost. */
    @Test
    void siteLossExitStatusShowsWhetherTopClassesFit() {
        String plan = "deploy/site-plan.toml";
        assertEquals("", errors(0, "plan", "site-loss", "--config", plan, "--lost", "ebene"));
        assertEquals("", errors(1, "plan", "site-loss", "--config", plan));
        assertTrue(errors(2, "plan", "site-loss", "--config", plan, "--lost", "nowhere")
                .contains("no such site: nowhere; there are ebene"));
    }
}
