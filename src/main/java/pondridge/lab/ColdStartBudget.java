package pondridge.lab;

import java.util.ArrayDeque;
import pondridge.Balancer.SafetyLimits;

/**
 * Checks the load of a server against the limit that holds during its cold-start ramp. In any window of length
 * {@link SafetyLimits#overloadWindowNanos()}, at most N + 2 x sqrt(N) + 2 requests of mean work may arrive,
 * rejected ones included. N is the overload factor times the server's present capacity times the length of the
 * window.
 * The limit is the one in the operators' specification of cold servers.
 */
public final class ColdStartBudget {
    private record Arrival(long atNanos, double requests) {}

    private final SafetyLimits limits;
    private final long startedNanos;
    private final double warmCapacityPerNano;
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
    private double arrivedInWindow;
    private double worstWindowRequests;
    private double worstWindowLimit = 1;

    /**
     * Creates the budget for one start of a server.
     *
     * @param warmCapacityPerNano requests per nanosecond after the ramp
     */
    ColdStartBudget(SafetyLimits limits, long startedNanos, double warmCapacityPerNano) {
        this.limits = limits;
        this.startedNanos = startedNanos;
        this.warmCapacityPerNano = warmCapacityPerNano;
    }

    /**
     * Returns the current fraction of the warm capacity. It grows linearly from the cold fraction to 1 over the ramp.
     */
    double capacityFraction(long nowNanos) {
        double rampProgress = limits.rampNanos() == 0 ? 1 : (nowNanos - startedNanos) / (double) limits.rampNanos();
        return limits.coldCapacityFraction()
                + (1 - limits.coldCapacityFraction()) * Math.max(0, Math.min(1, rampProgress));
    }

    /** Records an arrival. Returns false if the load of the current window exceeds the limit. */
    boolean recordArrival(long nowNanos, double requests) {
        if (capacityFraction(nowNanos) >= 1) {
            return true;
        }
        arrivals.add(new Arrival(nowNanos, requests));
        arrivedInWindow += requests;
        while (nowNanos - arrivals.peek().atNanos >= limits.overloadWindowNanos()) {
            arrivedInWindow -= arrivals.poll().requests;
        }
        double expected = limits.overloadFactor()
                * capacityFraction(nowNanos)
                * warmCapacityPerNano
                * limits.overloadWindowNanos();
        double limit = expected + 2 * Math.sqrt(expected) + 2;
        if (arrivedInWindow * worstWindowLimit > worstWindowRequests * limit) {
            worstWindowRequests = arrivedInWindow;
            worstWindowLimit = limit;
        }
        return arrivedInWindow <= limit;
    }

    /** Returns the requests of mean work in the window with the highest load relative to its limit. */
    public double worstWindowRequests() {
        return worstWindowRequests;
    }

    /** Returns the limit of the window with the highest load relative to its limit. */
    public double worstWindowLimit() {
        return worstWindowLimit;
    }
}
