package pondridge.siteloss;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What a plan rests on: sites with what they can do and are asked, classes with their worth and work, and
 * the ways between
 * sites. Figures are the operators'; how wrong they may be {@link LossPlan#slack} says.
 *
 * @param sites at least one, each name once
 * @param classes at least one, each name once
 * @param ways a pair of sites without one can't send to one another
 * @param reserve part of a site's capacity that no other site's load may take, from 0 to 1
 */
public record Topology(List<Site> sites, List<Kind> classes, List<Way> ways, double reserve) {
    /**
     * A site.
     *
     * @param capacity seconds of work a second, over all its servers: as many as they have threads
     * @param asked requests a second by class, of its own clients; a class that is not there is not asked
     */
    public record Site(String name, double capacity, Map<String, Double> asked) {
        public Site {
            require(!name.isEmpty() && capacity >= 0 && Double.isFinite(capacity), "site " + name);
            asked = Map.copyOf(asked);
            require(
                    asked.values().stream().allMatch(rate -> rate >= 0 && Double.isFinite(rate)),
                    "site " + name + ": requests a second");
        }
    }

    /**
     * A class of requests.
     *
     * @param worth of an answer in time; what is worth less is refused first
     * @param work seconds that a request takes a server's thread
     * @param aim seconds within which an answer is of worth
     */
    public record Kind(String name, double worth, double work, double aim) {
        public Kind {
            require(
                    !name.isEmpty() && worth >= 0 && work > 0 && aim > 0 && Double.isFinite(worth + work + aim),
                    "class " + name);
        }
    }

    /**
     * The way from one site to another, one direction.
     *
     * @param perSecond requests a second that it takes, whatever their class
     * @param roundTrip seconds there and back
     */
    public record Way(String from, String to, double perSecond, double roundTrip) {
        public Way {
            require(
                    perSecond >= 0
                            && roundTrip >= 0
                            && Double.isFinite(perSecond + roundTrip)
                            && !Objects.equals(from, to),
                    "way from " + from + " to " + to);
        }
    }

    public Topology {
        sites = List.copyOf(sites);
        classes = List.copyOf(classes);
        ways = List.copyOf(ways);
        require(reserve >= 0 && reserve <= 1, "reserve");
        List<String> names = sites.stream().map(Site::name).toList();
        List<String> kinds = classes.stream().map(Kind::name).toList();
        require(!sites.isEmpty() && names.stream().distinct().count() == names.size(), "sites");
        require(!classes.isEmpty() && kinds.stream().distinct().count() == kinds.size(), "classes");
        require(
                ways.stream().allMatch(way -> names.contains(way.from) && names.contains(way.to)),
                "ways: unknown site");
        require(
                ways.stream().map(way -> List.of(way.from, way.to)).distinct().count() == ways.size(),
                "ways: a pair twice");
        require(sites.stream().allMatch(site -> kinds.containsAll(site.asked.keySet())), "sites: unknown class");
    }

    /** What a site's own clients ask, in seconds of work a second, of classes worth at least so much. */
    double ownWork(Site site, double leastWorth) {
        return classes.stream()
                .filter(kind -> kind.worth >= leastWorth)
                .mapToDouble(kind -> site.asked.getOrDefault(kind.name, 0.0) * kind.work)
                .sum();
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException("plan makes no sense: " + what);
        }
    }
}
