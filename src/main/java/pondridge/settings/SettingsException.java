package pondridge.settings;

/** An error in a settings file. The message is one line with the file, the key and what was expected. */
public final class SettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Creates an error for a key, or for the whole file where {@code key} is empty. */
    public SettingsException(String file, String key, String problem) {
        super(file + ": " + (key.isEmpty() ? "" : key + ": ") + problem);
    }
}
