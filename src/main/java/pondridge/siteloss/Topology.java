package pondridge.siteloss;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The input of a plan: sites with their capacity and demand, request classes with their utility and work, and the
 * network links between sites. The figures are provided by the operators; {@link LossPlan#slack} shows how far
 * they may be off.
 *
 * @param sites at least one, with distinct names
 * @param classes at least one, with distinct names
 * @param ways network links; a site can send only to sites to which it has a link
 * @param reserve fraction of a site's capacity that load of other sites may not use, from 0 to 1
 */
public record Topology(List<Site> sites, List<Kind> classes, List<Way> ways, double reserve) {
    /**
     * A site.
     *
     * @param capacity seconds of work per second over all its servers, which is their number of threads
     * @param asked requests per second of its own clients, by class; 0 for a class that is absent
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
     * @param worth utility of a response within the SLO; classes of lower utility are refused first
     * @param work seconds for which a request occupies a server thread
     * @param aim latency SLO in seconds; a later response has no utility
     */
    public record Kind(String name, double worth, double work, double aim) {
        public Kind {
            require(
                    !name.isEmpty() && worth >= 0 && work > 0 && aim > 0 && Double.isFinite(worth + work + aim),
                    "class " + name);
        }
    }

    /**
     * A one-directional network link from one site to another.
     *
     * @param requestsPerSecond the limit of requests over this link, for all classes together
     * @param roundTripSeconds round-trip time
     */
    public record Way(String from, String to, double requestsPerSecond, double roundTripSeconds) {
        public Way {
            require(
                    requestsPerSecond >= 0
                            && roundTripSeconds >= 0
                            && Double.isFinite(requestsPerSecond + roundTripSeconds)
                            && !Objects.equals(from, to),
                    "way from " + from + " to " + to);
        }
    }

    public Topology {
        sites = List.copyOf(sites);
        classes = List.copyOf(classes);
        ways = List.copyOf(ways);
        require(reserve >= 0 && reserve <= 1, "reserve");
        List<String> siteNames = sites.stream().map(Site::name).toList();
        List<String> classNames = classes.stream().map(Kind::name).toList();
        require(!sites.isEmpty() && siteNames.stream().distinct().count() == siteNames.size(), "sites");
        require(!classes.isEmpty() && classNames.stream().distinct().count() == classNames.size(), "classes");
        require(
                ways.stream().allMatch(link -> siteNames.contains(link.from) && siteNames.contains(link.to)),
                "ways: unknown site");
        require(
                ways.stream()
                                .map(link -> List.of(link.from, link.to))
                                .distinct()
                                .count()
                        == ways.size(),
                "ways: a pair twice");
        require(sites.stream().allMatch(site -> classNames.containsAll(site.asked.keySet())), "sites: unknown class");
    }

    /** Returns the demand of a site's own clients for classes of at least this utility, in work per second. */
    double ownWork(Site site, double minUtility) {
        return classes.stream()
                .filter(trafficClass -> trafficClass.worth >= minUtility)
                .mapToDouble(trafficClass -> site.asked.getOrDefault(trafficClass.name, 0.0) * trafficClass.work)
                .sum();
    }

    private static void require(boolean condition, String description) {
        if (!condition) {
            throw new IllegalArgumentException("plan makes no sense: " + description);
        }
    }
}
