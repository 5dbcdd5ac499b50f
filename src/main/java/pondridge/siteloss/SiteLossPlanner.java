package pondridge.siteloss;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pondridge.siteloss.SiteLossPlan.Flow;
import pondridge.siteloss.SiteLossPlan.RefusedLoad;
import pondridge.siteloss.Topology.Site;
import pondridge.siteloss.Topology.SiteLink;
import pondridge.siteloss.Topology.TrafficClass;

/**
 * Distributes the demand of lost sites over the survivors. The survivors' own clients have priority. The classes
 * follow in descending order of utility. Each is first distributed in proportion to free capacity, so that all
 * survivors are loaded equally and an error in one figure has the least effect. Load that does not fit is then
 * rearranged along augmenting paths until the flow is maximal, so that nothing is refused while any site has
 * capacity for it. The plan depends on the topology alone: equal topologies result in equal plans.
 */
public final class SiteLossPlanner {
    private static final double EPSILON = 1e-9;
    private static final int SPREAD_ROUNDS = 40;
    private static final int MAX_AUGMENTING_PATHS = 10_000;
    private final Topology topology;
    private final List<Site> lostSites;
    private final List<Site> survivors;
    private final double[] freeWork;
    private final double[][] freeLinkRate;
    private final SiteLink[][] links;

    private SiteLossPlanner(Topology topology, Set<String> lostNames) {
        this.topology = topology;
        this.lostSites = topology.sites().stream()
                .filter(site -> lostNames.contains(site.name()))
                .toList();
        this.survivors = topology.sites().stream()
                .filter(site -> !lostNames.contains(site.name()))
                .toList();
        this.freeWork = survivors.stream()
                .mapToDouble(site ->
                        Math.max(0, site.capacity() * (1 - topology.reserveFraction()) - topology.ownWork(site, 0)))
                .toArray();
        this.freeLinkRate = new double[lostSites.size()][survivors.size()];
        this.links = new SiteLink[lostSites.size()][survivors.size()];
        for (SiteLink link : topology.links()) {
            int from = indexOf(lostSites, link.from());
            int to = indexOf(survivors, link.to());
            if (from >= 0 && to >= 0) {
                links[from][to] = link;
                freeLinkRate[from][to] = link.requestsPerSecond();
            }
        }
    }

    /** Plans for the simultaneous loss of these sites; throws {@link IllegalArgumentException} for an unknown name. */
    public static SiteLossPlan plan(Topology topology, Set<String> lostNames) {
        lostNames.forEach(name -> {
            if (indexOf(topology.sites(), name) < 0) {
                throw new IllegalArgumentException("no such site: " + name);
            }
        });
        return new SiteLossPlanner(topology, lostNames).plan();
    }

    private static int indexOf(List<Site> sites, String name) {
        for (int i = 0; i < sites.size(); i++) {
            if (sites.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private SiteLossPlan plan() {
        List<Flow> flows = new ArrayList<>();
        List<RefusedLoad> refused = new ArrayList<>();
        Set<String> bottlenecks = new LinkedHashSet<>();
        List<TrafficClass> order = topology.classes().stream()
                .sorted(Comparator.comparingDouble(TrafficClass::utility).reversed())
                .toList();
        double highestUtility = order.get(0).utility();
        double redirectedWork = 0;
        double unallocated = 0;
        for (TrafficClass trafficClass : order) {
            double[][] allocated = allocate(trafficClass);
            for (int i = 0; i < lostSites.size(); i++) {
                String from = lostSites.get(i).name();
                double demand = lostSites.get(i).demandPerSecond().getOrDefault(trafficClass.name(), 0.0);
                double refusedRate = demand - Arrays.stream(allocated[i]).sum();
                for (int j = 0; j < survivors.size(); j++) {
                    freeLinkRate[i][j] -= allocated[i][j];
                    freeWork[j] -= allocated[i][j] * trafficClass.workSeconds();
                    if (allocated[i][j] > EPSILON) {
                        flows.add(new Flow(from, survivors.get(j).name(), trafficClass.name(), allocated[i][j]));
                    }
                }
                if (refusedRate > EPSILON * Math.max(1, demand)) {
                    refused.add(new RefusedLoad(from, trafficClass.name(), refusedRate, demand));
                    bottlenecks.addAll(bottlenecks(trafficClass, i));
                }
                boolean ofHighestUtility = trafficClass.utility() == highestUtility;
                redirectedWork += ofHighestUtility ? demand * trafficClass.workSeconds() : 0;
                unallocated += ofHighestUtility ? Math.max(0, refusedRate) : 0;
            }
        }
        List<String> overloadedSites = survivors.stream()
                .filter(site -> topology.ownWork(site, 0) > site.capacity())
                .map(Site::name)
                .toList();
        return new SiteLossPlan(
                new LinkedHashSet<>(lostSites.stream().map(Site::name).toList()),
                List.copyOf(flows),
                List.copyOf(refused),
                List.copyOf(bottlenecks),
                overloadedSites,
                requiredCapacityFraction(highestUtility, redirectedWork, unallocated));
    }

    /** Returns the survivors' own and the redirected load of highest utility, relative to the survivors' capacity. */
    private double requiredCapacityFraction(double highestUtility, double redirectedWork, double unallocated) {
        double ownWork = survivors.stream()
                .mapToDouble(site -> topology.ownWork(site, highestUtility))
                .sum();
        double capacity = survivors.stream().mapToDouble(Site::capacity).sum() * (1 - topology.reserveFraction());
        double fraction = ownWork + redirectedWork == 0 ? 0 : (ownWork + redirectedWork) / capacity;
        return unallocated > EPSILON ? Math.max(fraction, 1 + EPSILON) : fraction;
    }

    /** Whether a response over this link can meet its SLO: the SLO less the round trip must exceed the work. */
    private boolean meetsSlo(TrafficClass trafficClass, int from, int to) {
        return links[from][to] != null
                && trafficClass.sloSeconds() - links[from][to].roundTripSeconds() > trafficClass.workSeconds();
    }

    private List<String> bottlenecks(TrafficClass trafficClass, int from) {
        List<String> reasons = new ArrayList<>();
        for (int j = 0; j < survivors.size(); j++) {
            String to = survivors.get(j).name();
            if (links[from][j] == null) {
                reasons.add("no way from " + lostSites.get(from).name() + " to " + to);
            } else if (!meetsSlo(trafficClass, from, j)) {
                reasons.add("way from " + lostSites.get(from).name() + " to " + to + " is too long for "
                        + trafficClass.name());
            } else if (freeLinkRate[from][j] <= EPSILON * Math.max(1, links[from][j].requestsPerSecond())) {
                reasons.add("way from " + lostSites.get(from).name() + " to " + to + " is full");
            } else {
                reasons.add("site " + to + " has no room");
            }
        }
        return reasons;
    }

    /** Returns the requests per second of a class from each lost site (first index) to each survivor. */
    private double[][] allocate(TrafficClass trafficClass) {
        double[][] allocated = new double[lostSites.size()][survivors.size()];
        double[] remaining = lostSites.stream()
                .mapToDouble(site -> site.demandPerSecond().getOrDefault(trafficClass.name(), 0.0))
                .toArray();
        double[] freeRate = Arrays.stream(freeWork)
                .map(work -> Math.max(0, work) / trafficClass.workSeconds())
                .toArray();
        for (int round = 0; round < SPREAD_ROUNDS; round++) {
            distributeByFreeCapacity(trafficClass, allocated, remaining, freeRate);
        }
        // Each path saturates a link or site; the bound only guards against rounding errors.
        for (int paths = 0;
                paths < MAX_AUGMENTING_PATHS && augment(trafficClass, allocated, remaining, freeRate) > EPSILON;
                paths++) {}
        return allocated;
    }

    /** Offers remaining demand in proportion to free capacity; an overloaded site scales all offers down equally. */
    private void distributeByFreeCapacity(
            TrafficClass trafficClass, double[][] allocated, double[] remaining, double[] freeRate) {
        double[][] offered = new double[lostSites.size()][survivors.size()];
        double[] totalOffered = new double[survivors.size()];
        for (int i = 0; i < lostSites.size(); i++) {
            double totalUsable = 0;
            for (int j = 0; j < survivors.size(); j++) {
                totalUsable += usableRate(trafficClass, allocated, freeRate, i, j);
            }
            for (int j = 0; j < survivors.size() && totalUsable > 0; j++) {
                double share = usableRate(trafficClass, allocated, freeRate, i, j) / totalUsable;
                offered[i][j] =
                        Math.min(Math.max(0, remaining[i]) * share, residualLinkRate(trafficClass, allocated, i, j));
                totalOffered[j] += offered[i][j];
            }
        }
        for (int j = 0; j < survivors.size(); j++) {
            double acceptedFraction = totalOffered[j] > 0 ? Math.min(1, Math.max(0, freeRate[j]) / totalOffered[j]) : 0;
            for (int i = 0; i < lostSites.size(); i++) {
                assign(allocated, remaining, freeRate, i, j, offered[i][j] * acceptedFraction);
            }
        }
    }

    /** Returns the free capacity of a reachable site; amounts within rounding error count as zero. */
    private double usableRate(TrafficClass trafficClass, double[][] allocated, double[] freeRate, int from, int to) {
        return freeRate[to] > EPSILON && residualLinkRate(trafficClass, allocated, from, to) > EPSILON
                ? freeRate[to]
                : 0;
    }

    private double residualLinkRate(TrafficClass trafficClass, double[][] allocated, int from, int to) {
        return meetsSlo(trafficClass, from, to) ? Math.max(0, freeLinkRate[from][to] - allocated[from][to]) : 0;
    }

    private static void assign(
            double[][] allocated, double[] remaining, double[] freeRate, int from, int to, double amount) {
        allocated[from][to] += amount;
        remaining[from] -= amount;
        freeRate[to] -= amount;
    }

    /**
     * Finds an augmenting path by breadth-first search: from a lost site with remaining demand to a survivor with
     * free capacity, possibly displacing load of other lost sites. Returns the amount moved, 0 if there is no path.
     */
    private double augment(TrafficClass trafficClass, double[][] allocated, double[] remaining, double[] freeRate) {
        int[] sourceOfSurvivor = new int[survivors.size()];
        // -1: start of a path; -2: not visited.
        int[] previousSurvivor = new int[lostSites.size()];
        Arrays.fill(sourceOfSurvivor, -1);
        Arrays.fill(previousSurvivor, -2);
        Deque<Integer> queue = new ArrayDeque<>();
        for (int i = 0; i < lostSites.size(); i++) {
            if (remaining[i] > EPSILON) {
                previousSurvivor[i] = -1;
                queue.add(i);
            }
        }
        while (!queue.isEmpty()) {
            int i = queue.poll();
            for (int j = 0; j < survivors.size(); j++) {
                if (sourceOfSurvivor[j] >= 0 || residualLinkRate(trafficClass, allocated, i, j) <= EPSILON) {
                    continue;
                }
                sourceOfSurvivor[j] = i;
                if (freeRate[j] > EPSILON) {
                    return augmentAlong(
                            trafficClass, allocated, remaining, freeRate, sourceOfSurvivor, previousSurvivor, j);
                }
                for (int k = 0; k < lostSites.size(); k++) {
                    if (previousSurvivor[k] == -2 && allocated[k][j] > EPSILON) {
                        previousSurvivor[k] = j;
                        queue.add(k);
                    }
                }
            }
        }
        return 0;
    }

    private double augmentAlong(
            TrafficClass trafficClass,
            double[][] allocated,
            double[] remaining,
            double[] freeRate,
            int[] sourceOfSurvivor,
            int[] previousSurvivor,
            int target) {
        double amount = freeRate[target];
        int source = -1;
        for (int j = target; j >= 0; j = previousSurvivor[source]) {
            source = sourceOfSurvivor[j];
            amount = Math.min(amount, residualLinkRate(trafficClass, allocated, source, j));
            amount = Math.min(
                    amount,
                    previousSurvivor[source] >= 0 ? allocated[source][previousSurvivor[source]] : remaining[source]);
        }
        for (int j = target; j >= 0; j = previousSurvivor[sourceOfSurvivor[j]]) {
            int from = sourceOfSurvivor[j];
            allocated[from][j] += amount;
            if (previousSurvivor[from] >= 0) {
                allocated[from][previousSurvivor[from]] -= amount;
            }
        }
        freeRate[target] -= amount;
        remaining[source] -= amount;
        return amount;
    }
}
