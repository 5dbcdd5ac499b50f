package pondridge.control;

import java.util.regex.Pattern;

/**
 * What the source is told of one key: an entry of a service's list, or a setting of it (its name begins with
 * {@code @}). The state is apart from the body since it changes often, for many at once.
 *
 * @param state a short word; {@code DELETED} for one that is to go
 * @param body what else is known of it; empty for one that is to go
 */
public record Resource(String service, String name, String state, String body) {
    /** The state of one that is to go. */
    public static final String DELETED = "DELETED";

    static final int LONGEST_BODY = 16 << 10;
    private static final Pattern NAME = Pattern.compile("@?[A-Za-z0-9._:-]{1,64}");
    private static final Pattern STATE = Pattern.compile("[A-Z_]{1,16}");

    /** Throws {@link IllegalArgumentException} that names what is wrong. */
    public Resource {
        checkName("service", service);
        checkName("name", name);
        if (!STATE.matcher(state).matches()) {
            throw new IllegalArgumentException(
                    "state of " + service + '/' + name + ": expected 1 to 16 capital letters");
        }
        if (body.length() > LONGEST_BODY) {
            throw new IllegalArgumentException("body of " + service + '/' + name + ": " + body.length()
                    + " characters, " + LONGEST_BODY + " at most");
        }
    }

    static void checkName(String what, String name) {
        if (name == null || !NAME.matcher(name).matches()) {
            throw new IllegalArgumentException(what + ": expected 1 to 64 letters, digits and . _ : -, found "
                    + (name == null || name.length() <= 80 ? name : name.substring(0, 80) + "..."));
        }
    }

    boolean gone() {
        return state.equals(DELETED);
    }
}
