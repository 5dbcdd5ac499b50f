package pondridge.grpc;

/** Status codes of gRPC in numeric order (gRPC core documentation, "Status codes and their use in gRPC"). */
public enum GrpcCode {
    OK,
    CANCELLED,
    UNKNOWN,
    INVALID_ARGUMENT,
    DEADLINE_EXCEEDED,
    NOT_FOUND,
    ALREADY_EXISTS,
    PERMISSION_DENIED,
    RESOURCE_EXHAUSTED,
    FAILED_PRECONDITION,
    ABORTED,
    OUT_OF_RANGE,
    UNIMPLEMENTED,
    INTERNAL,
    UNAVAILABLE,
    DATA_LOSS,
    UNAUTHENTICATED;

    private static final GrpcCode[] ALL = values();

    /** The numeric code as written in {@code grpc-status}. */
    String number() {
        return Integer.toString(ordinal());
    }

    /** Parses a {@code grpc-status}; null where it is absent or not a known code. */
    static GrpcCode parse(CharSequence text) {
        if (text == null || text.isEmpty() || text.length() > 2) {
            return null;
        }
        int number = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return null;
            }
            number = 10 * number + digit;
        }
        return number < ALL.length ? ALL[number] : null;
    }
}
