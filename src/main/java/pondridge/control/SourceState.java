package pondridge.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The one source. Changes of one moment fold into one commit: a new number, told to nobody before it is
 * durable. Times in nanoseconds; no I/O, not for several threads.
 */
final class SourceState {
    private record Key(String service, String name) {}

    private final long fold;
    private final int mostEntries;
    private final Map<Key, Resource> pending = new LinkedHashMap<>();
    private Map<Key, Resource> writing = Map.of();
    private Holdings live;
    private Holdings draft;
    private long since;

    /**
     * Goes on from what was durable.
     *
     * @param fold changes are collected for so long
     */
    SourceState(Holdings live, long fold, int mostEntries) {
        this.live = live;
        this.fold = fold;
        this.mostEntries = mostEntries;
    }

    /** Without history: in an epoch after all that were before. */
    static Holdings fresh(long epoch, int mostMarkers) {
        Holdings made = new Holdings(mostMarkers);
        made.apply(List.of(), new Version(epoch, 1), 0);
        return made;
    }

    /** What is durable, and may be told. */
    Holdings held() {
        return live;
    }

    int pending() {
        return pending.size() + writing.size();
    }

    /** A key's new state; the last one before a commit counts. */
    void put(Resource resource, long now) {
        Key key = new Key(resource.service(), resource.name());
        if (live.live() + pending() >= mostEntries
                && !resource.gone()
                && !pending.containsKey(key)
                && live.get(resource.service(), resource.name()) == null) {
            throw new IllegalArgumentException(
                    resource.service() + '/' + resource.name() + ": " + mostEntries + " entries at most");
        }
        if (pending.isEmpty()) {
            since = now;
        }
        pending.put(key, resource);
    }

    /** When the next commit is to be made; MAX while there is nothing to commit, or one is being written. */
    long due() {
        return pending.isEmpty() || draft != null ? Long.MAX_VALUE : since + fold;
    }

    /** What is to be written as the next state; null where all is as it was. */
    Holdings seal() {
        Version version = new Version(live.version().epoch(), live.version().number() + 1);
        List<Change> changes = new ArrayList<>();
        pending.forEach((key, wanted) -> {
            Resource old = live.get(key.service(), key.name());
            if (old == null ? !wanted.gone() : !old.equals(wanted)) {
                boolean same = wanted.gone() || old != null && old.body().equals(wanted.body());
                changes.add(new Change(
                        key.service(),
                        key.name(),
                        wanted.state(),
                        same ? null : wanted.body(),
                        version.number(),
                        same ? 0 : version.number()));
            }
        });
        writing = new LinkedHashMap<>(pending);
        pending.clear();
        if (changes.isEmpty()) {
            writing = Map.of();
            return null;
        }
        draft = live.copy();
        draft.apply(changes, version, 0);
        return draft;
    }

    /** What was sealed is durable. */
    void written() {
        live = draft;
        draft = null;
        writing = Map.of();
    }

    /** What was sealed could not be written: it is to be sealed again, with what has come since. */
    void failed(long now) {
        Map<Key, Resource> newer = new LinkedHashMap<>(pending);
        pending.clear();
        pending.putAll(writing);
        pending.putAll(newer);
        writing = Map.of();
        draft = null;
        since = now;
    }
}
