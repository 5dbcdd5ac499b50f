package pondridge.siteloss;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import pondridge.siteloss.Topology.Kind;
import pondridge.siteloss.Topology.Site;

/**
 * The plan for the loss of one's own site, as a gateway there acts on it: which site a request goes to, and
 * whether it goes at all. By a hash of its key, so all gateways of the site send the same request the same
 * way, and their sum keeps to the plan's parts whoever of them lives.
 */
public final class Split {
    /** Rests on no plan: the caller's own order, and all may go. */
    public static final Split NONE = new Split(null, "", List.of());

    private static final long WHERE = 1;
    private static final long WHETHER = 2;
    /** Plans that are kept; with up to seven sites that is one for each set of sites that can be reached. */
    private static final int MOST_PLANS = 64;

    private final Topology topology;
    private final String own;
    private final List<String> classes;
    private final Map<Set<String>, Plan> plans = new HashMap<>();

    /** By the classes' numbers: what goes to which site, and what part of all has room. */
    private record Plan(List<Map<String, Double>> parts, List<Double> admitted) {}

    private Split(Topology topology, String own, List<String> classes) {
        this.topology = topology;
        this.own = own;
        this.classes = classes;
    }

    /**
     * From the plans for the loss of one site, one for each set of other sites that can be reached from it.
     * What can't be reached is not held to be lost: its own clients are no burden to the others. Not safe on
     * several threads.
     *
     * @param classes names by the classes' numbers; one that the topology doesn't know is an
     *     {@link IllegalArgumentException}, as is an unknown site
     */
    public static Split of(Topology topology, String own, List<String> classes) {
        for (String name : classes) {
            if (topology.classes().stream().map(Kind::name).noneMatch(name::equals)) {
                throw new IllegalArgumentException("the plan has no class " + name);
            }
        }
        Split split = new Split(topology, own, List.copyOf(classes));
        split.plan(topology.sites().stream().map(Site::name).collect(Collectors.toSet()));
        return split;
    }

    private Plan plan(Set<String> reached) {
        Plan known = plans.get(reached);
        if (known == null) {
            if (plans.size() == MOST_PLANS) {
                plans.clear();
            }
            known = made(reached);
            plans.put(Set.copyOf(reached), known);
        }
        return known;
    }

    private Plan made(Set<String> reached) {
        Topology seen = new Topology(
                topology.sites(),
                topology.classes(),
                topology.ways().stream()
                        .filter(way -> !way.from().equals(own) || reached.contains(way.to()))
                        .toList(),
                topology.reserve());
        LossPlan plan = LossPlanner.plan(seen, Set.of(own));
        List<Map<String, Double>> parts = new ArrayList<>();
        List<Double> admitted = new ArrayList<>();
        for (String name : classes) {
            Map<String, Double> part = new TreeMap<>();
            plan.flows().stream()
                    .filter(flow -> flow.kind().equals(name))
                    .forEach(flow -> part.put(flow.to(), flow.perSecond()));
            parts.add(part);
            admitted.add(plan.admitted(own, name));
        }
        return new Plan(parts, admitted);
    }

    /** Whether a request is among those for which there is room at the sites that can be reached. */
    public boolean admits(int kind, long key, Set<String> reached) {
        return topology == null
                || RefusalOrder.admits(key, WHETHER, plan(reached).admitted.get(kind));
    }

    /**
     * One of the sites that can take it, by their parts; null where the plan gives none of them a part. The
     * part of one that can't goes to the others as they have parts; only that one's requests move.
     *
     * @param reached sites that can be reached, whether they can take this one or not
     */
    public String pick(int kind, long key, Collection<String> able, Set<String> reached) {
        if (topology == null) {
            return null;
        }
        String best = null;
        double least = Double.MAX_VALUE;
        for (Map.Entry<String, Double> each : plan(reached).parts.get(kind).entrySet()) {
            if (each.getValue() > 0 && able.contains(each.getKey())) {
                // Weighted rendezvous hashing: the least of exponential draws with the parts as rates.
                double draw = RefusalOrder.place(key ^ each.getKey().hashCode() * 0x9e3779b97f4a7c15L, WHERE);
                double time = -Math.log(1 - draw) / each.getValue();
                if (time < least) {
                    least = time;
                    best = each.getKey();
                }
            }
        }
        return best;
    }
}
