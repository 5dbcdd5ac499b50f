package pondridge.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * Where one request has been sent, and what of that may have run. Times in nanoseconds on this gateway's
 * clock; nothing of them travels.
 */
final class Trail {
    private static final class Sending {
        private final String site;
        private final long at;
        private boolean neverRan;

        Sending(String site, long at) {
            this.site = site;
            this.at = at;
        }
    }

    /** The first sending that may have run: its site, and when it left here. */
    record Doubt(String site, long since) {}

    private final List<Sending> sendings = new ArrayList<>(2);
    private final int requestClass;
    private final boolean byLink;
    private final long key;
    private int waits;

    /**
     * A trail's begin.
     *
     * @param byLink the request came from another site
     * @param key stays the same where its client asks again
     */
    Trail(int requestClass, boolean byLink, long key) {
        this.requestClass = requestClass;
        this.byLink = byLink;
        this.key = key;
    }

    /** It goes to a site now; until its end is told it may run there. */
    void sent(String site, long now) {
        sendings.add(new Sending(site, now));
    }

    /** The last sending has ended; {@code neverRan} only where that is proven, by an authenticated peer. */
    void ended(boolean neverRan) {
        sendings.get(sendings.size() - 1).neverRan = neverRan;
    }

    /** How often it has waited for a way to be there. */
    int waits() {
        return waits;
    }

    /** It waits once more. */
    void waited() {
        waits++;
    }

    /** The number of its class. */
    int requestClass() {
        return requestClass;
    }

    boolean byLink() {
        return byLink;
    }

    /** Stays the same where its client asks again. */
    long key() {
        return key;
    }

    /** Whether it has gone nowhere yet. */
    boolean fresh() {
        return sendings.isEmpty();
    }

    /** How often it went to a site. */
    long timesAt(String site) {
        return sendings.stream().filter(each -> each.site.equals(site)).count();
    }

    /** The first doubt, from which windows count; null where nothing may have run. */
    Doubt doubt() {
        for (Sending each : sendings) {
            if (!each.neverRan) {
                return new Doubt(each.site, each.at);
            }
        }
        return null;
    }
}
