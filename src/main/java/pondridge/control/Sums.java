package pondridge.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Who has what, summed on its way up: never a line for each.
 *
 * @param count followers below
 * @param lowest version that any of them lives by; null for none
 * @param behind names of a few that have not the newest
 */
public record Sums(long count, Version lowest, List<String> behind) {
    /** Nobody below. */
    public static final Sums NONE = new Sums(0, null, List.of());

    static final int MOST_NAMES = 3;

    /** Both together. */
    Sums plus(Sums other) {
        List<String> names = new ArrayList<>(behind);
        other.behind.stream()
                .limit(MOST_NAMES - Math.min(MOST_NAMES, names.size()))
                .forEach(names::add);
        return new Sums(
                count + other.count,
                lowest == null
                        ? other.lowest
                        : other.lowest == null || lowest.compareTo(other.lowest) <= 0 ? lowest : other.lowest,
                names);
    }
}
