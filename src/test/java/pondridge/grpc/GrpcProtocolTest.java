package pondridge.grpc;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;

/** Message framing, timeouts and response classification, without sockets. */
class GrpcProtocolTest {
    private static final int MAX_MESSAGE_BYTES = 1_000;

    /** Messages of all sizes, split at random into fragments of at least one byte, are reassembled unchanged. */
    @Test
    void fragmentedMessagesAreReassembledUnchanged() {
        for (long seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            ByteArrayOutputStream stream = new ByteArrayOutputStream();
            List<byte[]> sent = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(5); i++) {
                byte[] message = new byte[random.nextInt(4) == 0 ? 0 : random.nextInt(MAX_MESSAGE_BYTES + 1)];
                random.nextBytes(message);
                sent.add(message);
                stream.writeBytes(MessageReader.frame(message));
            }
            byte[] bytes = stream.toByteArray();
            MessageReader reader = new MessageReader(MAX_MESSAGE_BYTES);
            List<byte[]> received = new ArrayList<>();
            int maxFragmentBytes = 1 + random.nextInt(40);
            for (int position = 0; position < bytes.length; ) {
                int to = Math.min(bytes.length, position + 1 + random.nextInt(maxFragmentBytes));
                position += reader.read(bytes, position, to);
                if (reader.state() == MessageReader.State.COMPLETE) {
                    received.add(reader.takeMessage());
                }
            }
            assertEquals(sent.size(), received.size(), "seed " + seed);
            for (int i = 0; i < sent.size(); i++) {
                assertArrayEquals(sent.get(i), received.get(i), "seed " + seed);
            }
            assertTrue(!reader.inMessage(), "no partial message is left");
        }
    }

    /** Random bytes never cause an exception or a message above the limit, and an error is final. */
    @Test
    void randomBytesAreBoundedAndErrorsAreFinal() {
        Random random = new Random(7);
        for (int i = 0; i < 20_000; i++) {
            byte[] randomBytes = new byte[random.nextInt(3 * MAX_MESSAGE_BYTES)];
            random.nextBytes(randomBytes);
            if (randomBytes.length > 4 && random.nextBoolean()) {
                randomBytes[0] = (byte) random.nextInt(2);
                randomBytes[1] = 0;
                randomBytes[2] = 0;
                randomBytes[3] = (byte) random.nextInt(4);
            }
            UnaryMessage.Decoded decoded =
                    UnaryMessage.decode(randomBytes, random.nextBoolean() ? "gzip" : null, MAX_MESSAGE_BYTES);
            assertTrue(
                    decoded.message() == null
                            ? decoded.code() != GrpcCode.OK
                            : decoded.message().length <= MAX_MESSAGE_BYTES);
        }
        MessageReader reader = new MessageReader(MAX_MESSAGE_BYTES);
        reader.read(new byte[] {0, 0, 0, 4, 0}, 0, 5);
        assertEquals(MessageReader.State.TOO_LARGE, reader.state());
        assertEquals(0, reader.read(new byte[5], 0, 5));
    }

    private static byte[] compressed(int size) throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(new byte[size]);
        }
        byte[] framed = MessageReader.frame(bytes.toByteArray());
        framed[0] = 1;
        return framed;
    }

    @Test
    void compressedMessagesAreDecompressedUpToTheLimit() throws Exception {
        assertEquals(
                900,
                UnaryMessage.decode(compressed(900), "gzip", MAX_MESSAGE_BYTES).message().length);
        assertEquals(
                GrpcCode.RESOURCE_EXHAUSTED,
                UnaryMessage.decode(compressed(100_000), "gzip", MAX_MESSAGE_BYTES)
                        .code());
        assertEquals(
                GrpcCode.UNIMPLEMENTED,
                UnaryMessage.decode(compressed(900), "br", MAX_MESSAGE_BYTES).code());
        assertEquals(
                GrpcCode.UNIMPLEMENTED,
                UnaryMessage.decode(compressed(900), null, MAX_MESSAGE_BYTES).code());
    }

    @Test
    void timeoutsAreParsedInAllUnitsAndNeverFormattedLonger() {
        long[] unitNanos = {3_600_000_000_000L, 60_000_000_000L, 1_000_000_000L, 1_000_000L, 1_000L, 1L};
        for (int i = 0; i < unitNanos.length; i++) {
            assertEquals(7 * unitNanos[i], GrpcTimeout.parse("7" + "HMSmun".charAt(i)));
        }
        for (String invalid : new String[] {"", "5", "S", "-1S", "123456789S", "1s", "1 S", "0x1S", "1.5S"}) {
            assertEquals(-1, GrpcTimeout.parse(invalid), invalid);
        }
        assertEquals(Long.MAX_VALUE, GrpcTimeout.parse("99999999H"));
        Random random = new Random(3);
        for (int i = 0; i < 100_000; i++) {
            long timeLeftNanos = Math.max(1, random.nextLong() >>> random.nextInt(63));
            long parsed = GrpcTimeout.parse(GrpcTimeout.format(timeLeftNanos));
            assertTrue(
                    parsed > 0 && parsed <= timeLeftNanos && parsed > timeLeftNanos * 0.9999999 - 1
                            || timeLeftNanos > 99_999_999L * unitNanos[0],
                    timeLeftNanos + " as " + GrpcTimeout.format(timeLeftNanos));
        }
        assertEquals(
                List.of(GrpcCode.DEADLINE_EXCEEDED, GrpcCode.UNKNOWN),
                List.of(LocalStatus.failed(10_000_000), LocalStatus.failed(100_000_000)));
        assertEquals("%25 a%0A%C3%A9", LocalStatus.percentEncode("% a\né"));
    }

    /**
     * All codes, with and without marker, trailers and messages: only responses that the rules name prove that
     * a call was not executed.
     */
    @Test
    void onlyConfiguredResponsesProveThatACallWasNotExecuted() {
        byte[] oneMessage = MessageReader.frame(new byte[] {1});
        byte[] twoMessages = new byte[2 * oneMessage.length];
        System.arraycopy(oneMessage, 0, twoMessages, 0, oneMessage.length);
        System.arraycopy(oneMessage, 0, twoMessages, oneMessage.length, oneMessage.length);
        byte[] truncated = java.util.Arrays.copyOf(oneMessage, oneMessage.length - 1);
        Set<GrpcCode> declineCodes = EnumSet.of(GrpcCode.UNAVAILABLE);
        for (String declineMarker : new String[] {"declined", ""}) {
            ClassifiedResponse.Rules rules = new ClassifiedResponse.Rules(
                    declineCodes, declineMarker, EnumSet.of(GrpcCode.NOT_FOUND), MAX_MESSAGE_BYTES);
            for (int number = -1; number <= GrpcCode.values().length; number++) {
                String status = number < 0 ? null : Integer.toString(number);
                for (byte[] body : new byte[][] {{}, oneMessage, twoMessages, truncated}) {
                    for (int flags = 0; flags < 8; flags++) {
                        boolean markedDeclined = (flags & 1) > 0;
                        boolean trailersOnly = (flags & 2) > 0 && body.length == 0;
                        String contentType = (flags & 4) > 0 ? "application/grpc+proto" : "text/html";
                        Outcome expected = contentType.startsWith("text") || status == null
                                ? Outcome.ERROR
                                : number == 0
                                        ? body == oneMessage ? Outcome.OK : Outcome.ERROR
                                        : number == 14 && trailersOnly && (markedDeclined || declineMarker.isEmpty())
                                                ? Outcome.REJECTED
                                                : number == 5 ? Outcome.OK : Outcome.ERROR;
                        assertEquals(
                                expected,
                                ClassifiedResponse.classify(
                                                new ClassifiedResponse.RawResponse(
                                                        contentType, null, status, trailersOnly, markedDeclined, body),
                                                rules)
                                        .outcome(),
                                number + " " + flags + " " + body.length);
                    }
                }
            }
        }
        for (String contentType : new String[] {null, "", "application/grpcx", "application/json"}) {
            assertTrue(!ClassifiedResponse.isGrpc(contentType), contentType);
        }
    }
}
