package pondridge.control;

/**
 * A token bucket that allows debt: a single take may exceed the tokens available, and nothing more is
 * available until the debt is refilled. At most burst + rate x T units plus one take are consumed in any time
 * T.
 */
final class TokenBucket {
    private final double ratePerNano;
    private final double burst;
    private double tokens;
    private long updatedNanos;

    TokenBucket(double ratePerSecond, double burst, long nowNanos) {
        this.ratePerNano = ratePerSecond / 1e9;
        this.burst = burst;
        this.tokens = burst;
        this.updatedNanos = nowNanos;
    }

    /** Returns when something may be consumed: now, or a later time. */
    long availableAt(long nowNanos) {
        if (nowNanos > updatedNanos) {
            tokens = Math.min(burst, tokens + (nowNanos - updatedNanos) * ratePerNano);
            updatedNanos = nowNanos;
        }
        return tokens > 0 ? nowNanos : nowNanos + 1 + (long) (-tokens / ratePerNano);
    }

    void consume(double units) {
        tokens -= units;
    }
}
