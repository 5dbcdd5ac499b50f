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

/** Puts requests into HTTP/2's form and answers' headers out of it (RFC 9113, section 8.3). */
final class Messages {
    private static final AsciiString DEADLINE = AsciiString.cached("req-deadline-ms");
    private static final AsciiString HTTP = AsciiString.cached("http");

    private Messages() {}

    /** A request's headers; {@code left} in nanoseconds is what the upstream is told of the time there is. */
    static Http2Headers request(Job job, long left) {
        HttpHeaders from = job.headers();
        if (from.contains(HttpHeaderNames.CONNECTION)) {
            from = new DefaultHttpHeaders();
            Headers.copyEndToEnd(job.headers(), from);
        }
        Http2Headers headers = new DefaultHttp2Headers(false, 16);
        headers.method(job.method().asciiName()).scheme(HTTP).path(job.uri());
        for (Map.Entry<String, String> header : from) {
            AsciiString name = AsciiString.of(header.getKey()).toLowerCase();
            if (name.contentEquals(HttpHeaderNames.HOST)) {
                headers.authority(header.getValue());
            } else if (!Headers.ofOneHop(name) && !name.contentEquals(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.add(name, header.getValue());
            }
        }
        headers.set(DEADLINE, Long.toString(Math.max(1, left / 1_000_000)));
        if (!job.method().equals(HttpMethod.GET) || job.body().length > 0) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, job.body().length);
        }
        return headers;
    }

    /** An answer's status; 0 where none can be read. */
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

    /** The headers of an answer that go through to the client; null where one of them can't. */
    static HttpHeaders answer(Http2Headers headers) {
        try {
            HttpHeaders through = new DefaultHttpHeaders();
            for (Map.Entry<CharSequence, CharSequence> header : headers) {
                CharSequence name = header.getKey();
                if (name.length() > 0 && name.charAt(0) != ':' && !Headers.ofOneHop(name)) {
                    through.add(name, header.getValue());
                }
            }
            return through;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** A header's value, or null. */
    static String text(Http2Headers headers, AsciiString name) {
        CharSequence value = headers.get(name);
        return value == null ? null : value.toString();
    }
}
