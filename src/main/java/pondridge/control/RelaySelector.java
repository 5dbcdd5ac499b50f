package pondridge.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which relay an instance connects to, and when. The order of preference is a rendezvous hash of
 * instance and relay, so that each relay gets its share of instances and the share of a failed relay is
 * spread over all others. Instances do not reconnect at the same moment: one that has lost its relay connects
 * to the next after a fraction of {@code reconnectSpreadNanos} that depends on instance and relay. All are
 * therefore back by the end of that time plus the time that one relay takes to serve new connections. Does no
 * I/O.
 */
final class RelaySelector {
    /**
     * Limits on reconnecting.
     *
     * @param reconnectSpreadNanos instances that lose a relay together reconnect within this time
     * @param initialBackoffNanos how long a relay is avoided after its first failure; doubles with each
     * further failure
     * @param maxBackoffNanos upper bound of the backoff
     * @param failbackNanos an instance that is not at its preferred relay returns to it after one to two
     * times this time
     */
    record Limits(long reconnectSpreadNanos, long initialBackoffNanos, long maxBackoffNanos, long failbackNanos) {}

    /** The relay to connect to, and when. */
    record DialPlan(String relay, long atNanos) {}

    private static final class Backoff {
        private long endNanos = Long.MIN_VALUE;
        private int failures;
    }

    private final String instance;
    private final List<String> order;
    private final Limits limits;
    private final Map<String, Backoff> backoffs = new HashMap<>();

    RelaySelector(String instance, List<String> relays, Limits limits) {
        if (relays.isEmpty()) {
            throw new IllegalArgumentException("relays: expected one at least");
        }
        this.instance = instance;
        this.limits = limits;
        this.order = new ArrayList<>(relays);
        order.sort(Comparator.<String>comparingLong(each -> Digest.of(instance, each))
                .reversed());
        order.forEach(each -> backoffs.put(each, new Backoff()));
    }

    /**
     * Returns the fraction for jitter. It must not use the hash that sets the order: the hash of a preferred
     * relay is the highest of all, so all instances that lost it would get nearly the same fraction.
     */
    private double jitter(String relay) {
        return Digest.fraction(relay, instance);
    }

    /** Returns the first relay in order whose backoff is over, or else the one whose backoff ends first. */
    DialPlan nextDial(long nowNanos) {
        String earliest = null;
        for (String each : order) {
            if (backoffs.get(each).endNanos <= nowNanos) {
                return new DialPlan(each, nowNanos);
            }
            if (earliest == null || backoffs.get(each).endNanos < backoffs.get(earliest).endNanos) {
                earliest = each;
            }
        }
        return new DialPlan(earliest, backoffs.get(earliest).endNanos);
    }

    /** Records that the relay has sent an update, which ends its series of failures. */
    void recordSuccess(String relay) {
        backoffs.get(relay).failures = 0;
    }

    /** Records that the relay can't be reached or can't serve now, and starts its backoff. */
    void recordFailure(String relay, long nowNanos) {
        Backoff backoff = backoffs.get(relay);
        long backoffNanos =
                Math.min(limits.maxBackoffNanos, limits.initialBackoffNanos << Math.min(16, backoff.failures));
        backoff.failures++;
        backoff.endNanos = nowNanos + backoffNanos / 2 + (long) (jitter(relay) * backoffNanos / 2);
    }

    /**
     * Records that an established connection has ended. Returns when to connect to another relay; the backoff
     * of this one starts then.
     */
    long connectionLost(String relay, long nowNanos) {
        long dialNanos = nowNanos + (long) (jitter(relay) * limits.reconnectSpreadNanos);
        recordFailure(relay, dialNanos);
        return dialNanos;
    }

    /**
     * Returns when to leave this relay for the preferred one; {@code Long.MAX_VALUE} if it is the preferred
     * one.
     */
    long failbackAtNanos(String relay, long nowNanos) {
        return relay.equals(order.get(0))
                ? Long.MAX_VALUE
                : nowNanos + limits.failbackNanos + (long) (jitter(relay) * limits.failbackNanos);
    }

    /** Ends the backoff of the preferred relay so that it is the next to be connected to. */
    void failBack() {
        backoffs.get(order.get(0)).endNanos = Long.MIN_VALUE;
    }
}
