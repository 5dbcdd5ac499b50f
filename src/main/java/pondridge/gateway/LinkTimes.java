package pondridge.gateway;

/**
 * What the link to one site takes there and back, and whether it stalls. Smoothed as TCP does (RFC 6298,
 * section 2), from round trips that involve no server's work. Times in nanoseconds.
 */
final class LinkTimes {
    private final long least;
    private final double stallFactor;
    private double smoothed = -1;
    private double variation;
    private long heardAt;
    private boolean waiting;
    private long waitingSince;

    /**
     * A link of which nothing is known.
     *
     * @param least the shortest silence that counts as a stall
     * @param stallFactor how many usual round trips of silence are a stall, where that is more
     */
    LinkTimes(long least, double stallFactor, long now) {
        this.least = least;
        this.stallFactor = stallFactor;
        this.heardAt = now;
    }

    /** A round trip has been measured. */
    void roundTrip(long took, long now) {
        if (smoothed < 0) {
            smoothed = took;
            variation = took / 2.0;
        } else {
            variation = 0.75 * variation + 0.25 * Math.abs(smoothed - took);
            smoothed = 0.875 * smoothed + 0.125 * took;
        }
        heard(now);
    }

    /** Anything has come. */
    void heard(long now) {
        heardAt = now;
        waitingSince = now;
    }

    /** Whether the other side owes something: an answer to a ping, or room for what waits to be sent. */
    void owed(boolean something, long now) {
        if (something && !waiting) {
            waitingSince = now;
        }
        waiting = something;
    }

    /** There and back, with what it varies by; a guess of {@code least} before the first measurement. */
    long estimate() {
        return smoothed < 0 ? least : (long) (smoothed + 4 * variation);
    }

    /** Whether the other side owes something and has been silent for longer than this link ever takes. */
    boolean stalled(long now) {
        return waiting && now - Math.max(heardAt, waitingSince) > Math.max(least, stallFactor * estimate());
    }
}
