package pondridge.gateway;

/**
 * Issues timestamps of this gateway's own clock and bounds the age of requests by them. The other side echoes
 * the newest timestamp it has received, so a timestamp is never younger than its request. Only the issuer's
 * clock is read; the peer's clock may be off by any amount. A restart invalidates all earlier timestamps.
 * Times are in nanoseconds.
 */
final class EchoedTimestamps {
    private static final int MAX_LENGTH = 40;
    private final long epoch;
    private final long maxAgeNanos;

    /**
     * Timestamps of one run of the program.
     *
     * @param epoch a random number drawn at startup
     * @param maxAgeNanos the greatest age of a timestamp that counts as fresh
     */
    EchoedTimestamps(long epoch, long maxAgeNanos) {
        this.epoch = epoch;
        this.maxAgeNanos = maxAgeNanos;
    }

    /** A timestamp for the current time. */
    String issue(long now) {
        return Long.toHexString(epoch) + '.' + Long.toHexString(now);
    }

    /** Whether an echoed timestamp is of this run and not too old; false for any other text. */
    boolean isFresh(String text, long now) {
        if (text == null || text.length() > MAX_LENGTH) {
            return false;
        }
        int dot = text.indexOf('.');
        try {
            if (dot < 1 || Long.parseUnsignedLong(text, 0, dot, 16) != epoch) {
                return false;
            }
            long age = now - Long.parseUnsignedLong(text, dot + 1, text.length(), 16);
            return age >= 0 && age <= maxAgeNanos;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
