package pondridge.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongConsumer;
import pondridge.Balancer.Actions;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Settings;
import pondridge.Balancer.State;
import pondridge.Balancer.Upstream;
import pondridge.Rules;

/** Runs a {@link Scene} with the real decision module. */
public final class Bed {
    /** Start of the modules' clock. It is not 0, since a start time of 0 in a list means a server that is long warm. */
    private static final long CLOCK_START_NANOS = 1_000_000_000_000L;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /**
     * One request of a client, over all its tries.
     *
     * @param relativeWork its work relative to the mean work
     * @param retry whether this is the try after a refusal
     */
    private record ClientRequest(long startNanos, int sidecar, int classIndex, double relativeWork, boolean retry) {}

    /** One try of a client's request at a sidecar. */
    private static final class Try {
        final ClientRequest clientRequest;
        final long receivedNanos;
        final List<Upstreams.Work> attempts = new ArrayList<>();
        final List<Boolean> pending = new ArrayList<>();
        boolean ended;

        Try(ClientRequest clientRequest, long receivedNanos) {
            this.clientRequest = clientRequest;
            this.receivedNanos = receivedNanos;
        }
    }

    private final Scene scenario;
    private final Random random;
    private final Queue queue = new Queue();
    private final Tally result;
    private final Upstreams servers;
    private final SidecarHost[] sidecars;
    private final long[] startedNanos;
    private final boolean[] removed;
    private long nowNanos;
    private long nextRequestId;
    private int nextSidecar;
    private long clientsPausedUntilNanos;

    private Bed(Scene scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        this.result = new Tally(scenario.servers().size());
        this.servers = new Upstreams(queue, result, scenario);
        this.sidecars = new SidecarHost[scenario.sidecars()];
        this.startedNanos = new long[scenario.servers().size()];
        this.removed = new boolean[startedNanos.length];
    }

    /** Runs the scenario to its end. */
    public static Tally play(Scene scenario) {
        Bed simulation = new Bed(scenario);
        scenario.events()
                .forEach(event ->
                        simulation.queue.schedule(event.atNanos(), atNanos -> simulation.applyEvent(atNanos, event)));
        simulation.queue.schedule(0, atNanos -> {
            for (int i = 0; i < simulation.sidecars.length; i++) {
                if (simulation.sidecars[i] == null) {
                    simulation.startSidecar(atNanos, i);
                }
            }
            simulation.arrive(atNanos);
        });
        simulation.queue.runUntil(scenario.endNanos());
        return simulation.result;
    }

    private void applyEvent(long atNanos, Scene.Change event) {
        int index = event.index();
        switch (event.type()) {
            case GONE -> {
                removed[index] = true;
                servers.crash(atNanos, index);
            }
            case COLD -> {
                removed[index] = false;
                startedNanos[index] = CLOCK_START_NANOS + atNanos;
                servers.crash(atNanos, index);
                servers.start(index, scenario.servers().get(index), atNanos);
            }
            case STILL_SERVER -> servers.pause(atNanos, index, event.pauseNanos());
            case STILL_SIDECAR -> {
                if (sidecars[index] == null) {
                    startSidecar(atNanos, index);
                }
                sidecars[index].pausedUntilNanos = atNanos + event.pauseNanos();
            }
            case STILL_CLIENTS -> clientsPausedUntilNanos = atNanos + event.pauseNanos();
            default -> startSidecar(atNanos, index);
        }
        if (event.type() == Scene.Event.GONE || event.type() == Scene.Event.COLD) {
            List<Upstream> update = List.of(entry(index));
            for (SidecarHost sidecar : sidecars) {
                if (sidecar != null) {
                    long delayNanos =
                            scenario.maxUpdateDelayNanos() == 0 ? 0 : random.nextLong(scenario.maxUpdateDelayNanos());
                    queue.schedule(
                            atNanos + delayNanos, dueNanos -> sidecar.deliverList(dueNanos, ListKind.DELTA, update));
                }
            }
        }
    }

    private Upstream entry(int index) {
        return new Upstream(index, 0, 0, 0, removed[index] ? State.GONE : State.READY, 1, startedNanos[index]);
    }

    private void startSidecar(long atNanos, int index) {
        nowNanos = atNanos;
        if (sidecars[index] != null) {
            sidecars[index].stopped = true;
        }
        sidecars[index] = new SidecarHost(index, random.nextLong());
        List<Upstream> list = new ArrayList<>();
        for (int i = 0; i < removed.length; i++) {
            if (!removed[i]) {
                list.add(entry(i));
            }
        }
        sidecars[index].module.start(CLOCK_START_NANOS + atNanos);
        sidecars[index].deliverList(atNanos, ListKind.CACHED, list);
    }

    private void arrive(long atNanos) {
        Scene.Arrivals arrivals = scenario.arrivals();
        double meanGapNanos = NANOS_PER_SECOND / arrivals.requestsPerSecond();
        double delayNanos = arrivals.evenlySpaced() ? meanGapNanos : -Math.log(1 - random.nextDouble()) * meanGapNanos;
        queue.schedule(atNanos + (long) delayNanos, this::arrive);
        int sidecar = arrivals.evenlySpaced() ? nextSidecar++ % sidecars.length : random.nextInt(sidecars.length);
        double draw = random.nextDouble();
        int classIndex = 0;
        while (classIndex + 1 < arrivals.classShares().size()
                && draw >= arrivals.classShares().get(classIndex)) {
            draw -= arrivals.classShares().get(classIndex++);
        }
        double relativeWork = 1 + arrivals.workSpread() * (2 * random.nextDouble() - 1);
        ClientRequest clientRequest =
                new ClientRequest(Math.max(atNanos, clientsPausedUntilNanos), sidecar, classIndex, relativeWork, false);
        queue.schedule(clientRequest.startNanos, dueNanos -> {
            result.secondAt(dueNanos).offered++;
            sidecars[clientRequest.sidecar].receive(dueNanos, clientRequest);
        });
    }

    /** One sidecar: executes the actions of its decision module. */
    private final class SidecarHost implements Actions {
        private final Rules module;
        private final Map<Long, Try> tries = new HashMap<>();
        private boolean stopped;
        private long pausedUntilNanos;

        SidecarHost(int rank, long seed) {
            Settings all = scenario.settings();
            this.module = new Rules(
                    new Settings(
                            rank,
                            all.replicas(),
                            all.zone(),
                            all.quantum(),
                            all.discovery(),
                            all.weights(),
                            all.classes(),
                            all.tenants(),
                            all.allowed(),
                            all.limits(),
                            all.reportFields(),
                            all.charges(),
                            all.valueByWork(),
                            all.overShareWorth()),
                    seed,
                    this);
        }

        void deliverList(long atNanos, ListKind kind, List<Upstream> entries) {
            nowNanos = atNanos;
            if (!stopped) {
                module.listChanged(CLOCK_START_NANOS + atNanos, kind, entries);
            }
        }

        /** Runs an action now, or once the sidecar is no longer paused. */
        private void runWhenResumed(long atNanos, LongConsumer action) {
            if (atNanos < pausedUntilNanos) {
                queue.schedule(pausedUntilNanos, dueNanos -> runWhenResumed(dueNanos, action));
            } else {
                nowNanos = atNanos;
                action.accept(atNanos);
            }
        }

        /**
         * Receives a request. The client computes the remaining time when it sends the request, so a pause
         * of the sidecar does not shorten it.
         */
        void receive(long atNanos, ClientRequest clientRequest) {
            long remainingNanos = clientRequest.startNanos
                    + scenario.settings()
                            .classes()
                            .get(clientRequest.classIndex)
                            .deadline()
                    - atNanos;
            runWhenResumed(atNanos, dueNanos -> {
                long id = nextRequestId++;
                tries.put(id, new Try(clientRequest, dueNanos));
                double workHint = scenario.arrivals().workHinted()
                        ? clientRequest.relativeWork * scenario.arrivals().meanWorkNanos()
                        : 0;
                module.request(
                        CLOCK_START_NANOS + dueNanos,
                        new Request(
                                id,
                                clientRequest.classIndex,
                                0,
                                0,
                                remainingNanos,
                                (long) workHint,
                                clientRequest.retry,
                                false));
            });
        }

        @Override
        public void send(long request, long upstream, long timeoutNanos) {
            Try clientTry = tries.get(request);
            ClientRequest clientRequest = clientTry.clientRequest;
            int attempt = clientTry.attempts.size();
            long sentNanos = nowNanos;
            long deadlineNanos = clientRequest.startNanos
                    + scenario.settings()
                            .classes()
                            .get(clientRequest.classIndex)
                            .deadline();
            Upstreams.Work work = new Upstreams.Work(
                    clientRequest.relativeWork,
                    (long) (clientRequest.relativeWork * scenario.arrivals().meanWorkNanos()),
                    (atNanos, outcome) -> queue.schedule(
                            atNanos + scenario.roundTripNanos() / 2,
                            dueNanos -> runWhenResumed(
                                    dueNanos,
                                    readNanos ->
                                            attemptEnded(readNanos, request, attempt, upstream, outcome, sentNanos))));
            clientTry.attempts.add(work);
            clientTry.pending.add(true);
            queue.schedule(
                    nowNanos + scenario.roundTripNanos() / 2, atNanos -> servers.submit(atNanos, (int) upstream, work));
            queue.schedule(
                    timeoutNanos > 0 ? Math.min(deadlineNanos, nowNanos + timeoutNanos) : deadlineNanos,
                    atNanos -> runWhenResumed(
                            atNanos,
                            dueNanos ->
                                    attemptEnded(dueNanos, request, attempt, upstream, Outcome.TIMEOUT, sentNanos)));
        }

        private void attemptEnded(
                long atNanos, long request, int attempt, long upstream, Outcome outcome, long sentNanos) {
            nowNanos = atNanos;
            Try clientTry = tries.get(request);
            if (stopped || !clientTry.pending.get(attempt)) {
                return;
            }
            clientTry.pending.set(attempt, false);
            if (outcome == Outcome.REJECTED) {
                result.secondAt(atNanos).rejected++;
            }
            clientTry.attempts.get(attempt).abandoned = true;
            if (outcome == Outcome.OK && !clientTry.ended) {
                clientTry.ended = true;
                RequestClass requestClass = scenario.settings().classes().get(clientTry.clientRequest.classIndex);
                if (atNanos - clientTry.clientRequest.startNanos <= requestClass.aim()) {
                    result.secondAt(clientTry.clientRequest.startNanos).inTime++;
                } else {
                    result.secondAt(clientTry.clientRequest.startNanos).answeredLate++;
                }
            }
            module.outcome(
                    CLOCK_START_NANOS + atNanos,
                    request,
                    attempt,
                    upstream,
                    outcome,
                    atNanos - sentNanos,
                    clientTry.ended,
                    new float[0]);
        }

        @Override
        public void refuse(long request, long retryAfterNanos) {
            Try clientTry = tries.get(request);
            clientTry.ended = true;
            ClientRequest clientRequest = clientTry.clientRequest;
            if (!clientTry.attempts.isEmpty()) {
                result.secondAt(nowNanos).refusedAfterAttempts++;
            } else if (clientTry.receivedNanos == nowNanos) {
                result.secondAt(nowNanos).refusedAtOnce++;
            } else {
                result.secondAt(nowNanos).refusedAfterWait++;
            }
            long retryNanos = nowNanos + Math.max(scenario.arrivals().retryDelayNanos(), retryAfterNanos);
            if (clientRequest.retry
                    || scenario.arrivals().retryDelayNanos() == 0
                    || retryNanos
                            >= clientRequest.startNanos
                                    + scenario.settings()
                                            .classes()
                                            .get(clientRequest.classIndex)
                                            .deadline()) {
                result.secondAt(clientRequest.startNanos).refused++;
                return;
            }
            queue.schedule(retryNanos, atNanos -> {
                result.secondAt(clientRequest.startNanos).retries++;
                sidecars[clientRequest.sidecar].receive(
                        atNanos,
                        new ClientRequest(
                                clientRequest.startNanos,
                                clientRequest.sidecar,
                                clientRequest.classIndex,
                                clientRequest.relativeWork,
                                true));
            });
        }

        @Override
        public void fail(long request) {
            Try clientTry = tries.get(request);
            clientTry.ended = true;
            result.secondAt(clientTry.clientRequest.startNanos).refused++;
        }

        @Override
        public void cancel(long request, int attempt) {
            Upstreams.Work work = tries.get(request).attempts.get(attempt);
            work.abandoned = true;
            work.onEnd.accept(nowNanos, Outcome.CANCELLED);
        }

        @Override
        public void timer(long token, long atNanos) {
            queue.schedule(
                    Math.max(nowNanos, atNanos - CLOCK_START_NANOS),
                    firedNanos -> runWhenResumed(firedNanos, dueNanos -> {
                        if (!stopped) {
                            module.timer(CLOCK_START_NANOS + dueNanos, token);
                        }
                    }));
        }

        @Override
        public void probe(long upstream) {
            throw new UnsupportedOperationException("probes are not simulated");
        }

        @Override
        public void closeIdle(long upstream) {}

        @Override
        public void tell(int peer, byte[] message) {}

        @Override
        public void log(String line) {}

        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchList() {}
    }
}
