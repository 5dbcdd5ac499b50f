package pondridge.store;

/**
 * Smoothed rate of requests that clients send to this sidecar. It counts requests received rather than
 * attempts sent: otherwise a sidecar that had to refuse requests would get smaller leases and refuse more. No
 * I/O; times in nanoseconds.
 */
final class RequestRateEstimate {
    private static final double SMOOTHING_NANOS = 10e9;
    private double perSecond;
    private long lastTotal;
    private long lastNanos;
    private boolean anyTotal;

    /** Records how many requests have been received in total by now. */
    void recordTotal(long total, long nowNanos) {
        if (anyTotal && nowNanos > lastNanos) {
            double elapsedNanos = nowNanos - lastNanos;
            double smoothingWeight = perSecond == 0 ? 1 : 1 - Math.exp(-elapsedNanos / SMOOTHING_NANOS);
            perSecond += smoothingWeight * ((total - lastTotal) / elapsedNanos * 1e9 - perSecond);
        }
        anyTotal = true;
        lastTotal = total;
        lastNanos = nowNanos;
    }

    double perSecond() {
        return perSecond;
    }
}
