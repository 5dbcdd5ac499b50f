package pondridge.grpc;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * A method as the settings name it, and the same over HTTP/1.1: its message is the body, or, since a GET has
 * none, the query parameter {@code message} in base64url.
 *
 * @param path the whole name, {@code /package.Service/Method}
 * @param requestClass the number of its class, which says whether it may run again
 * @param className the class as the platform names it
 * @param uri what HTTP/1.1 servers and clients call it
 * @param get its class is safe to repeat, so HTTP/1.1 uses GET
 */
record Method(String path, int requestClass, String className, String uri, boolean get) {
    private static final String QUERY = "?message=";

    HttpMethod http() {
        return get ? HttpMethod.GET : HttpMethod.POST;
    }

    /** The target of an HTTP/1.1 request with this message. */
    String target(byte[] message) {
        return !get || message.length == 0
                ? uri
                : uri + QUERY + Base64.getUrlEncoder().withoutPadding().encodeToString(message);
    }

    /** The message of an HTTP/1.1 request; null where it has none that can be read. */
    byte[] message(String target, byte[] body) {
        int at = target.indexOf(QUERY);
        if (!get || at < 0) {
            return body;
        }
        try {
            int end = target.indexOf('&', at);
            return Base64.getUrlDecoder()
                    .decode(target.substring(at + QUERY.length(), end < 0 ? target.length() : end)
                            .getBytes(StandardCharsets.ISO_8859_1));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Whether an HTTP/1.1 path is this method's, or below it. */
    boolean fits(String httpPath) {
        return httpPath.equals(uri) || httpPath.startsWith(uri) && httpPath.charAt(uri.length()) == '/';
    }
}
