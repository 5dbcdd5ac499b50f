package pondridge.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.StringJoiner;
import pondridge.Balancer;
import pondridge.BalancerOptions;
import pondridge.core.Json;

/**
 * Configuration of a sidecar or gateway as the platform provides it at startup. An invalid file causes an exception
 * whose message names the key.
 *
 * @param maxSockets limit on open file descriptors
 * @param cachedEndpoints endpoint list cached from before the start
 */
public record PlatformConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxSockets,
        DiscoveryClient.EndpointList cachedEndpoints,
        BalancerOptions options) {
    private static final int MIN_SOCKETS = 64;
    /** The JVM and its libraries hold 35; the rest is for accepting, discovery and reading the configuration. */
    private static final int RESERVED_DESCRIPTORS = 48;

    /** Reads a JSON file. */
    public static PlatformConfig read(Path file) throws IOException {
        try {
            return of(Json.MAPPER.readTree(Files.readAllBytes(file)));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
    }

    /** Parses the content of a configuration file. */
    public static PlatformConfig of(JsonNode root) {
        JsonNode settings = root.path("settings");
        if (!settings.isObject()) {
            throw new IllegalArgumentException("missing: settings");
        }
        StringBuilder lines = new StringBuilder();
        flatten("", settings, lines);
        BalancerOptions options = new BalancerOptions(lines.toString());
        options.settings();
        int maxSockets = root.path("limits").path("sockets").asInt(1024);
        if (maxSockets < MIN_SOCKETS) {
            throw new IllegalArgumentException("expected at least " + MIN_SOCKETS + ": limits.sockets");
        }
        DiscoveryClient.EndpointList cachedList = root.has("known")
                ? DiscoveryClient.EndpointList.of(root.get("known"))
                : DiscoveryClient.EndpointList.EMPTY;
        return new PlatformConfig(
                root.path("name").asText("sidecar"),
                address(root, "listen"),
                address(root, "discovery"),
                seed(root),
                maxSockets,
                cachedList,
                options);
    }

    /** Whether endpoint lists are pushed to an agent on this machine instead of being requested. */
    public boolean isDiscoveryPushed() {
        return options.settings().discoveryMode() == Balancer.DiscoveryMode.AUTOMATIC;
    }

    /**
     * Limit on client connections, three eighths of the descriptors. Clients may need a third of all descriptors for
     * concurrent requests; the remainder is for connections that are closing.
     */
    public int maxClientConnections() {
        return maxSockets * 3 / 8;
    }

    /** Limit on upstream connections: what client connections and {@link #RESERVED_DESCRIPTORS} leave. */
    public int maxUpstreamConnections() {
        return Math.max(maxSockets / 4, maxSockets - maxClientConnections() - RESERVED_DESCRIPTORS);
    }

    /** The descriptors for connections of clients and to upstreams together. */
    public int connectionDescriptors() {
        return maxSockets - RESERVED_DESCRIPTORS;
    }

    private static InetSocketAddress address(JsonNode root, String key) {
        InetSocketAddress address = parseAddress(root.path(key).asText(""));
        if (address == null) {
            throw new IllegalArgumentException("not an address and port: " + key);
        }
        return address;
    }

    private static long seed(JsonNode root) {
        try {
            return Long.parseUnsignedLong(root.path("seed").asText(), 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a hexadecimal number: seed", e);
        }
    }

    /** Parses a numeric address and port; returns null if invalid. Names are not resolved, since there is no DNS. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return host == null || port < 0 || port > 0xffff ? null : new InetSocketAddress(host, port);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Writes a JSON tree as path=value lines, the simulator's wire format, which {@link BalancerOptions} reads. */
    private static void flatten(String path, JsonNode node, StringBuilder lines) {
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                String fieldPath = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
                flatten(fieldPath, field.getValue(), lines);
            }
        } else if (node.isArray() && node.size() > 0 && node.get(0).isContainerNode()) {
            lines.append(path).append(".count=").append(node.size()).append('\n');
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), lines);
            }
        } else if (node.isArray()) {
            StringJoiner values = new StringJoiner(",");
            node.forEach(value -> values.add(value.asText()));
            lines.append(path).append('=').append(values).append('\n');
        } else if (!node.isNull()) {
            lines.append(path).append('=').append(node.asText()).append('\n');
        }
    }
}
