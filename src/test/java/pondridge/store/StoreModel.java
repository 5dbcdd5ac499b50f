package pondridge.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
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
import pondridge.Balancer.Allowed;
import pondridge.Balancer.Charges;
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
import pondridge.Balancer.Upstream;
import pondridge.Balancer.Weights;
import pondridge.Rules;
import pondridge.standin.ColdStart;

/**
 * Sidecars with the real decision module and the real deciding classes of the store, modelled servers and a
 * modelled store, in virtual time: the same seed plays the same run. A tenth of the servers turn slow after a
 * third of it, two start cold at two thirds.
 */
public final class StoreModel {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final long AIM = 200 * MS;
    private static final long DEADLINE = 500 * MS;
    private static final long WORK = 10 * MS;
    private static final long SLOW = 400 * MS;
    private static final int THREADS = 8;
    private static final int READ = 16;
    private static final double LOAD = 0.5;
    private static final Hearsay.Limits HEARSAY = new Hearsay.Limits(4_000, 6, 2, 0.25);

    /** What the store does in the last two thirds of a run. */
    public enum Store { NONE, GOOD, AWAY, AN_HOUR_OLD, POISON, HALF_SEE_IT }

    /** What came of a run. */
    public record Result(long asked, long answered, long twice, double inTime, double slowSends, double p99Ms,
            long pushedOver, long reportBytes) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "asked=%d in_time=%.4f slow_sends_per_sidecar=%.2f p99_ms=%.0f "
                    + "pushed_over=%d report_bytes=%d", asked, inTime, slowSends, p99Ms, pushedOver,
                            reportBytes);
        }
    }

    private record Event(long at, long serial, Runnable what) { }

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at
            ? Long.compare(a.at, b.at) : Long.compare(a.serial, b.serial));
    private final Random random;
    private final Store store;
    private final long end;
    private final List<Server> servers = new ArrayList<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private final Histogram took = new Histogram(60_000, 3);
    private final double perSidecar;
    private long now = SECOND;
    private long serial;
    private long asked;
    private long answered;
    private long twice;
    private long inTime;
    private long counted;
    private long slowSends;
    private long pushedOver;

    private StoreModel(int count, int serverCount, Store store, long seconds, long seed) {
        this.random = new Random(seed);
        this.store = store;
        this.end = now + seconds * SECOND;
        this.perSidecar = LOAD * serverCount * THREADS * 1e9 / WORK / count;
        for (int i = 0; i < serverCount; i++) {
            servers.add(new Server("s" + i));
        }
        for (int i = 0; i < count; i++) {
            sidecars.add(new Sidecar(i, random.nextLong()));
        }
    }

    /** Plays one run of so many seconds. */
    public static Result play(int sidecars, int servers, Store store, long seconds, long seed) {
        return new StoreModel(sidecars, servers, store, seconds, seed).run();
    }

    private void at(long time, Runnable what) {
        events.add(new Event(time, serial++, what));
    }

    private boolean later() {
        return now - SECOND > (end - SECOND) / 3;
    }

    private Result run() {
        sidecars.forEach(Sidecar::begin);
        at(SECOND + (end - SECOND) / 3, () -> servers.subList(0, Math.max(1, servers.size() / 10))
                .forEach(each -> each.slow = true));
        at(SECOND + 2 * (end - SECOND) / 3, () -> servers.subList(servers.size() - 2, servers.size())
                .forEach(Server::restart));
        while (!events.isEmpty()) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        int bytes = new Report(now, sidecars.get(0).last).write().length();
        return new Result(asked, answered, twice, inTime / (double) counted,
                slowSends / (double) sidecars.size(), took.getValueAtPercentile(99) / 1.0, pushedOver, bytes);
    }

    /** Threads and a queue without end; cold after a restart, and down for good once it was pushed over. */
    private final class Server {
        private final String name;
        private final PriorityQueue<Long> free = new PriorityQueue<>();
        private boolean slow;
        private ColdStart cold;
        private long startedAt;
        private boolean down;

        Server(String name) {
            this.name = name;
            for (int i = 0; i < THREADS; i++) {
                free.add(0L);
            }
        }

        private void restart() {
            startedAt = now;
            cold = new ColdStart(now, 7_400 * MS, 0.39, THREADS * 1e9 / WORK, 4, 1_500 * MS);
            sidecars.forEach(each -> each.rules.listChanged(now, ListKind.DELTA, List.of(each.entry(this))));
        }

        /** When a request that comes now is done; -1 if the server is down. */
        private long take() {
            if (cold != null && !down && !cold.admit(now)) {
                down = true;
                pushedOver++;
            }
            if (down) {
                return -1;
            }
            long work = (long) ((slow ? SLOW : WORK) * (0.5 + random.nextDouble()));
            long begins = Math.max(now, free.poll());
            free.add(begins + work);
            return begins + work;
        }
    }

    private static Settings settings(int replicas) {
        return new Settings(0, replicas, 0, MS, Discovery.AUTOMATIC, Weights.SILENT, List.of(
                new RequestClass(AIM, 0, DEADLINE, 1, 0, Semantics.REPEATABLE, Scope.ALL, 0, false)),
                        List.of(),
                new Allowed(true, false, false, false, true, 3, 1_000 * MS, 100 * MS),
                new Limits(20 * MS, 10 * SECOND, 2 * SECOND, 0.39, 7_400 * MS, 4, 1_500 * MS), List.of(),
                Charges.NONE, false, 1);
    }

    private final class Sidecar implements Actions {
        private final int number;
        private final Rules rules;
        private final OwnSums sums = new OwnSums(2.5, SECOND, 1_024, 0);
        private final Hearsay hearsay = new Hearsay(HEARSAY);
        private final Map<Long, long[]> open = new HashMap<>();
        private final Set<Long> over = new HashSet<>();
        private List<ServerSum> last = List.of();
        private long writtenAt;
        private long lastId;

        Sidecar(int number, long seed) {
            this.number = number;
            this.rules = new Rules(settings(1), seed, this);
        }

        private Upstream entry(Server server) {
            return new Upstream(servers.indexOf(server), 0, 0, 0, State.READY, 1, server.startedAt);
        }

        private void begin() {
            rules.start(now);
            rules.listChanged(now, ListKind.CACHED, servers.stream().map(this::entry).toList());
            next();
            at(now + (long) (random.nextDouble() * SECOND), this::share);
        }

        private void next() {
            long gap = (long) (-Math.log(1 - random.nextDouble()) / perSidecar * 1e9);
            if (now + gap < end) {
                at(now + gap, () -> {
                    next();
                    long id = ++lastId;
                    asked++;
                    counted += later() ? 1 : 0;
                    open.put(id, new long[] {now, 0});
                    rules.request(now, new Request(id, 0, 0, 0, DEADLINE, 0, false, false));
                });
            }
        }

        private void answer(long id, boolean served) {
            long[] its = open.get(id);
            if (!over.add(id)) {
                twice++;
                return;
            }
            answered++;
            if (later() && its[0] - SECOND > (end - SECOND) / 3) {
                inTime += served && now - its[0] <= AIM ? 1 : 0;
                if (served) {
                    took.recordValue(Math.min(60_000, (now - its[0]) / MS));
                }
            }
        }

        @Override
        public void send(long request, long upstream, long timeout) {
            Server server = servers.get((int) upstream);
            long[] its = open.get(request);
            int attempt = (int) its[1]++;
            long sent = now;
            slowSends += server.slow ? 1 : 0;
            long done = server.take();
            long limit = its[0] + DEADLINE;
            Outcome outcome = done < 0 ? Outcome.CONNECT_FAILED : done <= limit ? Outcome.OK
                    : Outcome.TIMEOUT;
            at(done < 0 ? now + MS : Math.min(done, limit), () -> {
                boolean ended = over.contains(request);
                if (outcome == Outcome.OK && !ended) {
                    answer(request, true);
                }
                sums.ended(server.name, 0, outcome == Outcome.OK, now - sent, now);
                rules.outcome(now, request, attempt, upstream, outcome, now - sent, over.contains(request),
                        new float[0]);
            });
        }

        /** A period: writes, draws some others, reads theirs, and tells the module. */
        private void share() {
            if (now < end) {
                at(now + (long) ((0.9 + 0.2 * random.nextDouble()) * SECOND), this::share);
            }
            last = sums.lately(256, now);
            boolean away = store == Store.NONE || later() && (store == Store.AWAY
                    || store == Store.HALF_SEE_IT && number % 2 == 0);
            if (away) {
                return;
            }
            writtenAt = now;
            List<Hearsay.Heard> heard = new ArrayList<>();
            for (int i = 0; i < READ; i++) {
                Sidecar other = sidecars.get(random.nextInt(sidecars.size()));
                if (other != this && other.writtenAt > 0) {
                    Report report = new Report(0, other.last);
                    long age = (now - other.writtenAt) / MS;
                    if (later() && store == Store.POISON) {
                        report = new Report(0, servers.stream().map(each ->
                                new ServerSum(each.name, 10, 10_000, random.nextBoolean() ? 10
                                        : 0)).toList());
                    }
                    heard.add(new Hearsay.Heard("m" + other.number,
                            later() && store == Store.AN_HOUR_OLD ? 3_600_000 : age, report));
                }
            }
            Set<String> ready = new HashSet<>();
            servers.forEach(each -> ready.add(each.name));
            Map<String, Double> doubted = hearsay.doubted(heard, ready);
            at(now + 2 * MS, () -> doubted.forEach((uid, ratio) -> rules.peerMessage(now, 0,
                    ByteBuffer.allocate(12).putLong(Long.parseLong(uid.substring(1)))
                            .putFloat(ratio.floatValue()).array())));
        }

        @Override
        public void refuse(long request, long wait) {
            answer(request, false);
        }

        @Override
        public void fail(long request) {
            answer(request, false);
        }

        @Override
        public void timer(long token, long at) {
            if (now < end + 2 * SECOND) {
                StoreModel.this.at(Math.max(now + 1, at), () -> rules.timer(now, token));
            }
        }

        @Override
        public void cancel(long request, int attempt) { }

        @Override
        public void probe(long upstream) { }

        @Override
        public void closeIdle(long upstream) { }

        @Override
        public void tell(int peer, byte[] message) { }

        @Override
        public void log(String line) { }

        @Override
        public void subscribe(boolean on) { }

        @Override
        public void fetchList() { }
    }
}
