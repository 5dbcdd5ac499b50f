package pondridge.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of the source. Changes that arrive within a short delay are combined into one commit with a new
 * version number. A commit becomes visible to watchers only when it is durable. Does no I/O. Not thread-safe.
 */
final class SourceState {
    private record Key(String service, String name) {}

    private final long commitDelayNanos;
    private final int maxEntries;
    private final Map<Key, Resource> pending = new LinkedHashMap<>();
    private Map<Key, Resource> committing = Map.of();
    private ResourceStore committed;
    private ResourceStore draft;
    private long firstPendingNanos;

    /**
     * Resumes from durable state.
     *
     * @param commitDelayNanos how long changes are collected before they are committed
     */
    SourceState(ResourceStore committed, long commitDelayNanos, int maxEntries) {
        this.committed = committed;
        this.commitDelayNanos = commitDelayNanos;
        this.maxEntries = maxEntries;
    }

    /** Creates the state of a source without history, in an epoch later than all earlier ones. */
    static ResourceStore newEpoch(long epoch, int maxTombstones) {
        ResourceStore store = new ResourceStore(maxTombstones);
        store.apply(List.of(), new Version(epoch, 1), 0);
        return store;
    }

    /** Returns the durable state, the only one that may be sent to watchers. */
    ResourceStore committed() {
        return committed;
    }

    int pendingCount() {
        return pending.size() + committing.size();
    }

    /** Sets the state of a key. The last state set before a commit takes effect. */
    void put(Resource resource, long nowNanos) {
        Key key = new Key(resource.service(), resource.name());
        if (committed.liveCount() + pendingCount() >= maxEntries
                && !resource.isDeleted()
                && !pending.containsKey(key)
                && committed.get(resource.service(), resource.name()) == null) {
            throw new IllegalArgumentException(
                    resource.service() + '/' + resource.name() + ": " + maxEntries + " entries at most");
        }
        if (pending.isEmpty()) {
            firstPendingNanos = nowNanos;
        }
        pending.put(key, resource);
    }

    /**
     * Returns when the next commit is due, or {@code Long.MAX_VALUE} while nothing is pending or a commit is
     * being written.
     */
    long nextCommitNanos() {
        return pending.isEmpty() || draft != null ? Long.MAX_VALUE : firstPendingNanos + commitDelayNanos;
    }

    /**
     * Builds the state to be written by the next commit, or returns null if the pending changes alter
     * nothing.
     */
    ResourceStore prepareCommit() {
        Version version =
                new Version(committed.version().epoch(), committed.version().number() + 1);
        List<Change> changes = new ArrayList<>();
        pending.forEach((key, wanted) -> {
            Resource previous = committed.get(key.service(), key.name());
            if (previous == null ? !wanted.isDeleted() : !previous.equals(wanted)) {
                boolean sameBody = wanted.isDeleted()
                        || previous != null && previous.body().equals(wanted.body());
                changes.add(new Change(
                        key.service(),
                        key.name(),
                        wanted.state(),
                        sameBody ? null : wanted.body(),
                        version.number(),
                        sameBody ? 0 : version.number()));
            }
        });
        committing = new LinkedHashMap<>(pending);
        pending.clear();
        if (changes.isEmpty()) {
            committing = Map.of();
            return null;
        }
        draft = committed.copy();
        draft.apply(changes, version, 0);
        return draft;
    }

    /** Publishes the prepared commit, which is now durable. */
    void commitSucceeded() {
        committed = draft;
        draft = null;
        committing = Map.of();
    }

    /**
     * Discards the prepared commit, which could not be written. Its changes become pending again, together
     * with those that arrived in the meantime.
     */
    void commitFailed(long nowNanos) {
        Map<Key, Resource> newer = new LinkedHashMap<>(pending);
        pending.clear();
        pending.putAll(committing);
        pending.putAll(newer);
        committing = Map.of();
        draft = null;
        firstPendingNanos = nowNanos;
    }
}
