package pondridge.settings;

/** A mistake in a settings file, told in one line: the file, the key and what was expected. */
public final class SettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** One for a key, or for the whole file where {@code key} is empty. */
    public SettingsException(String file, String key, String problem) {
        super(file + ": " + (key.isEmpty() ? "" : key + ": ") + problem);
    }
}
