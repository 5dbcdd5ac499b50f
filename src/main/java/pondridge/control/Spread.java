package pondridge.control;

import java.util.ArrayDeque;

/**
 * How long a commit takes to be in force everywhere, measured from the sums that come up. Bounded: of more
 * commits than fit, the youngest are measured with the next. Times in nanoseconds.
 */
final class Spread {
    private static final int MOST_OPEN = 1_024;

    private record Commit(Version version, long at) {}

    private final ArrayDeque<Commit> open = new ArrayDeque<>();
    private long last = -1;
    private long longest = -1;
    private long count;

    /** A commit is durable, and may be told. */
    void committed(Version version, long now) {
        if (open.size() < MOST_OPEN) {
            open.add(new Commit(version, now));
        }
    }

    /** All that are known have at least this version; nothing is measured while there is nobody. */
    void told(Sums sums, long now) {
        while (!open.isEmpty() && sums.lowest() != null && sums.lowest().compareTo(open.peek().version) >= 0) {
            last = now - open.poll().at;
            longest = Math.max(longest, last);
            count++;
        }
    }

    /** How long the oldest commit that is not in force everywhere has been under way; 0 for none. */
    long waiting(long now) {
        return open.isEmpty() ? 0 : now - open.peek().at;
    }

    /** Of the last one that got everywhere; -1 for none yet. */
    long last() {
        return last;
    }

    long longest() {
        return longest;
    }

    /** Commits that got everywhere. */
    long count() {
        return count;
    }
}
