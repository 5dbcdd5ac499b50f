package pondridge.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A sidecar's report to its peers, in its stored format: JSON with a version. A reader that does not know the
 * version, or finds an impossible value, ignores the whole report.
 *
 * @param writtenAtMillis when it was written, in milliseconds of the store's clock
 * @param requestsPerSecond requests that clients send to its writer; 0 if absent, as in reports of older
 *     versions
 * @param servers statistics of the servers that its writer used
 */
record PeerReport(long writtenAtMillis, double requestsPerSecond, List<ServerStats> servers) {
    /** The version of the store's keys and values. */
    static final int VERSION = 1;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_CHARS = 64 << 10;
    private static final double MAX_REQUESTS_PER_SECOND = 1e7;
    private static final int MAX_ATTEMPTS_PER_REQUEST = 3;
    private static final int ATTEMPT_SLACK = 30;

    String toJson() {
        ObjectNode root = JSON.createObjectNode()
                .put("v", VERSION)
                .put("at", writtenAtMillis)
                .put("r", Math.round(requestsPerSecond * 1000) / 1000.0);
        ArrayNode serverArray = root.putArray("s");
        for (ServerStats stats : servers) {
            serverArray
                    .addArray()
                    .add(stats.uid())
                    .add(stats.attempts())
                    .add(Math.round(stats.slowdownSum() * 100) / 100.0)
                    .add(stats.badAttempts());
        }
        return root.toString();
    }

    /**
     * The request rate, or 0 if it contradicts the statistics: a sidecar that saw so many attempts end within
     * two periods cannot have received so few requests.
     */
    double plausibleRate(long periodNanos) {
        long attempts = servers.stream().mapToLong(ServerStats::attempts).sum();
        return attempts <= MAX_ATTEMPTS_PER_REQUEST * 2 * periodNanos / 1e9 * requestsPerSecond + ATTEMPT_SLACK
                ? requestsPerSecond
                : 0;
    }

    /** Parses a report; null if it is malformed or contains an impossible value. */
    static PeerReport parse(String text, int maxServers) {
        if (text == null || text.length() > MAX_CHARS) {
            return null;
        }
        try {
            JsonNode root = JSON.readTree(text);
            if (!root.path("v").isInt()
                    || root.path("v").asInt() != VERSION
                    || !root.path("at").isIntegralNumber()
                    || !root.path("s").isArray()
                    || root.path("s").size() > maxServers) {
                return null;
            }
            double requestsPerSecond = root.path("r").asDouble(0);
            if (!(requestsPerSecond >= 0 && requestsPerSecond <= MAX_REQUESTS_PER_SECOND)) {
                return null;
            }
            List<ServerStats> servers = new ArrayList<>();
            for (JsonNode each : root.path("s")) {
                if (!each.path(0).isTextual()
                        || !each.path(1).isInt()
                        || !each.path(2).isNumber()
                        || !each.path(3).isInt()) {
                    return null;
                }
                ServerStats stats = new ServerStats(
                        each.path(0).asText(),
                        each.path(1).asInt(),
                        each.path(2).asDouble(),
                        each.path(3).asInt());
                if (!stats.isValid()) {
                    return null;
                }
                servers.add(stats);
            }
            return new PeerReport(root.path("at").asLong(), requestsPerSecond, servers);
        } catch (JsonProcessingException e) {
            return null;
        }
    }
}
