package pondridge.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** The headers of one request to another site, with the deadline of that site by this gateway's clock. */
final class CrossSiteHeaders extends DefaultHttpHeaders {
    private final long deadline;

    /**
     * Copies the client's headers and replaces link headers among them by the gateway's own.
     *
     * @param deadline when the other site may no longer send the request to a server, by this gateway's clock
     */
    CrossSiteHeaders(HttpHeaders clientHeaders, String site, long deadline) {
        this.deadline = deadline;
        add(clientHeaders);
        names().stream()
                .filter(name -> name.regionMatches(true, 0, LinkHeaders.PREFIX, 0, LinkHeaders.PREFIX.length()))
                .forEach(this::remove);
        set(LinkHeaders.VERSION, LinkHeaders.SUPPORTED_VERSION);
        set(LinkHeaders.SITE, site);
        set(LinkHeaders.HOPS, "1");
    }

    /** The time left to the other site, sent with each attempt. */
    long timeLeftNanos(long now) {
        return deadline - now;
    }
}
