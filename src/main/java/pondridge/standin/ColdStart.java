package pondridge.standin;

import java.util.ArrayDeque;

/**
 * A server that has just started can do part of its work only; sent more than {@code factor} times that part
 * over a whole window, it falls over. Counts, no clock of its own; times in nanoseconds.
 */
public final class ColdStart {
    private final long startedAt;
    private final long ramp;
    private final double share;
    private final double perSecond;
    private final double factor;
    private final long window;
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();

    /**
     * A cold server.
     *
     * @param ramp how long it takes to be warm; its part rises evenly
     * @param share the part it can do at first
     * @param perSecond requests a second that it can do when warm
     */
    public ColdStart(long startedAt, long ramp, double share, double perSecond, double factor, long window) {
        this.startedAt = startedAt;
        this.ramp = ramp;
        this.share = share;
        this.perSecond = perSecond;
        this.factor = factor;
        this.window = window;
    }

    /** One more request has come; false if that pushed the server over. */
    public boolean admit(long now) {
        arrivals.add(now);
        while (now - arrivals.peek() >= window) {
            arrivals.poll();
        }
        double warmth = Math.min(1, share + (1 - share) * Math.max(0, now - startedAt) / ramp);
        return warmth >= 1 || arrivals.size() <= factor * warmth * perSecond * window / 1e9;
    }
}
