package pondridge.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Which headers go on through the sidecar. */
final class Headers {
    /** They speak of one connection, or tell the sidecar what is not for the application. */
    private static final List<CharSequence> HOP_BY_HOP = List.of(HttpHeaderNames.CONNECTION,
            "Proxy-Connection", "Keep-Alive", HttpHeaderNames.TE, HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT,
            HttpHeaderNames.PROXY_AUTHENTICATE, HttpHeaderNames.PROXY_AUTHORIZATION, "Srv-Load",
            "Srv-Declined");

    private Headers() { }

    /** Copies all but the headers of one hop, and of those also what {@code Connection} names. */
    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        to.set(from);
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String named : value.split(",")) {
                if (!named.isBlank()) {
                    to.remove(named.trim());
                }
            }
        }
        HOP_BY_HOP.forEach(to::remove);
    }
}
