package pondridge.standin.redis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keys and their values, with expiry and a bound on memory: over it the keys that were not used for longest
 *  give
 * way. Sizes are an account, not the heap's: the bytes of keys and values and some for each entry. No I/O;
 * times in milliseconds are arguments. Of one thread.
 */
final class Keyspace {
    private static final long ENTRY = 64;

    /** One value. */
    private static final class Entry {
        private Object value;
        private long until = Long.MAX_VALUE;
        private long size;
    }

    /** A key holds another kind of value. */
    static final class WrongTypeException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private final long most;
    private final Map<String, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);
    private long used;
    private long evicted;

    /** Room for so many bytes. */
    Keyspace(long most) {
        this.most = most;
    }

    long used() {
        return used;
    }

    long evicted() {
        return evicted;
    }

    int size(long now) {
        expire(now);
        return entries.size();
    }

    private Entry live(String key, long now) {
        Entry entry = entries.get(key);
        if (entry != null && entry.until <= now) {
            remove(key);
            return null;
        }
        return entry;
    }

    boolean remove(String key) {
        Entry entry = entries.remove(key);
        if (entry != null) {
            used -= entry.size;
        }
        return entry != null;
    }

    void clear() {
        entries.clear();
        used = 0;
    }

    boolean has(String key, long now) {
        return live(key, now) != null;
    }

    /** The value as that kind, or null where the key is not there. */
    <T> T get(Class<T> kind, String key, long now) {
        Entry entry = live(key, now);
        if (entry == null) {
            return null;
        }
        if (!kind.isInstance(entry.value)) {
            throw new WrongTypeException();
        }
        return kind.cast(entry.value);
    }

    /** What {@code TYPE} says. */
    String kind(String key, long now) {
        Entry entry = live(key, now);
        return entry == null
                ? "none"
                : entry.value instanceof String
                        ? "string"
                        : entry.value instanceof HashMap ? "hash" : entry.value instanceof Scores ? "zset" : "set";
    }

    /** Sets a text, which has no expiry then. */
    void set(String key, String value) {
        put(key, value).until = Long.MAX_VALUE;
    }

    /** Puts a value in place of any before; its expiry stays. */
    private Entry put(String key, Object value) {
        Entry entry = entries.computeIfAbsent(key, each -> new Entry());
        entry.value = value;
        account(key, entry);
        return entry;
    }

    /** The value of that kind, made where it is not there; {@link #changed} must follow a change. */
    <T> T made(Class<T> kind, String key, long now, T empty) {
        T there = get(kind, key, now);
        if (there == null) {
            put(key, empty);
            return empty;
        }
        return there;
    }

    /** A collection has changed: it is accounted for anew, and goes when it is empty. */
    void changed(String key) {
        Entry entry = entries.get(key);
        if (entry != null) {
            if (size(entry.value) == 0) {
                remove(key);
            } else {
                account(key, entry);
            }
        }
    }

    private void account(String key, Entry entry) {
        used -= entry.size;
        entry.size = ENTRY + key.length() + size(entry.value);
        used += entry.size;
    }

    private static long size(Object value) {
        if (value instanceof String text) {
            return 1 + text.length();
        }
        long sum = 0;
        Iterable<?> parts = value instanceof HashMap<?, ?> hash
                ? hash.entrySet()
                : value instanceof Scores scores ? scores.of.keySet() : (Members) value;
        for (Object part : parts) {
            sum += ENTRY + part.toString().length();
        }
        return sum;
    }

    /** Lets the longest unused go until the bound is kept; {@code spared} is what was just written. */
    void evict(String spared) {
        for (Iterator<Map.Entry<String, Entry>> oldest = entries.entrySet().iterator();
                used > most && oldest.hasNext(); ) {
            Map.Entry<String, Entry> each = oldest.next();
            if (!each.getKey().equals(spared)) {
                used -= each.getValue().size;
                oldest.remove();
                evicted++;
            }
        }
    }

    boolean full() {
        return used > most;
    }

    /** Sets when a key goes; false where it is not there. */
    boolean expireAt(String key, long until, long now) {
        Entry entry = live(key, now);
        if (entry == null) {
            return false;
        }
        entry.until = until;
        if (until <= now) {
            remove(key);
        }
        return true;
    }

    /** When a key goes: -2 not there, -1 never. */
    long left(String key, long now) {
        Entry entry = live(key, now);
        return entry == null ? -2 : entry.until == Long.MAX_VALUE ? -1 : entry.until - now;
    }

    /** All keys that have not expired. */
    List<String> keys(long now) {
        expire(now);
        return new ArrayList<>(entries.keySet());
    }

    private void expire(long now) {
        List<String> over = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.until <= now) {
                over.add(key);
            }
        });
        over.forEach(this::remove);
    }

    /** A sorted set: scores by member. */
    static final class Scores {
        final TreeMap<String, Double> of = new TreeMap<>();

        /** Members by score, then by name. */
        List<Map.Entry<String, Double>> sorted() {
            List<Map.Entry<String, Double>> all = new ArrayList<>(of.entrySet());
            all.sort((a, b) -> a.getValue().equals(b.getValue())
                    ? a.getKey().compareTo(b.getKey())
                    : Double.compare(a.getValue(), b.getValue()));
            return all;
        }
    }

    /** A set. */
    static final class Members implements Iterable<String> {
        final TreeMap<String, Boolean> of = new TreeMap<>();

        @Override
        public Iterator<String> iterator() {
            return of.keySet().iterator();
        }
    }
}
