package pondridge.gateway;

/**
 * Whether this site's own servers can be reached. Out of reach after a run of tries that came to nothing or
 * with no server ready; then tried now and then; back by a trickle that doubles, since servers may be cold
 * and queues full; each relapse makes the next return wait longer, so that a flapping link brings no storm.
 * Times in nanoseconds.
 */
final class OwnSite {
    /** Where the site is. */
    enum State { IN, CUT, RETURNING }

    /**
     * How it is judged.
     *
     * @param misses tries in a row that came to nothing before the site counts as cut
     * @param trial how often a cut site is tried
     * @param steady how long trials must go well before the return begins
     * @param firstShare the part of requests that return first
     * @param doubling how long until that part doubles
     */
    record Limits(int misses, long trial, long steady, double firstShare, long doubling) { }

    private static final int MOST_RELAPSES = 4;
    private final Limits limits;
    private State state = State.IN;
    private int missesInRow;
    private int relapses;
    private long since;
    private long nextTrial;
    private long goodSince = -1;
    private double owedToOwn;

    OwnSite(Limits limits, long now) {
        this.limits = limits;
        this.since = now;
    }

    State state() {
        return state;
    }

    /** No server is ready: nothing needs to be tried to know that the site is cut. */
    void noneReady(long now) {
        cut(now);
    }

    /** A try at the own site has ended; {@code reached} unless no server could be reached in time. */
    void ended(boolean reached, long now) {
        if (!reached) {
            missesInRow++;
            goodSince = -1;
            if (missesInRow >= limits.misses() || state == State.RETURNING) {
                cut(now);
            }
            return;
        }
        missesInRow = 0;
        if (state == State.CUT) {
            goodSince = goodSince < 0 ? now : goodSince;
            if (now - goodSince >= limits.steady() << Math.min(relapses, MOST_RELAPSES)) {
                state = State.RETURNING;
                since = now;
                owedToOwn = 0;
            }
        }
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
                double share = limits.firstShare() * Math.pow(2, (now - since) / (double) limits.doubling());
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
