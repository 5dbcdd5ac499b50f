package pondridge;

import java.util.List;

/**
 * The load-balancing policy of one sidecar. The methods are its input events, {@link Actions} its output and
 * {@link Settings} its configuration. {@link Rules} implements it.
 *
 * <p><b>Obligations of the host.</b> An instance belongs to one sidecar and is used by one thread. Every event
 * carries the current time in nanoseconds from one monotonic clock with an arbitrary origin. {@link #start} is
 * called first, then {@link #listChanged} with a {@link ListKind#CACHED} list. Request ids are never reused.
 * Every {@link Actions#send} is followed by exactly one {@link #outcome}, even if the request has already ended.
 * The attempts of a request are numbered 0, 1, 2, ... in the order in which they are sent. Timers fire at or
 * after their time, never inside the call that sets them. A restarted sidecar uses a new instance with a new
 * seed.
 *
 * <p><b>Obligations of the instance.</b> Actions are issued during the call of an event and take effect in order,
 * at the time of that event. Each request gets one final response: the first {@link Outcome#OK}, which the host
 * forwards to the client, {@link Actions#refuse} or {@link Actions#fail}, no later than its deadline plus
 * {@link Limits#answerSlack()}. Equal settings, seeds and events give equal actions. Events about requests,
 * attempts or upstreams that the instance no longer tracks are ignored.
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
        public boolean provesNeverRan() {
            return notExecuted;
        }
    }

    /** Whether a class of requests may be retried after an attempt that may have been executed. */
    enum Semantics {
        REPEATABLE,
        BY_KEY,
        ONCE
    }

    /** Which upstreams share deduplication by key: all of them, those of one zone, or those of one cell. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** State of an upstream in the endpoint list. */
    enum State {
        GONE,
        READY,
        DRAINING
    }

    /**
     * Kind of an endpoint list event: changes only, the full list, the list cached before the start, or a
     * failed call to discovery.
     */
    enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** Whether the endpoint list is pushed automatically or requires a subscription. */
    enum Discovery {
        AUTOMATIC,
        SUBSCRIBE
    }

    /** Meaning of {@link Upstream#weight()}: LIVE weights change with the load, SILENT ones are always 1. */
    enum Weights {
        SILENT,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /**
     * A class of requests; times are in nanoseconds.
     *
     * @param aim the latency objective: a response within this time earns the full utility
     * @param aimStretch multiple of the request's work by which the objective grows, up to the deadline
     * @param deadline the longest time that a client waits, over all its tries
     * @param worth the utility of a response within the objective
     * @param lateShare fraction of the utility earned between the objective and the deadline
     * @param semantics whether requests may be retried after an attempt that may have been executed
     * @param scope for BY_KEY: which upstreams share deduplication
     * @param keyTtl for BY_KEY: how long duplicates are dropped, counted from the first attempt that may have been
     *     executed
     * @param stream the response is streamed: {@link Balancer#firstByte} reports its start
     */
    record RequestClass(
            long aim,
            double aimStretch,
            long deadline,
            double worth,
            double lateShare,
            Semantics semantics,
            Scope scope,
            long keyTtl,
            boolean stream) {
        public RequestClass {
            require(aim > 0, "class slo");
            require(deadline >= aim, "class deadline");
            require(worth >= 0 && Double.isFinite(worth), "class worth");
            require(semantics != Semantics.BY_KEY || keyTtl >= 0 && scope != null, "class key scope and ttl");
        }
    }

    /**
     * A tenant.
     *
     * @param portion its fair share of the service
     * @param quotaPerSecond the rate, over all sidecars, up to which its work has full utility
     */
    record Tenant(double portion, double quotaPerSecond) {
        public Tenant {
            require(portion >= 0 && quotaPerSecond >= 0, "tenant portion and quota");
        }
    }

    /**
     * Capabilities of the host; an action that it does not support is never issued. {@link Rules} does not use
     * peer messages or parallel attempts.
     *
     * @param tryLimit most attempts of one request
     * @param maxRetryAfter longest retry delay to give to a client, in nanoseconds
     * @param connectTimeout connect timeout of the host, in nanoseconds
     */
    record Allowed(
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean parallelTries,
            boolean retryAfter,
            int tryLimit,
            long maxRetryAfter,
            long connectTimeout) {
        public Allowed {
            require(tryLimit >= 1, "try limit");
            require(maxRetryAfter >= 0 && connectTimeout >= 0, "retry-after and connect timeout");
        }
    }

    /**
     * Cost of overhead traffic, as a fraction of the total utility.
     *
     * @param probe cost of one probe per first try
     * @param peer cost of one message of full size to a peer
     */
    record Charges(double probe, double peer) {
        public Charges {
            require(probe >= 0 && peer >= 0, "charges");
        }

        /** Overhead traffic is free of charge. */
        public static final Charges NONE = new Charges(0, 0);
    }

    /**
     * Parameters of the four service rules; times are in nanoseconds.
     *
     * @param answerSlack how long after its deadline a request may get its final response
     * @param askWithin longest interval between two requests for the endpoint list
     * @param drainGrace how soon new attempts to a draining upstream must stop
     * @param coldShare fraction of its full capacity that a server has right after its start
     * @param rampTime time over which a cold server's capacity grows evenly to its full value
     * @param overloadFactor multiple of its capacity at which a cold server becomes overloaded
     * @param tipAfter length of the window over which overload of a cold server is measured
     */
    record Limits(
            long answerSlack,
            long askWithin,
            long drainGrace,
            double coldShare,
            long rampTime,
            double overloadFactor,
            long tipAfter) {
        public Limits {
            require(answerSlack >= 0 && askWithin >= 0 && drainGrace >= 0, "rule times");
            require(coldShare > 0 && coldShare <= 1, "cold share");
            require(rampTime >= 0 && tipAfter >= 0, "ramp and tip times");
            require(overloadFactor >= 1, "overload factor");
        }
    }

    /**
     * Settings of an instance. {@link Rules} does not use the rank, zone, weights, unit of utility or over-quota
     * utility; hosts set them for implementations that do.
     *
     * @param rank index of this sidecar among {@code replicas}
     * @param replicas number of sidecars of this tier
     * @param quantum shortest time between two events, in nanoseconds
     * @param reportFields names of the values in a load report
     * @param valueByWork utility is earned per unit of work instead of per request
     * @param overShareWorth utility of a request beyond its tenant's quota, as a fraction of its class's utility
     */
    record Settings(
            int rank,
            int replicas,
            int zone,
            long quantum,
            Discovery discovery,
            Weights weights,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Allowed allowed,
            Limits limits,
            List<String> reportFields,
            Charges charges,
            boolean valueByWork,
            double overShareWorth) {
        public Settings {
            require(replicas >= 1 && rank >= 0, "rank and replicas");
            require(quantum >= 0, "quantum");
            require(!classes.isEmpty(), "classes");
            require(overShareWorth >= 0 && overShareWorth <= 1, "over-share worth");
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            reportFields = List.copyOf(reportFields);
        }
    }

    /**
     * An upstream as given in the endpoint list.
     *
     * @param id opaque identifier, stable across restarts
     * @param startedAt time of its last start, in nanoseconds; 0 for long ago
     */
    record Upstream(long id, int zone, int kind, int cell, State state, float weight, long startedAt) {
        /** Returns a copy with the state {@link State#GONE}. */
        public Upstream gone() {
            return new Upstream(id, zone, kind, cell, State.GONE, weight, startedAt);
        }
    }

    /**
     * A client's request.
     *
     * @param requestClass index into {@link Settings#classes()}
     * @param tenant index into {@link Settings#tenants()}
     * @param key hash of the resource that the request refers to; 0 for none
     * @param timeLeft time until the client abandons this try, in nanoseconds
     * @param costHint estimated work in nanoseconds; 0 if unknown
     * @param clientRetry the client marked it as a retry
     */
    record Request(
            long id,
            int requestClass,
            int tenant,
            long key,
            long timeLeft,
            long costHint,
            boolean clientRetry,
            boolean write) {}

    /** Actions issued by an instance. The host executes each at the time of the event being handled. */
    interface Actions {
        /** Starts the request's next attempt; a timeout of 0 lasts until the client's own timeout. */
        void send(long request, long upstream, long timeoutNanos);

        /** Final response: not executed, safe to retry after the given delay; 0 gives the client no retry delay. */
        void refuse(long request, long retryAfterNanos);

        /** Final response: failed, possibly after having been executed. */
        void fail(long request);

        /** Cancels one attempt. */
        void cancel(long request, int attempt);

        /** Requests a call of {@link Balancer#timer} with this token at or after the given time. */
        void timer(long token, long dueNanos);

        /** Sends a probe to an upstream. */
        void probe(long upstream);

        /** Closes idle connections to an upstream. */
        void closeIdle(long upstream);

        /** Sends at most 256 bytes to a peer, or to all peers if {@code peer} is {@link #ALL_PEERS}. */
        void tell(int peer, byte[] message);

        /** Writes a log line for operators. */
        void log(String line);

        /** Starts or ends the subscription to endpoint list changes; one list event follows. */
        void subscribe(boolean subscribed);

        /** Requests the full endpoint list once; one list event follows. */
        void fetchList();

        /** Peer number that addresses all peers. */
        int ALL_PEERS = 0xffff;
    }

    /** Starts the instance. */
    void start(long now);

    /** The endpoint list has changed; {@code entries} is empty for {@link ListKind#FAILED}. */
    void listChanged(long now, ListKind kind, List<Upstream> entries);

    /** A client's request has arrived. */
    void request(long now, Request request);

    /** A streamed response has started: its attempt is bound to the client and has no deadline any more. */
    void firstByte(long now, long request, int attempt, long upstream, long elapsedNanos);

    /** An attempt has ended; {@code requestEnded} if the request has ended, by this outcome or earlier. */
    void outcome(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsedNanos,
            boolean requestEnded,
            float[] loadReport);

    /** The client has disconnected or cancelled the request. */
    void hangup(long now, long request);

    /** A timer set by {@link Actions#timer} has fired. */
    void timer(long now, long token);

    /** A probe has ended. */
    default void probeResult(long now, long upstream, Outcome outcome, long elapsedNanos, float[] loadReport) {}

    /** The host shuts down soon: requests still open at {@code endNanos} get their final response then. */
    default void ending(long now, long endNanos) {}

    /** Value of {@code sender} for messages with the outlier reports of other sidecars about upstreams. */
    int HEARSAY = 0;
    /** Value of {@code sender} for leases on this sidecar's part of the common budget for cold upstreams. */
    int LEASES = 1;

    /** A message from other sidecars of this tier has arrived; see {@link #HEARSAY} and {@link #LEASES}. */
    default void peerMessage(long now, int sender, byte[] message) {}

    private static void require(boolean valid, String setting) {
        if (!valid) {
            throw new IllegalArgumentException("invalid setting: " + setting);
        }
    }
}
