package pondridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;

class RequestIdsTest {
    private static final long SECOND = 1_000_000_000;

    private final RequestIds ids = new RequestIds(List.of(
            new RequestClass(SECOND, 0, 3 * SECOND, 1, 0, RetrySemantics.ONCE, KeyScope.ALL, 0, false),
            new RequestClass(SECOND, 0, SECOND, 1, 0, RetrySemantics.ONCE, KeyScope.ALL, 0, false)));

    /** An attempt may run until the longest deadline after its client has left. */
    @Test
    void anIdIsInUseUntilItsAttemptsHaveEnded() {
        assertTrue(ids.open("a", 0));
        assertFalse(ids.open("a", SECOND));
        ids.endAfterAttempts("a", SECOND);
        assertFalse(ids.open("a", 4 * SECOND));
        assertTrue(ids.open("a", 7 * SECOND));
    }

    @Test
    void anIdWithoutAttemptsIsFree() {
        assertTrue(ids.open("a", 0));
        ids.endWithoutAttempt("a");
        assertTrue(ids.open("a", 1));
    }

    /** Guards against memory that grows with each new id. */
    @Test
    void retainedIdsAreBounded() {
        for (int i = 0; i < 100_000; i++) {
            ids.open("id-" + i, 0);
            ids.endAfterAttempts("id-" + i, 0);
        }
        assertEquals(16_384, ids.size());
        assertFalse(ids.open("id-99999", 1));
    }
}
