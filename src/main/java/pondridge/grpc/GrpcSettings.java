package pondridge.grpc;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import javax.net.ssl.SSLException;
import pondridge.Balancer.Semantics;
import pondridge.Options;
import pondridge.settings.Section;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;

/**
 * What gRPC is set to; times in nanoseconds, sizes in bytes.
 *
 * @param file as messages name it
 * @param listen where gRPC clients come in; null for nowhere
 * @param tls of that; null for plain text, on loopback only
 * @param tenant metadata that names the tenant
 * @param key metadata that brings a keyed request's key
 * @param id metadata that brings a request's id; one is made where there is none
 * @param rules what servers' answers are taken for
 * @param methods by their names in the settings
 * @param connections that may be in
 * @param streams at a time on one of them
 * @param idle how long one may say nothing
 * @param transfer how long a request may take to come whole, and an answer to go
 * @param heldBytes of requests and answers that are held, one connection a quarter of it
 * @param headerBytes of one request's metadata
 * @param controlFrames frames a second that bring nothing, from one connection
 * @param age of a connection, after which it is asked to leave
 * @param grace how long it may stay then, for what is open on it
 */
public record GrpcSettings(
        String file,
        InetSocketAddress listen,
        SslContext tls,
        String tenant,
        String key,
        String id,
        Verdict.Rules rules,
        Map<String, Named> methods,
        int connections,
        int streams,
        long idle,
        long transfer,
        int heldBytes,
        int headerBytes,
        int controlFrames,
        long age,
        long grace) {
    /** A method as it stands in the settings. */
    record Named(String path, String className, String uri) {}

    private static final String PATH = "/[A-Za-z_][A-Za-z0-9_.]*/[A-Za-z_][A-Za-z0-9_]*";
    private static final String METADATA = "[a-z0-9_.-]{1,64}";

    /** Reads {@code [grpc]} and {@code [grpc_methods.NAME]}; null where the file has no {@code [grpc]}. */
    public static GrpcSettings of(SettingsFile file, Path folder) {
        if (!file.has("grpc")) {
            return null;
        }
        Section section = file.section("grpc");
        String listen = section.text("listen", "none");
        InetSocketAddress address = listen.equals("none") ? null : address(section, listen);
        Map<String, Named> methods = new LinkedHashMap<>();
        Set<String> seen = new HashSet<>();
        file.section("grpc_methods").sections().forEach((name, each) -> {
            Named named = new Named(each.text("path", null), each.text("class", null), each.text("uri", null));
            if (!named.path.matches(PATH) || !seen.add(named.path)) {
                throw each.contradiction("path", "expected /package.Service/Method, each once, found " + named.path);
            }
            if (!named.uri.matches("/api(/[A-Za-z0-9_.~-]+)*") || !seen.add(named.className + named.uri)) {
                throw each.contradiction(
                        "uri", "expected a path under /api, each once for a class, found " + named.uri);
            }
            methods.put(name, named);
        });
        Verdict.Rules rules = new Verdict.Rules(
                codes(section, "declines", List.of("UNAVAILABLE")),
                metadata(section, "decline_mark", "srv-declined"),
                codes(section, "passed_on", List.of()),
                section.size("message_bytes", "64KiB", "1KiB", "64MiB"));
        return new GrpcSettings(
                file.name(),
                address,
                tls(section, folder, address),
                metadata(section, "tenant", "req-owner"),
                metadata(section, "key", "idempotency-key"),
                metadata(section, "id", "req-id"),
                rules,
                methods,
                section.number("connections", 256, 1, 100_000),
                section.number("streams", 100, 1, 10_000),
                section.time("idle", "60s", "100ms", "60min"),
                section.time("transfer", "2500ms", "100ms", "1min"),
                section.size("held_bytes", "16MiB", "64KiB", "1024MiB"),
                section.size("header_bytes", "8KiB", "1KiB", "1MiB"),
                section.number("control_frames", 200, 10, 1_000_000),
                section.time("max_age", "30min", "1s", "600min"),
                section.time("grace", "10s", "100ms", "10min"));
    }

    private static String metadata(Section section, String key, String absent) {
        String name = section.text(key, absent);
        boolean none = name.equals("none") && key.equals("decline_mark");
        if (!none && (!name.matches(METADATA) || name.startsWith("grpc-") || name.endsWith("-bin"))) {
            throw section.contradiction(key, "expected a name of text metadata in small letters, found " + name);
        }
        return none ? "" : name;
    }

    private static Set<GrpcCode> codes(Section section, String key, List<String> absent) {
        List<String> names = section.texts(key);
        Set<GrpcCode> codes = EnumSet.noneOf(GrpcCode.class);
        for (String name : names.isEmpty() ? absent : names) {
            try {
                codes.add(GrpcCode.valueOf(name));
            } catch (IllegalArgumentException e) {
                throw section.contradiction(key, "no status code of gRPC: " + name);
            }
        }
        if (codes.contains(GrpcCode.OK)) {
            throw section.contradiction(key, "OK is always the answer");
        }
        return codes;
    }

    private static SslContext tls(Section section, Path folder, InetSocketAddress address) {
        boolean plain = "plain".equals(section.word("security", "tls", List.of("plain", "tls")));
        if (address == null) {
            return null;
        }
        if (plain) {
            if (!address.getAddress().isLoopbackAddress()) {
                throw section.contradiction("security", "plain text is for loopback addresses only");
            }
            return null;
        }
        Path certificate = folder.resolve(section.text("certificate", null));
        Path key = folder.resolve(section.text("key_file", null));
        try {
            return SslContextBuilder.forServer(certificate.toFile(), key.toFile())
                    .sslProvider(SslProvider.JDK)
                    .applicationProtocolConfig(GrpcFront.ALPN)
                    .build();
        } catch (SSLException | IllegalArgumentException e) {
            throw section.contradiction("certificate", "can't be used: " + certificate + ": " + e.getMessage());
        }
    }

    private static InetSocketAddress address(Section section, String text) {
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        try {
            if (host != null) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // Told below.
        }
        throw section.contradiction("listen", "expected an address and a port, found \"" + text + '"');
    }

    /**
     * The methods with what the platform says of their classes; a class it lacks is a {@link
     * SettingsException}.
     */
    public MethodTable methods(Options platform) {
        List<String> classes = platform.names("profiles");
        List<Method> all = new ArrayList<>();
        methods.forEach((name, named) -> {
            int number = classes.indexOf(named.className);
            if (number < 0) {
                throw new SettingsException(
                        file,
                        "grpc_methods." + name + ".class",
                        "the platform's file has no class " + named.className + "; it has "
                                + String.join(", ", classes));
            }
            boolean get = platform.settings().classes().get(number).semantics() == Semantics.REPEATABLE;
            all.add(new Method(named.path, number, named.className, named.uri, get));
        });
        return new MethodTable(all);
    }
}
