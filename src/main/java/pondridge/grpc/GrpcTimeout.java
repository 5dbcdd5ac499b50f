package pondridge.grpc;

/**
 * Parses and formats {@code grpc-timeout} (gRPC over HTTP/2, "Requests"): at most eight digits and a unit. The
 * value is the remaining time and not a point in time.
 */
final class GrpcTimeout {
    private static final int MAX_DIGITS = 8;
    private static final String UNITS = "HMSmun";
    private static final long[] UNIT_NANOS = {
        3_600_000_000_000L, 60_000_000_000L, 1_000_000_000L, 1_000_000L, 1_000L, 1L
    };

    private GrpcTimeout() {}

    /** The timeout in nanoseconds; -1 where the text is not a valid timeout. */
    static long parse(CharSequence text) {
        int digits = text.length() - 1;
        int unit = digits < 1 || digits > MAX_DIGITS ? -1 : UNITS.indexOf(text.charAt(digits));
        if (unit < 0) {
            return -1;
        }
        long number = 0;
        for (int i = 0; i < digits; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            number = 10 * number + digit;
        }
        return number > Long.MAX_VALUE / UNIT_NANOS[unit] ? Long.MAX_VALUE : number * UNIT_NANOS[unit];
    }

    /** Formats in the finest unit that fits into eight digits, rounded down; at least one nanosecond. */
    static String format(long timeLeftNanos) {
        long nanos = Math.max(1, timeLeftNanos);
        int unit = UNIT_NANOS.length - 1;
        while (unit > 0 && nanos / UNIT_NANOS[unit] > 99_999_999) {
            unit--;
        }
        return Math.min(99_999_999, nanos / UNIT_NANOS[unit]) + UNITS.substring(unit, unit + 1);
    }
}
