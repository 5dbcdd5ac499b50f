package pondridge.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * The attempts of one request and which of them may have executed. Times are in nanoseconds on this gateway's
 * clock and are not sent to other gateways.
 */
final class AttemptHistory {
    private static final class Attempt {
        private final String site;
        private final long sentAt;
        private boolean provenNotExecuted;

        Attempt(String site, long sentAt) {
            this.site = site;
            this.sentAt = sentAt;
        }
    }

    /** The first attempt that may have executed: its site, and when it was sent. */
    record UncertainAttempt(String site, long sentAt) {}

    private final List<Attempt> attempts = new ArrayList<>(2);
    private final int requestClass;
    private final boolean fromLink;
    private final long affinityKey;
    private final UncertainAttempt priorAttempt;
    private int waitCount;

    /**
     * A request without attempts.
     *
     * @param fromLink the request was received from another site
     * @param affinityKey stays the same when the client repeats its request
     */
    AttemptHistory(int requestClass, boolean fromLink, long affinityKey) {
        this(requestClass, fromLink, affinityKey, null);
    }

    /**
     * A request without attempts of its own.
     *
     * @param priorAttempt the attempt for an earlier request with the same idempotency key; null if there is none
     */
    AttemptHistory(int requestClass, boolean fromLink, long affinityKey, UncertainAttempt priorAttempt) {
        this.priorAttempt = priorAttempt;
        this.requestClass = requestClass;
        this.fromLink = fromLink;
        this.affinityKey = affinityKey;
    }

    /** Records an attempt at a site; it counts as possibly executed until its end is reported. */
    void attemptSent(String site, long now) {
        attempts.add(new Attempt(site, now));
    }

    /**
     * Records the end of the last attempt; {@code provenNotExecuted} only if an authenticated peer has proven
     * it.
     */
    void attemptEnded(boolean provenNotExecuted) {
        attempts.get(attempts.size() - 1).provenNotExecuted = provenNotExecuted;
    }

    /** How often it has waited for a site to become reachable. */
    int waitCount() {
        return waitCount;
    }

    /** Records another wait. */
    void recordWait() {
        waitCount++;
    }

    int requestClass() {
        return requestClass;
    }

    boolean fromLink() {
        return fromLink;
    }

    /** Stays the same when the client repeats its request. */
    long affinityKey() {
        return affinityKey;
    }

    /** Whether there was no attempt yet. */
    boolean isUnsent() {
        return attempts.isEmpty();
    }

    /** The number of attempts at a site. */
    long attemptsAt(String site) {
        return attempts.stream().filter(each -> each.site.equals(site)).count();
    }

    /**
     * The first attempt that may have executed, from which the idempotency window counts; null if none may
     * have.
     */
    UncertainAttempt firstUncertain() {
        if (priorAttempt != null) {
            return priorAttempt;
        }
        for (Attempt each : attempts) {
            if (!each.provenNotExecuted) {
                return new UncertainAttempt(each.site, each.sentAt);
            }
        }
        return null;
    }
}
