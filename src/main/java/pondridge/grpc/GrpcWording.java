package pondridge.grpc;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.AsciiString;
import java.util.Map;
import pondridge.Balancer.Outcome;
import pondridge.Options;
import pondridge.core.Answer;
import pondridge.core.Headers;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.http2.Wording;

/** Unary calls and their answers on HTTP/2's streams (gRPC over HTTP/2). */
public final class GrpcWording implements Wording {
    /** Carries a status that is the application's answer, and no failure, to the front. */
    static final String STATUS = "Grpc-Status";

    static final String MESSAGE = "Grpc-Message";
    private static final AsciiString STATUS_NAME = AsciiString.cached("grpc-status");
    private static final AsciiString MESSAGE_NAME = AsciiString.cached("grpc-message");
    private static final AsciiString ENCODING = AsciiString.cached("grpc-encoding");
    private static final AsciiString ACCEPT_ENCODING = AsciiString.cached("grpc-accept-encoding");
    private static final AsciiString TIMEOUT = AsciiString.cached("grpc-timeout");
    private static final AsciiString CONTENT_TYPE = AsciiString.cached("application/grpc");
    private static final String HEALTH = "/grpc.health.v1.Health/Check";
    private static final byte[] SERVING = {8, 1};

    private final GrpcSettings settings;
    private final MethodTable methods;

    /** With the methods' classes as the platform has them. */
    public GrpcWording(GrpcSettings settings, Options platform) {
        this.settings = settings;
        this.methods = settings.methods(platform);
    }

    private Method method(Job job) {
        return methods.byTarget(job.requestClass(), JobReader.path(job.uri()));
    }

    private static boolean probe(Job job) {
        return job.method().equals(HttpMethod.GET) && !job.uri().startsWith("/api");
    }

    @Override
    public boolean fits(Job job) {
        Method method = method(job);
        return probe(job) || method != null && method.message(job.uri(), job.body()) != null;
    }

    @Override
    public byte[] body(Job job) {
        return MessageReader.frame(probe(job) ? new byte[0] : method(job).message(job.uri(), job.body()));
    }

    @Override
    public Http2Headers head(Job job, long left) {
        Http2Headers head = new DefaultHttp2Headers(false, 16);
        head.method(HttpMethod.POST.asciiName())
                .scheme("http")
                .path(probe(job) ? HEALTH : method(job).path())
                .authority(job.headers().get(HttpHeaderNames.HOST, "app.svc"));
        head.set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
                .set(HttpHeaderNames.TE, "trailers")
                .set(TIMEOUT, GrpcTimeout.write(left))
                .set(ACCEPT_ENCODING, UnaryMessage.ACCEPTED);
        for (Map.Entry<String, String> each : job.headers()) {
            AsciiString name = AsciiString.of(each.getKey()).toLowerCase();
            if (!Headers.ofOneHop(name) && !reserved(name)) {
                head.add(named(name), each.getValue());
            }
        }
        return head;
    }

    /** Of the transport or of HTTP, and no metadata. */
    private static boolean reserved(AsciiString name) {
        return name.startsWith("grpc-")
                || name.contentEquals(HttpHeaderNames.HOST)
                || name.contentEquals(HttpHeaderNames.CONTENT_TYPE)
                || name.contentEquals(HttpHeaderNames.CONTENT_LENGTH)
                || name.contentEquals("req-deadline-ms")
                || name.contentEquals("req-kind");
    }

    private CharSequence named(AsciiString name) {
        if (name.contentEquals("req-owner")) {
            return settings.tenant();
        }
        if (name.contentEquals("req-id")) {
            return settings.id();
        }
        return name.contentEquals("idempotency-key") ? settings.key() : name;
    }

    @Override
    public Ended answer(Job job, Http2Headers head, HttpHeaders through, byte[] body, Http2Headers trailers) {
        Http2Headers last = trailers == null ? head : trailers;
        String mark = settings.rules().mark();
        Verdict verdict = Verdict.of(
                new Verdict.Came(
                        head.get(HttpHeaderNames.CONTENT_TYPE),
                        head.get(ENCODING),
                        last.get(STATUS_NAME),
                        trailers == null && body.length == 0,
                        !mark.isEmpty() && "1".contentEquals(String.valueOf(last.get(mark))),
                        body),
                settings.rules());
        if (verdict.outcome() != Outcome.OK) {
            return new Ended(verdict.outcome(), null);
        }
        if (probe(job)) {
            boolean serving = java.util.Arrays.equals(SERVING, verdict.message());
            return serving
                    ? new Ended(Outcome.OK, new Answer(through, verdict.message()))
                    : new Ended(Outcome.ERROR, null);
        }
        through.remove(HttpHeaderNames.CONTENT_TYPE)
                .remove(ENCODING)
                .remove(ACCEPT_ENCODING)
                .remove(STATUS_NAME)
                .remove(MESSAGE_NAME);
        if (verdict.code() != GrpcCode.OK) {
            through.set(STATUS, verdict.code().number());
            if (last.get(MESSAGE_NAME) != null) {
                through.set(MESSAGE, last.get(MESSAGE_NAME));
            }
        }
        return new Ended(Outcome.OK, new Answer(through, verdict.message()));
    }
}
