package pondridge.core;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import pondridge.Balancer;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.LoadBalancingPolicy;

/**
 * Hosts the {@link Balancer}: passes it one event at a time on the event loop and executes the actions it
 * issues. Whatever the balancer and the upstreams do, each request gets exactly one final response and each
 * send exactly one outcome. Times and durations are in nanoseconds unless a name says otherwise.
 */
public final class Engine implements Balancer.Actions, RequestProcessor {
    /** Part of the client's timeout reserved for returning the response; the balancer does not see it. */
    private static final long RESPONSE_MARGIN_NANOS = 10_000_000;
    /**
     * How long a client's socket may go unread before a request is forwarded without another check. It is
     * half of the 0.1 s after a client's disconnect within which no new attempt may start; the other half
     * covers the time between check and write. After a longer gap that client's socket is read first: only
     * the read shows a disconnect that arrived while the loop was stalled or the connection in the backlog.
     */
    private static final long MAX_UNREAD_NANOS = 50_000_000;
    /** A peer message holds up to 256 bytes; each entry is a server id and a slowdown factor. */
    private static final int SLOWDOWN_ENTRY_BYTES = 12;

    private static final int MAX_SLOWDOWN_ENTRIES = 256 / SLOWDOWN_ENTRY_BYTES;
    private static final int LEASE_ENTRY_BYTES = 16;
    private static final int MAX_LEASE_ENTRIES = 256 / LEASE_ENTRY_BYTES;
    /** How many servers that have left the list keep their ids, so that one that comes back is recognized. */
    private static final int MAX_GONE_SERVERS = 4_096;

    /** A request from its submission until the last of its attempts has ended. */
    private static final class OpenRequest {
        private final Job job;
        private final Client client;
        /** Its key in the history of attempts; null if its class has none. */
        private final String historyKey;
        /** The attempt for an earlier request with the same key; null if there is none. */
        private final KeyedAttemptHistory.SentAttempt<Long> priorAttempt;

        private long deadline;
        private final List<Transport.Attempt> attempts = new ArrayList<>(1);
        private Future<?> timer;
        private int inFlight;
        private int attemptsSent;
        private int attemptsWithResponse;
        private boolean mayHaveRun;
        /** When the first attempt that may have run was sent; valid if {@code mayHaveRun}. */
        private long mayHaveRunSince;

        /** A connection check found the client gone; the frontend reports that as well, later. */
        private boolean clientGone;

        private boolean closed;

        OpenRequest(Job job, Client client, String historyKey, KeyedAttemptHistory.SentAttempt<Long> priorAttempt) {
            this.job = job;
            this.client = client;
            this.historyKey = historyKey;
            this.priorAttempt = priorAttempt;
            if (priorAttempt != null) {
                mayHaveRun = true;
                mayHaveRunSince = priorAttempt.sentAt();
            }
        }

        private Balancer.PriorAttempt priorAttempt() {
            return priorAttempt == null ? null : new Balancer.PriorAttempt(priorAttempt.place(), priorAttempt.sentAt());
        }

        private void recordOutcome(Outcome outcome, long sentAt) {
            inFlight--;
            if (!mayHaveRun && !outcome.provesNotExecuted()) {
                mayHaveRun = true;
                mayHaveRunSince = sentAt;
            }
            boolean responded = outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REJECTED;
            attemptsWithResponse += responded ? 1 : 0;
        }

        /**
         * Stops the request: attempts that are not yet written are withdrawn. Otherwise a connection that is
         * established late would carry a request whose client has disconnected or already has its response.
         */
        private void close() {
            closed = true;
            timer.cancel(false);
            attempts.stream().filter(Objects::nonNull).forEach(Transport.Attempt::withdraw);
        }

        private void refused(long retryAfterNanos) {
            reportAttempts();
            client.refused(retryAfterNanos);
        }

        private void failed() {
            reportAttempts();
            client.failed();
        }

        private void reportAttempts() {
            client.reportAttempts(new AttemptSummary(attemptsSent, attemptsWithResponse, mayHaveRun || inFlight > 0));
        }
    }

    /** One attempt, from the balancer's send action to its outcome. */
    private final class PendingAttempt implements Transport.Listener {
        private final long requestId;
        private final OpenRequest request;
        private final int number;
        private final long upstream;
        private final long sentAt;
        /** From this time on the attempt must not be written any more. */
        private final long writeDeadline;

        /** Its entry in the history of attempts; null if its class has no keys. */
        private KeyedAttemptHistory.SentAttempt<Long> historyEntry;

        private Future<?> withdrawTimer;
        private boolean ended;

        PendingAttempt(long requestId, OpenRequest request, int number, long upstream, long sentAt) {
            this.requestId = requestId;
            this.request = request;
            this.number = number;
            this.upstream = upstream;
            this.sentAt = sentAt;
            RequestClass requestClass = classes.get(request.job.requestClass());
            this.writeDeadline = request.mayHaveRun && requestClass.retrySemantics() == RetrySemantics.BY_KEY
                    ? Math.min(request.deadline, request.mayHaveRunSince + requestClass.keyTtlNanos())
                    : request.deadline;
        }

        void start(long timeoutNanos) {
            if (request.historyKey != null) {
                long keyTtlNanos = classes.get(request.job.requestClass()).keyTtlNanos();
                historyEntry = keyedAttempts.record(request.historyKey, upstream, sentAt, keyTtlNanos);
            }
            request.attempts.set(number, transport.send(upstream, request.job, timeoutNanos, this));
            // A connection may take longer to establish than servers remember the idempotency key.
            if (writeDeadline < request.deadline) {
                withdrawTimer = loop.schedule(
                        () -> request.attempts.get(number).withdraw(),
                        Math.max(0, writeDeadline - now()),
                        TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public boolean shouldWrite() {
            readListAfterStall();
            return !ended
                    && !request.closed
                    && now() < writeDeadline
                    && connectionState(request) == ConnectionState.OPEN
                    && now() < writeDeadline;
        }

        @Override
        public void ended(Outcome outcome, UpstreamResponse response, float[] load) {
            ended = true;
            if (withdrawTimer != null) {
                withdrawTimer.cancel(false);
            }
            attemptEnded(this, outcome, response, load);
        }
    }

    private final EventLoop loop;
    private final Balancer balancer;
    private final List<RequestClass> classes;
    private final int maxAttempts;
    private final int maxOpenRequests;
    private final Transport transport;
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    private final Map<String, Long> upstreamIds = new HashMap<>();
    /** Names of servers that have left the list, in the order in which they left. */
    private final Set<String> goneServers = new LinkedHashSet<>();

    private long lastUpstreamId;
    private final Map<String, Integer> zoneNumbers = new HashMap<>();
    private final Map<String, Integer> kindNumbers = new HashMap<>();
    private final ArrayDeque<LongConsumer> pendingEvents = new ArrayDeque<>();
    private final long clockOffsetNanos = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    private EndpointDiscovery discovery;
    private final ObservedEndpoints endpoints = new ObservedEndpoints();
    private final EndpointOwners owners = new EndpointOwners();
    private final ServerStartEstimate serverStarts = new ServerStartEstimate();
    private Observer observer;
    private RequestLog log = RequestLog.NONE;
    private EventCounters counters = EventCounters.unlogged();
    /** Server names by upstream id; filled only if the request log is on. */
    private final Map<Long, String> namesForLog = new HashMap<>();

    private long listReadAt;
    private boolean dispatching;
    private boolean retired;
    private long shutdownAt = Long.MAX_VALUE;
    private long lastRequestId;
    private long requestCount;
    /** New requests that wait for the end of the event loop turn in which they arrived. */
    private final ArrayDeque<Runnable> deferredRequests = new ArrayDeque<>(1);

    private boolean checkingClient;
    private final KeyedAttemptHistory<Long> keyedAttempts = new KeyedAttemptHistory<>();

    /**
     * Creates an engine with its own balancer.
     *
     * @param seed for the balancer's random numbers
     * @param maxOpenRequests how many requests may be open at once; further ones are refused
     * @param transport sends attempts to all upstreams
     */
    public Engine(EventLoop loop, BalancerOptions options, long seed, int maxOpenRequests, Transport transport) {
        Balancer.Settings settings = options.settings();
        this.loop = loop;
        this.balancer = new LoadBalancingPolicy(settings, seed, this);
        this.classes = settings.classes();
        this.maxAttempts = settings.capabilities().maxAttempts();
        this.maxOpenRequests = maxOpenRequests;
        this.transport = transport;
        options.list("zones").forEach(zone -> numberOf(zoneNumbers, zone));
        options.list("kinds").forEach(kind -> numberOf(kindNumbers, kind));
    }

    /** Starts with a cached endpoint list that is current. */
    public void start(EndpointDiscovery discovery, List<Target> cachedTargets) {
        start(discovery, cachedTargets, 0);
    }

    /**
     * Starts with the cached endpoint list. This and all following methods are called on the event loop.
     *
     * @param listAgeNanos how long the list may have been stale: the time since the process started
     */
    public void start(EndpointDiscovery discovery, List<Target> cachedTargets, long listAgeNanos) {
        this.discovery = discovery;
        dispatch(now -> balancer.start(now, listAgeNanos));
        updateEndpoints(EndpointListKind.CACHED, cachedTargets);
    }

    /** Monotonic nanoseconds since 1970, comparable with the start times in the endpoint list. */
    private long now() {
        return System.nanoTime() + clockOffsetNanos;
    }

    /** Passes one event to the balancer. Events raised meanwhile are queued: the balancer is not reentrant. */
    private void dispatch(LongConsumer event) {
        if (dispatching) {
            pendingEvents.add(event);
            return;
        }
        readListAfterStall();
        pendingEvents.add(event);
        dispatching = true;
        try {
            for (LongConsumer next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                try {
                    next.accept(now());
                } catch (RuntimeException e) {
                    System.err.println("engine: event handler failed: " + e);
                }
            }
        } finally {
            dispatching = false;
        }
    }

    /**
     * After a stall of the event loop, reads what discovery has sent before anything else is decided or written: a
     * change counts as received when discovery has written it, and its grace may have passed meanwhile.
     */
    private void readListAfterStall() {
        long now = System.nanoTime();
        if (discovery != null
                && now - MonitoredIoHandler.arrivedAfter() > MAX_UNREAD_NANOS
                && now - listReadAt > MAX_UNREAD_NANOS) {
            listReadAt = now;
            discovery.readUnread();
        }
    }

    /** The number of a name; a new name gets the next free one. */
    private static int numberOf(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, added -> numbers.size());
    }

    /** Receives the outcome of each attempt, for sharing with other sidecars. */
    public interface Observer {
        /**
         * An attempt has ended.
         *
         * @param uid the server's name in the endpoint list
         * @param elapsedNanos from the balancer's send action to the outcome
         */
        void attemptEnded(String uid, int requestClass, Outcome outcome, long elapsedNanos);
    }

    /**
     * Registers an observer of all attempts' outcomes. Must be called before {@link #start}: the server names
     * are tracked only from then on.
     */
    public void observe(Observer observer) {
        this.observer = observer;
    }

    /** Sets the log for each request's events; must be called before {@link #start}. */
    public void setRequestLog(RequestLog log) {
        this.log = log;
    }

    /** Sets the counters of requests that were not forwarded; must be called before {@link #start}. */
    public void setCounters(EventCounters counters) {
        this.counters = counters;
    }

    /** The number of requests submitted so far. */
    public long requestCount() {
        return requestCount;
    }

    /** Names of the servers that are ready. Empty without an {@link Observer}. */
    public Set<String> readyServers() {
        return endpoints.ready();
    }

    /**
     * Servers that are ready and started less than {@code maxAgeNanos} ago, by name. The start time identifies
     * that start of the server at every sidecar; the age is counted from when it was first seen here.
     */
    public Map<String, ServerStart> recentlyStarted(long maxAgeNanos) {
        return endpoints.started(maxAgeNanos, System.nanoTime());
    }

    /**
     * A start of a server.
     *
     * @param startedMs start time from the endpoint list, in Unix milliseconds
     * @param ageNanos nanoseconds since the start was first seen here; never more than since the start itself
     */
    public record ServerStart(long startedMs, long ageNanos) {}

    /**
     * Permission to send requests to a recently started server.
     *
     * @param permits how many requests may be sent
     * @param durationMillis validity from now, in milliseconds
     */
    public record Lease(float permits, int durationMillis) {}

    /** Passes to the balancer this sidecar's leases on the load that all sidecars may send to cold servers. */
    public void applyLeases(Map<String, Lease> leases) {
        List<Map.Entry<String, Lease>> entries = leases.entrySet().stream()
                .filter(each -> upstreamIds.containsKey(each.getKey()))
                .toList();
        for (int i = 0; i < entries.size(); i += MAX_LEASE_ENTRIES) {
            List<Map.Entry<String, Lease>> batch = entries.subList(i, Math.min(entries.size(), i + MAX_LEASE_ENTRIES));
            ByteBuffer message = ByteBuffer.allocate(LEASE_ENTRY_BYTES * batch.size());
            batch.forEach(each -> message.putLong(upstreamIds.get(each.getKey()))
                    .putFloat(each.getValue().permits)
                    .putInt(each.getValue().durationMillis));
            dispatch(now -> balancer.peerMessageReceived(now, Balancer.COLD_START_LEASES, message.array()));
        }
    }

    /**
     * Passes to the balancer the slowdown that other sidecars report for some servers.
     *
     * @param slowdownByServer how many times slower than its baseline each server is, by server name
     */
    public void applySlowdownReports(Map<String, Double> slowdownByServer) {
        List<Map.Entry<String, Double>> entries = slowdownByServer.entrySet().stream()
                .filter(each -> upstreamIds.containsKey(each.getKey()))
                .limit(MAX_SLOWDOWN_ENTRIES)
                .toList();
        if (entries.isEmpty()) {
            return;
        }
        ByteBuffer message = ByteBuffer.allocate(SLOWDOWN_ENTRY_BYTES * entries.size());
        entries.forEach(each -> message.putLong(upstreamIds.get(each.getKey()))
                .putFloat(each.getValue().floatValue()));
        dispatch(now -> balancer.peerMessageReceived(now, Balancer.PEER_OUTLIER_REPORTS, message.array()));
    }

    /** Applies an endpoint list or a change to it, or passes on the failure of a discovery call. */
    public void updateEndpoints(EndpointListKind kind, List<Target> targets) {
        if (kind == EndpointListKind.FAILED) {
            long silentNanos = discovery.silentNanos();
            dispatch(now -> balancer.discoveryCallFailed(now, silentNanos));
            return;
        }
        long nowMillis = now() / 1_000_000;
        Collection<Target> resolved = owners.resolve(
                kind != EndpointListKind.DELTA,
                targets,
                target -> serverStarts.startOf(target.uid(), target.startedMs(), nowMillis));
        List<Upstream> entries = new ArrayList<>(resolved.size());
        Map<Long, Target> targetsById = new HashMap<>();
        Map<Long, Long> startMillisById = new HashMap<>();
        for (Target target : resolved) {
            long id = upstreamIds.computeIfAbsent(target.uid(), uid -> ++lastUpstreamId);
            goneServers.remove(target.uid());
            if (target.state() == UpstreamState.GONE) {
                goneServers.add(target.uid());
            }
            targetsById.put(id, target);
            long startMillis = serverStarts.startOf(target.uid(), target.startedMs(), nowMillis);
            startMillisById.put(id, startMillis);
            if (log != RequestLog.NONE) {
                namesForLog.put(id, target.uid());
            }
            entries.add(new Upstream(
                    id,
                    numberOf(zoneNumbers, target.zone()),
                    numberOf(kindNumbers, target.kind()),
                    target.cell(),
                    target.state(),
                    target.weight(),
                    startMillis * 1_000_000));
        }
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.DELTA) {
            serverStarts.listApplied(nowMillis);
        }
        if (observer != null) {
            endpoints.update(kind, targetsById, System.nanoTime(), System.currentTimeMillis());
        }
        dispatch(now -> {
            targetsById.forEach((id, target) -> {
                if (target.state() == UpstreamState.GONE) {
                    transport.removeEndpoint(id);
                } else {
                    transport.updateEndpoint(
                            id, target.endpoint(), startMillisById.get(id), target.state() == UpstreamState.READY);
                }
            });
            if (kind == EndpointListKind.FULL) {
                upstreamIds.forEach((uid, id) -> {
                    if (!targetsById.containsKey(id)) {
                        transport.removeEndpoint(id);
                        goneServers.add(uid);
                    }
                });
            }
            balancer.endpointListChanged(now, kind, entries);
            forgetOldestGoneServers();
        });
    }

    private void forgetOldestGoneServers() {
        Iterator<String> oldestFirst = goneServers.iterator();
        while (goneServers.size() > MAX_GONE_SERVERS) {
            String uid = oldestFirst.next();
            oldestFirst.remove();
            namesForLog.remove(upstreamIds.remove(uid));
            serverStarts.forget(uid);
        }
    }

    /**
     * Discovery has switched to another service, whose watch the balancer opens.
     *
     * @param staleNanos how long ago the switch was requested
     */
    public void discoverySwitched(long staleNanos) {
        dispatch(now -> balancer.discoverySwitched(now, staleNanos));
    }

    @Override
    public long submit(Job job, Client client) {
        requestCount++;
        String historyKey = historyKey(job);
        KeyedAttemptHistory.SentAttempt<Long> priorAttempt =
                historyKey == null ? null : keyedAttempts.first(historyKey, now());
        if (openRequests.size() >= maxOpenRequests) {
            rejectUnsubmitted(client, priorAttempt != null);
            return 0;
        }
        long id = ++lastRequestId;
        log.requestReceived(id, job);
        long receivedAt = now();
        long timeLeftNanos =
                Math.min(job.clientTimeoutMillis() * 1_000_000 - RESPONSE_MARGIN_NANOS, shutdownAt - receivedAt);
        if (timeLeftNanos <= 0) {
            counters.count(
                    EventCounters.Kind.REQUEST_EXPIRED,
                    () -> String.valueOf(job.headers().get("Req-Id")));
            log.responseSent(id, "refused: no time left when read");
            rejectUnsubmitted(client, priorAttempt != null);
            return 0;
        }
        OpenRequest request = new OpenRequest(job, client, historyKey, priorAttempt);
        request.deadline = receivedAt + timeLeftNanos;
        openRequests.put(id, request);
        // The balancer responds by its own deadline; this timer covers requests that it missed.
        request.timer = loop.schedule(
                () -> dispatch(now -> {
                    finish(id, request, "failed at the deadline", request::failed);
                    balancer.clientDisconnected(now, id);
                }),
                timeLeftNanos + RESPONSE_MARGIN_NANOS / 2,
                TimeUnit.NANOSECONDS);
        if (checkingClient || client.unreadNanos() > MAX_UNREAD_NANOS) {
            // The client's end of stream may be right behind in the socket, which must not be read from within
            // its own read.
            deferredRequests.add(() -> passToBalancer(id, request));
            if (deferredRequests.size() == 1) {
                // schedule(), not execute(): a task executed from within a task may run in the same turn.
                loop.schedule(this::passDeferredRequests, 0, TimeUnit.NANOSECONDS);
            }
        } else {
            passToBalancer(id, request);
        }
        return id;
    }

    private String historyKey(Job job) {
        return classes.get(job.requestClass()).retrySemantics() == RetrySemantics.BY_KEY
                ? job.requestClass() + "/" + job.headers().get(JobReader.IDEMPOTENCY_KEY_HEADER)
                : null;
    }

    /** Responds to a request that the balancer does not get. A refusal would promise that a retry is harmless. */
    private static void rejectUnsubmitted(Client client, boolean mayHaveRun) {
        client.reportAttempts(new AttemptSummary(0, 0, mayHaveRun));
        if (mayHaveRun) {
            client.failed();
        } else {
            client.refused(0);
        }
    }

    private void passDeferredRequests() {
        // Requests that arrive meanwhile wait for the next turn.
        List<Runnable> requests = List.copyOf(deferredRequests);
        deferredRequests.clear();
        requests.forEach(Runnable::run);
    }

    private void passToBalancer(long id, OpenRequest request) {
        if (request.closed) {
            return;
        }
        if (connectionState(request) == ConnectionState.CLOSED) {
            log.responseSent(id, "none: the client had disconnected when its request was read");
            request.close();
            forget(id, request);
            return;
        }
        dispatch(now -> {
            Job job = request.job;
            balancer.requestArrived(
                    now,
                    new Request(
                            id,
                            job.requestClass(),
                            job.tenant(),
                            job.key(),
                            Math.max(1, request.deadline - now),
                            job.costHintNanos(),
                            job.clientRetry(),
                            !job.method().equals(HttpMethod.GET),
                            request.priorAttempt()));
        });
    }

    /** Whether the client is still connected. Reads its socket if that may not have been read recently. */
    private ConnectionState connectionState(OpenRequest request) {
        boolean readSocket = request.client.unreadNanos() > MAX_UNREAD_NANOS;
        boolean alreadyChecking = checkingClient;
        checkingClient = true;
        ConnectionState state = request.client.connectionState(readSocket);
        checkingClient = alreadyChecking;
        if (state == ConnectionState.CLOSED && !request.clientGone) {
            request.clientGone = true;
            counters.count(
                    EventCounters.Kind.CLIENT_GONE,
                    () -> String.valueOf(request.job.headers().get("Req-Id")));
        }
        if (state == ConnectionState.UNKNOWN) {
            counters.count(
                    EventCounters.Kind.CLIENT_UNREAD,
                    () -> String.valueOf(request.job.headers().get("Req-Id")));
        }
        return request.clientGone ? ConnectionState.CLOSED : state;
    }

    @Override
    public void clientDisconnected(long id) {
        OpenRequest request = openRequests.get(id);
        if (request != null && !request.closed) {
            log.clientDisconnected(id);
            request.close();
            // Kept until the balancer has been notified: an attempt that it sends before that needs an outcome, too.
            dispatch(now -> {
                balancer.clientDisconnected(now, id);
                forget(id, request);
            });
        }
    }

    /**
     * Announces that the process ends {@code delayNanos} from now. Open requests and those still to come get
     * their final response before that.
     */
    public void announceShutdown(long delayNanos) {
        dispatch(now -> {
            shutdownAt = now + delayNanos;
            balancer.shutdownScheduled(now, shutdownAt);
        });
    }

    /** No more requests will be submitted. Open ones still complete; after that no more timers are set. */
    public void retire() {
        retired = true;
    }

    /** Whether no request waits for its response. */
    public boolean isIdle() {
        return openRequests.values().stream().allMatch(request -> request.closed);
    }

    /** Sends the final response unless one was sent before; {@code logLabel} names it in the request log. */
    private void finish(long id, OpenRequest request, String logLabel, Runnable respond) {
        if (!request.closed) {
            log.responseSent(id, logLabel);
            request.close();
            respond.run();
            forget(id, request);
        }
    }

    private void forget(long id, OpenRequest request) {
        if (request.closed && request.inFlight == 0) {
            openRequests.remove(id);
        }
    }

    @Override
    public void send(long requestId, long upstream, long timeoutNanos) {
        OpenRequest request = openRequests.get(requestId);
        long now = now();
        if (request == null) {
            return;
        }
        int number = request.attempts.size();
        request.inFlight++;
        request.attempts.add(null);
        PendingAttempt attempt = new PendingAttempt(requestId, request, number, upstream, now);
        if (request.closed || now >= attempt.writeDeadline || number >= maxAttempts) {
            attemptEnded(attempt, Outcome.NEVER_SENT, null, LoadReports.NONE);
            return;
        }
        long attemptTimeoutNanos = request.deadline - now;
        if (timeoutNanos > 0) {
            attemptTimeoutNanos = Math.min(attemptTimeoutNanos, timeoutNanos);
        }
        request.attemptsSent++;
        log.attemptSent(requestId, number, namesForLog.get(upstream), attemptTimeoutNanos);
        attempt.start(attemptTimeoutNanos);
    }

    private void attemptEnded(PendingAttempt attempt, Outcome outcome, UpstreamResponse response, float[] load) {
        OpenRequest request = attempt.request;
        dispatch(now -> {
            long elapsed = now - attempt.sentAt;
            log.attemptEnded(attempt.requestId, attempt.number, namesForLog.get(attempt.upstream), outcome, elapsed);
            request.recordOutcome(outcome, attempt.sentAt);
            if (attempt.historyEntry != null && outcome.provesNotExecuted()) {
                keyedAttempts.removeNotExecuted(request.historyKey, attempt.historyEntry);
            }
            if (request.clientGone && !request.closed) {
                request.close();
                balancer.clientDisconnected(now, attempt.requestId);
            }
            if (observer != null && endpoints.name(attempt.upstream) != null) {
                observer.attemptEnded(endpoints.name(attempt.upstream), request.job.requestClass(), outcome, elapsed);
            }
            if (outcome == Outcome.OK) {
                finish(attempt.requestId, request, "served", () -> request.client.served(response));
            }
            balancer.attemptEnded(
                    now, attempt.requestId, attempt.number, attempt.upstream, outcome, elapsed, request.closed, load);
            forget(attempt.requestId, request);
        });
    }

    @Override
    public void refuse(long requestId, long retryAfterNanos) {
        OpenRequest request = openRequests.get(requestId);
        if (request != null) {
            finish(requestId, request, "refused", () -> request.refused(retryAfterNanos));
        }
    }

    @Override
    public void fail(long requestId) {
        OpenRequest request = openRequests.get(requestId);
        if (request != null) {
            finish(requestId, request, "failed", request::failed);
        }
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        OpenRequest request = openRequests.get(requestId);
        if (request != null && attempt < request.attempts.size() && request.attempts.get(attempt) != null) {
            request.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void setTimer(long token, long dueNanos) {
        if (retired && openRequests.isEmpty()) {
            return;
        }
        loop.schedule(
                () -> dispatch(now -> balancer.timerFired(now, token)),
                Math.max(0, dueNanos - now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void probe(long upstream) {
        long sentAt = now();
        transport.probe(
                upstream,
                (outcome, response, load) ->
                        dispatch(now -> balancer.probeEnded(now, upstream, outcome, now - sentAt, load)));
    }

    @Override
    public void closeIdleConnections(long upstream) {
        transport.closeIdle(upstream);
    }

    /** Not supported: {@link LoadBalancingPolicy} does not send messages to peers. */
    @Override
    public void sendToPeer(int peer, byte[] message) {
        throw new UnsupportedOperationException("messages to peers are not supported");
    }

    @Override
    public void log(String line) {
        System.err.println("module: " + line);
    }

    @Override
    public void setSubscription(boolean subscribed) {
        discovery.watch(subscribed);
    }

    @Override
    public void fetchEndpointList() {
        discovery.fetch();
    }
}
