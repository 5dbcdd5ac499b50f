package pondridge.control;

import java.util.concurrent.atomic.LongAdder;

/** What went over sockets, frames included; may be shared by many clients. On any thread. */
public final class Traffic {
    private final LongAdder messagesIn = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder messagesOut = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();

    void in(int bytes) {
        messagesIn.increment();
        bytesIn.add(bytes);
    }

    void out(int bytes) {
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
