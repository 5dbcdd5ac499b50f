package pondridge.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** The headers of one request on its way across; also by when, on this clock, the far site must be done. */
final class CrossingHeaders extends DefaultHttpHeaders {
    private final long until;

    /**
     * A client's headers with the link's own in place of any that it sent.
     *
     * @param until when the far site may no longer send the request anywhere, by the gateway's clock
     */
    CrossingHeaders(HttpHeaders from, String site, long until) {
        this.until = until;
        add(from);
        names().stream()
                .filter(name -> name.regionMatches(true, 0, LinkHeaders.PREFIX, 0, LinkHeaders.PREFIX.length()))
                .forEach(this::remove);
        set(LinkHeaders.VERSION, LinkHeaders.SPOKEN);
        set(LinkHeaders.SITE, site);
        set(LinkHeaders.HOPS, "1");
    }

    /** What the far site may take, told with each sending as time left. */
    long left(long now) {
        return until - now;
    }
}
