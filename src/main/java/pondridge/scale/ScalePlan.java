package pondridge.scale;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import pondridge.control.ControlSettings;
import pondridge.settings.Section;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;

/**
 * What a scale run does: the sizes it goes through, and the cases that it plays at each. Times in
 * nanoseconds.
 *
 * @param name of the file, for what is said of it
 * @param sizes how many hollow sidecars there are, one size after the other
 * @param entries lines of the list
 * @param zones over which they are spread
 * @param loops threads that the hollow sidecars share
 * @param pushed lists are pushed to an agent, instead of asked for
 * @param askWithin the rule by which sidecars ask anew, where they ask
 * @param sidecars real ones beside the hollow ones
 * @param processes whether those are processes of the shipped program, or run here
 * @param perSecond requests on the real ones, all together
 * @param control how lists travel by way of relays; null for the platform's discovery
 * @param relays how many there are, and {@code services} over which the lines are spread, of which a hollow
 *     sidecar follows {@code follows}
 * @param limit after so long a case has failed whose change is not known everywhere
 */
public record ScalePlan(
        String name,
        long seed,
        List<Integer> sizes,
        int entries,
        int zones,
        int loops,
        boolean pushed,
        long askWithin,
        int sidecars,
        boolean processes,
        int perSecond,
        long limit,
        ControlSettings control,
        int relays,
        int services,
        int follows,
        List<Step> cases) {
    /**
     * The most lines that all hollow sidecars of a run hold together: about a kilobyte each in the worst
     * case.
     */
    static final long MOST_LINES = 4_000_000;

    private static final int SPARE_DESCRIPTORS = 400;
    /** Listing, upstreams and both ends of a client's connection. */
    private static final int DESCRIPTORS_A_SIDECAR = 60;

    private static final long MS = 1_000_000;

    /** What a case does. */
    public enum Act {
        /** Nothing, for a time. */
        QUIET,
        /** Single lines change, evenly spread over a time. */
        CHURN,
        /** All lines of one zone go, one after the other over a time, or in one change. */
        ZONE_GONE,
        /** All hollow sidecars begin anew, at once. */
        JOIN,
        /** The source is gone for a time: connections end and new ones are refused. */
        KILLED,
        /** The source is gone for a time, and relays are not. */
        SOURCE_KILLED,
        /** The source says nothing for a time, on connections that stay open. */
        SILENT,
        /** A part of the hollow sidecars can't reach the source for a time. */
        REGION_CUT;

        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * One case.
     *
     * @param length how long it lasts, or over how long its changes are spread
     * @param perSecond changes a second, of {@link Act#CHURN}
     * @param folded all changes in one
     * @param before the one change of an outage comes right before it, and not at its end
     * @param part of the hollow sidecars, of {@link Act#REGION_CUT}
     */
    public record Step(
            String name, Act act, long length, double perSecond, boolean folded, boolean before, double part) {
        /** Whether it is about an outage, whose end is what counts. */
        public boolean outage() {
            return act == Act.KILLED || act == Act.SOURCE_KILLED || act == Act.SILENT || act == Act.REGION_CUT;
        }
    }

    /** Reads a whole file; any mistake is a {@link SettingsException}. */
    public static ScalePlan read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        ScalePlan read = of(file);
        file.finish();
        return read;
    }

    /** Reads a file that may hold more. */
    static ScalePlan of(SettingsFile file) {
        Section scale = file.section("scale");
        List<Step> cases = new ArrayList<>();
        file.section("cases").sections().forEach((name, section) -> cases.add(step(name, section)));
        if (cases.isEmpty()) {
            throw new SettingsException(file.name(), "cases", "expected at least one section [cases.NAME]");
        }
        boolean control =
                scale.word("way", "discovery", List.of("discovery", "control")).equals("control");
        int services = control ? scale.number("services", 1, 1, 4_096) : 1;
        ScalePlan plan = new ScalePlan(
                file.name(),
                scale.number("seed", 1, 0, Integer.MAX_VALUE),
                List.copyOf(scale.numbers("sizes", List.of(100, 300, 1_000), 1, 10_000)),
                scale.number("entries", 60, 1, 20_000),
                scale.number("zones", 3, 1, 100),
                scale.number("loops", 2, 1, 8),
                scale.word("lists", "asked", List.of("asked", "pushed")).equals("pushed"),
                scale.time("ask_within", "10s", "100ms", "10min"),
                scale.number("sidecars", control ? 0 : 2, 0, 20),
                scale.word("hosting", "process", List.of("process", "loop")).equals("process"),
                scale.number("per_second", 40, 0, 1_000),
                scale.time("limit", "60s", "1s", "10min"),
                control ? ControlSettings.of(file, Path.of("")) : null,
                control ? scale.number("relays", 2, 1, 16) : 0,
                services,
                control ? scale.number("follows", services, 1, services) : 1,
                List.copyOf(cases));
        if (plan.zones > plan.entries) {
            throw scale.contradiction("zones", "expected no more than entries, " + plan.entries);
        }
        if (plan.services > plan.entries) {
            throw scale.contradiction("services", "expected no more than entries, " + plan.entries);
        }
        if (control && plan.sidecars > 0) {
            throw scale.contradiction("sidecars", "expected 0 with way control: real ones follow discovery");
        }
        if ((long) plan.largest() * plan.entries * plan.follows / plan.services > MOST_LINES) {
            throw scale.contradiction(
                    "entries",
                    "expected at most " + MOST_LINES / plan.largest() + " with " + plan.largest()
                            + " hollow sidecars: all of them hold the list");
        }
        return plan;
    }

    private static Step step(String name, Section section) {
        section.text("do", null);
        String word = section.word(
                "do", null, Arrays.stream(Act.values()).map(Act::word).toList());
        Act act = Act.valueOf(word.replace('-', '_').toUpperCase(Locale.ROOT));
        boolean folded =
                section.word("told", "singly", List.of("singly", "folded")).equals("folded");
        Step step = new Step(
                name,
                act,
                section.time("for", act == Act.JOIN ? "0ms" : "1s", "0ms", "10min"),
                section.fraction("per_second", 1, 0.01, 1_000),
                folded,
                section.word("change", "after", List.of("after", "before")).equals("before"),
                section.fraction("part", 0.3, 0.01, 1));
        if (act == Act.CHURN && Schedule.count(step) == 0) {
            throw section.contradiction("for", "expected at least one change: for times per_second is less");
        }
        if (act == Act.SILENT && step.length < 5_000 * MS) {
            throw section.contradiction("for", "expected 5s or more: a shorter silence is not noticed");
        }
        if (step.before && (!step.outage() || act == Act.SOURCE_KILLED)) {
            throw section.contradiction("change", "expected with an outage, but not the source's");
        }
        if (folded && act != Act.ZONE_GONE) {
            throw section.contradiction("told", "expected with zone-gone alone");
        }
        return step;
    }

    /** The most hollow sidecars at a time. */
    public int largest() {
        return sizes.stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Which service a line belongs to. */
    int service(int line) {
        return (int) ((long) line * services / entries);
    }

    /** Whether a hollow sidecar follows a service: so many in a row, from where the one before ended. */
    boolean follows(int follower, int service) {
        return Math.floorMod(service - (long) follower * follows, services) < follows;
    }

    /** How many servers there are: one a line, as far as that goes. */
    int servers() {
        return sidecars == 0 || perSecond == 0 ? 0 : Math.min(entries, 1_000);
    }

    /**
     * Holds the plan against what this process may open.
     *
     * @throws SettingsException where it needs more
     */
    void fits(long descriptors) {
        // Both ends of a watch are in this process, and so are the servers and the clients.
        long needs = 2L * largest() + servers() + (long) DESCRIPTORS_A_SIDECAR * sidecars + SPARE_DESCRIPTORS;
        if (descriptors > 0 && needs > descriptors) {
            throw new SettingsException(
                    name,
                    "scale.sizes",
                    "needs " + needs + " descriptors, this process may have " + descriptors + " (ulimit -n)");
        }
    }
}
