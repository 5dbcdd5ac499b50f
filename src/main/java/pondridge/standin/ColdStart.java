package pondridge.standin;

import java.util.ArrayDeque;

/**
 * Models the reduced capacity of a server that has just started: it crashes when it gets more than
 * {@code overloadFactor} times its current capacity over a whole window. The caller passes the time; all times
 * are in nanoseconds.
 */
public final class ColdStart {
    private final long startedAtNanos;
    private final long rampNanos;
    private final double initialFraction;
    private final double requestsPerSecond;
    private final double overloadFactor;
    private final long windowNanos;
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();

    /**
     * Creates the model of a server that starts cold.
     *
     * @param startedAtNanos when the server started
     * @param rampNanos how long it takes to warm up; its capacity rises linearly
     * @param initialFraction the fraction of its full capacity at the start
     * @param requestsPerSecond its full capacity
     * @param overloadFactor how many times its current capacity crashes it
     * @param windowNanos the window over which requests are counted
     */
    public ColdStart(
            long startedAtNanos,
            long rampNanos,
            double initialFraction,
            double requestsPerSecond,
            double overloadFactor,
            long windowNanos) {
        this.startedAtNanos = startedAtNanos;
        this.rampNanos = rampNanos;
        this.initialFraction = initialFraction;
        this.requestsPerSecond = requestsPerSecond;
        this.overloadFactor = overloadFactor;
        this.windowNanos = windowNanos;
    }

    /** Counts one more request; false if it crashes the server. */
    public boolean admit(long nowNanos) {
        arrivals.add(nowNanos);
        while (nowNanos - arrivals.peek() >= windowNanos) {
            arrivals.poll();
        }
        double capacityFraction = Math.min(
                1, initialFraction + (1 - initialFraction) * Math.max(0, nowNanos - startedAtNanos) / rampNanos);
        return capacityFraction >= 1
                || arrivals.size() <= overloadFactor * capacityFraction * requestsPerSecond * windowNanos / 1e9;
    }
}
