package pondridge.http2;

/**
 * Limits how often streams of one connection are reset. An upstream protected against rapid resets closes the
 * connection of a client that resets many streams, and with it all other open streams. The budget is a token
 * bucket: up to {@code maxResets} at once, refilled at {@code maxResets} per {@code windowNanos}.
 */
final class ResetBudget {
    private final double maxResets;
    private final double refillPerNano;
    private double available;
    private long refilledAt;

    ResetBudget(int maxResets, long windowNanos, long now) {
        this.maxResets = maxResets;
        this.refillPerNano = maxResets / (double) windowNanos;
        this.available = maxResets;
        this.refilledAt = now;
    }

    /** Whether a reset may be sent now; it then counts as sent. */
    boolean tryTake(long now) {
        available = Math.min(maxResets, available + Math.max(0, now - refilledAt) * refillPerNano);
        refilledAt = now;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
