package pondridge.gateway;

/**
 * Limits how many requests of one other site this gateway takes at a time. The limit grows by 1/limit with
 * each served request and halves, at most once per interval, when the local site rejects one. It never falls
 * to 0, since then its recovery could not be detected. Additive increase, multiplicative
 * decrease (Chiu and Jain, 1989). Times are in nanoseconds.
 */
final class CreditControl {
    private static final int MIN_LIMIT = 1;
    private final int maxInFlight;
    private final long halvingIntervalNanos;
    private double limit;
    private int inFlight;
    private long halvedAt;

    /**
     * Starts at the full limit.
     *
     * @param maxInFlight highest limit of requests at a time
     * @param halvingIntervalNanos shortest time between two halvings
     */
    CreditControl(int maxInFlight, long halvingIntervalNanos, long now) {
        this.maxInFlight = maxInFlight;
        this.halvingIntervalNanos = halvingIntervalNanos;
        this.limit = maxInFlight;
        this.halvedAt = now - halvingIntervalNanos;
    }

    /** How many more requests are taken now. */
    int credit() {
        return Math.max(0, (int) limit - inFlight);
    }

    /** Takes one request if there is credit. */
    boolean tryTake() {
        if (credit() == 0) {
            return false;
        }
        inFlight++;
        return true;
    }

    /** Records the end of a request; {@code rejected} if the local site had no capacity for it. */
    void requestEnded(boolean rejected, long now) {
        inFlight--;
        if (!rejected) {
            limit = Math.min(maxInFlight, limit + 1 / limit);
        } else {
            halve(now, 1);
        }
    }

    /** Halves the limit because local clients miss their deadlines while these requests are being processed. */
    void localClientsOverloaded(long now) {
        if (inFlight > 0) {
            halve(now, 0);
        }
    }

    /**
     * Halves from the number in flight if that is lower: a limit far above the use would need several
     * halvings to have an effect.
     */
    private void halve(long now, int justEnded) {
        if (now - halvedAt >= halvingIntervalNanos) {
            limit = Math.max(MIN_LIMIT, Math.min(limit, inFlight + justEnded) / 2);
            halvedAt = now;
        }
    }
}
