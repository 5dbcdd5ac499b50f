package pondridge;

/** Exponentially decaying sum: an amount added one time window ago counts 1/e. */
final class DecayingSum {
    private final double windowNanos;
    private double value;
    /** Time of the last addition; 0 before the first one. */
    private long updatedNanos;

    /** Starts at {@code initialValue}, which does not decay until something is added. */
    DecayingSum(double windowNanos, double initialValue) {
        this.windowNanos = windowNanos;
        this.value = initialValue;
    }

    double value(long now) {
        return updatedNanos == 0 ? value : value * Math.exp((updatedNanos - now) / windowNanos);
    }

    void add(long now, double amount) {
        value = value(now) + amount;
        updatedNanos = now;
    }
}
