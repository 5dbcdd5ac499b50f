package pondridge.core;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import pondridge.Balancer;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.State;
import pondridge.Balancer.Upstream;
import pondridge.Options;
import pondridge.Rules;

/**
 * The only caller of the module: tells it events one after the other, on the event loop, and carries out what
 * it orders. Whatever module and upstreams do, a request gets one final answer and a send one outcome.
 */
public final class Engine implements Balancer.Actions, Requests {
    /** What of a client's wait is kept for the answer's way back; the module does not know of it. */
    private static final long ANSWER_ROOM = 10_000_000;
    /**
     * How long clients' sockets may go unread before something is sent on: half of the 0.1 s in which nothing
     * may begin once a client has left; the rest is for what comes between look and write. Beyond it the one
     * client's socket is read first, which is exact: what a stand-still hides has no other sign, since one
     * turn may bring the connection to the server before the client's end. A busy loop never pays for it.
     */
    private static final long UNREAD_TIME = 50_000_000;
    /** The module's messages have 256 bytes: this many servers in one. */
    private static final int HEARD_BYTES = 12;

    private static final int MOST_HEARD = 256 / HEARD_BYTES;
    private static final int LEASE_BYTES = 16;
    private static final int MOST_LEASES = 256 / LEASE_BYTES;

    private static final class Call {
        private final Job job;
        private final Client client;
        private long deadline;
        private final List<Transport.Attempt> attempts = new ArrayList<>(1);
        private Future<?> timer;
        private int out;
        private int sent;
        private int reached;
        private boolean doubt;
        /** When the first attempt that may have run was sent. */
        private long doubtSince;

        private long lookedAt;
        /** Found gone by a look; its front will say so, too. */
        private boolean left;

        private boolean over;

        Call(Job job, Client client) {
            this.job = job;
            this.client = client;
        }

        private void ended(Outcome outcome, long sentAt) {
            out--;
            if (!doubt && !outcome.provesNeverRan()) {
                doubt = true;
                doubtSince = sentAt;
            }
            boolean answered = outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REJECTED;
            reached += answered ? 1 : 0;
        }

        /**
         * Nothing more goes out for it: what is not yet written never will be. Danger: a connection that
         * comes up late would carry a request whose client has left or has its answer.
         */
        private void end() {
            over = true;
            timer.cancel(false);
            attempts.stream().filter(Objects::nonNull).forEach(Transport.Attempt::withdraw);
        }

        private void refused(long wait) {
            tell();
            client.refused(wait);
        }

        private void failed() {
            tell();
            client.failed();
        }

        private void tell() {
            client.tried(new Tried(sent, reached, doubt || out > 0));
        }
    }

    /** One attempt, from the module's order to its outcome. */
    private final class Try implements Transport.Listener {
        private final long id;
        private final Call call;
        private final int number;
        private final long upstream;
        private final long sentAt;
        /** From then on it must not be written any more. */
        private final long beginBy;

        private Future<?> tooLate;

        Try(long id, Call call, int number, long upstream, long sentAt) {
            this.id = id;
            this.call = call;
            this.number = number;
            this.upstream = upstream;
            this.sentAt = sentAt;
            RequestClass kind = classes.get(call.job.requestClass());
            this.beginBy = call.doubt && kind.semantics() == Semantics.BY_KEY
                    ? Math.min(call.deadline, call.doubtSince + kind.keyTtl())
                    : call.deadline;
        }

        void begin(long wait) {
            call.attempts.set(number, transport.send(upstream, call.job, wait, this));
            // Danger: a connection may take longer to come up than servers remember the key.
            if (beginBy < call.deadline) {
                tooLate = loop.schedule(
                        () -> call.attempts.get(number).withdraw(), Math.max(0, beginBy - now()), TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public boolean wanted() {
            return !call.over && now() < beginBy && here(call) && now() < beginBy;
        }

        @Override
        public void ended(Outcome outcome, Answer answer, float[] load) {
            if (tooLate != null) {
                tooLate.cancel(false);
            }
            Engine.this.ended(this, outcome, answer, load);
        }
    }

    private final EventLoop loop;
    private final Balancer rules;
    private final List<RequestClass> classes;
    private final int tryLimit;
    private final int mostOpen;
    private final Transport transport;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<String, Long> upstreamIds = new HashMap<>();
    private final Map<String, Integer> zones = new HashMap<>();
    private final Map<String, Integer> kinds = new HashMap<>();
    private final ArrayDeque<LongConsumer> events = new ArrayDeque<>();
    private final long clockOffset = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    private Directory directory;
    private final Listed list = new Listed();
    private Observer observer;
    private RequestLog log = RequestLog.NONE;
    /** Kept for the log only. */
    private final Map<Long, String> loggedNames = new HashMap<>();

    private boolean telling;
    private boolean retired;
    private long endsAt = Long.MAX_VALUE;
    private long lastId;
    private long asked;
    /** New requests that wait for the end of the turn in which they came. */
    private final ArrayDeque<Runnable> turn = new ArrayDeque<>(1);
    /** Ends of two turns: all that had come before the earlier one has been read by now. */
    private long turnedAt;

    private long turnedBefore;
    private boolean looking;

    /**
     * An engine with a decision module of its own.
     *
     * @param seed for the module's random numbers
     * @param mostOpen how many requests may be open; what comes beyond that is refused
     * @param transport the way to all upstreams
     */
    public Engine(EventLoop loop, Options options, long seed, int mostOpen, Transport transport) {
        Balancer.Settings settings = options.settings();
        this.loop = loop;
        this.rules = new Rules(settings, seed, this);
        this.classes = settings.classes();
        this.tryLimit = settings.allowed().tryLimit();
        this.mostOpen = mostOpen;
        this.transport = transport;
        options.list("zones").forEach(zone -> number(zones, zone));
        options.list("kinds").forEach(kind -> number(kinds, kind));
    }

    /** Begins with the cached list; on the loop, like all that follows. */
    public void start(Directory source, List<Target> known) {
        directory = source;
        tell(rules::start);
        listed(ListKind.CACHED, known);
    }

    /** Nanoseconds since 1970 that never run back, so that start times in the list can be compared. */
    private long now() {
        return System.nanoTime() + clockOffset;
    }

    /** Tells the module one event; what happens meanwhile waits, since the module is never entered twice. */
    private void tell(LongConsumer event) {
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (LongConsumer next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.accept(now());
                } catch (RuntimeException e) {
                    System.err.println("engine: " + e);
                }
            }
        } finally {
            telling = false;
        }
    }

    private static int number(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, added -> numbers.size());
    }

    /** Sees how attempts end, for who shares that with other sidecars. */
    public interface Observer {
        /** An attempt at a server, by its name in the list, has ended after so many nanoseconds. */
        void ended(String uid, int requestClass, Outcome outcome, long took);
    }

    /** All attempts' ends are told; before {@link #start}, since only then the list is kept for it. */
    public void observe(Observer other) {
        observer = other;
    }

    /** Has each request's events logged; before {@link #start}. */
    public void log(RequestLog other) {
        log = other;
    }

    /** How many requests have come in all. */
    public long asked() {
        return asked;
    }

    /** Names of the servers that are ready, for an observer. */
    public Set<String> ready() {
        return list.ready();
    }

    /**
     * Servers that are ready and started less than {@code within} nanoseconds ago, by their names, each with
     * what names this start of it at every sidecar, and for how long it has been seen here.
     */
    public Map<String, Start> started(long within) {
        return list.started(within, System.nanoTime());
    }

    /**
     * A start of a server.
     *
     * @param startedMs as the list tells it
     * @param age nanoseconds since it was seen here, never more than since it was
     */
    public record Start(long startedMs, long age) {}

    /** So many requests may be sent to a server that has started, for so many milliseconds from now. */
    public record Lease(float count, int millis) {}

    /** Tells the module its parts of what all sidecars may send to some cold servers. */
    public void leased(Map<String, Lease> parts) {
        List<Map.Entry<String, Lease>> known = parts.entrySet().stream()
                .filter(each -> upstreamIds.containsKey(each.getKey()))
                .toList();
        for (int i = 0; i < known.size(); i += MOST_LEASES) {
            List<Map.Entry<String, Lease>> some = known.subList(i, Math.min(known.size(), i + MOST_LEASES));
            ByteBuffer message = ByteBuffer.allocate(LEASE_BYTES * some.size());
            some.forEach(each -> message.putLong(upstreamIds.get(each.getKey()))
                    .putFloat(each.getValue().count)
                    .putInt(each.getValue().millis));
            tell(now -> rules.peerMessage(now, Balancer.LEASES, message.array()));
        }
    }

    /** Tells the module how many times slower than usual other sidecars find some servers. */
    public void heard(Map<String, Double> slower) {
        List<Map.Entry<String, Double>> known = slower.entrySet().stream()
                .filter(each -> upstreamIds.containsKey(each.getKey()))
                .limit(MOST_HEARD)
                .toList();
        if (known.isEmpty()) {
            return;
        }
        ByteBuffer message = ByteBuffer.allocate(HEARD_BYTES * known.size());
        known.forEach(each -> message.putLong(upstreamIds.get(each.getKey()))
                .putFloat(each.getValue().floatValue()));
        tell(now -> rules.peerMessage(now, Balancer.HEARSAY, message.array()));
    }

    /** News of the list, or that asking for it failed. */
    public void listed(ListKind kind, List<Target> targets) {
        List<Upstream> entries = new ArrayList<>(targets.size());
        Map<Long, Target> named = new HashMap<>();
        for (Target target : targets) {
            long id = upstreamIds.computeIfAbsent(target.uid(), uid -> upstreamIds.size() + 1L);
            named.put(id, target);
            if (log != RequestLog.NONE) {
                loggedNames.put(id, target.uid());
            }
            entries.add(new Upstream(
                    id,
                    number(zones, target.zone()),
                    number(kinds, target.kind()),
                    target.cell(),
                    target.state(),
                    target.weight(),
                    target.startedMs() * 1_000_000));
        }
        if (observer != null) {
            list.listed(kind, named, System.nanoTime(), System.currentTimeMillis());
        }
        tell(now -> {
            named.forEach((id, target) -> {
                if (target.state() == State.GONE) {
                    transport.gone(id);
                } else {
                    transport.listed(id, target.endpoint(), target.startedMs(), target.state() == State.READY);
                }
            });
            if (kind == ListKind.FULL) {
                upstreamIds.values().stream()
                        .filter(id -> !named.containsKey(id))
                        .forEach(transport::gone);
            }
            rules.listChanged(now, kind, entries);
        });
    }

    @Override
    public long submit(Job job, Client client) {
        asked++;
        if (calls.size() >= mostOpen) {
            client.tried(new Tried(0, 0, false));
            client.refused(0);
            return 0;
        }
        long id = ++lastId;
        log.taken(id, job);
        long came = now();
        long left = Math.max(1, Math.min(job.waitMs() * 1_000_000 - ANSWER_ROOM, endsAt - came));
        Call call = new Call(job, client);
        call.deadline = came + left;
        calls.put(id, call);
        // The module answers by its own deadline; this holds for whatever it may have missed.
        call.timer = loop.schedule(
                () -> tell(now -> {
                    finish(id, call, "failed at the deadline", call::failed);
                    rules.hangup(now, id);
                }),
                left + ANSWER_ROOM / 2,
                TimeUnit.NANOSECONDS);
        if (looking || came - turnedBefore > UNREAD_TIME) {
            // Its client's end may lie right behind it; not read from within the reading of that socket.
            turn.add(() -> begin(id, call));
            if (turn.size() == 1) {
                // Not executed: what is done so from within a task comes in the same turn.
                loop.schedule(this::endTurn, 0, TimeUnit.NANOSECONDS);
            }
        } else {
            begin(id, call);
        }
        return id;
    }

    private void endTurn() {
        turnedBefore = turnedAt;
        turnedAt = now();
        // What comes meanwhile waits for the next turn.
        List<Runnable> came = List.copyOf(turn);
        turn.clear();
        came.forEach(Runnable::run);
    }

    private void begin(long id, Call call) {
        if (call.over) {
            return;
        }
        if (!here(call)) {
            call.end();
            forget(id, call);
            return;
        }
        tell(now -> {
            Job job = call.job;
            rules.request(
                    now,
                    new Request(
                            id,
                            job.requestClass(),
                            job.tenant(),
                            job.key(),
                            Math.max(1, call.deadline - now),
                            job.costHint(),
                            job.clientRetry(),
                            !job.method().equals(HttpMethod.GET)));
        });
    }

    /** Looks whether the client is still there, in its socket if that may not have been read for long. */
    private boolean here(Call call) {
        long now = now();
        boolean late = now - Math.max(turnedBefore, call.lookedAt) > UNREAD_TIME;
        if (late) {
            call.lookedAt = now;
        }
        boolean before = looking;
        looking = true;
        call.left |= !call.client.here(late);
        looking = before;
        return !call.left;
    }

    @Override
    public void hangup(long id) {
        Call call = calls.get(id);
        if (call != null && !call.over) {
            log.clientLeft(id);
            call.end();
            // Kept until the module knows: what it may order meanwhile has to get an outcome, too.
            tell(now -> {
                rules.hangup(now, id);
                forget(id, call);
            });
        }
    }

    /**
     * The process ends {@code within} nanoseconds from now: what is open by then, and what still comes, gets
     * its one answer before.
     */
    public void endWithin(long within) {
        tell(now -> {
            endsAt = now + within;
            rules.ending(now, endsAt);
        });
    }

    /** No more requests will come: what is open still ends, and with it the module's timers. */
    public void retire() {
        retired = true;
    }

    /** Whether any request still waits for its answer. */
    public boolean idle() {
        return calls.values().stream().allMatch(call -> call.over);
    }

    private void finish(long id, Call call, String kind, Runnable answer) {
        if (!call.over) {
            log.answered(id, kind);
            call.end();
            answer.run();
            forget(id, call);
        }
    }

    private void forget(long id, Call call) {
        if (call.over && call.out == 0) {
            calls.remove(id);
        }
    }

    @Override
    public void send(long request, long upstream, long timeout) {
        Call call = calls.get(request);
        long now = now();
        if (call == null) {
            return;
        }
        int number = call.attempts.size();
        call.out++;
        call.attempts.add(null);
        Try next = new Try(request, call, number, upstream, now);
        if (call.over || now >= next.beginBy || number >= tryLimit) {
            ended(next, Outcome.NEVER_SENT, null, LoadReports.NONE);
            return;
        }
        long wait = call.deadline - now;
        if (timeout > 0) {
            wait = Math.min(wait, timeout);
        }
        call.sent++;
        log.attemptSent(request, number, loggedNames.get(upstream), wait);
        next.begin(wait);
    }

    private void ended(Try attempt, Outcome outcome, Answer answer, float[] load) {
        Call call = attempt.call;
        tell(now -> {
            long took = now - attempt.sentAt;
            log.attemptEnded(attempt.id, attempt.number, loggedNames.get(attempt.upstream), outcome, took);
            call.ended(outcome, attempt.sentAt);
            if (call.left && !call.over) {
                call.end();
                rules.hangup(now, attempt.id);
            }
            if (observer != null && list.name(attempt.upstream) != null) {
                observer.ended(list.name(attempt.upstream), call.job.requestClass(), outcome, took);
            }
            if (outcome == Outcome.OK) {
                finish(attempt.id, call, "served", () -> call.client.served(answer));
            }
            rules.outcome(now, attempt.id, attempt.number, attempt.upstream, outcome, took, call.over, load);
            forget(attempt.id, call);
        });
    }

    @Override
    public void refuse(long request, long wait) {
        Call call = calls.get(request);
        if (call != null) {
            finish(request, call, "refused", () -> call.refused(wait));
        }
    }

    @Override
    public void fail(long request) {
        Call call = calls.get(request);
        if (call != null) {
            finish(request, call, "failed", call::failed);
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Call call = calls.get(request);
        if (call != null && attempt < call.attempts.size() && call.attempts.get(attempt) != null) {
            call.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void timer(long token, long at) {
        if (retired && calls.isEmpty()) {
            return;
        }
        loop.schedule(() -> tell(now -> rules.timer(now, token)), Math.max(0, at - now()), TimeUnit.NANOSECONDS);
    }

    @Override
    public void probe(long upstream) {
        long sentAt = now();
        transport.probe(
                upstream,
                (outcome, answer, load) -> tell(now -> rules.probeResult(now, upstream, outcome, now - sentAt, load)));
    }

    @Override
    public void closeIdle(long upstream) {
        transport.closeIdle(upstream);
    }

    /** Sidecars of this kind share nothing; the module does not use peers. */
    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("peers");
    }

    @Override
    public void log(String line) {
        System.err.println("module: " + line);
    }

    @Override
    public void subscribe(boolean on) {
        directory.watch(on);
    }

    @Override
    public void fetchList() {
        directory.fetch();
    }
}
