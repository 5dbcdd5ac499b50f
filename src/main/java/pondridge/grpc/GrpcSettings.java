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
import pondridge.Balancer.RetrySemantics;
import pondridge.BalancerOptions;
import pondridge.settings.Section;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;

/**
 * Settings of gRPC clients and servers.
 *
 * @param fileName name of the settings file in error messages
 * @param listenAddress address for gRPC clients; null where none are accepted
 * @param tls TLS context of that address; null for plain text, which is allowed on loopback only
 * @param tenantMetadata metadata that names the tenant
 * @param idempotencyKeyMetadata metadata that carries the idempotency key of a keyed request
 * @param requestIdMetadata metadata that carries the request ID; an ID is generated where it is absent
 * @param classificationRules how server responses are classified
 * @param methods the methods by their names in the settings
 * @param maxConnections limit on client connections
 * @param maxStreamsPerConnection limit on concurrent streams of one connection
 * @param idleTimeoutNanos how long a connection may be idle
 * @param transferTimeoutNanos time limit for receiving a request and for sending a response
 * @param maxBufferedBytes limit on buffered requests and responses; a quarter of it for one connection
 * @param maxHeaderBytes limit on the metadata of one request
 * @param controlFramesPerSecond limit on frames per second from one connection that carry no data
 * @param maxAgeNanos age after which a connection is asked to close
 * @param drainTimeoutNanos how long such a connection may stay open for its calls in flight
 */
public record GrpcSettings(
        String fileName,
        InetSocketAddress listenAddress,
        SslContext tls,
        String tenantMetadata,
        String idempotencyKeyMetadata,
        String requestIdMetadata,
        ClassifiedResponse.Rules classificationRules,
        Map<String, MethodSettings> methods,
        int maxConnections,
        int maxStreamsPerConnection,
        long idleTimeoutNanos,
        long transferTimeoutNanos,
        int maxBufferedBytes,
        int maxHeaderBytes,
        int controlFramesPerSecond,
        long maxAgeNanos,
        long drainTimeoutNanos) {
    /** A method as configured. */
    record MethodSettings(String path, String className, String httpPath) {}

    private static final String METHOD_PATH = "/[A-Za-z_][A-Za-z0-9_.]*/[A-Za-z_][A-Za-z0-9_]*";
    private static final String METADATA_NAME = "[a-z0-9_.-]{1,64}";

    /** Reads {@code [grpc]} and {@code [grpc_methods.NAME]}; null where the file has no {@code [grpc]}. */
    public static GrpcSettings of(SettingsFile file, Path directory) {
        if (!file.hasSection("grpc")) {
            return null;
        }
        Section section = file.section("grpc");
        String listen = section.text("listen", "none");
        InetSocketAddress address = listen.equals("none") ? null : address(section, listen);
        Map<String, MethodSettings> methods = new LinkedHashMap<>();
        Set<String> seen = new HashSet<>();
        file.section("grpc_methods").subsections().forEach((name, methodSection) -> {
            MethodSettings method = new MethodSettings(
                    methodSection.text("path", null),
                    methodSection.text("class", null),
                    methodSection.text("uri", null));
            if (!method.path.matches(METHOD_PATH) || !seen.add(method.path)) {
                throw methodSection.invalid(
                        "path", "expected a unique path /package.Service/Method, found " + method.path);
            }
            if (!method.httpPath.matches("/api(/[A-Za-z0-9_.~-]+)*") || !seen.add(method.className + method.httpPath)) {
                throw methodSection.invalid(
                        "uri", "expected a path under /api that is unique within its class, found " + method.httpPath);
            }
            methods.put(name, method);
        });
        ClassifiedResponse.Rules classificationRules = new ClassifiedResponse.Rules(
                codes(section, "declines", List.of("UNAVAILABLE")),
                metadata(section, "decline_mark", "srv-declined"),
                codes(section, "passed_on", List.of()),
                section.sizeBytes("message_bytes", "64KiB", "1KiB", "64MiB"));
        return new GrpcSettings(
                file.name(),
                address,
                tls(section, directory, address),
                metadata(section, "tenant", "req-owner"),
                metadata(section, "key", "idempotency-key"),
                metadata(section, "id", "req-id"),
                classificationRules,
                methods,
                section.number("connections", 256, 1, 100_000),
                section.number("streams", 100, 1, 10_000),
                section.durationNanos("idle", "60s", "100ms", "60min"),
                section.durationNanos("transfer", "2500ms", "100ms", "1min"),
                section.sizeBytes("held_bytes", "16MiB", "64KiB", "1024MiB"),
                section.sizeBytes("header_bytes", "8KiB", "1KiB", "1MiB"),
                section.number("control_frames", 200, 10, 1_000_000),
                section.durationNanos("max_age", "30min", "1s", "600min"),
                section.durationNanos("grace", "10s", "100ms", "10min"));
    }

    private static String metadata(Section section, String key, String defaultName) {
        String name = section.text(key, defaultName);
        boolean disabled = name.equals("none") && key.equals("decline_mark");
        if (!disabled && (!name.matches(METADATA_NAME) || name.startsWith("grpc-") || name.endsWith("-bin"))) {
            throw section.invalid(key, "expected a name of text metadata in lower case, found " + name);
        }
        return disabled ? "" : name;
    }

    private static Set<GrpcCode> codes(Section section, String key, List<String> defaultNames) {
        List<String> names = section.texts(key);
        Set<GrpcCode> codes = EnumSet.noneOf(GrpcCode.class);
        for (String name : names.isEmpty() ? defaultNames : names) {
            try {
                codes.add(GrpcCode.valueOf(name));
            } catch (IllegalArgumentException e) {
                throw section.invalid(key, "no status code of gRPC: " + name);
            }
        }
        if (codes.contains(GrpcCode.OK)) {
            throw section.invalid(key, "OK can't be listed: it is always the application's response");
        }
        return codes;
    }

    private static SslContext tls(Section section, Path directory, InetSocketAddress address) {
        boolean plaintext = "plain".equals(section.choice("security", "tls", List.of("plain", "tls")));
        if (address == null) {
            return null;
        }
        if (plaintext) {
            if (!address.getAddress().isLoopbackAddress()) {
                throw section.invalid("security", "plain text is allowed on loopback addresses only");
            }
            return null;
        }
        Path certificate = directory.resolve(section.text("certificate", null));
        Path key = directory.resolve(section.text("key_file", null));
        try {
            return SslContextBuilder.forServer(certificate.toFile(), key.toFile())
                    .sslProvider(SslProvider.JDK)
                    .applicationProtocolConfig(GrpcFrontend.ALPN)
                    .build();
        } catch (SSLException | IllegalArgumentException e) {
            throw section.invalid("certificate", "can't be used: " + certificate + ": " + e.getMessage());
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
            // Reported below.
        }
        throw section.invalid("listen", "expected an address and a port, found \"" + text + '"');
    }

    /**
     * The methods with their request classes from the platform configuration; an unknown class is a {@link
     * SettingsException}.
     */
    public MethodTable methodTable(BalancerOptions platform) {
        List<String> classes = platform.objectNames("profiles");
        List<GrpcMethod> resolved = new ArrayList<>();
        methods.forEach((name, method) -> {
            int requestClass = classes.indexOf(method.className);
            if (requestClass < 0) {
                throw new SettingsException(
                        fileName,
                        "grpc_methods." + name + ".class",
                        "the platform's file has no class " + method.className + "; it has "
                                + String.join(", ", classes));
            }
            boolean usesGet =
                    platform.settings().classes().get(requestClass).retrySemantics() == RetrySemantics.REPEATABLE;
            resolved.add(new GrpcMethod(method.path, requestClass, method.className, method.httpPath, usesGet));
        });
        return new MethodTable(resolved);
    }
}
