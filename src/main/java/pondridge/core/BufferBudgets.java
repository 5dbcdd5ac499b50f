package pondridge.core;

/**
 * The memory that one process may use for requests and responses in transit, over all its connections and protocols.
 * Everything that is counted here lies on the heap, in arrays that belong to one message each.
 *
 * @param total over both directions
 * @param requests for requests, from the first byte until the response is given
 * @param responses for responses, from the first byte until they are written
 */
public record BufferBudgets(BufferBudget total, BufferBudget requests, BufferBudget responses) {
    /** Fraction of the heap for both directions; with the guaranteed parts it stays under half. */
    private static final double TOTAL_FRACTION = 0.4;
    /** Fraction of a direction's budget that its connections together have guaranteed. */
    private static final double GUARANTEED_FRACTION = 0.25;

    /** Creates the budgets of a process with this maximum heap size, in bytes. */
    public static BufferBudgets ofHeap(long maxHeapBytes) {
        BufferBudget total = new BufferBudget((long) (TOTAL_FRACTION * maxHeapBytes));
        return new BufferBudgets(total, total.newChild(total.maxBytes() / 2), total.newChild(total.maxBytes() / 2));
    }

    /** Creates budgets for this process. */
    public static BufferBudgets ofThisProcess() {
        return ofHeap(Runtime.getRuntime().maxMemory());
    }

    /** What each of so many connections has guaranteed of a direction's budget, in bytes. */
    public static long guaranteedBytes(BufferBudget direction, int maxConnections) {
        return (long) (GUARANTEED_FRACTION * direction.maxBytes() / Math.max(1, maxConnections));
    }
}
