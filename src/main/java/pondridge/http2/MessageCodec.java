package pondridge.http2;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.Http2Headers;
import pondridge.Balancer.Outcome;
import pondridge.core.Job;
import pondridge.core.UpstreamResponse;

/**
 * Encodes requests as, and decodes responses from, the headers and body of an HTTP/2 stream: for plain HTTP or for
 * a protocol carried over HTTP/2. It does not decide whether a request was executed; {@link StreamOutcomeRules}
 * does. Used on the event loop only.
 */
public interface MessageCodec {
    /** A decoded response; {@code response} is present only for {@link Outcome#OK}. */
    record DecodedResponse(Outcome outcome, UpstreamResponse response) {}

    /** The codec of plain HTTP. */
    MessageCodec HTTP = new MessageCodec() {
        @Override
        public Http2Headers encodeHeaders(Job job, long remainingNanos) {
            return HeaderMapper.requestHeaders(job, remainingNanos);
        }

        @Override
        public byte[] encodeBody(Job job) {
            return job.body();
        }

        @Override
        public DecodedResponse decodeResponse(
                Job job, Http2Headers headers, HttpHeaders forwardedHeaders, byte[] body, Http2Headers trailers) {
            return new DecodedResponse(Outcome.OK, new UpstreamResponse(forwardedHeaders, body));
        }
    };

    /** Returns the headers of a request; {@code remainingNanos} is sent to the upstream as the time left. */
    Http2Headers encodeHeaders(Job job, long remainingNanos);

    /** Whether a request can be encoded; one that cannot is never sent. */
    default boolean canEncode(Job job) {
        return true;
    }

    /** Returns the body of a request. */
    byte[] encodeBody(Job job);

    /**
     * Decodes a complete response with status 200.
     *
     * @param headers all headers of the response
     * @param forwardedHeaders those of its headers that are forwarded to the client
     * @param trailers the trailers, or null if there were none
     */
    DecodedResponse decodeResponse(
            Job job, Http2Headers headers, HttpHeaders forwardedHeaders, byte[] body, Http2Headers trailers);
}
