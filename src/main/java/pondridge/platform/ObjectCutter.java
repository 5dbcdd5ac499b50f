package pondridge.platform;

import java.io.ByteArrayOutputStream;

/**
 * Cuts a stream of JSON objects apart. Discovery tells one a line, but a line may come indented over many,
 * and the last one without its end: so an object ends where its last brace does. One thread only.
 */
final class ObjectCutter {
    /** What a byte has completed. */
    enum Seen {
        NOTHING,
        OBJECT,
        EMPTY_LINE,
        NONSENSE
    }

    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean quoted;
    private boolean escaped;

    /** Takes the next byte; after {@link Seen#NONSENSE} nothing more is to be had. */
    Seen take(byte next) {
        if (depth == 0 && next != '{') {
            boolean blank = next == ' ' || next == '\t' || next == '\r' || next == '\n';
            return next == '\n' ? Seen.EMPTY_LINE : blank ? Seen.NOTHING : Seen.NONSENSE;
        }
        object.write(next);
        if (quoted) {
            quoted = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            quoted = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
        return depth == 0 ? Seen.OBJECT : Seen.NOTHING;
    }

    /** Bytes of the object that has begun and not been taken yet. */
    int size() {
        return object.size();
    }

    /** The object that is whole. */
    byte[] object() {
        byte[] whole = object.toByteArray();
        object.reset();
        return whole;
    }
}
