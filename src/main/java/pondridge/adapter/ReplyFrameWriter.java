package pondridge.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import pondridge.Balancer.Actions;

/** Collects the actions of one batch in a reply frame, which is written whole or not at all. */
final class ReplyFrameWriter {
    static final float[] NO_LOAD_REPORT = {};
    private static final int HEADER_BYTES = 8;
    private static final int RECORD_HEADER_BYTES = 5;

    private byte[] bytes = new byte[1 << 16];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    private int recordCount;

    ReplyFrameWriter() {
        clear();
    }

    /** Returns the actions of one sidecar's instance, which are appended to the frame. */
    Actions actionsOf(int sidecar) {
        return new ActionWriter(sidecar);
    }

    void clear() {
        buffer.position(HEADER_BYTES);
        recordCount = 0;
    }

    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, recordCount);
        buffer.putInt(4, buffer.position());
        out.write(bytes, 0, buffer.position());
        out.flush();
        clear();
    }

    private void startRecord(int code, int length, int sidecar) {
        if (buffer.remaining() < length + RECORD_HEADER_BYTES) {
            int position = buffer.position();
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, position + length + RECORD_HEADER_BYTES));
            buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).position(position);
        }
        buffer.put((byte) code).putInt(length).putShort((short) sidecar);
        recordCount++;
    }

    private final class ActionWriter implements Actions {
        private final int sidecar;

        ActionWriter(int sidecar) {
            this.sidecar = sidecar;
        }

        private void putUpstream(long id) {
            buffer.putInt((int) (id >>> 16)).putShort((short) id);
        }

        private void startVariableRecord(int code, int fixedLength, byte[] data) {
            startRecord(code, fixedLength + 2 + data.length, sidecar);
        }

        @Override
        public void send(long request, long upstream, long timeoutNanos) {
            startRecord(1, 20, sidecar);
            buffer.putInt((int) request);
            putUpstream(upstream);
            buffer.putLong(timeoutNanos);
        }

        @Override
        public void refuse(long request, long retryAfterNanos) {
            startRecord(2, 14, sidecar);
            buffer.putInt((int) request).putLong(retryAfterNanos);
        }

        @Override
        public void fail(long request) {
            startRecord(3, 6, sidecar);
            buffer.putInt((int) request);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            startRecord(4, 7, sidecar);
            buffer.putInt((int) request).put((byte) attempt);
        }

        @Override
        public void setTimer(long token, long dueNanos) {
            startRecord(5, 18, sidecar);
            buffer.putLong(token).putLong(dueNanos);
        }

        @Override
        public void probe(long upstream) {
            startRecord(6, 8, sidecar);
            putUpstream(upstream);
        }

        @Override
        public void closeIdleConnections(long upstream) {
            startRecord(7, 8, sidecar);
            putUpstream(upstream);
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            startVariableRecord(8, 4, message);
            buffer.putShort((short) peer).putShort((short) message.length).put(message);
        }

        @Override
        public void log(String line) {
            byte[] data = line.getBytes(StandardCharsets.UTF_8);
            startVariableRecord(9, 2, data);
            buffer.putShort((short) data.length).put(data);
        }

        @Override
        public void setSubscription(boolean subscribed) {
            startRecord(11, 3, sidecar);
            buffer.put((byte) (subscribed ? 1 : 0));
        }

        @Override
        public void fetchEndpointList() {
            startRecord(12, 2, sidecar);
        }
    }
}
