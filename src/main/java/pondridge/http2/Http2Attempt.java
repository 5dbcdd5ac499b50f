package pondridge.http2;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import pondridge.Balancer.Outcome;
import pondridge.core.BodyBuffer;
import pondridge.core.Headers;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Transport;

/**
 * One attempt to send a request. It first waits for a stream, is then assigned to one, and ends once. Used on
 * the event loop only.
 */
final class Http2Attempt implements Transport.Attempt {
    private final ServerPool pool;
    private final Job job;
    private final long deadlineNanos;
    private final Transport.Listener listener;
    private Future<?> timer;
    private Connection connection;
    private int streamId;
    private HttpHeaders forwardedHeaders;
    private Http2Headers responseHeaders;
    private Http2Headers trailers;
    private String loadReport;
    private BodyBuffer responseBody;
    private int headerBytes;
    private boolean ended;

    /** Creates an attempt; {@code deadlineNanos} is on the clock of {@link System#nanoTime}. */
    Http2Attempt(ServerPool pool, Job job, long deadlineNanos, Transport.Listener listener) {
        this.pool = pool;
        this.job = job;
        this.deadlineNanos = deadlineNanos;
        this.listener = listener;
    }

    Job job() {
        return job;
    }

    long remainingNanos(long now) {
        return deadlineNanos - now;
    }

    boolean ended() {
        return ended;
    }

    void setTimer(Future<?> timeout) {
        timer = timeout;
    }

    /** The attempt has been assigned a stream. */
    void assigned(Connection assignedConnection, int assignedStreamId) {
        connection = assignedConnection;
        streamId = assignedStreamId;
    }

    /** Begins to receive the response; false if there is no memory for its headers. */
    boolean responseStarted(Http2Headers allHeaders, HttpHeaders toForward, String report) {
        int bytes = Headers.memoryBytes(allHeaders.iterator());
        if (!pool.responseMemory().tryReserve(bytes)) {
            return false;
        }
        headerBytes = bytes;
        responseHeaders = allHeaders;
        forwardedHeaders = toForward;
        loadReport = report;
        responseBody = pool.newResponseBody();
        return true;
    }

    /** Sets the trailers of the response. */
    void trailersReceived(Http2Headers received) {
        trailers = received;
    }

    /** Returns the response body received so far, or null before the response headers have been received. */
    BodyBuffer responseBody() {
        return responseBody;
    }

    /** The deadline has passed. */
    void timeOut() {
        if (connection != null) {
            connection.timeOut(streamId);
        } else {
            pool.abandonWaiting(this, Outcome.CONNECT_FAILED);
        }
    }

    @Override
    public void cancel() {
        if (!ended && connection != null) {
            connection.cancel(streamId);
        } else if (!ended) {
            pool.abandonWaiting(this, Outcome.CANCELLED);
        }
    }

    @Override
    public void withdraw() {
        if (!ended && connection != null) {
            connection.withdraw(streamId);
        } else if (!ended) {
            pool.abandonWaiting(this, Outcome.NEVER_SENT);
        }
    }

    /** Whether the listener still wants the request to be sent. */
    boolean shouldWrite() {
        return listener.shouldWrite();
    }

    /** Ends the attempt and notifies the listener; further calls have no effect. */
    void end(Outcome transportOutcome, LoadReports reports, MessageCodec codec) {
        if (ended) {
            return;
        }
        MessageCodec.DecodedResponse result = transportOutcome == Outcome.OK
                ? codec.decodeResponse(job, responseHeaders, forwardedHeaders, responseBody.trimmedBytes(), trailers)
                : new MessageCodec.DecodedResponse(transportOutcome, null);
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
        float[] load = responseBody == null
                ? LoadReports.NONE
                : reports.read(
                        loadReport, job.uri(), () -> new String(responseBody.trimmedBytes(), StandardCharsets.UTF_8));
        if (responseBody != null) {
            pool.responseMemory().release(headerBytes);
            responseBody.release();
            responseBody = null;
        }
        listener.ended(result.outcome(), result.response(), load);
    }
}
