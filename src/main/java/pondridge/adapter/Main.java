package pondridge.adapter;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Entry point: {@code java -jar pondridge.jar adapter} exchanges frames on standard input and output. */
public final class Main {
    private static final int HEADER_BYTES = 16;

    private Main() {}

    /** Runs the adapter until the input ends; a malformed frame stops it with a message and exit status 1. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar pondridge.jar adapter");
            System.exit(2);
        }
        try {
            run(
                    new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new FileOutputStream(FileDescriptor.out));
        } catch (MalformedFrameException | IllegalArgumentException | IOException e) {
            System.err.println("pondridge: " + e.getMessage());
            System.exit(1);
        }
    }

    static void run(InputStream in, OutputStream out) throws IOException {
        ReplyFrameWriter replyWriter = new ReplyFrameWriter();
        EventDispatcher dispatcher = new EventDispatcher(replyWriter);
        byte[] header = new byte[HEADER_BYTES];
        byte[] body = new byte[1 << 16];
        for (long frame = 0; ; frame++) {
            int received = in.readNBytes(header, 0, HEADER_BYTES);
            if (received == 0) {
                return;
            }
            if (received < HEADER_BYTES) {
                throw new MalformedFrameException("frame " + frame + ": header cut short after " + received + " bytes");
            }
            ByteBuffer headerFields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            long now = headerFields.getLong();
            long length = headerFields.getInt() & 0xffffffffL;
            long records = headerFields.getInt() & 0xffffffffL;
            if (now < 0 || length < HEADER_BYTES || length > Integer.MAX_VALUE - 64) {
                throw new MalformedFrameException("frame " + frame + ": clock or length out of range");
            }
            int size = (int) length - HEADER_BYTES;
            if (body.length < size) {
                body = new byte[size + size / 2];
            }
            received = in.readNBytes(body, 0, size);
            if (received < size) {
                throw new MalformedFrameException(
                        "frame " + frame + ": states " + length + " bytes, ends after " + (received + HEADER_BYTES));
            }
            try {
                dispatcher.dispatchBatch(now, records, new FrameReader(body, size));
            } catch (MalformedFrameException | IllegalArgumentException e) {
                throw new MalformedFrameException("frame " + frame + ": " + e.getMessage());
            }
            replyWriter.writeTo(out);
        }
    }
}
