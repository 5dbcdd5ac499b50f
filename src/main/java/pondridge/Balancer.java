package pondridge;

import java.util.List;

/**
 * The load-balancing policy of one sidecar. The methods are its input events, {@link Actions} its output and
 * {@link Settings} its configuration. {@link LoadBalancingPolicy} implements it.
 *
 * <p><b>Obligations of the host.</b> An instance belongs to one sidecar and is used by one thread. Every event
 * carries the current time in nanoseconds from one monotonic clock with an arbitrary origin. {@link #start} is
 * called first, then {@link #endpointListChanged} with a {@link EndpointListKind#CACHED} list. Request ids are
 * never reused. Every {@link Actions#send} is followed by exactly one {@link #attemptEnded}, even if the request
 * has already ended. The attempts of a request are numbered 0, 1, 2, ... in the order in which they are sent.
 * Timers fire at or after their time, never inside the call that sets them. A restarted sidecar uses a new
 * instance with a new seed.
 *
 * <p><b>Obligations of the instance.</b> Actions are issued during the call of an event and take effect in order,
 * at the time of that event. Each request gets one final response: the first {@link Outcome#OK}, which the host
 * forwards to the client, {@link Actions#refuse} or {@link Actions#fail}, no later than its deadline plus
 * {@link SafetyLimits#responseSlackNanos()}. Equal settings, seeds and events give equal actions. Events about
 * requests, attempts or upstreams that the instance no longer tracks are ignored.
 *
 * <p>Invalid settings are rejected with an {@link IllegalArgumentException} that names the setting.
 */
public interface Balancer {

    /** How an attempt ended. */
    enum Outcome {
        /** Successful response; the first one completes the request. */
        OK(false),
        /** The upstream returned an error and may have executed the request. */
        ERROR(false),
        /** Rejected before execution: the queue is full or the upstream is draining. */
        REJECTED(true),
        /** No response in time; the request may have been executed or may still be executing. */
        TIMEOUT(false),
        /** No connection in time: the upstream is down or unreachable, or its connection table is full. */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was in flight. */
        RESET(false),
        /** Cancelled by this balancer. */
        CANCELLED(false),
        /** Never sent: the request had ended, or it had no attempts or time left. */
        NEVER_SENT(true);

        private final boolean notExecuted;

        Outcome(boolean notExecuted) {
            this.notExecuted = notExecuted;
        }

        /** Whether this outcome proves that the upstream did not execute the attempt. */
        public boolean provesNotExecuted() {
            return notExecuted;
        }
    }

    /** Whether a class of requests may be retried after an attempt that may have been executed. */
    enum RetrySemantics {
        REPEATABLE,
        BY_KEY,
        ONCE
    }

    /** Which upstreams share deduplication by key: all of them, those of one zone, or those of one cell. */
    enum KeyScope {
        ALL,
        ZONE,
        CELL
    }

    /** State of an upstream in the endpoint list. */
    enum UpstreamState {
        GONE,
        READY,
        DRAINING
    }

    /**
     * Kind of an endpoint list event: changes only, the full list, the list cached before the start, or a
     * failed call to discovery.
     */
    enum EndpointListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** Whether the endpoint list is pushed automatically or requires a subscription. */
    enum DiscoveryMode {
        AUTOMATIC,
        SUBSCRIBE
    }

    /** Meaning of {@link Upstream#weight()}: LIVE weights change with the load, SILENT ones are always 1. */
    enum WeightKind {
        SILENT,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /**
     * A class of requests; times are in nanoseconds.
     *
     * @param sloNanos the latency objective: a response within this time earns the full utility
     * @param sloWorkFactor multiple of the request's work by which the objective grows, up to the deadline
     * @param deadlineNanos the longest time that a client waits, over all its tries
     * @param utility the utility of a response within the objective
     * @param lateUtilityFraction fraction of the utility earned between the objective and the deadline
     * @param retrySemantics whether requests may be retried after an attempt that may have been executed
     * @param keyScope for BY_KEY: which upstreams share deduplication
     * @param keyTtlNanos for BY_KEY: how long duplicates are dropped, counted from the first attempt that may have been
     *     executed
     * @param streaming the response is streamed: {@link Balancer#firstByteReceived} reports its start
     */
    record RequestClass(
            long sloNanos,
            double sloWorkFactor,
            long deadlineNanos,
            double utility,
            double lateUtilityFraction,
            RetrySemantics retrySemantics,
            KeyScope keyScope,
            long keyTtlNanos,
            boolean streaming) {
        public RequestClass {
            require(sloNanos > 0, "class slo");
            require(deadlineNanos >= sloNanos, "class deadline");
            require(utility >= 0 && Double.isFinite(utility), "class worth");
            require(
                    retrySemantics != RetrySemantics.BY_KEY || keyTtlNanos >= 0 && keyScope != null,
                    "class key scope and ttl");
        }
    }

    /**
     * A tenant.
     *
     * @param fairShare its fair share of the service
     * @param quotaPerSecond the rate, over all sidecars, up to which its work has full utility
     */
    record Tenant(double fairShare, double quotaPerSecond) {
        public Tenant {
            require(fairShare >= 0 && quotaPerSecond >= 0, "tenant portion and quota");
        }
    }

    /**
     * Capabilities of the host; an action that it does not support is never issued. {@link LoadBalancingPolicy} does
     * not use peer messages or parallel attempts.
     *
     * @param maxAttempts most attempts of one request
     * @param maxRetryAfterNanos longest retry delay to give to a client, in nanoseconds
     * @param connectTimeoutNanos connect timeout of the host, in nanoseconds
     */
    record HostCapabilities(
            boolean canCancel,
            boolean canProbe,
            boolean canMessagePeers,
            boolean canAttemptInParallel,
            boolean canSendRetryAfter,
            int maxAttempts,
            long maxRetryAfterNanos,
            long connectTimeoutNanos) {
        public HostCapabilities {
            require(maxAttempts >= 1, "try limit");
            require(maxRetryAfterNanos >= 0 && connectTimeoutNanos >= 0, "retry-after and connect timeout");
        }
    }

    /**
     * Cost of overhead traffic, as a fraction of the total utility.
     *
     * @param probe cost of one probe per first try
     * @param peerMessage cost of one message of full size to a peer
     */
    record OverheadCosts(double probe, double peerMessage) {
        public OverheadCosts {
            require(probe >= 0 && peerMessage >= 0, "charges");
        }

        /** Overhead traffic is free of charge. */
        public static final OverheadCosts NONE = new OverheadCosts(0, 0);
    }

    /**
     * Safety limits of the service; times are in nanoseconds.
     *
     * @param responseSlackNanos how long after its deadline a request may get its final response
     * @param endpointRefreshNanos longest interval between two requests for the endpoint list
     * @param drainGraceNanos how soon new attempts to a draining upstream must stop
     * @param coldCapacityFraction fraction of its full capacity that a server has right after its start
     * @param rampNanos time over which a cold server's capacity grows evenly to its full value
     * @param overloadFactor multiple of its capacity at which a cold server becomes overloaded
     * @param overloadWindowNanos length of the window over which overload of a cold server is measured
     */
    record SafetyLimits(
            long responseSlackNanos,
            long endpointRefreshNanos,
            long drainGraceNanos,
            double coldCapacityFraction,
            long rampNanos,
            double overloadFactor,
            long overloadWindowNanos) {
        public SafetyLimits {
            require(responseSlackNanos >= 0 && endpointRefreshNanos >= 0 && drainGraceNanos >= 0, "rule times");
            require(coldCapacityFraction > 0 && coldCapacityFraction <= 1, "cold share");
            require(rampNanos >= 0 && overloadWindowNanos >= 0, "ramp and tip times");
            require(overloadFactor >= 1, "overload factor");
        }
    }

    /**
     * Settings of an instance. {@link LoadBalancingPolicy} does not use the zone, weights, unit of utility or
     * over-quota utility; hosts set them for implementations that do.
     *
     * @param replicaIndex index of this sidecar among the {@code replicaCount} of its tier
     * @param replicaCount number of sidecars of this tier
     * @param minEventIntervalNanos shortest time between two events, in nanoseconds
     * @param loadReportFields names of the values in a load report
     * @param utilityPerWork utility is earned per unit of work instead of per request
     * @param overQuotaUtilityFraction utility of a request beyond its tenant's quota, as a fraction of its
     *     class's utility
     */
    record Settings(
            int replicaIndex,
            int replicaCount,
            int zone,
            long minEventIntervalNanos,
            DiscoveryMode discoveryMode,
            WeightKind weightKind,
            List<RequestClass> classes,
            List<Tenant> tenants,
            HostCapabilities capabilities,
            SafetyLimits safetyLimits,
            List<String> loadReportFields,
            OverheadCosts overheadCosts,
            boolean utilityPerWork,
            double overQuotaUtilityFraction) {
        public Settings {
            require(replicaCount >= 1 && replicaIndex >= 0, "rank and replicas");
            require(minEventIntervalNanos >= 0, "quantum");
            require(!classes.isEmpty(), "classes");
            require(overQuotaUtilityFraction >= 0 && overQuotaUtilityFraction <= 1, "over-share worth");
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            loadReportFields = List.copyOf(loadReportFields);
        }
    }

    /**
     * An upstream as given in the endpoint list.
     *
     * @param id opaque identifier, stable across restarts
     * @param startedAtNanos time of its last start, in nanoseconds; 0 for long ago
     */
    record Upstream(
            long id, int zone, int serverKind, int cell, UpstreamState state, float weight, long startedAtNanos) {
        /** Returns a copy with the state {@link UpstreamState#GONE}. */
        public Upstream asGone() {
            return new Upstream(id, zone, serverKind, cell, UpstreamState.GONE, weight, startedAtNanos);
        }
    }

    /**
     * An attempt for an earlier request with the same idempotency key, which may have been executed.
     *
     * @param upstream where it was sent
     * @param sentAtNanos when it was sent
     */
    record PriorAttempt(long upstream, long sentAtNanos) {}

    /**
     * A client's request.
     *
     * @param requestClass index into {@link Settings#classes()}
     * @param tenant index into {@link Settings#tenants()}
     * @param resourceKey hash of the resource that the request refers to; 0 for none
     * @param clientTimeoutNanos time until the client abandons this try, in nanoseconds
     * @param costHintNanos estimated work in nanoseconds; 0 if unknown
     * @param clientRetry the client marked it as a retry
     * @param priorAttempt for BY_KEY: the first attempt with its key, in an earlier request, that upstreams may still
     *     remember; null if none is known
     */
    record Request(
            long id,
            int requestClass,
            int tenant,
            long resourceKey,
            long clientTimeoutNanos,
            long costHintNanos,
            boolean clientRetry,
            boolean write,
            PriorAttempt priorAttempt) {
        /** Creates a request of which no earlier attempt is known. */
        public Request(
                long id,
                int requestClass,
                int tenant,
                long resourceKey,
                long clientTimeoutNanos,
                long costHintNanos,
                boolean clientRetry,
                boolean write) {
            this(id, requestClass, tenant, resourceKey, clientTimeoutNanos, costHintNanos, clientRetry, write, null);
        }
    }

    /** Actions issued by an instance. The host executes each at the time of the event being handled. */
    interface Actions {
        /** Starts the request's next attempt; a timeout of 0 lasts until the client's own timeout. */
        void send(long request, long upstream, long timeoutNanos);

        /** Final response: not executed, safe to retry after the given delay; 0 gives the client no retry delay. */
        void refuse(long request, long retryAfterNanos);

        /** Final response: failed, possibly after having been executed. */
        void fail(long request);

        /** Cancels one attempt. */
        void cancelAttempt(long request, int attempt);

        /** Requests a call of {@link Balancer#timerFired} with this token at or after the given time. */
        void setTimer(long token, long dueNanos);

        /** Sends a probe to an upstream. */
        void probe(long upstream);

        /** Closes idle connections to an upstream. */
        void closeIdleConnections(long upstream);

        /** Sends at most 256 bytes to a peer, or to all peers if {@code peer} is {@link #ALL_PEERS}. */
        void sendToPeer(int peer, byte[] message);

        /** Writes a log line for operators. */
        void log(String line);

        /** Starts or ends the subscription to endpoint list changes; one list event follows. */
        void setSubscription(boolean subscribed);

        /** Requests the full endpoint list once; one list event follows. */
        void fetchEndpointList();

        /** Peer number that addresses all peers. */
        int ALL_PEERS = 0xffff;
    }

    /** Starts the instance, with a cached list that is current. */
    default void start(long now) {
        start(now, 0);
    }

    /**
     * Starts the instance.
     *
     * @param listAgeNanos how long the cached list may have been stale: the time since the process started
     */
    void start(long now, long listAgeNanos);

    /** The endpoint list has changed; {@code entries} is empty for {@link EndpointListKind#FAILED}. */
    void endpointListChanged(long now, EndpointListKind kind, List<Upstream> entries);

    /**
     * A call to discovery has failed, or its watch has ended.
     *
     * @param silentNanos how long nothing had been received on a watch that has fallen silent; otherwise 0
     */
    default void discoveryCallFailed(long now, long silentNanos) {
        endpointListChanged(now, EndpointListKind.FAILED, List.of());
    }

    /**
     * The host has switched to another discovery service, which ends the subscription; the instance starts it anew when
     * it is this sidecar's turn. Failures of earlier calls do not count any more.
     *
     * @param staleNanos how long ago the switch was requested: since then changes may have been missed
     */
    default void discoverySwitched(long now, long staleNanos) {}

    /** A client's request has arrived. */
    void requestArrived(long now, Request request);

    /** A streamed response has started: its attempt is bound to the client and has no deadline any more. */
    void firstByteReceived(long now, long request, int attempt, long upstream, long elapsedNanos);

    /** An attempt has ended; {@code requestEnded} if the request has ended, by this outcome or earlier. */
    void attemptEnded(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsedNanos,
            boolean requestEnded,
            float[] loadReport);

    /** The client has disconnected or cancelled the request. */
    void clientDisconnected(long now, long request);

    /** A timer set by {@link Actions#setTimer} has fired. */
    void timerFired(long now, long token);

    /** A probe has ended. */
    default void probeEnded(long now, long upstream, Outcome outcome, long elapsedNanos, float[] loadReport) {}

    /** The host shuts down soon: requests still open at {@code endNanos} get their final response then. */
    default void shutdownScheduled(long now, long endNanos) {}

    /** Value of {@code sender} for messages with the outlier reports of other sidecars about upstreams. */
    int PEER_OUTLIER_REPORTS = 0;
    /** Value of {@code sender} for leases on this sidecar's part of the common budget for cold upstreams. */
    int COLD_START_LEASES = 1;

    /**
     * A message from other sidecars of this tier has arrived; see {@link #PEER_OUTLIER_REPORTS} and {@link
     * #COLD_START_LEASES}.
     */
    default void peerMessageReceived(long now, int sender, byte[] message) {}

    private static void require(boolean valid, String setting) {
        if (!valid) {
            throw new IllegalArgumentException("invalid setting: " + setting);
        }
    }
}
