package pondridge.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;

/**
 * The list as an observer needs it: names of upstreams by their number, who is ready, and for how long each
 * instance has been known here. Times in nanoseconds of any clock that never runs back. Of one thread.
 */
final class Listed {
    /** Known for so long that it does not matter. */
    private static final long LONG_AGO = Long.MIN_VALUE / 4;

    private record Instance(long startedMs, long since) {}

    private final Map<Long, String> names = new HashMap<>();
    private final Set<String> ready = new HashSet<>();
    private final Map<String, Instance> instances = new HashMap<>();
    private boolean listed;

    /** The name of an upstream; null for one that is not listed. */
    String name(long id) {
        return names.get(id);
    }

    Set<String> ready() {
        return Set.copyOf(ready);
    }

    /**
     * Who is ready and was seen to start less than {@code within} ago, by its name; never held to have
     * started longer ago than it has.
     */
    Map<String, Engine.Start> started(long within, long now) {
        Map<String, Engine.Start> young = new HashMap<>();
        for (String uid : ready) {
            Instance its = instances.get(uid);
            if (now - its.since < within) {
                young.put(uid, new Engine.Start(its.startedMs, now - its.since));
            }
        }
        return young;
    }

    /** News of the list; {@code wallMs} is this machine's clock in Unix milliseconds. */
    void listed(ListKind kind, Map<Long, Target> named, long now, long wallMs) {
        if (kind == ListKind.FULL) {
            names.clear();
            ready.clear();
            instances
                    .keySet()
                    .retainAll(named.values().stream().map(Target::uid).toList());
        }
        named.forEach((id, target) -> {
            String uid = target.uid();
            if (target.state() == State.GONE) {
                names.remove(id);
                instances.remove(uid);
            } else {
                names.put(id, uid);
                Instance before = instances.get(uid);
                if (before == null || before.startedMs != target.startedMs()) {
                    instances.put(uid, new Instance(target.startedMs(), since(target, now, wallMs)));
                }
            }
            if (target.state() == State.READY) {
                ready.add(uid);
            } else {
                ready.remove(uid);
            }
        });
        listed |= kind == ListKind.FULL || kind == ListKind.DELTA;
    }

    private long since(Target target, long now, long wallMs) {
        if (listed) {
            return now;
        }
        return target.startedMs() == 0 ? now + LONG_AGO : now - Math.max(0, wallMs - target.startedMs()) * 1_000_000;
    }
}
