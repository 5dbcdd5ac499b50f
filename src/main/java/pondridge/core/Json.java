package pondridge.core;

import com.fasterxml.jackson.databind.ObjectMapper;

/** The shared JSON mapper; each further mapper would hold its own caches. */
public final class Json {
    /** Thread-safe. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}
}
