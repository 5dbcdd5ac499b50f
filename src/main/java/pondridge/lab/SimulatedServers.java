package pondridge.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.SafetyLimits;

/** The modelled servers. Each processes as many requests at a time as it has threads, and more slowly while cold. */
final class SimulatedServers {
    /** A request at a server; {@code onEnd} receives the time and the outcome of its end. */
    static final class Work {
        final double requests;
        final long warmNanos;
        final BiConsumer<Long, Outcome> onEnd;
        boolean abandoned;

        Work(double requests, long warmNanos, BiConsumer<Long, Outcome> onEnd) {
            this.requests = requests;
            this.warmNanos = warmNanos;
            this.onEnd = onEnd;
        }
    }

    /** One server, for the time between one start and the next. */
    static final class Server {
        final int number;
        final SimulationScenario.ServerModel model;
        final ColdStartBudget budget;
        final long startedNanos;
        final ArrayDeque<Work> queued = new ArrayDeque<>();
        final List<Work> inProgress = new ArrayList<>();
        boolean down;
        long pausedUntilNanos;
        long totalPauseNanos;

        Server(int number, SimulationScenario.ServerModel model, ColdStartBudget budget, long startedNanos) {
            this.number = number;
            this.model = model;
            this.budget = budget;
            this.startedNanos = startedNanos;
        }
    }

    private final EventQueue queue;
    private final SimulationResult result;
    final List<Server> servers = new ArrayList<>();
    private final SafetyLimits limits;
    private final double meanWorkNanos;

    SimulatedServers(EventQueue queue, SimulationResult result, SimulationScenario scenario) {
        this.queue = queue;
        this.result = result;
        this.limits = scenario.settings().safetyLimits();
        this.meanWorkNanos = scenario.arrivals().meanWorkNanos();
        for (SimulationScenario.ServerModel model : scenario.servers()) {
            servers.add(null);
            start(servers.size() - 1, model, -limits.rampNanos());
        }
    }

    void start(int number, SimulationScenario.ServerModel model, long nowNanos) {
        ColdStartBudget budget = new ColdStartBudget(limits, nowNanos, model.threads() / meanWorkNanos);
        servers.set(number, new Server(number, model, budget, nowNanos));
        if (nowNanos >= 0) {
            result.budgets.add(budget);
        }
    }

    /** Takes a server down; all requests that it holds end with a connection reset. */
    void crash(long nowNanos, int number) {
        Server server = servers.get(number);
        server.down = true;
        server.inProgress.forEach(work -> work.onEnd.accept(nowNanos, Outcome.RESET));
        server.queued.forEach(work -> work.onEnd.accept(nowNanos, Outcome.RESET));
        server.inProgress.clear();
        server.queued.clear();
    }

    /** Pauses a server; all requests in progress take longer by the length of the pause. */
    void pause(long nowNanos, int number, long pauseNanos) {
        Server server = servers.get(number);
        server.pausedUntilNanos = nowNanos + pauseNanos;
        server.totalPauseNanos += pauseNanos;
    }

    /** Delivers a request to a server, after its pause where it is paused. */
    void submit(long nowNanos, int number, Work work) {
        Server server = servers.get(number);
        if (nowNanos < server.pausedUntilNanos && !server.down) {
            queue.schedule(server.pausedUntilNanos, atNanos -> submit(atNanos, number, work));
            return;
        }
        result.recordArrival(nowNanos, number, work.requests);
        if (!server.budget.recordArrival(nowNanos, work.requests) && !server.down) {
            result.budgetExceeded++;
            if (server.model.crashesOnOverload()) {
                result.crashed++;
                crash(nowNanos, number);
            }
        }
        if (server.down) {
            work.onEnd.accept(nowNanos, Outcome.CONNECT_FAILED);
        } else if (server.inProgress.size() < server.model.threads()) {
            begin(nowNanos, server, work);
        } else if (server.queued.size() < server.model.queueSlots()) {
            server.queued.add(work);
        } else {
            work.onEnd.accept(nowNanos, Outcome.REJECTED);
        }
    }

    private void begin(long nowNanos, Server server, Work work) {
        server.inProgress.add(work);
        scheduleCompletion(
                nowNanos + (long) (work.warmNanos / server.budget.capacityFraction(nowNanos)),
                server,
                work,
                server.totalPauseNanos);
    }

    private void scheduleCompletion(long dueNanos, Server server, Work work, long pauseNanosAtStart) {
        queue.schedule(dueNanos, atNanos -> {
            if (server.totalPauseNanos > pauseNanosAtStart) {
                scheduleCompletion(
                        atNanos + server.totalPauseNanos - pauseNanosAtStart, server, work, server.totalPauseNanos);
                return;
            }
            if (!server.inProgress.remove(work)) {
                return;
            }
            result.recordCompleted(atNanos, server.number, work.requests);
            work.onEnd.accept(atNanos, Outcome.OK);
            while (!server.queued.isEmpty() && server.inProgress.size() < server.model.threads()) {
                Work next = server.queued.poll();
                if (!next.abandoned) {
                    begin(atNanos, server, next);
                }
            }
        });
    }
}
