package pondridge.store;

/**
 * What one sidecar saw of one server in a short while: sums, never a verdict.
 *
 * @param uid the server, as the list names it
 * @param answers attempts that ended
 * @param slowness the sum, over them, of how many times the usual time each took, each cut at
 *     {@link OwnSums#MOST_SLOW}
 * @param bad how many of them ended in an error or in none, or took far longer than usual
 */
record ServerSum(String uid, int answers, double slowness, int bad) {
    private static final int MOST_ANSWERS = 10_000_000;
    private static final int LONGEST_UID = 128;

    /** Whether it can be what it says: nothing else may enter a decision. */
    boolean sound() {
        return !uid.isEmpty()
                && uid.length() <= LONGEST_UID
                && answers > 0
                && answers <= MOST_ANSWERS
                && bad >= 0
                && bad <= answers
                && slowness >= 0
                && slowness <= OwnSums.MOST_SLOW * answers * 1.001;
    }

    /** How many times slower than usual. */
    double ratio() {
        return slowness / answers;
    }
}
