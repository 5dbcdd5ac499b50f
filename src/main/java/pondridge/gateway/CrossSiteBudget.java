package pondridge.gateway;

import java.util.ArrayList;
import java.util.List;
import pondridge.Balancer.RequestClass;

/**
 * Limits how many requests are sent to other sites, so that a failing site can't overload a healthy one. The
 * limit is a rate and a share of the arriving requests, over all classes and, where configured, for one
 * class. Each class leaves a reserve of the common budget to the others; by default a class of lower utility
 * leaves more. Times are in nanoseconds.
 */
final class CrossSiteBudget {
    /** The part of the common burst that the class of lowest utility leaves to the others by default. */
    private static final double MAX_RESERVED_FRACTION = 0.6;

    /**
     * A token bucket limit.
     *
     * @param perSecond requests that may be sent to other sites in a second
     * @param burst how many may be sent at once
     * @param arrivalShare the fraction of all arriving requests that may be sent
     */
    record Rate(double perSecond, double burst, double arrivalShare) {}

    /**
     * The limit of one request class.
     *
     * @param rate the class's own limit, null if only the common one applies
     * @param reservedFraction the part of the common burst that it leaves to other classes, from 0 to 1
     */
    record ClassLimit(Rate rate, double reservedFraction) {}

    private static final class Bucket {
        private final Rate rate;
        private double rateTokens;
        private double arrivalTokens;
        private long refilledAt;
        private double leasedPerSecond;
        private long leasedUntil;

        Bucket(Rate rate, long now) {
            this.rate = rate;
            this.rateTokens = rate.burst;
            this.arrivalTokens = rate.burst;
            this.refilledAt = now;
            this.leasedUntil = now;
        }

        private void requestArrived() {
            arrivalTokens = Math.min(rate.burst, arrivalTokens + rate.arrivalShare);
        }

        private double availableTokens(long now) {
            double leasedNanos = Math.max(0, Math.min(now, leasedUntil) - refilledAt);
            double defaultNanos = Math.max(0, now - refilledAt) - leasedNanos;
            rateTokens = Math.min(
                    rate.burst, rateTokens + (leasedNanos * leasedPerSecond + defaultNanos * rate.perSecond) / 1e9);
            refilledAt = Math.max(refilledAt, now);
            return Math.min(rateTokens, arrivalTokens);
        }

        private void take() {
            rateTokens--;
            arrivalTokens--;
        }
    }

    private final Bucket common;
    private final List<Bucket> classBuckets = new ArrayList<>();
    private final List<ClassLimit> classLimits;

    /** A full budget; {@code classLimits} by class number. */
    CrossSiteBudget(Rate common, List<ClassLimit> classLimits, long now) {
        this.common = new Bucket(common, now);
        this.classLimits = List.copyOf(classLimits);
        classLimits.forEach(limit -> classBuckets.add(limit.rate == null ? null : new Bucket(limit.rate, now)));
    }

    /**
     * Replaces this gateway's default part of the site's rate by a leased rate, over all classes, until the
     * given time.
     */
    void lease(double perSecond, long now, long until) {
        common.availableTokens(now);
        common.leasedPerSecond = perSecond;
        common.leasedUntil = until;
    }

    /**
     * The default reserve of a class: proportional to how far its utility is below the highest; 0 for the
     * class of highest utility.
     */
    static double defaultReservedFraction(List<RequestClass> classes, int requestClass) {
        double highest =
                classes.stream().mapToDouble(RequestClass::utility).max().orElse(1);
        double lowest =
                classes.stream().mapToDouble(RequestClass::utility).min().orElse(0);
        return highest == lowest
                ? 0
                : MAX_RESERVED_FRACTION * (highest - classes.get(requestClass).utility()) / (highest - lowest);
    }

    /** Records the arrival of a request from a client. */
    void requestArrived(int requestClass) {
        common.requestArrived();
        if (classBuckets.get(requestClass) != null) {
            classBuckets.get(requestClass).requestArrived();
        }
    }

    /** The part of the free capacity, here and at another site, that a class leaves to the others. */
    double reservedFraction(int requestClass) {
        return classLimits.get(requestClass).reservedFraction;
    }

    /** Takes a token for one request of a class; false if it must not be sent to another site now. */
    boolean tryTake(int requestClass, long now) {
        Bucket classBucket = classBuckets.get(requestClass);
        double free = common.availableTokens(now) - classLimits.get(requestClass).reservedFraction * common.rate.burst;
        if (free < 1 || classBucket != null && classBucket.availableTokens(now) < 1) {
            return false;
        }
        common.take();
        if (classBucket != null) {
            classBucket.take();
        }
        return true;
    }
}
