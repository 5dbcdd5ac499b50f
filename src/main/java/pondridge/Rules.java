package pondridge;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Every decision of one sidecar. Interface, settings, events and actions are in {@code Balancer.java}.
 *
 * <p>The ordinary path is {@link Pattern#pick}: a randomly drawn fixed order over all ready servers, the less
 * busy of the pointed entry and the next by this sidecar's own in-flight counts. All else either narrows who
 * may take a request now (gates in {@link Roster}, {@link Health}, {@link Admission}) or keeps the
 * books ({@link Ledger}). Each departure from that path says beside it which danger it meets.
 */
public final class Rules implements Balancer {
    private final Settings settings;
    private final Actions actions;
    private final Random random;
    /** Mixes its seed: a plain one's first draws for seeds that are numbered through all but agree. */
    private final SplittableRandom phases;

    private final Pattern pattern = new Pattern();
    private final Ledger ledger = new Ledger();
    private final Roster roster;
    private final Health health;
    private final Admission admission;
    private final Reports reports;
    private final Alarms alarms;

    /** One instance a sidecar: the seed is its only source of chance. */
    public Rules(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.phases = new SplittableRandom(seed);
        this.alarms = new Alarms(actions);
        this.roster = new Roster();
        this.health = new Health();
        this.admission = new Admission();
        this.reports = new Reports();
    }

    @Override
    public void start(long now) {
        roster.follow(now);
        alarms.flush();
    }

    @Override
    public void listChanged(long now, ListKind kind, List<Upstream> entries) {
        roster.compare(now);
        roster.listChanged(now, kind, entries);
        admission.drain(now);
        alarms.flush();
    }

    @Override
    public void request(long now, Request request) {
        if (request.requestClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("request of unknown class " + request.requestClass());
        }
        Call call = ledger.open(now, request);
        admission.admit(now, call);
        alarms.flush();
    }

    @Override
    public void firstByte(long now, long request, int attempt, long upstream, long elapsed) {
        Call call = ledger.calls.get(request);
        if (call != null && attempt < call.attempts.size()) {
            call.streaming = true;
        }
    }

    @Override
    public void outcome(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsed,
            boolean ended,
            float[] load) {
        admission.level.told(now, load);
        ledger.outcome(now, request, attempt, outcome, ended);
        admission.drain(now);
        alarms.flush();
    }

    @Override
    public void probeResult(long now, long upstream, Outcome outcome, long elapsed, float[] load) {
        Server server = roster.servers.get(upstream);
        if (server != null) {
            reports.told(now, server, outcome, load);
        }
        alarms.flush();
    }

    /**
     * What other sidecars see of servers: for each 8 bytes its id and 4 how many times slower than usual they
     * find it. A hint: see {@link Health#told}. Or a lease for each of some cold servers: 8 bytes its id, 4
     * how many requests, 4 for how many milliseconds from now; see {@link Roster#coldRoom}.
     */
    @Override
    public void peerMessage(long now, int from, byte[] message) {
        ByteBuffer told = ByteBuffer.wrap(message);
        while (from == LEASES && told.remaining() >= Long.BYTES + Float.BYTES + Integer.BYTES) {
            Server server = roster.servers.get(told.getLong());
            double count = told.getFloat();
            int millis = told.getInt();
            if (server != null
                    && count >= 0
                    && count <= Roster.MOST_LEASED
                    && millis > 0
                    && millis <= Roster.LONGEST_LEASE) {
                server.lease = new Lease(count, now, now + millis * 1_000_000L, random.nextDouble());
            }
        }
        while (from == HEARSAY && told.remaining() >= Long.BYTES + Float.BYTES) {
            Server server = roster.servers.get(told.getLong());
            double ratio = told.getFloat();
            if (server != null && ratio > 1 && ratio <= Health.WORST_TOLD) {
                health.told(now, server, ratio);
            }
        }
        admission.drain(now);
        alarms.flush();
    }

    @Override
    public void hangup(long now, long request) {
        Call call = ledger.calls.get(request);
        if (call != null) {
            ledger.close(call, false);
        }
    }

    /** Danger: what waits on a server that hangs, until after the end, would get no answer at all. */
    @Override
    public void ending(long now, long at) {
        ledger.calls
                .values()
                .forEach(call -> alarms.set(at, then -> {
                    if (!call.streaming) {
                        ledger.answer(call);
                    }
                }));
        alarms.flush();
    }

    @Override
    public void timer(long now, long token) {
        alarms.ring(now, token);
        admission.drain(now);
        alarms.flush();
    }

    /** The order, the pointer and the pick. */
    private final class Pattern {
        private final List<Server> order = new ArrayList<>();
        private int pointer;

        /** Draws a uniform permutation of all ready servers; the list comes sorted by id. */
        void redraw(List<Server> ready) {
            order.clear();
            order.addAll(ready);
            Collections.shuffle(order, random);
            pointer = 0;
        }

        /**
         * The less busy of the pointed entry and the next, a tie going to the pointed one; entries whose
         * gates are shut to this request are passed over. Only first attempts turn the pointer: a walk for
         * a further attempt sees few entries and would make the turns uneven. Null if all gates are shut.
         */
        Server pick(long now, Call call, boolean ignoreHealth) {
            if (!call.attempts.isEmpty() && !ledger.mayTryAgain(now, call)) {
                return null;
            }
            Server pointed = null;
            Server passedOver = null;
            int start = pointer;
            for (int i = 0; i < order.size(); i++) {
                int at = (start + i) % order.size();
                Server server = order.get(at);
                if (!mayTake(now, server, call, ignoreHealth)) {
                    continue;
                }
                if (pointed != null) {
                    return server.inFlight < pointed.inFlight ? server : pointed;
                }
                if (!takesTurn(server, call)) {
                    passedOver = passedOver == null ? server : passedOver;
                    continue;
                }
                pointed = server;
                if (call.attempts.isEmpty()) {
                    pointer = (at + 1) % order.size();
                }
            }
            return pointed != null ? pointed : passedOver;
        }

        /** The next entries that could take this request, from the pointed one on. */
        List<Server> ahead(long now, Call call, int most) {
            List<Server> open = new ArrayList<>(most);
            for (int i = 0; i < order.size() && open.size() < most; i++) {
                Server server = order.get((pointer + i) % order.size());
                if (mayTake(now, server, call, false)) {
                    open.add(server);
                }
            }
            return open;
        }

        /** A slow entry saves up for its turns and is passed over in between. */
        private boolean takesTurn(Server server, Call call) {
            server.credit += health.turnShare(server, call);
            if (server.credit < 1) {
                return false;
            }
            server.credit -= 1;
            return true;
        }
    }

    /** All gates, cheapest first. */
    private boolean mayTake(long now, Server server, Call call, boolean ignoreHealth) {
        return ledger.mayGoTo(call, server)
                && server.inFlight < Math.max(1, (int) server.limit)
                && (ignoreHealth || health.open(now, server, call) && !reports.crowded(server, call))
                && roster.coldRoom(now, server, call);
    }

    /** This sidecar's part of what all together may send to one cold server for a while. */
    private static final class Lease {
        final double count;
        final long from;
        final long until;
        final double draw;
        int spent;

        Lease(double count, long from, long until, double draw) {
            this.count = count;
            this.from = from;
            this.until = until;
            this.draw = draw;
        }

        /** Evenly over its time, from a drawn place on: those of many sidecars do not begin together. */
        boolean allows(long now) {
            return spent + 1 <= Math.min(count, count * (now - from) / (until - from) + draw);
        }
    }

    /** What is known of one upstream. */
    private static final class Server {
        final DecayingSum served;
        final DecayingSum answered;
        Upstream entry;
        int inFlight;
        long coldUntil;
        double credit;
        double coldTokens;
        boolean coldMet;
        long coldAt;
        Lease lease;
        double load;
        long integratedAt;
        double exposure;
        double heard;
        long heardAt;
        double said;
        int connectFailures;
        long nextTrial;
        long backoff;
        double limit = Admission.FIRST_LIMIT;
        long lastCut;
        double holds = Double.MAX_VALUE;
        final List<Call> askers = new ArrayList<>(2);

        Server(Upstream entry, long now, Limits limits) {
            this.served = new DecayingSum(Math.max(1, limits.rampTime()), 0);
            this.answered = new DecayingSum(Math.max(1, limits.tipAfter() / 3), 0);
            this.entry = entry;
            this.integratedAt = now;
            this.coldAt = now;
        }
    }

    private static final class Attempt {
        final Server server;
        final long sentAt;
        final int crowd;
        final double found;
        boolean out = true;
        boolean mayHaveRun = true;

        Attempt(Server server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
            this.crowd = server.inFlight;
            this.found = server.holds++;
        }
    }

    private static final class Call {
        /** In expected times: what waits until less is left is late half the time. */
        static final double MOST_IN_TIME = 1.5;

        final Request request;
        final RequestClass kind;
        final long deadline;
        final long aim;
        final long aimAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean closed;
        boolean held;
        boolean streaming;
        boolean asked;
        int pending;
        List<Server> looked = List.of();
        double bar;
        double expected;
        /** Time without which it is not begun. */
        double least;
        /** How many requests like it came for each that was let through. */
        double standsFor = 1;

        boolean counted;

        Call(Request request, RequestClass kind, long now, long elapsed) {
            this.request = request;
            this.kind = kind;
            this.deadline = now + request.timeLeft();
            double stretched = kind.aim() + kind.aimStretch() * request.costHint();
            this.aim = (long) Math.min(stretched, kind.deadline());
            this.aimAt = now - elapsed + Math.min(request.timeLeft() + elapsed, aim);
        }

        /** Whether the last attempt is out; there is never more than one. */
        boolean waiting() {
            return !attempts.isEmpty() && attempts.get(attempts.size() - 1).out;
        }
    }

    /** Each request's attempts, what is proven of them, and its one answer. */
    private final class Ledger {
        private final Map<Long, Call> calls = new HashMap<>();

        Call open(long now, Request request) {
            Call call = new Call(
                    request, settings.classes().get(request.requestClass()), now, admission.elapsed(now, request));
            // Danger: answers of no time would bring alarms an expected time apart to a stand.
            call.expected =
                    Math.max(call.aim / 1000.0, health.usual[request.requestClass()].expected(request.costHint()));
            // A later try is the client's last: half the expected will do. One of little patience is worked
            // on also when its client has gone, so most must be in time. Danger: where all are so, nothing
            // would ever show that answers are fast again; what nothing has shown for an aim is not held so.
            boolean hasty = call.aimAt == call.deadline
                    && request.timeLeft() < call.aim
                    && now - health.usual[request.requestClass()].learnedAt < call.aim;
            // Danger: a class held to take longer than two aims would send nothing, and never learn better.
            call.least = hasty
                    ? Call.MOST_IN_TIME * call.expected
                    : 0.5 * Math.min(call.expected, Math.min(call.aim, request.timeLeft()));
            calls.put(request.id(), call);
            alarms.set(call.deadline, at -> {
                if (!call.streaming) {
                    answer(call);
                }
            });
            return call;
        }

        /** The first attempt that may have run, or null while every one is proven not to have. */
        private Attempt firstDoubt(Call call) {
            for (Attempt attempt : call.attempts) {
                if (attempt.mayHaveRun) {
                    return attempt;
                }
            }
            return null;
        }

        /** Whether some further attempt is allowed now, whichever server it goes to. */
        boolean mayTryAgain(long now, Call call) {
            if (call.closed
                    || call.streaming
                    || now >= call.deadline
                    || call.waiting()
                    || call.attempts.size() >= settings.allowed().tryLimit()) {
                return false;
            }
            Attempt doubt = firstDoubt(call);
            return doubt == null
                    || switch (call.kind.semantics()) {
                        case REPEATABLE -> true;
                        case ONCE -> false;
                            // One quantum is kept back: the send takes effect at the end of this batch.
                        case BY_KEY -> now + settings.quantum() < doubt.sentAt + call.kind.keyTtl();
                    };
        }

        /** Whether the next attempt, if there may be one, may go to this server. */
        boolean mayGoTo(Call call, Server server) {
            for (Attempt attempt : call.attempts) {
                if (attempt.server == server) {
                    return false;
                }
            }
            Attempt doubt = firstDoubt(call);
            if (doubt == null || call.kind.semantics() != Semantics.BY_KEY) {
                return true;
            }
            Upstream first = doubt.server.entry;
            return switch (call.kind.scope()) {
                case ALL -> true;
                case ZONE -> first.zone() == server.entry.zone();
                case CELL -> first.cell() == server.entry.cell();
            };
        }

        /** The one place that sends. */
        void send(long now, Call call, Server server) {
            Attempt attempt = new Attempt(server, now);
            call.attempts.add(attempt);
            call.held = false;
            call.asked = false;
            call.looked = List.of();
            health.sent(now, server, call);
            server.coldTokens -= roster.work(call);
            if (server.lease != null) {
                server.lease.spent++;
            }
            server.inFlight++;
            // Danger: work past its aim keeps a core from work that can still be in time. It is given up only
            // where looks show what an upstream holds; elsewhere given-up work would run on unseen.
            boolean worthless = reports.looks() && call.kind.lateShare() == 0 && call.aimAt > now;
            actions.send(call.request.id(), server.entry.id(), worthless ? call.aimAt - now : 0);
        }

        void outcome(long now, long id, int number, Outcome outcome, boolean ended) {
            Call call = calls.get(id);
            if (call == null || number >= call.attempts.size() || !call.attempts.get(number).out) {
                return;
            }
            Attempt attempt = call.attempts.get(number);
            attempt.out = false;
            attempt.mayHaveRun = !outcome.provesNeverRan();
            Server server = attempt.server;
            server.inFlight--;
            health.ended(now, attempt, outcome, call);
            // Danger: what was never sent says nothing of the servers. Clients that leave while a connection
            // comes up would count as late answers, and a burst of them have those that come next refused.
            if (outcome != Outcome.CONNECT_FAILED && outcome != Outcome.NEVER_SENT) {
                admission.ended(now, attempt, outcome, call);
            }
            roster.ended(now, attempt, outcome, call);
            if (ended || call.closed) {
                close(call, outcome == Outcome.OK);
                return;
            }
            // Danger: held for a further attempt with every server tried, it would wait in vain.
            if (mayTryAgain(now, call)
                    && roster.ready.stream().anyMatch(next -> mayGoTo(call, next))
                    && admission.worthRetry(now, call)) {
                admission.admit(now, call);
            } else {
                answer(call);
            }
        }

        /** Gives the final answer: refused where a client's retry is known to be harmless, else failed. */
        void answer(Call call) {
            if (call.closed) {
                return;
            }
            boolean harmless = firstDoubt(call) == null
                    || call.kind.semantics() == Semantics.REPEATABLE
                    || call.kind.semantics() == Semantics.BY_KEY && call.kind.scope() == Scope.ALL;
            if (harmless) {
                actions.refuse(call.request.id(), admission.stayAway(call));
            } else {
                actions.fail(call.request.id());
            }
            close(call, false);
        }

        /** Nothing is sent for a closed request; its outstanding attempt still counts as in flight. */
        void close(Call call, boolean served) {
            if (!call.closed && !served) {
                admission.unserved.add(call);
            }
            if (!call.closed
                    && call.waiting()
                    && !call.streaming
                    && settings.allowed().cancel()) {
                actions.cancel(call.request.id(), call.attempts.size() - 1);
            }
            call.closed = true;
            call.held = false;
            if (!call.waiting()) {
                calls.remove(call.request.id());
            }
        }
    }

    /** The list, the subscription to it, and the budget of cold servers. */
    private final class Roster {
        /** What is lent beyond these is not believed. */
        static final double MOST_LEASED = 1e6;

        static final int LONGEST_LEASE = 60_000;
        private final TreeMap<Long, Server> servers = new TreeMap<>();
        private List<Server> ready = List.of();
        private boolean listed;
        /** What discovery has and can be asked for counts as told after 6 s; a call may wait 2 s of them. */
        private static final long UNANSWERED = 6_000_000_000L - 2_000_000_000L;
        /** From one call to the next at most, and half of that at least: three of them, and a call's wait. */
        private static final long EVERY = 1_200_000_000L;
        /** What came by one break, or by one start, is spread over this at most. */
        private static final long MOST_SPREAD = 750_000_000L;
        /** What a break hid counts as told after a call's wait; the drain grace is what is left for it. */
        private final long spread =
                Math.min(MOST_SPREAD, (long) (0.8 * settings.limits().drainGrace()));
        /** Where many ask, who is refused at once leaves the turn to who has waited for up to so long. */
        private static final long LONG_WAIT = 6_000_000_000L;

        private static final double SLOWEST = 3;
        /** So few have no need to: what they ask costs discovery little. */
        private static final double FEW = 8;
        /** After a call that took longer than its turn: a silent one has used up half of the 6 s by then. */
        private static final long PAUSE = 200_000_000L;

        private final double factor = settings.limits().overloadFactor();
        /** How many times over what was seen of warm ones may be taken: half of what a cold one bears. */
        private final double lift = Math.max(1, factor / 2);
        /** How much faster than its answers an all-cold server may be asked; the less the less it bears. */
        private final double growth = Math.min(2, factor - 1);
        /** Part of a window that may be saved up, beside the rate. */
        private final double saved = Math.max(0.1, Math.min(0.5, factor / Math.max(lift, growth) - 1));

        private final DecayingSum served =
                new DecayingSum(Math.max(1, settings.limits().rampTime()), 0);
        private long warm;
        private double comparable;
        private double remembered;
        private long comparedAt = Long.MIN_VALUE;
        private List<Server> compared = List.of();
        private long servedAt;
        private long since;
        private long asked;
        private long askedAt;
        private boolean failing;
        private long failingSince;
        private boolean broken;

        void follow(long now) {
            broken = false;
            if (settings.discovery() == Discovery.SUBSCRIBE) {
                askedAt = now;
                actions.subscribe(true);
                followAgain(now + UNANSWERED);
            }
        }

        private void followAgain(long at) {
            long mine = ++asked;
            alarms.set(at, now -> {
                if (mine == asked) {
                    follow(now);
                }
            });
        }

        /**
         * Danger: a broken subscription is silent from now on. Asked for at once, many sidecars whose calls
         * failed together would hammer discovery together; with waits that grow, the last one would outlast
         * the 6 s. So calls begin at a steady pace, each sidecar's drawn anew each time, one out at a time.
         */
        private void brokeAt(long now) {
            double draw = phases.nextDouble();
            failingSince = failing ? failingSince : now;
            boolean turnedAway = failing && now - askedAt < EVERY / 2;
            double pace = turnedAway ? pace(now - failingSince) : 1;
            long turn = askedAt + (long) (pace * EVERY * (1 + draw) / 2);
            followAgain(Math.max(turn, now + (long) ((failing ? PAUSE : spread) * draw)));
            failing = true;
            broken = true;
        }

        /** How many times the usual time between two calls, for who has had no answer for so long. */
        private double pace(long waited) {
            double first = Math.max(1, Math.min(SLOWEST, settings.replicas() / FEW));
            return Math.max(1, first - (first - 1) * waited / LONG_WAIT);
        }

        void listChanged(long now, ListKind kind, List<Upstream> entries) {
            if (kind == ListKind.FAILED) {
                if (!broken) {
                    brokeAt(now);
                }
                return;
            }
            // Danger: the whole list may come by a call of its own while the subscription is broken; taken
            // for the subscription's answer, it would end the asking for good.
            if (kind != ListKind.CACHED && !broken) {
                asked++;
                failing = false;
            }
            Set<Long> missing = new TreeSet<>(kind == ListKind.DELTA ? Set.of() : servers.keySet());
            boolean changed = false;
            for (Upstream entry : entries) {
                missing.remove(entry.id());
                changed |= update(now, entry);
            }
            for (long id : missing) {
                Server server = servers.get(id);
                changed |= server.entry.state() == State.READY;
                server.entry = server.entry.gone();
            }
            listed = true;
            if (changed) {
                ready = servers.values().stream()
                        .filter(s -> s.entry.state() == State.READY)
                        .toList();
                pattern.redraw(ready);
            }
        }

        /** Takes one line over; true if the set of ready servers changed. */
        private boolean update(long now, Upstream entry) {
            Server server = servers.get(entry.id());
            boolean wasReady = server != null && server.entry.state() == State.READY;
            // A restarted process shares nothing with the one before: not its load, nor its faults.
            boolean fresh = server == null || entry.startedAt() > server.entry.startedAt();
            if (fresh) {
                long since = entry.startedAt() == 0 && listed ? now : entry.startedAt();
                server = new Server(entry, now, settings.limits());
                server.credit = random.nextDouble();
                servers.put(entry.id(), server);
                if (since > 0 && now < since + settings.limits().rampTime()) {
                    server.coldUntil = since + settings.limits().rampTime();
                }
            }
            server.entry = entry;
            return fresh || wasReady != (entry.state() == State.READY);
        }

        /**
         * Danger: a cold server falls over and stays down when all sidecars together overfill it. A share of
         * what comparable servers are seen to serve FOR THIS SIDECAR is this sidecar's part, so the parts of
         * all sum up to that share of a server's load, whoever sends how much.
         */
        boolean coldRoom(long now, Server server, Call call) {
            if (now >= server.coldUntil) {
                return true;
            }
            if (server.lease != null && now < server.lease.until) {
                // Danger: own parts sum up only while there are warm servers to compare with. Lent ones sum
                // up always; one that ends leaves the own part, which was charged meanwhile.
                return server.lease.allows(now) && server.inFlight <= 1 + server.limit / 2;
            }
            double age =
                    1 - (server.coldUntil - now) / (double) settings.limits().rampTime();
            double cold = settings.limits().coldShare();
            double part = cold + (1 - cold) * Math.max(0, Math.min(1, age));
            compare(now);
            double rate = comparable * part;
            double depth = rate * settings.limits().tipAfter() / 2;
            if (warm == 0) {
                // Danger: with nothing to compare with, one at a time is one from every sidecar at once, and
                // the sooner it refuses the more. What a warm one served for this sidecar is remembered, and
                // who never saw one has its part of what one core does. What it answers may be exceeded by
                // the growth: the answers of all sidecars sum up to what it can do, whoever sends how much.
                // What one core does is counted in times that were guessed until a cold one has answered.
                double core = 1.0 / Math.max(1, settings.replicas());
                double met = server.answered.value(now);
                rate = Math.max(
                        remembered > 0 ? lift * Math.max(remembered, core) * part : met > 0 ? core : core * part,
                        growth * met / Math.max(1, settings.limits().tipAfter() / 3));
                depth = rate * settings.limits().tipAfter() * saved;
            } else if (rate == 0) {
                return false; // nothing seen yet: the warm ones take the request
            }
            if (!server.coldMet) {
                // Danger: a first request free of charge comes from hundreds of sidecars together. Each
                // starts somewhere within the debt of one request, so that their sum keeps to the rate.
                server.coldMet = true;
                // Where all are cold and even one from each is little for one core, it need not wait.
                boolean few = warm == 0
                        && settings.replicas() * work(call)
                                <= factor * part * settings.limits().tipAfter() / 2;
                server.coldTokens = few ? 0 : -random.nextDouble() * work(call);
            }
            server.coldTokens = Math.min(depth, server.coldTokens + rate * (now - server.coldAt));
            server.coldAt = now;
            return server.coldTokens >= 0 && server.inFlight <= 1 + server.limit / 2;
        }

        /**
         * Work a nanosecond that a warm server serves for this sidecar, on average. Danger: with the work of
         * those that have gone counted for the few that are left, each would seem to serve for all.
         */
        void compare(long now) {
            if (now == comparedAt && ready == compared) {
                return;
            }
            since = comparedAt == Long.MIN_VALUE ? now : since;
            comparedAt = now;
            compared = ready;
            warm = 0;
            double ramp = Math.max(1, settings.limits().rampTime());
            double sum = 0;
            double last = 0;
            for (Server server : ready) {
                if (now >= server.coldUntil) {
                    warm++;
                    sum += server.served.value(now);
                    last += server.served.value(servedAt);
                }
            }
            comparable = warm == 0 ? 0 : Math.min(served.value(now), lift * sum) / warm / ramp;
            if (last > 0) {
                // Kept as it was at the last answer: it must not fade while there is nothing to serve. One
                // that has not been here for the whole time has seen its first part only.
                double seen = 1 - Math.exp(-Math.max(servedAt - since, ramp / 16) / ramp);
                remembered = last / warm / ramp / seen;
            }
        }

        /** What is refused stays charged: it has reached the server. What was never sent has not. */
        void ended(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            server.coldTokens += outcome == Outcome.NEVER_SENT ? work(call) : 0;
            if (outcome == Outcome.OK) {
                served.add(now, work(call));
                server.served.add(now, work(call));
                server.answered.add(now, work(call));
                servedAt = now;
            }
        }

        double work(Call call) {
            return call.request.costHint() > 0 ? call.request.costHint() : call.expected;
        }
    }

    /** Evidence about each server, from this sidecar's own attempts. */
    private final class Health {
        /** Part of the aim: a kind that takes no more is far from its limit and takes every turn. */
        private static final double EASY = 0.25;

        private static final double STEEP = 1.4;
        private final Map<Integer, SlowdownEstimate> paces = new TreeMap<>();
        private double fastest = 1;

        SlowdownEstimate pace(Server server) {
            return paces.computeIfAbsent(server.entry.kind(), kind -> new SlowdownEstimate());
        }

        /**
         * The part of its turns that a server takes. Danger: even turns give a slow machine as much work as a
         * fast one, and with the fleet three quarters busy the slow kind has more than it can ever do. All
         * turns while its kind answers well within the aim; else as the fastest kind's time is to its own,
         * and somewhat fewer: at the same use, those who wait on a slow machine wait longer.
         */
        double turnShare(Server server, Call call) {
            double pace = pace(server).mean;
            return pace * call.expected < EASY * call.aim ? 1 : Math.min(1, Math.pow(fastest / pace, STEEP));
        }

        private void learnPace(Server server, double ratio) {
            pace(server).learn(ratio);
            fastest =
                    paces.values().stream().mapToDouble(pace -> pace.mean).min().orElse(1);
        }

        /** A part of the aim: a server expected to take longer is of no use to the class. */
        private static final double USELESS = 0.75;
        /** Machines of one fleet differ about twofold from their mean; beyond that it is a fault. */
        private static final double SLOW = 2;
        /** Of each class, over all servers, starting from a tenth of its aim. */
        private final ServiceTimeEstimate[] usual =
                new ServiceTimeEstimate[settings.classes().size()];

        private final long firstBackoff;
        /** What is said beyond the worst that can be is not believed. */
        private static final long LONGEST_BACKOFF = 8;

        private static final double WORST_TOLD = 10_000;

        Health() {
            for (int i = 0; i < usual.length; i++) {
                usual[i] = new ServiceTimeEstimate(settings.classes().get(i).aim() / 10.0);
            }
            firstBackoff = settings.classes().stream()
                    .mapToLong(RequestClass::aim)
                    .min()
                    .orElse(1);
        }

        private void integrate(long now, Server server) {
            server.exposure += server.load * (now - server.integratedAt);
            server.integratedAt = now;
        }

        void sent(long now, Server server, Call call) {
            integrate(now, server);
            server.load += 1 / call.expected;
            if (server.nextTrial > 0) {
                server.backoff = Math.min(server.backoff * 2, firstBackoff * LONGEST_BACKOFF);
                server.nextTrial = now + server.backoff;
            }
        }

        boolean open(long now, Server server, Call call) {
            integrate(now, server);
            boolean closed = server.connectFailures > 0
                    || current(server) > SLOW && current(server) * call.expected > USELESS * call.aim;
            if (!closed) {
                server.nextTrial = 0;
                return true;
            }
            if (server.nextTrial == 0) {
                server.backoff = firstBackoff;
                server.nextTrial = now + server.backoff;
            }
            return now >= server.nextTrial;
        }

        /** How many times slower than usual it answers; two answers are taken for granted. */
        private double current(Server server) {
            return Math.max(server.said, (server.exposure + 2) / (server.heard + 2));
        }

        void ended(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            integrate(now, server);
            server.load = server.inFlight == 0 ? 0 : Math.max(0, server.load - 1 / call.expected);
            switch (outcome) {
                case OK -> {
                    reports.learn(attempt, now - attempt.sentAt);
                    learnPace(server, (now - attempt.sentAt) / call.expected);
                    usual[call.request.requestClass()].learn(now, now - attempt.sentAt, call.request.costHint());
                    heard(now, server);
                }
                case ERROR, RESET -> {
                    // Danger: fast errors empty the in-flight count and win turns. One is as bad as an answer
                    // at twice the aim: a stray one shuts nothing, two in a row do.
                    heard(now, server);
                    server.exposure += 2 * call.aim / call.expected;
                }
                case CONNECT_FAILED -> server.connectFailures++;
                default -> {}
            }
        }

        /**
         * Others find it slow. Danger: with few requests of its own a sidecar meets each slow server anew.
         *  Holds
         * until the next own answer, and only where none is fresher than the time a trial waits: what is seen
         * here always outweighs what is said.
         */
        void told(long now, Server server, double ratio) {
            if (server.heardAt == 0 || now - server.heardAt > firstBackoff) {
                server.said = ratio;
                // Danger: each of hundreds of sidecars would try a slow server for itself. Others just have;
                // once nobody has, nobody says so either, and the trials go on.
                server.backoff = LONGEST_BACKOFF * firstBackoff;
                server.nextTrial = Math.max(server.nextTrial, now + server.backoff);
            }
        }

        private void heard(long now, Server server) {
            server.heardAt = now;
            server.said = 0;
            double keep = server.nextTrial > 0 ? 0.5 : 0.9;
            server.exposure *= keep;
            server.heard = server.heard * keep + 1;
            server.connectFailures = 0;
        }
    }

    /**
     * How full the whole fleet is, by the queues that answers report. Danger: what was late shows an overload
     * only when it has passed, and with a few attempts in eight aims it goes on showing it for seconds after
     * the servers stand idle again; on a calm day of 109 sidecars, 65 in 100 were refused then. All sidecars
     * see the same servers, so their levels come out alike with no talk between them. With few sidecars own
     * counts find the server with room, a queue elsewhere says little, and lateness does as before.
     */
    private final class Level {
        private static final int MANY = 16;
        /** Servers that may have requests waiting: about as many have at nine tenths of what they can do. */
        private static final double BUSY = 0.8;
        /** The worth of most of the work is shed before any of the dearest classes. */
        private static final double DEAREST = 0.9;
        /** Of the dearest some always go, else nothing would tell when the servers have room again. */
        private static final double HIGHEST = 0.98;
        /** In aims: twice as far as lateness looks back, which rules when it has ended. */
        private static final int LASTS = 16;

        private final int field = settings.reportFields().indexOf("q");
        private final boolean many = settings.replicas() >= MANY;
        private final double meanWorth = settings.classes().stream()
                .mapToDouble(RequestClass::worth)
                .average()
                .orElse(0);
        /** In aims, without a word: one request is sent to hear. */
        private static final int SILENT = 2;

        private double value;
        private long toldAt;
        private long triedAt;

        /**
         * Whether it decides what is shed: with many sidecars, while queues are reported. Danger: where
         * reports stop after an overload (other servers, other answers) it would shed for ever.
         */
        boolean rules(long now) {
            return many && toldAt != 0 && now - toldAt < LASTS * health.firstBackoff;
        }

        /** Up within an aim where all have queues; down the faster the higher it is, so that it ends soon. */
        void told(long now, float[] load) {
            if (field < 0 || load.length <= field || !(load[field] >= 0)) {
                return;
            }
            double aims = Math.min(1, (now - toldAt) / (double) health.firstBackoff);
            value = rules(now) ? value : 0;
            toldAt = now;
            double step = load[field] >= 1 ? 1 - BUSY : -Math.max(BUSY, value / 2);
            value = Math.max(0, Math.min(HIGHEST, value + aims * step));
        }

        /**
         * Whether this one goes whatever the level. Danger: a sidecar of little traffic that sheds hears
         * nothing any more; held by what it heard last, it turned away all for ten seconds while the servers
         * stood idle. All of them together try so seldom that it is little of what servers can do.
         */
        private boolean trial(long now) {
            if (now - Math.max(toldAt, triedAt) <= SILENT * health.firstBackoff) {
                return false;
            }
            triedAt = now;
            return true;
        }

        double shedding(long now, RequestClass kind) {
            double part = kind.worth() >= meanWorth
                    ? Math.max(0, (value - DEAREST) / (1 - DEAREST))
                    : Math.min(1, value / DEAREST);
            return part > 0 && trial(now) ? 0 : part;
        }
    }

    /** One tenant's held work and what it has had lately of its quota. */
    private static final class Share {
        /**
         * Newest first. Danger: first-in first-out under overload lets all wait until every answer is late,
         * and stays so after the overload has gone; this way some wait in vain and the rest are in time.
         */
        private final ArrayDeque<Call> held = new ArrayDeque<>();

        private final double quota;
        private final DecayingSum spent;
        private long skippedAt;

        Share(double quota, double window) {
            this.quota = quota;
            this.spent = new DecayingSum(window, 0);
        }

        double used(long now) {
            return spent.value(now) / quota;
        }
    }

    /** Requests that ended here with no service, by what later tries of them have in common with them. */
    private final class Unserved {
        /** Two hundred a second over the longest deadlines; the oldest go first. */
        private static final int MOST = 1024;
        /** Part of the aim by which whole milliseconds, the way here and a turn of the host may shift it. */
        private static final int SHIFT = 20;

        private record Try(int kind, int tenant, long key, long openedAt) {}

        private final ArrayDeque<Try> tries = new ArrayDeque<>();

        void add(Call call) {
            Request request = call.request;
            if (tries.size() == MOST) {
                tries.poll();
            }
            tries.add(new Try(
                    request.requestClass(), request.tenant(), request.key(), call.deadline - request.timeLeft()));
        }

        /** Whether one like this was opened about then. */
        boolean came(Request request, long then) {
            long aim = settings.classes().get(request.requestClass()).aim();
            long shift = 2 * settings.quantum() + aim / SHIFT;
            for (Try each : tries) {
                if (Math.abs(each.openedAt - then) <= shift
                        && each.kind == request.requestClass()
                        && each.tenant == request.tenant()
                        && each.key == request.key()) {
                    return true;
                }
            }
            return false;
        }
    }

    /** Learned concurrency limits, held work, refusals, and the budget of further attempts. */
    private final class Admission {
        /** Room for two-choice to act; many sidecars start together, so no more before anything is known. */
        static final double FIRST_LIMIT = 2;
        /** Part of the aim: what takes longer leaves no time for a second try with its own delays. */
        private static final double LATE = 0.4;
        /** Enough that a jam of later tries does not unseat the first ones at once. */
        private static final int MANY_VOTES = 100;
        /** Four in five in time is sound enough: the rest is chance and single faults. */
        private static final double ENOUGH = 1.25;

        private final Level level = new Level();
        private final Unserved unserved = new Unserved();
        private final Share[] shares = new Share[Math.max(1, settings.tenants().size())];
        private int held;
        private long drains;
        private final long[] firstLeft = new long[settings.classes().size()];
        private final int[] firstVotes = new int[settings.classes().size()];
        /** The rest always goes, else nothing would tell when the servers have room again. */
        private static final double MOST_SHED = 0.9;
        /** Over eight aims: ten requests at a few a second; one is taken for good at first. */
        private final DecayingSum tried = new DecayingSum(8.0 * health.firstBackoff, 1);

        private final DecayingSum inTime = new DecayingSum(8.0 * health.firstBackoff, 1);
        private final DecayingSum rejected = new DecayingSum(8.0 * health.firstBackoff, 0);

        Admission() {
            for (int i = 0; i < shares.length; i++) {
                double quota = settings.tenants().isEmpty()
                        ? 1
                        : settings.tenants().get(i).quotaPerSecond();
                // Four aims: long against answers, short against a burst of some seconds.
                shares[i] = new Share(
                        quota > 0 ? quota : 1, 4.0 * settings.classes().get(0).aim());
            }
        }

        /**
         * Time the client has spent on earlier tries. A first try has a fixed part of the deadline left, the
         * same each time; a last one has what remains of the whole. The commonest value marks the first tries
         * (it loses its place once half of them differ). More than that is a last try's. Less is one's only
         * if its earlier try ended here with no service just so long ago. Danger: else it is the first try of
         * a client with little patience; refused at once as hopeless, such clients come again at once, and
         * with them up to half of all requests were turned away before idle upstreams.
         */
        long elapsed(long now, Request request) {
            int kind = request.requestClass();
            long left = request.timeLeft();
            if (Math.abs(left - firstLeft[kind]) <= 2 * settings.quantum()) {
                firstVotes[kind] = Math.min(firstVotes[kind] + 1, MANY_VOTES);
                return 0;
            }
            if (--firstVotes[kind] < 0) {
                firstLeft[kind] = left;
                firstVotes[kind] = 0;
                return 0;
            }
            long spent = Math.max(0, settings.classes().get(kind).deadline() - left);
            return left > firstLeft[kind] || unserved.came(request, now - spent) ? spent : 0;
        }

        /** Sends a request now, or holds it while it can still be answered within its aim. */
        void admit(long now, Call call) {
            if (now >= call.deadline || roster.ready.isEmpty()) {
                ledger.answer(call);
                return;
            }
            int ease = call.request.clientRetry() ? 3 : 1;
            if (call.attempts.isEmpty() && !call.asked) {
                double draw = random.nextDouble();
                double shed = shedding(now, call);
                if (draw < ease * shed) {
                    ledger.answer(call);
                    return;
                }
                call.standsFor = 1 / (1 - Math.min(MOST_SHED, shed));
            }
            if (reports.ask(now, call)) {
                return;
            }
            if (call.attempts.isEmpty() && now + call.least >= call.aimAt) {
                ledger.answer(call); // a later try, or one of little patience, that can hardly be in time
            } else if (held > 0 || !place(now, call)) {
                call.held = true;
                share(call).held.push(call);
                held++;
                long hopeless = call.aimAt - (long) (Call.MOST_IN_TIME * call.expected);
                alarms.set(Math.max(now + 1, hopeless), at -> {
                    if (call.held) {
                        ledger.answer(call);
                    }
                });
                drain(now);
            }
        }

        /**
         * The part of new requests to shed. Danger: where many sidecars keep one in flight each, no limit per
         * upstream binds; once work is answered too late, upstreams work for nobody until much less is sent.
         * Nothing is shed while four fifths of the recent requests were in time; below, the cube lets a jam
         * drain where a share would feed it. What is shed comes again: marked retries are shed more readily.
         */
        private double shedding(long now, Call call) {
            if (level.rules(now)) {
                return level.shedding(now, call.kind);
            }
            return Math.min(MOST_SHED, 1 - borne(now));
        }

        private double borne(long now) {
            double borne = Math.min(1, ENOUGH * (inTime.value(now) + 1) / (tried.value(now) + 1));
            return borne * borne * borne;
        }

        private Share share(Call call) {
            return shares[Math.min(call.request.tenant(), shares.length - 1)];
        }

        private boolean place(long now, Call call) {
            Server server = pattern.pick(now, call, false);
            // Danger: a trouble common to all would empty the pattern. Gates that all shut do not count.
            if (server == null && roster.ready.stream().noneMatch(any -> health.open(now, any, call))) {
                server = pattern.pick(now, call, true);
            }
            if (server == null) {
                return false;
            }
            ledger.send(now, call, server);
            share(call).spent.add(now, call.expected);
            return true;
        }

        /** Gives freed room to held work, of the tenant that had the least of its quota first. */
        void drain(long now) {
            drains++;
            while (held > 0) {
                Share poorest = null;
                for (Share share : shares) {
                    if (!share.held.isEmpty()
                            && share.skippedAt != drains
                            && (poorest == null || share.used(now) < poorest.used(now))) {
                        poorest = share;
                    }
                }
                if (poorest == null) {
                    return;
                }
                Call call = poorest.held.peek();
                if (call.held && !place(now, call)) {
                    poorest.skippedAt = drains;
                } else {
                    poorest.held.remove(call);
                    held--;
                }
            }
        }

        void ended(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            // Danger: shed by what few were let through, all is refused for seconds by what was late before.
            // So each stands for those that were shed beside it. A request counts once, by its last answer:
            // full servers refuse it up to the try limit within milliseconds, all for one moment's burst.
            tried.add(now, call.counted ? 0 : call.standsFor);
            inTime.add(now, outcome == Outcome.OK && now <= call.aimAt ? call.standsFor : 0);
            call.counted = true;
            rejected.add(now, outcome == Outcome.REJECTED ? 1 : 0);
            ServiceTimeEstimate usual = health.usual[call.request.requestClass()];
            double scaled = (now - attempt.sentAt) * usual.mean / call.expected;
            if (outcome == Outcome.REJECTED || scaled > LATE * call.aim) {
                if (attempt.sentAt >= server.lastCut) {
                    server.limit = Math.max(0.1, server.limit * 0.8);
                    server.lastCut = now;
                }
            } else if (outcome == Outcome.OK && attempt.crowd + 1 >= server.limit / 2) {
                server.limit += Math.min(0.2 * server.limit, 1 / server.limit); // one a round trip
            }
        }

        /** Under overload a further attempt takes the place of a first one, or is refused like the others. */
        boolean worthRetry(long now, Call call) {
            return now < call.aimAt
                    && (level.rules(now) ? level.value : 1 - borne(now)) < 0.8
                    && rejected.value(now)
                            <= tried.value(now) + settings.allowed().tryLimit();
        }

        long stayAway(Call call) {
            return settings.allowed().retryAfter() ? Math.min(settings.allowed().maxRetryAfter(), call.aim / 2) : 0;
        }
    }

    /**
     * Looking before a send, where upstreams tell what they hold and a probe is all but free. Danger: with
     * hundreds of sidecars all of an upstream's work is other sidecars', which own in-flight counts never
     * show, and the cycle feeds a busy upstream as readily as an idle one. So the next few entries are asked,
     * and those that hold more than is usual, or do not answer, are shut to this request. Who of the others
     * takes it is the pattern's choice; what was told counts for one request's look and no longer.
     */
    private final class Reports {
        /** So many that most of them are seldom all busy. */
        private static final int ASKED = 5;
        /** Part of all worth that looking may be charged. */
        private static final double CHEAP = 0.01;
        /** Part of the aim that a look may take; a healthy upstream answers beside its queue at once. */
        private static final int PATIENCE = 20;

        private final int field = settings.reportFields().indexOf("rif");
        private final boolean pays =
                field >= 0 && settings.allowed().probes() && settings.charges().probe() * ASKED <= CHEAP;
        /** Part of the aim that an upstream's work in hand may take up; the rest is for its spread. */
        private static final double FULL = 0.6;

        private double usual;
        private double turnTime;

        /** With no more sidecars than upstreams, own counts show enough of what an upstream holds. */
        boolean looks() {
            return pays && settings.replicas() > roster.ready.size();
        }

        /** Asks the entries next in turn; true if the request waits for what they tell. */
        boolean ask(long now, Call call) {
            if (!looks() || call.asked) {
                return false;
            }
            call.asked = true;
            call.looked = pattern.ahead(now, call, ASKED);
            for (Server server : call.looked) {
                server.holds = Double.MAX_VALUE;
                server.askers.add(call);
                actions.probe(server.entry.id());
            }
            call.pending = call.looked.size();
            alarms.set(now + call.aim / PATIENCE, at -> decide(at, call, call.pending));
            return call.pending > 0;
        }

        void told(long now, Server server, Outcome outcome, float[] load) {
            if (outcome == Outcome.OK && load.length > field && field >= 0) {
                server.holds = load[field];
                usual += 0.05 * (server.holds - usual);
            }
            List<Call> askers = List.copyOf(server.askers);
            server.askers.clear();
            askers.forEach(call -> decide(now, call, 1));
        }

        /** All told or out of patience: sets the bar that shuts the crowded ones, and goes on. */
        private void decide(long now, Call call, int answers) {
            if (call.pending == 0 || (call.pending -= answers) > 0 || call.closed) {
                return;
            }
            double least = Double.MAX_VALUE;
            for (Server server : call.looked) {
                least = Math.min(least, server.holds);
            }
            double full = FULL * call.aim / Math.max(1, turnTime) - 1;
            if (least == Double.MAX_VALUE) {
                call.looked = List.of();
            } else if (least > Math.max(usual, full)) {
                ledger.answer(call);
                return;
            }
            call.bar = least <= usual ? usual : full;
            admission.admit(now, call);
        }

        /** What an answer took for each request that the upstream had in hand, this one included. */
        void learn(Attempt attempt, double took) {
            if (attempt.found < Double.MAX_VALUE) {
                double each = took / (attempt.found + 1);
                turnTime += (turnTime == 0 ? 1 : 0.05) * (each - turnTime);
            }
        }

        boolean crowded(Server server, Call call) {
            return !call.looked.isEmpty() && (server.holds > call.bar || !call.looked.contains(server));
        }
    }
}
