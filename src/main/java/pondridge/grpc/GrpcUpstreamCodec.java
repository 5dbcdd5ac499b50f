package pondridge.grpc;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.AsciiString;
import java.util.Map;
import pondridge.Balancer.Outcome;
import pondridge.BalancerOptions;
import pondridge.core.Headers;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.UpstreamResponse;
import pondridge.http2.MessageCodec;

/** Encodes unary calls to servers and decodes their responses on HTTP/2 streams (gRPC over HTTP/2). */
public final class GrpcUpstreamCodec implements MessageCodec {
    /** Tells the front end the status of an application response that is neither OK nor a failure. */
    static final String STATUS_HEADER = "Grpc-Status";

    /** Tells the front end the message that belongs to {@link #STATUS_HEADER}. */
    static final String MESSAGE_HEADER = "Grpc-Message";

    private static final AsciiString STATUS_NAME = AsciiString.cached("grpc-status");
    private static final AsciiString MESSAGE_NAME = AsciiString.cached("grpc-message");
    private static final AsciiString ENCODING_NAME = AsciiString.cached("grpc-encoding");
    private static final AsciiString ACCEPT_ENCODING_NAME = AsciiString.cached("grpc-accept-encoding");
    private static final AsciiString TIMEOUT_NAME = AsciiString.cached("grpc-timeout");
    private static final AsciiString GRPC_CONTENT_TYPE = AsciiString.cached("application/grpc");
    private static final String HEALTH_CHECK_PATH = "/grpc.health.v1.Health/Check";
    private static final byte[] SERVING_RESPONSE = {8, 1};

    private final GrpcSettings settings;
    private final MethodTable methods;

    /** Creates a codec for the configured methods with the request classes of the platform. */
    public GrpcUpstreamCodec(GrpcSettings settings, BalancerOptions platform) {
        this.settings = settings;
        this.methods = settings.methodTable(platform);
    }

    private GrpcMethod method(Job job) {
        return methods.forHttpPath(job.requestClass(), JobReader.pathOf(job.uri()));
    }

    private static boolean isHealthProbe(Job job) {
        return job.method().equals(HttpMethod.GET) && !job.uri().startsWith("/api");
    }

    @Override
    public boolean canEncode(Job job) {
        GrpcMethod method = method(job);
        return isHealthProbe(job) || method != null && method.messageOf(job.uri(), job.body()) != null;
    }

    @Override
    public byte[] encodeBody(Job job) {
        return MessageReader.frame(
                isHealthProbe(job) ? new byte[0] : method(job).messageOf(job.uri(), job.body()));
    }

    @Override
    public Http2Headers encodeHeaders(Job job, long timeLeftNanos) {
        Http2Headers requestHeaders = new DefaultHttp2Headers(false, 16);
        requestHeaders
                .method(HttpMethod.POST.asciiName())
                .scheme("http")
                .path(isHealthProbe(job) ? HEALTH_CHECK_PATH : method(job).path())
                .authority(job.headers().get(HttpHeaderNames.HOST, "app.svc"));
        requestHeaders
                .set(HttpHeaderNames.CONTENT_TYPE, GRPC_CONTENT_TYPE)
                .set(HttpHeaderNames.TE, "trailers")
                .set(TIMEOUT_NAME, GrpcTimeout.format(timeLeftNanos))
                .set(ACCEPT_ENCODING_NAME, UnaryMessage.ACCEPTED_ENCODINGS);
        for (Map.Entry<String, String> header : job.headers()) {
            AsciiString name = AsciiString.of(header.getKey()).toLowerCase();
            if (!Headers.isHopByHop(name) && !isReserved(name)) {
                requestHeaders.add(metadataName(name), header.getValue());
            }
        }
        return requestHeaders;
    }

    /** Whether a header belongs to the transport or to HTTP and is not metadata. */
    private static boolean isReserved(AsciiString name) {
        return name.startsWith("grpc-")
                || name.contentEquals(HttpHeaderNames.HOST)
                || name.contentEquals(HttpHeaderNames.CONTENT_TYPE)
                || name.contentEquals(HttpHeaderNames.CONTENT_LENGTH)
                || name.contentEquals("req-deadline-ms")
                || name.contentEquals("req-kind");
    }

    /** The configured metadata name for a request header. */
    private CharSequence metadataName(AsciiString name) {
        if (name.contentEquals("req-owner")) {
            return settings.tenantMetadata();
        }
        if (name.contentEquals("req-id")) {
            return settings.requestIdMetadata();
        }
        return name.contentEquals("idempotency-key") ? settings.idempotencyKeyMetadata() : name;
    }

    @Override
    public DecodedResponse decodeResponse(
            Job job, Http2Headers responseHeaders, HttpHeaders forwardedHeaders, byte[] body, Http2Headers trailers) {
        Http2Headers statusHeaders = trailers == null ? responseHeaders : trailers;
        String declineMarker = settings.classificationRules().declineMarker();
        ClassifiedResponse response = ClassifiedResponse.classify(
                new ClassifiedResponse.RawResponse(
                        responseHeaders.get(HttpHeaderNames.CONTENT_TYPE),
                        responseHeaders.get(ENCODING_NAME),
                        statusHeaders.get(STATUS_NAME),
                        trailers == null && body.length == 0,
                        !declineMarker.isEmpty() && "1".contentEquals(String.valueOf(statusHeaders.get(declineMarker))),
                        body),
                settings.classificationRules());
        if (response.outcome() != Outcome.OK) {
            return new DecodedResponse(response.outcome(), null);
        }
        if (isHealthProbe(job)) {
            boolean serving = java.util.Arrays.equals(SERVING_RESPONSE, response.message());
            return serving
                    ? new DecodedResponse(Outcome.OK, new UpstreamResponse(forwardedHeaders, response.message()))
                    : new DecodedResponse(Outcome.ERROR, null);
        }
        forwardedHeaders
                .remove(HttpHeaderNames.CONTENT_TYPE)
                .remove(ENCODING_NAME)
                .remove(ACCEPT_ENCODING_NAME)
                .remove(STATUS_NAME)
                .remove(MESSAGE_NAME);
        if (response.code() != GrpcCode.OK) {
            forwardedHeaders.set(STATUS_HEADER, response.code().number());
            if (statusHeaders.get(MESSAGE_NAME) != null) {
                forwardedHeaders.set(MESSAGE_HEADER, statusHeaders.get(MESSAGE_NAME));
            }
        }
        return new DecodedResponse(Outcome.OK, new UpstreamResponse(forwardedHeaders, response.message()));
    }
}
