package pondridge;

/**
 * Decides when a sidecar calls discovery. A change has to be received within {@link #RECEIVE_WITHIN_NANOS} of the time
 * since which the list may be stale, whatever fails in between: a call that waits in vain for as long as a call may,
 * one that is refused at once. What these and the answer's own wait leave of that time is there for pauses.
 *
 * <p>Many sidecars often have to call for the same reason at the same time, and discovery answers them in turn. If all
 * call at once, those that cannot be answered within the time of a call have waited in vain, and there may be no time
 * for another call. So with many sidecars the calls are spread over the time until the last moment to call.
 *
 * <p>Performs no I/O; times are nanoseconds of one monotonic clock. Not thread-safe.
 */
final class DiscoveryCallSchedule {
    /** A change must be received within this time of being available from discovery. */
    static final long RECEIVE_WITHIN_NANOS = 6_000_000_000L;
    /** A change must be received within this time of a switch to another discovery service. */
    private static final long RECEIVE_AFTER_SWITCH_NANOS = 4_000_000_000L;
    /** How long a call may wait for its response, or for being refused. */
    static final long MAX_CALL_NANOS = 2_000_000_000L;
    /** How long a queue the calls of the last moment may make after watches that many sidecars had open. */
    private static final long QUEUE_AFTER_WATCH_NANOS = MAX_CALL_NANOS / 2;
    /** The same after a start: longer, since discovery may have a queue already, which calls at once would prolong. */
    private static final long QUEUE_AFTER_START_NANOS = MAX_CALL_NANOS * 3 / 4;
    /** Longest interval between the starts of two calls at full pace; the shortest is half of it. */
    private static final long MAX_INTERVAL_NANOS = 1_200_000_000L;

    private static final long MIN_INTERVAL_NANOS = MAX_INTERVAL_NANOS / 2;
    /** Shortest interval between the starts of two calls if one was refused and time is short. */
    private static final long MIN_URGENT_INTERVAL_NANOS = 100_000_000L;
    /** Upper limit of the jitter of calls that follow the end of a watch. */
    private static final long MAX_RECONNECT_JITTER_NANOS = 750_000_000L;
    /** Part of the drain grace that delays may use: a change missed meanwhile counts when the call is over. */
    private static final double DELAY_OF_GRACE = 0.8;
    /**
     * With many sidecars, one that discovery refuses at once calls less often at first, in favor of those that have
     * waited longer; after this time without a response it calls at full pace.
     */
    private static final long FULL_PACE_AFTER_NANOS = 6_000_000_000L;

    private static final double MAX_INTERVAL_FACTOR = 3;
    /** Up to this number of replicas, calls are neither slowed down nor spread: they cost little. */
    private static final int REPLICAS_AT_FULL_PACE = 8;
    /** Upper limit of the pause after a call that outlasted its interval. */
    private static final long MAX_PAUSE_AFTER_CALL_NANOS = 200_000_000L;
    /**
     * The pause, with many sidecars, after a call that waited in vain, when the list has been stale for too long
     * already. Discovery works through the calls in its queue even if their callers have given up, so a fleet that
     * calls again at once keeps the queue longer than a call may wait, and nobody gets a response.
     */
    private static final long MIN_PAUSE_AFTER_QUEUE_NANOS = 1_000_000_000L;

    /** Together with two calls that wait for as long as a call may, less than {@link #RECEIVE_WITHIN_NANOS}. */
    private static final long MAX_PAUSE_AFTER_QUEUE_NANOS = 1_900_000_000L;
    /**
     * Discovery refuses a call that has waited for 2 s. One that failed later may not have been queued at all, or this
     * process was held up before it sent the request, as at its start.
     */
    private static final long MAX_QUEUED_CALL_NANOS = 2_300_000_000L;
    /** What the first call after a start may take in vain, with a delay before it is sent. */
    private static final long FIRST_CALL_ALLOWANCE_NANOS = 2_250_000_000L;
    /** Upper limit of the pause where no time is left for one. */
    private static final long MAX_URGENT_PAUSE_NANOS = 100_000_000L;

    private static final long NEVER = Long.MIN_VALUE;

    /** What has failed. */
    private enum Failure {
        /** The watch had been answered, and has ended. */
        WATCH_ENDED,
        /** The watch had been answered, and has fallen silent. */
        WATCH_SILENT,
        /** A call has waited for its turn for as long as it may; so discovery is up. */
        QUEUED_CALL,
        /** A call took even longer, without an answer; discovery may be down. */
        UNANSWERED_CALL,
        /** A call was refused soon; discovery may be down. */
        REFUSED_CALL
    }

    private final int replicaIndex;
    private final int replicaCount;
    private final boolean manySidecars;
    private final double initialIntervalFactor;
    private final long drainGraceNanos;
    /** How much later than the time limits a change may be received, since the drain grace covers it. */
    private final long graceNanos;

    private long callStartedAt;
    /** Whether a watch has been open since the start, or since the switch to another service. */
    private boolean responded;

    private boolean failing;
    private long failingSince;
    /** Since when a change may have been missed. */
    private long staleSince;
    /** Whether the list became stale when a watch fell silent. */
    private boolean silent;
    /** When a call was last refused; {@link #NEVER} for none since a change may have been missed. */
    private long refusedAt = NEVER;
    /** Whether a call has waited in vain since a change may have been missed. */
    private boolean waitedInVain;

    /** Creates a schedule for the sidecar with this index among those of its tier. */
    DiscoveryCallSchedule(int replicaIndex, int replicaCount, long drainGraceNanos) {
        this.replicaIndex = replicaIndex;
        this.replicaCount = replicaCount;
        this.drainGraceNanos = drainGraceNanos;
        manySidecars = replicaCount > REPLICAS_AT_FULL_PACE;
        initialIntervalFactor =
                Math.max(1, Math.min(MAX_INTERVAL_FACTOR, (double) replicaCount / REPLICAS_AT_FULL_PACE));
        graceNanos = Math.min(MAX_RECONNECT_JITTER_NANOS, (long) (DELAY_OF_GRACE * drainGraceNanos));
    }

    /**
     * The process has started, with a list that may be stale. Returns when to make the first call: at once, or with
     * many sidecars after a delay drawn for this one.
     *
     * @param listAgeNanos how long the list may have been stale by now
     * @param jitter a random number from 0 to 1
     */
    long firstCallAt(long now, long listAgeNanos, double jitter) {
        becomeStale(now - listAgeNanos);
        responded = false;
        callStartedAt = now;
        return manySidecars ? spread(now, lastCallBeforeAnotherAt(), QUEUE_AFTER_START_NANOS, jitter) : now;
    }

    /** A call begins. */
    void callStarted(long now) {
        callStartedAt = now;
    }

    /**
     * Discovery has moved to another service. Calls before count no more. Returns when to make the first call to it.
     *
     * @param staleNanos how long ago the switch was requested
     * @param jitter a random number from 0 to 1
     */
    long callAfterSwitchAt(long now, long staleNanos, double jitter) {
        becomeStale(now - staleNanos);
        responded = false;
        silent = staleNanos > 0;
        failing = false;
        callStartedAt = now;
        long lastCallAt = staleSince + RECEIVE_AFTER_SWITCH_NANOS + graceNanos - MAX_CALL_NANOS;
        return manySidecars ? spread(now, lastCallAt, QUEUE_AFTER_WATCH_NANOS, jitter) : now;
    }

    private void becomeStale(long since) {
        staleSince = since;
        waitedInVain = false;
        refusedAt = NEVER;
    }

    /** Discovery has answered a call; its watch is open. */
    void responseReceived() {
        responded = true;
        failing = false;
    }

    /**
     * A call has failed, or the watch that it opened has ended. Returns when to make the next call.
     *
     * @param silentNanos how long nothing had been received on a watch that has fallen silent; otherwise 0
     * @param jitter a random number from 0 to 1
     */
    long nextCallAt(long now, long silentNanos, double jitter) {
        Failure failure = failureOf(now, silentNanos);
        boolean firstWaitInVain = failure == Failure.QUEUED_CALL && !waitedInVain;
        boolean firstRefusal = failure == Failure.REFUSED_CALL && refusedAt == NEVER;
        update(now, failure, silentNanos);
        long paced = pacedCallAt(now, failure, jitter);
        failingSince = failing ? failingSince : now;
        failing = true;
        if (failure == Failure.QUEUED_CALL && manySidecars) {
            return callAfterWaitInVainAt(now, paced, firstWaitInVain, jitter);
        }
        if (now - staleSince > RECEIVE_WITHIN_NANOS) {
            return paced;
        }
        return switch (failure) {
            case WATCH_ENDED -> paced;
            case WATCH_SILENT -> manySidecars
                    ? spread(now, lastCallAt(), QUEUE_AFTER_WATCH_NANOS, jitter)
                    : urgentCallAt(now, jitter);
            case QUEUED_CALL, UNANSWERED_CALL -> hurry(now, failure, paced, jitter);
            case REFUSED_CALL -> callAfterRefusalAt(now, failure, paced, firstRefusal, jitter);
        };
    }

    private Failure failureOf(long now, long silentNanos) {
        if (!failing && responded) {
            return silentNanos > 0 ? Failure.WATCH_SILENT : Failure.WATCH_ENDED;
        }
        long waited = now - callStartedAt;
        if (waited < MAX_INTERVAL_NANOS) {
            return Failure.REFUSED_CALL;
        }
        return waited <= MAX_QUEUED_CALL_NANOS ? Failure.QUEUED_CALL : Failure.UNANSWERED_CALL;
    }

    private void update(long now, Failure failure, long silentNanos) {
        if (failure == Failure.WATCH_ENDED || failure == Failure.WATCH_SILENT) {
            becomeStale(now - silentNanos);
            silent = silentNanos > 0;
            return;
        }
        if (failure == Failure.REFUSED_CALL) {
            refusedAt = now;
            return;
        }
        if (failure == Failure.QUEUED_CALL && !waitedInVain && refusedAt != NEVER && lastCallAt() <= now) {
            // Discovery has been down and is back. A change counts from its return.
            staleSince = refusedAt;
        }
        waitedInVain = true;
    }

    /** When to call if no time limit is near: so seldom that the fleet does not overload discovery. */
    private long pacedCallAt(long now, Failure failure, double jitter) {
        if (failure == Failure.QUEUED_CALL && manySidecars) {
            long range = MAX_PAUSE_AFTER_QUEUE_NANOS - MIN_PAUSE_AFTER_QUEUE_NANOS;
            return now + MIN_PAUSE_AFTER_QUEUE_NANOS + (long) (range * jitter);
        }
        if (!failing) {
            return Math.max(callStartedAt + interval(1, jitter), now + (long) (graceNanos * jitter));
        }
        boolean refusedEarly = now - callStartedAt < MIN_INTERVAL_NANOS;
        double factor = refusedEarly ? intervalFactor(now - failingSince) : 1;
        long pause = (long) (MAX_PAUSE_AFTER_CALL_NANOS * jitter);
        return Math.max(callStartedAt + interval(factor, jitter), now + pause);
    }

    /**
     * Spreads the calls of many sidecars from now until the last moment to call. Discovery should not become idle,
     * since it needs the time for all of them, and its queue should not become longer than a call may wait. So some
     * sidecars call at once, the others evenly, and the rest at the last moment, when the queue takes as many as fit.
     *
     * @param queueAtEndNanos how long the queue may be made by the calls of the last moment; what is left to {@link
     *     #MAX_CALL_NANOS} is made by the calls at once
     */
    private long spread(long now, long lastCallAt, long queueAtEndNanos, double jitter) {
        long slack = Math.max(0, lastCallAt - now);
        long delay = (long) (position(jitter) * (slack + MAX_CALL_NANOS)) - (MAX_CALL_NANOS - queueAtEndNanos);
        return now + Math.max(0, Math.min(slack, delay));
    }

    /**
     * Position of this sidecar's call among those of all, from 0 to 1. Calls are more even if each sidecar has a part
     * of the range for itself. Index 0 draws from all of it: where replicas are not numbered, each has this index.
     */
    private double position(double jitter) {
        return replicaIndex == 0 || replicaIndex >= replicaCount ? jitter : (replicaIndex + jitter) / replicaCount;
    }

    /**
     * The next call after one that has waited in vain. The queue is long, so the call is made in the second half of the
     * time left for it. If none is left, it is made at once where the queue may have become empty: after the first wait
     * in vain, after a refusal, and after a start, since those that were answered do not call again.
     */
    private long callAfterWaitInVainAt(long now, long paced, boolean firstWaitInVain, double jitter) {
        // Before the first answer, a refusal at once may follow.
        long slack = lastCallAt() - (responded ? 0 : MIN_URGENT_INTERVAL_NANOS) - now;
        if (slack > 0) {
            return now + (long) (slack * (1 + jitter) / 2);
        }
        boolean inTime = now - staleSince <= RECEIVE_WITHIN_NANOS + drainGraceNanos;
        boolean queueMayBeEmpty = firstWaitInVain || refusedAt != NEVER || !responded;
        return inTime && queueMayBeEmpty ? urgentCallAt(now, jitter) : paced;
    }

    /** The next call after one that was refused at once begins early enough for its answer, if there is time. */
    private long callAfterRefusalAt(long now, Failure failure, long paced, boolean firstRefusal, double jitter) {
        if (waitedInVain) {
            return hurry(now, failure, paced, jitter);
        }
        if (manySidecars && !responded && firstRefusal) {
            // Another call may wait in vain, and one more has to be answered after it.
            long slack = Math.max(0, lastCallBeforeAnotherAt() + MIN_URGENT_INTERVAL_NANOS - now);
            return Math.max(callStartedAt + MIN_URGENT_INTERVAL_NANOS, now + (long) (slack * (1 + jitter) / 2));
        }
        long slack = lastCallAt() - now;
        if (slack <= MAX_INTERVAL_NANOS) {
            return paced;
        }
        long hurried = now + (long) (slack * (1 + jitter) / 2);
        return Math.min(paced, Math.max(callStartedAt + MIN_INTERVAL_NANOS, hurried));
    }

    /** Shortens the pause before the next call where the answer would come too late otherwise. */
    private long hurry(long now, Failure failure, long paced, double jitter) {
        if (failure == Failure.UNANSWERED_CALL && refusedAt == NEVER && !responded) {
            // A refusal at once may follow.
            return Math.min(paced, Math.max(now, lastCallAt() - MIN_URGENT_INTERVAL_NANOS));
        }
        if (waitedInVain && refusedAt != NEVER) {
            long slack = Math.max(0, lastCallAt() - now);
            long hurried = now + (long) (slack * (1 + 3 * jitter) / 4);
            return Math.min(paced, Math.max(callStartedAt + MIN_URGENT_INTERVAL_NANOS, hurried));
        }
        return silent && !manySidecars ? Math.min(paced, urgentCallAt(now, jitter)) : paced;
    }

    private long urgentCallAt(long now, double jitter) {
        return Math.max(callStartedAt + MIN_INTERVAL_NANOS, now + (long) (MAX_URGENT_PAUSE_NANOS * jitter));
    }

    /** When the call has to begin whose answer is received in time even if it waits for as long as a call may. */
    private long lastCallAt() {
        return staleSince + RECEIVE_WITHIN_NANOS + graceNanos - MAX_CALL_NANOS;
    }

    /** When the call has to begin that leaves time for another one, and for a refusal, if it waits in vain. */
    private long lastCallBeforeAnotherAt() {
        return lastCallAt() - FIRST_CALL_ALLOWANCE_NANOS - MIN_URGENT_INTERVAL_NANOS;
    }

    private static long interval(double factor, double jitter) {
        return (long) (factor * MAX_INTERVAL_NANOS * (1 + jitter) / 2);
    }

    /** Returns the multiple of the normal interval for a sidecar that has waited this long for a response. */
    private double intervalFactor(long waitedNanos) {
        return Math.max(1, initialIntervalFactor - (initialIntervalFactor - 1) * waitedNanos / FULL_PACE_AFTER_NANOS);
    }
}
