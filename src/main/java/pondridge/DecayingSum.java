package pondridge;

/** A sum that forgets: what was added a window ago counts by 1/e. */
final class DecayingSum {
    private final double window;
    private double value;
    private long at;

    /** Starts at {@code first}, which counts in full until something is added. */
    DecayingSum(double window, double first) {
        this.window = window;
        this.value = first;
    }

    double value(long now) {
        return at == 0 ? value : value * Math.exp((at - now) / window);
    }

    void add(long now, double more) {
        value = value(now) + more;
        at = now;
    }
}
