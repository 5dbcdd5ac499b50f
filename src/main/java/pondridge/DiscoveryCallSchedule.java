package pondridge;

/**
 * Decides when a sidecar calls discovery again after a call has failed. A change has to be received within
 * {@link #RECEIVE_WITHIN_NANOS} of the time since which the list may be stale, whatever fails in between: a call that
 * waits in vain for as long as a call may, one that is refused at once. What these and the answer's own wait leave of
 * that time is there for pauses. With many sidecars pauses are long, so that discovery is not called by all at once;
 * they give way where the time would not suffice. Performs no I/O; times are nanoseconds of one monotonic clock. Not
 * thread-safe.
 */
final class DiscoveryCallSchedule {
    /** A change must be received within this time of being available from discovery. */
    static final long RECEIVE_WITHIN_NANOS = 6_000_000_000L;
    /** How long a call may wait for its response, or for being refused. */
    static final long MAX_CALL_NANOS = 2_000_000_000L;
    /** Longest interval between the starts of two calls at full pace; the shortest is half of it. */
    private static final long MAX_INTERVAL_NANOS = 1_200_000_000L;

    private static final long MIN_INTERVAL_NANOS = MAX_INTERVAL_NANOS / 2;
    /** Upper limit of the jitter of calls that follow the same interruption. */
    private static final long MAX_RECONNECT_JITTER_NANOS = 750_000_000L;
    /** Part of the drain grace that the jitter may use: a change missed meanwhile counts when the call is over. */
    private static final double RECONNECT_JITTER_OF_GRACE = 0.8;
    /**
     * With many sidecars, one that discovery refuses at once calls less often at first, in favor of those that have
     * waited longer; after this time without a response it calls at full pace.
     */
    private static final long FULL_PACE_AFTER_NANOS = 6_000_000_000L;

    private static final double MAX_INTERVAL_FACTOR = 3;
    /** Up to this number of replicas, calls are not slowed down: they cost little. */
    private static final double REPLICAS_AT_FULL_PACE = 8;
    /** Upper limit of the pause after a call that outlasted its interval. */
    private static final long MAX_PAUSE_AFTER_CALL_NANOS = 200_000_000L;
    /**
     * The pause, with many sidecars, after a call that waited in vain. Discovery works through the calls in its queue
     * even if their callers have given up, so a fleet that calls again at once keeps the queue longer than a call may
     * wait, and nobody gets a response.
     */
    private static final long MIN_PAUSE_AFTER_QUEUE_NANOS = 1_250_000_000L;

    private static final long MAX_PAUSE_AFTER_QUEUE_NANOS = 1_750_000_000L;
    /**
     * Discovery refuses a call that has waited for 2 s. One that failed later may not have been queued at all, or this
     * process was held up before it sent the request, as at its start.
     */
    private static final long MAX_QUEUED_CALL_NANOS = 2_300_000_000L;
    /** Within this time after their start many sidecars that were started together make their first calls. */
    private static final long MAX_FIRST_CALL_DELAY_NANOS = 800_000_000L;
    /** Upper limit of the pause where no time is left for one. */
    private static final long MAX_HURRIED_PAUSE_NANOS = 100_000_000L;

    private static final long NEVER = Long.MIN_VALUE;

    /** What has failed. */
    private enum Failure {
        /** The watch had been answered, and has ended or has fallen silent. */
        WATCH,
        /** A call has waited for its turn for as long as it may; so discovery is up. */
        QUEUED_CALL,
        /** A call took even longer, without an answer; discovery may be down. */
        UNANSWERED_CALL,
        /** A call was refused soon; discovery may be down. */
        REFUSED_CALL
    }

    private final double initialIntervalFactor;
    private final long reconnectJitterNanos;
    private long callStartedAt;
    private boolean responded;
    private boolean failing;
    private long failingSince;
    /** Since when a change may have been missed. */
    private long staleSince;
    /** When a call was last refused; {@link #NEVER} for none since a change may have been missed. */
    private long refusedAt = NEVER;
    /** Whether a call has waited in vain since a change may have been missed. */
    private boolean waitedInVain;
    /** Whether time had passed before the first call: a silent watch took time to notice, or a switch to be made. */
    private boolean silent;

    DiscoveryCallSchedule(int replicaCount, long drainGraceNanos) {
        initialIntervalFactor = Math.max(1, Math.min(MAX_INTERVAL_FACTOR, replicaCount / REPLICAS_AT_FULL_PACE));
        reconnectJitterNanos =
                Math.min(MAX_RECONNECT_JITTER_NANOS, (long) (RECONNECT_JITTER_OF_GRACE * drainGraceNanos));
    }

    /**
     * The process has started, with a list that may be stale. Returns when to make the first call: at once, or with
     * many sidecars after a delay drawn for this one.
     *
     * @param listAgeNanos how long the list may have been stale by now
     * @param jitter a random number from 0 to 1
     */
    long firstCallAt(long now, long listAgeNanos, double jitter) {
        staleSince = now - listAgeNanos;
        callStartedAt = now;
        return Math.max(now, staleSince + (long) (slowdown() * MAX_FIRST_CALL_DELAY_NANOS * jitter));
    }

    /** A call begins. */
    void callStarted(long now) {
        callStartedAt = now;
    }

    /**
     * A call to another service begins, which replaces the one before. Its changes have to be received within the same
     * time, counted from the request for the switch.
     *
     * @param staleNanos how long ago the switch was requested
     */
    void serviceSwitched(long now, long staleNanos) {
        callStarted(now);
        staleSince = now - staleNanos;
        silent = staleNanos > 0;
        responded = false;
        failing = false;
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
        Failure failure = failureOf(now);
        long unhurried = unhurriedCallAt(now, failure, jitter);
        if (failure == Failure.WATCH) {
            staleSince = now - silentNanos;
            silent = silentNanos > 0;
            waitedInVain = false;
            refusedAt = NEVER;
        } else if (failure == Failure.REFUSED_CALL) {
            refusedAt = now;
        } else {
            boolean discoveryIsUp = failure == Failure.QUEUED_CALL;
            if (discoveryIsUp && !waitedInVain && refusedAt != NEVER && latestCallAt() <= now) {
                // It has been down and is back. A change counts from its return.
                staleSince = refusedAt;
            }
            waitedInVain = true;
        }
        failingSince = failing ? failingSince : now;
        failing = true;
        return hurry(now, failure, unhurried, jitter);
    }

    private Failure failureOf(long now) {
        if (!failing && responded) {
            return Failure.WATCH;
        }
        long waited = now - callStartedAt;
        if (waited < MAX_INTERVAL_NANOS) {
            return Failure.REFUSED_CALL;
        }
        return waited <= MAX_QUEUED_CALL_NANOS ? Failure.QUEUED_CALL : Failure.UNANSWERED_CALL;
    }

    /** When to call if there is time enough: so seldom that the fleet does not overload discovery. */
    private long unhurriedCallAt(long now, Failure failure, double jitter) {
        if (!failing) {
            return Math.max(callStartedAt + interval(1, jitter), now + (long) (reconnectJitterNanos * jitter));
        }
        boolean refusedEarly = now - callStartedAt < MIN_INTERVAL_NANOS;
        double factor = refusedEarly ? intervalFactor(now - failingSince) : 1;
        double pause = MAX_PAUSE_AFTER_CALL_NANOS * jitter;
        if (failure == Failure.QUEUED_CALL) {
            double pauseAfterQueue =
                    MIN_PAUSE_AFTER_QUEUE_NANOS + (MAX_PAUSE_AFTER_QUEUE_NANOS - MIN_PAUSE_AFTER_QUEUE_NANOS) * jitter;
            pause = Math.max(pause, slowdown() * pauseAfterQueue);
        }
        return Math.max(callStartedAt + interval(factor, jitter), now + (long) pause);
    }

    /** Shortens the pause before the next call where the answer would come too late otherwise. */
    private long hurry(long now, Failure failure, long unhurried, double jitter) {
        if (now - staleSince > RECEIVE_WITHIN_NANOS) {
            return unhurried;
        }
        if (waitedInVain && refusedAt != NEVER) {
            // With unhurried pauses these two and the answer's wait would take longer than there is time. A wait in
            // vain alone shortens no pause: that would be all sidecars of a crowd at once.
            return Math.min(unhurried, hurriedCallAt(now, Math.max(0, latestCallAt() - now), jitter));
        }
        if (failure == Failure.REFUSED_CALL) {
            return hurriedAfterRefusal(now, unhurried, jitter);
        }
        if (silent) {
            // Half of the time has passed before the silence was noticed.
            long shortened = Math.max(0, unhurried - hurriedCallAt(now, 0, jitter));
            return unhurried - (long) ((1 - slowdown()) * shortened);
        }
        return unhurried;
    }

    /** The next call after refusals alone begins early enough for its answer, if there is time to spread such calls. */
    private long hurriedAfterRefusal(long now, long unhurried, double jitter) {
        long slack = latestCallAt() + reconnectJitterNanos - now;
        if (slack <= MAX_INTERVAL_NANOS) {
            return unhurried;
        }
        long hurried = now + (long) (slack * (1 + jitter) / 2);
        return Math.min(unhurried, Math.max(callStartedAt + MIN_INTERVAL_NANOS, hurried));
    }

    private long hurriedCallAt(long now, long slack, double jitter) {
        long pause = Math.max((long) (MAX_HURRIED_PAUSE_NANOS * jitter), (long) (slack * (1 + 3 * jitter) / 4));
        return Math.max(callStartedAt + MIN_INTERVAL_NANOS, now + pause);
    }

    /** When the call has to begin whose answer is received in time even if it waits for as long as a call may. */
    private long latestCallAt() {
        return staleSince + RECEIVE_WITHIN_NANOS - MAX_CALL_NANOS;
    }

    private static long interval(double factor, double jitter) {
        return (long) (factor * MAX_INTERVAL_NANOS * (1 + jitter) / 2);
    }

    /** How much slower than at full pace this fleet calls discovery: 0 for a small one, 1 for a large one. */
    private double slowdown() {
        return (initialIntervalFactor - 1) / (MAX_INTERVAL_FACTOR - 1);
    }

    /** Returns the multiple of the normal interval for a sidecar that has waited this long for a response. */
    private double intervalFactor(long waitedNanos) {
        return Math.max(1, initialIntervalFactor - (initialIntervalFactor - 1) * waitedNanos / FULL_PACE_AFTER_NANOS);
    }
}
