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
 * Messages as JSON with short names. Changes go together by state, and where they are passed on by number;
 * where only the state is new, names go as {@link Names}, so that a zone's loss is short. What can't be
 * understood is an {@link IllegalArgumentException} that names it.
 */
final class Codec {
    /** Of the messages; a hello of another one is refused. */
    static final int PROTOCOL = 1;

    private static final int MOST_CHANGES = 1 << 18;

    /** Of changes that go together. */
    private record Group(String state, boolean body, long number, long bodyNumber) {}

    private interface Writing {
        void to(JsonGenerator json) throws IOException;
    }

    private Codec() {}

    private static byte[] write(Writing what) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (JsonGenerator json = Json.MAPPER.createGenerator(bytes)) {
            json.writeStartObject();
            what.to(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    static byte[] hello(Hello hello) {
        return write(json -> {
            json.writeNumberField("hello", PROTOCOL);
            json.writeStringField("instance", hello.instance());
            json.writeNumberField("e", hello.version().epoch());
            json.writeNumberField("n", hello.version().number());
            json.writeBooleanField("relay", hello.passesOn());
            texts(json, "services", hello.services());
        });
    }

    static byte[] error(String problem) {
        return write(json -> json.writeStringField("error", problem));
    }

    /** Only that there is somebody. */
    static byte[] alive() {
        return write(json -> json.writeBooleanField("alive", true));
    }

    static byte[] ack(Ack ack) {
        return write(json -> {
            json.writeNumberField("k", ack.serial());
            json.writeNumberField("e", ack.version().epoch());
            json.writeNumberField("n", ack.version().number());
            if (ack.verdict() == FollowerState.Verdict.GAP || ack.verdict() == FollowerState.Verdict.MISMATCH) {
                json.writeStringField("v", ack.verdict().name());
            }
            if (ack.sums().count() > 0) {
                json.writeNumberField("count", ack.sums().count());
                json.writeNumberField("le", ack.sums().lowest().epoch());
                json.writeNumberField("ln", ack.sums().lowest().number());
                texts(json, "behind", ack.sums().behind());
            }
        });
    }

    static byte[] update(Update update) {
        return write(json -> {
            json.writeNumberField("u", update.serial());
            json.writeNumberField("e", update.version().epoch());
            json.writeNumberField("n", update.version().number());
            if (update.whole()) {
                json.writeBooleanField("w", true);
            } else {
                json.writeNumberField("f", update.from());
            }
            if (update.floor() != 0) {
                json.writeNumberField("fl", update.floor());
            }
            json.writeNumberField("d", update.digest());
            json.writeNumberField("a", update.ageMs());
            texts(json, "x", update.absent());
            changes(json, update.changes());
        });
    }

    private static void texts(JsonGenerator json, String field, List<String> texts) throws IOException {
        if (!texts.isEmpty()) {
            json.writeArrayFieldStart(field);
            for (String each : texts) {
                json.writeString(each);
            }
            json.writeEndArray();
        }
    }

    private static void changes(JsonGenerator json, List<Change> changes) throws IOException {
        if (changes.isEmpty()) {
            return;
        }
        Map<Group, Map<String, List<Change>>> groups = new LinkedHashMap<>();
        for (Change each : changes) {
            groups.computeIfAbsent(
                            new Group(each.state(), each.body() != null, each.number(), each.bodyNumber()),
                            group -> new TreeMap<>())
                    .computeIfAbsent(each.service(), service -> new ArrayList<>())
                    .add(each);
        }
        json.writeArrayFieldStart("c");
        for (Map.Entry<Group, Map<String, List<Change>>> group : groups.entrySet()) {
            json.writeStartObject();
            json.writeStringField("s", group.getKey().state());
            if (group.getKey().number() != 0) {
                json.writeNumberField("n", group.getKey().number());
            }
            if (group.getKey().bodyNumber() != 0) {
                json.writeNumberField("b", group.getKey().bodyNumber());
            }
            json.writeObjectFieldStart("in");
            for (Map.Entry<String, List<Change>> service : group.getValue().entrySet()) {
                if (group.getKey().body()) {
                    json.writeObjectFieldStart(service.getKey());
                    for (Change each : service.getValue()) {
                        json.writeStringField(each.name(), each.body());
                    }
                    json.writeEndObject();
                } else {
                    texts(
                            json,
                            service.getKey(),
                            Names.pack(service.getValue().stream()
                                    .map(Change::name)
                                    .toList()));
                }
            }
            json.writeEndObject();
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    /** A message of any kind. */
    static JsonNode read(byte[] bytes) {
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

    private static long number(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(field + ": expected a whole number");
        }
        return value.asLong();
    }

    private static Version version(JsonNode node, String epoch, String number) {
        Version version = new Version(number(node, epoch), number(node, number));
        if (version.epoch() < 0 || version.number() < 0) {
            throw new IllegalArgumentException("version: " + version + " makes no sense");
        }
        return version;
    }

    private static List<String> texts(JsonNode node, String field, int most) {
        List<String> texts = new ArrayList<>();
        for (JsonNode each : node.path(field)) {
            if (!each.isTextual() || texts.size() == most) {
                throw new IllegalArgumentException(field + ": expected texts, " + most + " at most");
            }
            texts.add(each.asText());
        }
        return texts;
    }

    static Hello readHello(JsonNode node) {
        if (number(node, "hello") != PROTOCOL) {
            throw new IllegalArgumentException(
                    "hello: version " + node.path("hello") + " of the protocol, " + PROTOCOL + " is spoken here");
        }
        return new Hello(
                node.path("instance").asText(""),
                texts(node, "services", Hello.MOST_SERVICES),
                node.path("relay").asBoolean(),
                version(node, "e", "n"));
    }

    static Ack readAck(JsonNode node) {
        FollowerState.Verdict verdict =
                switch (node.path("v").asText("")) {
                    case "" -> FollowerState.Verdict.TAKEN;
                    case "GAP" -> FollowerState.Verdict.GAP;
                    case "MISMATCH" -> FollowerState.Verdict.MISMATCH;
                    default -> throw new IllegalArgumentException("v: expected GAP or MISMATCH");
                };
        return new Ack(
                number(node, "k"),
                version(node, "e", "n"),
                verdict,
                !node.has("count")
                        ? Sums.NONE
                        : new Sums(
                                number(node, "count"),
                                version(node, "le", "ln"),
                                texts(node, "behind", Sums.MOST_NAMES)));
    }

    static Update readUpdate(JsonNode node) {
        boolean whole = node.path("w").asBoolean();
        return new Update(
                number(node, "u"),
                version(node, "e", "n"),
                whole,
                whole ? 0 : number(node, "f"),
                node.path("fl").asLong(),
                readChanges(node.path("c")),
                texts(node, "x", Hello.MOST_SERVICES),
                number(node, "d"),
                number(node, "a"));
    }

    private static List<Change> readChanges(JsonNode groups) {
        List<Change> changes = new ArrayList<>();
        for (JsonNode group : groups) {
            String state = group.path("s").asText();
            long number = group.path("n").asLong();
            long bodyNumber = group.path("b").asLong();
            group.path("in").properties().forEach(service -> {
                if (service.getValue().isObject()) {
                    service.getValue()
                            .properties()
                            .forEach(each -> add(
                                    changes,
                                    new Resource(
                                            service.getKey(),
                                            each.getKey(),
                                            state,
                                            each.getValue().asText()),
                                    number,
                                    bodyNumber,
                                    true));
                } else {
                    for (JsonNode packed : service.getValue()) {
                        Names.unpack(packed.asText())
                                .forEach(name -> add(
                                        changes,
                                        new Resource(service.getKey(), name, state, ""),
                                        number,
                                        bodyNumber,
                                        false));
                    }
                }
            });
        }
        return changes;
    }

    /** By way of a {@link Resource}, which checks the texts. */
    private static void add(List<Change> changes, Resource checked, long number, long bodyNumber, boolean body) {
        if (changes.size() == MOST_CHANGES || checked.gone() && body) {
            throw new IllegalArgumentException(
                    checked.gone() && body
                            ? checked.service() + '/' + checked.name() + ": gone, and with a body"
                            : "c: " + MOST_CHANGES + " changes at most");
        }
        changes.add(new Change(
                checked.service(), checked.name(), checked.state(), body ? checked.body() : null, number, bodyNumber));
    }
}
