package pondridge.core;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Map;

/** Which headers go on through the sidecar. */
public final class Headers {
    /** They speak of one connection, or tell the sidecar what is not for the application. */
    private static final List<CharSequence> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            "Proxy-Connection",
            "Keep-Alive",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            "Srv-Load",
            "Srv-Declined");

    private Headers() {}

    /** Whether a message's transfer coding is plain chunks: any other leaves open where it ends. */
    public static boolean onlyChunked(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.size() == 1
                && codings.get(0).trim().equalsIgnoreCase("chunked")
                && message.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !message.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    /** Whether a header speaks of one hop only, by its name. */
    public static boolean ofOneHop(CharSequence name) {
        return HOP_BY_HOP.stream().anyMatch(hop -> AsciiString.contentEqualsIgnoreCase(hop, name));
    }

    /** Copies all but the headers of one hop, and of those also what {@code Connection} names. */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!ofOneHop(name)) {
                to.add(name, header.getValue());
            }
        }
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String named : value.split(",")) {
                if (!named.isBlank()) {
                    to.remove(named.trim());
                }
            }
        }
    }
}
