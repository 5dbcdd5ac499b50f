package pondridge.store;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Exchanges server statistics with other sidecars through the store. Every period it writes its own report,
 * reads the reports of a random sample of members, and requests leases of shared budgets. No request waits for
 * it. While the store is unreachable, slow or sends invalid data, no server is suspected because of peer
 * reports, no lease is taken, and everything else works as without a store. Confined to the event loop.
 */
public final class SharedStore {
    /** Members are counted in one set per slot of this length; each writes itself into the current one. */
    private static final long MEMBERS_SLOT_MILLIS = 10_000;
    /** How long a member count is kept: as long as a member may remain in the store. */
    private static final long MEMBER_COUNT_RETENTION_NANOS = 30_000_000_000L;
    /** Number of replies that precede the replies to lease requests. */
    private static final int REPLIES_BEFORE_LEASES = 8;

    /** A lease request and who wants the lease. */
    private record PendingLease(Leases.LeaseRequest request, LeaseHolder holder) {}

    private final EventLoop loop;
    private final StoreSettings settings;
    private final LocalAttemptStats attemptStats;
    private final PeerOutlierDetector outlierDetector;
    private final StoreCircuitBreaker circuitBreaker;
    private final StoreConnection connection;
    private final FleetMembership members;
    private final Leases leases;
    private final List<LeaseHolder> leaseHolders = new ArrayList<>();
    private final RequestRateEstimate requestRate = new RequestRateEstimate();
    private final LongSupplier requestCount;
    private final Supplier<Set<String>> readyServers;
    private final Consumer<Map<String, Double>> suspectsListener;
    private final Random random;
    private final Map<String, Long> counters = new LinkedHashMap<>();
    private Future<?> timer;
    private boolean exchangeInProgress;
    /** The store's clock at its last reply; 0 while unknown. */
    private long storeMillis;

    private long storeReadNanos;

    /**
     * Schedules the first exchange.
     *
     * @param requestCount how many requests clients have sent in total
     * @param readyServers supplies the names of servers that are ready, for each exchange
     * @param suspectsListener receives after each exchange the servers that peers find slow, with their
     *     slowdown; an empty map while the store is unavailable
     */
    public SharedStore(
            EventLoop loop,
            StoreSettings settings,
            LongSupplier requestCount,
            Supplier<Set<String>> readyServers,
            Consumer<Map<String, Double>> suspectsListener,
            long seed) {
        long nowNanos = System.nanoTime();
        this.loop = loop;
        this.settings = settings;
        this.requestCount = requestCount;
        this.readyServers = readyServers;
        this.suspectsListener = suspectsListener;
        this.random = new Random(seed);
        this.attemptStats = new LocalAttemptStats(
                settings.badSlowdown(), settings.periodNanos(), 4 * settings.maxServers(), nowNanos);
        this.outlierDetector = new PeerOutlierDetector(settings.reportLimits());
        this.circuitBreaker = new StoreCircuitBreaker(settings.circuitLimits(), random.nextLong());
        this.connection = new StoreConnection(loop, settings);
        this.members = new FleetMembership(
                MEMBER_COUNT_RETENTION_NANOS, settings.leases().settleNanos());
        this.leases = new Leases(settings.leases().slotNanos() / 1_000_000, random.nextLong());
        // A random delay within the period, so that sidecars that start together do not write together.
        this.timer =
                loop.schedule(this::tick, (long) (random.nextDouble() * settings.periodNanos()), TimeUnit.NANOSECONDS);
    }

    /** From now on leases are also requested for the budgets of this holder. */
    public void addLeaseHolder(LeaseHolder leaseHolder) {
        leaseHolders.add(leaseHolder);
    }

    /** Records the end of an attempt that was sent. */
    public void attemptEnded(String uid, int requestClass, boolean successful, long tookNanos) {
        attemptStats.attemptEnded(uid, requestClass, successful, tookNanos, System.nanoTime());
    }

    /** Counters and gauges by name. */
    public Map<String, Long> counts() {
        Map<String, Long> all = new LinkedHashMap<>(counters);
        all.put("members", members.size(System.nanoTime()));
        all.put("open", circuitBreaker.isOpen() ? 1L : 0);
        all.put("not_heard", outlierDetector.droppedReports());
        return all;
    }

    private void count(String counter) {
        counters.merge(counter, 1L, Long::sum);
    }

    private void tick() {
        timer = loop.schedule(
                this::tick, (long) (settings.periodNanos() * (0.9 + 0.2 * random.nextDouble())), TimeUnit.NANOSECONDS);
        long nowNanos = System.nanoTime();
        if (exchangeInProgress || !circuitBreaker.allowsExchange(nowNanos)) {
            return;
        }
        exchangeInProgress = true;
        requestRate.recordTotal(requestCount.getAsLong(), nowNanos);
        count("exchanges");
        if (storeMillis == 0) {
            connection.send(List.of(List.of("TIME")), replies -> reportWritten(replies, List.of(), nowNanos));
            return;
        }
        List<PendingLease> pendingLeases = leaseRequests(nowNanos);
        List<List<String>> commands = new ArrayList<>(reportCommands(nowNanos));
        for (PendingLease each : pendingLeases) {
            if (each.request.amount() == 0) {
                continue;
            }
            String counter = key(
                    "part",
                    each.request.name() + ':' + settings.leases().slotNanos() / 1_000_000 + ':' + each.request.slot());
            commands.add(List.of("INCRBY", counter, Long.toString(each.request.amount())));
            commands.add(List.of(
                    "PEXPIRE", counter, Long.toString(4 * settings.leases().slotNanos() / 1_000_000)));
        }
        connection.send(commands, replies -> reportWritten(replies, pendingLeases, nowNanos));
    }

    private List<PendingLease> leaseRequests(long nowNanos) {
        List<PendingLease> pendingLeases = new ArrayList<>();
        if (members.isSettled(nowNanos)) {
            double weight = members.trafficWeight(requestRate.perSecond());
            for (LeaseHolder each : leaseHolders) {
                leases.requests(
                                each.wantedBudgets(
                                        settings.leases().slotNanos(),
                                        leases.nanosUntilNextSlot(storeMillisAt(nowNanos))),
                                members.size(nowNanos),
                                weight,
                                storeMillisAt(nowNanos))
                        .forEach(request -> pendingLeases.add(new PendingLease(request, each)));
            }
        }
        return pendingLeases;
    }

    /**
     * Takes what the counters granted. A lease is passed on when its slot begins, unless it has expired by then.
     */
    private void takeLeases(List<Object> replies, List<PendingLease> pendingLeases, long sentNanos, long nowNanos) {
        int replyIndex = REPLIES_BEFORE_LEASES;
        for (PendingLease pending : pendingLeases) {
            Object reply = 0L;
            if (pending.request.amount() > 0) {
                reply = replies.get(replyIndex);
                // The request and the expiry of its counter have one reply each.
                replyIndex += 2;
            }
            Leases.Grant grant = reply instanceof Long counter
                    ? leases.grantFor(pending.request, counter, storeMillis, sentNanos, nowNanos)
                    : null;
            if (grant == null) {
                count("parts_not_told");
                continue;
            }
            count(grant.count() > 0 ? "parts" : "parts_none_left");
            loop.schedule(
                    () -> {
                        long validNanos = grant.untilNanos() - System.nanoTime();
                        if (validNanos > 0) {
                            pending.holder.leaseGranted(grant.name(), grant.count(), validNanos);
                        }
                    },
                    Math.max(0, grant.fromNanos() - nowNanos),
                    TimeUnit.NANOSECONDS);
        }
    }

    private String key(String kind, String name) {
        return settings.keyPrefix() + ':' + PeerReport.VERSION + ':' + kind + ':' + name;
    }

    /** The estimated time of the store's clock. It is compared only with other times of that clock. */
    private long storeMillisAt(long nowNanos) {
        return storeMillis + (nowNanos - storeReadNanos) / 1_000_000;
    }

    private List<List<String>> reportCommands(long nowNanos) {
        long writtenAtMillis = storeMillisAt(nowNanos);
        String currentSlot = key("members", Long.toString(writtenAtMillis / MEMBERS_SLOT_MILLIS));
        String previousSlot = key("members", Long.toString(writtenAtMillis / MEMBERS_SLOT_MILLIS - 1));
        String sampleSize = Integer.toString(settings.reportsPerExchange());
        return List.of(
                List.of("TIME"),
                List.of(
                        "SET",
                        key("report", settings.member()),
                        new PeerReport(
                                        writtenAtMillis,
                                        requestRate.perSecond(),
                                        attemptStats.recent(settings.maxServers(), nowNanos))
                                .toJson(),
                        "PX",
                        Long.toString(Math.max(1, settings.reportLimits().maxAgeMillis()))),
                List.of("SADD", currentSlot, settings.member()),
                List.of("PEXPIRE", currentSlot, Long.toString(3 * MEMBERS_SLOT_MILLIS)),
                List.of("SCARD", currentSlot),
                List.of("SCARD", previousSlot),
                List.of("SRANDMEMBER", currentSlot, sampleSize),
                List.of("SRANDMEMBER", previousSlot, sampleSize));
    }

    private void reportWritten(List<Object> replies, List<PendingLease> pendingLeases, long sentNanos) {
        long nowNanos = System.nanoTime();
        Long time = replies == null ? null : timeMillis(replies.get(0));
        if (time == null || replies.stream().anyMatch(StoreConnection.StoreError.class::isInstance)) {
            exchangeFailed(nowNanos);
            return;
        }
        boolean clockKnown = storeMillis != 0;
        storeMillis = time;
        storeReadNanos = nowNanos;
        if (!clockKnown) {
            exchangeCompleted(nowNanos - sentNanos, nowNanos);
            return;
        }
        if (replies.get(4) instanceof Long current && replies.get(5) instanceof Long previous) {
            members.recordCount(Math.max(current, previous), nowNanos);
        }
        takeLeases(replies, pendingLeases, sentNanos, nowNanos);
        Set<String> sampled = new HashSet<>();
        for (Object sample : List.of(replies.get(6), replies.get(7))) {
            if (sample instanceof List<?> names) {
                names.forEach(each -> sampled.add(String.valueOf(each)));
            }
        }
        sampled.remove(settings.member());
        List<String> chosen =
                sampled.stream().limit(settings.reportsPerExchange()).toList();
        if (chosen.isEmpty()) {
            exchangeCompleted(nowNanos - sentNanos, nowNanos);
            suspectsListener.accept(Map.of());
            return;
        }
        List<String> command = new ArrayList<>(List.of("MGET"));
        chosen.forEach(each -> command.add(key("report", each)));
        connection.send(List.of(command), reports -> reportsRead(reports, chosen, nowNanos));
    }

    private static Long timeMillis(Object reply) {
        try {
            return reply instanceof List<?> parts && parts.size() == 2
                    ? Math.addExact(
                            Math.multiplyExact(Long.parseLong(String.valueOf(parts.get(0))), 1_000L),
                            Long.parseLong(String.valueOf(parts.get(1))) / 1_000)
                    : null;
        } catch (NumberFormatException | ArithmeticException e) {
            return null;
        }
    }

    private void reportsRead(List<Object> replies, List<String> chosen, long sentNanos) {
        long nowNanos = System.nanoTime();
        if (replies == null || !(replies.get(0) instanceof List<?> texts) || texts.size() != chosen.size()) {
            exchangeFailed(nowNanos);
            return;
        }
        List<PeerOutlierDetector.ReceivedReport> received = new ArrayList<>();
        for (int i = 0; i < chosen.size(); i++) {
            if (texts.get(i) instanceof String text) {
                PeerReport report = PeerReport.parse(text, settings.maxServers());
                if (report == null) {
                    count("unreadable");
                } else {
                    received.add(new PeerOutlierDetector.ReceivedReport(
                            chosen.get(i), storeMillisAt(nowNanos) - report.writtenAtMillis(), report));
                }
            }
        }
        exchangeCompleted(nowNanos - sentNanos, nowNanos);
        members.recordRates(
                received.stream()
                        .filter(each -> Math.abs(each.ageMillis())
                                <= settings.reportLimits().maxAgeMillis())
                        .map(each -> each.report().plausibleRate(settings.periodNanos()))
                        .toList(),
                requestRate.perSecond());
        suspectsListener.accept(outlierDetector.suspects(received, readyServers.get()));
    }

    private void exchangeCompleted(long tookNanos, long nowNanos) {
        exchangeInProgress = false;
        circuitBreaker.recordCompletion(tookNanos, nowNanos);
    }

    private void exchangeFailed(long nowNanos) {
        exchangeInProgress = false;
        count("failures");
        circuitBreaker.recordFailure(nowNanos);
        storeMillis = 0;
        // An error may come from a replica or from a server that is not ready; a new connection may reach another.
        connection.reset();
        suspectsListener.accept(Map.of());
    }

    /** Stops the exchanges; the report in the store expires by itself. */
    public void close() {
        timer.cancel(false);
        connection.close();
    }
}
