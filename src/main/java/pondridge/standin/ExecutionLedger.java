package pondridge.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the requests that clients sent, the responses they received, each execution at a server and each
 * send to a draining server, and checks invariants over them. The result is a {@link Verdict}. Times are
 * from {@link System#nanoTime}. Thread-safe.
 */
public final class ExecutionLedger {
    /** The number of violations that are described in text; further ones are only counted. */
    private static final int MAX_VIOLATIONS = 20;

    private static final int MAX_PAUSES = 10_000;

    /**
     * The counts of a whole run. Without violations, only the counts of sent, served, refused and failed
     * requests and of dropped repeats may differ from 0.
     *
     * @param requests requests that clients sent
     * @param served requests with status 200
     * @param refused requests with status 429 or 503
     * @param failed requests with any other status, or whose client-facing endpoint was killed
     * @param unanswered requests without a final response
     * @param late requests whose response came after the client's timeout and the slack
     * @param duplicateResponses requests with more than one final response
     * @param mismatchedResponses requests that got the response to another request
     * @param duplicateKeyedEffects keys whose request had its effect more than once
     * @param duplicateUnsafeExecutions unsafe requests that were executed more than once
     * @param refusedAfterExecution requests whose status allows a retry, although they were executed and repeats
     *     are not deduplicated
     * @param unknownExecutions executions of requests that no client sent
     * @param sendsAfterDrain sends to a server later than the grace period after its drain was announced
     * @param coldServerCrashes cold servers that crashed under load
     * @param droppedRepeats repeats that servers dropped because they remembered the key
     * @param violations descriptions of the first violations, one line each
     */
    public record Verdict(
            int requests,
            int served,
            int refused,
            int failed,
            int unanswered,
            int late,
            int duplicateResponses,
            int mismatchedResponses,
            int duplicateKeyedEffects,
            int duplicateUnsafeExecutions,
            int refusedAfterExecution,
            int unknownExecutions,
            int sendsAfterDrain,
            int coldServerCrashes,
            int droppedRepeats,
            List<String> violations) {
        /** Whether no invariant was violated. */
        public boolean passed() {
            return unanswered
                            + late
                            + duplicateResponses
                            + mismatchedResponses
                            + duplicateKeyedEffects
                            + duplicateUnsafeExecutions
                            + refusedAfterExecution
                            + unknownExecutions
                            + sendsAfterDrain
                            + coldServerCrashes
                    == 0;
        }

        /** Keys and unsafe requests whose effect happened more than once. */
        public int duplicateEffects() {
            return duplicateKeyedEffects + duplicateUnsafeExecutions;
        }
    }

    private record Pause(long until, long lengthNanos) {}

    private static final class RequestRecord {
        private final StandinRequestClass requestClass;
        private final String key;
        private final long sentAt;
        private final long deadline;
        private long respondedAt;
        private int responses;
        private int status;
        private boolean late;
        private boolean mismatched;
        private boolean orphaned;
        private long excusedNanos;
        private int executions;

        RequestRecord(StandinRequestClass requestClass, String key, long sentAt, long deadline) {
            this.sentAt = sentAt;
            this.requestClass = requestClass;
            this.key = key;
            this.deadline = deadline;
        }

        /** The outcome by status: 0 served, 1 refused, 2 failed. */
        int outcome() {
            return status == 200 ? 0 : status == 429 || status == 503 ? 1 : 2;
        }
    }

    private final long responseSlackNanos;
    private final long drainGraceNanos;
    private final Map<String, RequestRecord> requests = new HashMap<>();
    private final Map<String, Integer> effectCounts = new HashMap<>();
    private final Map<String, Long> drainingSince = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<Pause> pauses = new ArrayList<>();
    private int unknownExecutions;
    private int sendsAfterDrain;
    private int coldServerCrashes;
    private int droppedRepeats;

    /**
     * Creates an empty ledger.
     *
     * @param responseSlackNanos how long after the client's timeout a response is still in time
     * @param drainGraceNanos how long after the announcement of a drain sends may still arrive
     */
    public ExecutionLedger(long responseSlackNanos, long drainGraceNanos) {
        this.responseSlackNanos = responseSlackNanos;
        this.drainGraceNanos = drainGraceNanos;
    }

    /** Records that a client is about to send a request with this timeout. */
    public synchronized void requestSent(String id, StandinRequestClass requestClass, String key, long timeoutNanos) {
        long nowNanos = System.nanoTime();
        if (requests.put(id, new RequestRecord(requestClass, key, nowNanos, nowNanos + timeoutNanos)) != null) {
            throw new IllegalArgumentException("duplicate request id: " + id);
        }
    }

    /** Records a complete response; {@code madeFor} is the request id that a response with status 200 names. */
    public synchronized void responseReceived(String id, int status, String madeFor) {
        RequestRecord request = requests.get(id);
        request.responses++;
        request.status = status;
        request.respondedAt = System.nanoTime();
        request.late |= request.respondedAt - request.deadline - responseSlackNanos > 0;
        if (status == 200 && !id.equals(madeFor)) {
            request.mismatched = true;
            addViolation("mixed up: " + id + " got what was made for " + madeFor);
        }
    }

    /**
     * Records that the whole machine was paused for this long until now, as observed by a thread that only
     * reads the clock. Nothing can respond during a pause, so responses may be later by its length.
     */
    public synchronized void machinePaused(long lengthNanos) {
        if (pauses.size() < MAX_PAUSES) {
            pauses.add(new Pause(System.nanoTime(), lengthNanos));
        }
    }

    private boolean isLateDespitePauses(RequestRecord request) {
        long excusedNanos = request.excusedNanos;
        for (Pause pause : pauses) {
            boolean overlaps =
                    pause.until - request.sentAt > 0 && request.respondedAt - (pause.until - pause.lengthNanos) > 0;
            excusedNanos += overlaps ? pause.lengthNanos : 0;
        }
        return request.respondedAt - request.deadline - responseSlackNanos - excusedNanos > 0;
    }

    /** Records how long the process that holds a request was paused; its response may be later by that. */
    public synchronized void requestPaused(String id, long nanos) {
        requests.get(id).excusedNanos = nanos;
    }

    /** Records that the process holding a request was killed or paused; a missing response is no violation. */
    public synchronized void requestOrphaned(String id) {
        requests.get(id).orphaned = true;
    }

    /**
     * A client's attempt in its current state.
     *
     * @param sentAtNanos when it was sent, by {@link System#nanoTime}
     * @param respondedAtNanos when its response came, by {@link System#nanoTime}; 0 without one
     * @param status of the response; 0 without one
     */
    public record ClientAttempt(
            String id, StandinRequestClass requestClass, long sentAtNanos, long respondedAtNanos, int status) {}

    /** All attempts so far, in no particular order. */
    public synchronized List<ClientAttempt> attempts() {
        return requests.entrySet().stream()
                .map(each -> new ClientAttempt(
                        each.getKey(),
                        each.getValue().requestClass,
                        each.getValue().sentAt,
                        each.getValue().respondedAt,
                        each.getValue().status))
                .toList();
    }

    /** Records that a client gave up without a response, for this reason. */
    public synchronized void responseMissing(String id, String reason) {
        if (!requests.get(id).orphaned) {
            addViolation("no answer: " + id + ", " + reason);
        }
    }

    /** Records that the head of a request has reached a server. */
    public synchronized void requestArrived(String server, String id) {
        Long since = drainingSince.get(server);
        if (since != null && System.nanoTime() - since > drainGraceNanos) {
            sendsAfterDrain++;
            addViolation("after the drain: " + id + " at " + server);
        }
    }

    /** Records that a server has executed a request, so that its effect has happened. */
    public synchronized void requestExecuted(String server, String id, String key) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            unknownExecutions++;
            addViolation("nobody asked for " + id + " at " + server);
            return;
        }
        request.executions++;
        if (request.requestClass.effect() == StandinRequestClass.Effect.KEYED) {
            String effect = request.requestClass.name() + '/' + key;
            if (effectCounts.merge(effect, 1, Integer::sum) > 1) {
                addViolation("effect twice: " + effect + " at " + server);
            }
        } else if (request.requestClass.effect() == StandinRequestClass.Effect.UNSAFE && request.executions > 1) {
            addViolation("run twice: " + id + " at " + server);
        }
    }

    /** Records that a server has dropped a repeat. */
    public synchronized void repeatDropped() {
        droppedRepeats++;
    }

    /** Records that the program under test was notified that a server is draining or gone, or is back. */
    public synchronized void setDraining(String server, boolean drains) {
        if (drains) {
            drainingSince.putIfAbsent(server, System.nanoTime());
        } else {
            drainingSince.remove(server);
        }
    }

    /** Records that a cold server has crashed under load. */
    public synchronized void coldServerCrashed(String server) {
        coldServerCrashes++;
        addViolation("pushed over: " + server);
    }

    /** How many requests have a response. */
    public synchronized int responseCount() {
        return (int) requests.values().stream()
                .filter(request -> request.responses > 0)
                .count();
    }

    /** The counts of one request class. */
    public record Tally(int requests, int served, int refused, int failed) {}

    /** The counts of the named request class so far. */
    public synchronized Tally tally(String className) {
        int[] count = new int[4];
        for (RequestRecord request : requests.values()) {
            if (request.requestClass.name().equals(className)) {
                count[3]++;
                count[request.outcome()] += request.responses > 0 ? 1 : 0;
            }
        }
        return new Tally(count[3], count[0], count[1], count[2]);
    }

    /** How often requests of the named class were executed. */
    public synchronized int executions(String className) {
        return requests.values().stream()
                .filter(request -> request.requestClass.name().equals(className))
                .mapToInt(request -> request.executions)
                .sum();
    }

    private void addViolation(String line) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(line);
        }
    }

    /** Checks all invariants. Call it after the last execution, including those of abandoned requests. */
    public synchronized Verdict verdict() {
        int[] count = new int[9];
        List<String> allViolations = new ArrayList<>(violations);
        for (Map.Entry<String, RequestRecord> each : requests.entrySet()) {
            RequestRecord request = each.getValue();
            int outcome = request.outcome();
            count[request.responses > 0 ? outcome : request.orphaned ? 2 : 3]++;
            if (request.late && isLateDespitePauses(request)) {
                count[4]++;
                if (allViolations.size() < MAX_VIOLATIONS) {
                    allViolations.add("late: " + each.getKey());
                }
            }
            count[5] += request.responses > 1 ? 1 : 0;
            count[6] += request.mismatched ? 1 : 0;
            boolean unsafe = request.requestClass.effect() == StandinRequestClass.Effect.UNSAFE;
            count[7] += unsafe && request.executions > 1 ? 1 : 0;
            boolean repeatHarms = unsafe
                    || request.requestClass.effect() == StandinRequestClass.Effect.KEYED
                            && request.requestClass.keyPerZone();
            count[8] += outcome == 1 && request.responses > 0 && request.executions > 0 && repeatHarms ? 1 : 0;
        }
        int duplicateKeyedEffects = (int)
                effectCounts.values().stream().filter(effects -> effects > 1).count();
        return new Verdict(
                requests.size(),
                count[0],
                count[1],
                count[2],
                count[3],
                count[4],
                count[5],
                count[6],
                duplicateKeyedEffects,
                count[7],
                count[8],
                unknownExecutions,
                sendsAfterDrain,
                coldServerCrashes,
                droppedRepeats,
                List.copyOf(allViolations));
    }
}
