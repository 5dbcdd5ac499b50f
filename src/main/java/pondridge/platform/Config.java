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
import pondridge.Options;
import pondridge.core.Json;

/** What one sidecar is told at its start; a mistake is an exception whose message names the key. */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Discovery.Listing known,
        Options options) {
    private static final int FEWEST_SOCKETS = 64;
    /** The JVM and its libraries hold 35; the others are for letting in, discovery and the configuration. */
    private static final int RESERVED = 48;

    /** Reads a file. */
    public static Config read(Path file) throws IOException {
        try {
            return of(Json.MAPPER.readTree(Files.readAllBytes(file)));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
    }

    /** Takes over what a file holds. */
    public static Config of(JsonNode root) {
        JsonNode settings = root.path("settings");
        if (!settings.isObject()) {
            throw new IllegalArgumentException("missing: settings");
        }
        StringBuilder lines = new StringBuilder();
        flatten("", settings, lines);
        Options options = new Options(lines.toString());
        options.settings();
        int sockets = root.path("limits").path("sockets").asInt(1024);
        if (sockets < FEWEST_SOCKETS) {
            throw new IllegalArgumentException("too few: limits.sockets");
        }
        Discovery.Listing known = root.has("known") ? Discovery.Listing.of(root.get("known")) : Discovery.Listing.NONE;
        return new Config(
                root.path("name").asText("sidecar"),
                address(root, "listen"),
                address(root, "discovery"),
                seed(root),
                sockets,
                known,
                options);
    }

    /** Whether lists come to an agent on this machine, instead of being asked for. */
    public boolean pushed() {
        return options.settings().discovery() == Balancer.Discovery.AUTOMATIC;
    }

    /** Of the descriptors: clients may need a third for requests at once, and some are on their way out. */
    public int mostClients() {
        return sockets * 3 / 8;
    }

    /** The rest, but for what the JVM, the listening and discovery hold. */
    public int mostUpstream() {
        return Math.max(sockets / 4, sockets - mostClients() - RESERVED);
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

    /** A numeric address and port, or null; names are never looked up, since there is no DNS. */
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

    /** Writes a JSON tree as the path=value lines of the simulator's wire, which {@link Options} reads. */
    private static void flatten(String path, JsonNode node, StringBuilder lines) {
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                String inner = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
                flatten(inner, field.getValue(), lines);
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
