package pondridge.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Actions;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.Settings;
import pondridge.BalancerOptions;

/** Frame layouts, error messages and settings of the adapter, run in process. */
class AdapterProtocolTest {
    static final String OPTIONS = String.join(
            "\n",
            "caps.mayCancel=true",
            "caps.tryLimit=3",
            "caps.parallelTries=true",
            "brand.newKey=what,ever",
            "discovery=subscribe",
            "profiles.count=1",
            "profiles.0.deadline=1000000000",
            "profiles.0.slo=500000000",
            "profiles.0.semantics=once",
            "profiles.0.worth=2.5",
            "parties.count=1",
            "parties.0.portion=1.0",
            "parties.0.quotaRps=50",
            "quantum=5000000",
            "rank=1",
            "replicasOfMe=3",
            "report.fields=rif,lat_ms",
            "rules.answerSlack=20000000",
            "rules.coldShare=0.3",
            "rules.overloadFactor=3.0",
            "rules.rampTime=8000000000",
            "rules.stopSendingWithin=250000000",
            "rules.tipAfter=1500000000");

    /** Builds frames according to the documented layout. */
    static final class Frame {
        private final ByteBuffer body = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
        private int records;
        private int lengthPosition;

        Frame record(int code) {
            body.put((byte) code);
            lengthPosition = body.position();
            body.putInt(0);
            records++;
            return this;
        }

        Frame end() {
            body.putInt(lengthPosition, body.position() - lengthPosition - 4);
            return this;
        }

        byte[] bytes(long clock) {
            ByteBuffer out = ByteBuffer.allocate(16 + body.position()).order(ByteOrder.LITTLE_ENDIAN);
            out.putLong(clock).putInt(16 + body.position()).putInt(records);
            out.put(body.array(), 0, body.position());
            return out.array();
        }

        Frame createInstance(int sidecar, String options) {
            byte[] text = options.getBytes(StandardCharsets.UTF_8);
            record(1)
                    .body
                    .putShort((short) sidecar)
                    .putLong(42)
                    .putInt(text.length)
                    .put(text);
            return end();
        }

        Frame defineList(int number, int... upstreams) {
            record(11).body.putInt(number).putInt(upstreams.length);
            for (int id : upstreams) {
                body.putInt(id)
                        .putShort((short) 80)
                        .put((byte) 0)
                        .putShort((short) 0)
                        .putShort((short) 0)
                        .put((byte) 1)
                        .putFloat(1)
                        .putLong(0);
            }
            return end();
        }

        Frame endpointListChanged(int sidecar, int form, int number) {
            record(2).body.putShort((short) sidecar).put((byte) form).putLong(1).putInt(number);
            return end();
        }

        Frame requestArrived(int sidecar, int id) {
            record(3)
                    .body
                    .putShort((short) sidecar)
                    .putInt(id)
                    .put((byte) 0)
                    .putShort((short) 0)
                    .putLong(0)
                    .putLong(1_000_000_000L)
                    .putLong(0)
                    .put((byte) 0);
            return end();
        }
    }

    static byte[] join(byte[]... frames) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] frame : frames) {
            joined.writeBytes(frame);
        }
        return joined.toByteArray();
    }

    private static byte[] run(byte[]... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Main.run(new ByteArrayInputStream(join(frames)), out);
        return out.toByteArray();
    }

    private static void assertFails(String expectedText, byte[]... frames) {
        MalformedFrameException e = assertThrows(MalformedFrameException.class, () -> run(frames));
        assertTrue(e.getMessage().contains(expectedText), e.getMessage());
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertArrayEquals(new byte[] {0, 0, 0, 0, 8, 0, 0, 0}, run(new Frame().bytes(5)));
        assertEquals(0, run().length);
    }

    @Test
    void requestIsSentToTheListedUpstream() throws IOException {
        byte[] reply = run(new Frame()
                .createInstance(3, OPTIONS)
                .defineList(0, 0x0100_000a)
                .endpointListChanged(3, 2, 0)
                .requestArrived(3, 0xf0000001)
                .bytes(1_000_000_000L));
        ByteBuffer in = ByteBuffer.wrap(reply).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(reply.length, in.getInt(4));
        in.position(8);
        assertEquals(11, in.get(), "subscribes");
        in.position(in.position() + 4 + 3);
        assertEquals(5, in.get(), "sets a timer");
        in.position(in.position() + 4 + 18);
        assertEquals(1, in.get(), "sends");
        assertEquals(20, in.getInt());
        assertEquals(3, in.getShort());
        assertEquals(0xf0000001, in.getInt());
        assertEquals(0x0100_000a, in.getInt());
        assertEquals(80, in.getShort());
    }

    @Test
    void listNumbersResolveByOrder() throws IOException {
        byte[] reply = run(new Frame()
                .createInstance(1, OPTIONS)
                .defineList(0, 7)
                .endpointListChanged(1, 2, 0)
                .defineList(0, 8)
                .endpointListChanged(1, 1, 0)
                .requestArrived(1, 9)
                .bytes(1_000_000_000L));
        String hex = java.util.HexFormat.of().formatHex(reply);
        assertTrue(hex.contains("09000000" + "08000000" + "5000"), hex);
    }

    @Test
    void restartInOneBatchReplacesTheInstance() throws IOException {
        Frame frame = new Frame()
                .createInstance(1, OPTIONS)
                .defineList(0, 7)
                .endpointListChanged(1, 2, 0)
                .requestArrived(1, 9);
        frame.record(10).body.putShort((short) 1);
        frame.end().createInstance(1, OPTIONS).endpointListChanged(1, 2, 0);
        assertTrue(run(frame.bytes(1_000_000_000L)).length > 8);
    }

    @Test
    void errorOfMalformedFrameNamesTheCause() {
        assertFails("header cut short", new byte[5]);
        byte[] frame = new Frame().createInstance(1, OPTIONS).bytes(1);
        assertFails("ends after", java.util.Arrays.copyOf(frame, frame.length - 3));
        assertFails("unknown event code 99", new Frame().record(99).end().bytes(1));
        assertFails("unknown instance 5", new Frame().requestArrived(5, 1).bytes(1));
        assertFails(
                "unknown list number 3",
                new Frame()
                        .createInstance(1, OPTIONS)
                        .endpointListChanged(1, 1, 3)
                        .bytes(1));
        assertFails(
                "form 9 out of range",
                new Frame()
                        .createInstance(1, OPTIONS)
                        .defineList(0)
                        .endpointListChanged(1, 9, 0)
                        .bytes(1));
        assertFails(
                "field cut short",
                new Frame().createInstance(1, OPTIONS).record(6).end().bytes(1));
    }

    @Test
    void settingsAreReadAndErrorsNameTheSetting() {
        Settings settings = new BalancerOptions(OPTIONS).settings();
        assertEquals(RetrySemantics.ONCE, settings.classes().get(0).retrySemantics());
        assertEquals(2.5, settings.classes().get(0).utility());
        assertEquals(2, settings.loadReportFields().size());
        assertEquals(50, settings.tenants().get(0).quotaPerSecond());
        assertFails(
                "setting missing: rules.rampTime",
                new Frame()
                        .createInstance(1, OPTIONS.replace("rules.rampTime", "x"))
                        .bytes(1));
        assertFails(
                "not a number",
                new Frame()
                        .createInstance(1, OPTIONS.replace("slo=5", "slo=five"))
                        .bytes(1));
        assertFails(
                "cold share",
                new Frame()
                        .createInstance(1, OPTIONS.replace("coldShare=0.3", "coldShare=7"))
                        .bytes(1));
    }

    @Test
    void everyActionHasItsLayout() throws IOException {
        ReplyFrameWriter replyWriter = new ReplyFrameWriter();
        Actions actions = replyWriter.actionsOf(2);
        actions.refuse(1, 5);
        actions.fail(1);
        actions.cancelAttempt(1, 3);
        actions.probe(0x0000_0001_0050L);
        actions.closeIdleConnections(1);
        actions.sendToPeer(Actions.ALL_PEERS, new byte[] {9});
        actions.log("hi");
        actions.fetchEndpointList();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        replyWriter.writeTo(out);
        ByteBuffer in = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(8, in.getInt());
        assertEquals(out.size(), in.getInt());
        int[] codes = {2, 3, 4, 6, 7, 8, 9, 12};
        int[] lengths = {14, 6, 7, 8, 8, 7, 6, 2};
        for (int i = 0; i < codes.length; i++) {
            assertEquals(codes[i], in.get());
            assertEquals(lengths[i], in.getInt());
            assertEquals(2, in.getShort());
            in.position(in.position() + lengths[i] - 2);
        }
        assertEquals(0, in.remaining());
    }
}
