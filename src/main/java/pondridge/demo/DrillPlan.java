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
import pondridge.standin.StandinRequestClass;

/**
 * A scripted drill: sites, the load of their clients, and faults at given times. The times of steps count from
 * the end of the warm-up.
 *
 * @param lengthNanos duration of the load that counts
 * @param warmUpNanos duration of the load before it, which is not counted
 * @param clientTimeoutNanos how long clients wait for a response
 * @param retries how often clients retry a rejected request
 * @param linkDelayNanos one-way delay of links between sites
 * @param topology actual capacity and load of the sites
 * @param gatewayTopologies the topology that is configured at the gateways of each site, by its name; empty if
 *     gateways get no site plan
 * @param gatewayToml further settings of all gateways, in TOML
 * @param sites servers and gateways of each site, by its name
 * @param steps in the order of their times
 */
public record DrillPlan(
        long seed,
        long lengthNanos,
        long warmUpNanos,
        long clientTimeoutNanos,
        int retries,
        long linkDelayNanos,
        Topology topology,
        Map<String, Topology> gatewayTopologies,
        String gatewayToml,
        Map<String, SiteServers> sites,
        List<Step> steps) {
    private static final int MAX_BASE_DEPTH = 4;
    private static final List<String> SITE_PLAN = List.of("yes", "no");

    /** The number of servers of a site, of threads of each server, and of gateways. */
    public record SiteServers(int servers, int threads, int gateways) {}

    /** The action of a step. Drill files name it in lower case, with hyphens. */
    public enum Action {
        /** Makes the site's servers unreachable; makes them reachable again, unchanged. */
        CUT,
        HEAL,
        /** Stalls the links to its servers (open, but no bytes pass); lets them pass bytes again. */
        STALL,
        FLOW,
        /** Kills the whole site, servers and gateways; starts it again without state, its servers cold. */
        LOSE,
        RETURN,
        /** Kills one or all of its gateways; starts them again. */
        KILL,
        START,
        /** Pauses one or all of its gateways for a time. */
        STOP,
        /** Resets or stalls its links with one or all other sites, in both directions; restores them. */
        CUT_LINK,
        STALL_LINK,
        HEAL_LINK,
        /** Drops all bytes from this site to one or all other sites, in that direction only. */
        ONE_WAY,
        /** Makes a fraction of its servers nine times slower; restores all of them. */
        SLOW,
        WELL,
        /** Makes a fraction of its servers reachable again, restarted and cold. */
        COLD,
        /** Multiplies the request rate of its clients for a time. */
        SURGE;

        static Action ofSetting(String value) {
            return valueOf(value.replace('-', '_').toUpperCase(Locale.ROOT));
        }

        String settingValue() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * A step of the drill.
     *
     * @param atNanos time since the end of the warm-up
     * @param other the site at the other end of links; empty for all
     * @param gateway number of a gateway; -1 for all
     * @param amount the fraction of servers, or the factor of the request rate
     * @param lengthNanos how long a pause or a higher request rate lasts
     */
    public record Step(
            String name,
            long atNanos,
            Action action,
            String site,
            String other,
            int gateway,
            double amount,
            long lengthNanos) {
        @Override
        public String toString() {
            return action.settingValue()
                    + ' '
                    + site
                    + (other.isEmpty() ? "" : " and " + other)
                    + (gateway < 0 ? "" : ", gateway " + gateway)
                    + (lengthNanos == 0 ? "" : String.format(Locale.ROOT, " for %.1f s", lengthNanos / 1e9));
        }
    }

    /**
     * Reads a drill file; any error is a {@link pondridge.settings.SettingsException}. The values of a file with
     * {@code base} in {@code [drill]} override those of its base file; the steps of the base file are ignored.
     */
    public static DrillPlan read(Path path) {
        SettingsFile file = withBase(path, MAX_BASE_DEPTH);
        DrillPlan read = of(file);
        file.rejectUnknownKeys();
        return read;
    }

    /** Reads the settings of a drill from a file that may contain others. */
    static DrillPlan of(SettingsFile file) {
        Section drill = file.section("drill");
        drill.text("base", "-");
        Topology topology = SitePlanSettings.of(file);
        topology.classes().stream()
                .map(Topology.TrafficClass::name)
                .filter(name -> StandinRequestClass.DEFAULTS.stream()
                        .noneMatch(each -> each.name().equals(name)))
                .findFirst()
                .ifPresent(name -> {
                    throw drill.invalid(
                            "site_plan",
                            "unknown class " + name + "; the stand-in servers have "
                                    + StandinRequestClass.DEFAULTS.stream()
                                            .map(StandinRequestClass::name)
                                            .collect(Collectors.joining(", ")));
                });
        List<String> names = topology.sites().stream().map(Topology.Site::name).toList();
        boolean configuresPlan = drill.choice("site_plan", "yes", SITE_PLAN).equals("yes");
        Map<String, SiteServers> sites = new LinkedHashMap<>();
        Map<String, Topology> gatewayTopologies = new LinkedHashMap<>();
        Section siteSections = file.section("sites");
        for (String name : names) {
            Section site = siteSections.subsection(name);
            sites.put(
                    name,
                    new SiteServers(
                            site.number("servers", 4, 1, 64),
                            site.number("threads", 2, 1, 64),
                            site.number("gateways", 2, 1, 16)));
            double capacityFactor = site.decimal("told_capacity", 1, 0.1, 10);
            if (configuresPlan) {
                gatewayTopologies.put(
                        name,
                        new Topology(
                                topology.sites().stream()
                                        .map(each -> new Topology.Site(
                                                each.name(), each.capacity() * capacityFactor, each.demandPerSecond()))
                                        .toList(),
                                topology.classes(),
                                topology.links(),
                                topology.reserveFraction()));
            }
        }
        List<Step> steps = new ArrayList<>();
        file.section("steps").subsections().forEach((name, section) -> steps.add(step(name, section, sites)));
        steps.sort(Comparator.comparingLong(Step::atNanos));
        return new DrillPlan(
                drill.number("seed", 1, 0, Integer.MAX_VALUE),
                drill.durationNanos("length", "20s", "1s", "60min"),
                drill.durationNanos("warm_up", "3s", "0ms", "60s"),
                drill.durationNanos("wait", "2s", "50ms", "60s"),
                drill.number("retries", 1, 0, 10),
                drill.durationNanos("delay", "1ms", "0ms", "1s"),
                topology,
                gatewayTopologies,
                drill.text("gateway", " "),
                sites,
                steps);
    }

    private static SettingsFile withBase(Path path, int maxDepth) {
        SettingsFile file = SettingsFile.read(path);
        Section drill = SettingsFile.read(path).section("drill");
        String base = drill.text("base", "-");
        if (base.equals("-")) {
            return file;
        }
        if (maxDepth == 0) {
            throw drill.invalid("base", "more than " + MAX_BASE_DEPTH + " levels of base files");
        }
        return file.overlayOn(withBase(path.resolveSibling(base), maxDepth - 1), Set.of("steps"));
    }

    private static String required(Section section, String key, List<String> allowed) {
        section.text(key, null);
        return section.choice(key, null, allowed);
    }

    private static Step step(String name, Section section, Map<String, SiteServers> sites) {
        List<String> names = List.copyOf(sites.keySet());
        Action action = Action.ofSetting(required(
                section,
                "do",
                Arrays.stream(Action.values()).map(Action::settingValue).toList()));
        String site = required(section, "site", names);
        String other = section.choice("other", "", names);
        int gateway = section.number("gateway", -1, -1, sites.get(site).gateways - 1);
        long length = section.durationNanos("for", "0ms", "0ms", "60min");
        if (length == 0 && (action == Action.STOP || action == Action.SURGE)) {
            throw section.invalid("for", "required for stop and surge: how long it lasts");
        }
        if (site.equals(other)) {
            throw section.invalid("other", "the same as site; expected the site at the other end of the link");
        }
        return new Step(
                name,
                section.durationNanos("at", "-", "0ms", "60min"),
                action,
                site,
                other,
                gateway,
                section.decimal("part", action == Action.SURGE ? 2 : action == Action.COLD ? 1 : 0.25, 0, 100),
                length);
    }
}
