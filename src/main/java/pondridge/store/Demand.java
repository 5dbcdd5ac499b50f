package pondridge.store;

/**
 * Requests a second that clients ask of this sidecar, smoothed: what it is asked and not what it sends, or
 * who once had to refuse would be lent less for it and refuse more. No I/O; times in nanoseconds.
 */
final class Demand {
    private static final double SMOOTHING = 10e9;
    private double perSecond;
    private long count;
    private long at;
    private boolean any;

    /** So many have been asked in all by now. */
    void asked(long inAll, long now) {
        if (any && now > at) {
            double took = now - at;
            double part = perSecond == 0 ? 1 : 1 - Math.exp(-took / SMOOTHING);
            perSecond += part * ((inAll - count) / took * 1e9 - perSecond);
        }
        any = true;
        count = inAll;
        at = now;
    }

    double perSecond() {
        return perSecond;
    }
}
