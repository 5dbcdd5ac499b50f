package pondridge.siteloss;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The input of a plan: sites with their capacity and demand, request classes with their utility and work, and the
 * network links between sites. The figures are provided by the operators;
 * {@link SiteLossPlan#requiredCapacityFraction} shows how far they may be off.
 *
 * @param sites at least one, with distinct names
 * @param classes at least one, with distinct names
 * @param links network links; a site can send only to sites to which it has a link
 * @param reserveFraction fraction of a site's capacity that load of other sites may not use, from 0 to 1
 */
public record Topology(List<Site> sites, List<TrafficClass> classes, List<SiteLink> links, double reserveFraction) {
    /**
     * A site.
     *
     * @param capacity seconds of work per second over all its servers, which is their number of threads
     * @param demandPerSecond requests per second of its own clients, by class; 0 for a class that is absent
     */
    public record Site(String name, double capacity, Map<String, Double> demandPerSecond) {
        public Site {
            require(!name.isEmpty() && capacity >= 0 && Double.isFinite(capacity), "site " + name);
            demandPerSecond = Map.copyOf(demandPerSecond);
            require(
                    demandPerSecond.values().stream().allMatch(rate -> rate >= 0 && Double.isFinite(rate)),
                    "site " + name + ": requests a second");
        }
    }

    /**
     * A class of requests.
     *
     * @param utility utility of a response within the SLO; classes of lower utility are refused first
     * @param workSeconds seconds for which a request occupies a server thread
     * @param sloSeconds latency SLO in seconds; a later response has no utility
     */
    public record TrafficClass(String name, double utility, double workSeconds, double sloSeconds) {
        public TrafficClass {
            require(
                    !name.isEmpty()
                            && utility >= 0
                            && workSeconds > 0
                            && sloSeconds > 0
                            && Double.isFinite(utility + workSeconds + sloSeconds),
                    "class " + name);
        }
    }

    /**
     * A one-directional network link from one site to another.
     *
     * @param requestsPerSecond the limit of requests over this link, for all classes together
     * @param roundTripSeconds round-trip time
     */
    public record SiteLink(String from, String to, double requestsPerSecond, double roundTripSeconds) {
        public SiteLink {
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
        links = List.copyOf(links);
        require(reserveFraction >= 0 && reserveFraction <= 1, "reserve");
        List<String> siteNames = sites.stream().map(Site::name).toList();
        List<String> classNames = classes.stream().map(TrafficClass::name).toList();
        require(!sites.isEmpty() && siteNames.stream().distinct().count() == siteNames.size(), "sites");
        require(!classes.isEmpty() && classNames.stream().distinct().count() == classNames.size(), "classes");
        require(
                links.stream().allMatch(link -> siteNames.contains(link.from) && siteNames.contains(link.to)),
                "ways: unknown site");
        require(
                links.stream()
                                .map(link -> List.of(link.from, link.to))
                                .distinct()
                                .count()
                        == links.size(),
                "ways: a pair twice");
        require(
                sites.stream().allMatch(site -> classNames.containsAll(site.demandPerSecond.keySet())),
                "sites: unknown class");
    }

    /** Returns the demand of a site's own clients for classes of at least this utility, in work per second. */
    double ownWork(Site site, double minUtility) {
        return classes.stream()
                .filter(trafficClass -> trafficClass.utility >= minUtility)
                .mapToDouble(trafficClass ->
                        site.demandPerSecond.getOrDefault(trafficClass.name, 0.0) * trafficClass.workSeconds)
                .sum();
    }

    private static void require(boolean condition, String description) {
        if (!condition) {
            throw new IllegalArgumentException("invalid site topology: " + description);
        }
    }
}
