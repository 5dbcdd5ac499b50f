package pondridge.core;

/**
 * The sender of a request, which receives its final response. Exactly one of {@link #served}, {@link #refused}
 * and {@link #failed} is called, once, on the event loop, possibly within {@link Engine#submit}; none after
 * {@link Engine#clientDisconnected}.
 */
public interface Client {
    /** Called right before {@link #refused} or {@link #failed}, with a summary of the attempts. */
    default void reportAttempts(AttemptSummary attempts) {}

    /** How long ago a disconnect that has not been read yet may have arrived at most, in nanoseconds. */
    default long unreadNanos() {
        return 0;
    }

    /**
     * Whether the client is still connected; called right before an attempt is written for it. An implementation that
     * returns {@link ConnectionState#CLOSED} must also call {@link RequestProcessor#clientDisconnected}, later.
     *
     * @param readSocket whether to read the client's socket first, in which a disconnect may be unread
     */
    default ConnectionState connectionState(boolean readSocket) {
        return ConnectionState.OPEN;
    }

    /** The request was served by an upstream. */
    void served(UpstreamResponse response);

    /**
     * The request was refused; a retry is harmless.
     *
     * @param retryAfterNanos when to retry at the earliest; 0 for no recommendation
     */
    void refused(long retryAfterNanos);

    /** The request failed; whether it had an effect is not known. */
    void failed();
}
