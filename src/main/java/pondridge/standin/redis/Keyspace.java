package pondridge.standin.redis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keys and their values, with expiry and a memory limit. Over the limit, the least recently used keys are
 * evicted. Sizes are computed from the bytes of keys and values and an overhead per entry, not from the heap.
 * No I/O; the caller passes the time in milliseconds. Not thread-safe.
 */
final class Keyspace {
    private static final long ENTRY_OVERHEAD_BYTES = 64;

    /** A value with its expiry and size. */
    private static final class Entry {
        private Object value;
        private long expiresAtMillis = Long.MAX_VALUE;
        private long sizeBytes;
    }

    /** Thrown when a key holds a value of another type. */
    static final class WrongTypeException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private final long maxBytes;
    private final Map<String, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);
    private long usedBytes;
    private long evictedKeys;

    /** Creates an empty keyspace with this memory limit. */
    Keyspace(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    long usedBytes() {
        return usedBytes;
    }

    long evictedKeys() {
        return evictedKeys;
    }

    int size(long nowMillis) {
        removeExpired(nowMillis);
        return entries.size();
    }

    private Entry live(String key, long nowMillis) {
        Entry entry = entries.get(key);
        if (entry != null && entry.expiresAtMillis <= nowMillis) {
            remove(key);
            return null;
        }
        return entry;
    }

    boolean remove(String key) {
        Entry entry = entries.remove(key);
        if (entry != null) {
            usedBytes -= entry.sizeBytes;
        }
        return entry != null;
    }

    void clear() {
        entries.clear();
        usedBytes = 0;
    }

    boolean has(String key, long nowMillis) {
        return live(key, nowMillis) != null;
    }

    /** The value as this type, or null if the key does not exist. */
    <T> T get(Class<T> type, String key, long nowMillis) {
        Entry entry = live(key, nowMillis);
        if (entry == null) {
            return null;
        }
        if (!type.isInstance(entry.value)) {
            throw new WrongTypeException();
        }
        return type.cast(entry.value);
    }

    /** The type name as in the reply to {@code TYPE}. */
    String typeName(String key, long nowMillis) {
        Entry entry = live(key, nowMillis);
        return entry == null
                ? "none"
                : entry.value instanceof String
                        ? "string"
                        : entry.value instanceof HashMap ? "hash" : entry.value instanceof SortedSet ? "zset" : "set";
    }

    /** Sets a string without an expiry. */
    void set(String key, String value) {
        put(key, value).expiresAtMillis = Long.MAX_VALUE;
    }

    /** Replaces the value of a key; its expiry stays. */
    private Entry put(String key, Object value) {
        Entry entry = entries.computeIfAbsent(key, each -> new Entry());
        entry.value = value;
        updateSize(key, entry);
        return entry;
    }

    /** The value of this type, created if the key does not exist. Call {@link #changed} after a change. */
    <T> T getOrCreate(Class<T> type, String key, long nowMillis, T empty) {
        T existing = get(type, key, nowMillis);
        if (existing == null) {
            put(key, empty);
            return empty;
        }
        return existing;
    }

    /** Updates the size of a changed collection, and removes it if it is empty. */
    void changed(String key) {
        Entry entry = entries.get(key);
        if (entry != null) {
            if (sizeOf(entry.value) == 0) {
                remove(key);
            } else {
                updateSize(key, entry);
            }
        }
    }

    private void updateSize(String key, Entry entry) {
        usedBytes -= entry.sizeBytes;
        entry.sizeBytes = ENTRY_OVERHEAD_BYTES + key.length() + sizeOf(entry.value);
        usedBytes += entry.sizeBytes;
    }

    private static long sizeOf(Object value) {
        if (value instanceof String text) {
            return 1 + text.length();
        }
        long sum = 0;
        Iterable<?> parts = value instanceof HashMap<?, ?> hash
                ? hash.entrySet()
                : value instanceof SortedSet sortedSet ? sortedSet.scoreByMember.keySet() : (MemberSet) value;
        for (Object part : parts) {
            sum += ENTRY_OVERHEAD_BYTES + part.toString().length();
        }
        return sum;
    }

    /** Evicts least recently used keys down to the memory limit, except the key that was just written. */
    void evict(String writtenKey) {
        for (Iterator<Map.Entry<String, Entry>> leastRecent = entries.entrySet().iterator();
                usedBytes > maxBytes && leastRecent.hasNext(); ) {
            Map.Entry<String, Entry> each = leastRecent.next();
            if (!each.getKey().equals(writtenKey)) {
                usedBytes -= each.getValue().sizeBytes;
                leastRecent.remove();
                evictedKeys++;
            }
        }
    }

    boolean isOverLimit() {
        return usedBytes > maxBytes;
    }

    /** Sets the expiry of a key; false if it does not exist. */
    boolean expireAt(String key, long expiresAtMillis, long nowMillis) {
        Entry entry = live(key, nowMillis);
        if (entry == null) {
            return false;
        }
        entry.expiresAtMillis = expiresAtMillis;
        if (expiresAtMillis <= nowMillis) {
            remove(key);
        }
        return true;
    }

    /** The time to live in milliseconds; -2 if the key does not exist, -1 without an expiry. */
    long timeToLive(String key, long nowMillis) {
        Entry entry = live(key, nowMillis);
        return entry == null ? -2 : entry.expiresAtMillis == Long.MAX_VALUE ? -1 : entry.expiresAtMillis - nowMillis;
    }

    /** All keys that have not expired. */
    List<String> keys(long nowMillis) {
        removeExpired(nowMillis);
        return new ArrayList<>(entries.keySet());
    }

    private void removeExpired(long nowMillis) {
        List<String> expired = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.expiresAtMillis <= nowMillis) {
                expired.add(key);
            }
        });
        expired.forEach(this::remove);
    }

    /** The value of a sorted set: the score of each member. */
    static final class SortedSet {
        final TreeMap<String, Double> scoreByMember = new TreeMap<>();

        /** Members by score, then by name. */
        List<Map.Entry<String, Double>> sorted() {
            List<Map.Entry<String, Double>> all = new ArrayList<>(scoreByMember.entrySet());
            all.sort((a, b) -> a.getValue().equals(b.getValue())
                    ? a.getKey().compareTo(b.getKey())
                    : Double.compare(a.getValue(), b.getValue()));
            return all;
        }
    }

    /** The value of a set. */
    static final class MemberSet implements Iterable<String> {
        final TreeMap<String, Boolean> members = new TreeMap<>();

        @Override
        public Iterator<String> iterator() {
            return members.keySet().iterator();
        }
    }
}
