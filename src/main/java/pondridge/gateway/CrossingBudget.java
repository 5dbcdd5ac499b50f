package pondridge.gateway;

import java.util.ArrayList;
import java.util.List;
import pondridge.Balancer.RequestClass;

/**
 * How much may cross to other sites, so that a failing site can't drown a healthy one: a rate and a share of
 * what came, over all classes and, where that is set, of a class. Of the common part a class leaves some
 * behind for the others: what is worth less leaves more, unless that is set. Times in nanoseconds.
 */
final class CrossingBudget {
    /** The class worth least leaves so much of the common burst behind; the others less, by their worth. */
    private static final double KEPT_BY_LEAST = 0.6;

    /**
     * A bound.
     *
     * @param perSecond requests that may cross in a second
     * @param burst how many may at once
     * @param share the part of all that came that may
     */
    record Rate(double perSecond, double burst, double share) {}

    /**
     * A class's part.
     *
     * @param own its own bound, null for none but the common one
     * @param kept the part of the common burst that it leaves behind for others, from 0 to 1
     */
    record Part(Rate own, double kept) {}

    private static final class Bucket {
        private final Rate rate;
        private double byRate;
        private double byShare;
        private long at;
        private double leased;
        private long leasedUntil;

        Bucket(Rate rate, long now) {
            this.rate = rate;
            this.byRate = rate.burst;
            this.byShare = rate.burst;
            this.at = now;
            this.leasedUntil = now;
        }

        private void came() {
            byShare = Math.min(rate.burst, byShare + rate.share);
        }

        private double holds(long now) {
            double lent = Math.max(0, Math.min(now, leasedUntil) - at);
            double own = Math.max(0, now - at) - lent;
            byRate = Math.min(rate.burst, byRate + (lent * leased + own * rate.perSecond) / 1e9);
            at = Math.max(at, now);
            return Math.min(byRate, byShare);
        }

        private void take() {
            byRate--;
            byShare--;
        }
    }

    private final Bucket common;
    private final List<Bucket> own = new ArrayList<>();
    private final List<Part> parts;

    /** A full budget; {@code parts} by the class's number. */
    CrossingBudget(Rate common, List<Part> parts, long now) {
        this.common = new Bucket(common, now);
        this.parts = List.copyOf(parts);
        parts.forEach(part -> own.add(part.own == null ? null : new Bucket(part.own, now)));
    }

    /** Until then this rate holds over all classes, in place of this gateway's own part of the site's. */
    void lease(double perSecond, long now, long until) {
        common.holds(now);
        common.leased = perSecond;
        common.leasedUntil = until;
    }

    /** What each class leaves behind where nothing is set: by its worth, nothing for the one worth most. */
    static double usuallyKept(List<RequestClass> classes, int number) {
        double best = classes.stream().mapToDouble(RequestClass::worth).max().orElse(1);
        double least = classes.stream().mapToDouble(RequestClass::worth).min().orElse(0);
        return best == least ? 0 : KEPT_BY_LEAST * (best - classes.get(number).worth()) / (best - least);
    }

    /** One more request of a class has come from a client. */
    void came(int number) {
        common.came();
        if (own.get(number) != null) {
            own.get(number).came();
        }
    }

    /** The part of what is free, here and at another site, that a class leaves behind for the others. */
    double kept(int number) {
        return parts.get(number).kept;
    }

    /** Whether one of a class may cross now; it then counts. */
    boolean take(int number, long now) {
        Bucket its = own.get(number);
        double free = common.holds(now) - parts.get(number).kept * common.rate.burst;
        if (free < 1 || its != null && its.holds(now) < 1) {
            return false;
        }
        common.take();
        if (its != null) {
            its.take();
        }
        return true;
    }
}
