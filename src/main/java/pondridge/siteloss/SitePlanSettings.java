package pondridge.siteloss;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pondridge.settings.Section;
import pondridge.settings.SettingsFile;
import pondridge.siteloss.Topology.Site;
import pondridge.siteloss.Topology.SiteLink;
import pondridge.siteloss.Topology.TrafficClass;

/** Reads {@code [site_plan]}; a {@link pondridge.settings.SettingsException} names the key of an invalid setting. */
public final class SitePlanSettings {
    private static final double NANOS_PER_SECOND = 1e9;

    private SitePlanSettings() {}

    /** Reads a file that contains only a site plan. */
    public static Topology read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        Topology topology = of(file);
        file.rejectUnknownKeys();
        return topology;
    }

    /** Reads the section from a file that may contain others. */
    public static Topology of(SettingsFile file) {
        Section plan = file.section("site_plan");
        double reserve = plan.decimal("reserve", 0.05, 0, 1);
        List<TrafficClass> classes = new ArrayList<>();
        plan.subsection("classes").subsections().forEach((name, section) -> classes.add(trafficClass(name, section)));
        List<Site> sites = new ArrayList<>();
        plan.subsection("sites").subsections().forEach((name, section) -> sites.add(site(name, section, classes)));
        if (classes.isEmpty() || sites.size() < 2) {
            throw plan.invalid("sites", "expected two sites or more, and [site_plan.classes] one class or more");
        }
        List<SiteLink> links = new ArrayList<>();
        plan.subsection("ways").subsections().forEach((from, section) -> section.subsections()
                .forEach((to, link) -> {
                    for (String siteName : List.of(from, to)) {
                        if (sites.stream().noneMatch(site -> site.name().equals(siteName))) {
                            throw link.invalid(
                                    "round_trip", "the link's end is not a site of [site_plan.sites]: " + siteName);
                        }
                    }
                    if (from.equals(to)) {
                        throw link.invalid("round_trip", "the link is from a site to itself");
                    }
                    links.add(new SiteLink(
                            from,
                            to,
                            link.decimal("per_second", 1e6, 0, 1e6),
                            link.durationNanos("round_trip", "1ms", "0ms", "10s") / NANOS_PER_SECOND));
                }));
        return new Topology(sites, classes, links, reserve);
    }

    /** Formats the section so that {@link #of} reads the same topology; names must be bare keys of TOML. */
    public static String toToml(Topology topology) {
        StringBuilder text = new StringBuilder("[site_plan]\nreserve = " + topology.reserveFraction() + '\n');
        topology.classes().forEach(trafficClass -> text.append("[site_plan.classes.")
                .append(trafficClass.name())
                .append("]\nworth = ")
                .append(trafficClass.utility())
                .append("\nwork = \"")
                .append(micros(trafficClass.workSeconds()))
                .append("us\"\naim = \"")
                .append(micros(trafficClass.sloSeconds()))
                .append("us\"\n"));
        topology.sites().forEach(site -> {
            text.append("[site_plan.sites.")
                    .append(site.name())
                    .append("]\ncapacity = ")
                    .append(site.capacity())
                    .append("\n[site_plan.sites.")
                    .append(site.name())
                    .append(".asked]\n");
            site.demandPerSecond()
                    .forEach((trafficClass, rate) ->
                            text.append(trafficClass).append(" = ").append(rate).append('\n'));
        });
        topology.links().forEach(link -> text.append("[site_plan.ways.")
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

    private static TrafficClass trafficClass(String name, Section section) {
        return new TrafficClass(
                name,
                section.decimal("worth", 1, 0, 1e6),
                section.durationNanos("work", "-", "1us", "1min") / NANOS_PER_SECOND,
                section.durationNanos("aim", "-", "1ms", "1min") / NANOS_PER_SECOND);
    }

    private static Site site(String name, Section section, List<TrafficClass> classes) {
        Map<String, Double> demand = new HashMap<>();
        Section rates = section.subsection("asked");
        classes.forEach(trafficClass -> demand.put(trafficClass.name(), rates.decimal(trafficClass.name(), 0, 0, 1e6)));
        double capacity = section.decimal("capacity", -1, 0, 1e6);
        if (capacity < 0) {
            throw section.invalid("capacity", "expected how many requests its servers can run at a time");
        }
        return new Site(name, capacity, demand);
    }
}
