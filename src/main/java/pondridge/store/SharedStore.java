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
 * Shares what this sidecar sees of servers, and hears what others see: every period it writes its report,
 * draws some other members and reads theirs; and it takes its parts of what all have together. Nothing waits
 * for it; when the store is away, slow or talks nonsense, nobody is doubted on hearsay, no part is taken, and
 * all else is as without it. On the event loop only.
 */
public final class SharedStore {
    /** How long a set of members stands; a member is in the set of the time in which it last wrote. */
    private static final long SLOT_MS = 10_000;
    /** So long the most members that were seen count: as long as one of them may stand in the store. */
    private static final long REMEMBERED = 30_000_000_000L;
    /** Replies before those to asks for parts. */
    private static final int REPORTING = 8;

    /** A part that was asked for, and by whom. */
    private record Asked(Leases.Ask ask, Budgets by) {}

    private final EventLoop loop;
    private final StoreSettings settings;
    private final OwnSums own;
    private final Hearsay hearsay;
    private final StoreCircuit circuit;
    private final StoreLink link;
    private final Members fleet;
    private final Leases leases;
    private final List<Budgets> budgets = new ArrayList<>();
    private final Demand demand = new Demand();
    private final LongSupplier asked;
    private final Supplier<Set<String>> listed;
    private final Consumer<Map<String, Double>> doubts;
    private final Random random;
    private final Map<String, Long> counts = new LinkedHashMap<>();
    private Future<?> timer;
    private boolean asking;
    private long storeMs;
    private long storeAt;

    /**
     * Begins at once.
     *
     * @param asked how many requests clients have asked in all
     * @param listed the names of servers that are ready, asked each time
     * @param doubts told after each exchange which servers others find slow, and how slow; empty when the
     *     store can't be heard
     */
    public SharedStore(
            EventLoop loop,
            StoreSettings settings,
            LongSupplier asked,
            Supplier<Set<String>> listed,
            Consumer<Map<String, Double>> doubts,
            long seed) {
        long now = System.nanoTime();
        this.loop = loop;
        this.settings = settings;
        this.asked = asked;
        this.listed = listed;
        this.doubts = doubts;
        this.random = new Random(seed);
        this.own = new OwnSums(settings.slow(), settings.period(), 4 * settings.servers(), now);
        this.hearsay = new Hearsay(settings.hearsay());
        this.circuit = new StoreCircuit(settings.circuit(), random.nextLong());
        this.link = new StoreLink(loop, settings);
        this.fleet = new Members(REMEMBERED, settings.shares().settle());
        this.leases = new Leases(settings.shares().slot() / 1_000_000, random.nextLong());
        // Drawn within the period: sidecars that start together do not write together.
        this.timer = loop.schedule(this::tick, (long) (random.nextDouble() * settings.period()), TimeUnit.NANOSECONDS);
    }

    /** From now on parts of these budgets are asked for, too. */
    public void share(Budgets with) {
        budgets.add(with);
    }

    /** An attempt that went out has ended. */
    public void ended(String uid, int requestClass, boolean good, long took) {
        own.ended(uid, requestClass, good, took, System.nanoTime());
    }

    /** Where it stands: counts by name. */
    public Map<String, Long> counts() {
        Map<String, Long> all = new LinkedHashMap<>(counts);
        all.put("members", fleet.most(System.nanoTime()));
        all.put("open", circuit.open() ? 1L : 0);
        all.put("not_heard", hearsay.dropped());
        return all;
    }

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    private void tick() {
        timer = loop.schedule(
                this::tick, (long) (settings.period() * (0.9 + 0.2 * random.nextDouble())), TimeUnit.NANOSECONDS);
        long now = System.nanoTime();
        if (asking || !circuit.may(now)) {
            return;
        }
        asking = true;
        demand.asked(asked.getAsLong(), now);
        count("exchanges");
        if (storeMs == 0) {
            link.ask(List.of(List.of("TIME")), replies -> firstTold(replies, List.of(), now));
            return;
        }
        List<Asked> asks = asks(now);
        List<List<String>> commands = new ArrayList<>(first(now));
        for (Asked each : asks) {
            if (each.ask.want() == 0) {
                continue;
            }
            String counter =
                    key("part", each.ask.name() + ':' + settings.shares().slot() / 1_000_000 + ':' + each.ask.slot());
            commands.add(List.of("INCRBY", counter, Long.toString(each.ask.want())));
            commands.add(List.of(
                    "PEXPIRE", counter, Long.toString(4 * settings.shares().slot() / 1_000_000)));
        }
        link.ask(commands, replies -> firstTold(replies, asks, now));
    }

    private List<Asked> asks(long now) {
        List<Asked> asks = new ArrayList<>();
        if (fleet.settled(now)) {
            double weight = fleet.weight(demand.perSecond());
            for (Budgets each : budgets) {
                leases.asks(
                                each.wanted(settings.shares().slot(), leases.ahead(storeNow(now))),
                                fleet.most(now),
                                weight,
                                storeNow(now))
                        .forEach(ask -> asks.add(new Asked(ask, each)));
            }
        }
        return asks;
    }

    /**
     * Takes what the counters gave; a part holds only when its time has come, and if that is not over then.
     */
    private void take(List<Object> replies, List<Asked> asks, long askedAt, long now) {
        int at = REPORTING;
        for (Asked its : asks) {
            Object reply = 0L;
            if (its.ask.want() > 0) {
                reply = replies.get(at);
                at += 2;
            }
            Leases.Grant grant =
                    reply instanceof Long counter ? leases.told(its.ask, counter, storeMs, askedAt, now) : null;
            if (grant == null) {
                count("parts_not_told");
                continue;
            }
            count(grant.count() > 0 ? "parts" : "parts_none_left");
            loop.schedule(
                    () -> {
                        long valid = grant.until() - System.nanoTime();
                        if (valid > 0) {
                            its.by.granted(grant.name(), grant.count(), valid);
                        }
                    },
                    Math.max(0, grant.from() - now),
                    TimeUnit.NANOSECONDS);
        }
    }

    private String key(String kind, String name) {
        return settings.prefix() + ':' + Report.VERSION + ':' + kind + ':' + name;
    }

    /** The store's clock as it should be now; only its own times are ever compared. */
    private long storeNow(long now) {
        return storeMs + (now - storeAt) / 1_000_000;
    }

    private List<List<String>> first(long now) {
        long at = storeNow(now);
        String slot = key("members", Long.toString(at / SLOT_MS));
        String before = key("members", Long.toString(at / SLOT_MS - 1));
        String read = Integer.toString(settings.read());
        return List.of(
                List.of("TIME"),
                List.of(
                        "SET",
                        key("report", settings.member()),
                        new Report(at, demand.perSecond(), own.lately(settings.servers(), now)).write(),
                        "PX",
                        Long.toString(Math.max(1, settings.hearsay().oldest()))),
                List.of("SADD", slot, settings.member()),
                List.of("PEXPIRE", slot, Long.toString(3 * SLOT_MS)),
                List.of("SCARD", slot),
                List.of("SCARD", before),
                List.of("SRANDMEMBER", slot, read),
                List.of("SRANDMEMBER", before, read));
    }

    private void firstTold(List<Object> replies, List<Asked> asks, long began) {
        long now = System.nanoTime();
        Long time = replies == null ? null : time(replies.get(0));
        if (time == null || replies.stream().anyMatch(StoreLink.StoreError.class::isInstance)) {
            failed(now);
            return;
        }
        boolean known = storeMs != 0;
        storeMs = time;
        storeAt = now;
        if (!known) {
            over(now - began, now);
            return;
        }
        if (replies.get(4) instanceof Long these && replies.get(5) instanceof Long those) {
            fleet.seen(Math.max(these, those), now);
        }
        take(replies, asks, began, now);
        Set<String> drawn = new HashSet<>();
        for (Object part : List.of(replies.get(6), replies.get(7))) {
            if (part instanceof List<?> names) {
                names.forEach(each -> drawn.add(String.valueOf(each)));
            }
        }
        drawn.remove(settings.member());
        List<String> chosen = drawn.stream().limit(settings.read()).toList();
        if (chosen.isEmpty()) {
            over(now - began, now);
            doubts.accept(Map.of());
            return;
        }
        List<String> command = new ArrayList<>(List.of("MGET"));
        chosen.forEach(each -> command.add(key("report", each)));
        link.ask(List.of(command), told -> secondTold(told, chosen, now));
    }

    private static Long time(Object reply) {
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

    private void secondTold(List<Object> replies, List<String> chosen, long began) {
        long now = System.nanoTime();
        if (replies == null || !(replies.get(0) instanceof List<?> texts) || texts.size() != chosen.size()) {
            failed(now);
            return;
        }
        List<Hearsay.Heard> heard = new ArrayList<>();
        for (int i = 0; i < chosen.size(); i++) {
            if (texts.get(i) instanceof String text) {
                Report report = Report.read(text, settings.servers());
                if (report == null) {
                    count("unreadable");
                } else {
                    heard.add(new Hearsay.Heard(chosen.get(i), storeNow(now) - report.at(), report));
                }
            }
        }
        over(now - began, now);
        fleet.rates(
                heard.stream()
                        .filter(each ->
                                Math.abs(each.ageMs()) <= settings.hearsay().oldest())
                        .map(each -> each.report().soundRate(settings.period()))
                        .toList(),
                demand.perSecond());
        doubts.accept(hearsay.doubted(heard, listed.get()));
    }

    private void over(long took, long now) {
        asking = false;
        circuit.answered(took, now);
    }

    private void failed(long now) {
        asking = false;
        count("failures");
        circuit.failed(now);
        storeMs = 0;
        // What said an error may be a replica, or not ready: the next try may reach another.
        link.reset();
        doubts.accept(Map.of());
    }

    /** Ends it; the report ends by itself. */
    public void close() {
        timer.cancel(false);
        link.close();
    }
}
