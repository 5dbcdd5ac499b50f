package pondridge.siteloss;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import pondridge.siteloss.Topology.Site;
import pondridge.siteloss.Topology.TrafficClass;

/**
 * Applies the plan for the loss of the local site at a gateway: decides whether a request is admitted and which
 * site it is sent to. Both depend on a hash of the request's key, so that all gateways of the site make the same
 * decision for the same request, and their total follows the shares of the plan whichever of them are running.
 */
public final class SiteFailoverRouting {
    /** Without a plan: the caller chooses the site, and all requests are admitted. */
    public static final SiteFailoverRouting NONE = new SiteFailoverRouting(null, "", List.of());

    private static final long SITE_SELECTION_EPOCH = 1;
    private static final long ADMISSION_EPOCH = 2;
    /** With up to seven sites, this is one plan for each set of reachable sites. */
    private static final int MAX_CACHED_PLANS = 64;

    private final Topology topology;
    private final String localSite;
    private final List<String> classes;
    private final Map<Set<String>, Plan> plans = new HashMap<>();

    /** Rate to each site and admitted fraction, both indexed by class number. */
    private record Plan(List<Map<String, Double>> ratesByClass, List<Double> admittedFractions) {}

    private SiteFailoverRouting(Topology topology, String localSite, List<String> classes) {
        this.topology = topology;
        this.localSite = localSite;
        this.classes = classes;
    }

    /**
     * Creates an instance that plans for the loss of one site, once for each set of sites reachable from it. An
     * unreachable site is not considered lost: its own clients add no load to the others. Not thread-safe.
     *
     * @param classes class names, indexed by class number; a name or site that the topology does not contain
     *     results in an {@link IllegalArgumentException}
     */
    public static SiteFailoverRouting of(Topology topology, String localSite, List<String> classes) {
        for (String name : classes) {
            if (topology.classes().stream().map(TrafficClass::name).noneMatch(name::equals)) {
                throw new IllegalArgumentException("the plan has no class " + name);
            }
        }
        SiteFailoverRouting routing = new SiteFailoverRouting(topology, localSite, List.copyOf(classes));
        routing.plan(topology.sites().stream().map(Site::name).collect(Collectors.toSet()));
        return routing;
    }

    private Plan plan(Set<String> reachable) {
        Plan cached = plans.get(reachable);
        if (cached == null) {
            if (plans.size() == MAX_CACHED_PLANS) {
                plans.clear();
            }
            cached = computePlan(reachable);
            plans.put(Set.copyOf(reachable), cached);
        }
        return cached;
    }

    private Plan computePlan(Set<String> reachable) {
        Topology reachableTopology = new Topology(
                topology.sites(),
                topology.classes(),
                topology.links().stream()
                        .filter(link -> !link.from().equals(localSite) || reachable.contains(link.to()))
                        .toList(),
                topology.reserveFraction());
        SiteLossPlan plan = SiteLossPlanner.plan(reachableTopology, Set.of(localSite));
        List<Map<String, Double>> ratesByClass = new ArrayList<>();
        List<Double> admittedFractions = new ArrayList<>();
        for (String name : classes) {
            Map<String, Double> rates = new TreeMap<>();
            plan.flows().stream()
                    .filter(flow -> flow.trafficClass().equals(name))
                    .forEach(flow -> rates.put(flow.to(), flow.requestsPerSecond()));
            ratesByClass.add(rates);
            admittedFractions.add(plan.admittedFraction(localSite, name));
        }
        return new Plan(ratesByClass, admittedFractions);
    }

    /** Whether a request is among those for which the reachable sites have capacity. */
    public boolean admits(int classNumber, long key, Set<String> reachable) {
        return topology == null
                || RequestAdmission.admits(
                        key, ADMISSION_EPOCH, plan(reachable).admittedFractions.get(classNumber));
    }

    /**
     * Selects one of the sites that can accept the request, with a probability proportional to their rates in
     * the plan. Returns null if the plan sends nothing to any of them. Load of a site that cannot accept requests
     * is distributed over the others in proportion to their rates; requests to other sites do not move.
     *
     * @param reachable reachable sites, including those that cannot accept this request
     */
    public String selectSite(int classNumber, long key, Collection<String> candidates, Set<String> reachable) {
        if (topology == null) {
            return null;
        }
        String selected = null;
        double smallest = Double.MAX_VALUE;
        for (Map.Entry<String, Double> siteRate :
                plan(reachable).ratesByClass.get(classNumber).entrySet()) {
            if (siteRate.getValue() > 0 && candidates.contains(siteRate.getKey())) {
                // Weighted rendezvous hashing: the minimum of exponential variates with the plan's rates.
                double uniform = RequestAdmission.hashToUnitInterval(
                        key ^ siteRate.getKey().hashCode() * 0x9e3779b97f4a7c15L, SITE_SELECTION_EPOCH);
                double variate = -Math.log(1 - uniform) / siteRate.getValue();
                if (variate < smallest) {
                    smallest = variate;
                    selected = siteRate.getKey();
                }
            }
        }
        return selected;
    }
}
