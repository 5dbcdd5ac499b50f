package pondridge.lab;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** Event queue in virtual time. Events due at the same time run in the order in which they were scheduled. */
final class EventQueue {
    private record Event(long dueNanos, long sequence, LongConsumer action) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
            a.dueNanos != b.dueNanos ? Long.compare(a.dueNanos, b.dueNanos) : Long.compare(a.sequence, b.sequence));
    private long nextSequence;

    void schedule(long dueNanos, LongConsumer action) {
        events.add(new Event(dueNanos, nextSequence++, action));
    }

    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().dueNanos <= endNanos) {
            Event event = events.poll();
            event.action.accept(event.dueNanos);
        }
    }
}
