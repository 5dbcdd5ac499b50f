package pondridge.grpc;

/**
 * The text of {@code grpc-timeout} (gRPC over HTTP/2, "Requests"): at most eight digits and a unit. Time
 * left, never clock time.
 */
final class GrpcTimeout {
    private static final int MOST_DIGITS = 8;
    private static final String UNITS = "HMSmun";
    private static final long[] NANOS = {3_600_000_000_000L, 60_000_000_000L, 1_000_000_000L, 1_000_000L, 1_000L, 1L};

    private GrpcTimeout() {}

    /** Nanoseconds; -1 for what is none. */
    static long read(CharSequence text) {
        int digits = text.length() - 1;
        int unit = digits < 1 || digits > MOST_DIGITS ? -1 : UNITS.indexOf(text.charAt(digits));
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
        return number > Long.MAX_VALUE / NANOS[unit] ? Long.MAX_VALUE : number * NANOS[unit];
    }

    /** In the finest unit that eight digits hold, never more than there is; at least one nanosecond. */
    static String write(long nanos) {
        long left = Math.max(1, nanos);
        int unit = NANOS.length - 1;
        while (unit > 0 && left / NANOS[unit] > 99_999_999) {
            unit--;
        }
        return Math.min(99_999_999, left / NANOS[unit]) + UNITS.substring(unit, unit + 1);
    }
}
