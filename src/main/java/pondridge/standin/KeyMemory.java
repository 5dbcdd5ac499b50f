package pondridge.standin;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** What stand-in servers of all zones remember of keyed requests, to drop repeats. Safe on any thread. */
public final class KeyMemory {
    private record Entry(String key, long until) {}

    private final Map<String, Long> until = new HashMap<>();
    private final Map<Long, ArrayDeque<Entry>> ages = new HashMap<>();

    /** Whether the request runs: its key is not remembered where it has come to. It then is. */
    public synchronized boolean first(OrderClass kind, String zone, String key, long now) {
        ages.values().forEach(ageing -> forget(ageing, now));
        String known = kind.name() + '/' + (kind.perZone() ? zone : "") + '/' + key;
        Long remembered = until.get(known);
        if (remembered != null && remembered - now > 0) {
            return false;
        }
        until.put(known, now + kind.memory());
        ages.computeIfAbsent(kind.memory(), memory -> new ArrayDeque<>()).add(new Entry(known, now + kind.memory()));
        return true;
    }

    private void forget(ArrayDeque<Entry> ageing, long now) {
        while (!ageing.isEmpty() && ageing.peek().until - now <= 0) {
            Entry old = ageing.poll();
            until.remove(old.key, old.until);
        }
    }
}
