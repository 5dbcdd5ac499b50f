package pondridge.http1;

/**
 * How long a connection to an upstream stays unused after a response. A second response may follow the first by some
 * milliseconds and would be taken for the response to the next request, since HTTP/1.1 has nothing to tell them apart.
 */
final class SettlePeriod {
    private static final long SHORT_NANOS = 25_000_000;
    /**
     * The period while unsolicited data is recent: a second response is then likely, and a busy upstream may send it
     * late. Without recent unsolicited data it would only cost connections.
     */
    private static final long LONG_NANOS = 100_000_000;
    /** How long unsolicited data from any upstream counts as recent. */
    private static final long UNSOLICITED_DATA_WINDOW_NANOS = 60_000_000_000L;

    private boolean hasReceivedUnsolicitedData;
    private long lastUnsolicitedAt;

    /** Records data that an upstream sent without a request for it. */
    void unsolicitedDataReceived(long now) {
        hasReceivedUnsolicitedData = true;
        lastUnsolicitedAt = now;
    }

    /** The period after a response, at time {@code now}, in nanoseconds. */
    long nanos(long now) {
        boolean isRecent = hasReceivedUnsolicitedData && now - lastUnsolicitedAt < UNSOLICITED_DATA_WINDOW_NANOS;
        return isRecent ? LONG_NANOS : SHORT_NANOS;
    }
}
