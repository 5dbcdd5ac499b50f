package pondridge.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;
import pondridge.standin.ExecutionLedger.Verdict;

/** The ledger detects each kind of violation, and reports none for permitted behaviour. */
class ExecutionLedgerTest {
    private static final long TIMEOUT_NANOS = 60_000_000_000L;
    private static final StandinRequestClass CHECK = StandinRequestClass.named("stock-check");
    private static final StandinRequestClass HOLD = StandinRequestClass.named("stock-hold");
    private static final StandinRequestClass CONFIRM = StandinRequestClass.named("order-confirm");
    private static final StandinRequestClass BOOK = StandinRequestClass.named("order-book");

    private static Verdict verdictAfter(Consumer<ExecutionLedger> events) {
        ExecutionLedger ledger = new ExecutionLedger(0, 0);
        events.accept(ledger);
        return ledger.verdict();
    }

    private static void assertDetected(ToIntFunction<Verdict> violation, Consumer<ExecutionLedger> events) {
        Verdict verdict = verdictAfter(events);
        assertEquals(1, violation.applyAsInt(verdict), verdict::toString);
        assertFalse(verdict.passed(), verdict::toString);
    }

    private static void recordRequest(
            ExecutionLedger ledger, StandinRequestClass requestClass, int status, int executions) {
        ledger.requestSent("x", requestClass, "k", TIMEOUT_NANOS);
        for (int i = 0; i < executions; i++) {
            ledger.requestExecuted("s", "x", "k");
        }
        ledger.responseReceived("x", status, "x");
    }

    @Test
    void everyViolationIsDetected() {
        assertDetected(Verdict::unanswered, ledger -> ledger.requestSent("x", CHECK, "", TIMEOUT_NANOS));
        assertDetected(Verdict::late, ledger -> {
            ledger.requestSent("x", CHECK, "", -1);
            ledger.responseReceived("x", 200, "x");
        });
        assertDetected(Verdict::duplicateResponses, ledger -> {
            recordRequest(ledger, CHECK, 200, 1);
            ledger.responseReceived("x", 503, "");
        });
        assertDetected(Verdict::mismatchedResponses, ledger -> {
            ledger.requestSent("x", CHECK, "", TIMEOUT_NANOS);
            ledger.responseReceived("x", 200, "y");
        });
        assertDetected(Verdict::duplicateKeyedEffects, ledger -> recordRequest(ledger, CONFIRM, 200, 2));
        assertDetected(Verdict::duplicateUnsafeExecutions, ledger -> recordRequest(ledger, BOOK, 200, 2));
        assertDetected(Verdict::refusedAfterExecution, ledger -> recordRequest(ledger, BOOK, 503, 1));
        assertDetected(Verdict::refusedAfterExecution, ledger -> recordRequest(ledger, HOLD, 429, 1));
        assertDetected(Verdict::unknownExecutions, ledger -> ledger.requestExecuted("s", "nobody", ""));
        assertDetected(Verdict::coldServerCrashes, ledger -> ledger.coldServerCrashed("s"));
        assertDetected(Verdict::sendsAfterDrain, ledger -> {
            ledger.setDraining("s", true);
            recordRequest(ledger, CHECK, 200, 1);
            ledger.requestArrived("s", "x");
        });
    }

    @Test
    void permittedBehaviourIsNoViolation() {
        for (Consumer<ExecutionLedger> events : List.<Consumer<ExecutionLedger>>of(
                ledger -> recordRequest(ledger, CHECK, 200, 3),
                ledger -> recordRequest(ledger, CHECK, 503, 1),
                ledger -> recordRequest(ledger, CONFIRM, 503, 1),
                ledger -> recordRequest(ledger, BOOK, 502, 1),
                ledger -> recordRequest(ledger, BOOK, 503, 0),
                ledger -> {
                    // Late, but by no more than the machine was paused.
                    ledger.requestSent("x", CHECK, "", -1_000_000_000L);
                    ledger.machinePaused(2_000_000_000L);
                    ledger.responseReceived("x", 200, "x");
                },
                ledger -> {
                    ledger.setDraining("s", true);
                    ledger.setDraining("s", false);
                    recordRequest(ledger, CHECK, 200, 1);
                    ledger.requestArrived("s", "x");
                })) {
            Verdict verdict = verdictAfter(events);
            assertTrue(verdict.passed(), verdict::toString);
        }
    }

    @Test
    void keysAreRememberedPerZoneOrByAllUntilTheyExpire() {
        IdempotencyKeyStore keyStore = new IdempotencyKeyStore();
        assertTrue(keyStore.recordIfNew(HOLD, "a", "k", 0));
        assertFalse(keyStore.recordIfNew(HOLD, "a", "k", HOLD.keyTtlNanos() - 1));
        assertTrue(keyStore.recordIfNew(HOLD, "b", "k", 0), "another zone does not remember the key");
        assertTrue(keyStore.recordIfNew(HOLD, "a", "k", HOLD.keyTtlNanos()));
        assertTrue(keyStore.recordIfNew(CONFIRM, "a", "k", 0), "the same key of another class");
        assertFalse(keyStore.recordIfNew(CONFIRM, "b", "k", CONFIRM.keyTtlNanos() - 1));
        assertTrue(keyStore.recordIfNew(CONFIRM, "b", "k", CONFIRM.keyTtlNanos()));
    }

    @Test
    void coldServersCrashUnderOverload() {
        ColdStart withinLimit = new ColdStart(0, 1_000, 0.5, 1e9, 2, 100);
        ColdStart overloaded = new ColdStart(0, 1_000, 0.5, 1e9, 2, 100);
        boolean running = true;
        for (long now = 0; now < 2_000; now++) {
            assertTrue(withinLimit.admit(now), "the full capacity, and over half of it while cold: " + now);
            running &= overloaded.admit(now) && overloaded.admit(now);
        }
        assertFalse(running);
    }

    @Test
    void invalidFaultScriptsAreRejected() {
        assertEquals(
                new EnumMap<>(Map.of(Fault.RESET, 0.25, Fault.HALF_CLOSE, 0.5)),
                FaultScript.parseFractions("reset=0.25, half-close=0.5"));
        for (String invalid : new String[] {"sulk=1", "reset=x", "reset=0.6,slow=0.6", "reset=-1"}) {
            assertThrows(IllegalArgumentException.class, () -> FaultScript.parseFractions(invalid), invalid);
        }
        FaultScript one = new FaultScript(5, Map.of(Fault.RESET, 0.5), 10, 10);
        FaultScript other = new FaultScript(5, Map.of(Fault.RESET, 0.5), 10, 10);
        for (int i = 0; i < 100; i++) {
            assertEquals(one.nextFault(), other.nextFault(), "the same seed gives the same faults");
        }
    }
}
