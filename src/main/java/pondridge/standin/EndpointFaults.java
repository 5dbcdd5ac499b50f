package pondridge.standin;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records the faults that a test run injected into the endpoints of the program under test: which were killed,
 * and which were paused when. Requests at a killed endpoint are left to their clients; a paused endpoint cannot
 * respond. Thread-safe.
 */
public final class EndpointFaults {
    private record Pause(long fromNanos, long untilNanos) {}

    private final Set<InetSocketAddress> killed = ConcurrentHashMap.newKeySet();
    private final Map<InetSocketAddress, List<Pause>> pauses = new ConcurrentHashMap<>();

    /** Records that an endpoint is about to be killed. */
    public void recordKill(InetSocketAddress endpoint) {
        killed.add(endpoint);
    }

    /** Whether an endpoint was killed. */
    public boolean isKilled(InetSocketAddress endpoint) {
        return killed.contains(endpoint);
    }

    /** Records that an endpoint is paused from now on for this long. */
    public void recordPause(InetSocketAddress endpoint, long lengthNanos) {
        long nowNanos = System.nanoTime();
        pauses.computeIfAbsent(endpoint, each -> new CopyOnWriteArrayList<>())
                .add(new Pause(nowNanos, nowNanos + lengthNanos));
    }

    /** How long an endpoint was paused since then. */
    long pausedNanos(InetSocketAddress endpoint, long sinceNanos) {
        long nowNanos = System.nanoTime();
        long pausedNanos = 0;
        for (Pause each : pauses.getOrDefault(endpoint, List.of())) {
            long fromNanos = each.fromNanos - sinceNanos > 0 ? each.fromNanos : sinceNanos;
            long untilNanos = each.untilNanos - nowNanos > 0 ? nowNanos : each.untilNanos;
            pausedNanos += Math.max(0, untilNanos - fromNanos);
        }
        return pausedNanos;
    }
}
