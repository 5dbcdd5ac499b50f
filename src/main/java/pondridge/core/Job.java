package pondridge.core;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete client request, independent of the protocol. Frontends of every protocol create one; transports
 * translate it into theirs.
 *
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param key number that identifies the requested object; 0 for none
 * @param clientTimeoutMillis how long the client waits for the response, in milliseconds from now
 * @param costHintNanos estimated work in nanoseconds; 0 if unknown
 * @param clientRetry whether the client marked the request as a retry
 * @param headers all received headers; transports forward those that {@link Headers} permits
 */
public record Job(
        int requestClass,
        int tenant,
        long key,
        long clientTimeoutMillis,
        long costHintNanos,
        boolean clientRetry,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body) {
    /** The same request with this body. */
    public Job withBody(byte[] newBody) {
        return new Job(
                requestClass,
                tenant,
                key,
                clientTimeoutMillis,
                costHintNanos,
                clientRetry,
                method,
                uri,
                headers,
                newBody);
    }

    /** The same request with other headers. */
    public Job withHeaders(HttpHeaders newHeaders) {
        return new Job(
                requestClass,
                tenant,
                key,
                clientTimeoutMillis,
                costHintNanos,
                clientRetry,
                method,
                uri,
                newHeaders,
                body);
    }

    /** The same request, {@code ageNanos} nanoseconds after its arrival. */
    public Job aged(long ageNanos) {
        return ageNanos <= 0 ? this : withTimeLeft(clientTimeoutMillis * 1_000_000 - ageNanos);
    }

    /** The same request with this much time left, in nanoseconds from now; at least 1 ms. */
    public Job withTimeLeft(long timeLeftNanos) {
        return new Job(
                requestClass,
                tenant,
                key,
                Math.max(1, timeLeftNanos / 1_000_000),
                costHintNanos,
                clientRetry,
                method,
                uri,
                headers,
                body);
    }
}
