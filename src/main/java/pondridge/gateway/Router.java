package pondridge.gateway;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Scope;
import pondridge.Balancer.Semantics;
import pondridge.siteloss.Split;

/**
 * Where a request goes next, by its class and by what is known of it so far: to the own site's servers, to
 * another site, or back with its final answer. Which server it is, is each site's own decision module's to
 * say. No I/O; time is an argument, in nanoseconds.
 */
final class Router {
    /** The next step. */
    sealed interface Step permits Own, Across, Wait, Refuse, Fail {}

    /** To the own servers, for so long. */
    record Own(long left) implements Step {}

    /**
     * To another site.
     *
     * @param left what that site may take from when it has it
     * @param window how long from now it may be sent to servers there; without bound where nothing of it may
     *     have run so far
     */
    record Across(String site, long left, long window) implements Step {}

    /**
     * Asked again after so long: it may have run, its repeat is allowed, and no way to it is there just now.
     * A link that has broken comes up again within some beats.
     */
    record Wait(long delay) implements Step {}

    /** The final answer: trying again is harmless. */
    record Refuse() implements Step {}

    /** The final answer: failed, with no promise about effects. */
    record Fail() implements Step {}

    /**
     * Another site as it is seen from here.
     *
     * @param up some gateway there can be reached
     * @param credit how many more it takes just now, besides those that are {@code taken}
     */
    record Site(LinkTimes link, boolean up, int credit, int taken) {
        /** Whether there is credit for a class that leaves such a part of it behind for others. */
        private boolean takes(double kept) {
            return credit > 0 && credit > kept * (credit + taken);
        }
    }

    /**
     * A request goes to the own site once, and to another one twice, there by another of its gateways; once
     * more after each wait.
     */
    private static final int MOST_ACROSS = 2;

    private static final int MOST_WAITS = 4;
    private static final long FIRST_WAIT = 50_000_000;
    private final String own;
    private final OwnSite ownSite;
    private final CrossingBudget budget;
    private final long leastWork;
    private final long freshness;
    private final Split split;

    /**
     * A router.
     *
     * @param own this site's name
     * @param split which site a request goes to by the plan, {@link Split#NONE} for the nearest
     * @param freshness the other side drops what has been on its way for longer than this
     * @param leastWork what is left of a request's time must be more than this to be of use to a server
     */
    Router(String own, OwnSite ownSite, CrossingBudget budget, long leastWork, long freshness, Split split) {
        this.split = split;
        this.own = own;
        this.ownSite = ownSite;
        this.budget = budget;
        this.leastWork = leastWork;
        this.freshness = freshness;
    }

    /** A client's request has come; one from another site does not count for the budget. */
    void came(Trail trail) {
        if (!trail.byLink()) {
            budget.came(trail.requestClass());
        }
    }

    /**
     * The next step of a request that is nowhere just now.
     *
     * @param deadline by when the client must have its answer
     * @param sites the others, by name
     */
    Step next(long now, RequestClass kind, long deadline, Trail trail, Map<String, Site> sites) {
        long left = deadline - now;
        boolean ownPossible = left > leastWork && trail.timesAt(own) == 0 && allowed(now, kind, trail, own, 0);
        if (ownPossible && (trail.byLink() || ownSite.accepts(now))) {
            return new Own(left);
        }
        // Danger: what goes beyond the plan finds no room there and takes it from who would. Who has been on
        // his way before, and who finds the own site full while it stands, is not measured by the plan.
        Set<String> reached = reached(now, sites);
        boolean planned = ownSite.state() != OwnSite.State.CUT
                || !trail.fresh()
                || split.admits(trail.requestClass(), trail.key(), reached);
        if (!trail.byLink() && planned) {
            Across across = across(now, left, kind, trail, sites, reached);
            if (across != null) {
                return across;
            }
            if (ownPossible) {
                // The own site is cut or only just back, but nothing else is there to be tried.
                return new Own(left);
            }
        }
        boolean harmless = trail.doubt() == null || kind.semantics() == Semantics.REPEATABLE;
        if (harmless) {
            return new Refuse();
        }
        long delay = FIRST_WAIT << trail.waits();
        if (!trail.byLink() && trail.waits() < MOST_WAITS && mayCrossLater(now + delay, kind, deadline, trail, sites)) {
            trail.waited();
            return new Wait(delay);
        }
        return new Fail();
    }

    private boolean mayCrossLater(long then, RequestClass kind, long deadline, Trail trail, Map<String, Site> sites) {
        return sites.entrySet().stream().anyMatch(each -> {
            long trip = each.getValue().link.estimate();
            return trail.timesAt(each.getKey()) <= MOST_ACROSS + trail.waits()
                    && deadline - then - trip > leastWork
                    && allowed(then, kind, trail, each.getKey(), trip + freshness);
        });
    }

    private static Set<String> reached(long now, Map<String, Site> sites) {
        return sites.entrySet().stream()
                .filter(each -> each.getValue().up && !each.getValue().link.stalled(now))
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** The site that the plan gives it, else the nearest that can take it; its crossing is then paid for. */
    private Across across(
            long now, long left, RequestClass kind, Trail trail, Map<String, Site> sites, Set<String> reached) {
        double kept = budget.kept(trail.requestClass());
        Map<String, Long> able = new TreeMap<>();
        for (Map.Entry<String, Site> each : new TreeMap<>(sites).entrySet()) {
            Site site = each.getValue();
            long trip = site.link.estimate();
            if (reached.contains(each.getKey())
                    && site.takes(kept)
                    && left - trip > leastWork
                    && trail.timesAt(each.getKey()) < MOST_ACROSS + trail.waits()
                    && allowed(now, kind, trail, each.getKey(), trip + freshness)) {
                able.put(each.getKey(), trip);
            }
        }
        String planned = split.pick(trail.requestClass(), trail.key(), able.keySet(), reached);
        String chosen = planned != null
                ? planned
                : able.entrySet().stream()
                        .min(Map.Entry.comparingByValue())
                        .map(Map.Entry::getKey)
                        .orElse(null);
        if (chosen == null || !budget.take(trail.requestClass(), now)) {
            return null;
        }
        long trip = able.get(chosen);
        return new Across(chosen, left - trip, window(now, kind, trail) - trip);
    }

    private static long window(long now, RequestClass kind, Trail trail) {
        Trail.Doubt doubt = trail.doubt();
        return doubt == null || kind.semantics() != Semantics.BY_KEY
                ? Long.MAX_VALUE
                : doubt.since() + kind.keyTtl() - now;
    }

    /** Whether the class allows a sending to a site, which takes {@code way} at most to get there. */
    private static boolean allowed(long now, RequestClass kind, Trail trail, String site, long way) {
        Trail.Doubt doubt = trail.doubt();
        if (doubt == null) {
            return true;
        }
        return switch (kind.semantics()) {
            case REPEATABLE -> true;
            case ONCE -> false;
            case BY_KEY -> now + way < doubt.since() + kind.keyTtl()
                    && (kind.scope() == Scope.ALL || doubt.site().equals(site));
        };
    }
}
