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

/** What gRPC's room decides without a socket: messages, times, and what an answer proves. */
class GrpcDecidersTest {
    private static final int MOST = 1_000;

    /** Messages of all sizes, cut at random into pieces of 1 byte and more, come out as they went in. */
    @Test
    void messagesComeOutAsTheyWentInHoweverTheyAreCut() {
        for (long seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            List<byte[]> sent = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(5); i++) {
                byte[] message = new byte[random.nextInt(4) == 0 ? 0 : random.nextInt(MOST + 1)];
                random.nextBytes(message);
                sent.add(message);
                all.writeBytes(MessageReader.frame(message));
            }
            byte[] bytes = all.toByteArray();
            MessageReader reader = new MessageReader(MOST);
            List<byte[]> read = new ArrayList<>();
            int most = 1 + random.nextInt(40);
            for (int at = 0; at < bytes.length; ) {
                int to = Math.min(bytes.length, at + 1 + random.nextInt(most));
                at += reader.read(bytes, at, to);
                if (reader.state() == MessageReader.State.MESSAGE) {
                    read.add(reader.take());
                }
            }
            assertEquals(sent.size(), read.size(), "seed " + seed);
            for (int i = 0; i < sent.size(); i++) {
                assertArrayEquals(sent.get(i), read.get(i), "seed " + seed);
            }
            assertTrue(!reader.within(), "nothing is left over");
        }
    }

    /** Noise never throws, never makes it hold more than a message, and once it is bad it stays bad. */
    @Test
    void noiseIsBoundedAndFinal() {
        Random random = new Random(7);
        for (int i = 0; i < 20_000; i++) {
            byte[] noise = new byte[random.nextInt(3 * MOST)];
            random.nextBytes(noise);
            if (noise.length > 4 && random.nextBoolean()) {
                noise[0] = (byte) random.nextInt(2);
                noise[1] = 0;
                noise[2] = 0;
                noise[3] = (byte) random.nextInt(4);
            }
            UnaryMessage.Read read = UnaryMessage.read(noise, random.nextBoolean() ? "gzip" : null, MOST);
            assertTrue(read.message() == null ? read.code() != GrpcCode.OK : read.message().length <= MOST);
        }
        MessageReader reader = new MessageReader(MOST);
        reader.read(new byte[] {0, 0, 0, 4, 0}, 0, 5);
        assertEquals(MessageReader.State.TOO_LARGE, reader.state());
        assertEquals(0, reader.read(new byte[5], 0, 5));
    }

    private static byte[] zipped(int size) throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream zip = new GZIPOutputStream(bytes)) {
            zip.write(new byte[size]);
        }
        byte[] framed = MessageReader.frame(bytes.toByteArray());
        framed[0] = 1;
        return framed;
    }

    @Test
    void whatIsCompressedIsInflatedWithinTheBound() throws Exception {
        assertEquals(900, UnaryMessage.read(zipped(900), "gzip", MOST).message().length);
        assertEquals(
                GrpcCode.RESOURCE_EXHAUSTED,
                UnaryMessage.read(zipped(100_000), "gzip", MOST).code());
        assertEquals(
                GrpcCode.UNIMPLEMENTED,
                UnaryMessage.read(zipped(900), "br", MOST).code());
        assertEquals(
                GrpcCode.UNIMPLEMENTED,
                UnaryMessage.read(zipped(900), null, MOST).code());
    }

    @Test
    void timesAreReadInAllUnitsAndWrittenNeverLongerThanTheyAre() {
        long[] nanos = {3_600_000_000_000L, 60_000_000_000L, 1_000_000_000L, 1_000_000L, 1_000L, 1L};
        for (int i = 0; i < nanos.length; i++) {
            assertEquals(7 * nanos[i], GrpcTimeout.read("7" + "HMSmun".charAt(i)));
        }
        for (String odd : new String[] {"", "5", "S", "-1S", "123456789S", "1s", "1 S", "0x1S", "1.5S"}) {
            assertEquals(-1, GrpcTimeout.read(odd), odd);
        }
        assertEquals(Long.MAX_VALUE, GrpcTimeout.read("99999999H"));
        Random random = new Random(3);
        for (int i = 0; i < 100_000; i++) {
            long left = Math.max(1, random.nextLong() >>> random.nextInt(63));
            long read = GrpcTimeout.read(GrpcTimeout.write(left));
            assertTrue(
                    read > 0 && read <= left && read > left * 0.9999999 - 1 || left > 99_999_999L * nanos[0],
                    left + " as " + GrpcTimeout.write(left));
        }
        assertEquals(
                List.of(GrpcCode.DEADLINE_EXCEEDED, GrpcCode.UNKNOWN),
                List.of(FinalCode.failed(10_000_000), FinalCode.failed(100_000_000)));
        assertEquals("%25 a%0A%C3%A9", FinalCode.message("% a\né"));
    }

    /**
     * All codes, with and without mark, trailers, messages: only what the rules name proves that nothing ran.
     */
    @Test
    void onlyWhatTheSettingsNameProvesThatNothingRan() {
        byte[] one = MessageReader.frame(new byte[] {1});
        byte[] two = new byte[2 * one.length];
        System.arraycopy(one, 0, two, 0, one.length);
        System.arraycopy(one, 0, two, one.length, one.length);
        byte[] cut = java.util.Arrays.copyOf(one, one.length - 1);
        Set<GrpcCode> declines = EnumSet.of(GrpcCode.UNAVAILABLE);
        for (String mark : new String[] {"declined", ""}) {
            Verdict.Rules rules = new Verdict.Rules(declines, mark, EnumSet.of(GrpcCode.NOT_FOUND), MOST);
            for (int number = -1; number <= GrpcCode.values().length; number++) {
                String status = number < 0 ? null : Integer.toString(number);
                for (byte[] body : new byte[][] {{}, one, two, cut}) {
                    for (int bits = 0; bits < 8; bits++) {
                        boolean marked = (bits & 1) > 0;
                        boolean headOnly = (bits & 2) > 0 && body.length == 0;
                        String type = (bits & 4) > 0 ? "application/grpc+proto" : "text/html";
                        Outcome expected = type.startsWith("text") || status == null
                                ? Outcome.ERROR
                                : number == 0
                                        ? body == one ? Outcome.OK : Outcome.ERROR
                                        : number == 14 && headOnly && (marked || mark.isEmpty())
                                                ? Outcome.REJECTED
                                                : number == 5 ? Outcome.OK : Outcome.ERROR;
                        assertEquals(
                                expected,
                                Verdict.of(new Verdict.Came(type, null, status, headOnly, marked, body), rules)
                                        .outcome(),
                                number + " " + bits + " " + body.length);
                    }
                }
            }
        }
        for (String type : new String[] {null, "", "application/grpcx", "application/json"}) {
            assertTrue(!Verdict.isGrpc(type), type);
        }
    }
}
