package pondridge.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Many names in little room: names that differ only in a number at their end, of the same width, go together
 * as the first one and the gaps to the next, a gap that repeats with its count. {@code u007+1*2+5} is u007,
 * u008, u009, u014. Names of entries hold neither {@code +} nor {@code *}.
 */
final class Names {
    /** Of one group; more make no sense in one message. */
    static final int MOST = 1 << 17;

    private static final int MOST_DIGITS = 9;

    private Names() {}

    /** As groups, in the names' order. */
    static List<String> pack(List<String> names) {
        String[] sorted = names.toArray(new String[0]);
        Arrays.sort(sorted);
        List<String> groups = new ArrayList<>();
        StringBuilder group = new StringBuilder();
        String before = null;
        int gap = 0;
        int count = 0;
        for (String name : sorted) {
            int next = before == null ? 0 : gap(before, name);
            if (next == 0 || next != gap) {
                end(group, gap, count);
                count = 0;
                if (next == 0 && before != null) {
                    groups.add(group.toString());
                    group.setLength(0);
                }
                if (next == 0) {
                    group.append(name);
                }
            }
            gap = next;
            count++;
            before = name;
        }
        end(group, gap, count);
        if (before != null) {
            groups.add(group.toString());
        }
        return groups;
    }

    private static void end(StringBuilder group, int gap, int count) {
        if (gap > 0) {
            group.append('+').append(gap);
            if (count > 1) {
                group.append('*').append(count);
            }
        }
    }

    private static int digits(String name) {
        int from = name.length();
        while (from > 0
                && name.length() - from < MOST_DIGITS
                && name.charAt(from - 1) >= '0'
                && name.charAt(from - 1) <= '9') {
            from--;
        }
        return from;
    }

    /** How much higher the second's number is; 0 where they do not go together. */
    private static int gap(String one, String next) {
        int from = digits(next);
        if (one.length() != next.length()
                || from == next.length()
                || digits(one) != from
                || !one.regionMatches(0, next, 0, from)) {
            return 0;
        }
        return Integer.parseInt(next, from, next.length(), 10) - Integer.parseInt(one, from, one.length(), 10);
    }

    /** The names of one group; throws {@link IllegalArgumentException} for what is none. */
    static List<String> unpack(String group) {
        int plus = group.indexOf('+');
        String first = plus < 0 ? group : group.substring(0, plus);
        Resource.checkName("name", first);
        List<String> names = new ArrayList<>();
        names.add(first);
        int from = digits(first);
        int width = first.length() - from;
        try {
            long number = plus < 0 ? 0 : Long.parseLong(first.substring(from));
            for (int at = plus; at >= 0; ) {
                int next = group.indexOf('+', at + 1);
                String run = group.substring(at + 1, next < 0 ? group.length() : next);
                int star = run.indexOf('*');
                int gap = Integer.parseUnsignedInt(star < 0 ? run : run.substring(0, star));
                int count = star < 0 ? 1 : Integer.parseUnsignedInt(run.substring(star + 1));
                if (gap <= 0 || count <= 0 || names.size() + (long) count > MOST) {
                    throw new IllegalArgumentException("names: a run that makes no sense: +" + run);
                }
                for (int i = 0; i < count; i++) {
                    number += gap;
                    String digits = Long.toString(number);
                    if (digits.length() > width) {
                        throw new IllegalArgumentException("names: a run beyond its digits: +" + run);
                    }
                    names.add(first.substring(0, from) + "0".repeat(width - digits.length()) + digits);
                }
                at = next;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "names: not a group: " + (group.length() <= 80 ? group : group.substring(0, 80) + "..."), e);
        }
        return names;
    }
}
