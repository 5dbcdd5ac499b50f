package pondridge.core;

/**
 * How far a socket has been read, as a time: whatever arrived before it has been read. A read that returns data does
 * not tell whether the end of the stream follows it, so data and end of stream are tracked separately. For a listening
 * socket, connections take the place of data. Used on the loop's thread only.
 */
final class ReadProgress {
    private final PollTimes polls;
    /** The first poll that reports this socket if it is readable. */
    private long firstPoll;

    private long dataReadUpTo;
    private long endReadUpTo;

    /** Creates the progress of a socket to which nothing can have arrived before {@code openedAfter}. */
    ReadProgress(PollTimes polls, long openedAfter) {
        this.polls = polls;
        this.firstPoll = polls.current() + 1;
        this.dataReadUpTo = openedAfter;
        this.endReadUpTo = openedAfter;
    }

    /** The polls of the loop that reads this socket. */
    PollTimes polls() {
        return polls;
    }

    /** Data that is read now, or not read yet, arrived after this time. */
    long dataArrivedAfter() {
        return laterOfPolls(dataReadUpTo);
    }

    /** An end of stream that has not been read yet arrived after this time. */
    long endArrivedAfter() {
        return laterOfPolls(endReadUpTo);
    }

    private long laterOfPolls(long readUpTo) {
        return polls.handled() >= firstPoll && polls.handledAt() - readUpTo > 0 ? polls.handledAt() : readUpTo;
    }

    /**
     * Data was read.
     *
     * @param arrivedAfter {@link #dataArrivedAfter} before the read
     * @param mayHaveMore whether the read stopped at a limit before the socket was empty
     */
    void dataRead(long arrivedAfter, boolean mayHaveMore) {
        endReadUpTo = arrivedAfter;
        dataReadUpTo = mayHaveMore ? arrivedAfter : polls.currentAt();
        firstPoll = mayHaveMore ? Long.MAX_VALUE : polls.current() + 1;
    }

    /** A read that began at {@code readAt} found nothing. */
    void foundEmpty(long readAt) {
        dataReadUpTo = readAt;
        endReadUpTo = readAt;
        firstPoll = polls.current() + 1;
    }
}
