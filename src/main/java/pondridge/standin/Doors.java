package pondridge.standin;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What whoever runs a trial has done to the front doors of the program under test: which were killed, and
 * which stood still when. What a killed one held is its client's; what stands still can't answer. Safe on any
 * thread.
 */
public final class Doors {
    private record Still(long from, long until) {}

    private final Set<InetSocketAddress> killed = ConcurrentHashMap.newKeySet();
    private final Map<InetSocketAddress, List<Still>> still = new ConcurrentHashMap<>();

    /** It is about to be killed. */
    public void killed(InetSocketAddress door) {
        killed.add(door);
    }

    /** Whether it was. */
    public boolean isKilled(InetSocketAddress door) {
        return killed.contains(door);
    }

    /** It stands still from now on for so many nanoseconds. */
    public void stops(InetSocketAddress door, long length) {
        long now = System.nanoTime();
        still.computeIfAbsent(door, each -> new CopyOnWriteArrayList<>()).add(new Still(now, now + length));
    }

    /** How long it has stood still since then, in nanoseconds. */
    long stoodStill(InetSocketAddress door, long since) {
        long now = System.nanoTime();
        long sum = 0;
        for (Still each : still.getOrDefault(door, List.of())) {
            long from = each.from - since > 0 ? each.from : since;
            long until = each.until - now > 0 ? now : each.until;
            sum += Math.max(0, until - from);
        }
        return sum;
    }
}
