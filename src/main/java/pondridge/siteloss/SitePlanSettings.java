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

/** Reads {@code [site_plan]}; a mistake is a {@link pondridge.settings.SettingsException} with its key. */
public final class SitePlanSettings {
    private static final double SECOND = 1e9;

    private SitePlanSettings() {}

    /** A file that holds a plan and nothing else. */
    public static Topology read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        Topology read = of(file);
        file.finish();
        return read;
    }

    /** The section of a file that may hold others. */
    public static Topology of(SettingsFile file) {
        Section plan = file.section("site_plan");
        double reserve = plan.fraction("reserve", 0.05, 0, 1);
        List<Kind> classes = new ArrayList<>();
        plan.section("classes").sections().forEach((name, section) -> classes.add(kind(name, section)));
        List<Site> sites = new ArrayList<>();
        plan.section("sites").sections().forEach((name, section) -> sites.add(site(name, section, classes)));
        if (classes.isEmpty() || sites.size() < 2) {
            throw plan.contradiction("sites", "expected two sites or more, and [site_plan.classes] one class or more");
        }
        List<Way> ways = new ArrayList<>();
        plan.section("ways").sections().forEach((from, section) -> section.sections()
                .forEach((to, way) -> {
                    for (String each : List.of(from, to)) {
                        if (sites.stream().noneMatch(site -> site.name().equals(each))) {
                            throw way.contradiction(
                                    "round_trip", "the way's end is no site of [site_plan.sites]: " + each);
                        }
                    }
                    if (from.equals(to)) {
                        throw way.contradiction("round_trip", "a way from a site to itself");
                    }
                    ways.add(new Way(
                            from,
                            to,
                            way.fraction("per_second", 1e6, 0, 1e6),
                            way.time("round_trip", "1ms", "0ms", "10s") / SECOND));
                }));
        return new Topology(sites, classes, ways, reserve);
    }

    /** The section as text, which {@link #of} reads as the same topology; names must be bare keys of TOML. */
    public static String text(Topology topology) {
        StringBuilder text = new StringBuilder("[site_plan]\nreserve = " + topology.reserve() + '\n');
        topology.classes().forEach(kind -> text.append("[site_plan.classes.")
                .append(kind.name())
                .append("]\nworth = ")
                .append(kind.worth())
                .append("\nwork = \"")
                .append(micros(kind.work()))
                .append("us\"\naim = \"")
                .append(micros(kind.aim()))
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
                    .forEach((kind, rate) ->
                            text.append(kind).append(" = ").append(rate).append('\n'));
        });
        topology.ways().forEach(way -> text.append("[site_plan.ways.")
                .append(way.from())
                .append('.')
                .append(way.to())
                .append("]\nper_second = ")
                .append(way.perSecond())
                .append("\nround_trip = \"")
                .append(micros(way.roundTrip()))
                .append("us\"\n"));
        return text.toString();
    }

    private static long micros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    private static Kind kind(String name, Section section) {
        return new Kind(
                name,
                section.fraction("worth", 1, 0, 1e6),
                section.time("work", "-", "1us", "1min") / SECOND,
                section.time("aim", "-", "1ms", "1min") / SECOND);
    }

    private static Site site(String name, Section section, List<Kind> classes) {
        Map<String, Double> asked = new HashMap<>();
        Section rates = section.section("asked");
        classes.forEach(kind -> asked.put(kind.name(), rates.fraction(kind.name(), 0, 0, 1e6)));
        double capacity = section.fraction("capacity", -1, 0, 1e6);
        if (capacity < 0) {
            throw section.contradiction("capacity", "expected how many requests its servers can run at a time");
        }
        return new Site(name, capacity, asked);
    }
}
