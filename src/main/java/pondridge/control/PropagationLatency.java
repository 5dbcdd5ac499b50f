package pondridge.control;

import java.util.ArrayDeque;

/**
 * Measures how long a commit takes to reach all followers, from the status that relays report. The number of
 * commits tracked is bounded; when there are more, the newest are covered by the next commit that is tracked.
 */
final class PropagationLatency {
    private static final int MAX_PENDING_COMMITS = 1_024;

    private record Commit(Version version, long committedNanos) {}

    private final ArrayDeque<Commit> pending = new ArrayDeque<>();
    private long lastNanos = -1;
    private long longestNanos = -1;
    private long completedCommits;

    /** Records that a commit is durable and may be sent to watchers. */
    void recordCommit(Version version, long nowNanos) {
        if (pending.size() < MAX_PENDING_COMMITS) {
            pending.add(new Commit(version, nowNanos));
        }
    }

    /** Records the lowest version of all connected followers. Nothing is measured while there are none. */
    void recordStatus(PropagationStatus status, long nowNanos) {
        while (!pending.isEmpty()
                && status.lowestVersion() != null
                && status.lowestVersion().compareTo(pending.peek().version) >= 0) {
            lastNanos = nowNanos - pending.poll().committedNanos;
            longestNanos = Math.max(longestNanos, lastNanos);
            completedCommits++;
        }
    }

    /** Returns how long ago the oldest commit was made that has not reached all followers; 0 for none. */
    long oldestPendingNanos(long nowNanos) {
        return pending.isEmpty() ? 0 : nowNanos - pending.peek().committedNanos;
    }

    /** Returns the latency of the last commit that reached all followers; -1 if none has yet. */
    long lastNanos() {
        return lastNanos;
    }

    long longestNanos() {
        return longestNanos;
    }

    /** Returns the number of commits that have reached all followers. */
    long completedCommits() {
        return completedCommits;
    }
}
