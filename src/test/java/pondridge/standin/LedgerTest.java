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
import pondridge.standin.EffectLedger.Verdict;

/** The ledger detects each kind of violation, and reports none for permitted behaviour. */
class LedgerTest {
    private static final long TIMEOUT_NANOS = 60_000_000_000L;
    private static final OrderClass CHECK = OrderClass.named("stock-check");
    private static final OrderClass HOLD = OrderClass.named("stock-hold");
    private static final OrderClass CONFIRM = OrderClass.named("order-confirm");
    private static final OrderClass BOOK = OrderClass.named("order-book");

    private static Verdict verdictAfter(Consumer<EffectLedger> events) {
        EffectLedger ledger = new EffectLedger(0, 0);
        events.accept(ledger);
        return ledger.verdict();
    }

    private static void assertDetected(ToIntFunction<Verdict> violation, Consumer<EffectLedger> events) {
        Verdict verdict = verdictAfter(events);
        assertEquals(1, violation.applyAsInt(verdict), verdict::toString);
        assertFalse(verdict.clean(), verdict::toString);
    }

    private static void recordRequest(EffectLedger ledger, OrderClass requestClass, int status, int executions) {
        ledger.asked("x", requestClass, "k", TIMEOUT_NANOS);
        for (int i = 0; i < executions; i++) {
            ledger.ran("s", "x", "k");
        }
        ledger.answered("x", status, "x");
    }

    @Test
    void everyViolationIsDetected() {
        assertDetected(Verdict::unanswered, ledger -> ledger.asked("x", CHECK, "", TIMEOUT_NANOS));
        assertDetected(Verdict::late, ledger -> {
            ledger.asked("x", CHECK, "", -1);
            ledger.answered("x", 200, "x");
        });
        assertDetected(Verdict::answeredTwice, ledger -> {
            recordRequest(ledger, CHECK, 200, 1);
            ledger.answered("x", 503, "");
        });
        assertDetected(Verdict::mixedUp, ledger -> {
            ledger.asked("x", CHECK, "", TIMEOUT_NANOS);
            ledger.answered("x", 200, "y");
        });
        assertDetected(Verdict::doubledKeyed, ledger -> recordRequest(ledger, CONFIRM, 200, 2));
        assertDetected(Verdict::doubledUnsafe, ledger -> recordRequest(ledger, BOOK, 200, 2));
        assertDetected(Verdict::refusedAfterRun, ledger -> recordRequest(ledger, BOOK, 503, 1));
        assertDetected(Verdict::refusedAfterRun, ledger -> recordRequest(ledger, HOLD, 429, 1));
        assertDetected(Verdict::unknownRuns, ledger -> ledger.ran("s", "nobody", ""));
        assertDetected(Verdict::pushedOver, ledger -> ledger.pushedOver("s"));
        assertDetected(Verdict::afterDrain, ledger -> {
            ledger.draining("s", true);
            recordRequest(ledger, CHECK, 200, 1);
            ledger.arrived("s", "x");
        });
    }

    @Test
    void permittedBehaviourIsNoViolation() {
        for (Consumer<EffectLedger> events : List.<Consumer<EffectLedger>>of(
                ledger -> recordRequest(ledger, CHECK, 200, 3),
                ledger -> recordRequest(ledger, CHECK, 503, 1),
                ledger -> recordRequest(ledger, CONFIRM, 503, 1),
                ledger -> recordRequest(ledger, BOOK, 502, 1),
                ledger -> recordRequest(ledger, BOOK, 503, 0),
                ledger -> {
                    // Late, but by no more than the machine was paused.
                    ledger.asked("x", CHECK, "", -1_000_000_000L);
                    ledger.paused(2_000_000_000L);
                    ledger.answered("x", 200, "x");
                },
                ledger -> {
                    ledger.draining("s", true);
                    ledger.draining("s", false);
                    recordRequest(ledger, CHECK, 200, 1);
                    ledger.arrived("s", "x");
                })) {
            Verdict verdict = verdictAfter(events);
            assertTrue(verdict.clean(), verdict::toString);
        }
    }

    @Test
    void keysAreRememberedPerZoneOrByAllUntilTheyExpire() {
        KeyMemory memory = new KeyMemory();
        assertTrue(memory.first(HOLD, "a", "k", 0));
        assertFalse(memory.first(HOLD, "a", "k", HOLD.memory() - 1));
        assertTrue(memory.first(HOLD, "b", "k", 0), "another zone does not remember the key");
        assertTrue(memory.first(HOLD, "a", "k", HOLD.memory()));
        assertTrue(memory.first(CONFIRM, "a", "k", 0), "the same key of another class");
        assertFalse(memory.first(CONFIRM, "b", "k", CONFIRM.memory() - 1));
        assertTrue(memory.first(CONFIRM, "b", "k", CONFIRM.memory()));
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
                FaultScript.parse("reset=0.25, half-close=0.5"));
        for (String invalid : new String[] {"sulk=1", "reset=x", "reset=0.6,slow=0.6", "reset=-1"}) {
            assertThrows(IllegalArgumentException.class, () -> FaultScript.parse(invalid), invalid);
        }
        FaultScript one = new FaultScript(5, Map.of(Fault.RESET, 0.5), 10, 10);
        FaultScript other = new FaultScript(5, Map.of(Fault.RESET, 0.5), 10, 10);
        for (int i = 0; i < 100; i++) {
            assertEquals(one.nextFault(), other.nextFault(), "the same seed gives the same faults");
        }
    }
}
