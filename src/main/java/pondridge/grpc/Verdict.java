package pondridge.grpc;

import java.util.Set;
import pondridge.Balancer.Outcome;

/**
 * What a gRPC server's whole answer proves. A status code alone never shows that nothing ran: a server sends
 * UNAVAILABLE as readily after half of the work. Only one that carries the mark of a decline, alone and with
 * no message before it, counts as turned away unseen, unless the settings say that this code means it. No
 * I/O.
 */
record Verdict(Outcome outcome, byte[] message, GrpcCode code) {
    /**
     * Which answers are what.
     *
     * @param declines codes that may mean that nothing ran
     * @param mark metadata that must be there, with the value 1, for that; empty where the code alone means
     * it
     * @param passedOn codes other than OK that are the application's answer, and final
     * @param most bytes of a message
     */
    record Rules(Set<GrpcCode> declines, String mark, Set<GrpcCode> passedOn, int most) {}

    /**
     * An answer as it came.
     *
     * @param contentType of its head
     * @param coding {@code grpc-encoding} of its head
     * @param status {@code grpc-status} of its trailers, or of its head where that is all of it; null for
     * none
     * @param headOnly nothing came but a head
     * @param marked the decline's mark is there
     */
    record Came(
            CharSequence contentType,
            CharSequence coding,
            CharSequence status,
            boolean headOnly,
            boolean marked,
            byte[] body) {}

    private static final Verdict FAILED = new Verdict(Outcome.ERROR, null, null);

    /** Judges one. */
    static Verdict of(Came came, Rules rules) {
        GrpcCode code = GrpcCode.of(came.status);
        if (!isGrpc(came.contentType) || code == null) {
            return FAILED;
        }
        if (code == GrpcCode.OK) {
            UnaryMessage.Read read = UnaryMessage.read(came.body, came.coding, rules.most);
            return read.message() == null ? FAILED : new Verdict(Outcome.OK, read.message(), GrpcCode.OK);
        }
        if (came.headOnly && rules.declines.contains(code) && (rules.mark.isEmpty() || came.marked)) {
            return new Verdict(Outcome.REJECTED, null, code);
        }
        return rules.passedOn.contains(code)
                ? new Verdict(Outcome.OK, new byte[0], code)
                : new Verdict(Outcome.ERROR, null, code);
    }

    /** Whether a content type is one of gRPC's. */
    static boolean isGrpc(CharSequence type) {
        String base = "application/grpc";
        if (type == null
                || type.length() < base.length()
                || !base.equalsIgnoreCase(type.subSequence(0, base.length()).toString())) {
            return false;
        }
        return type.length() == base.length() || type.charAt(base.length()) == '+' || type.charAt(base.length()) == ';';
    }
}
