package pondridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class KeyedAttemptHistoryTest {
    private static final long TTL = 100;

    private final KeyedAttemptHistory<String> history = new KeyedAttemptHistory<>();

    @Test
    void theFirstAttemptThatMayHaveRunCountsUntilTheKeyIsForgotten() {
        KeyedAttemptHistory.SentAttempt<String> first = history.record("k", "a", 10, TTL);
        KeyedAttemptHistory.SentAttempt<String> second = history.record("k", "b", 50, TTL);
        assertEquals(first, history.first("k", 109));
        assertNull(history.first("k", 110));
        history.removeNotExecuted("k", first);
        assertEquals(second, history.first("k", 149));
        history.removeNotExecuted("k", second);
        assertNull(history.first("k", 60));
        assertEquals(0, history.size());
    }

    @Test
    void aForgottenKeyBeginsAnew() {
        history.record("k", "a", 0, TTL);
        KeyedAttemptHistory.SentAttempt<String> later = history.record("k", "b", TTL, TTL);
        assertEquals(later, history.first("k", TTL + 1));
    }

    /** Guards against memory that grows with each new key that a client makes up. */
    @Test
    void keysAreBoundedInNumberAndSize() {
        for (int i = 0; i < 100_000; i++) {
            history.record("key-" + i, "a", i, Long.MAX_VALUE);
        }
        assertTrue(history.size() <= 4_096, "keys: " + history.size());
        assertEquals(99_999, history.first("key-99999", 100_000).sentAt());
        for (int i = 0; i < 1_000; i++) {
            history.record("x".repeat(8_000) + i, "a", i, Long.MAX_VALUE);
        }
        assertTrue(history.size() <= (1 << 19) / 8_000, "long keys: " + history.size());
        for (int i = 0; i < 10; i++) {
            history.record("late-" + i, "a", 2_000 + i, 1);
        }
        assertEquals(1, history.first("late-9", 2_009) == null ? 0 : 1);
    }
}
