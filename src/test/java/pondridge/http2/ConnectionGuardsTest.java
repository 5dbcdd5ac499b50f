package pondridge.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests {@link Liveness}, {@link ResetBudget} and {@link FloodGuard}. */
class ConnectionGuardsTest {
    @Test
    void silentConnectionIsPingedOnceAndThenClosed() {
        Liveness liveness = new Liveness(100, 50, 0);
        assertEquals(Liveness.Action.NONE, liveness.check(1_000, false), "no stream is open");
        liveness.onStreamsOpened(1_000);
        assertEquals(Liveness.Action.NONE, liveness.check(1_099, true));
        assertEquals(Liveness.Action.SEND_PING, liveness.check(1_100, true));
        assertEquals(Liveness.Action.NONE, liveness.check(1_149, true), "only one outstanding ping");
        liveness.onStreamsOpened(1_149);
        assertEquals(Liveness.Action.CLOSE, liveness.check(1_150, true));
        liveness.onReceived(1_150);
        assertEquals(Liveness.Action.NONE, liveness.check(1_249, true));
    }

    @Test
    void resetsAreLimitedOverAnyWindow() {
        ResetBudget budget = new ResetBudget(10, 1_000, 0);
        int resets = 0;
        for (long now = 0; now < 1_000; now++) {
            resets += budget.tryTake(now) ? 1 : 0;
        }
        assertTrue(resets >= 19 && resets <= 20, "one burst plus the refill of one window: " + resets);
    }

    @Test
    void controlFramesCausedByRequestsAreAllowed() {
        FloodGuard guard = new FloodGuard(10, 1_000, 0);
        for (int i = 0; i < 10; i++) {
            assertTrue(guard.admit(i));
        }
        assertFalse(guard.admit(10));
        assertTrue(guard.admit(1_000), "new window");
        guard.allow(8);
        for (int i = 0; i < 17; i++) {
            assertTrue(guard.admit(1_001), "eight additional frames are allowed: " + i);
        }
        assertFalse(guard.admit(1_002));
    }
}
