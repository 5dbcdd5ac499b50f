package pondridge.grpc;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;

/** Decodes the single message of a unary call from the complete body and decompresses it if needed. */
final class UnaryMessage {
    /** The {@code grpc-accept-encoding} value: the encodings that {@link #decode} supports. */
    static final String ACCEPTED_ENCODINGS = "identity,gzip";

    /** The message, or a status code and a description of the problem where the message is null. */
    record Decoded(byte[] message, GrpcCode code, String problem) {
        private static Decoded failed(GrpcCode code, String problem) {
            return new Decoded(null, code, problem);
        }
    }

    private UnaryMessage() {}

    /**
     * Decodes a body that must hold exactly one message.
     *
     * @param encoding value of {@code grpc-encoding}; null if absent
     * @param maxMessageBytes limit on the size of the message, compressed and decompressed
     */
    static Decoded decode(byte[] bytes, CharSequence encoding, int maxMessageBytes) {
        MessageReader reader = new MessageReader(maxMessageBytes);
        int consumed = reader.read(bytes, 0, bytes.length);
        switch (reader.state()) {
            case TOO_LARGE -> {
                return Decoded.failed(GrpcCode.RESOURCE_EXHAUSTED, "message larger than " + maxMessageBytes + " bytes");
            }
            case BAD_FLAG -> {
                return Decoded.failed(GrpcCode.INTERNAL, "neither compressed nor not");
            }
            case INCOMPLETE -> {
                return Decoded.failed(GrpcCode.INTERNAL, reader.inMessage() ? "message cut short" : "no message");
            }
            default -> {}
        }
        if (consumed < bytes.length) {
            return Decoded.failed(GrpcCode.INTERNAL, "more than one message");
        }
        if (!reader.isCompressed()) {
            return new Decoded(reader.takeMessage(), GrpcCode.OK, "");
        }
        if (encoding == null || !"gzip".contentEquals(encoding)) {
            return Decoded.failed(GrpcCode.UNIMPLEMENTED, "compressed by what is not understood: " + encoding);
        }
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(reader.takeMessage()))) {
            byte[] message = gzip.readNBytes(maxMessageBytes + 1);
            return message.length > maxMessageBytes
                    ? Decoded.failed(
                            GrpcCode.RESOURCE_EXHAUSTED, "message larger than " + maxMessageBytes + " bytes inflated")
                    : new Decoded(message, GrpcCode.OK, "");
        } catch (IOException e) {
            return Decoded.failed(GrpcCode.INTERNAL, "can't be inflated");
        }
    }
}
