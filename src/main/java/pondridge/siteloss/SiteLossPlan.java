package pondridge.siteloss;

import java.util.List;
import java.util.Set;

/**
 * The distribution of the load of lost sites over the surviving ones.
 *
 * @param lostSites the lost sites, in the topology's order
 * @param flows the load that each surviving site takes over, by class; entries of zero are omitted
 * @param refused the load for which there is no capacity, by class; entries of zero are omitted
 * @param bottlenecks the bottlenecks that cause refusals: links and sites without free capacity
 * @param overloadedSites survivors whose capacity is below the demand of their own clients
 * @param requiredCapacityFraction the smallest fraction of the survivors' stated capacity at which the redirected
 *     load of the classes of highest utility, together with the survivors' own load of these classes, still fits;
 *     above 1 if it does not fit, 0 if there is no such load
 */
public record SiteLossPlan(
        Set<String> lostSites,
        List<Flow> flows,
        List<RefusedLoad> refused,
        List<String> bottlenecks,
        List<String> overloadedSites,
        double requiredCapacityFraction) {
    /** Load of one class that one site takes over from another, in requests per second. */
    public record Flow(String from, String to, String trafficClass, double requestsPerSecond) {}

    /** Refused load of one class of a lost site and its total demand, both in requests per second. */
    public record RefusedLoad(String from, String trafficClass, double requestsPerSecond, double demandPerSecond) {}

    /** Returns how much of a lost site's load of a class is taken over, in requests per second. */
    public double acceptedPerSecond(String from, String className) {
        return flows.stream()
                .filter(flow -> flow.from.equals(from) && flow.trafficClass.equals(className))
                .mapToDouble(Flow::requestsPerSecond)
                .sum();
    }

    /** Returns the fraction of a lost site's load of a class that is taken over; 1 if there is no demand. */
    public double admittedFraction(String from, String className) {
        return refused.stream()
                .filter(each -> each.from.equals(from) && each.trafficClass.equals(className))
                .mapToDouble(each -> 1 - each.requestsPerSecond / each.demandPerSecond)
                .findFirst()
                .orElse(1);
    }
}
