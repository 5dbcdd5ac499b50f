package pondridge.grpc;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;

/**
 * The one message of a unary call, out of all the bytes that came for it; inflated where it was compressed.
 */
final class UnaryMessage {
    /** What advertises the codings that {@link #read} understands. */
    static final String ACCEPTED = "identity,gzip";

    /** The message, or the code for why there is none and a word on it. */
    record Read(byte[] message, GrpcCode code, String problem) {
        private static Read failed(GrpcCode code, String problem) {
            return new Read(null, code, problem);
        }
    }

    private UnaryMessage() {}

    /**
     * Reads exactly one message.
     *
     * @param coding of {@code grpc-encoding}; null for none
     * @param most bytes of a message, inflated or not
     */
    static Read read(byte[] bytes, CharSequence coding, int most) {
        MessageReader reader = new MessageReader(most);
        int taken = reader.read(bytes, 0, bytes.length);
        switch (reader.state()) {
            case TOO_LARGE -> {
                return Read.failed(GrpcCode.RESOURCE_EXHAUSTED, "message larger than " + most + " bytes");
            }
            case BAD_FLAG -> {
                return Read.failed(GrpcCode.INTERNAL, "neither compressed nor not");
            }
            case MORE -> {
                return Read.failed(GrpcCode.INTERNAL, reader.within() ? "message cut short" : "no message");
            }
            default -> {}
        }
        if (taken < bytes.length) {
            return Read.failed(GrpcCode.INTERNAL, "more than one message");
        }
        if (!reader.compressed()) {
            return new Read(reader.take(), GrpcCode.OK, "");
        }
        if (coding == null || !"gzip".contentEquals(coding)) {
            return Read.failed(GrpcCode.UNIMPLEMENTED, "compressed by what is not understood: " + coding);
        }
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(reader.take()))) {
            byte[] message = in.readNBytes(most + 1);
            return message.length > most
                    ? Read.failed(GrpcCode.RESOURCE_EXHAUSTED, "message larger than " + most + " bytes inflated")
                    : new Read(message, GrpcCode.OK, "");
        } catch (IOException e) {
            return Read.failed(GrpcCode.INTERNAL, "can't be inflated");
        }
    }
}
