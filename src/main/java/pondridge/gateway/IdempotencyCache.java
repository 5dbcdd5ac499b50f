package pondridge.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Caches responses to keyed requests received over a link. A repeat whose first response was lost gets the
 * same response and no second run; a repeat that arrives during the first run joins it. Bounded in entries
 * and bytes: when full, the responses that expire first are evicted, then new requests are not cached. Both
 * are safe, since the servers themselves drop repeats within the key's window, and a repeat is sent only
 * within it. Nothing is cached for a request that was not served. Times are in nanoseconds on one clock.
 *
 * @param <W> waiters for a response
 * @param <R> responses
 */
final class IdempotencyCache<W, R> {
    /** How to handle a request. */
    enum Decision {
        /** Run it and call {@link #complete}. */
        RUN,
        /** Run it; the cache is full of running requests, and {@link #complete} must not be called. */
        RUN_UNCACHED,
        /**
         * The same request is running: the caller has joined it and is among the waiters that {@link
         * #complete} returns.
         */
        JOINED,
        /** Send the response that {@link #response} returns. */
        REPLAY,
        /** The key belongs to a different request, or too many wait for this one. */
        REJECT
    }

    private static final class Entry<W, R> {
        private final String digest;
        private final List<W> waiters = new ArrayList<>(1);
        private R response;
        private int sizeBytes;
        private long expiresAt;

        Entry(String digest) {
            this.digest = digest;
        }
    }

    private record Expiry(String key, long expiresAt) {}

    private final int maxEntries;
    private final long maxBytes;
    private final int maxWaiters;
    private final Map<String, Entry<W, R>> entries = new LinkedHashMap<>();
    /** Completed entries by time to live; each queue is in order of expiry. */
    private final Map<Long, ArrayDeque<Expiry>> expiriesByTtl = new HashMap<>();

    private long bytes;

    /**
     * An empty cache.
     *
     * @param maxEntries requests in it, running ones included
     * @param maxBytes of all responses in it
     * @param maxWaiters that may wait for one run, the first included
     */
    IdempotencyCache(int maxEntries, long maxBytes, int maxWaiters) {
        this.maxEntries = maxEntries;
        this.maxBytes = maxBytes;
        this.maxWaiters = maxWaiters;
    }

    /**
     * Decides how to handle a request: {@code key} identifies it, {@code digest} covers all that makes it the
     * same request.
     */
    Decision admit(String key, String digest, W waiter, long now) {
        removeExpired(now);
        Entry<W, R> entry = entries.get(key);
        if (entry == null) {
            if (entries.size() >= maxEntries && !evict()) {
                return Decision.RUN_UNCACHED;
            }
            entry = new Entry<>(digest);
            entry.waiters.add(waiter);
            entries.put(key, entry);
            return Decision.RUN;
        }
        if (!entry.digest.equals(digest)) {
            return Decision.REJECT;
        }
        if (entry.response != null) {
            return Decision.REPLAY;
        }
        if (entry.waiters.size() >= maxWaiters) {
            return Decision.REJECT;
        }
        entry.waiters.add(waiter);
        return Decision.JOINED;
    }

    /** The response for a request that {@link #admit} decided to replay. */
    R response(String key) {
        return entries.get(key).response;
    }

    /**
     * Completes a run and returns all who wait for it.
     *
     * @param response what is cached, or null if it was not served
     * @param sizeBytes of the response
     * @param ttlNanos how long the response is cached
     */
    List<W> complete(String key, R response, int sizeBytes, long ttlNanos, long now) {
        Entry<W, R> entry = entries.get(key);
        List<W> waiters = List.copyOf(entry.waiters);
        entry.waiters.clear();
        if (response == null || ttlNanos <= 0 || sizeBytes > maxBytes) {
            entries.remove(key);
            return waiters;
        }
        entry.response = response;
        entry.sizeBytes = sizeBytes;
        entry.expiresAt = now + ttlNanos;
        bytes += sizeBytes;
        expiriesByTtl.computeIfAbsent(ttlNanos, each -> new ArrayDeque<>()).add(new Expiry(key, entry.expiresAt));
        while (bytes > maxBytes) {
            evict();
        }
        return waiters;
    }

    /** The number of requests, running ones included. */
    int size() {
        return entries.size();
    }

    /** Bytes of all cached responses. */
    long bytes() {
        return bytes;
    }

    private void removeExpired(long now) {
        for (ArrayDeque<Expiry> queue : expiriesByTtl.values()) {
            while (!queue.isEmpty() && queue.peek().expiresAt - now <= 0) {
                remove(queue.poll().key);
            }
        }
    }

    /** Removes the response that would expire first; false if there is none. */
    private boolean evict() {
        ArrayDeque<Expiry> first = null;
        for (ArrayDeque<Expiry> queue : expiriesByTtl.values()) {
            if (!queue.isEmpty() && (first == null || queue.peek().expiresAt - first.peek().expiresAt < 0)) {
                first = queue;
            }
        }
        if (first != null) {
            remove(first.poll().key);
        }
        return first != null;
    }

    private void remove(String key) {
        bytes -= entries.remove(key).sizeBytes;
    }
}
