package pondridge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pondridge.store.StoreModel.Result;
import pondridge.store.StoreModel.Store;

/** The real deciding classes in virtual time: whatever the store does, the answers are as without it. */
class StoreModelTest {
    /** 3 to 16 sidecars, a slow server, two cold ones, and the store in each of its troubles. */
    @Test
    void noTroubleOfTheStoreCostsAnswersOrPushesAServerOver() {
        double[] kept = new double[Store.values().length];
        int seeds = 4;
        for (long seed = 0; seed < seeds; seed++) {
            for (Store store : Store.values()) {
                Result result = StoreModel.play(3 + (int) (4 * seed), 8, store, 15, seed);
                String said = "seed " + seed + " " + store + " " + result;
                assertEquals(result.asked(), result.answered(), said);
                assertEquals(0, result.twice() + result.pushedOver(), said);
                kept[store.ordinal()] += result.inTime() / seeds;
            }
        }
        for (Store store : Store.values()) {
            assertTrue(kept[store.ordinal()] > kept[Store.NONE.ordinal()] - 0.01,
                    store + " " + kept[store.ordinal()] + ", without a store " + kept[Store.NONE.ordinal()]);
        }
    }
}
