package pondridge.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import pondridge.Balancer.Limits;
import pondridge.Balancer.Outcome;

/** The modelled servers. Each works on as many requests as it has threads; while cold, each takes longer. */
final class Upstreams {
    /** A request at a server; {@code told} gets its end, and when. */
    static final class Work {
        final double requests;
        final long nanos;
        final BiConsumer<Long, Outcome> told;
        boolean withdrawn;

        Work(double requests, long nanos, BiConsumer<Long, Outcome> told) {
            this.requests = requests;
            this.nanos = nanos;
            this.told = told;
        }
    }

    /** One server, from one start on. */
    static final class Server {
        final int number;
        final Scene.Machine machine;
        final ColdBudget budget;
        final long startedAt;
        final ArrayDeque<Work> waiting = new ArrayDeque<>();
        final List<Work> inWork = new ArrayList<>();
        boolean down;
        long stillUntil;
        long stood;

        Server(int number, Scene.Machine machine, ColdBudget budget, long startedAt) {
            this.number = number;
            this.machine = machine;
            this.budget = budget;
            this.startedAt = startedAt;
        }
    }

    private final Queue queue;
    private final Tally tally;
    final List<Server> servers = new ArrayList<>();
    private final Limits limits;
    private final double meanWork;

    Upstreams(Queue queue, Tally tally, Scene scene) {
        this.queue = queue;
        this.tally = tally;
        this.limits = scene.settings().limits();
        this.meanWork = scene.arrivals().work();
        for (Scene.Machine machine : scene.upstreams()) {
            servers.add(null);
            start(servers.size() - 1, machine, -limits.rampTime());
        }
    }

    void start(int number, Scene.Machine machine, long at) {
        ColdBudget budget = new ColdBudget(limits, at, machine.threads() / meanWork);
        servers.set(number, new Server(number, machine, budget, at));
        if (at >= 0) {
            tally.budgets.add(budget);
        }
    }

    /** It has gone: all that it holds breaks. */
    void gone(long now, int number) {
        Server server = servers.get(number);
        server.down = true;
        server.inWork.forEach(work -> work.told.accept(now, Outcome.RESET));
        server.waiting.forEach(work -> work.told.accept(now, Outcome.RESET));
        server.inWork.clear();
        server.waiting.clear();
    }

    /** It does nothing for a while; its work takes so much longer. */
    void still(long now, int number, long lasts) {
        Server server = servers.get(number);
        server.stillUntil = now + lasts;
        server.stood += lasts;
    }

    void take(long now, int number, Work work) {
        Server server = servers.get(number);
        if (now < server.stillUntil && !server.down) {
            queue.at(server.stillUntil, at -> take(at, number, work));
            return;
        }
        tally.reached(now, number, work.requests);
        if (!server.budget.bears(now, work.requests) && !server.down) {
            tally.overfilled++;
            if (server.machine.falls()) {
                tally.fallen++;
                gone(now, number);
            }
        }
        if (server.down) {
            work.told.accept(now, Outcome.CONNECT_FAILED);
        } else if (server.inWork.size() < server.machine.threads()) {
            begin(now, server, work);
        } else if (server.waiting.size() < server.machine.places()) {
            server.waiting.add(work);
        } else {
            work.told.accept(now, Outcome.REJECTED);
        }
    }

    private void begin(long now, Server server, Work work) {
        server.inWork.add(work);
        finish(now + (long) (work.nanos / server.budget.part(now)), server, work, server.stood);
    }

    private void finish(long then, Server server, Work work, long stood) {
        queue.at(then, at -> {
            if (server.stood > stood) {
                finish(at + server.stood - stood, server, work, server.stood);
                return;
            }
            if (!server.inWork.remove(work)) {
                return;
            }
            tally.done(at, server.number, work.requests);
            work.told.accept(at, Outcome.OK);
            while (!server.waiting.isEmpty() && server.inWork.size() < server.machine.threads()) {
                Work next = server.waiting.poll();
                if (!next.withdrawn) {
                    begin(at, server, next);
                }
            }
        });
    }
}
