package pondridge.gateway;

/**
 * Estimates the round-trip time of the link to one gateway and detects stalls. Smoothed as in TCP (RFC 6298,
 * section 2), from round trips that involve no server's work. Times are in nanoseconds.
 */
final class LinkRttEstimator {
    private final long minStallNanos;
    private final double stallFactor;
    private double smoothedRttNanos = -1;
    private double rttVariationNanos;
    private long receivedAt;
    private boolean responsePending;
    private long pendingSince;

    /**
     * A link without measurements.
     *
     * @param minStallNanos the shortest silence that counts as a stall
     * @param stallFactor the multiple of the round-trip estimate that counts as a stall, where that is longer
     */
    LinkRttEstimator(long minStallNanos, double stallFactor, long now) {
        this.minStallNanos = minStallNanos;
        this.stallFactor = stallFactor;
        this.receivedAt = now;
    }

    /** Adds a measured round trip. */
    void addRoundTrip(long sampleNanos, long now) {
        if (smoothedRttNanos < 0) {
            smoothedRttNanos = sampleNanos;
            rttVariationNanos = sampleNanos / 2.0;
        } else {
            rttVariationNanos = 0.75 * rttVariationNanos + 0.25 * Math.abs(smoothedRttNanos - sampleNanos);
            smoothedRttNanos = 0.875 * smoothedRttNanos + 0.125 * sampleNanos;
        }
        received(now);
    }

    /** Records that something was received. */
    void received(long now) {
        receivedAt = now;
        pendingSince = now;
    }

    /** Records whether a response from the other side is outstanding. */
    void setResponsePending(boolean pending, long now) {
        if (pending && !responsePending) {
            pendingSince = now;
        }
        responsePending = pending;
    }

    /**
     * The smoothed round trip plus four times its variation; {@code minStallNanos} before the first
     * measurement.
     */
    long roundTripNanos() {
        return smoothedRttNanos < 0 ? minStallNanos : (long) (smoothedRttNanos + 4 * rttVariationNanos);
    }

    /** Whether a response is outstanding and the other side has been silent for longer than this link takes. */
    boolean isStalled(long now) {
        return responsePending
                && now - Math.max(receivedAt, pendingSince) > Math.max(minStallNanos, stallFactor * roundTripNanos());
    }
}
