package pondridge;

/** Moving average of the response time of servers of one kind, relative to the class's average on all servers. */
final class SlowdownEstimate {
    double meanRatio = 1;
    /** Starts at 2, as if two samples of the initial mean had been seen. */
    private double sampleCount = 2;

    void addSample(double ratio) {
        sampleCount++;
        meanRatio += Math.max(0.03, 1 / sampleCount) * (Math.min(ratio, 4) - meanRatio);
    }
}
