package pondridge.standin.redis;

/**
 * How a store misbehaves from now on; each part by itself. Changed on any thread.
 */
public final class StoreFaults {
    volatile long delayMs;
    volatile boolean stalled;
    volatile boolean refusing;
    volatile boolean halfReplies;
    volatile boolean loading;
    volatile boolean wrongTypes;
    volatile boolean stale;
    volatile long clockMs;

    /** Each reply waits for so long. */
    public void delay(long ms) {
        delayMs = ms;
    }

    /** Requests are read and never answered, or again are; those of meanwhile stay unanswered. */
    public void stall(boolean on) {
        stalled = on;
    }

    /** Connections are reset as soon as they are made. */
    public void refuse(boolean on) {
        refusing = on;
    }

    /** Half of each reply is written, then the connection ends. */
    public void halfReplies(boolean on) {
        halfReplies = on;
    }

    /** Says that it is still loading its data. */
    public void loading(boolean on) {
        loading = on;
    }

    /** Every read finds another kind of value than was asked for. */
    public void wrongTypes(boolean on) {
        wrongTypes = on;
    }

    /** Reads are answered from the lagging replica. */
    public void stale(boolean on) {
        stale = on;
    }

    /** The server's clock is off by so much. */
    public void clock(long ms) {
        clockMs = ms;
    }
}
