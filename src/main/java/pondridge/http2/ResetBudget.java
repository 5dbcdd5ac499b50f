package pondridge.http2;

/**
 * How often streams of one connection may be reset: an upstream that guards itself against rapid resets ends
 * the connection of a client that resets many, and with it what else is open there. Up to {@code most} at
 * once, and as many again over {@code window} nanoseconds.
 */
final class ResetBudget {
    private final double most;
    private final double perNano;
    private double left;
    private long at;

    ResetBudget(int most, long window, long now) {
        this.most = most;
        this.perNano = most / (double) window;
        this.left = most;
        this.at = now;
    }

    /** Whether one may be sent now; it then counts as sent. */
    boolean take(long now) {
        left = Math.min(most, left + Math.max(0, now - at) * perNano);
        at = now;
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }
}
