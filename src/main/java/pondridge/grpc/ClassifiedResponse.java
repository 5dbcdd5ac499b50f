package pondridge.grpc;

import java.util.Set;
import pondridge.Balancer.Outcome;

/**
 * The outcome of a complete gRPC response. A status code alone does not prove that the call was not executed:
 * a server may send UNAVAILABLE after it has done part of the work. Only a Trailers-Only response that carries
 * the decline marker counts as rejected before execution, unless the settings declare that the code alone is
 * sufficient. No I/O.
 *
 * @param message the response message; null unless the outcome is OK
 * @param code the gRPC status; null where the response is not gRPC or has no valid status or message
 */
record ClassifiedResponse(Outcome outcome, byte[] message, GrpcCode code) {
    /**
     * How responses are classified.
     *
     * @param declineCodes status codes that may indicate that the call was not executed
     * @param declineMarker metadata that must be present with the value 1 as proof of that; empty where the
     * code alone is sufficient
     * @param passedThroughCodes codes other than OK that are the application's final response
     * @param maxMessageBytes limit on the size of a message
     */
    record Rules(
            Set<GrpcCode> declineCodes, String declineMarker, Set<GrpcCode> passedThroughCodes, int maxMessageBytes) {}

    /**
     * A response as received.
     *
     * @param contentType {@code content-type} of its headers
     * @param encoding {@code grpc-encoding} of its headers
     * @param status {@code grpc-status} of its trailers, or of its headers where there are no trailers; null
     * if absent
     * @param trailersOnly the response is a single header block, with neither body nor further trailers
     * @param markedDeclined the decline marker is present
     */
    record RawResponse(
            CharSequence contentType,
            CharSequence encoding,
            CharSequence status,
            boolean trailersOnly,
            boolean markedDeclined,
            byte[] body) {}

    private static final ClassifiedResponse FAILED = new ClassifiedResponse(Outcome.ERROR, null, null);

    /** Classifies a response. */
    static ClassifiedResponse classify(RawResponse response, Rules rules) {
        GrpcCode code = GrpcCode.parse(response.status);
        if (!isGrpc(response.contentType) || code == null) {
            return FAILED;
        }
        if (code == GrpcCode.OK) {
            UnaryMessage.Decoded decoded = UnaryMessage.decode(response.body, response.encoding, rules.maxMessageBytes);
            return decoded.message() == null
                    ? FAILED
                    : new ClassifiedResponse(Outcome.OK, decoded.message(), GrpcCode.OK);
        }
        if (response.trailersOnly
                && rules.declineCodes.contains(code)
                && (rules.declineMarker.isEmpty() || response.markedDeclined)) {
            return new ClassifiedResponse(Outcome.REJECTED, null, code);
        }
        return rules.passedThroughCodes.contains(code)
                ? new ClassifiedResponse(Outcome.OK, new byte[0], code)
                : new ClassifiedResponse(Outcome.ERROR, null, code);
    }

    /** Whether a content type denotes gRPC. */
    static boolean isGrpc(CharSequence contentType) {
        String prefix = "application/grpc";
        if (contentType == null
                || contentType.length() < prefix.length()
                || !prefix.equalsIgnoreCase(
                        contentType.subSequence(0, prefix.length()).toString())) {
            return false;
        }
        return contentType.length() == prefix.length()
                || contentType.charAt(prefix.length()) == '+'
                || contentType.charAt(prefix.length()) == ';';
    }
}
