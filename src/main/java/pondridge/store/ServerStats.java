package pondridge.store;

/**
 * Statistics of one sidecar on one server over a short window: raw sums, without a judgement.
 *
 * @param uid the server's name in the endpoint list
 * @param attempts attempts that ended
 * @param slowdownSum the sum over these attempts of time taken divided by baseline time, each quotient capped
 *     at {@link LocalAttemptStats#MAX_SLOWDOWN}
 * @param badAttempts attempts that ended in an error or without a response, or took far longer than the
 *     baseline
 */
record ServerStats(String uid, int attempts, double slowdownSum, int badAttempts) {
    private static final int MAX_ATTEMPTS = 10_000_000;
    private static final int MAX_UID_LENGTH = 128;

    /** Whether the values are possible. Others must not enter a decision. */
    boolean isValid() {
        return !uid.isEmpty()
                && uid.length() <= MAX_UID_LENGTH
                && attempts > 0
                && attempts <= MAX_ATTEMPTS
                && badAttempts >= 0
                && badAttempts <= attempts
                && slowdownSum >= 0
                && slowdownSum <= LocalAttemptStats.MAX_SLOWDOWN * attempts * 1.001;
    }

    /** How many times longer than the baseline an attempt took on average. */
    double meanSlowdown() {
        return slowdownSum / attempts;
    }
}
