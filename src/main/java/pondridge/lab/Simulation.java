package pondridge.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongConsumer;
import pondridge.Balancer.Actions;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Settings;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;
import pondridge.LoadBalancingPolicy;

/** Runs a {@link SimulationScenario} with the real load-balancing policy. */
public final class Simulation {
    /** Start of the policies' clock. It is not 0: a start time of 0 in a list means a server that is long warm. */
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
        final List<SimulatedServers.Work> attempts = new ArrayList<>();
        final List<Boolean> pending = new ArrayList<>();
        boolean ended;

        Try(ClientRequest clientRequest, long receivedNanos) {
            this.clientRequest = clientRequest;
            this.receivedNanos = receivedNanos;
        }
    }

    private final SimulationScenario scenario;
    private final Random random;
    private final EventQueue queue = new EventQueue();
    private final SimulationResult result;
    private final SimulatedServers servers;
    private final SidecarHost[] sidecars;
    private final long[] startedNanos;
    private final boolean[] removed;
    private long nowNanos;
    private long nextRequestId;
    private int nextSidecar;
    private long clientsPausedUntilNanos;

    private Simulation(SimulationScenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        this.result = new SimulationResult(scenario.servers().size());
        this.servers = new SimulatedServers(queue, result, scenario);
        this.sidecars = new SidecarHost[scenario.sidecars()];
        this.startedNanos = new long[scenario.servers().size()];
        this.removed = new boolean[startedNanos.length];
    }

    /** Runs the scenario to its end. */
    public static SimulationResult run(SimulationScenario scenario) {
        Simulation simulation = new Simulation(scenario);
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

    private void applyEvent(long atNanos, SimulationScenario.TimedEvent event) {
        int index = event.index();
        switch (event.type()) {
            case SERVER_REMOVED -> {
                removed[index] = true;
                servers.crash(atNanos, index);
            }
            case SERVER_RESTARTED -> {
                removed[index] = false;
                startedNanos[index] = CLOCK_START_NANOS + atNanos;
                servers.crash(atNanos, index);
                servers.start(index, scenario.servers().get(index), atNanos);
            }
            case SERVER_PAUSED -> servers.pause(atNanos, index, event.pauseNanos());
            case SIDECAR_PAUSED -> {
                if (sidecars[index] == null) {
                    startSidecar(atNanos, index);
                }
                sidecars[index].pausedUntilNanos = atNanos + event.pauseNanos();
            }
            case CLIENTS_PAUSED -> clientsPausedUntilNanos = atNanos + event.pauseNanos();
            default -> startSidecar(atNanos, index);
        }
        if (event.type() == SimulationScenario.EventType.SERVER_REMOVED
                || event.type() == SimulationScenario.EventType.SERVER_RESTARTED) {
            List<Upstream> update = List.of(entry(index));
            for (SidecarHost sidecar : sidecars) {
                if (sidecar != null) {
                    long delayNanos =
                            scenario.maxUpdateDelayNanos() == 0 ? 0 : random.nextLong(scenario.maxUpdateDelayNanos());
                    queue.schedule(
                            atNanos + delayNanos,
                            dueNanos -> sidecar.deliverList(dueNanos, EndpointListKind.DELTA, update));
                }
            }
        }
    }

    private Upstream entry(int index) {
        return new Upstream(
                index, 0, 0, 0, removed[index] ? UpstreamState.GONE : UpstreamState.READY, 1, startedNanos[index]);
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
        sidecars[index].balancer.start(CLOCK_START_NANOS + atNanos);
        sidecars[index].deliverList(atNanos, EndpointListKind.CACHED, list);
    }

    private void arrive(long atNanos) {
        SimulationScenario.Arrivals arrivals = scenario.arrivals();
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

    /** One sidecar: executes the actions of its load-balancing policy. */
    private final class SidecarHost implements Actions {
        private final LoadBalancingPolicy balancer;
        private final Map<Long, Try> tries = new HashMap<>();
        private boolean stopped;
        private long pausedUntilNanos;

        SidecarHost(int replicaIndex, long seed) {
            Settings shared = scenario.settings();
            this.balancer = new LoadBalancingPolicy(
                    new Settings(
                            replicaIndex,
                            shared.replicaCount(),
                            shared.zone(),
                            shared.minEventIntervalNanos(),
                            shared.discoveryMode(),
                            shared.weightKind(),
                            shared.classes(),
                            shared.tenants(),
                            shared.capabilities(),
                            shared.safetyLimits(),
                            shared.loadReportFields(),
                            shared.overheadCosts(),
                            shared.utilityPerWork(),
                            shared.overQuotaUtilityFraction()),
                    seed,
                    this);
        }

        void deliverList(long atNanos, EndpointListKind kind, List<Upstream> entries) {
            nowNanos = atNanos;
            if (!stopped) {
                balancer.endpointListChanged(CLOCK_START_NANOS + atNanos, kind, entries);
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
                            .deadlineNanos()
                    - atNanos;
            runWhenResumed(atNanos, dueNanos -> {
                long id = nextRequestId++;
                tries.put(id, new Try(clientRequest, dueNanos));
                double workHint = scenario.arrivals().workHinted()
                        ? clientRequest.relativeWork * scenario.arrivals().meanWorkNanos()
                        : 0;
                balancer.requestArrived(
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
                            .deadlineNanos();
            SimulatedServers.Work work = new SimulatedServers.Work(
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
                result.secondAt(atNanos).rejectedByServers++;
            }
            clientTry.attempts.get(attempt).abandoned = true;
            if (outcome == Outcome.OK && !clientTry.ended) {
                clientTry.ended = true;
                RequestClass requestClass = scenario.settings().classes().get(clientTry.clientRequest.classIndex);
                if (atNanos - clientTry.clientRequest.startNanos <= requestClass.sloNanos()) {
                    result.secondAt(clientTry.clientRequest.startNanos).servedOnTime++;
                } else {
                    result.secondAt(clientTry.clientRequest.startNanos).servedLate++;
                }
            }
            balancer.attemptEnded(
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
                result.secondAt(nowNanos).refusedImmediately++;
            } else {
                result.secondAt(nowNanos).refusedAfterQueueing++;
            }
            long retryNanos = nowNanos + Math.max(scenario.arrivals().retryDelayNanos(), retryAfterNanos);
            if (clientRequest.retry
                    || scenario.arrivals().retryDelayNanos() == 0
                    || retryNanos
                            >= clientRequest.startNanos
                                    + scenario.settings()
                                            .classes()
                                            .get(clientRequest.classIndex)
                                            .deadlineNanos()) {
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
        public void cancelAttempt(long request, int attempt) {
            SimulatedServers.Work work = tries.get(request).attempts.get(attempt);
            work.abandoned = true;
            work.onEnd.accept(nowNanos, Outcome.CANCELLED);
        }

        @Override
        public void setTimer(long token, long dueNanos) {
            queue.schedule(
                    Math.max(nowNanos, dueNanos - CLOCK_START_NANOS),
                    firedNanos -> runWhenResumed(firedNanos, resumedNanos -> {
                        if (!stopped) {
                            balancer.timerFired(CLOCK_START_NANOS + resumedNanos, token);
                        }
                    }));
        }

        @Override
        public void probe(long upstream) {
            throw new UnsupportedOperationException("probes are not simulated");
        }

        @Override
        public void closeIdleConnections(long upstream) {}

        @Override
        public void sendToPeer(int peer, byte[] message) {}

        @Override
        public void log(String line) {}

        @Override
        public void setSubscription(boolean subscribed) {}

        @Override
        public void fetchEndpointList() {}
    }
}
