package pondridge.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which relay an instance goes to, and when: the order is a rendezvous hash of both, so that each relay has
 * its share, and that of a dead one falls to all others. Nothing starts together: who has lost a relay dials
 * the next after a share of {@code spread} drawn from instance and relay, so all are back by its end and the
 * joins of one relay. Times in nanoseconds; no I/O.
 */
final class RelayChoice {
    /**
     * Bounds.
     *
     * @param spread those that lose a relay together dial anew within this time
     * @param pause a relay that failed is left alone for so long first, twice as long each further time
     * @param longestPause at most
     * @param home an instance away from its first choice goes back after once to twice this time
     */
    record Limits(long spread, long pause, long longestPause, long home) {}

    /** Whom to dial, and when. */
    record Dial(String relay, long at) {}

    private static final class Seen {
        private long until = Long.MIN_VALUE;
        private int failures;
    }

    private final String instance;
    private final List<String> order;
    private final Limits limits;
    private final Map<String, Seen> seen = new HashMap<>();

    RelayChoice(String instance, List<String> relays, Limits limits) {
        if (relays.isEmpty()) {
            throw new IllegalArgumentException("relays: expected one at least");
        }
        this.instance = instance;
        this.limits = limits;
        this.order = new ArrayList<>(relays);
        order.sort(Comparator.<String>comparingLong(each -> Digest.of(instance, each))
                .reversed());
        order.forEach(each -> seen.put(each, new Seen()));
    }

    /**
     * A share of a time. Danger: not by the hash of the order; that of a first choice is the highest of all,
     * so that all who lost it would come in the same part of the time.
     */
    private double phase(String relay) {
        return Digest.share(relay, instance);
    }

    /** The first in order that is not left alone, else the one whose pause ends first. */
    Dial next(long now) {
        String best = null;
        for (String each : order) {
            if (seen.get(each).until <= now) {
                return new Dial(each, now);
            }
            if (best == null || seen.get(each).until < seen.get(best).until) {
                best = each;
            }
        }
        return new Dial(best, seen.get(best).until);
    }

    /** It answers, and what it says is new enough. */
    void good(String relay) {
        seen.get(relay).failures = 0;
    }

    /** It can't be reached, or is of no use just now. */
    void failed(String relay, long now) {
        Seen its = seen.get(relay);
        long pause = Math.min(limits.longestPause, limits.pause << Math.min(16, its.failures));
        its.failures++;
        its.until = now + pause / 2 + (long) (phase(relay) * pause / 2);
    }

    /** A call that was good has ended: it is left alone, and the next is dialled at this time. */
    long lost(String relay, long now) {
        long at = now + (long) (phase(relay) * limits.spread);
        failed(relay, at);
        return at;
    }

    /** When it is to go back to its first choice from this one; MAX where it is there. */
    long homeward(String relay, long now) {
        return relay.equals(order.get(0)) ? Long.MAX_VALUE : now + limits.home + (long) (phase(relay) * limits.home);
    }

    /** It goes home: the first choice is dialled now, whatever it was before. */
    void home() {
        seen.get(order.get(0)).until = Long.MIN_VALUE;
    }
}
