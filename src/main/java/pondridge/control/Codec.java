package pondridge.control;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pondridge.core.Json;

/**
 * Encodes messages as JSON with short field names. Changes are grouped by state, and by commit number for
 * receivers that forward them. Where only the state has changed, names are written as {@link NameRanges}, so
 * that the loss of a zone makes a short message. An invalid message causes an {@link
 * IllegalArgumentException} that names the problem.
 */
final class Codec {
    /** Version of the protocol; a hello with another version is rejected. */
    static final int PROTOCOL = 1;

    private static final int MAX_CHANGES = 1 << 18;

    /** What changes that are written together have in common. */
    private record ChangeGroup(String state, boolean hasBody, long commitNumber, long bodyCommitNumber) {}

    private interface FieldWriter {
        void writeTo(JsonGenerator json) throws IOException;
    }

    private Codec() {}

    private static byte[] encode(FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (JsonGenerator json = Json.MAPPER.createGenerator(bytes)) {
            json.writeStartObject();
            fields.writeTo(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    static byte[] encodeHello(Hello hello) {
        return encode(json -> {
            json.writeNumberField("hello", PROTOCOL);
            json.writeStringField("instance", hello.instance());
            json.writeNumberField("e", hello.version().epoch());
            json.writeNumberField("n", hello.version().number());
            json.writeBooleanField("relay", hello.isRelay());
            writeStrings(json, "services", hello.services());
        });
    }

    static byte[] encodeError(String problem) {
        return encode(json -> json.writeStringField("error", problem));
    }

    /** Encodes a keepalive, which only shows that the sender is running. */
    static byte[] encodeKeepalive() {
        return encode(json -> json.writeBooleanField("alive", true));
    }

    static byte[] encodeAck(Ack ack) {
        return encode(json -> {
            json.writeNumberField("k", ack.serial());
            json.writeNumberField("e", ack.version().epoch());
            json.writeNumberField("n", ack.version().number());
            if (ack.result() == FollowerState.ApplyResult.GAP || ack.result() == FollowerState.ApplyResult.MISMATCH) {
                json.writeStringField("v", ack.result().name());
            }
            if (ack.status().followerCount() > 0) {
                json.writeNumberField("count", ack.status().followerCount());
                json.writeNumberField("le", ack.status().lowestVersion().epoch());
                json.writeNumberField("ln", ack.status().lowestVersion().number());
                writeStrings(json, "behind", ack.status().laggingInstances());
            }
        });
    }

    static byte[] encodeUpdate(Update update) {
        return encode(json -> {
            json.writeNumberField("u", update.serial());
            json.writeNumberField("e", update.version().epoch());
            json.writeNumberField("n", update.version().number());
            if (update.snapshot()) {
                json.writeBooleanField("w", true);
            } else {
                json.writeNumberField("f", update.baseNumber());
            }
            if (update.oldestDeltaBase() != 0) {
                json.writeNumberField("fl", update.oldestDeltaBase());
            }
            json.writeNumberField("d", update.digest());
            json.writeNumberField("a", update.ageMs());
            writeStrings(json, "x", update.missingServices());
            writeChanges(json, update.changes());
        });
    }

    private static void writeStrings(JsonGenerator json, String field, List<String> strings) throws IOException {
        if (!strings.isEmpty()) {
            json.writeArrayFieldStart(field);
            for (String each : strings) {
                json.writeString(each);
            }
            json.writeEndArray();
        }
    }

    private static void writeChanges(JsonGenerator json, List<Change> changes) throws IOException {
        if (changes.isEmpty()) {
            return;
        }
        Map<ChangeGroup, Map<String, List<Change>>> groups = new LinkedHashMap<>();
        for (Change each : changes) {
            groups.computeIfAbsent(
                            new ChangeGroup(
                                    each.state(), each.body() != null, each.commitNumber(), each.bodyCommitNumber()),
                            group -> new TreeMap<>())
                    .computeIfAbsent(each.service(), service -> new ArrayList<>())
                    .add(each);
        }
        json.writeArrayFieldStart("c");
        for (Map.Entry<ChangeGroup, Map<String, List<Change>>> group : groups.entrySet()) {
            json.writeStartObject();
            json.writeStringField("s", group.getKey().state());
            if (group.getKey().commitNumber() != 0) {
                json.writeNumberField("n", group.getKey().commitNumber());
            }
            if (group.getKey().bodyCommitNumber() != 0) {
                json.writeNumberField("b", group.getKey().bodyCommitNumber());
            }
            json.writeObjectFieldStart("in");
            for (Map.Entry<String, List<Change>> service : group.getValue().entrySet()) {
                if (group.getKey().hasBody()) {
                    json.writeObjectFieldStart(service.getKey());
                    for (Change each : service.getValue()) {
                        json.writeStringField(each.name(), each.body());
                    }
                    json.writeEndObject();
                } else {
                    writeStrings(
                            json,
                            service.getKey(),
                            NameRanges.pack(service.getValue().stream()
                                    .map(Change::name)
                                    .toList()));
                }
            }
            json.writeEndObject();
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    /** Parses a message of any kind. */
    static JsonNode parse(byte[] bytes) {
        try {
            JsonNode node = Json.MAPPER.readTree(bytes);
            if (node == null || !node.isObject()) {
                throw new IllegalArgumentException("not a message: expected an object");
            }
            return node;
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "not a message: " + e.getMessage().lines().findFirst().orElse(""), e);
        }
    }

    private static long decodeLong(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(field + ": expected a whole number");
        }
        return value.asLong();
    }

    private static Version decodeVersion(JsonNode node, String epoch, String number) {
        Version version = new Version(decodeLong(node, epoch), decodeLong(node, number));
        if (version.epoch() < 0 || version.number() < 0) {
            throw new IllegalArgumentException("version: " + version + " makes no sense");
        }
        return version;
    }

    private static List<String> decodeStrings(JsonNode node, String field, int maxCount) {
        List<String> strings = new ArrayList<>();
        for (JsonNode each : node.path(field)) {
            if (!each.isTextual() || strings.size() == maxCount) {
                throw new IllegalArgumentException(field + ": expected texts, " + maxCount + " at most");
            }
            strings.add(each.asText());
        }
        return strings;
    }

    static Hello decodeHello(JsonNode node) {
        if (decodeLong(node, "hello") != PROTOCOL) {
            throw new IllegalArgumentException(
                    "hello: version " + node.path("hello") + " of the protocol, " + PROTOCOL + " is spoken here");
        }
        return new Hello(
                node.path("instance").asText(""),
                decodeStrings(node, "services", Hello.MAX_SERVICES),
                node.path("relay").asBoolean(),
                decodeVersion(node, "e", "n"));
    }

    static Ack decodeAck(JsonNode node) {
        FollowerState.ApplyResult result =
                switch (node.path("v").asText("")) {
                    case "" -> FollowerState.ApplyResult.APPLIED;
                    case "GAP" -> FollowerState.ApplyResult.GAP;
                    case "MISMATCH" -> FollowerState.ApplyResult.MISMATCH;
                    default -> throw new IllegalArgumentException("v: expected GAP or MISMATCH");
                };
        return new Ack(
                decodeLong(node, "k"),
                decodeVersion(node, "e", "n"),
                result,
                !node.has("count")
                        ? PropagationStatus.NONE
                        : new PropagationStatus(
                                decodeLong(node, "count"),
                                decodeVersion(node, "le", "ln"),
                                decodeStrings(node, "behind", PropagationStatus.MAX_LAGGING_INSTANCES)));
    }

    static Update decodeUpdate(JsonNode node) {
        boolean snapshot = node.path("w").asBoolean();
        return new Update(
                decodeLong(node, "u"),
                decodeVersion(node, "e", "n"),
                snapshot,
                snapshot ? 0 : decodeLong(node, "f"),
                node.path("fl").asLong(),
                decodeChanges(node.path("c")),
                decodeStrings(node, "x", Hello.MAX_SERVICES),
                decodeLong(node, "d"),
                decodeLong(node, "a"));
    }

    private static List<Change> decodeChanges(JsonNode groups) {
        List<Change> changes = new ArrayList<>();
        for (JsonNode group : groups) {
            String state = group.path("s").asText();
            long commitNumber = group.path("n").asLong();
            long bodyCommitNumber = group.path("b").asLong();
            group.path("in").properties().forEach(service -> {
                if (service.getValue().isObject()) {
                    service.getValue()
                            .properties()
                            .forEach(each -> addChange(
                                    changes,
                                    new Resource(
                                            service.getKey(),
                                            each.getKey(),
                                            state,
                                            each.getValue().asText()),
                                    commitNumber,
                                    bodyCommitNumber,
                                    true));
                } else {
                    for (JsonNode packed : service.getValue()) {
                        NameRanges.unpack(packed.asText())
                                .forEach(name -> addChange(
                                        changes,
                                        new Resource(service.getKey(), name, state, ""),
                                        commitNumber,
                                        bodyCommitNumber,
                                        false));
                    }
                }
            });
        }
        return changes;
    }

    /** Adds a change. It is passed as a {@link Resource}, which validates the texts. */
    private static void addChange(
            List<Change> changes, Resource resource, long commitNumber, long bodyCommitNumber, boolean hasBody) {
        if (changes.size() == MAX_CHANGES || resource.isDeleted() && hasBody) {
            throw new IllegalArgumentException(
                    resource.isDeleted() && hasBody
                            ? resource.service() + '/' + resource.name() + ": gone, and with a body"
                            : "c: " + MAX_CHANGES + " changes at most");
        }
        changes.add(new Change(
                resource.service(),
                resource.name(),
                resource.state(),
                hasBody ? resource.body() : null,
                commitNumber,
                bodyCommitNumber));
    }
}
