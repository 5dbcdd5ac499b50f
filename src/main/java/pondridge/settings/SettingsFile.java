package pondridge.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A TOML file with one section per subsystem. Each reader requests the sections it needs;
 * {@link #rejectUnknownKeys} then rejects sections and keys that no reader has requested, so that a misspelled
 * name does not silently leave a default in place.
 */
public final class SettingsFile {
    private static final long MAX_FILE_BYTES = 1 << 20;
    private final String name;
    private final JsonNode root;
    private final Set<String> requestedKeys = new HashSet<>();
    private final List<Section> requestedSections = new ArrayList<>();

    private SettingsFile(String name, JsonNode root) {
        this.name = name;
        this.root = root;
    }

    /** Reads a file of at most 1 MiB; invalid TOML is a {@link SettingsException} that names the line. */
    public static SettingsFile read(Path file) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new SettingsException(file.toString(), "", "larger than 1 MiB");
            }
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(file.toString(), "", "can't be read: " + e.getMessage());
        }
    }

    /** Parses a text; {@code name} is the file name in error messages. */
    public static SettingsFile parse(String name, String text) {
        try {
            return new SettingsFile(name, new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            String location =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            throw new SettingsException(name, "", "not TOML: " + location + e.getOriginalMessage());
        }
    }

    /**
     * Merges this file over a base file. Where both have a value, this file takes precedence. A section in
     * {@code replacedSections} that this file has is not merged but replaces that of the base file.
     */
    public SettingsFile overlayOn(SettingsFile base, Set<String> replacedSections) {
        ObjectNode merged = base.root.deepCopy();
        replacedSections.stream().filter(root::has).forEach(merged::remove);
        merge(merged, root);
        return new SettingsFile(name, merged);
    }

    private static void merge(ObjectNode target, JsonNode source) {
        source.properties().forEach(field -> {
            if (field.getValue().isObject() && target.path(field.getKey()).isObject()) {
                merge((ObjectNode) target.get(field.getKey()), field.getValue());
            } else {
                target.set(field.getKey(), field.getValue());
            }
        });
    }

    /** The file name in error messages. */
    public String name() {
        return name;
    }

    /** Whether the file has this section. */
    public boolean hasSection(String section) {
        return root.has(section);
    }

    /** Returns a section; an empty one where the file does not have it. */
    public Section section(String key) {
        requestedKeys.add(key);
        JsonNode node = root.path(key);
        if (node.isMissingNode()) {
            node = JsonNodeFactory.instance.objectNode();
        }
        if (!node.isObject()) {
            throw new SettingsException(name, key, "expected a section: [" + key + "]");
        }
        Section section = new Section(name, key, node);
        requestedSections.add(section);
        return section;
    }

    /** Rejects sections and keys that no reader has requested; called after all readers. */
    public void rejectUnknownKeys() {
        for (String key : (Iterable<String>) root::fieldNames) {
            if (!requestedKeys.contains(key)) {
                throw new SettingsException(name, key, "unknown section");
            }
        }
        requestedSections.forEach(Section::rejectUnknownKeys);
    }
}
