package pondridge.gateway;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

/** Fills the memory of answers to its bound, for the benchmark. */
public final class AnswerTable {
    private AnswerTable() {}

    /**
     * What a full memory holds of the heap in bytes, by what is in use after collections before and after.
     *
     * @param answers that it is set to hold
     * @param size of each, in bytes
     */
    public static long heap(int answers, int size) {
        long before = used();
        AnswerMemory<Integer, byte[]> memory = new AnswerMemory<>(answers, (long) answers * size, 8);
        for (int i = 0; i < answers + answers / 2; i++) {
            String key = "0/0/a-key-of-a-usual-length-" + i;
            if (memory.ask(key, "x".repeat(60) + i % 10_000, i, i) == AnswerMemory.Verdict.RUN) {
                memory.ended(key, new byte[size], size, Long.MAX_VALUE / 2, i);
            }
        }
        long held = used() - before;
        List<Long> kept = new ArrayList<>(List.of((long) memory.size(), memory.bytes()));
        if (kept.get(0) > answers) {
            throw new IllegalStateException("over its bound: " + kept);
        }
        return held;
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
