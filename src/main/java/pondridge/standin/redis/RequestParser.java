package pondridge.standin.redis;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Parses requests of the Redis protocol: arrays of bulk strings, or inline commands. Input may be split at any
 * byte. The number of arguments, the bytes of a request and the length of a line are bounded. Strings hold one
 * byte per character (ISO 8859-1). Each connection has its own parser.
 */
final class RequestParser {
    /** Malformed input; the connection is closed after the error reply. */
    static final class ProtocolException extends Exception {
        private static final long serialVersionUID = 1;

        ProtocolException(String problem) {
            super("ERR Protocol error: " + problem);
        }
    }

    private static final int MAX_LINE_BYTES = 64 << 10;
    private static final int MAX_NUMBER_BYTES = 20;
    private final int maxArguments;
    private final int maxBytes;
    private byte[] buffer = new byte[512];
    private int readIndex;
    private int writeIndex;
    private int argumentCount;
    private int bulkLength = -1;
    private int argumentBytes;
    private List<String> partialRequest;

    RequestParser(int maxArguments, int maxBytes) {
        this.maxArguments = maxArguments;
        this.maxBytes = maxBytes;
    }

    /** Appends received bytes. */
    void feed(byte[] received) {
        if (writeIndex + received.length > buffer.length) {
            byte[] target = writeIndex - readIndex + received.length > buffer.length
                    ? new byte[Math.max(2 * buffer.length, writeIndex - readIndex + received.length)]
                    : buffer;
            System.arraycopy(buffer, readIndex, target, 0, writeIndex - readIndex);
            buffer = target;
            writeIndex -= readIndex;
            readIndex = 0;
        }
        System.arraycopy(received, 0, buffer, writeIndex, received.length);
        writeIndex += received.length;
    }

    /** The number of buffered bytes of an incomplete request. */
    int bufferedBytes() {
        return writeIndex - readIndex + argumentBytes;
    }

    /** The next complete request, empty for an empty line; null if none is complete. */
    List<String> next() throws ProtocolException {
        if (partialRequest == null) {
            if (readIndex == writeIndex) {
                return null;
            }
            if (buffer[readIndex] != '*') {
                return parseInline();
            }
            Integer count = parseNumber('*', "multibulk length", 0, maxArguments);
            if (count == null) {
                return null;
            }
            if (count <= 0) {
                return List.of();
            }
            partialRequest = new ArrayList<>(Math.min(count, 16));
            argumentCount = count;
            argumentBytes = 0;
        }
        while (partialRequest.size() < argumentCount) {
            if (bulkLength < 0) {
                Integer length = parseNumber('$', "bulk length", 0, maxBytes);
                if (length == null) {
                    return null;
                }
                if (length < 0) {
                    throw new ProtocolException("invalid bulk length");
                }
                bulkLength = length;
                argumentBytes += length;
                if (argumentBytes > maxBytes) {
                    throw new ProtocolException("invalid bulk length");
                }
            }
            if (writeIndex - readIndex < bulkLength + 2) {
                return null;
            }
            partialRequest.add(new String(buffer, readIndex, bulkLength, StandardCharsets.ISO_8859_1));
            readIndex += bulkLength + 2;
            bulkLength = -1;
        }
        List<String> complete = partialRequest;
        partialRequest = null;
        argumentBytes = 0;
        return complete;
    }

    /** The number after a type byte; null if the line is incomplete. */
    private Integer parseNumber(char typeByte, String fieldName, int min, int max) throws ProtocolException {
        if (readIndex == writeIndex) {
            return null;
        }
        if (buffer[readIndex] != typeByte) {
            throw new ProtocolException("expected '" + typeByte + "', got '" + (char) (buffer[readIndex] & 0xff) + "'");
        }
        int end = lineEnd(MAX_NUMBER_BYTES, "invalid " + fieldName);
        if (end < 0) {
            return null;
        }
        String text = new String(buffer, readIndex + 1, end - readIndex - 1, StandardCharsets.ISO_8859_1);
        readIndex = end + 2;
        try {
            int number = Integer.parseInt(text);
            if (number > max || number < min - 1) {
                throw new ProtocolException("invalid " + fieldName);
            }
            return number;
        } catch (NumberFormatException e) {
            throw new ProtocolException("invalid " + fieldName);
        }
    }

    /** The index of the CR LF that ends the line; -1 if it has not arrived within the allowed length. */
    private int lineEnd(int maxLength, String problem) throws ProtocolException {
        for (int i = readIndex; i < writeIndex - 1; i++) {
            if (buffer[i] == '\r' && buffer[i + 1] == '\n') {
                return i;
            }
        }
        if (writeIndex - readIndex > maxLength) {
            throw new ProtocolException(problem);
        }
        return -1;
    }

    private List<String> parseInline() throws ProtocolException {
        int end = -1;
        for (int i = readIndex; i < writeIndex; i++) {
            if (buffer[i] == '\n') {
                end = i;
                break;
            }
        }
        if (end < 0) {
            if (writeIndex - readIndex > MAX_LINE_BYTES) {
                throw new ProtocolException("too big inline request");
            }
            return null;
        }
        int stop = end > readIndex && buffer[end - 1] == '\r' ? end - 1 : end;
        String line = new String(Arrays.copyOfRange(buffer, readIndex, stop), StandardCharsets.ISO_8859_1);
        readIndex = end + 1;
        return splitWords(line);
    }

    /** Splits a line at blanks outside quotes. */
    private static List<String> splitWords(String line) throws ProtocolException {
        List<String> words = new ArrayList<>();
        StringBuilder word = null;
        char quote = 0;
        for (int i = 0; i < line.length(); i++) {
            char each = line.charAt(i);
            if (quote != 0 && each == '\\' && quote == '"' && i + 1 < line.length()) {
                word.append(line.charAt(++i));
            } else if (quote != 0) {
                if (each == quote) {
                    quote = 0;
                } else {
                    word.append(each);
                }
            } else if (each == ' ' || each == '\t') {
                if (word != null) {
                    words.add(word.toString());
                    word = null;
                }
            } else {
                word = word == null ? new StringBuilder() : word;
                if (each == '"' || each == '\'') {
                    quote = each;
                } else {
                    word.append(each);
                }
            }
        }
        if (quote != 0) {
            throw new ProtocolException("unbalanced quotes in request");
        }
        if (word != null) {
            words.add(word.toString());
        }
        return words;
    }
}
