package pondridge.grpc;

/**
 * The code of a final answer that is not the server's own. What may have run must never be told by a code
 * that client libraries try again by themselves; by the usual retry policies that is UNAVAILABLE. No I/O.
 */
final class FinalCode {
    /** The core answers so long before the client's time is over, so that its answer comes in time. */
    private static final long ROOM = 20_000_000;

    private FinalCode() {}

    /** Refused: trying again is harmless. */
    static GrpcCode refused() {
        return GrpcCode.UNAVAILABLE;
    }

    /** Failed, with no promise about effects; {@code left} of the client's time, in nanoseconds. */
    static GrpcCode failed(long left) {
        return left <= ROOM ? GrpcCode.DEADLINE_EXCEEDED : GrpcCode.UNKNOWN;
    }

    /**
     * The text of {@code grpc-message}: printable ASCII but the per cent sign, all else as per cent and hex.
     */
    static String message(String text) {
        StringBuilder coded = new StringBuilder();
        for (byte each : text.getBytes(java.nio.charset.StandardCharsets.UTF_8)) {
            if (each >= ' ' && each <= '~' && each != '%') {
                coded.append((char) each);
            } else {
                coded.append(String.format("%%%02X", each & 0xff));
            }
        }
        return coded.toString();
    }
}
