package pondridge.gateway;

/**
 * How many requests of one other site a gateway takes at a time: grows by one while its own site serves them,
 * halves when it turns one away, at most once in a while, and never falls to nothing, since then nobody would
 * find out that the site has recovered. Additive increase, multiplicative decrease (Chiu and Jain, 1989).
 * Times in nanoseconds.
 */
final class CreditControl {
    private static final int LEAST = 1;
    private final int most;
    private final long pause;
    private double limit;
    private int inFlight;
    private long halvedAt;

    /**
     * Full credit.
     *
     * @param most requests at a time
     * @param pause after a halving until the next
     */
    CreditControl(int most, long pause, long now) {
        this.most = most;
        this.pause = pause;
        this.limit = most;
        this.halvedAt = now - pause;
    }

    /** How many more it takes just now. */
    int credit() {
        return Math.max(0, (int) limit - inFlight);
    }

    /** Takes one, if there is credit. */
    boolean take() {
        if (credit() == 0) {
            return false;
        }
        inFlight++;
        return true;
    }

    /** One has ended; {@code turnedAway} if the own site had no room for it. */
    void ended(boolean turnedAway, long now) {
        inFlight--;
        if (!turnedAway) {
            limit = Math.min(most, limit + 1 / limit);
        } else {
            halve(now, 1);
        }
    }

    /** The own clients suffer while these are in work. */
    void pressed(long now) {
        if (inFlight > 0) {
            halve(now, 0);
        }
    }

    /** Of what is really in use: a limit far above it would have to be halved over and over to be felt. */
    private void halve(long now, int justEnded) {
        if (now - halvedAt >= pause) {
            limit = Math.max(LEAST, Math.min(limit, inFlight + justEnded) / 2);
            halvedAt = now;
        }
    }
}
