package pondridge.http2;

/**
 * Distinguishes a dead connection from one whose upstream is slow to respond (RFC 9113, section 6.7). If nothing
 * is received for some time while streams are open, a PING is sent; if nothing is received in time after the PING,
 * the connection is dead. At most one PING is outstanding, and none is sent without open streams, so an upstream
 * that limits PINGs sees few. Times are in nanoseconds on one monotonic clock.
 */
final class Liveness {
    /** The action to take now. */
    enum Action {
        NONE,
        SEND_PING,
        CLOSE
    }

    private final long pingAfterNanos;
    private final long pingTimeoutNanos;
    private long lastReceivedAt;
    private long pingSentAt;
    private boolean pingOutstanding;

    /**
     * Creates the state of a new connection.
     *
     * @param pingAfterNanos time without received data, while streams are open, after which a PING is sent
     * @param pingTimeoutNanos time after a PING within which some data must be received
     */
    Liveness(long pingAfterNanos, long pingTimeoutNanos, long now) {
        this.pingAfterNanos = pingAfterNanos;
        this.pingTimeoutNanos = pingTimeoutNanos;
        this.lastReceivedAt = now;
    }

    /** Data was received; data of any kind shows that the upstream is alive. */
    void onReceived(long now) {
        lastReceivedAt = now;
        pingOutstanding = false;
    }

    /** A stream is opened on an idle connection: the silence before it does not count. */
    void onStreamsOpened(long now) {
        if (!pingOutstanding) {
            lastReceivedAt = now;
        }
    }

    /** Returns the action to take now; a PING that is requested here counts as sent. */
    Action check(long now, boolean streamsOpen) {
        if (pingOutstanding) {
            return now - pingSentAt >= pingTimeoutNanos ? Action.CLOSE : Action.NONE;
        }
        if (streamsOpen && now - lastReceivedAt >= pingAfterNanos) {
            pingOutstanding = true;
            pingSentAt = now;
            return Action.SEND_PING;
        }
        return Action.NONE;
    }
}
