package pondridge.core;

import com.fasterxml.jackson.databind.ObjectMapper;

/** The one reader of JSON: a second one would hold its own tables. */
public final class Json {
    /** Safe to use on any thread. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}
}
