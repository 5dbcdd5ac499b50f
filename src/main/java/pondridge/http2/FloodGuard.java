package pondridge.http2;

/**
 * Counts a peer's frames that cause work but carry no payload: SETTINGS, PING, PRIORITY, unknown frames, empty
 * DATA, and WINDOW_UPDATE beyond what open streams account for (RFC 9113, section 10.5). A connection that exceeds
 * the limit within a window is to be closed.
 */
public final class FloodGuard {
    private final int maxFrames;
    private final long windowNanos;
    private long windowStart;
    private int count;

    /** Admits {@code maxFrames} frames within each window of {@code windowNanos}. */
    public FloodGuard(int maxFrames, long windowNanos, long now) {
        this.maxFrames = maxFrames;
        this.windowNanos = windowNanos;
        this.windowStart = now;
    }

    /** Allows this many further frames, which are the expected result of something that was sent. */
    void allow(int frames) {
        count = Math.max(-maxFrames, count - frames);
    }

    /** Counts one received frame; false if it exceeds the limit. */
    public boolean admit(long now) {
        if (now - windowStart >= windowNanos) {
            windowStart = now;
            count = Math.min(count, 0);
        }
        return ++count <= maxFrames;
    }
}
