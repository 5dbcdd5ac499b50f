package pondridge.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A compact form for many names. Names that differ only in a trailing number of the same width form a group:
 * the first name, followed by the steps to the next ones, with a repeat count for equal steps. {@code
 * u007+1*2+5} stands for u007, u008, u009, u014. Names of entries contain neither {@code +} nor {@code *}.
 */
final class NameRanges {
    /** The most names in one group; more are not valid in one message. */
    static final int MAX_NAMES = 1 << 17;

    private static final int MAX_DIGITS = 9;

    private NameRanges() {}

    /** Returns the groups, in the order of the names. */
    static List<String> pack(List<String> names) {
        String[] sorted = names.toArray(new String[0]);
        Arrays.sort(sorted);
        List<String> groups = new ArrayList<>();
        StringBuilder group = new StringBuilder();
        String previous = null;
        int step = 0;
        int count = 0;
        for (String name : sorted) {
            int nextStep = previous == null ? 0 : step(previous, name);
            if (nextStep == 0 || nextStep != step) {
                appendRun(group, step, count);
                count = 0;
                if (nextStep == 0 && previous != null) {
                    groups.add(group.toString());
                    group.setLength(0);
                }
                if (nextStep == 0) {
                    group.append(name);
                }
            }
            step = nextStep;
            count++;
            previous = name;
        }
        appendRun(group, step, count);
        if (previous != null) {
            groups.add(group.toString());
        }
        return groups;
    }

    private static void appendRun(StringBuilder group, int step, int count) {
        if (step > 0) {
            group.append('+').append(step);
            if (count > 1) {
                group.append('*').append(count);
            }
        }
    }

    private static int digitsStart(String name) {
        int digitsStart = name.length();
        while (digitsStart > 0
                && name.length() - digitsStart < MAX_DIGITS
                && name.charAt(digitsStart - 1) >= '0'
                && name.charAt(digitsStart - 1) <= '9') {
            digitsStart--;
        }
        return digitsStart;
    }

    /** Returns the difference between the trailing numbers of two names; 0 if they can't be in one group. */
    private static int step(String name, String nextName) {
        int digitsStart = digitsStart(nextName);
        if (name.length() != nextName.length()
                || digitsStart == nextName.length()
                || digitsStart(name) != digitsStart
                || !name.regionMatches(0, nextName, 0, digitsStart)) {
            return 0;
        }
        return Integer.parseInt(nextName, digitsStart, nextName.length(), 10)
                - Integer.parseInt(name, digitsStart, name.length(), 10);
    }

    /** Returns the names of one group. Throws an {@link IllegalArgumentException} if the group is invalid. */
    static List<String> unpack(String group) {
        int firstPlus = group.indexOf('+');
        String first = firstPlus < 0 ? group : group.substring(0, firstPlus);
        Resource.checkName("name", first);
        List<String> names = new ArrayList<>();
        names.add(first);
        int digitsStart = digitsStart(first);
        int width = first.length() - digitsStart;
        try {
            long number = firstPlus < 0 ? 0 : Long.parseLong(first.substring(digitsStart));
            for (int plusIndex = firstPlus; plusIndex >= 0; ) {
                int nextPlus = group.indexOf('+', plusIndex + 1);
                String run = group.substring(plusIndex + 1, nextPlus < 0 ? group.length() : nextPlus);
                int star = run.indexOf('*');
                int step = Integer.parseUnsignedInt(star < 0 ? run : run.substring(0, star));
                int count = star < 0 ? 1 : Integer.parseUnsignedInt(run.substring(star + 1));
                if (step <= 0 || count <= 0 || names.size() + (long) count > MAX_NAMES) {
                    throw new IllegalArgumentException("names: a run that makes no sense: +" + run);
                }
                for (int i = 0; i < count; i++) {
                    number += step;
                    String numberText = Long.toString(number);
                    if (numberText.length() > width) {
                        throw new IllegalArgumentException("names: a run beyond its digits: +" + run);
                    }
                    names.add(first.substring(0, digitsStart) + "0".repeat(width - numberText.length()) + numberText);
                }
                plusIndex = nextPlus;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "names: not a group: " + (group.length() <= 80 ? group : group.substring(0, 80) + "..."), e);
        }
        return names;
    }
}
