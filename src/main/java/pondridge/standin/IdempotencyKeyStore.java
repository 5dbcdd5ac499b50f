package pondridge.standin;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The idempotency keys that the stand-in servers of all zones remember to drop repeats. Thread-safe. */
public final class IdempotencyKeyStore {
    private record Expiry(String key, long expiresAtNanos) {}

    private final Map<String, Long> expiryByKey = new HashMap<>();
    private final Map<Long, ArrayDeque<Expiry>> expiriesByTtl = new HashMap<>();

    /** Records the key. Returns false if it is already recorded in this scope, so that the request is a repeat. */
    public synchronized boolean recordIfNew(StandinRequestClass requestClass, String zone, String key, long nowNanos) {
        expiriesByTtl.values().forEach(expiries -> removeExpired(expiries, nowNanos));
        String scopedKey = requestClass.name() + '/' + (requestClass.keyPerZone() ? zone : "") + '/' + key;
        Long expiresAtNanos = expiryByKey.get(scopedKey);
        if (expiresAtNanos != null && expiresAtNanos - nowNanos > 0) {
            return false;
        }
        expiryByKey.put(scopedKey, nowNanos + requestClass.keyTtlNanos());
        expiriesByTtl
                .computeIfAbsent(requestClass.keyTtlNanos(), ttl -> new ArrayDeque<>())
                .add(new Expiry(scopedKey, nowNanos + requestClass.keyTtlNanos()));
        return true;
    }

    private void removeExpired(ArrayDeque<Expiry> expiries, long nowNanos) {
        while (!expiries.isEmpty() && expiries.peek().expiresAtNanos - nowNanos <= 0) {
            Expiry oldest = expiries.poll();
            expiryByKey.remove(oldest.key, oldest.expiresAtNanos);
        }
    }
}
