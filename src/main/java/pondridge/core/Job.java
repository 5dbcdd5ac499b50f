package pondridge.core;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as a front took it, whole. Fronts of every protocol make one; transports put it into theirs.
 *
 * @param requestClass number of its class in the settings
 * @param tenant number of its tenant in the settings
 * @param key what it is about, as a number; 0 for none
 * @param waitMs how long the client waits for the answer, in milliseconds from now
 * @param costHint rough work to expect in nanoseconds; 0 where unknown
 * @param clientRetry the client marked it as a repeat
 * @param headers all that came; transports pass on what {@link Headers} lets through
 */
public record Job(
        int requestClass,
        int tenant,
        long key,
        long waitMs,
        long costHint,
        boolean clientRetry,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body) {
    /** The same request, whose body has come. */
    public Job with(byte[] whole) {
        return new Job(requestClass, tenant, key, waitMs, costHint, clientRetry, method, uri, headers, whole);
    }

    /** The same request with other headers. */
    public Job with(HttpHeaders others) {
        return new Job(requestClass, tenant, key, waitMs, costHint, clientRetry, method, uri, others, body);
    }

    /** The same request, for which there are so many nanoseconds from now. */
    public Job within(long left) {
        return new Job(
                requestClass,
                tenant,
                key,
                Math.max(1, left / 1_000_000),
                costHint,
                clientRetry,
                method,
                uri,
                headers,
                body);
    }
}
