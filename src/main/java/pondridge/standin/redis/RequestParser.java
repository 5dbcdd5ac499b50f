package pondridge.standin.redis;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads requests as the Redis protocol has them: an array of bulk strings, or a line of words (inline). Bytes
 * come in any pieces. What it holds is bounded: arguments, the bytes of one request, and the length of a
 *  line.
 * Texts are bytes, one a character (ISO 8859-1). Of one connection.
 */
final class RequestParser {
    /** What can't be read; the connection ends after it is told. */
    static final class ProtocolException extends Exception {
        private static final long serialVersionUID = 1;

        ProtocolException(String problem) {
            super("ERR Protocol error: " + problem);
        }
    }

    private static final int LONGEST_LINE = 64 << 10;
    private static final int LONGEST_NUMBER = 20;
    private final int mostArguments;
    private final int mostBytes;
    private byte[] held = new byte[512];
    private int from;
    private int to;
    private int wanted;
    private int bulk = -1;
    private int bytes;
    private List<String> request;

    RequestParser(int mostArguments, int mostBytes) {
        this.mostArguments = mostArguments;
        this.mostBytes = mostBytes;
    }

    /** More has come; all of it is taken. */
    void feed(byte[] more) {
        if (to + more.length > held.length) {
            byte[] room = to - from + more.length > held.length
                    ? new byte[Math.max(2 * held.length, to - from + more.length)]
                    : held;
            System.arraycopy(held, from, room, 0, to - from);
            held = room;
            to -= from;
            from = 0;
        }
        System.arraycopy(more, 0, held, to, more.length);
        to += more.length;
    }

    /** Bytes that it holds of what is not whole yet. */
    int held() {
        return to - from + bytes;
    }

    /** The next whole request; null where it has not all come; an empty one for an empty line. */
    List<String> next() throws ProtocolException {
        if (request == null) {
            if (from == to) {
                return null;
            }
            if (held[from] != '*') {
                return inline();
            }
            Integer count = number('*', "multibulk length", 0, mostArguments);
            if (count == null) {
                return null;
            }
            if (count <= 0) {
                return List.of();
            }
            request = new ArrayList<>(Math.min(count, 16));
            wanted = count;
            bytes = 0;
        }
        while (request.size() < wanted) {
            if (bulk < 0) {
                Integer length = number('$', "bulk length", 0, mostBytes);
                if (length == null) {
                    return null;
                }
                if (length < 0) {
                    throw new ProtocolException("invalid bulk length");
                }
                bulk = length;
                bytes += length;
                if (bytes > mostBytes) {
                    throw new ProtocolException("invalid bulk length");
                }
            }
            if (to - from < bulk + 2) {
                return null;
            }
            request.add(new String(held, from, bulk, StandardCharsets.ISO_8859_1));
            from += bulk + 2;
            bulk = -1;
        }
        List<String> whole = request;
        request = null;
        bytes = 0;
        return whole;
    }

    /** A line's number behind its mark; null where the line is not whole yet. */
    private Integer number(char mark, String what, int least, int most) throws ProtocolException {
        if (from == to) {
            return null;
        }
        if (held[from] != mark) {
            throw new ProtocolException("expected '" + mark + "', got '" + (char) (held[from] & 0xff) + "'");
        }
        int end = lineEnd(LONGEST_NUMBER, "invalid " + what);
        if (end < 0) {
            return null;
        }
        String text = new String(held, from + 1, end - from - 1, StandardCharsets.ISO_8859_1);
        from = end + 2;
        try {
            int number = Integer.parseInt(text);
            if (number > most || number < least - 1) {
                throw new ProtocolException("invalid " + what);
            }
            return number;
        } catch (NumberFormatException e) {
            throw new ProtocolException("invalid " + what);
        }
    }

    /** Where the line's CR LF is; -1 if it has not come and the line is not too long yet. */
    private int lineEnd(int longest, String problem) throws ProtocolException {
        for (int i = from; i < to - 1; i++) {
            if (held[i] == '\r' && held[i + 1] == '\n') {
                return i;
            }
        }
        if (to - from > longest) {
            throw new ProtocolException(problem);
        }
        return -1;
    }

    private List<String> inline() throws ProtocolException {
        int end = -1;
        for (int i = from; i < to; i++) {
            if (held[i] == '\n') {
                end = i;
                break;
            }
        }
        if (end < 0) {
            if (to - from > LONGEST_LINE) {
                throw new ProtocolException("too big inline request");
            }
            return null;
        }
        int stop = end > from && held[end - 1] == '\r' ? end - 1 : end;
        String line = new String(Arrays.copyOfRange(held, from, stop), StandardCharsets.ISO_8859_1);
        from = end + 1;
        return words(line);
    }

    /** Words parted by blanks; quotes hold blanks together. */
    private static List<String> words(String line) throws ProtocolException {
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
