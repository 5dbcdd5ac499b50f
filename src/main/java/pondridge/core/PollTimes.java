package pondridge.core;

/**
 * The times at which an event loop asked the kernel which of its sockets are readable. They bound how long bytes have
 * been waiting in a socket, also if the process was stopped or got no processor time meanwhile. Polls are numbered from
 * 1; times are nanoseconds of one monotonic clock. Used on the loop's thread only.
 */
final class PollTimes {
    private final long maxBlockNanos;
    private long current;
    private long currentAt;
    private long startedAt;
    private long handled;
    private long handledAt;
    private long readOnDemandNanos;

    /**
     * Creates a history without polls.
     *
     * @param maxBlockNanos how long a poll blocks at most; one that takes longer was interrupted
     */
    PollTimes(long maxBlockNanos) {
        this.maxBlockNanos = maxBlockNanos;
    }

    /** A poll begins. */
    void pollStarted(long now) {
        current++;
        readOnDemandNanos = 0;
        startedAt = now;
        currentAt = now;
    }

    /** The current poll has returned; its events are handled next. */
    void pollReturned(long now) {
        // After an interruption it is not known when within the poll the kernel looked at the sockets.
        currentAt = now - startedAt > maxBlockNanos ? startedAt : now;
    }

    /** All events of the current poll have been handled. */
    void eventsHandled() {
        handled = current;
        handledAt = currentAt;
    }

    /** Adds time that a read took which no poll had asked for. */
    void addReadOnDemand(long nanos) {
        readOnDemandNanos += nanos;
    }

    /** Time of such reads since the current poll. */
    long readOnDemandNanos() {
        return readOnDemandNanos;
    }

    /** The number of the poll whose events are being handled, or were handled last. */
    long current() {
        return current;
    }

    /** A time at or before the current poll's look at the sockets. */
    long currentAt() {
        return currentAt;
    }

    /** The last poll of which all events have been handled; 0 for none. */
    long handled() {
        return handled;
    }

    /** A time at or before that poll's look at the sockets. */
    long handledAt() {
        return handledAt;
    }
}
