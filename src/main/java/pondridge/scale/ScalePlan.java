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
 * Plan of a scale run: the fleet sizes, and the cases that are run at each size.
 *
 * @param name name of the file, for error messages
 * @param sizes numbers of hollow sidecars, in the order of the run
 * @param entries number of entries in the list
 * @param zones number of zones over which the entries are spread
 * @param followerLoops event loops that the hollow sidecars share
 * @param pushed whether lists are pushed to an agent rather than requested
 * @param refetchWithinNanos value of the rule {@code askWithin}, for sidecars that request the list
 * @param realSidecars number of real sidecars beside the hollow ones
 * @param separateProcesses whether the real sidecars are processes of the shipped program, rather than event loops
 *     of this process
 * @param requestsPerSecond request rate on all real sidecars together
 * @param propagationTimeoutNanos a case fails if its last change has not reached all followers after this time
 * @param control settings of the distribution through relays; null for the platform's discovery
 * @param relays number of relays
 * @param services number of services over which the entries are spread
 * @param servicesPerFollower number of services that each hollow sidecar follows
 */
public record ScalePlan(
        String name,
        long seed,
        List<Integer> sizes,
        int entries,
        int zones,
        int followerLoops,
        boolean pushed,
        long refetchWithinNanos,
        int realSidecars,
        boolean separateProcesses,
        int requestsPerSecond,
        long propagationTimeoutNanos,
        ControlSettings control,
        int relays,
        int services,
        int servicesPerFollower,
        List<Step> cases) {
    /** Most entries that all hollow sidecars of a run hold together; an entry takes up to about 1 KB of heap. */
    static final long MAX_TOTAL_ENTRIES = 4_000_000;

    private static final int SPARE_DESCRIPTORS = 400;
    /** Connections to discovery and to upstreams, and both ends of client connections. */
    private static final int DESCRIPTORS_PER_REAL_SIDECAR = 60;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Action of a case. */
    public enum Act {
        /** No change. */
        QUIET,
        /** Single entries change, evenly spread over the duration. */
        CHURN,
        /** All entries of one zone are removed, one after the other over the duration, or in a single change. */
        ZONE_GONE,
        /** All hollow sidecars restart at once. */
        JOIN,
        /** The source, or one relay, is down for the duration: connections close and new ones are refused. */
        KILLED,
        /** The source is down for the duration, the relays are not. */
        SOURCE_KILLED,
        /** The source, or one relay, sends nothing for the duration; connections stay open. */
        SILENT,
        /** A fraction of the hollow sidecars can't reach the source for the duration. */
        REGION_CUT;

        String configName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * One case.
     *
     * @param durationNanos duration, over which changes are spread
     * @param changesPerSecond rate of changes, for {@link Act#CHURN}
     * @param singleChange whether all changes are published as one, for {@link Act#ZONE_GONE}
     * @param changeBefore whether the one change of an outage is published right before it, rather than at its end
     * @param regionFraction fraction of the hollow sidecars that is cut off, for {@link Act#REGION_CUT}
     */
    public record Step(
            String name,
            Act act,
            long durationNanos,
            double changesPerSecond,
            boolean singleChange,
            boolean changeBefore,
            double regionFraction) {
        /** Returns whether the case is an outage, for which the recovery is measured. */
        public boolean outage() {
            return act == Act.KILLED || act == Act.SOURCE_KILLED || act == Act.SILENT || act == Act.REGION_CUT;
        }
    }

    /** Reads a file; throws {@link SettingsException} on any error in it. */
    public static ScalePlan read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        ScalePlan plan = of(file);
        file.rejectUnknownKeys();
        return plan;
    }

    /** Reads the plan from a file that may contain further sections. */
    static ScalePlan of(SettingsFile file) {
        Section scale = file.section("scale");
        List<Step> cases = new ArrayList<>();
        file.section("cases").subsections().forEach((name, section) -> cases.add(step(name, section)));
        if (cases.isEmpty()) {
            throw new SettingsException(file.name(), "cases", "expected at least one section [cases.NAME]");
        }
        boolean control = scale.choice("way", "discovery", List.of("discovery", "control"))
                .equals("control");
        int services = control ? scale.number("services", 1, 1, 4_096) : 1;
        ScalePlan plan = new ScalePlan(
                file.name(),
                scale.number("seed", 1, 0, Integer.MAX_VALUE),
                List.copyOf(scale.numbers("sizes", List.of(100, 300, 1_000), 1, 10_000)),
                scale.number("entries", 60, 1, 20_000),
                scale.number("zones", 3, 1, 100),
                scale.number("loops", 2, 1, 8),
                scale.choice("lists", "asked", List.of("asked", "pushed")).equals("pushed"),
                scale.durationNanos("ask_within", "10s", "100ms", "10min"),
                scale.number("sidecars", control ? 0 : 2, 0, 20),
                scale.choice("hosting", "process", List.of("process", "loop")).equals("process"),
                scale.number("per_second", 40, 0, 1_000),
                scale.durationNanos("limit", "60s", "1s", "10min"),
                control ? ControlSettings.of(file, Path.of("")) : null,
                control ? scale.number("relays", 2, 1, 16) : 0,
                services,
                control ? scale.number("follows", services, 1, services) : 1,
                List.copyOf(cases));
        if (plan.zones > plan.entries) {
            throw scale.invalid("zones", "expected no more than entries, " + plan.entries);
        }
        if (plan.services > plan.entries) {
            throw scale.invalid("services", "expected no more than entries, " + plan.entries);
        }
        if (control && plan.realSidecars > 0) {
            throw scale.invalid("sidecars", "expected 0 with way control: real ones follow discovery");
        }
        if ((long) plan.largestSize() * plan.entries * plan.servicesPerFollower / plan.services > MAX_TOTAL_ENTRIES) {
            throw scale.invalid(
                    "entries",
                    "expected at most " + MAX_TOTAL_ENTRIES / plan.largestSize() + " with " + plan.largestSize()
                            + " hollow sidecars: all of them hold the list");
        }
        return plan;
    }

    private static Step step(String name, Section section) {
        section.text("do", null);
        String action = section.choice(
                "do", null, Arrays.stream(Act.values()).map(Act::configName).toList());
        Act act = Act.valueOf(action.replace('-', '_').toUpperCase(Locale.ROOT));
        boolean singleChange =
                section.choice("told", "singly", List.of("singly", "folded")).equals("folded");
        Step step = new Step(
                name,
                act,
                section.durationNanos("for", act == Act.JOIN ? "0ms" : "1s", "0ms", "10min"),
                section.decimal("per_second", 1, 0.01, 1_000),
                singleChange,
                section.choice("change", "after", List.of("after", "before")).equals("before"),
                section.decimal("part", 0.3, 0.01, 1));
        if (act == Act.CHURN && Schedule.churnCount(step) == 0) {
            throw section.invalid("for", "expected at least one change: for times per_second is less");
        }
        if (act == Act.SILENT && step.durationNanos < 5_000 * NANOS_PER_MILLI) {
            throw section.invalid("for", "expected 5s or more: a shorter silence is not noticed");
        }
        if (step.changeBefore && (!step.outage() || act == Act.SOURCE_KILLED)) {
            throw section.invalid("change", "expected with an outage, but not the source's");
        }
        if (singleChange && act != Act.ZONE_GONE) {
            throw section.invalid("told", "expected with zone-gone alone");
        }
        return step;
    }

    /** Returns the largest number of hollow sidecars. */
    public int largestSize() {
        return sizes.stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Returns the service to which an entry belongs. */
    int serviceOf(int entry) {
        return (int) ((long) entry * services / entries);
    }

    /** Returns whether a hollow sidecar follows a service. Its services start where those of the previous one end. */
    boolean followsService(int follower, int service) {
        return Math.floorMod(service - (long) follower * servicesPerFollower, services) < servicesPerFollower;
    }

    /** Returns the number of servers: one per entry, up to 1,000; none without load on real sidecars. */
    int serverCount() {
        return realSidecars == 0 || requestsPerSecond == 0 ? 0 : Math.min(entries, 1_000);
    }

    /**
     * Checks that this process may open enough file descriptors for the plan.
     *
     * @param maxDescriptors limit of this process; 0 if it is unknown
     * @throws SettingsException if the plan needs more
     */
    void checkDescriptors(long maxDescriptors) {
        // Both ends of each watch, the servers and the clients are in this process.
        long needed = 2L * largestSize()
                + serverCount()
                + (long) DESCRIPTORS_PER_REAL_SIDECAR * realSidecars
                + SPARE_DESCRIPTORS;
        if (maxDescriptors > 0 && needed > maxDescriptors) {
            throw new SettingsException(
                    name,
                    "scale.sizes",
                    "needs " + needed + " descriptors, this process may have " + maxDescriptors + " (ulimit -n)");
        }
    }
}
