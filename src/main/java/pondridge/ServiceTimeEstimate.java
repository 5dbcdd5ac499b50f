package pondridge;

/** Usual time to an answer of one class, and its growth with the hinted cost by least squares. */
final class ServiceTimeEstimate {
    /** About the last 50 answers. */
    private static final double NEW = 0.02;

    double mean;
    /** Long ago at first: what it starts from has not been seen. */
    long learnedAt = Long.MIN_VALUE / 2;

    private long seen;
    private double cost;
    private double square;
    private double cross;

    ServiceTimeEstimate(double first) {
        mean = first;
    }

    void learn(long now, double took, double hint) {
        learnedAt = now;
        // Cut at three times the expected: one slow server must not become what is usual.
        double time = Math.min(took, 3 * expected(hint));
        double part = Math.max(NEW, 1.0 / ++seen);
        mean += part * (time - mean);
        cost += part * (hint - cost);
        square += part * (hint * hint - square);
        cross += part * (time * hint - cross);
    }

    double expected(double hint) {
        double spread = square - cost * cost;
        if (hint <= 0 || spread <= 0) {
            return mean;
        }
        double slope = Math.max(0, (cross - mean * cost) / spread);
        return Math.max(mean / 4, mean + slope * (hint - cost));
    }
}
