package pondridge.grpc;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * A configured gRPC method and its mapping to HTTP/1.1. The message is the HTTP/1.1 body or, since a GET has
 * no body, the query parameter {@code message} in base64url.
 *
 * @param path the full method name, {@code /package.Service/Method}
 * @param requestClass index of its request class, which determines whether a call may be repeated
 * @param className name of the request class in the platform configuration
 * @param httpPath path of the method for HTTP/1.1 servers and clients
 * @param usesGet whether HTTP/1.1 uses GET, because the class is safe to repeat
 */
record GrpcMethod(String path, int requestClass, String className, String httpPath, boolean usesGet) {
    private static final String MESSAGE_QUERY = "?message=";

    HttpMethod httpMethod() {
        return usesGet ? HttpMethod.GET : HttpMethod.POST;
    }

    /** The request target of the HTTP/1.1 request that carries this message. */
    String requestTarget(byte[] message) {
        return !usesGet || message.length == 0
                ? httpPath
                : httpPath
                        + MESSAGE_QUERY
                        + Base64.getUrlEncoder().withoutPadding().encodeToString(message);
    }

    /** The message of an HTTP/1.1 request; null where its query parameter is not valid base64url. */
    byte[] messageOf(String requestTarget, byte[] body) {
        int start = requestTarget.indexOf(MESSAGE_QUERY);
        if (!usesGet || start < 0) {
            return body;
        }
        try {
            int end = requestTarget.indexOf('&', start);
            return Base64.getUrlDecoder()
                    .decode(requestTarget
                            .substring(start + MESSAGE_QUERY.length(), end < 0 ? requestTarget.length() : end)
                            .getBytes(StandardCharsets.ISO_8859_1));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Whether an HTTP/1.1 path is the path of this method or below it. */
    boolean matchesHttpPath(String candidate) {
        return candidate.equals(httpPath)
                || candidate.startsWith(httpPath) && candidate.charAt(httpPath.length()) == '/';
    }
}
