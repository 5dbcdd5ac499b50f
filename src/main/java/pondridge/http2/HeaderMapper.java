package pondridge.http2;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.AsciiString;
import java.util.Map;
import pondridge.core.Headers;
import pondridge.core.Job;

/** Converts request headers to HTTP/2 and response headers from it (RFC 9113, section 8.3). */
final class HeaderMapper {
    private static final AsciiString DEADLINE_HEADER = AsciiString.cached("req-deadline-ms");
    private static final AsciiString SCHEME_HTTP = AsciiString.cached("http");
    private static final long NANOS_PER_MILLI = 1_000_000;

    private HeaderMapper() {}

    /** Returns the headers of a request; {@code remainingNanos} is sent to the upstream as the time left. */
    static Http2Headers requestHeaders(Job job, long remainingNanos) {
        HttpHeaders source = job.headers();
        if (source.contains(HttpHeaderNames.CONNECTION)) {
            source = new DefaultHttpHeaders();
            Headers.copyEndToEnd(job.headers(), source);
        }
        Http2Headers headers = new DefaultHttp2Headers(false, 16);
        headers.method(job.method().asciiName()).scheme(SCHEME_HTTP).path(job.uri());
        for (Map.Entry<String, String> header : source) {
            AsciiString name = AsciiString.of(header.getKey()).toLowerCase();
            if (name.contentEquals(HttpHeaderNames.HOST)) {
                headers.authority(header.getValue());
            } else if (!Headers.isHopByHop(name) && !name.contentEquals(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.add(name, header.getValue());
            }
        }
        headers.set(DEADLINE_HEADER, Long.toString(Math.max(1, remainingNanos / NANOS_PER_MILLI)));
        if (!job.method().equals(HttpMethod.GET) || job.body().length > 0) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, job.body().length);
        }
        return headers;
    }

    /** Returns the status of a response, or 0 if there is no valid one. */
    static int status(Http2Headers headers) {
        CharSequence status = headers.status();
        if (status == null || status.length() != 3) {
            return 0;
        }
        int number = 0;
        for (int i = 0; i < 3; i++) {
            int digit = status.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return 0;
            }
            number = number * 10 + digit;
        }
        return number;
    }

    /** Returns the response headers that are forwarded to the client, or null if one of them is invalid. */
    static HttpHeaders responseHeaders(Http2Headers headers) {
        try {
            HttpHeaders forwarded = new DefaultHttpHeaders();
            for (Map.Entry<CharSequence, CharSequence> header : headers) {
                CharSequence name = header.getKey();
                if (name.length() > 0 && name.charAt(0) != ':' && !Headers.isHopByHop(name)) {
                    forwarded.add(name, header.getValue());
                }
            }
            return forwarded;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Returns the value of a header, or null. */
    static String value(Http2Headers headers, AsciiString name) {
        CharSequence value = headers.get(name);
        return value == null ? null : value.toString();
    }
}
