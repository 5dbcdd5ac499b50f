package pondridge.core;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import pondridge.Balancer.RequestClass;

/**
 * The ids of requests that are open, and of those whose attempts may still run although they have ended here. A request
 * that comes again with such an id, as after its client has reconnected, must not be executed a second time. Bounded:
 * when too many have ended, the ids that ended first are forgotten. No I/O; times are in nanoseconds. Not thread-safe.
 */
public final class RequestIds {
    private static final int MAX_RETAINED = 16_384;
    /** How long an id is retained beyond the longest deadline, within which an attempt ends. */
    private static final long MARGIN_NANOS = 2_000_000_000L;

    private record EndedId(String id, long endedAt) {}

    private final long retentionNanos;
    private final Set<String> ids = new HashSet<>();
    private final ArrayDeque<EndedId> ended = new ArrayDeque<>();

    /** Creates an empty table; an attempt of a request runs until the deadline of its class at most. */
    public RequestIds(List<RequestClass> classes) {
        long longestDeadlineNanos =
                classes.stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
        this.retentionNanos = longestDeadlineNanos + MARGIN_NANOS;
    }

    /** Adds the id of a request that is being opened; returns false if it is in the table already. */
    public boolean open(String id, long now) {
        removeExpired(now);
        return ids.add(id);
    }

    /** A request has ended that had attempts: its id is retained, since one of them may still run. */
    public void endAfterAttempts(String id, long now) {
        ended.add(new EndedId(id, now));
        if (ended.size() > MAX_RETAINED) {
            ids.remove(ended.poll().id);
        }
    }

    /** A request has ended that had no attempt. */
    public void endWithoutAttempt(String id) {
        ids.remove(id);
    }

    /** The number of ids in the table. */
    public int size() {
        return ids.size();
    }

    private void removeExpired(long now) {
        while (!ended.isEmpty() && now - ended.peek().endedAt > retentionNanos) {
            ids.remove(ended.poll().id);
        }
    }
}
