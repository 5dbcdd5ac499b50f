package pondridge.gateway;

/**
 * Detects that local clients are affected by overload: the local site responded too late or not at all to more
 * than one in twenty of their requests. Other sites' requests then have to be reduced, since the clients of a
 * site that has failed nowhere take precedence. Uses counts only, no times.
 */
final class LocalSloMonitor {
    private static final double TOLERATED_MISS_RATE = 0.05;
    private static final double OVERLOAD_SCORE = 2;
    private double missScore;

    /**
     * Records the end of a local client's request at the local site; true when the misses exceed the
     * tolerated rate.
     */
    boolean requestEnded(boolean inTime) {
        missScore = Math.max(0, missScore + (inTime ? -TOLERATED_MISS_RATE : 1));
        boolean overloaded = missScore >= OVERLOAD_SCORE;
        if (overloaded) {
            missScore = 0;
        }
        return overloaded;
    }
}
