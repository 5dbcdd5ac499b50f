package pondridge.gateway;

/**
 * Stamps of a gateway's own clock, by which it knows how long at most a request has been on its way to it:
 * the other side echoes the newest it has seen, so a stamp is never younger than its request. Only one clock
 * is read, by the one who set it; the other may be wrong by any amount. A restart voids all stamps before
 * it. Times in nanoseconds.
 */
final class Stamps {
    private static final int LONGEST = 40;
    private final long epoch;
    private final long freshness;

    /**
     * Stamps of one run of the program.
     *
     * @param epoch a number drawn at random at its start
     * @param freshness how old a stamp may be
     */
    Stamps(long epoch, long freshness) {
        this.epoch = epoch;
        this.freshness = freshness;
    }

    /** A stamp of now. */
    String issue(long now) {
        return Long.toHexString(epoch) + '.' + Long.toHexString(now);
    }

    /** Whether an echoed stamp is one of this run and not too old; any other text is not. */
    boolean fresh(String echoed, long now) {
        if (echoed == null || echoed.length() > LONGEST) {
            return false;
        }
        int dot = echoed.indexOf('.');
        try {
            if (dot < 1 || Long.parseUnsignedLong(echoed, 0, dot, 16) != epoch) {
                return false;
            }
            long age = now - Long.parseUnsignedLong(echoed, dot + 1, echoed.length(), 16);
            return age >= 0 && age <= freshness;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
