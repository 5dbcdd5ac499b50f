package pondridge.platform;

import java.io.ByteArrayOutputStream;

/**
 * Splits a byte stream into JSON objects. Discovery sends one object per line, but an object may be indented over
 * several lines and the last one may lack its line end, so an object ends at its closing brace. Not thread-safe.
 */
final class JsonObjectSplitter {
    /** What the last byte completed. */
    enum Event {
        NOTHING,
        OBJECT,
        EMPTY_LINE,
        INVALID
    }

    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /** Reads the next byte. After {@link Event#INVALID} the stream cannot be read any further. */
    Event accept(byte next) {
        if (depth == 0 && next != '{') {
            boolean blank = next == ' ' || next == '\t' || next == '\r' || next == '\n';
            return next == '\n' ? Event.EMPTY_LINE : blank ? Event.NOTHING : Event.INVALID;
        }
        buffer.write(next);
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
        return depth == 0 ? Event.OBJECT : Event.NOTHING;
    }

    /** Number of bytes buffered for the current object. */
    int size() {
        return buffer.size();
    }

    /** Returns the complete object and clears the buffer. */
    byte[] removeObject() {
        byte[] bytes = buffer.toByteArray();
        buffer.reset();
        return bytes;
    }
}
