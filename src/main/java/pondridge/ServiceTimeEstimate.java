package pondridge;

/**
 * Moving average of the response times of one request class, with a least-squares regression on the cost hint.
 */
final class ServiceTimeEstimate {
    /** Weight of a new sample: averages over about the last 50 responses. */
    private static final double MIN_SAMPLE_WEIGHT = 0.02;

    double meanNanos;
    /** Time of the last sample; far in the past before the first one, as the initial mean is no observation. */
    long lastSampleNanos = Long.MIN_VALUE / 2;

    private long sampleCount;
    private double meanHint;
    private double meanSquaredHint;
    private double meanTimeTimesHint;

    ServiceTimeEstimate(double initialNanos) {
        meanNanos = initialNanos;
    }

    void addSample(long now, double elapsedNanos, double hint) {
        lastSampleNanos = now;
        // Clipped to three times the expected time, so that one slow server does not shift the average.
        double clippedNanos = Math.min(elapsedNanos, 3 * expectedNanos(hint));
        double sampleWeight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / ++sampleCount);
        meanNanos += sampleWeight * (clippedNanos - meanNanos);
        meanHint += sampleWeight * (hint - meanHint);
        meanSquaredHint += sampleWeight * (hint * hint - meanSquaredHint);
        meanTimeTimesHint += sampleWeight * (clippedNanos * hint - meanTimeTimesHint);
    }

    /** Expected response time for a cost hint; the mean if there is no hint or the hints do not vary. */
    double expectedNanos(double hint) {
        double hintVariance = meanSquaredHint - meanHint * meanHint;
        if (hint <= 0 || hintVariance <= 0) {
            return meanNanos;
        }
        double slope = Math.max(0, (meanTimeTimesHint - meanNanos * meanHint) / hintVariance);
        return Math.max(meanNanos / 4, meanNanos + slope * (hint - meanHint));
    }
}
