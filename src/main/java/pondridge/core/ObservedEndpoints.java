package pondridge.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.UpstreamState;

/**
 * The endpoint list as an {@link Engine.Observer} needs it: server names by upstream id, which servers are
 * ready, and when each instance was first seen here. Times are nanoseconds of any monotonic clock. Not
 * thread-safe.
 */
final class ObservedEndpoints {
    /** Age of an instance whose start time is unknown, which counts as started long ago. */
    private static final long LONG_AGO = Long.MIN_VALUE / 4;

    private record Instance(long startedMillis, long since) {}

    private final Map<Long, String> names = new HashMap<>();
    private final Set<String> ready = new HashSet<>();
    private final Map<String, Instance> instances = new HashMap<>();
    private boolean listReceived;

    /** The server name of an upstream, or null if it is not listed. */
    String name(long id) {
        return names.get(id);
    }

    Set<String> ready() {
        return Set.copyOf(ready);
    }

    /**
     * Servers that are ready and were first seen less than {@code maxAgeNanos} ago, by name. The age is never more
     * than the time since the start.
     */
    Map<String, Engine.ServerStart> started(long maxAgeNanos, long now) {
        Map<String, Engine.ServerStart> recent = new HashMap<>();
        for (String uid : ready) {
            Instance instance = instances.get(uid);
            if (now - instance.since < maxAgeNanos) {
                recent.put(uid, new Engine.ServerStart(instance.startedMillis, now - instance.since));
            }
        }
        return recent;
    }

    /** Applies a list or a change to it; {@code wallClockMillis} is the local clock in Unix milliseconds. */
    void update(EndpointListKind kind, Map<Long, Target> targetsById, long now, long wallClockMillis) {
        if (kind == EndpointListKind.FULL) {
            names.clear();
            ready.clear();
            instances
                    .keySet()
                    .retainAll(targetsById.values().stream().map(Target::uid).toList());
        }
        targetsById.forEach((id, target) -> {
            String uid = target.uid();
            if (target.state() == UpstreamState.GONE) {
                names.remove(id);
                instances.remove(uid);
            } else {
                names.put(id, uid);
                Instance previous = instances.get(uid);
                if (previous == null || previous.startedMillis != target.startedMs()) {
                    instances.put(uid, new Instance(target.startedMs(), since(target, now, wallClockMillis)));
                }
            }
            if (target.state() == UpstreamState.READY) {
                ready.add(uid);
            } else {
                ready.remove(uid);
            }
        });
        listReceived |= kind == EndpointListKind.FULL || kind == EndpointListKind.DELTA;
    }

    /**
     * Returns when a new instance counts as first seen: now, or before the first list from discovery at its start
     * time.
     */
    private long since(Target target, long now, long wallClockMillis) {
        if (listReceived) {
            return now;
        }
        return target.startedMs() == 0
                ? now + LONG_AGO
                : now - Math.max(0, wallClockMillis - target.startedMs()) * 1_000_000;
    }
}
