package pondridge.siteloss;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.settings.Section;
import pondridge.settings.SettingsFile;
import pondridge.siteloss.Topology.Kind;
import pondridge.siteloss.Topology.Site;
import pondridge.siteloss.Topology.Way;

/** Reads {@code [site_plan]}; a {@link pondridge.settings.SettingsException} names the key of an invalid setting. */
public final class SitePlanSettings {
    private static final double NANOS_PER_SECOND = 1e9;

    private SitePlanSettings() {}

    /** Reads a file that contains only a site plan. */
    public static Topology read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        Topology topology = of(file);
        file.finish();
        return topology;
    }

    /** Reads the section from a file that may contain others. */
    public static Topology of(SettingsFile file) {
        Section plan = file.section("site_plan");
        double reserve = plan.fraction("reserve", 0.05, 0, 1);
        List<Kind> classes = new ArrayList<>();
        plan.section("classes").sections().forEach((name, section) -> classes.add(trafficClass(name, section)));
        List<Site> sites = new ArrayList<>();
        plan.section("sites").sections().forEach((name, section) -> sites.add(site(name, section, classes)));
        if (classes.isEmpty() || sites.size() < 2) {
            throw plan.contradiction("sites", "expected two sites or more, and [site_plan.classes] one class or more");
        }
        List<Way> links = new ArrayList<>();
        plan.section("ways").sections().forEach((from, section) -> section.sections()
                .forEach((to, link) -> {
                    for (String siteName : List.of(from, to)) {
                        if (sites.stream().noneMatch(site -> site.name().equals(siteName))) {
                            throw link.contradiction(
                                    "round_trip", "the way's end is no site of [site_plan.sites]: " + siteName);
                        }
                    }
                    if (from.equals(to)) {
                        throw link.contradiction("round_trip", "a way from a site to itself");
                    }
                    links.add(new Way(
                            from,
                            to,
                            link.fraction("per_second", 1e6, 0, 1e6),
                            link.time("round_trip", "1ms", "0ms", "10s") / NANOS_PER_SECOND));
                }));
        return new Topology(sites, classes, links, reserve);
    }

    /** Formats the section so that {@link #of} reads the same topology; names must be bare keys of TOML. */
    public static String text(Topology topology) {
        StringBuilder text = new StringBuilder("[site_plan]\nreserve = " + topology.reserve() + '\n');
        topology.classes().forEach(trafficClass -> text.append("[site_plan.classes.")
                .append(trafficClass.name())
                .append("]\nworth = ")
                .append(trafficClass.worth())
                .append("\nwork = \"")
                .append(micros(trafficClass.work()))
                .append("us\"\naim = \"")
                .append(micros(trafficClass.aim()))
                .append("us\"\n"));
        topology.sites().forEach(site -> {
            text.append("[site_plan.sites.")
                    .append(site.name())
                    .append("]\ncapacity = ")
                    .append(site.capacity())
                    .append("\n[site_plan.sites.")
                    .append(site.name())
                    .append(".asked]\n");
            site.asked()
                    .forEach((trafficClass, rate) ->
                            text.append(trafficClass).append(" = ").append(rate).append('\n'));
        });
        topology.ways().forEach(link -> text.append("[site_plan.ways.")
                .append(link.from())
                .append('.')
                .append(link.to())
                .append("]\nper_second = ")
                .append(link.requestsPerSecond())
                .append("\nround_trip = \"")
                .append(micros(link.roundTripSeconds()))
                .append("us\"\n"));
        return text.toString();
    }

    private static long micros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    private static Kind trafficClass(String name, Section section) {
        return new Kind(
                name,
                section.fraction("worth", 1, 0, 1e6),
                section.time("work", "-", "1us", "1min") / NANOS_PER_SECOND,
                section.time("aim", "-", "1ms", "1min") / NANOS_PER_SECOND);
    }

    private static Site site(String name, Section section, List<Kind> classes) {
        Map<String, Double> demand = new HashMap<>();
        Section rates = section.section("asked");
        classes.forEach(
                trafficClass -> demand.put(trafficClass.name(), rates.fraction(trafficClass.name(), 0, 0, 1e6)));
        double capacity = section.fraction("capacity", -1, 0, 1e6);
        if (capacity < 0) {
            throw section.contradiction("capacity", "expected how many requests its servers can run at a time");
        }
        return new Site(name, capacity, demand);
    }
}
