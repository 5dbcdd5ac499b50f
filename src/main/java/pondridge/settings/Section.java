package pondridge.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A section's values, each with its default and its bounds. Times and sizes carry their unit as text
 * ({@code "50ms"}, {@code "64KiB"}), so that none can be taken for another.
 */
public final class Section {
    private static final Pattern WITH_UNIT = Pattern.compile("([0-9]{1,9})\\s?([a-zA-Z]+)");
    private static final Map<String, Long> TIMES =
            Map.of("us", 1_000L, "ms", 1_000_000L, "s", 1_000_000_000L, "min", 60_000_000_000L);
    private static final Map<String, Long> SIZES = Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20);
    private final String file;
    private final String name;
    private final JsonNode node;
    private final Set<String> known = new HashSet<>();
    private final List<Section> children = new ArrayList<>();

    Section(String file, String name, JsonNode node) {
        this.file = file;
        this.name = name;
        this.node = node;
    }

    /** A whole number. */
    public int number(String key, int absent, int least, int most) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isIntegralNumber() || value.asLong() < least || value.asLong() > most) {
            throw wrong(key, "a whole number from " + least + " to " + most, value);
        }
        return value.asInt();
    }

    /** Whole numbers, at least one; {@code absent} where the key is missing. */
    public List<Integer> numbers(String key, List<Integer> absent, int least, int most) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return absent;
        }
        List<Integer> numbers = new ArrayList<>();
        for (JsonNode each : value) {
            numbers.add(
                    each.isIntegralNumber() && each.asLong() >= least && each.asLong() <= most ? each.asInt() : null);
        }
        if (!value.isArray() || numbers.isEmpty() || numbers.contains(null)) {
            throw wrong(key, "a list of whole numbers from " + least + " to " + most, value);
        }
        return numbers;
    }

    /** A duration in nanoseconds. */
    public long time(String key, String absent, String least, String most) {
        return measure(key, absent, least, most, TIMES, "a time with its unit (us, ms, s, min)");
    }

    /** A size in bytes. */
    public int size(String key, String absent, String least, String most) {
        return (int) measure(key, absent, least, most, SIZES, "a size with its unit (B, KiB, MiB)");
    }

    /** One of some words. */
    public String word(String key, String absent, List<String> allowed) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isTextual() || !allowed.contains(value.asText())) {
            throw wrong(key, "one of " + String.join(", ", allowed), value);
        }
        return value.asText();
    }

    /** A number with or without a fraction. */
    public double fraction(String key, double absent, double least, double most) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isNumber() || !(value.asDouble() >= least && value.asDouble() <= most)) {
            throw wrong(key, "a number from " + least + " to " + most, value);
        }
        return value.asDouble();
    }

    /** A text that is not empty; {@code absent} null makes it required. */
    public String text(String key, String absent) {
        JsonNode value = value(key);
        if (value.isMissingNode() && absent != null) {
            return absent;
        }
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw wrong(key, "a text", value);
        }
        return value.asText();
    }

    /** Texts, none of them empty; an empty list where the key is missing. */
    public List<String> texts(String key) {
        JsonNode value = value(key);
        List<String> texts = new ArrayList<>();
        if (value.isMissingNode()) {
            return texts;
        }
        for (JsonNode each : value) {
            if (!each.isTextual() || each.asText().isEmpty()) {
                throw wrong(key, "a list of texts", value);
            }
            texts.add(each.asText());
        }
        if (!value.isArray()) {
            throw wrong(key, "a list of texts", value);
        }
        return texts;
    }

    /** The sections within this one, by name; nothing else may stand in it. */
    public Map<String, Section> sections() {
        Map<String, Section> inner = new LinkedHashMap<>();
        node.properties().forEach(field -> {
            known.add(field.getKey());
            if (!field.getValue().isObject()) {
                throw wrong(field.getKey(), "a section", field.getValue());
            }
            inner.put(field.getKey(), new Section(file, name + '.' + field.getKey(), field.getValue()));
        });
        children.addAll(inner.values());
        return inner;
    }

    /** One section within this one, empty where it is missing. */
    public Section section(String key) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isObject()) {
            throw wrong(key, "a section", value);
        }
        Section inner = new Section(
                file, name + '.' + key, value.isMissingNode() ? JsonNodeFactory.instance.objectNode() : value);
        children.add(inner);
        return inner;
    }

    /** A mistake that only several values together show. */
    public SettingsException contradiction(String key, String problem) {
        return new SettingsException(file, name + "." + key, problem);
    }

    private long measure(String key, String absent, String least, String most, Map<String, Long> units, String what) {
        JsonNode value = value(key);
        long lower = parse(least, units);
        long upper = parse(most, units);
        long given =
                value.isMissingNode() ? parse(absent, units) : value.isTextual() ? parse(value.asText(), units) : -1;
        if (given < lower || given > upper) {
            throw wrong(key, what + ", from " + least + " to " + most, value);
        }
        return given;
    }

    /** The value in the smallest unit, -1 where it is none. */
    private static long parse(String text, Map<String, Long> units) {
        Matcher matcher = WITH_UNIT.matcher(text);
        Long unit = matcher.matches() ? units.get(matcher.group(2)) : null;
        return unit == null ? -1 : Long.parseLong(matcher.group(1)) * unit;
    }

    private JsonNode value(String key) {
        known.add(key);
        return node.path(key);
    }

    private SettingsException wrong(String key, String expected, JsonNode found) {
        return contradiction(key, "expected " + expected + ", found " + found);
    }

    void finish() {
        children.forEach(Section::finish);
        for (String key : (Iterable<String>) node::fieldNames) {
            if (!known.contains(key)) {
                throw contradiction(key, "unknown key");
            }
        }
    }
}
