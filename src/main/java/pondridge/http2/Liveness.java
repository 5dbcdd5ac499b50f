package pondridge.http2;

/**
 * Tells a connection that has gone silent from one whose upstream takes its time (RFC 9113, section 6.7):
 * after some quiet with streams open it is pinged, and without an answer in time it is dead. One ping is out
 * at a time and none without open streams, so an upstream that counts pings sees few. Times in nanoseconds on
 * one clock that never runs back.
 */
final class Liveness {
    /** What is to be done now. */
    enum Step {
        NOTHING,
        PING,
        DEAD
    }

    private final long quiet;
    private final long patience;
    private long heardAt;
    private long pingedAt;
    private boolean pinged;

    /**
     * For a connection that has just come up.
     *
     * @param quiet how long nothing may come, while streams are open, before a ping
     * @param patience how long anything may take to come after a ping
     */
    Liveness(long quiet, long patience, long now) {
        this.quiet = quiet;
        this.patience = patience;
        this.heardAt = now;
    }

    /** Something has come, whatever it is: the upstream is there. */
    void heard(long now) {
        heardAt = now;
        pinged = false;
    }

    /** The first stream opens where none was: that it was quiet until now says nothing. */
    void awoken(long now) {
        if (!pinged) {
            heardAt = now;
        }
    }

    /** Looks at the clock; a ping that this asks for counts as sent. */
    Step look(long now, boolean streamsOpen) {
        if (pinged) {
            return now - pingedAt >= patience ? Step.DEAD : Step.NOTHING;
        }
        if (streamsOpen && now - heardAt >= quiet) {
            pinged = true;
            pingedAt = now;
            return Step.PING;
        }
        return Step.NOTHING;
    }
}
