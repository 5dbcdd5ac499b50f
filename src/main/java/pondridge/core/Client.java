package pondridge.core;

/**
 * The way back: takes a request's one final answer. Exactly one of the methods is called, once, on the event
 * loop, perhaps within {@link Engine#submit}; none after {@link Engine#hangup}.
 */
public interface Client {
    /** Called right before {@link #refused} or {@link #failed}, with what had been tried; for who asks. */
    default void tried(Tried tried) {}

    /**
     * Whether it is still there, asked right before something is sent on for it. Who says no calls
     * {@link Requests#hangup} as well, later.
     *
     * @param late whether the loop may have stood still: then a leave may lie unread in the socket
     */
    default boolean here(boolean late) {
        return true;
    }

    /** Served by an upstream. */
    void served(Answer answer);

    /** Refused: trying again is harmless, best after {@code wait} nanoseconds where that is not 0. */
    void refused(long wait);

    /** Failed, with no promise about effects. */
    void failed();
}
