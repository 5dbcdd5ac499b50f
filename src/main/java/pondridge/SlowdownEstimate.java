package pondridge;

/** What servers of one kind take to answer, in parts of what the class usually takes on any. */
final class SlowdownEstimate {
    double mean = 1;
    private double seen = 2;

    void learn(double ratio) {
        seen++;
        mean += Math.max(0.03, 1 / seen) * (Math.min(ratio, 4) - mean);
    }
}
