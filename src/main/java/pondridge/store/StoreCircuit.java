package pondridge.store;

import java.util.Random;

/**
 * Whether the store is asked: not after it failed or was slow several times in a row, then once in a while,
 *  each
 * time twice as long after the last as before, with a draw within that, so that many sidecars that lost it
 * together do not come back together. Times in nanoseconds; no I/O.
 */
final class StoreCircuit {
    /**
     * How it is judged.
     *
     * @param slow an answer that took longer counts as a failure
     * @param misses failures in a row that open it
     * @param firstPause how long it is open first
     * @param longestPause the most that doubling makes of it
     */
    record Limits(long slow, int misses, long firstPause, long longestPause) {}

    private final Limits limits;
    private final Random random;
    private int inRow;
    private long pause;
    private long openUntil;
    private boolean open;

    StoreCircuit(Limits limits, long seed) {
        this.limits = limits;
        this.random = new Random(seed);
    }

    /** Whether the store may be asked now. */
    boolean may(long now) {
        return !open || now - openUntil >= 0;
    }

    /** Whether it is thought to be of no use just now. */
    boolean open() {
        return open;
    }

    /** It has answered, after so long. */
    void answered(long took, long now) {
        if (took > limits.slow) {
            failed(now);
            return;
        }
        inRow = 0;
        open = false;
        pause = 0;
    }

    /** It has not, or with an error. */
    void failed(long now) {
        inRow++;
        if (open || inRow >= limits.misses) {
            pause = Math.min(limits.longestPause, pause == 0 ? limits.firstPause : 2 * pause);
            open = true;
            openUntil = now + pause / 2 + (long) (random.nextDouble() * pause / 2);
        }
    }
}
