package pondridge.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Checks the model's invariants in many seeded runs with all kinds of faults. */
class ControlModelTest {
    private static final int RUNS = Integer.getInteger("runs", 40);
    private static final long FIRST_SEED = Long.getLong("seed", 1);

    @Test
    void allConvergeAndNoVersionGoesBack() {
        long[] totals = new long[6];
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            ControlModel model = new ControlModel(seed, 12);
            model.run();
            totals[0] += model.applied;
            totals[1] += model.snapshotsSent;
            totals[2] += model.deltasSent;
            totals[3] += model.rejectedUpdates;
            totals[4] += model.olderUpdates;
            totals[5] = Math.max(totals[5], model.longestPropagationNanos / ControlModel.MILLISECOND);
        }
        System.out.printf(
                Locale.ROOT,
                "control model: seeds=%d..%d taken=%d wholes=%d differences=%d "
                        + "refused=%d older=%d longest_spread_ms=%d%n",
                FIRST_SEED,
                FIRST_SEED + RUNS - 1,
                totals[0],
                totals[1],
                totals[2],
                totals[3],
                totals[4],
                totals[5]);
        assertTrue(totals[0] > 100L * RUNS, "the model makes too few changes");
        assertTrue(totals[3] > RUNS && totals[4] > RUNS / 4, "the model injects too few faults");
    }

    @Test
    void theSameSeedRepeatsTheSameRun() {
        ControlModel one = new ControlModel(7, 12);
        ControlModel other = new ControlModel(7, 12);
        one.run();
        other.run();
        assertEquals(one.applied, other.applied);
        assertEquals(one.longestPropagationNanos, other.longestPropagationNanos);
    }
}
