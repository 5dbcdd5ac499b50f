package pondridge.adapter;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads the little-endian fields of a frame body; no read goes beyond the end of the current record. */
final class FrameReader {
    private final ByteBuffer buffer;
    private int recordStart;
    private int recordEnd;

    FrameReader(byte[] bytes, int length) {
        buffer = ByteBuffer.wrap(bytes, 0, length).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Starts the next record and returns its event code. */
    int nextRecord() {
        recordStart = buffer.position();
        if (buffer.remaining() < 5) {
            throw new MalformedFrameException("record header cut short at byte " + recordStart);
        }
        int code = buffer.get() & 0xff;
        long length = buffer.getInt() & 0xffffffffL;
        if (length > buffer.remaining()) {
            throw new MalformedFrameException("record at byte " + recordStart + " states " + length + " bytes, "
                    + buffer.remaining() + " are left");
        }
        recordEnd = buffer.position() + (int) length;
        return code;
    }

    /** Ends the current record; fields added by later versions of the wire format are skipped. */
    void endRecord() {
        buffer.position(recordEnd);
    }

    int recordStart() {
        return recordStart;
    }

    boolean atEnd() {
        return !buffer.hasRemaining();
    }

    private void requireBytes(long bytes) {
        if (bytes > recordEnd - buffer.position()) {
            throw new MalformedFrameException("field cut short in the record at byte " + recordStart);
        }
    }

    int u8() {
        requireBytes(1);
        return buffer.get() & 0xff;
    }

    int u16() {
        requireBytes(2);
        return buffer.getShort() & 0xffff;
    }

    long u32() {
        requireBytes(4);
        return buffer.getInt() & 0xffffffffL;
    }

    long i64() {
        requireBytes(8);
        return buffer.getLong();
    }

    float f32() {
        requireBytes(4);
        return buffer.getFloat();
    }

    /** A time in nanoseconds: unsigned in the wire format, but no clock or duration uses the top bit. */
    long time(String field) {
        long value = i64();
        if (value < 0) {
            throw new MalformedFrameException(field + " out of range in the record at byte " + recordStart);
        }
        return value;
    }

    /** An upstream id: a four-byte address and a port, packed into one opaque number. */
    long upstream() {
        long address = u32();
        return address << 16 | u16();
    }

    byte[] bytes(long count) {
        requireBytes(count);
        byte[] data = new byte[(int) count];
        buffer.get(data);
        return data;
    }

    String text(long count) {
        return new String(bytes(count), StandardCharsets.UTF_8);
    }

    /** The values of a load report; empty if there is none. */
    float[] loadReport() {
        int count = u8();
        if (count == 0) {
            return ReplyFrameWriter.NO_LOAD_REPORT;
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = f32();
        }
        return values;
    }

    /** The value with the given ordinal; the exception for one out of range names the field. */
    <T> T enumValue(T[] values, int ordinal, String field) {
        if (ordinal >= values.length) {
            throw new MalformedFrameException(
                    field + " " + ordinal + " out of range in the record at byte " + recordStart);
        }
        return values[ordinal];
    }
}
