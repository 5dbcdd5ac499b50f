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
 * Reads the values of one section, each with its default and its bounds. Durations and sizes are texts with
 * a unit ({@code "50ms"}, {@code "64KiB"}), so that units cannot be confused.
 */
public final class Section {
    private static final Pattern QUANTITY = Pattern.compile("([0-9]{1,9})\\s?([a-zA-Z]+)");
    private static final Map<String, Long> NANOS_PER_UNIT =
            Map.of("us", 1_000L, "ms", 1_000_000L, "s", 1_000_000_000L, "min", 60_000_000_000L);
    private static final Map<String, Long> BYTES_PER_UNIT = Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20);
    private final String file;
    private final String name;
    private final JsonNode node;
    private final Set<String> requestedKeys = new HashSet<>();
    private final List<Section> subsections = new ArrayList<>();

    Section(String file, String name, JsonNode node) {
        this.file = file;
        this.name = name;
        this.node = node;
    }

    /** Returns an integer. */
    public int number(String key, int defaultValue, int min, int max) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
            throw unexpected(key, "a whole number from " + min + " to " + max, value);
        }
        return value.asInt();
    }

    /** Returns a non-empty list of integers. */
    public List<Integer> numbers(String key, List<Integer> defaultValue, int min, int max) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        List<Integer> numbers = new ArrayList<>();
        for (JsonNode element : value) {
            numbers.add(
                    element.isIntegralNumber() && element.asLong() >= min && element.asLong() <= max
                            ? element.asInt()
                            : null);
        }
        if (!value.isArray() || numbers.isEmpty() || numbers.contains(null)) {
            throw unexpected(key, "a list of whole numbers from " + min + " to " + max, value);
        }
        return numbers;
    }

    /** Returns a duration in nanoseconds. */
    public long durationNanos(String key, String defaultValue, String min, String max) {
        return quantity(key, defaultValue, min, max, NANOS_PER_UNIT, "a time with its unit (us, ms, s, min)");
    }

    /** Returns a size in bytes. */
    public int sizeBytes(String key, String defaultValue, String min, String max) {
        return (int) quantity(key, defaultValue, min, max, BYTES_PER_UNIT, "a size with its unit (B, KiB, MiB)");
    }

    /** Returns one of the allowed values. */
    public String choice(String key, String defaultValue, List<String> allowed) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isTextual() || !allowed.contains(value.asText())) {
            throw unexpected(key, "one of " + String.join(", ", allowed), value);
        }
        return value.asText();
    }

    /** Returns a number with or without a fractional part. */
    public double decimal(String key, double defaultValue, double min, double max) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
            throw unexpected(key, "a number from " + min + " to " + max, value);
        }
        return value.asDouble();
    }

    /** Returns a non-empty text; the key is required where {@code defaultValue} is null. */
    public String text(String key, String defaultValue) {
        JsonNode value = value(key);
        if (value.isMissingNode() && defaultValue != null) {
            return defaultValue;
        }
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw unexpected(key, "a text", value);
        }
        return value.asText();
    }

    /** Returns a list of non-empty texts; the list is empty where the key is missing. */
    public List<String> texts(String key) {
        JsonNode value = value(key);
        List<String> texts = new ArrayList<>();
        if (value.isMissingNode()) {
            return texts;
        }
        for (JsonNode element : value) {
            if (!element.isTextual() || element.asText().isEmpty()) {
                throw unexpected(key, "a list of texts", value);
            }
            texts.add(element.asText());
        }
        if (!value.isArray()) {
            throw unexpected(key, "a list of texts", value);
        }
        return texts;
    }

    /** Returns the subsections by name; this section must not hold anything else. */
    public Map<String, Section> subsections() {
        Map<String, Section> byName = new LinkedHashMap<>();
        node.properties().forEach(field -> {
            requestedKeys.add(field.getKey());
            if (!field.getValue().isObject()) {
                throw unexpected(field.getKey(), "a section", field.getValue());
            }
            byName.put(field.getKey(), new Section(file, name + '.' + field.getKey(), field.getValue()));
        });
        subsections.addAll(byName.values());
        return byName;
    }

    /** Returns a subsection; an empty one where the key is missing. */
    public Section subsection(String key) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isObject()) {
            throw unexpected(key, "a section", value);
        }
        Section subsection = new Section(
                file, name + '.' + key, value.isMissingNode() ? JsonNodeFactory.instance.objectNode() : value);
        subsections.add(subsection);
        return subsection;
    }

    /** Returns an error for a key whose value fails a check of the caller, such as one over several keys. */
    public SettingsException invalid(String key, String problem) {
        return new SettingsException(file, name + "." + key, problem);
    }

    private long quantity(
            String key, String defaultValue, String min, String max, Map<String, Long> units, String expected) {
        JsonNode value = value(key);
        long minQuantity = parse(min, units);
        long maxQuantity = parse(max, units);
        long quantity = value.isMissingNode()
                ? parse(defaultValue, units)
                : value.isTextual() ? parse(value.asText(), units) : -1;
        if (quantity < minQuantity || quantity > maxQuantity) {
            throw unexpected(key, expected + ", from " + min + " to " + max, value);
        }
        return quantity;
    }

    /** Parses a quantity to the smallest unit; -1 where the text is not valid. */
    private static long parse(String text, Map<String, Long> units) {
        Matcher matcher = QUANTITY.matcher(text);
        Long unit = matcher.matches() ? units.get(matcher.group(2)) : null;
        return unit == null ? -1 : Long.parseLong(matcher.group(1)) * unit;
    }

    private JsonNode value(String key) {
        requestedKeys.add(key);
        return node.path(key);
    }

    private SettingsException unexpected(String key, String expected, JsonNode found) {
        return invalid(key, "expected " + expected + ", found " + found);
    }

    /** Reports keys of this section and its subsections that no reader has requested. */
    void rejectUnknownKeys() {
        subsections.forEach(Section::rejectUnknownKeys);
        for (String key : (Iterable<String>) node::fieldNames) {
            if (!requestedKeys.contains(key)) {
                throw invalid(key, "unknown key");
            }
        }
    }
}
