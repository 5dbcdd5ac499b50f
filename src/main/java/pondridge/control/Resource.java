package pondridge.control;

import java.util.regex.Pattern;

/**
 * The state of one key at the source: an entry of a service's endpoint list, or a setting of the service (its
 * name begins with {@code @}). The state is separate from the body because it changes often and for many
 * resources at once.
 *
 * @param state a short word; {@code DELETED} to delete the resource
 * @param body the remaining data; empty for a deleted resource
 */
public record Resource(String service, String name, String state, String body) {
    /** The state of a deleted resource. */
    public static final String DELETED = "DELETED";

    static final int MAX_BODY_CHARS = 16 << 10;
    private static final Pattern NAME = Pattern.compile("@?[A-Za-z0-9._:-]{1,64}");
    private static final Pattern STATE = Pattern.compile("[A-Z_]{1,16}");

    /** Throws an {@link IllegalArgumentException} that names the invalid part. */
    public Resource {
        checkName("service", service);
        checkName("name", name);
        if (!STATE.matcher(state).matches()) {
            throw new IllegalArgumentException(
                    "state of " + service + '/' + name + ": expected 1 to 16 capital letters");
        }
        if (body.length() > MAX_BODY_CHARS) {
            throw new IllegalArgumentException("body of " + service + '/' + name + ": " + body.length()
                    + " characters, " + MAX_BODY_CHARS + " at most");
        }
    }

    static void checkName(String field, String name) {
        if (name == null || !NAME.matcher(name).matches()) {
            throw new IllegalArgumentException(field + ": expected 1 to 64 letters, digits and . _ : -, found "
                    + (name == null || name.length() <= 80 ? name : name.substring(0, 80) + "..."));
        }
    }

    boolean isDeleted() {
        return state.equals(DELETED);
    }
}
