package pondridge.gateway;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.siteloss.SiteFailoverRouting;

/**
 * Decides the next step of a request from its class and its attempts so far: the local site's servers,
 * another site, or the final response. Which server handles it is up to the balancer of the site it goes to.
 * No I/O; time is an argument, in nanoseconds.
 */
final class Router {
    /** The next step of a request. */
    sealed interface Step permits Local, Remote, Wait, Refuse, Fail {}

    /** Send to the local servers, with this time left. */
    record Local(long timeLeftNanos) implements Step {}

    /**
     * Send to another site.
     *
     * @param timeLeftNanos the time that site may use once it has received the request
     * @param keyWindowNanos how long from now the request may be sent to servers there; unbounded where no
     *     attempt may have executed
     */
    record Remote(String site, long timeLeftNanos, long keyWindowNanos) implements Step {}

    /**
     * Decide again after a delay: the request may have executed, a repeat is allowed, and no site for it is
     * reachable now. A broken link is usually up again within a few heartbeats.
     */
    record Wait(long delayNanos) implements Step {}

    /** Final response: the request did not take effect or is repeatable, so the client may safely retry it. */
    record Refuse() implements Step {}

    /** Final response: the request failed and may have taken effect. */
    record Fail() implements Step {}

    /**
     * Another site as seen from this gateway.
     *
     * @param reachable some gateway there can be reached
     * @param credit how many more requests it takes now, besides the {@code inFlight} ones
     */
    record SiteSnapshot(LinkRttEstimator link, boolean reachable, int credit, int inFlight) {
        /** Whether there is credit for a class that leaves this part of it to other classes. */
        private boolean admits(double reservedFraction) {
            return credit > 0 && credit > reservedFraction * (credit + inFlight);
        }
    }

    /**
     * A request is sent at most once to the local site and twice to another one, the second time by another
     * of its gateways, and once more after each wait.
     */
    private static final int MAX_ATTEMPTS_PER_REMOTE_SITE = 2;

    private static final int MAX_WAITS = 4;
    private static final long INITIAL_WAIT_NANOS = 50_000_000;
    private final String localName;
    private final LocalSiteHealth localSite;
    private final CrossSiteBudget budget;
    private final long minWorkNanos;
    private final long maxDeliveryNanos;
    private final SiteFailoverRouting failoverRouting;

    /**
     * A router of one gateway.
     *
     * @param localName this site's name
     * @param minWorkNanos a request with less time left is of no use to a server
     * @param maxDeliveryNanos the other side rejects requests that took longer than this to arrive
     * @param failoverRouting which site a request goes to by the plan, {@link SiteFailoverRouting#NONE} for the nearest
     */
    Router(
            String localName,
            LocalSiteHealth localSite,
            CrossSiteBudget budget,
            long minWorkNanos,
            long maxDeliveryNanos,
            SiteFailoverRouting failoverRouting) {
        this.failoverRouting = failoverRouting;
        this.localName = localName;
        this.localSite = localSite;
        this.budget = budget;
        this.minWorkNanos = minWorkNanos;
        this.maxDeliveryNanos = maxDeliveryNanos;
    }

    /** Records the arrival of a request; one from another site does not count towards the budget. */
    void requestArrived(AttemptHistory history) {
        if (!history.fromLink()) {
            budget.requestArrived(history.requestClass());
        }
    }

    /**
     * The next step of a request that has no attempt in progress.
     *
     * @param deadline by when the client must have its response
     * @param sites the other sites, by name
     */
    Step nextStep(
            long now,
            RequestClass requestClass,
            long deadline,
            AttemptHistory history,
            Map<String, SiteSnapshot> sites) {
        long timeLeftNanos = deadline - now;
        boolean localAllowed = timeLeftNanos > minWorkNanos
                && history.attemptsAt(localName) == 0
                && retryAllowed(now, requestClass, history, localName, 0);
        if (localAllowed && (history.fromLink() || localSite.admits(now))) {
            return new Local(timeLeftNanos);
        }
        // Requests beyond the plan would find no capacity at the other site and take it from requests within
        // the plan. The plan does not apply to requests with earlier attempts, nor to those that find the local
        // site full while it is not cut.
        Set<String> reachable = reachableSites(now, sites);
        boolean admittedByPlan = localSite.state() != LocalSiteHealth.State.CUT
                || !history.isUnsent()
                || failoverRouting.admits(history.requestClass(), history.affinityKey(), reachable);
        if (!history.fromLink() && admittedByPlan) {
            Remote remote = chooseRemote(now, timeLeftNanos, requestClass, history, sites, reachable);
            if (remote != null) {
                return remote;
            }
            if (localAllowed) {
                // The local site is cut or returning, but no other site can be tried.
                return new Local(timeLeftNanos);
            }
        }
        boolean safeToRetry =
                history.firstUncertain() == null || requestClass.retrySemantics() == RetrySemantics.REPEATABLE;
        if (safeToRetry) {
            return new Refuse();
        }
        long delayNanos = INITIAL_WAIT_NANOS << history.waitCount();
        if (!history.fromLink()
                && history.waitCount() < MAX_WAITS
                && mayRetryRemotelyLater(now + delayNanos, requestClass, deadline, history, sites)) {
            history.recordWait();
            return new Wait(delayNanos);
        }
        return new Fail();
    }

    private boolean mayRetryRemotelyLater(
            long afterWait,
            RequestClass requestClass,
            long deadline,
            AttemptHistory history,
            Map<String, SiteSnapshot> sites) {
        return sites.entrySet().stream().anyMatch(each -> {
            long roundTripNanos = each.getValue().link.roundTripNanos();
            return history.attemptsAt(each.getKey()) <= MAX_ATTEMPTS_PER_REMOTE_SITE + history.waitCount()
                    && deadline - afterWait - roundTripNanos > minWorkNanos
                    && retryAllowed(afterWait, requestClass, history, each.getKey(), roundTripNanos + maxDeliveryNanos);
        });
    }

    private static Set<String> reachableSites(long now, Map<String, SiteSnapshot> sites) {
        return sites.entrySet().stream()
                .filter(each ->
                        each.getValue().reachable && !each.getValue().link.isStalled(now))
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Chooses the site given by the plan, else the nearest that can take the request, and takes a token of
     * the budget.
     */
    private Remote chooseRemote(
            long now,
            long timeLeftNanos,
            RequestClass requestClass,
            AttemptHistory history,
            Map<String, SiteSnapshot> sites,
            Set<String> reachable) {
        double reservedFraction = budget.reservedFraction(history.requestClass());
        Map<String, Long> roundTripBySite = new TreeMap<>();
        for (Map.Entry<String, SiteSnapshot> each : new TreeMap<>(sites).entrySet()) {
            SiteSnapshot site = each.getValue();
            long roundTripNanos = site.link.roundTripNanos();
            if (reachable.contains(each.getKey())
                    && site.admits(reservedFraction)
                    && timeLeftNanos - roundTripNanos > minWorkNanos
                    && history.attemptsAt(each.getKey()) < MAX_ATTEMPTS_PER_REMOTE_SITE + history.waitCount()
                    && retryAllowed(now, requestClass, history, each.getKey(), roundTripNanos + maxDeliveryNanos)) {
                roundTripBySite.put(each.getKey(), roundTripNanos);
            }
        }
        String plannedSite = failoverRouting.selectSite(
                history.requestClass(), history.affinityKey(), roundTripBySite.keySet(), reachable);
        String chosen = plannedSite != null
                ? plannedSite
                : roundTripBySite.entrySet().stream()
                        .min(Map.Entry.comparingByValue())
                        .map(Map.Entry::getKey)
                        .orElse(null);
        if (chosen == null || !budget.tryTake(history.requestClass(), now)) {
            return null;
        }
        long roundTripNanos = roundTripBySite.get(chosen);
        return new Remote(
                chosen, timeLeftNanos - roundTripNanos, keyWindowNanos(now, requestClass, history) - roundTripNanos);
    }

    private static long keyWindowNanos(long now, RequestClass requestClass, AttemptHistory history) {
        AttemptHistory.UncertainAttempt uncertain = history.firstUncertain();
        return uncertain == null || requestClass.retrySemantics() != RetrySemantics.BY_KEY
                ? Long.MAX_VALUE
                : uncertain.sentAt() + requestClass.keyTtlNanos() - now;
    }

    /** Whether the class allows an attempt at a site, which takes {@code deliveryNanos} at most to arrive. */
    private static boolean retryAllowed(
            long now, RequestClass requestClass, AttemptHistory history, String site, long deliveryNanos) {
        AttemptHistory.UncertainAttempt uncertain = history.firstUncertain();
        if (uncertain == null) {
            return true;
        }
        return switch (requestClass.retrySemantics()) {
            case REPEATABLE -> true;
            case ONCE -> false;
            case BY_KEY -> now + deliveryNanos < uncertain.sentAt() + requestClass.keyTtlNanos()
                    && (requestClass.keyScope() == KeyScope.ALL
                            || uncertain.site().equals(site));
        };
    }
}
