package pondridge.lab;

import java.util.ArrayDeque;
import pondridge.Balancer.Limits;

/**
 * What a cold server gets against what it bears, as the operators' pages count it: over any window of the
 * time that the settings name, requests of mean work, those that it refuses included, may be N + 2 x root of
 * N + 2, N being the overload factor times its present capacity times that window.
 */
public final class ColdBudget {
    private record Got(long at, double requests) {}

    private final Limits limits;
    private final long startedAt;
    private final double warm;
    private final ArrayDeque<Got> window = new ArrayDeque<>();
    private double sum;
    private double worstSum;
    private double worstBound = 1;

    /** A server that starts now; {@code warm} is its capacity when warm, in requests a nanosecond. */
    ColdBudget(Limits limits, long startedAt, double warm) {
        this.limits = limits;
        this.startedAt = startedAt;
        this.warm = warm;
    }

    /** Part of its capacity that it has now; it grows evenly from the cold share to the whole. */
    double part(long now) {
        double age = limits.rampTime() == 0 ? 1 : (now - startedAt) / (double) limits.rampTime();
        return limits.coldShare() + (1 - limits.coldShare()) * Math.max(0, Math.min(1, age));
    }

    /** Some more has come; false if that is more than it bears. */
    boolean bears(long now, double requests) {
        if (part(now) >= 1) {
            return true;
        }
        window.add(new Got(now, requests));
        sum += requests;
        while (now - window.peek().at >= limits.tipAfter()) {
            sum -= window.poll().requests;
        }
        double n = limits.overloadFactor() * part(now) * warm * limits.tipAfter();
        double bound = n + 2 * Math.sqrt(n) + 2;
        if (sum * worstBound > worstSum * bound) {
            worstSum = sum;
            worstBound = bound;
        }
        return sum <= bound;
    }

    /** What came in the window that was the worst, by its part of the bound. */
    public double worstSum() {
        return worstSum;
    }

    /** The bound of that window. */
    public double worstBound() {
        return worstBound;
    }
}
