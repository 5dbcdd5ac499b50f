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
 * One TOML file, a section per subsystem. Its readers take the sections they know; {@link #finish} then
 * complains of what nobody knows, so that a misspelt name is not silently a default.
 */
public final class SettingsFile {
    private static final long LARGEST = 1 << 20;
    private final String name;
    private final JsonNode root;
    private final Set<String> known = new HashSet<>();
    private final List<Section> taken = new ArrayList<>();

    private SettingsFile(String name, JsonNode root) {
        this.name = name;
        this.root = root;
    }

    /** Reads a file of at most 1 MiB; what is not TOML is a {@link SettingsException} naming the line. */
    public static SettingsFile read(Path file) {
        try {
            if (Files.size(file) > LARGEST) {
                throw new SettingsException(file.toString(), "", "larger than 1 MiB");
            }
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(file.toString(), "", "can't be read: " + e.getMessage());
        }
    }

    /** Reads a text; {@code name} stands for the file in what is said of it. */
    public static SettingsFile parse(String name, String text) {
        try {
            return new SettingsFile(name, new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            String where =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            throw new SettingsException(name, "", "not TOML: " + where + e.getOriginalMessage());
        }
    }

    /**
     * The same with all that another file has besides: what stands in both is this one's, value by value, but
     * that a section named in {@code whole} is taken from this one alone.
     */
    public SettingsFile over(SettingsFile base, Set<String> whole) {
        ObjectNode merged = base.root.deepCopy();
        whole.stream().filter(root::has).forEach(merged::remove);
        merge(merged, root);
        return new SettingsFile(name, merged);
    }

    private static void merge(ObjectNode into, JsonNode from) {
        from.properties().forEach(field -> {
            if (field.getValue().isObject() && into.path(field.getKey()).isObject()) {
                merge((ObjectNode) into.get(field.getKey()), field.getValue());
            } else {
                into.set(field.getKey(), field.getValue());
            }
        });
    }

    /** As messages name it. */
    public String name() {
        return name;
    }

    /** Whether the file has this section. */
    public boolean has(String section) {
        return root.has(section);
    }

    /** A section, empty where the file has none. */
    public Section section(String section) {
        known.add(section);
        JsonNode node = root.path(section);
        if (node.isMissingNode()) {
            node = JsonNodeFactory.instance.objectNode();
        }
        if (!node.isObject()) {
            throw new SettingsException(name, section, "expected a section: [" + section + "]");
        }
        Section made = new Section(name, section, node);
        taken.add(made);
        return made;
    }

    /** All readers are done: what none of them asked for is a mistake. */
    public void finish() {
        for (String each : (Iterable<String>) root::fieldNames) {
            if (!known.contains(each)) {
                throw new SettingsException(name, each, "unknown section");
            }
        }
        taken.forEach(Section::finish);
    }
}
