package pondridge.gateway;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

/** Fills the idempotency cache to its bound, for the benchmark. */
public final class IdempotencyCacheFootprint {
    private IdempotencyCacheFootprint() {}

    /**
     * The heap that a full cache uses in bytes, measured after collections before and after filling it.
     *
     * @param responses capacity of the cache
     * @param sizeBytes of each response
     */
    public static long measureHeapBytes(int responses, int sizeBytes) {
        long bytesBefore = usedHeapBytes();
        IdempotencyCache<Integer, byte[]> cache = new IdempotencyCache<>(responses, (long) responses * sizeBytes, 8);
        for (int i = 0; i < responses + responses / 2; i++) {
            String key = "0/0/a-key-of-a-usual-length-" + i;
            if (cache.admit(key, "x".repeat(60) + i % 10_000, i, i) == IdempotencyCache.Decision.RUN) {
                cache.complete(key, new byte[sizeBytes], sizeBytes, Long.MAX_VALUE / 2, i);
            }
        }
        long heapBytes = usedHeapBytes() - bytesBefore;
        List<Long> entriesAndBytes = new ArrayList<>(List.of((long) cache.size(), cache.bytes()));
        if (entriesAndBytes.get(0) > responses) {
            throw new IllegalStateException("cache exceeds its bound: " + entriesAndBytes);
        }
        return heapBytes;
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
