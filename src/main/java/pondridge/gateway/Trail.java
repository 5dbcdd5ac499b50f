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
    record Doubt(String site, long since) { }

    private final List<Sending> sendings = new ArrayList<>(2);
    private final int requestClass;
    private final boolean byLink;
    private int waits;

    /** A trail's begin; {@code byLink} says that the request came from another site. */
    Trail(int requestClass, boolean byLink) {
        this.requestClass = requestClass;
        this.byLink = byLink;
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
