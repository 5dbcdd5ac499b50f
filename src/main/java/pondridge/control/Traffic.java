package pondridge.control;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts messages and bytes on connections, including frame headers. May be shared by many clients.
 * Thread-safe.
 */
public final class Traffic {
    private final LongAdder messagesIn = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder messagesOut = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();

    void recordReceived(int bytes) {
        messagesIn.increment();
        bytesIn.add(bytes);
    }

    void recordSent(int bytes) {
        messagesOut.increment();
        bytesOut.add(bytes);
    }

    public long messagesIn() {
        return messagesIn.sum();
    }

    public long bytesIn() {
        return bytesIn.sum();
    }

    public long messagesOut() {
        return messagesOut.sum();
    }

    public long bytesOut() {
        return bytesOut.sum();
    }
}
