package pondridge.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;

/**
 * Decides which update each watcher of a source or a relay is sent, and when. A watcher has at most one
 * unacknowledged update; changes that happen in the meantime are combined into the next one. A slow watcher
 * therefore costs one message and delays nobody else. Does no I/O. Not thread-safe.
 */
final class UpdateScheduler {
    /**
     * Limits on watchers and updates.
     *
     * @param bytesPerSecond the average rate for each watcher
     * @param burstBytes what a watcher may get at once, beyond the average rate
     * @param relayBytesPerSecond the average rate for a relay, which may get one second's worth at once
     * @param joinsPerSecond first updates to all watchers together; N watchers that connect at once are all
     * served after N / joinsPerSecond seconds
     * @param maxWatchers connected at a time
     * @param minUpdateGapNanos the shortest time between two updates for a watcher, so that successive
     * changes are combined
     * @param heartbeatNanos how often a message is sent while there is nothing new
     * @param ackTimeoutNanos a connection is closed if an update is not acknowledged within this time
     */
    record Limits(
            double bytesPerSecond,
            double burstBytes,
            double relayBytesPerSecond,
            double joinsPerSecond,
            int maxWatchers,
            long minUpdateGapNanos,
            long heartbeatNanos,
            long ackTimeoutNanos) {}

    /**
     * What to do for a watcher.
     *
     * @param update to send now; null for none
     * @param keepalive whether to send a keepalive message, because the watcher is waiting for its turn
     * @param nextCheckNanos when to call again
     * @param closeReason why to close the connection; null to keep it open
     */
    record Action(Update update, boolean keepalive, long nextCheckNanos, String closeReason) {
        Action(Update update, long nextCheckNanos, String closeReason) {
            this(update, false, nextCheckNanos, closeReason);
        }
    }

    private static final class Watcher {
        private final Hello hello;
        private final TokenBucket byteBudget;
        private final long firstUpdateNanos;
        private Version ackedVersion;
        private boolean inFlight;
        private long serial;
        private boolean firstUpdateSent;
        private long sentNanos;
        private long lastMessageNanos;
        private PropagationStatus downstream = PropagationStatus.NONE;

        Watcher(Hello hello, TokenBucket byteBudget, long firstUpdateNanos, long nowNanos) {
            this.hello = hello;
            this.byteBudget = byteBudget;
            this.firstUpdateNanos = firstUpdateNanos;
            this.lastMessageNanos = nowNanos;
            this.ackedVersion = hello.version();
        }
    }

    private final Limits limits;
    private final Supplier<ResourceStore> resources;
    private final LongUnaryOperator ageNanos;
    private final Map<Long, Watcher> watchers = new HashMap<>();
    private final Map<String, Long> idByInstance = new HashMap<>();
    private long nextFirstUpdateNanos = Long.MIN_VALUE;
    private long snapshotsSent;
    private long deltasSent;
    private long rejectedUpdates;

    /**
     * Creates a scheduler without watchers.
     *
     * @param ageNanos gives the age of the state at a time; {@code Long.MAX_VALUE} while there is no state
     */
    UpdateScheduler(Limits limits, Supplier<ResourceStore> resources, LongUnaryOperator ageNanos) {
        this.limits = limits;
        this.resources = resources;
        this.ageNanos = ageNanos;
    }

    int watcherCount() {
        return watchers.size();
    }

    long snapshotsSent() {
        return snapshotsSent;
    }

    long deltasSent() {
        return deltasSent;
    }

    /** Returns the number of updates that watchers have rejected. */
    long rejectedUpdates() {
        return rejectedUpdates;
    }

    /** Returns why no more watchers are accepted, or null if they are. */
    String capacityError() {
        return watchers.size() < limits.maxWatchers ? null : "full: " + limits.maxWatchers + " watchers at most";
    }

    /**
     * Adds a watcher that has connected under a new id.
     *
     * @return the id of its previous connection, which is to be closed; -1 for none
     */
    long addWatcher(long id, Hello hello, long nowNanos) {
        Long previousId = idByInstance.put(hello.instance(), id);
        nextFirstUpdateNanos = Math.max(nowNanos, nextFirstUpdateNanos);
        TokenBucket byteBudget = hello.isRelay()
                ? new TokenBucket(limits.relayBytesPerSecond, limits.relayBytesPerSecond, nowNanos)
                : new TokenBucket(limits.bytesPerSecond, limits.burstBytes, nowNanos);
        watchers.put(id, new Watcher(hello, byteBudget, nextFirstUpdateNanos, nowNanos));
        nextFirstUpdateNanos += (long) (1e9 / limits.joinsPerSecond);
        return previousId == null ? -1 : previousId;
    }

    /** Removes a watcher whose connection has closed. */
    void removeWatcher(long id) {
        Watcher watcher = watchers.remove(id);
        if (watcher != null) {
            idByInstance.remove(watcher.hello.instance(), id);
        }
    }

    /** Decides what to do for a watcher now. The scheduler assumes that the caller does it. */
    Action nextAction(long id, long nowNanos) {
        Watcher watcher = watchers.get(id);
        if (watcher == null) {
            return new Action(null, Long.MAX_VALUE, "unknown watcher");
        }
        if (watcher.inFlight) {
            long ackDeadlineNanos = watcher.sentNanos + limits.ackTimeoutNanos;
            return new Action(
                    null,
                    ackDeadlineNanos,
                    nowNanos < ackDeadlineNanos
                            ? null
                            : "update not acknowledged in time: " + watcher.hello.instance());
        }
        long sendNanos = Math.max(watcher.firstUpdateNanos, watcher.byteBudget.availableAt(nowNanos));
        if (watcher.firstUpdateSent) {
            sendNanos = Math.max(
                    sendNanos,
                    watcher.sentNanos + (hasChangesFor(watcher) ? limits.minUpdateGapNanos : limits.heartbeatNanos));
        }
        if (nowNanos < sendNanos) {
            // A watcher that receives nothing while it waits would time out, reconnect and go to the end of
            // the queue.
            boolean keepalive = nowNanos - watcher.lastMessageNanos >= limits.heartbeatNanos;
            watcher.lastMessageNanos = keepalive ? nowNanos : watcher.lastMessageNanos;
            return new Action(
                    null, keepalive, Math.min(sendNanos, watcher.lastMessageNanos + limits.heartbeatNanos), null);
        }
        Update update = buildUpdate(watcher, nowNanos);
        watcher.inFlight = true;
        watcher.firstUpdateSent = true;
        watcher.sentNanos = nowNanos;
        watcher.lastMessageNanos = nowNanos;
        return new Action(update, nowNanos + limits.ackTimeoutNanos, null);
    }

    /** Records the size of the update just sent to a watcher. */
    void recordSentBytes(long id, int bytes) {
        Watcher watcher = watchers.get(id);
        if (watcher != null) {
            watcher.byteBudget.consume(bytes);
        }
    }

    /** Returns whether there are changes that a watcher lacks; false if the watcher is ahead. */
    private boolean hasChangesFor(Watcher watcher) {
        Version ownVersion = resources.get().version();
        return watcher.ackedVersion.compareTo(ownVersion) < 0
                && (watcher.ackedVersion.epoch() != ownVersion.epoch()
                        || resources.get().hasChangesSince(watcher.ackedVersion.number(), watcher.hello.services()));
    }

    private Update buildUpdate(Watcher watcher, long nowNanos) {
        ResourceStore current = resources.get();
        Hello hello = watcher.hello;
        boolean ahead = watcher.ackedVersion.compareTo(current.version()) >= 0;
        boolean snapshot = !ahead
                && (watcher.ackedVersion.epoch() != current.version().epoch()
                        || watcher.ackedVersion.number() < current.oldestDeltaBase());
        long baseNumber = snapshot
                ? 0
                : Math.min(watcher.ackedVersion.number(), current.version().number());
        List<Change> changes =
                ahead ? List.of() : current.changesSince(snapshot ? -1 : baseNumber, hello.services(), hello.isRelay());
        snapshotsSent += snapshot ? 1 : 0;
        deltasSent += !snapshot && !changes.isEmpty() ? 1 : 0;
        List<String> missingServices = new ArrayList<>();
        for (String each : hello.services()) {
            if (!current.hasService(each)) {
                missingServices.add(each);
            }
        }
        long stateAgeNanos = ageNanos.applyAsLong(nowNanos);
        return new Update(
                ++watcher.serial,
                current.version(),
                snapshot,
                ahead ? current.version().number() : baseNumber,
                hello.isRelay() ? current.oldestDeltaBase() : 0,
                changes,
                missingServices,
                current.digest(hello.services()),
                stateAgeNanos == Long.MAX_VALUE ? -1 : stateAgeNanos / 1_000_000);
    }

    /** Processes an acknowledgement from a watcher. */
    void handleAck(long id, Ack ack) {
        Watcher watcher = watchers.get(id);
        if (watcher == null) {
            return;
        }
        watcher.downstream = watcher.hello.isRelay() ? ack.status() : PropagationStatus.NONE;
        if (!watcher.inFlight || ack.serial() != watcher.serial) {
            return;
        }
        watcher.inFlight = false;
        boolean needsSnapshot = ack.result() == FollowerState.ApplyResult.MISMATCH;
        rejectedUpdates += needsSnapshot || ack.result() == FollowerState.ApplyResult.GAP ? 1 : 0;
        watcher.ackedVersion = needsSnapshot ? Version.NONE : ack.version();
    }

    /**
     * Aggregates the status of all followers below. A follower that lacks no change to its own services
     * counts as having the newest version, whenever its last update was.
     */
    PropagationStatus propagationStatus() {
        Version ownVersion = resources.get().version();
        PropagationStatus total = PropagationStatus.NONE;
        for (Watcher each : watchers.values()) {
            if (each.hello.isRelay()) {
                total = total.plus(each.downstream);
            } else {
                boolean behind = hasChangesFor(each);
                total = total.plus(new PropagationStatus(
                        1,
                        behind || each.ackedVersion.compareTo(ownVersion) > 0 ? each.ackedVersion : ownVersion,
                        behind ? List.of(each.hello.instance()) : List.of()));
            }
        }
        return total;
    }
}
