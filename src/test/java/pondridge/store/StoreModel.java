package pondridge.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import pondridge.Balancer.Actions;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.HostCapabilities;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.OverheadCosts;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.SafetyLimits;
import pondridge.Balancer.Settings;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.Balancer.WeightKind;
import pondridge.LoadBalancingPolicy;
import pondridge.standin.ColdStart;

/**
 * Simulates sidecars with the production decision module and the production decision classes of the store,
 * against modelled servers and a modelled store, in virtual time: a seed determines the run. A tenth of the
 * servers become slow after one third of a run. Load rises by half at half of it, and two or all servers start
 * cold at two thirds.
 */
public final class StoreModel {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final long SLO_NANOS = 200 * MS;
    private static final long DEADLINE_NANOS = 500 * MS;
    private static final long WORK_NANOS = 10 * MS;
    private static final long SLOW_WORK_NANOS = 400 * MS;
    private static final int SERVER_THREADS = 8;
    private static final int REPORTS_PER_EXCHANGE = 16;
    private static final double LOAD_FRACTION = 0.4;
    /** Load at the month-end peak relative to normal load. */
    private static final double LOAD_INCREASE = 1.5;
    /** Requests a second that a warm server can process. */
    private static final double WARM_REQUESTS_PER_SECOND = SERVER_THREADS * 1e9 / WORK_NANOS;

    private static final long SLOT_NANOS = 1_500 * MS;
    private static final long BUCKET_NANOS = 100 * MS;
    /** Fraction of a warm server's rate that is leased to all sidecars together. */
    private static final double LEASED_FRACTION = Double.parseDouble(System.getProperty("lent", "0.9"));

    private static final long RAMP_NANOS = 7_400 * MS;
    private static final double COLD_FRACTION = 0.39;
    private static final PeerOutlierDetector.Limits REPORT_LIMITS = new PeerOutlierDetector.Limits(4_000, 6, 2, 0.25);

    /** The state of the store in the last two thirds of a run. */
    public enum StoreCondition {
        /** No store in the whole run. */
        NONE,
        GOOD,
        /** Unreachable. */
        AWAY,
        /** All reports are an hour old. */
        AN_HOUR_OLD,
        /** All reports are false. */
        POISON,
        /** Half of the sidecars cannot reach it. */
        HALF_SEE_IT,
        /** It loses counters and members. */
        LOSES_KEYS,
        /** Its clock jumps an hour ahead and back every 2 s. */
        CLOCK_JUMPS,
        /** One in ten lease requests finds its counter lost, as after a failover to a lagging replica. */
        LAGS
    }

    /**
     * The parameters of a run.
     *
     * @param allCold whether all servers start cold at two thirds of the run instead of two servers
     * @param leases whether cold-start budgets are leased, too
     * @param paused whether one sidecar is paused for 10 s, starting shortly after the cold starts
     */
    public record Plan(
            int sidecars,
            int servers,
            StoreCondition store,
            boolean allCold,
            boolean leases,
            boolean paused,
            long seconds,
            long seed) {}

    /**
     * The results of a run.
     *
     * @param inTimeFraction fraction of requests served within the objective
     * @param slowSendsPerSidecar attempts at slow servers, per sidecar
     * @param avoidanceDelayMillis time until the slow servers received less than a quarter of their even share
     * @param coldLimitFraction requests that a cold server received in its first 1.5 s, relative to the number that
     *     crashes it; the largest of all servers
     * @param crashedServers cold servers that failed under too many requests
     */
    public record Result(
            long requests,
            long responses,
            long duplicateResponses,
            double inTimeFraction,
            double slowSendsPerSidecar,
            double p99Millis,
            long avoidanceDelayMillis,
            double coldLimitFraction,
            long crashedServers,
            long reportBytes) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "asked=%d in_time=%.4f slow_sends_per_sidecar=%.2f p99_ms=%.0f "
                            + "avoided_ms=%d cold_used=%.2f pushed_over=%d report_bytes=%d",
                    requests,
                    inTimeFraction,
                    slowSendsPerSidecar,
                    p99Millis,
                    avoidanceDelayMillis,
                    coldLimitFraction,
                    crashedServers,
                    reportBytes);
        }
    }

    private record Event(long at, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private final Random random;
    private final StoreCondition store;
    private final long endNanos;
    private final List<Server> servers = new ArrayList<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private final Map<String, Long> counters = new HashMap<>();
    private final Plan plan;
    private final Histogram responseTimesMillis = new Histogram(60_000, 3);
    private final long[] slowSendsByBucket = new long[100];
    private double coldUsed;
    private final double requestsPerSidecar;
    private long nowNanos = SECOND;
    private long sequence;
    private long requests;
    private long responses;
    private long duplicateResponses;
    private long inTime;
    private long countedRequests;
    private long slowSends;
    private long crashedServers;

    private StoreModel(Plan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed);
        this.store = plan.store;
        this.endNanos = nowNanos + plan.seconds * SECOND;
        this.requestsPerSidecar = LOAD_FRACTION * plan.servers * WARM_REQUESTS_PER_SECOND / plan.sidecars;
        for (int i = 0; i < plan.servers; i++) {
            servers.add(new Server("s" + i));
        }
        for (int i = 0; i < plan.sidecars; i++) {
            sidecars.add(new Sidecar(i, random.nextLong()));
        }
    }

    /** Simulates one run. */
    public static Result simulate(Plan plan) {
        return new StoreModel(plan).run();
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    private boolean afterFirstThird() {
        return nowNanos - SECOND > (endNanos - SECOND) / 3;
    }

    private Result run() {
        sidecars.forEach(Sidecar::begin);
        at(SECOND + (endNanos - SECOND) / 3, () -> servers.subList(0, Math.max(1, servers.size() / 10))
                .forEach(each -> each.slow = true));
        at(SECOND + 2 * (endNanos - SECOND) / 3, () -> {
            servers.subList(plan.allCold ? 0 : servers.size() - 2, servers.size())
                    .forEach(Server::restart);
            if (plan.paused) {
                at(nowNanos + 2 * SECOND, () -> sidecars.get(0).pausedUntilNanos = nowNanos + 10 * SECOND);
            }
        });
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowNanos = event.at;
            event.action.run();
        }
        int bytes = new PeerReport(nowNanos, 1, sidecars.get(0).reportedStats)
                .toJson()
                .length();
        return new Result(
                requests,
                responses,
                duplicateResponses,
                inTime / (double) countedRequests,
                slowSends / (double) sidecars.size(),
                responseTimesMillis.getValueAtPercentile(99) / 1.0,
                avoidedMs(),
                coldUsed,
                crashedServers,
                bytes);
    }

    /** Time until the slow servers receive less than a quarter of their even share, averaged over half a second. */
    private long avoidedMs() {
        double evenShare = LOAD_FRACTION
                * WARM_REQUESTS_PER_SECOND
                * servers.stream().filter(each -> each.slow).count()
                * BUCKET_NANOS
                / 1e9;
        for (int i = 0; i + 5 <= slowSendsByBucket.length; i++) {
            if (Arrays.stream(slowSendsByBucket, i, i + 5).sum() < 5 * evenShare / 4) {
                return i * BUCKET_NANOS / MS;
            }
        }
        return slowSendsByBucket.length * BUCKET_NANOS / MS;
    }

    /** Has a fixed number of threads and an unbounded queue; cold after a restart; once overloaded it stays down. */
    private final class Server {
        private final String name;
        private final PriorityQueue<Long> threadFreeTimes = new PriorityQueue<>();
        private boolean slow;
        private ColdStart cold;
        private long startedAtNanos;
        private long arrivals;
        private boolean crashed;

        Server(String name) {
            this.name = name;
            for (int i = 0; i < SERVER_THREADS; i++) {
                threadFreeTimes.add(0L);
            }
        }

        private void restart() {
            startedAtNanos = nowNanos;
            cold = new ColdStart(nowNanos, RAMP_NANOS, COLD_FRACTION, WARM_REQUESTS_PER_SECOND, 4, 1_500 * MS);
            sidecars.forEach(each ->
                    each.policy.endpointListChanged(nowNanos, EndpointListKind.DELTA, List.of(each.entry(this))));
        }

        /** Adds a request that arrives now; returns when it finishes, or -1 if the server has crashed. */
        private long enqueue() {
            if (cold != null && !crashed && !cold.admit(nowNanos)) {
                crashed = true;
                crashedServers++;
            }
            if (crashed) {
                return -1;
            }
            arrivals += cold != null && nowNanos - startedAtNanos < 1_500 * MS ? 1 : 0;
            // Relative to the requests that crash it in its first 1.5 s.
            coldUsed = Math.max(coldUsed, arrivals / (4 * COLD_FRACTION * WARM_REQUESTS_PER_SECOND * 1.5));
            double warmth = Math.min(
                    1,
                    COLD_FRACTION
                            + (1 - COLD_FRACTION)
                                    * (startedAtNanos == 0 ? 1 : (nowNanos - startedAtNanos) / (double) RAMP_NANOS));
            long work = (long) ((slow ? SLOW_WORK_NANOS : WORK_NANOS) * (0.5 + random.nextDouble()) / warmth);
            long begins = Math.max(nowNanos, threadFreeTimes.poll());
            threadFreeTimes.add(begins + work);
            return begins + work;
        }
    }

    private static Settings settings(int replicas) {
        return new Settings(
                0,
                replicas,
                0,
                MS,
                DiscoveryMode.AUTOMATIC,
                WeightKind.SILENT,
                List.of(new RequestClass(
                        SLO_NANOS, 0, DEADLINE_NANOS, 1, 0, RetrySemantics.REPEATABLE, KeyScope.ALL, 0, false)),
                List.of(),
                new HostCapabilities(true, false, false, false, true, 3, 1_000 * MS, 100 * MS),
                new SafetyLimits(20 * MS, 10 * SECOND, 2 * SECOND, COLD_FRACTION, RAMP_NANOS, 4, 1_500 * MS),
                List.of(),
                OverheadCosts.NONE,
                false,
                1);
    }

    private final class Sidecar implements Actions {
        private final int number;
        private final LoadBalancingPolicy policy;
        private final LocalAttemptStats attemptStats = new LocalAttemptStats(2.5, SECOND, 1_024, 0);
        private final PeerOutlierDetector outlierDetector = new PeerOutlierDetector(REPORT_LIMITS);
        private final Map<Long, long[]> openRequests = new HashMap<>();
        private final Set<Long> finished = new HashSet<>();
        private List<ServerStats> reportedStats = List.of();
        private final FleetMembership members = new FleetMembership(30 * SECOND, 4 * SECOND);
        private final Leases leases;
        private long pausedUntilNanos;
        private long writtenAtNanos;
        private double requestsPerSecond;
        private final RequestRateEstimate requestRate = new RequestRateEstimate();
        private long lastId;

        Sidecar(int number, long seed) {
            this.number = number;
            this.policy = new LoadBalancingPolicy(settings(1), seed, this);
            this.leases = new Leases(SLOT_NANOS / MS, seed + 1);
        }

        /** Schedules an action of this sidecar, which is deferred while the sidecar is paused. */
        private void at(long time, Runnable action) {
            StoreModel.this.at(time, () -> {
                if (nowNanos < pausedUntilNanos) {
                    at(pausedUntilNanos, action);
                } else {
                    action.run();
                }
            });
        }

        private Upstream entry(Server server) {
            return new Upstream(servers.indexOf(server), 0, 0, 0, UpstreamState.READY, 1, server.startedAtNanos);
        }

        private void begin() {
            policy.start(nowNanos);
            policy.endpointListChanged(
                    nowNanos,
                    EndpointListKind.CACHED,
                    servers.stream().map(this::entry).toList());
            scheduleNextRequest();
            at(nowNanos + (long) (random.nextDouble() * SECOND), this::exchangeReports);
        }

        private void scheduleNextRequest() {
            double loadFactor = nowNanos - SECOND > (endNanos - SECOND) / 2 ? LOAD_INCREASE : 1;
            long gap = (long) (-Math.log(1 - random.nextDouble()) / requestsPerSidecar / loadFactor * 1e9);
            if (nowNanos + gap < endNanos) {
                StoreModel.this.at(nowNanos + gap, () -> {
                    scheduleNextRequest();
                    if (nowNanos < pausedUntilNanos) {
                        // The client gives up before the sidecar resumes.
                        return;
                    }
                    long id = ++lastId;
                    requests++;
                    countedRequests += afterFirstThird() ? 1 : 0;
                    openRequests.put(id, new long[] {nowNanos, 0});
                    policy.requestArrived(nowNanos, new Request(id, 0, 0, 0, DEADLINE_NANOS, 0, false, false));
                });
            }
        }

        private void respond(long id, boolean served) {
            long[] startAndAttempts = openRequests.get(id);
            if (!finished.add(id)) {
                duplicateResponses++;
                return;
            }
            responses++;
            if (afterFirstThird() && startAndAttempts[0] - SECOND > (endNanos - SECOND) / 3) {
                inTime += served && nowNanos - startAndAttempts[0] <= SLO_NANOS ? 1 : 0;
                if (served) {
                    responseTimesMillis.recordValue(Math.min(60_000, (nowNanos - startAndAttempts[0]) / MS));
                }
            }
        }

        @Override
        public void send(long request, long upstream, long timeout) {
            Server server = servers.get((int) upstream);
            long[] startAndAttempts = openRequests.get(request);
            int attempt = (int) startAndAttempts[1]++;
            long sentNanos = nowNanos;
            if (server.slow) {
                slowSends++;
                slowSendsByBucket[
                        (int) Math.min(
                                slowSendsByBucket.length - 1,
                                (nowNanos - SECOND - (endNanos - SECOND) / 3) / BUCKET_NANOS)]++;
            }
            long finishNanos = server.enqueue();
            long deadlineNanos = startAndAttempts[0] + DEADLINE_NANOS;
            Outcome outcome = finishNanos < 0
                    ? Outcome.CONNECT_FAILED
                    : finishNanos <= deadlineNanos ? Outcome.OK : Outcome.TIMEOUT;
            at(finishNanos < 0 ? nowNanos + MS : Math.min(finishNanos, deadlineNanos), () -> {
                boolean ended = finished.contains(request);
                if (outcome == Outcome.OK && !ended) {
                    respond(request, true);
                }
                attemptStats.attemptEnded(server.name, 0, outcome == Outcome.OK, nowNanos - sentNanos, nowNanos);
                policy.attemptEnded(
                        nowNanos,
                        request,
                        attempt,
                        upstream,
                        outcome,
                        nowNanos - sentNanos,
                        finished.contains(request),
                        new float[0]);
            });
        }

        /** One period: writes a report, reads some others, and passes the suspects to the decision module. */
        private void exchangeReports() {
            if (nowNanos < endNanos) {
                at(nowNanos + (long) ((0.9 + 0.2 * random.nextDouble()) * SECOND), this::exchangeReports);
            }
            reportedStats = attemptStats.recent(256, nowNanos);
            boolean storeUnavailable = store == StoreCondition.NONE
                    || afterFirstThird()
                            && (store == StoreCondition.AWAY || store == StoreCondition.HALF_SEE_IT && number % 2 == 0);
            if (storeUnavailable) {
                return;
            }
            writtenAtNanos = nowNanos;
            requestRate.recordTotal(lastId, nowNanos);
            requestsPerSecond = requestRate.perSecond();
            if (plan.leases) {
                requestLeases();
            }
            List<PeerOutlierDetector.ReceivedReport> received = new ArrayList<>();
            for (int i = 0; i < REPORTS_PER_EXCHANGE; i++) {
                Sidecar other = sidecars.get(random.nextInt(sidecars.size()));
                if (other != this && other.writtenAtNanos > 0) {
                    PeerReport report = new PeerReport(0, other.requestsPerSecond, other.reportedStats);
                    long ageMillis = (nowNanos - other.writtenAtNanos) / MS;
                    if (afterFirstThird() && store == StoreCondition.POISON) {
                        report = new PeerReport(
                                0,
                                1,
                                servers.stream()
                                        .map(each ->
                                                new ServerStats(each.name, 10, 10_000, random.nextBoolean() ? 10 : 0))
                                        .toList());
                    }
                    received.add(new PeerOutlierDetector.ReceivedReport(
                            "m" + other.number,
                            afterFirstThird() && store == StoreCondition.AN_HOUR_OLD ? 3_600_000 : ageMillis,
                            report));
                }
            }
            members.recordRates(
                    received.stream()
                            .map(each -> each.report().plausibleRate(SECOND))
                            .toList(),
                    requestsPerSecond);
            Set<String> ready = new HashSet<>();
            servers.forEach(each -> ready.add(each.name));
            Map<String, Double> suspects = outlierDetector.suspects(received, ready);
            at(
                    nowNanos + 2 * MS,
                    () -> suspects.forEach((uid, ratio) -> policy.peerMessageReceived(
                            nowNanos,
                            0,
                            ByteBuffer.allocate(12)
                                    .putLong(Long.parseLong(uid.substring(1)))
                                    .putFloat(ratio.floatValue())
                                    .array())));
        }

        /** Requests leases of the next slot; the reply takes 2 ms, or until the sidecar resumes. */
        private void requestLeases() {
            long activeMembers = sidecars.stream()
                    .filter(each -> each.writtenAtNanos > nowNanos - 20 * SECOND && each.writtenAtNanos > 0)
                    .count();
            boolean keysLost = afterFirstThird() && store == StoreCondition.LOSES_KEYS;
            members.recordCount(keysLost ? 1 : activeMembers, nowNanos);
            long clockErrorMillis =
                    afterFirstThird() && store == StoreCondition.CLOCK_JUMPS && nowNanos / (2 * SECOND) % 2 == 0
                            ? 3_600_000
                            : 0;
            long storeMillis = nowNanos / MS + clockErrorMillis;
            List<LeaseHolder.Budget> wanted = new ArrayList<>();
            for (Server each : servers) {
                if (each.startedAtNanos > 0 && nowNanos - each.startedAtNanos < RAMP_NANOS) {
                    wanted.add(new LeaseHolder.Budget(
                            "cold:" + each.name,
                            ColdStartBudgets.capacity(
                                    settings(1).safetyLimits(),
                                    LEASED_FRACTION * WARM_REQUESTS_PER_SECOND,
                                    nowNanos
                                            - each.startedAtNanos
                                            + leases.nanosUntilNextSlot(storeMillis)
                                            + SLOT_NANOS / 2,
                                    SLOT_NANOS)));
                }
            }
            if (!members.isSettled(nowNanos)) {
                return;
            }
            long sentNanos = nowNanos;
            for (Leases.LeaseRequest request : leases.requests(
                    wanted, members.size(nowNanos), members.trafficWeight(requestsPerSecond), storeMillis)) {
                String key = request.name() + request.slot();
                if (keysLost || afterFirstThird() && store == StoreCondition.LAGS && random.nextInt(10) == 0) {
                    counters.remove(key);
                }
                long counter = counters.merge(key, request.amount(), Long::sum);
                at(nowNanos + 2 * MS, () -> {
                    Leases.Grant grant = leases.grantFor(request, counter, storeMillis, sentNanos, nowNanos);
                    if (grant != null) {
                        at(grant.fromNanos(), () -> {
                            if (grant.untilNanos() > nowNanos) {
                                policy.peerMessageReceived(
                                        nowNanos,
                                        LoadBalancingPolicy.COLD_START_LEASES,
                                        ByteBuffer.allocate(16)
                                                .putLong(Long.parseLong(
                                                        request.name().substring(6)))
                                                .putFloat(grant.count())
                                                .putInt((int) ((grant.untilNanos() - nowNanos) / MS))
                                                .array());
                            }
                        });
                    }
                });
            }
        }

        @Override
        public void refuse(long request, long wait) {
            respond(request, false);
        }

        @Override
        public void fail(long request) {
            respond(request, false);
        }

        @Override
        public void setTimer(long token, long at) {
            if (nowNanos < endNanos + 2 * SECOND) {
                at(Math.max(nowNanos + 1, at), () -> policy.timerFired(nowNanos, token));
            }
        }

        @Override
        public void cancelAttempt(long request, int attempt) {}

        @Override
        public void probe(long upstream) {}

        @Override
        public void closeIdleConnections(long upstream) {}

        @Override
        public void sendToPeer(int peer, byte[] message) {}

        @Override
        public void log(String line) {}

        @Override
        public void setSubscription(boolean on) {}

        @Override
        public void fetchEndpointList() {}
    }
}
