package pondridge.http2;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import pondridge.Balancer.Outcome;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Transport;

/** One sending of a request, on the event loop: waiting for a stream, then on one, then over. */
final class Sending implements Transport.Attempt {
    private final ServerPool pool;
    private final Job job;
    private final long endsAt;
    private final Transport.Listener listener;
    private Future<?> timer;
    private Connection connection;
    private int stream;
    private HttpHeaders headers;
    private Http2Headers head;
    private Http2Headers trailers;
    private String load;
    private ByteArrayOutputStream body;
    private boolean over;

    /** {@code endsAt} is when its time is up, by {@link System#nanoTime}. */
    Sending(ServerPool pool, Job job, long endsAt, Transport.Listener listener) {
        this.pool = pool;
        this.job = job;
        this.endsAt = endsAt;
        this.listener = listener;
    }

    Job job() {
        return job;
    }

    long left(long now) {
        return endsAt - now;
    }

    boolean over() {
        return over;
    }

    void timer(Future<?> set) {
        timer = set;
    }

    /** It is on a stream from now on. */
    void placed(Connection on, int id) {
        connection = on;
        stream = id;
    }

    void begin(Http2Headers whole, HttpHeaders answer, String report) {
        head = whole;
        headers = answer;
        load = report;
        body = new ByteArrayOutputStream(256);
    }

    /** What came behind the answer's body. */
    void trailers(Http2Headers last) {
        trailers = last;
    }

    /** The answer's body so far; null before its head has come. */
    ByteArrayOutputStream body() {
        return body;
    }

    int bodyBytes() {
        return body == null ? 0 : body.size();
    }

    /** Its time is up. */
    void late() {
        if (connection != null) {
            connection.late(stream);
        } else {
            pool.leave(this, Outcome.CONNECT_FAILED);
        }
    }

    @Override
    public void cancel() {
        if (!over && connection != null) {
            connection.cancel(stream);
        } else if (!over) {
            pool.leave(this, Outcome.CANCELLED);
        }
    }

    @Override
    public void withdraw() {
        if (!over && connection != null) {
            connection.withdraw(stream);
        } else if (!over) {
            pool.leave(this, Outcome.NEVER_SENT);
        }
    }

    /** Whether it is still to be written. */
    boolean wanted() {
        return listener.wanted();
    }

    /** Ends it, once, and tells. */
    void end(Outcome told, LoadReports reports, Wording wording) {
        if (over) {
            return;
        }
        Wording.Ended ended = told == Outcome.OK
                ? wording.answer(job, head, headers, body.toByteArray(), trailers)
                : new Wording.Ended(told, null);
        over = true;
        if (timer != null) {
            timer.cancel(false);
        }
        float[] report = body == null
                ? LoadReports.NONE
                : reports.read(load, job.uri(), () -> body.toString(StandardCharsets.UTF_8));
        body = null;
        listener.ended(ended.outcome(), ended.answer(), report);
    }
}
