package pondridge.standin.redis;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A reply and its encoding in RESP2 and RESP3. Strings hold one byte per character (ISO 8859-1). */
sealed interface Reply {
    Reply OK = new SimpleString("OK");
    Reply NULL = new Null();
    Reply EMPTY_ARRAY = new Aggregate('*', List.of());

    /** A simple string. */
    record SimpleString(String text) implements Reply {}

    /** An error; its first word is the error code. */
    record SimpleError(String text) implements Reply {}

    /** An integer. */
    record IntegerReply(long value) implements Reply {}

    /** A bulk string of any bytes. */
    record BulkString(String text) implements Reply {}

    /** A floating-point number; RESP2 encodes it as a bulk string. */
    record DoubleReply(double value) implements Reply {}

    /** The null reply. */
    record Null() implements Reply {}

    /**
     * An aggregate: an array, a set, a map with keys and values in turn, or a push.
     *
     * @param typeByte the type byte in RESP3; RESP2 encodes all aggregates as arrays
     */
    record Aggregate(char typeByte, List<Reply> items) implements Reply {}

    /** Bulk strings as an array; null elements become null replies. */
    static Reply bulkArray(List<String> strings) {
        return new Aggregate('*', strings.stream().map(Reply::bulk).toList());
    }

    /** A bulk string, or the null reply for null. */
    static Reply bulk(String text) {
        return text == null ? NULL : new BulkString(text);
    }

    /** Formats a score as Redis does. */
    static String formatScore(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.isInfinite(value) ? value > 0 ? "inf" : "-inf" : Double.toString(value);
    }

    /** Encodes this reply. */
    default void write(ByteArrayOutputStream out, boolean resp3) {
        if (this instanceof SimpleString string) {
            writeLine(out, '+', string.text);
        } else if (this instanceof SimpleError error) {
            writeLine(out, '-', error.text);
        } else if (this instanceof IntegerReply integer) {
            writeLine(out, ':', Long.toString(integer.value));
        } else if (this instanceof BulkString bulk) {
            writeLine(out, '$', Integer.toString(bulk.text.length()));
            writeLine(out, (char) 0, bulk.text);
        } else if (this instanceof DoubleReply number) {
            if (resp3) {
                writeLine(out, ',', formatScore(number.value));
            } else {
                new BulkString(formatScore(number.value)).write(out, false);
            }
        } else if (this instanceof Aggregate aggregate) {
            boolean pairs = resp3 && aggregate.typeByte == '%';
            writeLine(
                    out,
                    resp3 ? aggregate.typeByte : '*',
                    Integer.toString(pairs ? aggregate.items.size() / 2 : aggregate.items.size()));
            aggregate.items.forEach(item -> item.write(out, resp3));
        } else {
            writeLine(out, resp3 ? '_' : '$', resp3 ? "" : "-1");
        }
    }

    private static void writeLine(ByteArrayOutputStream out, char typeByte, String text) {
        if (typeByte != 0) {
            out.write(typeByte);
        }
        out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
        out.write('\r');
        out.write('\n');
    }
}
