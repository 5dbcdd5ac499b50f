package pondridge;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import pondridge.Balancer.Actions;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.HostCapabilities;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.SafetyLimits;
import pondridge.Balancer.Settings;
import pondridge.Balancer.Tenant;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.Balancer.WeightKind;

/** A host for tests: keeps the clock, fires timers and records the actions of the balancer. */
final class RecordingHost implements Actions {
    static final long MS = 1_000_000;
    static final RequestClass REPEATABLE = requestClass(RetrySemantics.REPEATABLE, KeyScope.ALL);
    static final RequestClass ONCE = requestClass(RetrySemantics.ONCE, KeyScope.ALL);
    static final RequestClass BY_KEY_IN_CELL = requestClass(RetrySemantics.BY_KEY, KeyScope.CELL);
    static final RequestClass BY_KEY_ANYWHERE = requestClass(RetrySemantics.BY_KEY, KeyScope.ALL);

    record SentAttempt(long request, int attempt, long upstream, long sentAt) {}

    record Timer(long dueNanos, long token) {}

    final List<String> actions = new ArrayList<>();
    final List<SentAttempt> sends = new ArrayList<>();
    final List<String> finalResponses = new ArrayList<>();
    final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.dueNanos, b.dueNanos));
    final LoadBalancingPolicy policy;
    long now = 1_000 * MS;
    int subscribeCalls;

    RecordingHost(Settings settings, long seed) {
        policy = new LoadBalancingPolicy(settings, seed, this);
        policy.start(now);
    }

    static RequestClass requestClass(RetrySemantics semantics, KeyScope scope) {
        return new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, semantics, scope, 700 * MS, false);
    }

    static Settings settings(RequestClass... classes) {
        return settings(DiscoveryMode.AUTOMATIC, classes);
    }

    static Settings settings(DiscoveryMode discovery, RequestClass... classes) {
        return new Settings(
                0,
                3,
                0,
                5 * MS,
                discovery,
                WeightKind.SILENT,
                List.of(classes),
                List.<Tenant>of(),
                new HostCapabilities(true, false, false, true, true, 3, 1_000 * MS, 250 * MS),
                new SafetyLimits(20 * MS, 10_000 * MS, 250 * MS, 0.3, 8_000 * MS, 3, 1_500 * MS),
                List.of(),
                Balancer.OverheadCosts.NONE,
                false,
                1);
    }

    /** Probes are cheap, load reports include the requests in flight, and attempts may not overlap. */
    static Settings probingSettings(int replicas, RequestClass... classes) {
        Settings base = settings(classes);
        return new Settings(
                0,
                replicas,
                0,
                MS,
                DiscoveryMode.AUTOMATIC,
                WeightKind.SILENT,
                base.classes(),
                List.of(),
                new HostCapabilities(true, true, false, false, true, 3, 1_000 * MS, 250 * MS),
                base.safetyLimits(),
                List.of("q", "rif"),
                new Balancer.OverheadCosts(0.002, 0),
                false,
                1);
    }

    /** Upstreams report how many requests are queued; one class of low utility and one of high utility. */
    static Settings queueReportingSettings(int replicas) {
        Settings base = settings(classWithUtility(1), classWithUtility(10));
        return new Settings(
                0,
                replicas,
                0,
                MS,
                DiscoveryMode.AUTOMATIC,
                WeightKind.SILENT,
                base.classes(),
                List.of(),
                base.capabilities(),
                base.safetyLimits(),
                List.of("rate", "q"),
                Balancer.OverheadCosts.NONE,
                false,
                1);
    }

    private static RequestClass classWithUtility(double utility) {
        return new RequestClass(500 * MS, 0, 1_000 * MS, utility, 0, RetrySemantics.REPEATABLE, KeyScope.ALL, 0, false);
    }

    static Upstream upstream(long id) {
        return upstream(id, UpstreamState.READY, 0);
    }

    static Upstream upstream(long id, UpstreamState state, long startedAt) {
        return new Upstream(id, (int) (id % 2), 0, (int) (id / 3), state, 1, startedAt);
    }

    /** Lists upstreams 0 to count - 1 as ready and started long ago. */
    RecordingHost withUpstreams(int count) {
        List<Upstream> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(upstream(i));
        }
        policy.endpointListChanged(now, EndpointListKind.CACHED, list);
        return this;
    }

    void request(long id, int requestClass) {
        request(id, requestClass, 1_000 * MS);
    }

    void request(long id, int requestClass, long timeLeft) {
        policy.requestArrived(now, new Request(id, requestClass, 0, 0, timeLeft, 0, false, false));
    }

    /** A request of the first class, with the key of an earlier one. */
    void requestAfter(long id, Balancer.PriorAttempt priorAttempt) {
        policy.requestArrived(now, new Request(id, 0, 0, 0, 1_000 * MS, 0, false, true, priorAttempt));
    }

    void outcome(SentAttempt sent, Outcome outcome, float... load) {
        policy.attemptEnded(
                now,
                sent.request,
                sent.attempt,
                sent.upstream,
                outcome,
                now - sent.sentAt,
                outcome == Outcome.OK,
                load);
    }

    /** Advances the clock and fires every timer that becomes due. */
    void advance(long by) {
        long end = now + by;
        while (!timers.isEmpty() && timers.peek().dueNanos <= end) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.dueNanos);
            policy.timerFired(now, timer.token);
        }
        now = end;
    }

    /** Serves requests from..to one by one, each with a response after {@code responseTime}. */
    void serve(long from, long to, int requestClass, long responseTime) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
            SentAttempt sent = lastSend();
            advance(responseTime);
            outcome(sent, Outcome.OK);
        }
    }

    /** Sends requests from..to all at once. */
    void burst(long from, long to, int requestClass) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
        }
    }

    /** Number of attempts sent to an upstream, without the first {@code since} sends. */
    long countSendsTo(long upstream, int since) {
        return sends.stream().skip(since).filter(s -> s.upstream == upstream).count();
    }

    SentAttempt lastSend() {
        return sends.get(sends.size() - 1);
    }

    List<SentAttempt> sendsOf(long request) {
        return sends.stream().filter(s -> s.request == request).toList();
    }

    @Override
    public void send(long request, long upstream, long timeoutNanos) {
        actions.add("send " + request + " " + upstream + " " + timeoutNanos);
        sends.add(new SentAttempt(request, sendsOf(request).size(), upstream, now));
    }

    @Override
    public void refuse(long request, long retryAfterNanos) {
        actions.add("refuse " + request + " " + retryAfterNanos);
        finalResponses.add("refuse " + request);
    }

    @Override
    public void fail(long request) {
        actions.add("fail " + request);
        finalResponses.add("fail " + request);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void setTimer(long token, long dueNanos) {
        actions.add("timer " + token + " " + dueNanos);
        timers.add(new Timer(dueNanos, token));
    }

    @Override
    public void probe(long upstream) {
        actions.add("probe " + upstream);
    }

    @Override
    public void closeIdleConnections(long upstream) {
        actions.add("close " + upstream);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        actions.add("sendToPeer " + peer);
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }

    @Override
    public void setSubscription(boolean subscribed) {
        actions.add("subscribe " + subscribed);
        subscribeCalls++;
    }

    @Override
    public void fetchEndpointList() {
        actions.add("fetch");
    }
}
