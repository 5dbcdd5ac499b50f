package pondridge.siteloss;

import java.util.List;
import java.util.Set;

/**
 * The distribution of the load of lost sites over the surviving ones.
 *
 * @param lost the lost sites, in the topology's order
 * @param flows the load that each surviving site takes over, by class; entries of zero are omitted
 * @param refused the load for which there is no capacity, by class; entries of zero are omitted
 * @param narrow the bottlenecks that cause refusals: links and sites without free capacity
 * @param unfit survivors whose capacity is below the demand of their own clients
 * @param slack the smallest fraction of the survivors' stated capacity at which the redirected load of the
 *     classes of highest utility, together with the survivors' own load of these classes, still fits; above 1
 *     if it does not fit, 0 if there is no such load
 */
public record LossPlan(
        Set<String> lost,
        List<Flow> flows,
        List<Refused> refused,
        List<String> narrow,
        List<String> unfit,
        double slack) {
    /** Load of one class that one site takes over from another, in requests per second. */
    public record Flow(String from, String to, String kind, double perSecond) {}

    /** Refused load of one class of a lost site and its total demand, both in requests per second. */
    public record Refused(String from, String kind, double perSecond, double demandPerSecond) {}

    /** Returns how much of a lost site's load of a class is taken over, in requests per second. */
    public double acceptedPerSecond(String from, String kind) {
        return flows.stream()
                .filter(flow -> flow.from.equals(from) && flow.kind.equals(kind))
                .mapToDouble(Flow::perSecond)
                .sum();
    }

    /** Returns the fraction of a lost site's load of a class that is taken over; 1 if there is no demand. */
    public double admitted(String from, String kind) {
        return refused.stream()
                .filter(each -> each.from.equals(from) && each.kind.equals(kind))
                .mapToDouble(each -> 1 - each.perSecond / each.demandPerSecond)
                .findFirst()
                .orElse(1);
    }
}
