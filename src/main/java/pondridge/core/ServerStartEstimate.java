package pondridge.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates when servers started by this process's monotonic clock. The endpoint list gives start times by a wall
 * clock, which may be off by an hour or be stepped; a cold server taken for a warm one would be overloaded. A start
 * time from the list is used only if it does not contradict when the start was first listed; otherwise the server
 * counts as started when it was. Times are in milliseconds.
 */
final class ServerStartEstimate {
    /** How long after its start a server may be listed at the latest while discovery can be reached. */
    private static final long MAX_LISTING_DELAY_MILLIS = 15_000;

    private record Start(long listedMillis, long estimatedMillis) {}

    private final Map<String, Start> starts = new HashMap<>();
    private boolean listReceived;
    private long lastListAtMillis;

    /**
     * Returns the estimated start time of a server; 0 for long ago.
     *
     * @param listedMillis its start time in the list; 0 for long ago
     * @param nowMillis time of this process's clock
     */
    long startOf(String uid, long listedMillis, long nowMillis) {
        Start previous = starts.get(uid);
        if (previous != null && previous.listedMillis == listedMillis) {
            return previous.estimatedMillis;
        }
        long estimate = estimate(listedMillis, nowMillis);
        if (previous != null && listedMillis != 0 && estimate <= previous.estimatedMillis) {
            // Another start of the same server is a later one, whatever the list's clock says.
            estimate = Math.max(nowMillis, previous.estimatedMillis + 1);
        }
        starts.put(uid, new Start(listedMillis, estimate));
        return estimate;
    }

    private long estimate(long listedMillis, long nowMillis) {
        if (listedMillis == 0) {
            return 0;
        }
        boolean tooOld = listReceived && listedMillis < lastListAtMillis - MAX_LISTING_DELAY_MILLIS;
        return tooOld ? nowMillis : Math.min(listedMillis, nowMillis);
    }

    /** Forgets a server that left the list long ago. */
    void forget(String uid) {
        starts.remove(uid);
    }

    /** A list from discovery, or a change to it, has been applied. A cached list may be of any age. */
    void listApplied(long nowMillis) {
        listReceived = true;
        lastListAtMillis = nowMillis;
    }
}
