package pondridge.bench;

import pondridge.store.StoreModel;
import pondridge.store.StoreModel.Result;
import pondridge.store.StoreModel.Store;

/** What a shared store is worth, and what its troubles cost, in virtual time and by number of sidecars. */
final class StoreBench {
    private static final int[][] FLEETS = {{3, 8}, {8, 16}, {64, 32}, {1_000, 100}};
    private static final long SECONDS = 24;

    void run() {
        for (int[] fleet : FLEETS) {
            double without = 0;
            double slowWithout = 0;
            for (Store store : fleet[0] > 64 ? new Store[] {Store.NONE, Store.GOOD, Store.POISON}
                    : Store.values()) {
                Result result = StoreModel.play(fleet[0], fleet[1], store, SECONDS, 1);
                if (store == Store.NONE) {
                    without = result.inTime();
                    slowWithout = result.slowSends();
                }
                System.out.printf("bench store: sidecars=%d servers=%d store=%s %s worth_to_without=%.4f "
                        + "slow_sends_to_without=%.3f%n", fleet[0], fleet[1], store, result,
                        result.inTime() / without, result.slowSends() / slowWithout);
            }
        }
    }
}
