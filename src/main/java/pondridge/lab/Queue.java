package pondridge.lab;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** Events by their time; those of one time in the order in which they were put. */
final class Queue {
    private record Event(long at, long serial, LongConsumer what) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.serial, b.serial));
    private long serials;

    void at(long at, LongConsumer what) {
        events.add(new Event(at, serials++, what));
    }

    void play(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            event.what.accept(event.at);
        }
    }
}
