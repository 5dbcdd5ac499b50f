package pondridge.control;

import java.util.List;

/**
 * The state that a watcher holds, and the rules by which it accepts updates. It rejects an older version of
 * the same epoch, an earlier epoch, a delta from a version that it doesn't hold, and an update whose digest
 * differs from the sender's. A rejected update changes nothing. Not thread-safe.
 */
final class FollowerState {
    /** The outcome of an update. */
    enum ApplyResult {
        /** The update was applied and changed the state. */
        APPLIED,
        /** The update confirmed the state that is held. */
        UNCHANGED,
        /** The sender's version is older than the one held. The sender may catch up. */
        SENDER_BEHIND,
        /** The update is a delta from a version that is not held. */
        GAP,
        /** Applying the update would not give the sender's state. A snapshot is needed. */
        MISMATCH
    }

    private final Hello identity;
    private final int maxTombstones;
    private ResourceStore resources;
    private long lastSourceContactNanos;
    private boolean sourceContacted;
    private List<String> missingServices = List.of();

    /**
     * Creates an empty state.
     *
     * @param maxTombstones the limit for a relay; 0 for a follower, which forwards nothing
     */
    FollowerState(String instance, List<String> services, boolean isRelay, int maxTombstones) {
        this.identity = new Hello(instance, services, isRelay, Version.NONE);
        this.maxTombstones = maxTombstones;
        this.resources = new ResourceStore(maxTombstones);
    }

    ResourceStore resources() {
        return resources;
    }

    Version version() {
        return resources.version();
    }

    /** Returns the followed services that did not exist as of the last update. */
    List<String> missingServices() {
        return missingServices;
    }

    /** Builds the hello that opens a connection. It carries the version that is held. */
    Hello hello() {
        return new Hello(identity.instance(), identity.services(), identity.isRelay(), resources.version());
    }

    /**
     * Returns the age of the state: the time since the source was known to confirm it, through any number of
     * relays. {@code Long.MAX_VALUE} if it never was.
     */
    long ageNanos(long nowNanos) {
        return sourceContacted ? Math.max(0, nowNanos - lastSourceContactNanos) : Long.MAX_VALUE;
    }

    /** Applies an update if the rules permit it. */
    ApplyResult apply(Update update, long nowNanos) {
        Version current = resources.version();
        if (update.version().compareTo(current) < 0) {
            return ApplyResult.SENDER_BEHIND;
        }
        if (!update.snapshot()
                && (update.version().epoch() != current.epoch() || update.baseNumber() > current.number())) {
            return ApplyResult.GAP;
        }
        ResourceStore next = update.snapshot() ? new ResourceStore(maxTombstones) : resources;
        Long digestAfter = next.digestAfter(update.changes());
        if (digestAfter == null || digestAfter != update.digest()) {
            return ApplyResult.MISMATCH;
        }
        boolean changed = update.snapshot() || !update.changes().isEmpty();
        next.apply(update.changes(), update.version(), update.snapshot() ? update.oldestDeltaBase() : 0);
        resources = next;
        missingServices = update.missingServices();
        recordSourceContact(update, nowNanos);
        return changed ? ApplyResult.APPLIED : ApplyResult.UNCHANGED;
    }

    private void recordSourceContact(Update update, long nowNanos) {
        if (update.ageMs() >= 0) {
            long contactNanos = nowNanos - update.ageMs() * 1_000_000;
            lastSourceContactNanos = sourceContacted ? Math.max(lastSourceContactNanos, contactNanos) : contactNanos;
            sourceContacted = true;
        }
    }
}
