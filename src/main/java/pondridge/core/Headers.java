package pondridge.core;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Decides which headers the sidecar forwards. */
public final class Headers {
    /** Headers of a single connection, and headers from servers to the sidecar that applications don't see. */
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

    /** Memory of a message's head without its fields. */
    private static final int HEAD_BYTES = 512;
    /** Memory of one header field without its characters. */
    static final int FIELD_BYTES = 160;

    private Headers() {}

    /** An estimate of the memory that a message's head holds, in bytes. */
    public static int memoryBytes(
            Iterator<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> headers) {
        int bytes = HEAD_BYTES;
        while (headers.hasNext()) {
            Map.Entry<? extends CharSequence, ? extends CharSequence> header = headers.next();
            bytes += FIELD_BYTES + header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    /** Whether a message's only transfer coding is chunked. Any other leaves its length ambiguous. */
    public static boolean isChunkedOnly(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.size() == 1
                && codings.get(0).trim().equalsIgnoreCase("chunked")
                && message.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !message.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    /** Whether the header of this name is hop-by-hop, that is, not to be forwarded. */
    public static boolean isHopByHop(CharSequence name) {
        return HOP_BY_HOP.stream().anyMatch(hop -> AsciiString.contentEqualsIgnoreCase(hop, name));
    }

    /** Copies all end-to-end headers: all but the hop-by-hop ones and those that {@code Connection} names. */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!isHopByHop(name)) {
                to.add(name, header.getValue());
            }
        }
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                if (!name.isBlank()) {
                    to.remove(name.trim());
                }
            }
        }
    }
}
