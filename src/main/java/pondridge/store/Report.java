package pondridge.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * What one sidecar tells the others, as it stands in the store: JSON with a version. A reader that does not
 *  know
 * the version, or finds anything that can't be, takes none of it.
 *
 * @param at when it was written, in milliseconds of the store's clock
 * @param rate requests a second that clients ask of its writer; 0 where it does not say, as older programs
 * don't
 */
record Report(long at, double rate, List<ServerSum> sums) {
    /** The version of keys and values. */
    static final int VERSION = 1;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LONGEST = 64 << 10;
    private static final double MOST_RATE = 1e7;
    private static final int MOST_TRIES = 3;
    private static final int FEW = 30;

    String write() {
        ObjectNode root =
                JSON.createObjectNode().put("v", VERSION).put("at", at).put("r", Math.round(rate * 1000) / 1000.0);
        ArrayNode all = root.putArray("s");
        for (ServerSum sum : sums) {
            all.addArray()
                    .add(sum.uid())
                    .add(sum.answers())
                    .add(Math.round(sum.slowness() * 100) / 100.0)
                    .add(sum.bad());
        }
        return root.toString();
    }

    /**
     * The rate, or 0 where it does not fit what else is told: who saw that many attempts end within two
     * periods can't be asked so little.
     */
    double soundRate(long period) {
        long seen = sums.stream().mapToLong(ServerSum::answers).sum();
        return seen <= MOST_TRIES * 2 * period / 1e9 * rate + FEW ? rate : 0;
    }

    /** Null for what can't be read or can't be. */
    static Report read(String text, int mostServers) {
        if (text == null || text.length() > LONGEST) {
            return null;
        }
        try {
            JsonNode root = JSON.readTree(text);
            if (!root.path("v").isInt()
                    || root.path("v").asInt() != VERSION
                    || !root.path("at").isIntegralNumber()
                    || !root.path("s").isArray()
                    || root.path("s").size() > mostServers) {
                return null;
            }
            double rate = root.path("r").asDouble(0);
            if (!(rate >= 0 && rate <= MOST_RATE)) {
                return null;
            }
            List<ServerSum> sums = new ArrayList<>();
            for (JsonNode each : root.path("s")) {
                if (!each.path(0).isTextual()
                        || !each.path(1).isInt()
                        || !each.path(2).isNumber()
                        || !each.path(3).isInt()) {
                    return null;
                }
                ServerSum sum = new ServerSum(
                        each.path(0).asText(),
                        each.path(1).asInt(),
                        each.path(2).asDouble(),
                        each.path(3).asInt());
                if (!sum.sound()) {
                    return null;
                }
                sums.add(sum);
            }
            return new Report(root.path("at").asLong(), rate, sums);
        } catch (JsonProcessingException e) {
            return null;
        }
    }
}
