package pondridge.store;

import java.util.Random;

/**
 * Circuit breaker for the store. It opens after several consecutive failures or slow exchanges; then the store
 * is tried at intervals that double up to a limit. Each interval is randomized, so that many sidecars that lost
 * the store together do not return to it together. Times in nanoseconds; no I/O.
 */
final class StoreCircuitBreaker {
    /**
     * Thresholds and pauses.
     *
     * @param slowReplyNanos an exchange that took longer counts as a failure
     * @param failureThreshold consecutive failures that open the circuit
     * @param firstPauseNanos how long the circuit stays open at first
     * @param maxPauseNanos upper limit of the doubled pauses
     */
    record Limits(long slowReplyNanos, int failureThreshold, long firstPauseNanos, long maxPauseNanos) {}

    private final Limits limits;
    private final Random random;
    private int consecutiveFailures;
    private long pauseNanos;
    private long openUntilNanos;
    private boolean open;

    StoreCircuitBreaker(Limits limits, long seed) {
        this.limits = limits;
        this.random = new Random(seed);
    }

    /** Whether an exchange with the store may start now. */
    boolean allowsExchange(long nowNanos) {
        return !open || nowNanos - openUntilNanos >= 0;
    }

    /** Whether the circuit is open: the store is considered unusable. */
    boolean isOpen() {
        return open;
    }

    /** Records an exchange that completed; a slow one counts as a failure. */
    void recordCompletion(long tookNanos, long nowNanos) {
        if (tookNanos > limits.slowReplyNanos) {
            recordFailure(nowNanos);
            return;
        }
        consecutiveFailures = 0;
        open = false;
        pauseNanos = 0;
    }

    /** Records an exchange that failed or timed out. */
    void recordFailure(long nowNanos) {
        consecutiveFailures++;
        if (open || consecutiveFailures >= limits.failureThreshold) {
            pauseNanos = Math.min(limits.maxPauseNanos, pauseNanos == 0 ? limits.firstPauseNanos : 2 * pauseNanos);
            open = true;
            openUntilNanos = nowNanos + pauseNanos / 2 + (long) (random.nextDouble() * pauseNanos / 2);
        }
    }
}
