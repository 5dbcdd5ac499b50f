package pondridge.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The small deciding classes beside the table. */
class GuardsTest {
    @Test
    void silenceIsPingedOnceAndThenDeath() {
        Liveness liveness = new Liveness(100, 50, 0);
        assertEquals(Liveness.Step.NOTHING, liveness.look(1_000, false), "nobody waits");
        liveness.awoken(1_000);
        assertEquals(Liveness.Step.NOTHING, liveness.look(1_099, true));
        assertEquals(Liveness.Step.PING, liveness.look(1_100, true));
        assertEquals(Liveness.Step.NOTHING, liveness.look(1_149, true), "one ping at a time");
        liveness.awoken(1_149);
        assertEquals(Liveness.Step.DEAD, liveness.look(1_150, true));
        liveness.heard(1_150);
        assertEquals(Liveness.Step.NOTHING, liveness.look(1_249, true));
    }

    @Test
    void resetsAreFewOverAnyWindow() {
        ResetBudget budget = new ResetBudget(10, 1_000, 0);
        int taken = 0;
        for (long now = 0; now < 1_000; now++) {
            taken += budget.take(now) ? 1 : 0;
        }
        assertTrue(taken >= 19 && taken <= 20, "a burst and one window's worth: " + taken);
    }

    @Test
    void floodsAreToldFromWhatRequestsBringAbout() {
        FloodGuard guard = new FloodGuard(10, 1_000, 0);
        for (int i = 0; i < 10; i++) {
            assertTrue(guard.admit(i));
        }
        assertFalse(guard.admit(10));
        assertTrue(guard.admit(1_000), "another window");
        guard.explain(8);
        for (int i = 0; i < 17; i++) {
            assertTrue(guard.admit(1_001), "eight of them were brought about: " + i);
        }
        assertFalse(guard.admit(1_002));
    }
}
