package pondridge.core;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers, by idempotency key, where and when attempts were sent that may have run, for as long as servers remember
 * the key. A client that was told of a failure, or has disconnected, may send its request again with the same key and
 * a new id; only the key tells what its earlier attempts may have done. Bounded in keys and in their characters: when
 * full, the key that was added first is forgotten. No I/O; times are nanoseconds of one clock. Not thread-safe.
 *
 * @param <P> places to which attempts are sent
 */
public final class KeyedAttemptHistory<P> {
    private static final int MAX_KEYS = 4_096;
    private static final int MAX_KEY_CHARACTERS = 1 << 19;

    /** An attempt that may have run: where and when it was sent. */
    public record SentAttempt<P>(P place, long sentAt) {}

    private final class Entry {
        private final long ttlNanos;
        private final List<SentAttempt<P>> attempts = new ArrayList<>(1);

        private Entry(long ttlNanos) {
            this.ttlNanos = ttlNanos;
        }

        private boolean isExpired(long now) {
            return attempts.isEmpty() || now - attempts.get(0).sentAt >= ttlNanos;
        }
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private int characters;

    /** The first attempt with this key that may have run, while servers remember the key; otherwise null. */
    public SentAttempt<P> first(String key, long now) {
        Entry entry = entries.get(key);
        return entry == null || entry.isExpired(now) ? null : entry.attempts.get(0);
    }

    /** Records an attempt that is being sent, with a key that servers remember for {@code ttlNanos}. */
    public SentAttempt<P> record(String key, P place, long now, long ttlNanos) {
        Entry entry = entries.get(key);
        if (entry != null && entry.isExpired(now)) {
            forget(key);
            entry = null;
        }
        if (entry == null) {
            makeRoom(key, now);
            entry = new Entry(ttlNanos);
            entries.put(key, entry);
            characters += key.length();
        }
        SentAttempt<P> attempt = new SentAttempt<>(place, now);
        entry.attempts.add(attempt);
        return attempt;
    }

    /** Removes an attempt that is proven not to have run. */
    public void removeNotExecuted(String key, SentAttempt<P> attempt) {
        Entry entry = entries.get(key);
        if (entry != null && entry.attempts.remove(attempt) && entry.attempts.isEmpty()) {
            forget(key);
        }
    }

    /** The number of keys, expired ones included. */
    public int size() {
        return entries.size();
    }

    private void makeRoom(String key, long now) {
        Iterator<Map.Entry<String, Entry>> eldest = entries.entrySet().iterator();
        while (eldest.hasNext()) {
            Map.Entry<String, Entry> next = eldest.next();
            boolean full = entries.size() >= MAX_KEYS || characters + key.length() > MAX_KEY_CHARACTERS;
            if (!full && !next.getValue().isExpired(now)) {
                return;
            }
            characters -= next.getKey().length();
            eldest.remove();
        }
    }

    private void forget(String key) {
        if (entries.remove(key) != null) {
            characters -= key.length();
        }
    }
}
