package pondridge.http2;

/**
 * What a front holds in bytes: of requests that have come whole or in part, and of answers that the other
 * side has not taken yet. Bounded over all connections, and for one at a quarter of that, so that a
 * peer that reads nothing, or ends nothing that it begins, takes no room from the others. No I/O, no clock;
 * of one thread.
 */
public final class HeldBytes {
    private static final int PARTS = 4;
    private final long most;
    private long held;

    /** Room for so many bytes. */
    public HeldBytes(long most) {
        this.most = most;
    }

    /** Bytes that are held in all. */
    public long held() {
        return held;
    }

    /** A connection has come in. */
    public Share share() {
        return new Share();
    }

    /** What one connection holds. */
    public final class Share {
        private long its;

        private Share() {}

        /** Whether anything more may come by this connection. */
        public boolean room() {
            return its < most / PARTS && held < most;
        }

        /** Holds so many more, if there is room for them. */
        public boolean take(long bytes) {
            if (its + bytes > most / PARTS || held + bytes > most) {
                return false;
            }
            add(bytes);
            return true;
        }

        /** Holds so many more in any case: an answer to what was taken is there and has to go. */
        public void add(long bytes) {
            its += bytes;
            held += bytes;
        }

        /** Lets go of so many. */
        public void give(long bytes) {
            its -= bytes;
            held -= bytes;
        }

        /** What it holds. */
        public long held() {
            return its;
        }
    }
}
