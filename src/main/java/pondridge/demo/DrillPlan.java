package pondridge.demo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import pondridge.settings.Section;
import pondridge.settings.SettingsFile;
import pondridge.siteloss.SitePlanSettings;
import pondridge.siteloss.Topology;
import pondridge.standin.OrderClass;

/**
 * A scripted drill: sites, what their clients ask, and what goes wrong when. Times in nanoseconds, those of
 * steps from when the load that counts begins.
 *
 * @param length how long load comes
 * @param warmUp how long load comes before that, which is not counted
 * @param patience how long clients wait for an answer
 * @param retries how often they ask again what was refused
 * @param delay of links between sites, one way
 * @param topology what sites can do and are asked; what gateways are told of it is {@code told}
 * @param told null where gateways are told no plan
 * @param gateway further settings of all gateways, in TOML
 * @param sites how each is built, by its name
 * @param steps in the order of their times
 */
public record DrillPlan(
        long seed,
        long length,
        long warmUp,
        long patience,
        int retries,
        long delay,
        Topology topology,
        Map<String, Topology> told,
        String gateway,
        Map<String, Built> sites,
        List<Step> steps) {
    private static final int MOST_BASES = 4;
    private static final List<String> SITE_PLAN = List.of("yes", "no");

    /** A site: its servers with their threads, and its gateways. */
    public record Built(int servers, int threads, int gateways) {}

    /** What a step does. */
    public enum Act {
        /** The site's servers can't be reached, or can again as they were. */
        CUT,
        HEAL,
        /** The wires to its servers are open and silent, or flow again. */
        STALL,
        FLOW,
        /** All of it is killed, servers and gateways; or starts again from nothing, its servers cold. */
        LOSE,
        RETURN,
        /** One of its gateways, or all, are killed; or start again. */
        KILL,
        START,
        /** One of its gateways, or all, stand still for so long. */
        STOP,
        /** No link between it and another site, or any other, works: resets at once, or silence; or again. */
        CUT_LINK,
        STALL_LINK,
        HEAL_LINK,
        /** Only what goes from it to another site is lost. */
        ONE_WAY,
        /** A part of its servers is nine times slower, or all are well again. */
        SLOW,
        WELL,
        /** A part of its servers, or all, can be reached again, but has been started anew and is cold. */
        COLD,
        /** Its clients ask so many times as much for so long. */
        SURGE;

        static Act named(String word) {
            return valueOf(word.replace('-', '_').toUpperCase(Locale.ROOT));
        }

        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * One step.
     *
     * @param other the other end of a link; empty for all
     * @param gateway by its number; -1 for all
     * @param part of the servers, or how many times as much
     */
    public record Step(
            String name, long at, Act act, String site, String other, int gateway, double part, long length) {
        @Override
        public String toString() {
            return act.word()
                    + ' '
                    + site
                    + (other.isEmpty() ? "" : " and " + other)
                    + (gateway < 0 ? "" : ", gateway " + gateway)
                    + (length == 0 ? "" : String.format(Locale.ROOT, " for %.1f s", length / 1e9));
        }
    }

    /**
     * Reads a whole file; any mistake is a {@link pondridge.settings.SettingsException}. With {@code base} in
     * {@code [drill]} it stands over that file, and only its own steps count.
     */
    public static DrillPlan read(Path path) {
        SettingsFile file = withBase(path, MOST_BASES);
        DrillPlan read = of(file);
        file.finish();
        return read;
    }

    /** Reads a file that may hold more. */
    static DrillPlan of(SettingsFile file) {
        Section drill = file.section("drill");
        drill.text("base", "-");
        Topology topology = SitePlanSettings.of(file);
        topology.classes().stream()
                .map(Topology.Kind::name)
                .filter(name ->
                        OrderClass.USUAL.stream().noneMatch(each -> each.name().equals(name)))
                .findFirst()
                .ifPresent(name -> {
                    throw drill.contradiction(
                            "site_plan",
                            "the stand-in servers know no class " + name + ", only "
                                    + OrderClass.USUAL.stream()
                                            .map(OrderClass::name)
                                            .collect(Collectors.joining(", ")));
                });
        List<String> names = topology.sites().stream().map(Topology.Site::name).toList();
        boolean plan = drill.word("site_plan", "yes", SITE_PLAN).equals("yes");
        Map<String, Built> sites = new LinkedHashMap<>();
        Map<String, Topology> told = new LinkedHashMap<>();
        Section built = file.section("sites");
        for (String name : names) {
            Section site = built.section(name);
            sites.put(
                    name,
                    new Built(
                            site.number("servers", 4, 1, 64),
                            site.number("threads", 2, 1, 64),
                            site.number("gateways", 2, 1, 16)));
            double wrong = site.fraction("told_capacity", 1, 0.1, 10);
            if (plan) {
                told.put(
                        name,
                        new Topology(
                                topology.sites().stream()
                                        .map(each ->
                                                new Topology.Site(each.name(), each.capacity() * wrong, each.asked()))
                                        .toList(),
                                topology.classes(),
                                topology.ways(),
                                topology.reserve()));
            }
        }
        List<Step> steps = new ArrayList<>();
        file.section("steps").sections().forEach((name, section) -> steps.add(step(name, section, sites)));
        steps.sort(Comparator.comparingLong(Step::at));
        return new DrillPlan(
                drill.number("seed", 1, 0, Integer.MAX_VALUE),
                drill.time("length", "20s", "1s", "60min"),
                drill.time("warm_up", "3s", "0ms", "60s"),
                drill.time("wait", "2s", "50ms", "60s"),
                drill.number("retries", 1, 0, 10),
                drill.time("delay", "1ms", "0ms", "1s"),
                topology,
                told,
                drill.text("gateway", " "),
                sites,
                steps);
    }

    private static SettingsFile withBase(Path path, int most) {
        SettingsFile file = SettingsFile.read(path);
        Section drill = SettingsFile.read(path).section("drill");
        String base = drill.text("base", "-");
        if (base.equals("-")) {
            return file;
        }
        if (most == 0) {
            throw drill.contradiction("base", "too many files upon one another");
        }
        return file.over(withBase(path.resolveSibling(base), most - 1), Set.of("steps"));
    }

    private static String required(Section section, String key, List<String> allowed) {
        section.text(key, null);
        return section.word(key, null, allowed);
    }

    private static Step step(String name, Section section, Map<String, Built> sites) {
        List<String> names = List.copyOf(sites.keySet());
        Act act = Act.named(required(
                section, "do", Arrays.stream(Act.values()).map(Act::word).toList()));
        String site = required(section, "site", names);
        String other = section.word("other", "", names);
        int gateway = section.number("gateway", -1, -1, sites.get(site).gateways - 1);
        long length = section.time("for", "0ms", "0ms", "60min");
        if (length == 0 && (act == Act.STOP || act == Act.SURGE)) {
            throw section.contradiction("for", "expected how long it lasts");
        }
        if (site.equals(other)) {
            throw section.contradiction("other", "a link from a site to itself");
        }
        return new Step(
                name,
                section.time("at", "-", "0ms", "60min"),
                act,
                site,
                other,
                gateway,
                section.fraction("part", act == Act.SURGE ? 2 : act == Act.COLD ? 1 : 0.25, 0, 100),
                length);
    }
}
