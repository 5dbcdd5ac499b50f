package pondridge.standin.redis;

/** The faults that a stand-in store injects. Each one is independent; they may be set on any thread. */
public final class StoreFaults {
    volatile long replyDelayMs;
    volatile boolean stallReplies;
    volatile boolean refuseConnections;
    volatile boolean truncateReplies;
    volatile boolean loadingErrors;
    volatile boolean wrongTypeErrors;
    volatile boolean staleReads;
    volatile long clockOffsetMs;

    /** Delays each reply by this time. */
    public void setReplyDelayMillis(long ms) {
        replyDelayMs = ms;
    }

    /** Sets whether requests are read without a reply. Requests read in the meantime never get one. */
    public void setStallReplies(boolean enabled) {
        stallReplies = enabled;
    }

    /** Sets whether new connections are reset at once. */
    public void setRefuseConnections(boolean enabled) {
        refuseConnections = enabled;
    }

    /** Sets whether only half of each reply is written before the connection is closed. */
    public void setTruncateReplies(boolean enabled) {
        truncateReplies = enabled;
    }

    /** Sets whether requests get the error that the data set is still being loaded. */
    public void setLoadingErrors(boolean enabled) {
        loadingErrors = enabled;
    }

    /** Sets whether GET and MGET get the error that the key holds another type. */
    public void setWrongTypeErrors(boolean enabled) {
        wrongTypeErrors = enabled;
    }

    /** Sets whether reads are served by the lagging replica. */
    public void setStaleReads(boolean enabled) {
        staleReads = enabled;
    }

    /** Sets the offset of the server's clock. */
    public void setClockOffsetMillis(long ms) {
        clockOffsetMs = ms;
    }
}
