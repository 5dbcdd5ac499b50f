package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TimerQueueTest {
    private final RecordingHost host = new RecordingHost(RecordingHost.settings(RecordingHost.REPEATABLE), 1);
    private final TimerQueue timers = new TimerQueue(host);

    @Test
    void timersRunInOrderUnlessTheyAreCancelled() {
        List<String> fired = new ArrayList<>();
        timers.schedule(20, now -> fired.add("b"));
        TimerQueue.Timer cancelled = timers.schedule(10, now -> fail("cancelled"));
        TimerQueue.Timer first = timers.schedule(10, now -> fired.add("a"));
        timers.cancel(cancelled);
        timers.cancel(cancelled);
        timers.runDueTimers(20, 0);
        timers.cancel(first);
        assertEquals(List.of("a", "b"), fired);
        assertEquals(0, timers.size());
    }

    /** Guards against memory that grows with each request that is answered long before its deadline. */
    @Test
    void cancelledTimersAreCleared() {
        List<String> fired = new ArrayList<>();
        timers.schedule(1_000_000, now -> fired.add("kept"));
        for (int i = 0; i < 200_000; i++) {
            timers.cancel(timers.schedule(2_000_000 + i, now -> fail("cancelled")));
            assertTrue(timers.size() <= 8_192, "timers: " + timers.size());
        }
        timers.runDueTimers(3_000_000, 0);
        assertEquals(List.of("kept"), fired);
    }
}
