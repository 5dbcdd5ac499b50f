package pondridge;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import pondridge.Balancer.Actions;
import pondridge.Balancer.Allowed;
import pondridge.Balancer.Discovery;
import pondridge.Balancer.Limits;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Scope;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Settings;
import pondridge.Balancer.State;
import pondridge.Balancer.Tenant;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.Weights;

/** A host for tests: it keeps the clock, rings timers and writes down what the module orders. */
final class Recorder implements Actions {
    static final long MS = 1_000_000;
    static final RequestClass REPEATABLE = requestClass(Semantics.REPEATABLE, Scope.ALL);
    static final RequestClass ONCE = requestClass(Semantics.ONCE, Scope.ALL);
    static final RequestClass BY_CELL = requestClass(Semantics.BY_KEY, Scope.CELL);
    static final RequestClass BY_ANY = requestClass(Semantics.BY_KEY, Scope.ALL);

    record Sent(long request, int attempt, long upstream, long at) {}

    record Timer(long at, long token) {}

    final List<String> log = new ArrayList<>();
    final List<Sent> sends = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    final Rules rules;
    long now = 1_000 * MS;
    int subscriptions;

    Recorder(Settings settings, long seed) {
        rules = new Rules(settings, seed, this);
        rules.start(now);
    }

    static RequestClass requestClass(Semantics semantics, Scope scope) {
        return new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, semantics, scope, 700 * MS, false);
    }

    static Settings settings(RequestClass... classes) {
        return settings(Discovery.AUTOMATIC, classes);
    }

    static Settings settings(Discovery discovery, RequestClass... classes) {
        return new Settings(
                0,
                3,
                0,
                5 * MS,
                discovery,
                Weights.SILENT,
                List.of(classes),
                List.<Tenant>of(),
                new Allowed(true, false, false, true, true, 3, 1_000 * MS, 250 * MS),
                new Limits(20 * MS, 10_000 * MS, 250 * MS, 0.3, 8_000 * MS, 3, 1_500 * MS),
                List.of(),
                Balancer.Charges.NONE,
                false,
                1);
    }

    /** Where probes are all but free, reports tell what is held, and attempts may not overlap. */
    static Settings lookingSettings(int replicas, RequestClass... classes) {
        Settings base = settings(classes);
        return new Settings(
                0,
                replicas,
                0,
                MS,
                Discovery.AUTOMATIC,
                Weights.SILENT,
                base.classes(),
                List.of(),
                new Allowed(true, true, false, false, true, 3, 1_000 * MS, 250 * MS),
                base.limits(),
                List.of("q", "rif"),
                new Balancer.Charges(0.002, 0),
                false,
                1);
    }

    /** Many sidecars or few, whose upstreams report how many requests wait; a cheap class and a dear one. */
    static Settings reportingSettings(int replicas) {
        Settings base = settings(worth(1), worth(10));
        return new Settings(
                0,
                replicas,
                0,
                MS,
                Discovery.AUTOMATIC,
                Weights.SILENT,
                base.classes(),
                List.of(),
                base.allowed(),
                base.limits(),
                List.of("rate", "q"),
                Balancer.Charges.NONE,
                false,
                1);
    }

    private static RequestClass worth(double worth) {
        return new RequestClass(500 * MS, 0, 1_000 * MS, worth, 0, Semantics.REPEATABLE, Scope.ALL, 0, false);
    }

    static Upstream upstream(long id) {
        return upstream(id, State.READY, 0);
    }

    static Upstream upstream(long id, State state, long startedAt) {
        return new Upstream(id, (int) (id % 2), 0, (int) (id / 3), state, 1, startedAt);
    }

    /** Lists upstreams 0 to count - 1 as ready and long started. */
    Recorder withUpstreams(int count) {
        List<Upstream> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(upstream(i));
        }
        rules.listChanged(now, ListKind.CACHED, list);
        return this;
    }

    void request(long id, int requestClass) {
        request(id, requestClass, 1_000 * MS);
    }

    void request(long id, int requestClass, long left) {
        rules.request(now, new Request(id, requestClass, 0, 0, left, 0, false, false));
    }

    void outcome(Sent sent, Outcome outcome, float... load) {
        rules.outcome(
                now, sent.request, sent.attempt, sent.upstream, outcome, now - sent.at, outcome == Outcome.OK, load);
    }

    /** Moves the clock, ringing every timer on its way. */
    void advance(long by) {
        long end = now + by;
        while (!timers.isEmpty() && timers.peek().at <= end) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at);
            rules.timer(now, timer.token);
        }
        now = end;
    }

    /** Serves ids from..to one by one, each answered after {@code took}. */
    void serve(long from, long to, int requestClass, long took) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
            Sent sent = last();
            advance(took);
            outcome(sent, Outcome.OK);
        }
    }

    /** Ids from..to, all at once. */
    void burst(long from, long to, int requestClass) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
        }
    }

    /** Attempts sent to an upstream since that many sends. */
    long sentTo(long upstream, int since) {
        return sends.stream().skip(since).filter(s -> s.upstream == upstream).count();
    }

    Sent last() {
        return sends.get(sends.size() - 1);
    }

    List<Sent> sendsOf(long request) {
        return sends.stream().filter(s -> s.request == request).toList();
    }

    @Override
    public void send(long request, long upstream, long timeout) {
        log.add("send " + request + " " + upstream + " " + timeout);
        sends.add(new Sent(request, sendsOf(request).size(), upstream, now));
    }

    @Override
    public void refuse(long request, long wait) {
        log.add("refuse " + request + " " + wait);
        answers.add("refuse " + request);
    }

    @Override
    public void fail(long request) {
        log.add("fail " + request);
        answers.add("fail " + request);
    }

    @Override
    public void cancel(long request, int attempt) {
        log.add("cancel " + request + " " + attempt);
    }

    @Override
    public void timer(long token, long at) {
        log.add("timer " + token + " " + at);
        timers.add(new Timer(at, token));
    }

    @Override
    public void probe(long upstream) {
        log.add("probe " + upstream);
    }

    @Override
    public void closeIdle(long upstream) {
        log.add("close " + upstream);
    }

    @Override
    public void tell(int peer, byte[] message) {
        log.add("tell " + peer);
    }

    @Override
    public void log(String line) {
        log.add("log " + line);
    }

    @Override
    public void subscribe(boolean on) {
        log.add("subscribe " + on);
        subscriptions++;
    }

    @Override
    public void fetchList() {
        log.add("fetch");
    }
}
