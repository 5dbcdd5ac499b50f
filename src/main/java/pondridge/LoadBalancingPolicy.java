package pondridge;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Load-balancing policy of one sidecar: server selection, health tracking, admission control and retries. The
 * interface with its settings, events and actions is {@link Balancer}.
 *
 * <p>The normal path is {@link Rotation#pick}: it walks a randomly drawn, fixed order over all ready servers
 * and takes whichever of the current entry and the next has fewer of this sidecar's requests in flight. The
 * other parts either restrict which servers are eligible for a request ({@link ServerList}, {@link
 * HealthTracker}, {@link AdmissionControl}) or track requests and attempts ({@link RequestTracker}). A comment
 * beside each exception to the normal path names the failure that it prevents.
 */
public final class LoadBalancingPolicy implements Balancer {
    private final Settings settings;
    private final Actions actions;
    private final Random random;
    /** Mixes its seed: the first draws of {@link Random} are nearly equal for consecutive seeds. */
    private final SplittableRandom jitterRandom;

    private final Rotation rotation = new Rotation();
    private final RequestTracker tracker = new RequestTracker();
    private final ServerList serverList;
    private final HealthTracker health;
    private final AdmissionControl admission;
    private final LoadProbes probes;
    private final TimerQueue timers;

    /** Creates the policy of one sidecar. The seed is the only source of randomness. */
    public LoadBalancingPolicy(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.jitterRandom = new SplittableRandom(seed);
        this.timers = new TimerQueue(actions);
        this.serverList = new ServerList();
        this.health = new HealthTracker();
        this.admission = new AdmissionControl();
        this.probes = new LoadProbes();
    }

    @Override
    public void start(long now, long listAgeNanos) {
        serverList.start(now, listAgeNanos);
        timers.armHostTimer();
    }

    @Override
    public void endpointListChanged(long now, EndpointListKind kind, List<Upstream> entries) {
        serverList.updateWarmRate(now);
        serverList.listChanged(now, kind, entries);
        admission.drainQueues(now);
        timers.armHostTimer();
    }

    @Override
    public void discoveryCallFailed(long now, long silentNanos) {
        serverList.callFailed(now, silentNanos);
        timers.armHostTimer();
    }

    @Override
    public void discoverySwitched(long now, long staleNanos) {
        serverList.discoverySwitched(now, staleNanos);
        timers.armHostTimer();
    }

    @Override
    public void requestArrived(long now, Request request) {
        if (request.requestClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("request of unknown class " + request.requestClass());
        }
        Call call = tracker.register(now, request);
        admission.admit(now, call);
        timers.armHostTimer();
    }

    @Override
    public void firstByteReceived(long now, long request, int attempt, long upstream, long elapsedNanos) {
        Call call = tracker.calls.get(request);
        if (call != null && attempt < call.attempts.size()) {
            call.streaming = true;
        }
    }

    @Override
    public void attemptEnded(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsedNanos,
            boolean requestEnded,
            float[] loadReport) {
        admission.fleetLoad.onReport(now, loadReport);
        tracker.onAttemptEnd(now, request, attempt, outcome, requestEnded);
        admission.drainQueues(now);
        timers.armHostTimer();
    }

    @Override
    public void probeEnded(long now, long upstream, Outcome outcome, long elapsedNanos, float[] loadReport) {
        Server server = serverList.servers.get(upstream);
        if (server != null) {
            probes.onProbeResult(now, server, outcome, loadReport);
        }
        timers.armHostTimer();
    }

    /**
     * Handles a message from other sidecars.
     *
     * <p>A peer report holds, for each reported server, 8 bytes of server id and 4 bytes of slowdown: a float,
     * the response time as a multiple of the expected one. It is only a hint, see {@link
     * HealthTracker#onPeerReport}.
     *
     * <p>A lease message holds, for each of some cold servers, 8 bytes of server id, 4 bytes of permits (a
     * float number of requests) and 4 bytes of lifetime (an integer number of milliseconds from now), see
     * {@link ServerList#coldBudgetAllows}.
     */
    @Override
    public void peerMessageReceived(long now, int sender, byte[] message) {
        ByteBuffer buffer = ByteBuffer.wrap(message);
        while (sender == COLD_START_LEASES && buffer.remaining() >= Long.BYTES + Float.BYTES + Integer.BYTES) {
            Server server = serverList.servers.get(buffer.getLong());
            double permits = buffer.getFloat();
            int durationMillis = buffer.getInt();
            if (server != null
                    && permits >= 0
                    && permits <= ServerList.MAX_LEASE_PERMITS
                    && durationMillis > 0
                    && durationMillis <= ServerList.MAX_LEASE_MILLIS) {
                server.lease = new Lease(permits, now, now + durationMillis * 1_000_000L, random.nextDouble());
            }
        }
        while (sender == PEER_OUTLIER_REPORTS && buffer.remaining() >= Long.BYTES + Float.BYTES) {
            Server server = serverList.servers.get(buffer.getLong());
            double slowdown = buffer.getFloat();
            if (server != null && slowdown > 1 && slowdown <= HealthTracker.MAX_PEER_SLOWDOWN) {
                health.onPeerReport(now, server, slowdown);
            }
        }
        admission.drainQueues(now);
        timers.armHostTimer();
    }

    @Override
    public void clientDisconnected(long now, long request) {
        Call call = tracker.calls.get(request);
        if (call != null) {
            tracker.close(call, false);
        }
    }

    /**
     * Responds to all open requests at {@code endNanos}. Requests on a server that hangs beyond the shutdown
     * would otherwise get no response at all.
     */
    @Override
    public void shutdownScheduled(long now, long endNanos) {
        tracker.calls
                .values()
                .forEach(call -> timers.schedule(endNanos, firedAt -> {
                    if (!call.streaming) {
                        tracker.refuseOrFail(firedAt, call);
                    }
                }));
        timers.armHostTimer();
    }

    @Override
    public void timerFired(long now, long token) {
        timers.runDueTimers(now, token);
        admission.drainQueues(now);
        timers.armHostTimer();
    }

    /** The order of the ready servers, the current position in it, and the pick. */
    private final class Rotation {
        private final List<Server> order = new ArrayList<>();
        private int position;

        /** Draws a uniformly random permutation of the ready servers. The argument is sorted by id. */
        void reshuffle(List<Server> readyServers) {
            order.clear();
            order.addAll(readyServers);
            Collections.shuffle(order, random);
            position = 0;
        }

        /**
         * Returns whichever of the current entry and the next has fewer requests in flight, the current one on
         * a tie. Entries that are not eligible for this request are skipped. Only first attempts advance the
         * position: a retry has few eligible entries and would distribute the turns unevenly. Returns null if no entry
         * is eligible.
         */
        Server pick(long now, Call call, boolean ignoreHealth) {
            if (tracker.isRepeat(call) && !tracker.mayRetry(now, call)) {
                return null;
            }
            Server current = null;
            Server fallback = null;
            int start = position;
            for (int i = 0; i < order.size(); i++) {
                int index = (start + i) % order.size();
                Server server = order.get(index);
                if (!isEligible(now, server, call, ignoreHealth)) {
                    continue;
                }
                if (current != null) {
                    return server.inFlight < current.inFlight ? server : current;
                }
                if (!takeTurn(server, call)) {
                    fallback = fallback == null ? server : fallback;
                    continue;
                }
                current = server;
                if (call.attempts.isEmpty()) {
                    position = (index + 1) % order.size();
                }
            }
            return current != null ? current : fallback;
        }

        /** Returns up to {@code limit} eligible entries, starting at the current position. */
        List<Server> nextEligible(long now, Call call, int limit) {
            List<Server> eligible = new ArrayList<>(limit);
            for (int i = 0; i < order.size() && eligible.size() < limit; i++) {
                Server server = order.get((position + i) % order.size());
                if (isEligible(now, server, call, false)) {
                    eligible.add(server);
                }
            }
            return eligible;
        }

        /**
         * Adds to the server's turn credit. A slow server is skipped until its credit amounts to a whole turn.
         */
        private boolean takeTurn(Server server, Call call) {
            server.turnCredit += health.turnShare(server, call);
            if (server.turnCredit < 1) {
                return false;
            }
            server.turnCredit -= 1;
            return true;
        }
    }

    /** Whether a request may be sent to a server now. Evaluates the cheapest conditions first. */
    private boolean isEligible(long now, Server server, Call call, boolean ignoreHealth) {
        return tracker.mayAttemptOn(call, server)
                && server.inFlight < Math.max(1, (int) server.concurrencyLimit)
                && (ignoreHealth || health.allows(now, server, call) && !probes.excludes(server, call))
                && serverList.coldBudgetAllows(now, server, call);
    }

    /**
     * This sidecar's share of the requests that all sidecars together may send to a cold server for a limited
     * time.
     */
    private static final class Lease {
        final double permits;
        final long startsAt;
        final long expiresAt;
        final double startOffset;
        int used;

        Lease(double permits, long startsAt, long expiresAt, double startOffset) {
            this.permits = permits;
            this.startsAt = startsAt;
            this.expiresAt = expiresAt;
            this.startOffset = startOffset;
        }

        /**
         * Releases the permits evenly over the lease, from a random offset on, so that the leases of many
         * sidecars do not start together.
         */
        boolean hasPermit(long now) {
            return used + 1 <= Math.min(permits, permits * (now - startsAt) / (expiresAt - startsAt) + startOffset);
        }
    }

    /** State and statistics of one upstream server. */
    private static final class Server {
        final DecayingSum servedWork;
        final DecayingSum recentServedWork;
        Upstream entry;
        int inFlight;
        long coldUntil;
        double turnCredit;
        double coldTokens;
        boolean coldBucketStarted;
        long coldTokensUpdatedAt;
        Lease lease;
        double expectedResponseRate;
        long expectedResponsesUpdatedAt;
        double expectedResponses;
        double observedResponses;
        long lastResponseAt;
        double peerReportedSlowdown;
        int connectFailures;
        long nextTrialAt;
        long trialBackoffNanos;
        double concurrencyLimit = AdmissionControl.INITIAL_CONCURRENCY_LIMIT;
        long lastLimitDecreaseAt;
        double reportedInFlight = Double.MAX_VALUE;
        final List<Call> probeWaiters = new ArrayList<>(2);

        Server(Upstream entry, long now, SafetyLimits limits) {
            this.servedWork = new DecayingSum(Math.max(1, limits.rampNanos()), 0);
            this.recentServedWork = new DecayingSum(Math.max(1, limits.overloadWindowNanos() / 3), 0);
            this.entry = entry;
            this.expectedResponsesUpdatedAt = now;
            this.coldTokensUpdatedAt = now;
        }
    }

    private static final class Attempt {
        final Server server;
        final long sentAt;
        final int inFlightAtSend;
        final double reportedInFlightAtSend;
        /** This attempt, as long as {@link #mayHaveRun}. */
        final UncertainAttempt uncertainAttempt;

        boolean outstanding = true;
        boolean mayHaveRun = true;

        Attempt(Server server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
            this.uncertainAttempt = new UncertainAttempt(server, sentAt);
            this.inFlightAtSend = server.inFlight;
            this.reportedInFlightAtSend = server.reportedInFlight++;
        }
    }

    /**
     * An attempt that may have run.
     *
     * @param server null if it was never listed here
     */
    private record UncertainAttempt(Server server, long sentAt) {}

    private static final class Call {
        /**
         * Multiple of the expected response time. A request that stays queued until less time remains is late
         * half the time.
         */
        static final double ON_TIME_MARGIN = 1.5;

        final Request request;
        final RequestClass requestClass;
        final long deadline;
        final long sloNanos;
        final long sloDeadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** The attempt for an earlier request with the same key; null if there is none. */
        final UncertainAttempt priorAttempt;

        TimerQueue.Timer deadlineTimer;
        TimerQueue.Timer queueTimer;
        /** Ends the wait for the results of the current probes. */
        TimerQueue.Timer probeTimer;

        boolean closed;
        boolean queued;
        boolean streaming;
        boolean probed;
        int pendingProbes;
        List<Server> probedServers = List.of();
        double maxReportedInFlight;
        double expectedNanos;
        /** Time that must remain for the request to be started. */
        double minRemainingNanos;
        /** Number of similar requests that arrived for each admitted one. */
        double samplingWeight = 1;

        boolean countedAsCompleted;

        Call(
                Request request,
                RequestClass requestClass,
                UncertainAttempt priorAttempt,
                long now,
                long elapsedOnEarlierTries) {
            this.request = request;
            this.priorAttempt = priorAttempt;
            this.requestClass = requestClass;
            this.deadline = now + request.clientTimeoutNanos();
            double stretchedSloNanos = requestClass.sloNanos() + requestClass.sloWorkFactor() * request.costHintNanos();
            this.sloNanos = (long) Math.min(stretchedSloNanos, requestClass.deadlineNanos());
            this.sloDeadline = now
                    - elapsedOnEarlierTries
                    + Math.min(request.clientTimeoutNanos() + elapsedOnEarlierTries, sloNanos);
        }

        /** Whether the last attempt is outstanding. There is never more than one. */
        boolean hasOutstandingAttempt() {
            return !attempts.isEmpty() && attempts.get(attempts.size() - 1).outstanding;
        }
    }

    /** Tracks the attempts of each request, which of them may have run, and its single final response. */
    private final class RequestTracker {
        private final Map<Long, Call> calls = new HashMap<>();

        Call register(long now, Request request) {
            Call call = new Call(
                    request,
                    settings.classes().get(request.requestClass()),
                    priorAttempt(request),
                    now,
                    admission.elapsedOnEarlierTries(now, request));
            // Bounded below: with an expected time of zero, timers set one expected time apart would never
            // advance.
            call.expectedNanos = Math.max(
                    call.sloNanos / 1000.0,
                    health.serviceTimes[request.requestClass()].expectedNanos(request.costHintNanos()));
            // A client's later try is its last, so half the expected time is enough. A request with a short
            // client timeout keeps running on the server after its client has left, so most of them must be on
            // time. If all requests have short timeouts, refusing them would leave no response that shows a
            // recovery. The strict rule therefore applies only if the estimate was updated within one SLO.
            boolean shortTimeout = call.sloDeadline == call.deadline
                    && request.clientTimeoutNanos() < call.sloNanos
                    && now - health.serviceTimes[request.requestClass()].lastSampleNanos < call.sloNanos;
            // Bounded above: a class expected to take longer than two SLOs would send nothing and never correct
            // its estimate.
            call.minRemainingNanos = shortTimeout
                    ? Call.ON_TIME_MARGIN * call.expectedNanos
                    : 0.5 * Math.min(call.expectedNanos, Math.min(call.sloNanos, request.clientTimeoutNanos()));
            calls.put(request.id(), call);
            call.deadlineTimer = timers.schedule(call.deadline, firedAt -> {
                if (!call.streaming) {
                    refuseOrFail(firedAt, call);
                }
            });
            return call;
        }

        private UncertainAttempt priorAttempt(Request request) {
            PriorAttempt prior = request.priorAttempt();
            if (prior == null) {
                return null;
            }
            Server server = serverList.servers.get(prior.upstream());
            return new UncertainAttempt(server, prior.sentAtNanos());
        }

        /** Returns the first attempt that may have run, or null if every attempt is proven not to have run. */
        private UncertainAttempt firstThatMayHaveRun(Call call) {
            if (call.priorAttempt != null) {
                return call.priorAttempt;
            }
            for (Attempt attempt : call.attempts) {
                if (attempt.mayHaveRun) {
                    return attempt.uncertainAttempt;
                }
            }
            return null;
        }

        /** Whether the next attempt is not the first one for this request, or for an earlier one with the same key. */
        boolean isRepeat(Call call) {
            return !call.attempts.isEmpty() || call.priorAttempt != null;
        }

        /** Whether the next attempt is allowed now on some ready server. */
        boolean mayAttemptNow(long now, Call call) {
            return !isRepeat(call)
                    || mayRetry(now, call)
                            && serverList.readyServers.stream().anyMatch(next -> mayAttemptOn(call, next));
        }

        /** Whether another attempt is allowed now, on whichever server. */
        boolean mayRetry(long now, Call call) {
            if (call.closed
                    || call.streaming
                    || now >= call.deadline
                    || call.hasOutstandingAttempt()
                    || call.attempts.size() >= settings.capabilities().maxAttempts()) {
                return false;
            }
            UncertainAttempt uncertain = firstThatMayHaveRun(call);
            return uncertain == null
                    || switch (call.requestClass.retrySemantics()) {
                        case REPEATABLE -> true;
                        case ONCE -> false;
                            // One event interval is subtracted because the send takes effect at the end of this event
                            // batch.
                        case BY_KEY -> now + settings.minEventIntervalNanos()
                                < uncertain.sentAt + call.requestClass.keyTtlNanos();
                    };
        }

        /** Whether the next attempt, if one is allowed, may go to this server. */
        boolean mayAttemptOn(Call call, Server server) {
            for (Attempt attempt : call.attempts) {
                if (attempt.server == server) {
                    return false;
                }
            }
            UncertainAttempt uncertain = firstThatMayHaveRun(call);
            if (uncertain == null || call.requestClass.retrySemantics() != RetrySemantics.BY_KEY) {
                return true;
            }
            Server first = uncertain.server;
            return switch (call.requestClass.keyScope()) {
                case ALL -> true;
                case ZONE -> first != null && first.entry.zone() == server.entry.zone();
                case CELL -> first != null && first.entry.cell() == server.entry.cell();
            };
        }

        /** Starts an attempt. No other method sends. */
        void send(long now, Call call, Server server) {
            Attempt attempt = new Attempt(server, now);
            call.attempts.add(attempt);
            call.queued = false;
            call.probed = false;
            call.probedServers = List.of();
            health.onSend(now, server, call);
            server.coldTokens -= serverList.estimatedWork(call);
            if (server.lease != null) {
                server.lease.used++;
            }
            server.inFlight++;
            // Work past its SLO occupies a core that requests still on time could use. The attempt is cancelled
            // only where probes show what an upstream holds; elsewhere cancelled work would keep running
            // unobserved.
            boolean uselessAfterSlo =
                    probes.enabled() && call.requestClass.lateUtilityFraction() == 0 && call.sloDeadline > now;
            actions.send(call.request.id(), server.entry.id(), uselessAfterSlo ? call.sloDeadline - now : 0);
        }

        void onAttemptEnd(long now, long requestId, int attemptIndex, Outcome outcome, boolean requestEnded) {
            Call call = calls.get(requestId);
            if (call == null || attemptIndex >= call.attempts.size() || !call.attempts.get(attemptIndex).outstanding) {
                return;
            }
            Attempt attempt = call.attempts.get(attemptIndex);
            attempt.outstanding = false;
            attempt.mayHaveRun = !outcome.provesNotExecuted();
            Server server = attempt.server;
            server.inFlight--;
            health.onAttemptEnd(now, attempt, outcome, call);
            // An attempt that was never sent is no evidence about the servers. Clients that leave while a
            // connection is being established would count as late responses, and a burst of them would cause
            // later requests to be refused.
            if (outcome != Outcome.CONNECT_FAILED && outcome != Outcome.NEVER_SENT) {
                admission.onAttemptEnd(now, attempt, outcome, call);
            }
            serverList.onAttemptEnd(now, attempt, outcome, call);
            if (requestEnded || call.closed) {
                close(call, outcome == Outcome.OK);
                return;
            }
            // Without an untried server, a request queued for a retry would never be sent.
            if (mayAttemptNow(now, call) && admission.retryWorthwhile(now, call)) {
                admission.admit(now, call);
            } else {
                refuseOrFail(now, call);
            }
        }

        /**
         * Sends the final response: a refusal if a retry by the client is known to be safe, otherwise a
         * failure.
         */
        void refuseOrFail(long now, Call call) {
            if (call.closed) {
                return;
            }
            if (clientRetryIsSafe(now, call)) {
                actions.refuse(call.request.id(), admission.retryAfterNanos(call));
            } else {
                actions.fail(call.request.id());
            }
            close(call, false);
        }

        /**
         * Whether the client may send the request again without a second effect. A key must be remembered for as long
         * as the client's retry can still reach an upstream: it may wait before the retry, and the retry may be queued
         * or sent again until its own deadline.
         */
        private boolean clientRetryIsSafe(long now, Call call) {
            UncertainAttempt uncertain = firstThatMayHaveRun(call);
            if (uncertain == null) {
                return true;
            }
            return switch (call.requestClass.retrySemantics()) {
                case REPEATABLE -> true;
                case ONCE -> false;
                case BY_KEY -> {
                    long latestRetryAt =
                            now + settings.capabilities().maxRetryAfterNanos() + call.requestClass.deadlineNanos();
                    yield call.requestClass.keyScope() == KeyScope.ALL
                            && latestRetryAt < uncertain.sentAt + call.requestClass.keyTtlNanos();
                }
            };
        }

        /** Closes a request; nothing more is sent for it. Its outstanding attempt still counts as in flight. */
        void close(Call call, boolean succeeded) {
            if (!call.closed && !succeeded) {
                admission.unservedRequests.add(call);
            }
            if (!call.closed
                    && call.hasOutstandingAttempt()
                    && !call.streaming
                    && settings.capabilities().canCancel()) {
                actions.cancelAttempt(call.request.id(), call.attempts.size() - 1);
            }
            call.closed = true;
            admission.removeFromQueue(call);
            timers.cancel(call.deadlineTimer);
            probes.endWait(call);
            if (!call.hasOutstandingAttempt()) {
                calls.remove(call.request.id());
            }
        }
    }

    /** The server list, the subscription to discovery, and the request budgets of cold servers. */
    private final class ServerList {
        /** Leases above these limits are ignored as invalid. */
        static final double MAX_LEASE_PERMITS = 1e6;

        static final int MAX_LEASE_MILLIS = 60_000;
        /** How many servers that have left the list are kept, so that one that comes back is recognized. */
        private static final int MAX_GONE_SERVERS = 4_096;

        private final TreeMap<Long, Server> servers = new TreeMap<>();
        /** Ids of servers that have left the list, in the order in which they left. */
        private final Set<Long> goneServers = new LinkedHashSet<>();

        private List<Server> readyServers = List.of();
        private boolean listReceived;
        /** After this time without any outcome a discovery call is replaced: 2 s are left for the next one. */
        private static final long SUBSCRIBE_TIMEOUT_NANOS =
                DiscoveryCallSchedule.RECEIVE_WITHIN_NANOS - DiscoveryCallSchedule.MAX_CALL_NANOS;

        private final DiscoveryCallSchedule callSchedule = new DiscoveryCallSchedule(
                settings.replicaIndex(),
                settings.replicaCount(),
                settings.safetyLimits().drainGraceNanos());

        private final double overloadFactor = settings.safetyLimits().overloadFactor();
        /**
         * Multiple of the observed rate of warm servers that a cold one may receive: half of the overload that
         * a cold server tolerates.
         */
        private final double warmRateFactor = Math.max(1, overloadFactor / 2);
        /**
         * Multiple of its response rate at which a server may receive requests while all servers are cold;
         * lower if a server tolerates less overload.
         */
        private final double growthFactor = Math.min(2, overloadFactor - 1);
        /** Fraction of the overload window's work that may accumulate as a burst, in addition to the rate. */
        private final double burstFraction =
                Math.max(0.1, Math.min(0.5, overloadFactor / Math.max(warmRateFactor, growthFactor) - 1));

        private final DecayingSum servedWork =
                new DecayingSum(Math.max(1, settings.safetyLimits().rampNanos()), 0);
        private long warmServers;
        private double warmServerRate;
        private double lastWarmServerRate;
        private long warmRateUpdatedAt = Long.MIN_VALUE;
        private List<Server> warmRateServers = List.of();
        private long lastServedAt;
        private long observedSince;
        private long subscribeGeneration;
        private boolean subscriptionBroken;

        /** Makes the first call, or schedules it. */
        void start(long now, long listAgeNanos) {
            subscribeAt(now, callSchedule.firstCallAt(now, listAgeNanos, jitterRandom.nextDouble()));
        }

        private void subscribeAt(long now, long callAt) {
            if (callAt <= now || settings.discoveryMode() != DiscoveryMode.SUBSCRIBE) {
                subscribe(now);
            } else {
                scheduleSubscribe(callAt);
            }
        }

        void subscribe(long now) {
            subscriptionBroken = false;
            if (settings.discoveryMode() == DiscoveryMode.SUBSCRIBE) {
                callSchedule.callStarted(now);
                actions.setSubscription(true);
                scheduleSubscribe(now + SUBSCRIBE_TIMEOUT_NANOS);
            }
        }

        private void scheduleSubscribe(long subscribeAt) {
            long generation = ++subscribeGeneration;
            timers.schedule(subscribeAt, now -> {
                if (generation == subscribeGeneration) {
                    subscribe(now);
                }
            });
        }

        /**
         * Schedules the next subscription call. A broken subscription delivers no more changes. At most one call is
         * outstanding.
         */
        void callFailed(long now, long silentNanos) {
            if (!subscriptionBroken) {
                subscriptionBroken = true;
                scheduleSubscribe(callSchedule.nextCallAt(now, silentNanos, jitterRandom.nextDouble()));
            }
        }

        void discoverySwitched(long now, long staleNanos) {
            if (settings.discoveryMode() == DiscoveryMode.SUBSCRIBE) {
                subscriptionBroken = true;
                subscribeAt(now, callSchedule.callAfterSwitchAt(now, staleNanos, jitterRandom.nextDouble()));
            }
        }

        void listChanged(long now, EndpointListKind kind, List<Upstream> entries) {
            if (kind == EndpointListKind.FAILED) {
                callFailed(now, 0);
                return;
            }
            // A full list may arrive by a separate fetch while the subscription is broken. Taken for the
            // response of the subscription, it would end the calls for good.
            if (kind != EndpointListKind.CACHED && !subscriptionBroken) {
                subscribeGeneration++;
                callSchedule.responseReceived();
            }
            Set<Long> missing = new TreeSet<>(kind == EndpointListKind.DELTA ? Set.of() : servers.keySet());
            boolean changed = false;
            for (Upstream entry : entries) {
                missing.remove(entry.id());
                changed |= update(now, entry);
            }
            for (long id : missing) {
                Server server = servers.get(id);
                changed |= server.entry.state() == UpstreamState.READY;
                server.entry = server.entry.asGone();
                goneServers.add(id);
            }
            forgetOldestGoneServers();
            listReceived = true;
            if (changed) {
                readyServers = servers.values().stream()
                        .filter(s -> s.entry.state() == UpstreamState.READY)
                        .toList();
                rotation.reshuffle(readyServers);
            }
        }

        private void forgetOldestGoneServers() {
            Iterator<Long> oldestFirst = goneServers.iterator();
            while (goneServers.size() > MAX_GONE_SERVERS) {
                servers.remove(oldestFirst.next());
                oldestFirst.remove();
            }
        }

        /** Applies one entry. Returns true if the set of ready servers changed. */
        private boolean update(long now, Upstream entry) {
            if (entry.state() == UpstreamState.GONE) {
                goneServers.add(entry.id());
            } else {
                goneServers.remove(entry.id());
            }
            Server server = servers.get(entry.id());
            boolean wasReady = server != null && server.entry.state() == UpstreamState.READY;
            // A restarted process inherits neither the load nor the faults of the one before.
            boolean newProcess = server == null || entry.startedAtNanos() > server.entry.startedAtNanos();
            if (newProcess) {
                long startedAt = entry.startedAtNanos() == 0 && listReceived ? now : entry.startedAtNanos();
                server = new Server(entry, now, settings.safetyLimits());
                server.turnCredit = random.nextDouble();
                servers.put(entry.id(), server);
                if (startedAt > 0 && now < startedAt + settings.safetyLimits().rampNanos()) {
                    server.coldUntil = startedAt + settings.safetyLimits().rampNanos();
                }
            }
            server.entry = entry;
            return newProcess || wasReady != (entry.state() == UpstreamState.READY);
        }

        /**
         * Whether the request budget of a cold server allows this request. A cold server that all sidecars
         * together overload fails and does not recover. The budget is a fraction of what comparable servers are
         * seen to serve for this sidecar. The budgets of all sidecars therefore sum up to that fraction of one
         * server's load, however much each of them sends.
         */
        boolean coldBudgetAllows(long now, Server server, Call call) {
            if (now >= server.coldUntil) {
                return true;
            }
            if (server.lease != null && now < server.lease.expiresAt) {
                // Local budgets sum up correctly only while there are warm servers to compare with; leased ones
                // always do. When a lease expires, the local budget applies again; it was charged in the
                // meantime.
                return server.lease.hasPermit(now) && server.inFlight <= 1 + server.concurrencyLimit / 2;
            }
            double rampProgress = 1
                    - (server.coldUntil - now)
                            / (double) settings.safetyLimits().rampNanos();
            double initialShare = settings.safetyLimits().coldCapacityFraction();
            double share = initialShare + (1 - initialShare) * Math.max(0, Math.min(1, rampProgress));
            updateWarmRate(now);
            double rate = warmServerRate * share;
            double bucketDepth = rate * settings.safetyLimits().overloadWindowNanos() / 2;
            if (warmServers == 0) {
                // With no warm server to compare with, a limit of one request at a time means one from every
                // sidecar at once, and the sooner the server refuses, the more arrive. So the last known rate
                // of a warm server is used, and a sidecar that never observed one takes its share of the
                // capacity of one core. The rate may exceed the server's responses by the growth factor: the
                // responses to all sidecars sum up to what the server can do, however much each of them sends.
                // The capacity of a core is in units of expected time, which is a guess until a cold server has
                // responded.
                double coreShare = 1.0 / Math.max(1, settings.replicaCount());
                double recentWork = server.recentServedWork.value(now);
                rate = Math.max(
                        lastWarmServerRate > 0
                                ? warmRateFactor * Math.max(lastWarmServerRate, coreShare) * share
                                : recentWork > 0 ? coreShare : coreShare * share,
                        growthFactor
                                * recentWork
                                / Math.max(1, settings.safetyLimits().overloadWindowNanos() / 3));
                bucketDepth = rate * settings.safetyLimits().overloadWindowNanos() * burstFraction;
            } else if (rate == 0) {
                return false; // no observations yet: the warm servers take the request
            }
            if (!server.coldBucketStarted) {
                // A first request free of charge would come from hundreds of sidecars together. Each starts
                // with a random debt of up to one request, so that their sum keeps to the rate.
                server.coldBucketStarted = true;
                // If all servers are cold and one request per sidecar is little for one core, the first request
                // need not wait.
                boolean startAtOnce = warmServers == 0
                        && settings.replicaCount() * estimatedWork(call)
                                <= overloadFactor
                                        * share
                                        * settings.safetyLimits().overloadWindowNanos()
                                        / 2;
                server.coldTokens = startAtOnce ? 0 : -random.nextDouble() * estimatedWork(call);
            }
            server.coldTokens = Math.min(bucketDepth, server.coldTokens + rate * (now - server.coldTokensUpdatedAt));
            server.coldTokensUpdatedAt = now;
            return server.coldTokens >= 0 && server.inFlight <= 1 + server.concurrencyLimit / 2;
        }

        /**
         * Updates the average work per nanosecond that a warm server serves for this sidecar. The work of all
         * servers is limited by that of the present ones: otherwise the work of servers that have left would be
         * attributed to the few that remain.
         */
        void updateWarmRate(long now) {
            if (now == warmRateUpdatedAt && readyServers == warmRateServers) {
                return;
            }
            observedSince = warmRateUpdatedAt == Long.MIN_VALUE ? now : observedSince;
            warmRateUpdatedAt = now;
            warmRateServers = readyServers;
            warmServers = 0;
            double rampNanos = Math.max(1, settings.safetyLimits().rampNanos());
            double warmWork = 0;
            double warmWorkAtLastResponse = 0;
            for (Server server : readyServers) {
                if (now >= server.coldUntil) {
                    warmServers++;
                    warmWork += server.servedWork.value(now);
                    warmWorkAtLastResponse += server.servedWork.value(lastServedAt);
                }
            }
            warmServerRate = warmServers == 0
                    ? 0
                    : Math.min(servedWork.value(now), warmRateFactor * warmWork) / warmServers / rampNanos;
            if (warmWorkAtLastResponse > 0) {
                // Computed as of the last response, so that it does not decay while there is nothing to serve.
                // A sidecar that has not observed a whole window has seen only the first part of it.
                double observedFraction =
                        1 - Math.exp(-Math.max(lastServedAt - observedSince, rampNanos / 16) / rampNanos);
                lastWarmServerRate = warmWorkAtLastResponse / warmServers / rampNanos / observedFraction;
            }
        }

        /**
         * Refunds attempts that were never sent. Rejected attempts stay charged because they have reached the
         * server.
         */
        void onAttemptEnd(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            server.coldTokens += outcome == Outcome.NEVER_SENT ? estimatedWork(call) : 0;
            if (outcome == Outcome.OK) {
                servedWork.add(now, estimatedWork(call));
                server.servedWork.add(now, estimatedWork(call));
                server.recentServedWork.add(now, estimatedWork(call));
                lastServedAt = now;
            }
        }

        double estimatedWork(Call call) {
            return call.request.costHintNanos() > 0 ? call.request.costHintNanos() : call.expectedNanos;
        }
    }

    /** Health of each server, from the results of this sidecar's own attempts. */
    private final class HealthTracker {
        /**
         * Fraction of the SLO. A server kind that takes no longer is far from saturation and takes every turn.
         */
        private static final double ALL_TURNS_SLO_FRACTION = 0.25;

        private static final double TURN_SHARE_EXPONENT = 1.4;
        private final Map<Integer, SlowdownEstimate> slowdownsByKind = new TreeMap<>();
        private double fastestKindSlowdown = 1;

        SlowdownEstimate kindSlowdown(Server server) {
            return slowdownsByKind.computeIfAbsent(server.entry.serverKind(), kind -> new SlowdownEstimate());
        }

        /**
         * Returns the fraction of its turns that a server takes. Equal turns give a slow machine as much work
         * as a fast one; with three quarters of the fleet's capacity in use, the slow kind receives more than
         * it can ever process. A kind that responds well within the SLO takes all turns. Otherwise the fraction
         * is the response time of the fastest kind over its own, and somewhat lower: at equal utilization,
         * requests wait longer on a slow machine.
         */
        double turnShare(Server server, Call call) {
            double kindSlowdown = kindSlowdown(server).meanRatio;
            return kindSlowdown * call.expectedNanos < ALL_TURNS_SLO_FRACTION * call.sloNanos
                    ? 1
                    : Math.min(1, Math.pow(fastestKindSlowdown / kindSlowdown, TURN_SHARE_EXPONENT));
        }

        private void learnKindSlowdown(Server server, double ratio) {
            kindSlowdown(server).addSample(ratio);
            fastestKindSlowdown = slowdownsByKind.values().stream()
                    .mapToDouble(kindSlowdown -> kindSlowdown.meanRatio)
                    .min()
                    .orElse(1);
        }

        /** Fraction of the SLO. A server expected to take longer is of no use to the class. */
        private static final double MAX_EXPECTED_SLO_FRACTION = 0.75;
        /**
         * Response times of one fleet's machines differ about twofold from their mean; a larger slowdown is a
         * fault.
         */
        private static final double MIN_FAULT_SLOWDOWN = 2;
        /** One estimate per class over all servers, starting from a tenth of its SLO. */
        private final ServiceTimeEstimate[] serviceTimes =
                new ServiceTimeEstimate[settings.classes().size()];

        private final long shortestSloNanos;
        private static final long MAX_BACKOFF_FACTOR = 8;

        /** Slowdowns reported by peers above this are ignored as invalid. */
        private static final double MAX_PEER_SLOWDOWN = 10_000;

        HealthTracker() {
            for (int i = 0; i < serviceTimes.length; i++) {
                serviceTimes[i] =
                        new ServiceTimeEstimate(settings.classes().get(i).sloNanos() / 10.0);
            }
            shortestSloNanos = settings.classes().stream()
                    .mapToLong(RequestClass::sloNanos)
                    .min()
                    .orElse(1);
        }

        private void updateExpectedResponses(long now, Server server) {
            server.expectedResponses += server.expectedResponseRate * (now - server.expectedResponsesUpdatedAt);
            server.expectedResponsesUpdatedAt = now;
        }

        void onSend(long now, Server server, Call call) {
            updateExpectedResponses(now, server);
            server.expectedResponseRate += 1 / call.expectedNanos;
            if (server.nextTrialAt > 0) {
                server.trialBackoffNanos =
                        Math.min(server.trialBackoffNanos * 2, shortestSloNanos * MAX_BACKOFF_FACTOR);
                server.nextTrialAt = now + server.trialBackoffNanos;
            }
        }

        boolean allows(long now, Server server, Call call) {
            updateExpectedResponses(now, server);
            boolean unhealthy = server.connectFailures > 0
                    || slowdown(server) > MIN_FAULT_SLOWDOWN
                            && slowdown(server) * call.expectedNanos > MAX_EXPECTED_SLO_FRACTION * call.sloNanos;
            if (!unhealthy) {
                server.nextTrialAt = 0;
                return true;
            }
            if (server.nextTrialAt == 0) {
                server.trialBackoffNanos = shortestSloNanos;
                server.nextTrialAt = now + server.trialBackoffNanos;
            }
            return now >= server.nextTrialAt;
        }

        /** Returns expected over observed responses, with two observed responses assumed at the start. */
        private double slowdown(Server server) {
            return Math.max(
                    server.peerReportedSlowdown, (server.expectedResponses + 2) / (server.observedResponses + 2));
        }

        void onAttemptEnd(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            updateExpectedResponses(now, server);
            server.expectedResponseRate =
                    server.inFlight == 0 ? 0 : Math.max(0, server.expectedResponseRate - 1 / call.expectedNanos);
            switch (outcome) {
                case OK -> {
                    probes.learnServiceTime(attempt, now - attempt.sentAt);
                    learnKindSlowdown(server, (now - attempt.sentAt) / call.expectedNanos);
                    serviceTimes[call.request.requestClass()].addSample(
                            now, now - attempt.sentAt, call.request.costHintNanos());
                    onResponse(now, server);
                }
                case ERROR, RESET -> {
                    // Fast errors keep the in-flight count low and so attract requests. One error weighs as
                    // much as a response at twice the SLO: a single one does not make a server unhealthy, two
                    // in a row do.
                    onResponse(now, server);
                    server.expectedResponses += 2 * call.sloNanos / call.expectedNanos;
                }
                case CONNECT_FAILED -> server.connectFailures++;
                default -> {}
            }
        }

        /**
         * Handles a report that other sidecars have measured a server to be slow. A sidecar with few requests
         * of its own would otherwise detect each slow server anew. The report holds until the next own
         * response, and is used only if the last own response is older than the first trial interval: own
         * observations always take precedence.
         */
        void onPeerReport(long now, Server server, double reportedSlowdown) {
            if (server.lastResponseAt == 0 || now - server.lastResponseAt > shortestSloNanos) {
                server.peerReportedSlowdown = reportedSlowdown;
                // Otherwise each of hundreds of sidecars would send its own trials to a slow server. The
                // reporting sidecars have just done so; once none does, the reports end and the trials
                // continue.
                server.trialBackoffNanos = MAX_BACKOFF_FACTOR * shortestSloNanos;
                server.nextTrialAt = Math.max(server.nextTrialAt, now + server.trialBackoffNanos);
            }
        }

        private void onResponse(long now, Server server) {
            server.lastResponseAt = now;
            server.peerReportedSlowdown = 0;
            double decay = server.nextTrialAt > 0 ? 0.5 : 0.9;
            server.expectedResponses *= decay;
            server.observedResponses = server.observedResponses * decay + 1;
            server.connectFailures = 0;
        }
    }

    /**
     * Load level of the whole fleet, from the queue lengths in load reports. Late responses show an overload
     * only when it has passed, and with a few attempts per eight SLOs they go on showing it for seconds after
     * the servers are idle again: at normal load with 109 sidecars, 65 % of the requests were refused then. All
     * sidecars see the same servers, so their levels agree without communication. With few sidecars, own
     * in-flight counts find the server with free capacity and one queue says little about the other servers, so
     * late responses decide as before.
     */
    private final class FleetLoad {
        private static final int MIN_REPLICAS = 16;
        /**
         * Fraction of servers that may have queued requests: about as many have them at 90 % of their capacity.
         */
        private static final double NORMAL_QUEUED_FRACTION = 0.8;
        /**
         * Level above which requests of above-average utility are shed; most of the others are shed before any of
         * them.
         */
        private static final double HIGH_UTILITY_LEVEL = 0.9;
        /**
         * Some requests of the highest utility are always sent; without responses a recovery would go unnoticed.
         */
        private static final double MAX_LEVEL = 0.98;
        /** In multiples of the shortest SLO: twice the window of the on-time statistics, which decide after it. */
        private static final int REPORT_LIFETIME_SLOS = 16;

        private final int queueFieldIndex = settings.loadReportFields().indexOf("q");
        private final boolean manyReplicas = settings.replicaCount() >= MIN_REPLICAS;
        private final double meanUtility = settings.classes().stream()
                .mapToDouble(RequestClass::utility)
                .average()
                .orElse(0);
        /**
         * In multiples of the shortest SLO: after this time without a report, one request is sent to obtain one.
         */
        private static final int MAX_REPORT_GAP_SLOS = 2;

        private double level;
        private long reportedAt;
        private long trialAt;

        /**
         * Whether the level decides what is shed: with many sidecars, while queues are reported. If reports
         * stop after an overload (other servers, other responses), it would otherwise shed forever.
         */
        boolean isActive(long now) {
            return manyReplicas && reportedAt != 0 && now - reportedAt < REPORT_LIFETIME_SLOS * health.shortestSloNanos;
        }

        /**
         * Updates the level from a load report. It rises by 0.2 per shortest SLO while all servers have queues, and
         * falls faster the higher it is, so that shedding ends soon.
         */
        void onReport(long now, float[] loadReport) {
            if (queueFieldIndex < 0 || loadReport.length <= queueFieldIndex || !(loadReport[queueFieldIndex] >= 0)) {
                return;
            }
            double elapsedSlos = Math.min(1, (now - reportedAt) / (double) health.shortestSloNanos);
            level = isActive(now) ? level : 0;
            reportedAt = now;
            double step = loadReport[queueFieldIndex] >= 1
                    ? 1 - NORMAL_QUEUED_FRACTION
                    : -Math.max(NORMAL_QUEUED_FRACTION, level / 2);
            level = Math.max(0, Math.min(MAX_LEVEL, level + elapsedSlos * step));
        }

        /**
         * Whether to admit this request regardless of the level. A sidecar with little traffic that sheds
         * everything receives no more reports; one that relied on its last report refused all requests for ten
         * seconds while the servers were idle. Trials are so rare that those of all sidecars together are a
         * small part of the servers' capacity.
         */
        private boolean admitTrial(long now) {
            if (now - Math.max(reportedAt, trialAt) <= MAX_REPORT_GAP_SLOS * health.shortestSloNanos) {
                return false;
            }
            trialAt = now;
            return true;
        }

        double shedFraction(long now, RequestClass requestClass) {
            double fraction = requestClass.utility() >= meanUtility
                    ? Math.max(0, (level - HIGH_UTILITY_LEVEL) / (1 - HIGH_UTILITY_LEVEL))
                    : Math.min(1, level / HIGH_UTILITY_LEVEL);
            return fraction > 0 && admitTrial(now) ? 0 : fraction;
        }
    }

    /** The queued requests of one tenant and its recent usage of its quota. */
    private static final class TenantQueue {
        /**
         * Newest first. First-in first-out under overload delays all requests until every response is late, and
         * stays so after the overload has passed. With newest first, some requests time out in the queue and the rest
         * are on time.
         */
        private final ArrayDeque<Call> calls = new ArrayDeque<>();

        private final double quota;
        private final DecayingSum usedWork;
        private long skippedInRound;

        TenantQueue(double quota, double windowNanos) {
            this.quota = quota;
            this.usedWork = new DecayingSum(windowNanos, 0);
        }

        double quotaUsage(long now) {
            return usedWork.value(now) / quota;
        }
    }

    /** Requests that ended here without service, by the properties that later tries of them have in common. */
    private final class UnservedRequests {
        /** Two hundred per second over the longest deadlines; the oldest are dropped first. */
        private static final int MAX_TRIES = 1024;
        /**
         * Divisor of the SLO. Rounding to milliseconds, the network and one scheduling turn of the host may
         * shift the time by this part.
         */
        private static final int SLO_TOLERANCE_DIVISOR = 20;

        private record Try(int requestClass, int tenant, long key, long openedAt) {}

        private final ArrayDeque<Try> tries = new ArrayDeque<>();

        void add(Call call) {
            Request request = call.request;
            if (tries.size() == MAX_TRIES) {
                tries.poll();
            }
            tries.add(new Try(
                    request.requestClass(),
                    request.tenant(),
                    request.resourceKey(),
                    call.deadline - request.clientTimeoutNanos()));
        }

        /** Whether a matching request was opened at about that time. */
        boolean containsTryOpenedAt(Request request, long openedAt) {
            long sloNanos = settings.classes().get(request.requestClass()).sloNanos();
            long tolerance = 2 * settings.minEventIntervalNanos() + sloNanos / SLO_TOLERANCE_DIVISOR;
            for (Try each : tries) {
                if (Math.abs(each.openedAt - openedAt) <= tolerance
                        && each.requestClass == request.requestClass()
                        && each.tenant == request.tenant()
                        && each.key == request.resourceKey()) {
                    return true;
                }
            }
            return false;
        }
    }

    /** Learned concurrency limits, queued requests, refusals, and the retry budget. */
    private final class AdmissionControl {
        /**
         * Enough for the choice between two servers; no higher, because many sidecars start together without
         * any observations.
         */
        static final double INITIAL_CONCURRENCY_LIMIT = 2;
        /**
         * Fraction of the SLO. A response that takes longer leaves no time for a second try with its own
         * delays.
         */
        private static final double SLOW_SLO_FRACTION = 0.4;
        /** High enough that a burst of later tries does not displace the value of first tries at once. */
        private static final int MAX_VOTES = 100;
        /** Four of five responses on time count as healthy: the rest is chance and single faults. */
        private static final double ON_TIME_GAIN = 1.25;

        private final FleetLoad fleetLoad = new FleetLoad();
        private final UnservedRequests unservedRequests = new UnservedRequests();
        private final TenantQueue[] tenantQueues =
                new TenantQueue[Math.max(1, settings.tenants().size())];
        private int queuedCount;
        private long drainRound;
        private final long[] firstTryTimeLeft = new long[settings.classes().size()];
        private final int[] firstTryVotes = new int[settings.classes().size()];
        /** The rest is always sent; without responses a recovery would go unnoticed. */
        private static final double MAX_SHED_FRACTION = 0.9;
        /** Eight times the shortest SLO: ten requests at a few per second. Starts with one request, on time. */
        private final DecayingSum completed = new DecayingSum(8.0 * health.shortestSloNanos, 1);

        private final DecayingSum onTime = new DecayingSum(8.0 * health.shortestSloNanos, 1);
        private final DecayingSum rejected = new DecayingSum(8.0 * health.shortestSloNanos, 0);

        AdmissionControl() {
            for (int i = 0; i < tenantQueues.length; i++) {
                double quota = settings.tenants().isEmpty()
                        ? 1
                        : settings.tenants().get(i).quotaPerSecond();
                // Four SLOs of the first class: long compared with response times, short compared with a burst
                // of some seconds.
                tenantQueues[i] = new TenantQueue(
                        quota > 0 ? quota : 1, 4.0 * settings.classes().get(0).sloNanos());
            }
        }

        /**
         * Returns the time that the client has spent on earlier tries. A first try has a fixed part of the
         * deadline left, always the same; a last try has what remains of the whole. The most common value
         * identifies first tries; it is replaced once half of the requests differ from it. More time left means
         * a last try. Less means a last try only if an earlier try ended here without service just that long
         * ago. Otherwise it is the first try of a client with a short timeout: if refused at once as hopeless,
         * such clients retry at once, and with them up to half of all requests were refused while upstreams
         * were idle.
         */
        long elapsedOnEarlierTries(long now, Request request) {
            int classIndex = request.requestClass();
            long timeLeft = request.clientTimeoutNanos();
            if (Math.abs(timeLeft - firstTryTimeLeft[classIndex]) <= 2 * settings.minEventIntervalNanos()) {
                firstTryVotes[classIndex] = Math.min(firstTryVotes[classIndex] + 1, MAX_VOTES);
                return 0;
            }
            if (--firstTryVotes[classIndex] < 0) {
                firstTryTimeLeft[classIndex] = timeLeft;
                firstTryVotes[classIndex] = 0;
                return 0;
            }
            long elapsed = Math.max(0, settings.classes().get(classIndex).deadlineNanos() - timeLeft);
            return timeLeft > firstTryTimeLeft[classIndex]
                            || unservedRequests.containsTryOpenedAt(request, now - elapsed)
                    ? elapsed
                    : 0;
        }

        /** Sends a request now, or queues it while it can still be served within its SLO. */
        void admit(long now, Call call) {
            if (now >= call.deadline || serverList.readyServers.isEmpty() || !tracker.mayAttemptNow(now, call)) {
                tracker.refuseOrFail(now, call);
                return;
            }
            int shedMultiplier = call.request.clientRetry() ? 3 : 1;
            if (call.attempts.isEmpty() && !call.probed) {
                double draw = random.nextDouble();
                double shedFraction = shedFraction(now, call);
                if (draw < shedMultiplier * shedFraction) {
                    tracker.refuseOrFail(now, call);
                    return;
                }
                call.samplingWeight = 1 / (1 - Math.min(MAX_SHED_FRACTION, shedFraction));
            }
            if (probes.probeFirst(now, call)) {
                return;
            }
            if (call.attempts.isEmpty() && now + call.minRemainingNanos >= call.sloDeadline) {
                tracker.refuseOrFail(now, call); // a retry or a request with a short timeout, unlikely to be on time
            } else if (queuedCount > 0 || !dispatch(now, call)) {
                call.queued = true;
                tenantQueue(call).calls.push(call);
                queuedCount++;
                long latestStart = call.sloDeadline - (long) (Call.ON_TIME_MARGIN * call.expectedNanos);
                timers.cancel(call.queueTimer);
                call.queueTimer = timers.schedule(Math.max(now + 1, latestStart), firedAt -> {
                    if (call.queued) {
                        tracker.refuseOrFail(firedAt, call);
                    }
                });
                drainQueues(now);
            }
        }

        /**
         * Returns the fraction of new requests to shed. If many sidecars keep one request in flight each, no
         * limit per upstream takes effect, and once responses are late, upstreams do useless work until much
         * less is sent. Nothing is shed while four fifths of the recent requests were on time. Below that, the
         * cube of the ratio lets a backlog drain where the ratio itself would sustain it. Shed requests come
         * again: marked retries are shed more readily.
         */
        private double shedFraction(long now, Call call) {
            if (fleetLoad.isActive(now)) {
                return fleetLoad.shedFraction(now, call.requestClass);
            }
            return Math.min(MAX_SHED_FRACTION, 1 - admitFraction(now));
        }

        private double admitFraction(long now) {
            double onTimeRatio = Math.min(1, ON_TIME_GAIN * (onTime.value(now) + 1) / (completed.value(now) + 1));
            return onTimeRatio * onTimeRatio * onTimeRatio;
        }

        private TenantQueue tenantQueue(Call call) {
            return tenantQueues[Math.min(call.request.tenant(), tenantQueues.length - 1)];
        }

        /** Requests that ended while queued would stay below newer ones for as long as an overload lasts. */
        void removeFromQueue(Call call) {
            timers.cancel(call.queueTimer);
            if (call.queued && tenantQueue(call).calls.remove(call)) {
                queuedCount--;
            }
            call.queued = false;
        }

        private boolean dispatch(long now, Call call) {
            Server server = rotation.pick(now, call, false);
            // A fault common to all servers would leave none eligible. If all are unhealthy, health is ignored.
            if (server == null && serverList.readyServers.stream().noneMatch(any -> health.allows(now, any, call))) {
                server = rotation.pick(now, call, true);
            }
            if (server == null) {
                return false;
            }
            tracker.send(now, call, server);
            tenantQueue(call).usedWork.add(now, call.expectedNanos);
            return true;
        }

        /**
         * Sends queued requests as capacity becomes available, from the tenant with the lowest quota usage
         * first.
         */
        void drainQueues(long now) {
            drainRound++;
            while (queuedCount > 0) {
                TenantQueue leastUsed = null;
                for (TenantQueue tenantQueue : tenantQueues) {
                    if (!tenantQueue.calls.isEmpty()
                            && tenantQueue.skippedInRound != drainRound
                            && (leastUsed == null || tenantQueue.quotaUsage(now) < leastUsed.quotaUsage(now))) {
                        leastUsed = tenantQueue;
                    }
                }
                if (leastUsed == null) {
                    return;
                }
                Call call = leastUsed.calls.peek();
                if (call.queued && !dispatch(now, call)) {
                    leastUsed.skippedInRound = drainRound;
                } else {
                    leastUsed.calls.remove(call);
                    queuedCount--;
                }
            }
        }

        void onAttemptEnd(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            // While most requests are shed, the few admitted ones would outweigh earlier late responses only after
            // seconds of refusals. So each admitted request also counts for those shed beside it. A request counts
            // once, by its last response: full servers reject it up to the attempt limit within milliseconds, all
            // because of the same short burst.
            completed.add(now, call.countedAsCompleted ? 0 : call.samplingWeight);
            onTime.add(now, outcome == Outcome.OK && now <= call.sloDeadline ? call.samplingWeight : 0);
            call.countedAsCompleted = true;
            rejected.add(now, outcome == Outcome.REJECTED ? 1 : 0);
            ServiceTimeEstimate serviceTime = health.serviceTimes[call.request.requestClass()];
            double normalizedNanos = (now - attempt.sentAt) * serviceTime.meanNanos / call.expectedNanos;
            if (outcome == Outcome.REJECTED || normalizedNanos > SLOW_SLO_FRACTION * call.sloNanos) {
                if (attempt.sentAt >= server.lastLimitDecreaseAt) {
                    server.concurrencyLimit = Math.max(0.1, server.concurrencyLimit * 0.8);
                    server.lastLimitDecreaseAt = now;
                }
            } else if (outcome == Outcome.OK && attempt.inFlightAtSend + 1 >= server.concurrencyLimit / 2) {
                server.concurrencyLimit +=
                        Math.min(0.2 * server.concurrencyLimit, 1 / server.concurrencyLimit); // one per round trip
            }
        }

        /**
         * Whether a retry is worthwhile. Under overload it would displace a first attempt or be rejected like
         * the others.
         */
        boolean retryWorthwhile(long now, Call call) {
            return now < call.sloDeadline
                    && (fleetLoad.isActive(now) ? fleetLoad.level : 1 - admitFraction(now)) < 0.8
                    && rejected.value(now)
                            <= completed.value(now) + settings.capabilities().maxAttempts();
        }

        long retryAfterNanos(Call call) {
            return settings.capabilities().canSendRetryAfter()
                    ? Math.min(settings.capabilities().maxRetryAfterNanos(), call.sloNanos / 2)
                    : 0;
        }
    }

    /**
     * Probes servers before a send, where upstreams report their requests in flight and probes are almost free.
     * With hundreds of sidecars, nearly all of an upstream's work is that of other sidecars, which own
     * in-flight counts never show, and the rotation sends to a busy upstream as readily as to an idle one. So
     * the next few entries are probed, and those that hold more than usual or do not respond are excluded for
     * this request. The rotation chooses among the others. A probe result is used for one request only.
     */
    private final class LoadProbes {
        /** Enough that all of the probed servers are rarely busy. */
        private static final int PROBES_PER_REQUEST = 5;
        /** Fraction of the total utility that probes may cost. */
        private static final double MAX_PROBE_COST = 0.01;
        /**
         * Divisor of the SLO: the time to wait for probe results. A healthy upstream answers probes at once,
         * past its queue.
         */
        private static final int PROBE_TIMEOUT_SLO_DIVISOR = 20;

        private final int inFlightFieldIndex = settings.loadReportFields().indexOf("rif");
        private final boolean affordable = inFlightFieldIndex >= 0
                && settings.capabilities().canProbe()
                && settings.overheadCosts().probe() * PROBES_PER_REQUEST <= MAX_PROBE_COST;
        /** Fraction of the SLO that an upstream's requests in flight may take up; the rest is for variation. */
        private static final double FULL_SLO_FRACTION = 0.6;

        private double meanInFlight;
        private double nanosPerRequest;

        /**
         * Whether servers are probed before a send. With no more sidecars than upstreams, own in-flight counts
         * show enough of an upstream's load.
         */
        boolean enabled() {
            return affordable && settings.replicaCount() > serverList.readyServers.size();
        }

        /** Probes the next entries in turn. Returns true if the request waits for the results. */
        boolean probeFirst(long now, Call call) {
            if (!enabled() || call.probed) {
                return false;
            }
            call.probed = true;
            call.probedServers = rotation.nextEligible(now, call, PROBES_PER_REQUEST);
            for (Server server : call.probedServers) {
                server.reportedInFlight = Double.MAX_VALUE;
                server.probeWaiters.add(call);
                actions.probe(server.entry.id());
            }
            call.pendingProbes = call.probedServers.size();
            // Left running, it would end the wait for the probes of the next attempt.
            call.probeTimer = timers.schedule(
                    now + call.sloNanos / PROBE_TIMEOUT_SLO_DIVISOR,
                    firedAt -> onProbesCompleted(firedAt, call, call.pendingProbes));
            return call.pendingProbes > 0;
        }

        /** Results of the current probes that are still to come are not for this request any more. */
        void endWait(Call call) {
            timers.cancel(call.probeTimer);
            call.probedServers.forEach(server -> server.probeWaiters.remove(call));
        }

        void onProbeResult(long now, Server server, Outcome outcome, float[] loadReport) {
            if (outcome == Outcome.OK && loadReport.length > inFlightFieldIndex && inFlightFieldIndex >= 0) {
                server.reportedInFlight = loadReport[inFlightFieldIndex];
                meanInFlight += 0.05 * (server.reportedInFlight - meanInFlight);
            }
            List<Call> waiters = List.copyOf(server.probeWaiters);
            server.probeWaiters.clear();
            waiters.forEach(call -> onProbesCompleted(now, call, 1));
        }

        /**
         * Once all probes have completed or timed out, sets the threshold that excludes busy servers and
         * continues with the request.
         */
        private void onProbesCompleted(long now, Call call, int completedProbes) {
            if (call.pendingProbes == 0 || (call.pendingProbes -= completedProbes) > 0 || call.closed) {
                return;
            }
            endWait(call);
            double fewest = Double.MAX_VALUE;
            for (Server server : call.probedServers) {
                fewest = Math.min(fewest, server.reportedInFlight);
            }
            double fullInFlight = FULL_SLO_FRACTION * call.sloNanos / Math.max(1, nanosPerRequest) - 1;
            if (fewest == Double.MAX_VALUE) {
                call.probedServers = List.of();
            } else if (fewest > Math.max(meanInFlight, fullInFlight)) {
                tracker.refuseOrFail(now, call);
                return;
            }
            call.maxReportedInFlight = fewest <= meanInFlight ? meanInFlight : fullInFlight;
            admission.admit(now, call);
        }

        /** Learns the response time per request that the upstream had in flight, this one included. */
        void learnServiceTime(Attempt attempt, double elapsedNanos) {
            if (attempt.reportedInFlightAtSend < Double.MAX_VALUE) {
                double nanosPerHeldRequest = elapsedNanos / (attempt.reportedInFlightAtSend + 1);
                nanosPerRequest += (nanosPerRequest == 0 ? 1 : 0.05) * (nanosPerHeldRequest - nanosPerRequest);
            }
        }

        boolean excludes(Server server, Call call) {
            return !call.probedServers.isEmpty()
                    && (server.reportedInFlight > call.maxReportedInFlight || !call.probedServers.contains(server));
        }
    }
}
