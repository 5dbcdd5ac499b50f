package pondridge.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import pondridge.Balancer.Actions;

/** Collects the actions of one batch as a reply frame; written whole or not at all. */
final class Replies {
    static final float[] NO_REPORT = {};
    private static final int HEADER = 8;

    private byte[] bytes = new byte[1 << 16];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    private int count;

    Replies() {
        clear();
    }

    /** A sink that writes actions in one sidecar's name. */
    Actions sink(int sidecar) {
        return new Sink(sidecar);
    }

    void clear() {
        buffer.position(HEADER);
        count = 0;
    }

    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(0, count);
        buffer.putInt(4, buffer.position());
        out.write(bytes, 0, buffer.position());
        out.flush();
        clear();
    }

    private void begin(int code, int fields, int sidecar) {
        if (buffer.remaining() < fields + 5) {
            int position = buffer.position();
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, position + fields + 5));
            buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).position(position);
        }
        buffer.put((byte) code).putInt(fields).putShort((short) sidecar);
        count++;
    }

    private final class Sink implements Actions {
        private final int sidecar;

        Sink(int sidecar) {
            this.sidecar = sidecar;
        }

        private void upstream(long id) {
            buffer.putInt((int) (id >>> 16)).putShort((short) id);
        }

        private void text(int code, int head, byte[] data) {
            begin(code, head + 2 + data.length, sidecar);
        }

        @Override
        public void send(long request, long upstream, long timeout) {
            begin(1, 20, sidecar);
            buffer.putInt((int) request);
            upstream(upstream);
            buffer.putLong(timeout);
        }

        @Override
        public void refuse(long request, long wait) {
            begin(2, 14, sidecar);
            buffer.putInt((int) request).putLong(wait);
        }

        @Override
        public void fail(long request) {
            begin(3, 6, sidecar);
            buffer.putInt((int) request);
        }

        @Override
        public void cancel(long request, int attempt) {
            begin(4, 7, sidecar);
            buffer.putInt((int) request).put((byte) attempt);
        }

        @Override
        public void timer(long token, long at) {
            begin(5, 18, sidecar);
            buffer.putLong(token).putLong(at);
        }

        @Override
        public void probe(long upstream) {
            begin(6, 8, sidecar);
            upstream(upstream);
        }

        @Override
        public void closeIdle(long upstream) {
            begin(7, 8, sidecar);
            upstream(upstream);
        }

        @Override
        public void tell(int peer, byte[] message) {
            text(8, 4, message);
            buffer.putShort((short) peer).putShort((short) message.length).put(message);
        }

        @Override
        public void log(String line) {
            byte[] data = line.getBytes(StandardCharsets.UTF_8);
            text(9, 2, data);
            buffer.putShort((short) data.length).put(data);
        }

        @Override
        public void subscribe(boolean on) {
            begin(11, 3, sidecar);
            buffer.put((byte) (on ? 1 : 0));
        }

        @Override
        public void fetchList() {
            begin(12, 2, sidecar);
        }
    }
}
