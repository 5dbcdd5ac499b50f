package pondridge.gateway;

/**
 * Health of this site's own servers as this gateway sees it. The site is cut after a run of attempts that
 * reached no server, or when no server is listed as ready. A cut site is tried at intervals. Traffic then
 * returns as a share that doubles, since servers may be cold and queues full. Each relapse lengthens the wait
 * before the next return, so that a flapping link does not cause load surges. Times are in nanoseconds.
 */
final class LocalSiteHealth {
    /** State of the local site. The names are part of the heartbeat, see {@link SiteStateReports}. */
    enum State {
        IN,
        CUT,
        RETURNING
    }

    /**
     * Thresholds for the state changes.
     *
     * @param failureThreshold consecutive attempts that reached no server before the site counts as cut
     * @param trialIntervalNanos how often a cut site is tried
     * @param steadyNanos how long trials must succeed before the return begins
     * @param initialShare the fraction of requests that returns first
     * @param doublingNanos the time in which that fraction doubles
     */
    record Limits(
            int failureThreshold, long trialIntervalNanos, long steadyNanos, double initialShare, long doublingNanos) {}

    private static final int MAX_RELAPSE_DOUBLINGS = 4;
    private static final int MIN_FAILURES_WITH_PEER_REPORT = 2;
    private final Limits limits;
    private State state = State.IN;
    private int consecutiveFailures;
    private int relapses;
    private long stateSince;
    private long nextTrialAt;
    private long trialsSucceedingSince = -1;
    private double admissionCredit;

    private String reason = "";
    private long coldStartAt;
    private double coldCapacityFraction;
    private long rampNanos;

    LocalSiteHealth(Limits limits, long now) {
        this.limits = limits;
        this.stateSince = now;
    }

    State state() {
        return state;
    }

    /** The reason for the last state change, for the log. */
    String reason() {
        return reason;
    }

    /** Marks the site as cut because no server is listed as ready; no failed attempt is needed. */
    void noServerReady(long now) {
        reason = "no server is listed as ready";
        markCut(now);
    }

    /**
     * Records the end of an attempt at the local site; {@code reached} is false if no server could be reached
     * in time.
     */
    void attemptEnded(boolean reached, long now) {
        if (!reached) {
            consecutiveFailures++;
            trialsSucceedingSince = -1;
            if (consecutiveFailures >= limits.failureThreshold() || state == State.RETURNING) {
                reason = consecutiveFailures + " consecutive attempts reached no server";
                markCut(now);
            }
            return;
        }
        consecutiveFailures = 0;
        if (state == State.CUT) {
            trialsSucceedingSince = trialsSucceedingSince < 0 ? now : trialsSucceedingSince;
            if (now - trialsSucceedingSince >= limits.steadyNanos() << Math.min(relapses, MAX_RELAPSE_DOUBLINGS)) {
                reason = "trials succeeded";
                startReturn(now);
            }
        }
    }

    /**
     * Applies what the site's other gateways report of it through other sites. A report supplements this
     * gateway's own evidence and never replaces it. A gateway that has seen a trial succeed starts its return
     * once another is returning or in; a gateway with two failures marks the site as cut once another has.
     * The views of the gateways thus differ for a few heartbeats and one trial, not for as long as each would
     * need alone.
     */
    void applyPeerReports(SiteStateReports.StateCounts counts, long now) {
        if (state == State.CUT && trialsSucceedingSince >= 0 && counts.returning() + counts.in() > 0) {
            reason = "a trial succeeded and another gateway reports the site as returning or in";
            startReturn(now);
        } else if (state == State.IN && consecutiveFailures >= MIN_FAILURES_WITH_PEER_REPORT && counts.cut() > 0) {
            reason = consecutiveFailures
                    + " consecutive attempts reached no server and another gateway reports the site as cut";
            markCut(now);
        }
    }

    /**
     * Records that all servers of the site have just started. Without a limit each gateway would send them
     * its whole load at once, and requests would queue at cold servers while other sites have capacity. The
     * site therefore takes a share of its load that grows evenly from {@code coldFraction} to all of it over
     * {@code coldRampNanos}.
     */
    void serversStarted(long now, double coldFraction, long coldRampNanos) {
        coldStartAt = now;
        coldCapacityFraction = coldFraction;
        rampNanos = coldRampNanos;
        if (state == State.IN) {
            reason = "all servers have just started";
            startReturn(now);
            // The servers respond, so the return starts at the cold capacity and not at the initial share.
            double doublings = Math.log(Math.max(1, coldFraction / limits.initialShare())) / Math.log(2);
            stateSince -= (long) (limits.doublingNanos() * doublings);
        }
    }

    /** The fraction of its load that the site can serve while its servers warm up. */
    private double warmCapacityFraction(long now) {
        return rampNanos == 0 ? 1 : coldCapacityFraction + (1 - coldCapacityFraction) * (now - coldStartAt) / rampNanos;
    }

    private void startReturn(long now) {
        state = State.RETURNING;
        stateSince = now;
        admissionCredit = 0;
    }

    private void markCut(long now) {
        trialsSucceedingSince = -1;
        if (state != State.CUT) {
            relapses += state == State.RETURNING ? 1 : 0;
            state = State.CUT;
            stateSince = now;
            nextTrialAt = now + limits.trialIntervalNanos();
        }
    }

    /**
     * Whether the next request should try the local site. Call once for each request, since the returning
     * share counts calls.
     */
    boolean admits(long now) {
        switch (state) {
            case IN -> {
                return true;
            }
            case CUT -> {
                if (now - nextTrialAt < 0) {
                    return false;
                }
                nextTrialAt = now + limits.trialIntervalNanos();
                return true;
            }
            default -> {
                double share = Math.min(
                        warmCapacityFraction(now),
                        limits.initialShare() * Math.pow(2, (now - stateSince) / (double) limits.doublingNanos()));
                if (share >= 1) {
                    state = State.IN;
                    relapses = 0;
                    return true;
                }
                admissionCredit += share;
                if (admissionCredit < 1) {
                    return false;
                }
                admissionCredit--;
                return true;
            }
        }
    }
}
