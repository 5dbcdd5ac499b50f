package pondridge.grpc;

/**
 * Status codes of final responses that are generated here and not by a server. A call that may have been
 * executed must never end with a code that client libraries retry automatically; common retry policies name
 * UNAVAILABLE. No I/O.
 */
final class LocalStatus {
    /** The core responds this long before the client's deadline, so that the response arrives in time. */
    private static final long RESPONSE_MARGIN_NANOS = 20_000_000;

    private LocalStatus() {}

    /** For a refused call: a retry is safe. */
    static GrpcCode refused() {
        return GrpcCode.UNAVAILABLE;
    }

    /**
     * For a failed call, which may have had effects.
     *
     * @param timeLeftNanos time until the client's deadline
     */
    static GrpcCode failed(long timeLeftNanos) {
        return timeLeftNanos <= RESPONSE_MARGIN_NANOS ? GrpcCode.DEADLINE_EXCEEDED : GrpcCode.UNKNOWN;
    }

    /**
     * Percent-encodes a text for {@code grpc-message}: printable ASCII other than the percent sign stays as
     * it is.
     */
    static String percentEncode(String text) {
        StringBuilder encoded = new StringBuilder();
        for (byte octet : text.getBytes(java.nio.charset.StandardCharsets.UTF_8)) {
            if (octet >= ' ' && octet <= '~' && octet != '%') {
                encoded.append((char) octet);
            } else {
                encoded.append(String.format("%%%02X", octet & 0xff));
            }
        }
        return encoded.toString();
    }
}
