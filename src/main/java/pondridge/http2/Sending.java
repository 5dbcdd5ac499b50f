package pondridge.http2;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import pondridge.Balancer.Outcome;
import pondridge.core.Answer;
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

    void begin(HttpHeaders answer, String report) {
        headers = answer;
        load = report;
        body = new ByteArrayOutputStream(256);
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

    /** Ends it, once, and tells. */
    void end(Outcome outcome, LoadReports reports) {
        if (over) {
            return;
        }
        over = true;
        if (timer != null) {
            timer.cancel(false);
        }
        float[] report = body == null ? LoadReports.NONE
                : reports.read(load, job.uri(), () -> body.toString(StandardCharsets.UTF_8));
        Answer answer = outcome == Outcome.OK ? new Answer(headers, body.toByteArray()) : null;
        body = null;
        listener.ended(outcome, answer, report);
    }
}
