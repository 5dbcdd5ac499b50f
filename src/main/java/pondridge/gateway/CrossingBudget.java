package pondridge.gateway;

/**
 * How much may cross to other sites, so that a failing site can't drown a healthy one: a rate, and a share of
 * what came. What is worth less leaves more behind for what is worth more. Times in nanoseconds.
 */
final class CrossingBudget {
    private final double perNano;
    private final double burst;
    private final double share;
    private double byRate;
    private double byShare;
    private long at;

    /**
     * A full budget.
     *
     * @param perSecond requests that may cross in a second
     * @param burst how many may at once
     * @param share the part of all that came that may
     */
    CrossingBudget(double perSecond, double burst, double share, long now) {
        this.perNano = perSecond / 1e9;
        this.burst = burst;
        this.share = share;
        this.byRate = burst;
        this.byShare = burst;
        this.at = now;
    }

    /** One more request has come from a client. */
    void came() {
        byShare = Math.min(burst, byShare + share);
    }

    /**
     * Whether one may cross now; it then counts.
     *
     * @param standing 1 for the class worth most, down to 0 for the one worth least
     */
    boolean take(double standing, long now) {
        byRate = Math.min(burst, byRate + Math.max(0, now - at) * perNano);
        at = now;
        double kept = (1 - standing) * 0.6 * burst;
        if (Math.min(byRate, byShare) - kept < 1) {
            return false;
        }
        byRate--;
        byShare--;
        return true;
    }
}
