package pondridge;

/**
 * Moving average of the response times of one request class, with a least-squares regression on the cost hint.
 */
final class ServiceTimeEstimate {
    /** Weight of a new sample: averages over about the last 50 responses. */
    private static final double MIN_SAMPLE_WEIGHT = 0.02;

    double mean;
    /** Time of the last sample; far in the past before the first one, as the initial mean is no observation. */
    long learnedAt = Long.MIN_VALUE / 2;

    private long sampleCount;
    private double meanHint;
    private double meanSquaredHint;
    private double meanTimeTimesHint;

    ServiceTimeEstimate(double initialNanos) {
        mean = initialNanos;
    }

    void learn(long now, double elapsedNanos, double hint) {
        learnedAt = now;
        // Clipped to three times the expected time, so that one slow server does not shift the average.
        double clippedNanos = Math.min(elapsedNanos, 3 * expected(hint));
        double sampleWeight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / ++sampleCount);
        mean += sampleWeight * (clippedNanos - mean);
        meanHint += sampleWeight * (hint - meanHint);
        meanSquaredHint += sampleWeight * (hint * hint - meanSquaredHint);
        meanTimeTimesHint += sampleWeight * (clippedNanos * hint - meanTimeTimesHint);
    }

    /** Expected response time for a cost hint; the mean if there is no hint or the hints do not vary. */
    double expected(double hint) {
        double hintVariance = meanSquaredHint - meanHint * meanHint;
        if (hint <= 0 || hintVariance <= 0) {
            return mean;
        }
        double slope = Math.max(0, (meanTimeTimesHint - mean * meanHint) / hintVariance);
        return Math.max(mean / 4, mean + slope * (hint - meanHint));
    }
}
