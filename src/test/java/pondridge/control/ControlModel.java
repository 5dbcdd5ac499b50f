package pondridge.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates a source, three relays (one of them below the others) and followers in virtual time. It runs the
 * real classes that decide; the same seed repeats the same run. For a minute connections break or fall
 * silent, updates arrive twice, late or truncated, readers stall, and every process restarts: the source also
 * during a write and without its history. Then the faults end, and all must have the same state by a fixed
 * deadline. Each state that an update produces is compared with what the source had committed at that
 * version.
 */
final class ControlModel {
    static final long MILLISECOND = 1_000_000;
    static final long SECOND = 1_000 * MILLISECOND;
    static final long FAULT_PHASE_END = 60 * SECOND;
    /**
     * Twice the sum of the longest backoff, the reconnect spread, the time one relay takes to serve new
     * watchers, the silence timeout and the time after which a relay is stale.
     */
    static final long CONVERGENCE_DEADLINE = FAULT_PHASE_END + 45 * SECOND;

    private static final int MAX_TOMBSTONES = 8;
    private static final int SERVICES = 12;
    private static final long SILENCE_TIMEOUT = 5 * SECOND;
    private static final long STALE_AFTER = 6 * SECOND;
    private static final UpdateScheduler.Limits SCHEDULER_LIMITS =
            new UpdateScheduler.Limits(300, 1_500, 400, 5, 40, 400 * MILLISECOND, 2 * SECOND, 4 * SECOND);
    private static final RelaySelector.Limits SELECTION_LIMITS =
            new RelaySelector.Limits(2 * SECOND, SECOND, 8 * SECOND, 20 * SECOND);

    /**
     * How an update was delivered.
     *
     * @param truncated whether one change is missing
     * @param undetectable whether one change is missing but the digest matches
     * @param sourceContactNanos when the source last confirmed the sender's state
     */
    private record Delivery(boolean truncated, boolean undetectable, long sourceContactNanos, long sentNanos) {}

    private record Event(long timeNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
            a.timeNanos != b.timeNanos ? Long.compare(a.timeNanos, b.timeNanos) : Long.compare(a.sequence, b.sequence));
    private final Random random;
    private final long seed;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Client> clients = new ArrayList<>();
    private final Map<String, Resource> desiredResources = new TreeMap<>();
    private final Map<Version, ResourceStore> committedStates = new HashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Source source;
    private long nowNanos = SECOND;
    private long sequence;
    private long lastConnectionId;
    long applied;
    long snapshotsSent;
    long deltasSent;
    long rejectedUpdates;
    long olderUpdates;
    long longestPropagationNanos;

    ControlModel(long seed, int followers) {
        this.seed = seed;
        this.random = new Random(seed);
        this.source = new Source();
        servers.put("source", source);
        Relay first = new Relay("r0", List.of("source"));
        Relay second = new Relay("r1", List.of("source"));
        Relay below = new Relay("r2", List.of("r0", "r1"));
        for (Relay each : List.of(first, second, below)) {
            servers.put(each.name, each);
            clients.add(each.client);
        }
        for (int i = 0; i < followers; i++) {
            Set<String> services = new HashSet<>();
            for (int j = 0; j < 3; j++) {
                services.add("s" + random.nextInt(SERVICES));
            }
            clients.add(new Client("f" + i, List.copyOf(services), false, List.of("r0", "r1", "r2")));
        }
    }

    void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError("seed " + seed + " at " + (nowNanos - SECOND) / MILLISECOND + " ms: " + message);
        }
    }

    private void schedule(long timeNanos, Runnable action) {
        events.add(new Event(timeNanos, sequence++, action));
    }

    private long randomBetween(long min, long max) {
        return min + (long) (random.nextDouble() * (max - min));
    }

    private boolean injectsFaults() {
        return nowNanos < FAULT_PHASE_END;
    }

    void run() {
        clients.forEach(each -> schedule(nowNanos + randomBetween(0, SECOND), each::dial));
        schedule(nowNanos, this::changeResources);
        schedule(nowNanos + 3 * SECOND, this::injectFault);
        schedule(nowNanos, this::checkServers);
        schedule(FAULT_PHASE_END, () -> cutLinks.clear());
        while (!events.isEmpty() && events.peek().timeNanos < CONVERGENCE_DEADLINE) {
            Event next = events.poll();
            nowNanos = next.timeNanos;
            next.action.run();
        }
        Version last = source.state.committed().version();
        for (Client each : clients) {
            check(
                    each.state.resources().digest(List.of())
                            == source.state.committed().digest(each.services),
                    each.name + " at version " + each.state.version() + " does not have the digest of " + last);
            check(each.state.ageNanos(nowNanos) < 8 * SECOND, each.name + " has stale state");
        }
        Map<String, Resource> actual = new TreeMap<>();
        source.state
                .committed()
                .changesSince(-1, List.of(), false)
                .forEach(each -> actual.put(
                        each.service() + '/' + each.name(),
                        new Resource(each.service(), each.name(), each.state(), each.body())));
        desiredResources.values().removeIf(Resource::isDeleted);
        check(actual.equals(desiredResources), "the source does not have the desired resources");
        PropagationStatus status = source.scheduler.propagationStatus();
        check(status.followerCount() == clients.size() - 3, "followers counted: " + status.followerCount());
        check(
                status.lowestVersion().equals(last) && status.laggingInstances().isEmpty(),
                "status " + status + " at version " + last);
        check(
                source.propagationLatency.oldestPendingNanos(nowNanos) == 0
                        && source.propagationLatency.completedCommits() > 0,
                "a commit has not reached all followers, or none was measured");
        longestPropagationNanos = source.propagationLatency.longestNanos();
    }

    /** Changes what the application wants; now and then many entries at once, as when a zone is lost. */
    private void changeResources() {
        int changeCount = random.nextInt(12) == 0 ? 40 : 1 + random.nextInt(3);
        for (int i = 0; i < changeCount; i++) {
            String service = "s" + random.nextInt(SERVICES);
            String name = "u" + random.nextInt(10);
            int kind = random.nextInt(4);
            Resource previous = desiredResources.get(service + '/' + name);
            Resource updated = kind == 0
                    ? new Resource(service, name, Resource.DELETED, "")
                    : new Resource(
                            service,
                            name,
                            kind == 1 ? "DRAINING" : "SERVING",
                            previous != null && random.nextBoolean() ? previous.body() : "b" + random.nextInt(1_000));
            desiredResources.put(service + '/' + name, updated);
            source.put(updated);
        }
        if (injectsFaults()) {
            schedule(nowNanos + randomBetween(50 * MILLISECOND, 1_200 * MILLISECOND), this::changeResources);
        }
    }

    private void injectFault() {
        if (!injectsFaults()) {
            return;
        }
        schedule(nowNanos + randomBetween(100 * MILLISECOND, 3 * SECOND), this::injectFault);
        Client client = clients.get(random.nextInt(clients.size()));
        Server server = new ArrayList<>(servers.values()).get(random.nextInt(servers.size()));
        switch (random.nextInt(8)) {
            case 0 -> client.disconnect();
            case 1 -> {
                if (client.connection != null) {
                    client.connection.silent = true;
                }
            }
            case 2 -> client.pausedUntilNanos = nowNanos + randomBetween(SECOND, 8 * SECOND);
            case 3 -> client.restart();
            case 4 -> server.crash();
            case 5 -> {
                String link = "r" + random.nextInt(2) + ">source";
                cutLinks.add(link);
                servers.values().forEach(each -> each.connections
                        .values()
                        .forEach(connection -> connection.silent |=
                                cutLinks.contains(connection.client.name + '>' + connection.server.name)));
                schedule(nowNanos + randomBetween(SECOND, 20 * SECOND), () -> cutLinks.remove(link));
            }
            default -> {}
        }
    }

    /** Checks that a server has one connection for each watcher, and measures propagation. */
    private void checkServers() {
        schedule(nowNanos + 250 * MILLISECOND, this::checkServers);
        for (Server each : servers.values()) {
            Set<String> instances = new HashSet<>();
            each.connections
                    .values()
                    .forEach(connection -> check(
                            !connection.joined || instances.add(connection.client.name),
                            each.name + " serves " + connection.client.name + " twice"));
        }
        if (source.running) {
            source.propagationLatency.recordStatus(source.scheduler.propagationStatus(), nowNanos);
        }
    }

    private abstract class Server {
        final String name;
        final Map<Long, Connection> connections = new TreeMap<>();
        final List<Long> firstUpdateTimes = new ArrayList<>();
        UpdateScheduler scheduler;
        long startedNanos;
        boolean running = true;

        Server(String name) {
            this.name = name;
        }

        abstract ResourceStore resources();

        abstract void crash();

        void startScheduler(java.util.function.LongUnaryOperator ageNanos) {
            firstUpdateTimes.clear();
            startedNanos = nowNanos;
            scheduler = new UpdateScheduler(SCHEDULER_LIMITS, this::resources, ageNanos);
        }

        void closeAllConnections() {
            snapshotsSent += scheduler.snapshotsSent();
            deltasSent += scheduler.deltasSent();
            rejectedUpdates += scheduler.rejectedUpdates();
            List.copyOf(connections.values()).forEach(connection -> connection.close(false));
        }

        void pumpAll() {
            List.copyOf(connections.values()).forEach(this::pump);
        }

        void pump(Connection connection) {
            if (!running || connections.get(connection.id) != connection || !connection.joined) {
                return;
            }
            UpdateScheduler.Action action = scheduler.nextAction(connection.id, nowNanos);
            if (action.closeReason() != null) {
                connection.close(false);
                return;
            }
            if (action.update() != null) {
                if (connection.updatesSent++ == 0) {
                    firstUpdateTimes.add(nowNanos);
                    int size = firstUpdateTimes.size();
                    check(
                            size <= 6 || nowNanos - firstUpdateTimes.get(size - 7) >= SECOND,
                            name + " serves too many new watchers a second");
                }
                int bytes = 60 + 30 * action.update().changes().size();
                scheduler.recordSentBytes(connection.id, bytes);
                connection.sendUpdate(action.update(), bytes);
            }
            if (action.keepalive()) {
                connection.send(connection.toClient, () -> connection.lastMessageNanos = nowNanos, connection);
            }
            if (connection.pumpNanos <= nowNanos || action.nextCheckNanos() < connection.pumpNanos) {
                long nextPumpNanos = Math.max(nowNanos + 1, action.nextCheckNanos());
                connection.pumpNanos = nextPumpNanos;
                schedule(nextPumpNanos, () -> {
                    if (connection.pumpNanos == nextPumpNanos) {
                        pump(connection);
                    }
                });
            }
        }
    }

    private final class Source extends Server {
        SourceState state;
        PropagationLatency propagationLatency = new PropagationLatency();
        ResourceStore durable = SourceState.newEpoch(1, MAX_TOMBSTONES);
        long incarnation;

        Source() {
            super("source");
            committedStates.put(durable.version(), durable.copy());
            start();
        }

        private void start() {
            incarnation++;
            state = new SourceState(durable, 100 * MILLISECOND, 1_000);
            propagationLatency = new PropagationLatency();
            startScheduler(time -> 0);
        }

        @Override
        ResourceStore resources() {
            return state.committed();
        }

        void put(Resource resource) {
            if (running) {
                state.put(resource, nowNanos);
                if (state.nextCommitNanos() < Long.MAX_VALUE) {
                    long expectedIncarnation = incarnation;
                    schedule(state.nextCommitNanos(), () -> commit(expectedIncarnation));
                }
            }
        }

        private void commit(long expectedIncarnation) {
            if (!running || expectedIncarnation != incarnation || state.nextCommitNanos() > nowNanos) {
                return;
            }
            ResourceStore draft = state.prepareCommit();
            if (draft == null) {
                return;
            }
            if (random.nextInt(10) == 0) {
                schedule(nowNanos + randomBetween(MILLISECOND, 300 * MILLISECOND), () -> {
                    if (expectedIncarnation == incarnation && running) {
                        state.commitFailed(nowNanos);
                        schedule(state.nextCommitNanos(), () -> commit(expectedIncarnation));
                    }
                });
                return;
            }
            schedule(nowNanos + randomBetween(MILLISECOND, 300 * MILLISECOND), () -> {
                if (expectedIncarnation != incarnation || !running) {
                    return;
                }
                durable = draft;
                ResourceStore existing = committedStates.put(draft.version(), draft.copy());
                check(
                        existing == null || existing.digest(List.of()) == draft.digest(List.of()),
                        "two different states at version " + draft.version());
                schedule(nowNanos + randomBetween(0, 5 * MILLISECOND), () -> {
                    if (expectedIncarnation == incarnation && running) {
                        state.commitSucceeded();
                        propagationLatency.recordCommit(draft.version(), nowNanos);
                        check(draft.tombstoneCount() <= MAX_TOMBSTONES, "too many tombstones");
                        pumpAll();
                        if (state.nextCommitNanos() < Long.MAX_VALUE) {
                            schedule(Math.max(nowNanos, state.nextCommitNanos()), () -> commit(expectedIncarnation));
                        }
                    }
                });
            });
        }

        @Override
        void crash() {
            if (!running) {
                return;
            }
            running = false;
            closeAllConnections();
            if (random.nextInt(4) == 0) {
                durable = SourceState.newEpoch(durable.version().epoch() + 1, MAX_TOMBSTONES);
                committedStates.put(durable.version(), durable.copy());
            }
            schedule(nowNanos + randomBetween(200 * MILLISECOND, 4 * SECOND), () -> {
                running = true;
                start();
                desiredResources.values().forEach(this::put);
            });
        }
    }

    private final class Relay extends Server {
        final Client client;

        Relay(String name, List<String> parents) {
            super(name);
            client = new Client(name, List.of(), true, parents);
            client.relay = this;
            startScheduler(time -> client.state.ageNanos(time));
        }

        @Override
        ResourceStore resources() {
            return client.state.resources();
        }

        @Override
        void crash() {
            if (running) {
                running = false;
                closeAllConnections();
                client.restart();
                schedule(nowNanos + randomBetween(200 * MILLISECOND, 6 * SECOND), () -> {
                    running = true;
                    startScheduler(time -> client.state.ageNanos(time));
                });
            }
        }
    }

    private final class Client {
        final String name;
        final List<String> services;
        final boolean isRelay;
        final List<String> parents;
        Relay relay;
        FollowerState state;
        RelaySelector selector;
        Connection connection;
        long pausedUntilNanos;
        long incarnation;
        long connectedNanos;
        /** When the source last confirmed the state that is held, plus the time spent in transit. */
        long sourceContactNanos = Long.MIN_VALUE;
        /** Whether an undetectable fault has been injected into the state. */
        boolean holdsWrongState;

        final Map<String, Long> failedNanos = new HashMap<>();

        Client(String name, List<String> services, boolean isRelay, List<String> parents) {
            this.name = name;
            this.services = services;
            this.isRelay = isRelay;
            this.parents = parents;
            reset();
        }

        private void reset() {
            state = new FollowerState(name, services, isRelay, isRelay ? MAX_TOMBSTONES : 0);
            selector = new RelaySelector(name, parents, SELECTION_LIMITS);
            sourceContactNanos = Long.MIN_VALUE;
            holdsWrongState = false;
            failedNanos.clear();
        }

        void restart() {
            if (connection != null) {
                connection.close(true);
            }
            incarnation++;
            reset();
            long expectedIncarnation = incarnation;
            schedule(nowNanos + randomBetween(100 * MILLISECOND, 2 * SECOND), () -> {
                if (expectedIncarnation == incarnation) {
                    dial();
                }
            });
        }

        void disconnect() {
            if (connection != null) {
                connection.close(true);
            }
        }

        void dial() {
            RelaySelector.DialPlan plan = selector.nextDial(nowNanos);
            long expectedIncarnation = incarnation;
            schedule(plan.atNanos(), () -> {
                if (expectedIncarnation != incarnation || connection != null) {
                    return;
                }
                Server server = servers.get(plan.relay());
                check(
                        nowNanos - failedNanos.getOrDefault(plan.relay(), 0L) >= 500 * MILLISECOND,
                        name + " dials " + plan.relay() + " again at once");
                if (!server.running || cutLinks.contains(name + '>' + server.name)) {
                    selector.recordFailure(plan.relay(), nowNanos);
                    failedNanos.put(plan.relay(), nowNanos);
                    schedule(nowNanos + randomBetween(MILLISECOND, 300 * MILLISECOND), () -> {
                        if (expectedIncarnation == incarnation && connection == null) {
                            dial();
                        }
                    });
                    return;
                }
                connection = new Connection(this, server);
                connectedNanos = nowNanos;
                connection.send(
                        connection.toServer,
                        () -> {
                            connection.server.connections.put(connection.id, connection);
                        },
                        connection);
                Connection opened = connection;
                Hello hello = state.hello();
                opened.ackedVersion = hello.version();
                opened.send(
                        opened.toServer,
                        () -> {
                            long previousId = server.scheduler.addWatcher(opened.id, hello, nowNanos);
                            opened.joined = true;
                            if (previousId >= 0 && server.connections.containsKey(previousId)) {
                                server.connections.get(previousId).close(false);
                            }
                            server.pump(opened);
                        },
                        opened);
                scheduleCheck(opened);
            });
        }

        private void scheduleCheck(Connection conn) {
            schedule(nowNanos + 500 * MILLISECOND, () -> {
                if (connection != conn) {
                    return;
                }
                if (nowNanos - conn.lastMessageNanos > SILENCE_TIMEOUT) {
                    check(
                            conn.silent
                                    || !conn.server.running
                                    || nowNanos - conn.server.startedNanos < SILENCE_TIMEOUT + SECOND
                                    || nowNanos - pausedUntilNanos < SILENCE_TIMEOUT + SECOND,
                            name + " gets no message from a running server");
                    conn.close(true);
                } else if (conn.updatesSent > 0
                        && nowNanos - connectedNanos > STALE_AFTER
                        && state.ageNanos(nowNanos) > STALE_AFTER) {
                    selector.recordFailure(conn.server.name, nowNanos);
                    conn.close(true);
                } else {
                    if (isRelay) {
                        sendAck(conn, 0, FollowerState.ApplyResult.UNCHANGED);
                    }
                    scheduleCheck(conn);
                }
            });
        }

        void connectionLost(Connection conn) {
            if (connection == conn) {
                connection = null;
                long expectedIncarnation = incarnation;
                schedule(selector.connectionLost(conn.server.name, nowNanos), () -> {
                    if (expectedIncarnation == incarnation && connection == null) {
                        dial();
                    }
                });
            }
        }

        void sendAck(Connection conn, long serial, FollowerState.ApplyResult result) {
            PropagationStatus status =
                    relay == null || !relay.running ? PropagationStatus.NONE : relay.scheduler.propagationStatus();
            Ack ack = new Ack(serial, state.version(), result, status);
            conn.send(
                    conn.toServer,
                    () -> {
                        conn.ackedVersion = result == FollowerState.ApplyResult.MISMATCH ? Version.NONE : ack.version();
                        conn.server.scheduler.handleAck(conn.id, ack);
                        conn.server.pump(conn);
                    },
                    conn);
        }

        void receive(Update update, Connection conn, boolean firstDelivery, Delivery delivery) {
            Version versionBefore = state.version();
            FollowerState.ApplyResult result = state.apply(update, nowNanos);
            check(
                    delivery.truncated
                            || holdsWrongState
                            || delivery.undetectable
                            || result != FollowerState.ApplyResult.MISMATCH,
                    name + " rejects a valid update");
            check(
                    state.version().compareTo(versionBefore) >= 0,
                    name + " went back from " + versionBefore + " to " + state.version());
            applied += result == FollowerState.ApplyResult.APPLIED ? 1 : 0;
            olderUpdates += result == FollowerState.ApplyResult.SENDER_BEHIND ? 1 : 0;
            if (result == FollowerState.ApplyResult.APPLIED || result == FollowerState.ApplyResult.UNCHANGED) {
                holdsWrongState = delivery.undetectable || holdsWrongState && !update.snapshot();
                sourceContactNanos = Math.max(
                        sourceContactNanos,
                        delivery.sourceContactNanos == Long.MIN_VALUE
                                ? Long.MIN_VALUE
                                : delivery.sourceContactNanos + nowNanos - delivery.sentNanos);
            }
            check(
                    state.ageNanos(nowNanos) == Long.MAX_VALUE
                            ? sourceContactNanos == Long.MIN_VALUE
                            : Math.abs(state.ageNanos(nowNanos) - (nowNanos - sourceContactNanos)) < 5 * MILLISECOND,
                    name + " is " + state.ageNanos(nowNanos) / MILLISECOND + " ms old and not "
                            + (nowNanos - sourceContactNanos) / MILLISECOND);
            if (isRelay && result == FollowerState.ApplyResult.APPLIED) {
                ResourceStore expected = committedStates.get(state.version());
                long sinceNumber = Math.max(
                        Math.max(expected.oldestDeltaBase(), state.resources().oldestDeltaBase()),
                        state.version().number() - random.nextInt(8));
                check(
                        Set.copyOf(expected.changesSince(sinceNumber, List.of(), true))
                                .equals(Set.copyOf(state.resources().changesSince(sinceNumber, List.of(), true))),
                        name + " has a different history than the source");
            }
            if (!state.version().equals(Version.NONE) && !holdsWrongState) {
                check(
                        state.resources().digest(List.of())
                                == committedStates.get(state.version()).digest(services),
                        name + " holds a state that the source never had at version " + state.version());
            }
            if (connection == conn) {
                conn.lastMessageNanos = nowNanos;
                if (firstDelivery) {
                    conn.undelivered--;
                }
                selector.recordSuccess(conn.server.name);
                sendAck(conn, update.serial(), result);
            }
            if (relay != null && result == FollowerState.ApplyResult.APPLIED && relay.running) {
                relay.pumpAll();
            }
        }
    }

    /** A connection that delivers in order in each direction until it breaks or falls silent. */
    private final class Connection {
        final long id = ++lastConnectionId;
        final Client client;
        final Server server;
        final long[] toServer = {nowNanos};
        final long[] toClient = {nowNanos};
        final long openedNanos = nowNanos;
        final long latencyNanos = randomBetween(MILLISECOND, 80 * MILLISECOND);
        long lastMessageNanos = nowNanos;
        boolean closed;
        boolean silent;
        boolean joined;
        Version ackedVersion = Version.NONE;
        int updatesSent;
        long pumpNanos;
        int undelivered;
        long bytesSent;

        Connection(Client client, Server server) {
            this.client = client;
            this.server = server;
        }

        void send(long[] direction, Runnable action, Connection conn) {
            direction[0] = Math.max(direction[0] + 1, nowNanos + latencyNanos + randomBetween(0, 30 * MILLISECOND));
            schedule(direction[0], () -> {
                if (!conn.closed && !conn.silent && (conn.server.running || direction == toClient)) {
                    action.run();
                }
            });
        }

        void sendUpdate(Update update, int size) {
            bytesSent += size;
            check(
                    bytesSent
                            <= (client.isRelay
                                            ? 400 + 400 * (nowNanos - openedNanos) / 1e9
                                            : 1_500 + 300 * (nowNanos - openedNanos) / 1e9)
                                    + 60
                                    + 30 * 130,
                    server.name + " sends " + bytesSent + " bytes to " + client.name);
            check(++undelivered <= 1, server.name + " has more than one unacknowledged update for " + client.name);
            check(
                    update.changes().isEmpty() || ackedVersion.compareTo(update.version()) < 0,
                    server.name + " sends changes that are already acknowledged");
            // Does not drop a tombstone on its way to a relay: the digest covers only what exists and would
            // not detect that.
            boolean truncated = injectsFaults()
                    && !update.changes().isEmpty()
                    && (client.relay == null || !update.changes().get(0).isDeleted())
                    && random.nextInt(60) == 0;
            // Consistent in itself and therefore applied; only the digest of a later update can reveal it.
            boolean undetectable = truncated && client.relay == null && random.nextInt(3) == 0;
            Delivery delivery = new Delivery(
                    truncated && !undetectable,
                    undetectable,
                    server == source ? nowNanos : ((Relay) server).client.sourceContactNanos,
                    nowNanos);
            Update delivered = !truncated
                    ? update
                    : new Update(
                            update.serial(),
                            update.version(),
                            update.snapshot(),
                            update.baseNumber(),
                            update.oldestDeltaBase(),
                            update.changes().subList(1, update.changes().size()),
                            update.missingServices(),
                            undetectable ? matchingDigest(update) : update.digest(),
                            update.ageMs());
            long expectedIncarnation = client.incarnation;
            send(toClient, () -> deliver(delivered, expectedIncarnation, true, delivery), this);
            if (injectsFaults() && random.nextInt(10) == 0) {
                // A duplicate, or the remains of a closed connection; it may arrive at any time.
                schedule(
                        nowNanos + randomBetween(10 * MILLISECOND, 9 * SECOND),
                        () -> deliver(delivered, expectedIncarnation, false, delivery));
            }
        }

        private long matchingDigest(Update update) {
            ResourceStore base = update.snapshot() ? new ResourceStore(0) : client.state.resources();
            Long digest = base.digestAfter(
                    update.changes().subList(1, update.changes().size()));
            return digest == null ? update.digest() : digest;
        }

        private void deliver(Update update, long expectedIncarnation, boolean firstDelivery, Delivery delivery) {
            if (firstDelivery && (client.incarnation != expectedIncarnation || closed)) {
                return;
            }
            if (nowNanos < client.pausedUntilNanos) {
                toClient[0] = Math.max(toClient[0] + 1, client.pausedUntilNanos);
                schedule(toClient[0], () -> deliver(update, expectedIncarnation, firstDelivery, delivery));
                return;
            }
            client.receive(update, this, firstDelivery, delivery);
        }

        /** Both ends see the end of the connection. The server may see an end by the client later. */
        void close(boolean byClient) {
            UpdateScheduler serverScheduler = server.scheduler;
            if (!byClient) {
                server.connections.remove(id, this);
                serverScheduler.removeWatcher(id);
            }
            if (closed) {
                return;
            }
            closed = true;
            if (byClient) {
                schedule(nowNanos + randomBetween(0, 3 * SECOND), () -> {
                    server.connections.remove(id, this);
                    serverScheduler.removeWatcher(id);
                });
            }
            client.connectionLost(this);
        }
    }
}
