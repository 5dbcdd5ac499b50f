package pondridge.gateway;

/**
 * Whether this site's own servers can be reached. Out of reach after a run of tries that came to nothing or
 * with no server ready; then tried now and then; back by a trickle that doubles, since servers may be cold
 * and queues full; each relapse makes the next return wait longer, so that a flapping link brings no storm.
 * Times in nanoseconds.
 */
final class OwnSite {
    /** Where the site is. */
    enum State {
        IN,
        CUT,
        RETURNING
    }

    /**
     * How it is judged.
     *
     * @param misses tries in a row that came to nothing before the site counts as cut
     * @param trial how often a cut site is tried
     * @param steady how long trials must go well before the return begins
     * @param firstShare the part of requests that return first
     * @param doubling how long until that part doubles
     */
    record Limits(int misses, long trial, long steady, double firstShare, long doubling) {}

    private static final int MOST_RELAPSES = 4;
    private static final int FEWEST_MISSES = 2;
    private final Limits limits;
    private State state = State.IN;
    private int missesInRow;
    private int relapses;
    private long since;
    private long nextTrial;
    private long goodSince = -1;
    private double owedToOwn;

    private String why = "";
    private long coldAt;
    private double coldShare;
    private long coldRamp;

    OwnSite(Limits limits, long now) {
        this.limits = limits;
        this.since = now;
    }

    State state() {
        return state;
    }

    /** Why it is cut or returning, in words for the log. */
    String why() {
        return why;
    }

    /** No server is ready: nothing needs to be tried to know that the site is cut. */
    void noneReady(long now) {
        why = "no server of it is listed as ready";
        cut(now);
    }

    /** A try at the own site has ended; {@code reached} unless no server could be reached in time. */
    void ended(boolean reached, long now) {
        if (!reached) {
            missesInRow++;
            goodSince = -1;
            if (missesInRow >= limits.misses() || state == State.RETURNING) {
                why = missesInRow + " tries in a row reached no server";
                cut(now);
            }
            return;
        }
        missesInRow = 0;
        if (state == State.CUT) {
            goodSince = goodSince < 0 ? now : goodSince;
            if (now - goodSince >= limits.steady() << Math.min(relapses, MOST_RELAPSES)) {
                why = "trials of it went well";
                returning(now);
            }
        }
    }

    /**
     * What the site's other gateways say of it, through other sites: a hint beside own evidence, never in
     * its place. Who has seen a trial go well returns with those who return already, and who has missed twice
     * goes with those who hold it for cut; so views differ for some beats and a trial, and not for as long as
     * each takes by itself.
     */
    void others(Views.Counts counts, long now) {
        if (state == State.CUT && goodSince >= 0 && counts.returning() + counts.in() > 0) {
            why = "a trial of it went well and another gateway returns";
            returning(now);
        } else if (state == State.IN && missesInRow >= FEWEST_MISSES && counts.cut() > 0) {
            why = missesInRow + " tries in a row reached no server and another gateway holds it for cut";
            cut(now);
        }
    }

    /**
     * All servers of the site have just started. Danger: each gateway would send them all it has from one
     * moment to the next, and wait in line before cold servers while others have room; so the site takes its
     * load as it grows warm, from {@code share} of it, evenly over {@code ramp}.
     */
    void started(long now, double share, long ramp) {
        coldAt = now;
        coldShare = share;
        coldRamp = ramp;
        if (state == State.IN) {
            why = "all its servers have just started";
            returning(now);
            // They answer, so it begins with what they can do.
            double doublings = Math.log(Math.max(1, share / limits.firstShare())) / Math.log(2);
            since -= (long) (limits.doubling() * doublings);
        }
    }

    /** The part of its load that a site whose servers have just started can do. */
    private double warmth(long now) {
        return coldRamp == 0 ? 1 : coldShare + (1 - coldShare) * (now - coldAt) / coldRamp;
    }

    private void returning(long now) {
        state = State.RETURNING;
        since = now;
        owedToOwn = 0;
    }

    private void cut(long now) {
        goodSince = -1;
        if (state != State.CUT) {
            relapses += state == State.RETURNING ? 1 : 0;
            state = State.CUT;
            since = now;
            nextTrial = now + limits.trial();
        }
    }

    /** Whether the next request should try the own site; asked once for each, since the trickle counts. */
    boolean accepts(long now) {
        switch (state) {
            case IN -> {
                return true;
            }
            case CUT -> {
                if (now - nextTrial < 0) {
                    return false;
                }
                nextTrial = now + limits.trial();
                return true;
            }
            default -> {
                double share = Math.min(
                        warmth(now), limits.firstShare() * Math.pow(2, (now - since) / (double) limits.doubling()));
                if (share >= 1) {
                    state = State.IN;
                    relapses = 0;
                    return true;
                }
                owedToOwn += share;
                if (owedToOwn < 1) {
                    return false;
                }
                owedToOwn--;
                return true;
            }
        }
    }
}
