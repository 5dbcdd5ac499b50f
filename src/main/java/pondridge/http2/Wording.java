package pondridge.http2;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.Http2Headers;
import pondridge.Balancer.Outcome;
import pondridge.core.Answer;
import pondridge.core.Job;

/**
 * What requests and answers look like on HTTP/2's streams: HTTP's own form, or that of a protocol which is
 * carried by it. Has no part in the proof of what never ran: that is the streams'. On the event loop only.
 */
public interface Wording {
    /** What a whole answer is; the answer is there for {@link Outcome#OK} alone. */
    record Ended(Outcome outcome, Answer answer) {}

    /** HTTP's own. */
    Wording HTTP = new Wording() {
        @Override
        public Http2Headers head(Job job, long left) {
            return Messages.request(job, left);
        }

        @Override
        public byte[] body(Job job) {
            return job.body();
        }

        @Override
        public Ended answer(Job job, Http2Headers head, HttpHeaders through, byte[] body, Http2Headers trailers) {
            return new Ended(Outcome.OK, new Answer(through, body));
        }
    };

    /** A request's headers; {@code left} in nanoseconds is what the upstream is told of the time there is. */
    Http2Headers head(Job job, long left);

    /** Whether a request can be put into this form; one that can't is never sent. */
    default boolean fits(Job job) {
        return true;
    }

    /** A request's body. */
    byte[] body(Job job);

    /**
     * What a whole answer with status 200 is.
     *
     * @param through of its headers, those that go on to the client
     * @param trailers null where none came
     */
    Ended answer(Job job, Http2Headers head, HttpHeaders through, byte[] body, Http2Headers trailers);
}
