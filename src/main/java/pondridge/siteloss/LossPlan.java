package pondridge.siteloss;

import java.util.List;
import java.util.Set;

/**
 * Where the load of lost sites goes.
 *
 * @param lost the sites that are gone, in the topology's order
 * @param flows what each other site takes of which class, in requests a second; none of zero
 * @param refused what finds no room, in requests a second; none of zero
 * @param narrow what stands in the way of what is refused: the ways and sites that are full
 * @param unfit survivors whose own clients ask more than they can do
 * @param slack the least part of what the topology says the survivors can do with which all that crosses of
 *     the classes worth
 *     most, and their own of the same, would still fit; above 1 where it doesn't, 0 where there is none of it
 */
public record LossPlan(
        Set<String> lost,
        List<Flow> flows,
        List<Refused> refused,
        List<String> narrow,
        List<String> unfit,
        double slack) {
    /** What one site takes of another's. */
    public record Flow(String from, String to, String kind, double perSecond) {}

    /** What of a class of a lost site is refused, of so many asked. */
    public record Refused(String from, String kind, double perSecond, double asked) {}

    /** What is taken of a class of a lost site, in requests a second. */
    public double taken(String from, String kind) {
        return flows.stream()
                .filter(flow -> flow.from.equals(from) && flow.kind.equals(kind))
                .mapToDouble(Flow::perSecond)
                .sum();
    }

    /** The part of a class of a lost site that finds room; 1 where none is asked. */
    public double admitted(String from, String kind) {
        return refused.stream()
                .filter(each -> each.from.equals(from) && each.kind.equals(kind))
                .mapToDouble(each -> 1 - each.perSecond / each.asked)
                .findFirst()
                .orElse(1);
    }
}
