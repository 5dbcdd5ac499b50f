package pondridge.control;

/**
 * A token bucket: so many units a second, some of them saved up. What is taken may exceed what is there; then
 * nothing more is given until the debt is paid. So in any time T at most burst + rate x T and one taking more
 * are taken. Times in nanoseconds.
 */
final class Pace {
    private final double rate;
    private final double burst;
    private double tokens;
    private long at;

    Pace(double perSecond, double burst, long now) {
        this.rate = perSecond / 1e9;
        this.burst = burst;
        this.tokens = burst;
        this.at = now;
    }

    /** When something may be taken: now, or later. */
    long from(long now) {
        if (now > at) {
            tokens = Math.min(burst, tokens + (now - at) * rate);
            at = now;
        }
        return tokens > 0 ? now : now + 1 + (long) (-tokens / rate);
    }

    void take(double units) {
        tokens -= units;
    }
}
