package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.RecordingHost.MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.Upstream;
import pondridge.Balancer.UpstreamState;

/** Checks the actions on long random sequences of valid events against an independent record of each request. */
class RandomEventsTest {
    private static final long DEADLINE = 1_000 * MS;
    private static final long SLACK = 20 * MS;
    private static final List<RequestClass> CLASSES = List.of(
            RecordingHost.REPEATABLE,
            RecordingHost.ONCE,
            RecordingHost.BY_KEY_IN_CELL,
            RecordingHost.BY_KEY_ANYWHERE,
            RecordingHost.requestClass(RetrySemantics.BY_KEY, KeyScope.ZONE));

    private static final class RequestRecord {
        final RequestClass requestClass;
        final long deadline;
        final List<RecordingHost.SentAttempt> attempts = new ArrayList<>();
        final Map<Integer, Outcome> outcomes = new HashMap<>();
        int finalResponses;

        RequestRecord(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        boolean mayHaveRun(int attempt) {
            Outcome outcome = outcomes.get(attempt);
            return outcome == null || !outcome.provesNotExecuted();
        }
    }

    private final Map<Long, RequestRecord> requestRecords = new HashMap<>();
    private final Map<Long, UpstreamState> states = new HashMap<>();
    private final Set<Integer> checkedSends = new HashSet<>();
    private final List<Long> pendingProbes = new ArrayList<>();
    private int probeCount;
    private int actionsChecked;
    private RecordingHost host;

    /** Checks each action since the last event. */
    private void checkActions() {
        int sendsSeen = checkedSends.size();
        for (; actionsChecked < host.actions.size(); actionsChecked++) {
            String[] action = host.actions.get(actionsChecked).split(" ");
            switch (action[0]) {
                case "send" -> {
                    RecordingHost.SentAttempt sent = host.sends.get(sendsSeen);
                    checkedSends.add(sendsSeen++);
                    checkSend(sent);
                }
                case "probe" -> {
                    pendingProbes.add(Long.parseLong(action[1]));
                    probeCount++;
                }
                case "refuse", "fail" -> checkFinalResponse(action[0], Long.parseLong(action[1]));
                default -> {}
            }
        }
    }

    private void checkSend(RecordingHost.SentAttempt sent) {
        RequestRecord record = requestRecords.get(sent.request());
        assertEquals(0, record.finalResponses, "sent after its final response: " + sent);
        assertEquals(UpstreamState.READY, states.get(sent.upstream()), "upstream not ready: " + sent);
        assertTrue(record.attempts.size() < 3, "try limit: " + sent);
        RecordingHost.SentAttempt uncertain = null;
        for (RecordingHost.SentAttempt earlier : record.attempts) {
            if (uncertain == null && record.mayHaveRun(earlier.attempt())) {
                uncertain = earlier;
            }
        }
        if (uncertain != null) {
            assertTrue(record.requestClass.retrySemantics() != RetrySemantics.ONCE, "once sent twice: " + sent);
            if (record.requestClass.retrySemantics() == RetrySemantics.BY_KEY) {
                assertTrue(
                        sent.sentAt() < uncertain.sentAt() + record.requestClass.keyTtlNanos(), "key expired: " + sent);
                long a = uncertain.upstream();
                long b = sent.upstream();
                switch (record.requestClass.keyScope()) {
                    case ZONE -> assertEquals(a % 2, b % 2, "zone: " + sent);
                    case CELL -> assertEquals(a / 3, b / 3, "cell: " + sent);
                    default -> {}
                }
            }
        }
        record.attempts.add(sent);
    }

    private void checkFinalResponse(String response, long id) {
        RequestRecord record = requestRecords.get(id);
        assertEquals(1, ++record.finalResponses, "second final response: " + id);
        assertTrue(host.now <= record.deadline + SLACK, "late final response: " + id);
        RecordingHost.SentAttempt uncertain = record.attempts.stream()
                .filter(sent -> record.mayHaveRun(sent.attempt()))
                .findFirst()
                .orElse(null);
        boolean retrySafe = uncertain == null
                || record.requestClass.retrySemantics() == RetrySemantics.REPEATABLE
                || record.requestClass.retrySemantics() == RetrySemantics.BY_KEY
                        && record.requestClass.keyScope() == KeyScope.ALL
                        && host.now + record.requestClass.deadlineNanos()
                                < uncertain.sentAt() + record.requestClass.keyTtlNanos();
        assertTrue(response.equals("fail") || retrySafe, "refused, but it may have run: " + id);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void invariantsHold(long seed) {
        run(seed, RecordingHost.settings(CLASSES.toArray(new RequestClass[0])));
        assertTrue(pendingProbes.isEmpty(), "no probe is allowed");
    }

    /** Probes get a response at once, late, with a failure, with a truncated report, or never. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18})
    void invariantsHoldWithProbesBeforeASend(long seed) {
        run(seed, RecordingHost.probingSettings(500, CLASSES.toArray(new RequestClass[0])));
        assertTrue(probeCount > 100, "too few probes: " + probeCount);
    }

    private void respondToProbes(Random random) {
        while (!pendingProbes.isEmpty() && random.nextInt(6) > 0) {
            long upstream = pendingProbes.remove(random.nextInt(pendingProbes.size()));
            if (random.nextInt(20) > 0) {
                Outcome outcome = random.nextInt(10) > 0 ? Outcome.OK : Outcome.TIMEOUT;
                float[] load = random.nextInt(20) == 0 ? new float[0] : new float[] {0, random.nextInt(4)};
                host.policy.probeEnded(host.now, upstream, outcome, MS, load);
                checkActions();
            }
        }
    }

    private void run(long seed, Balancer.Settings settings) {
        Random random = new Random(seed);
        host = new RecordingHost(settings, seed);
        int upstreams = 1 + random.nextInt(12);
        List<Upstream> first = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            first.add(RecordingHost.upstream(i));
            states.put((long) i, UpstreamState.READY);
        }
        host.policy.endpointListChanged(host.now, EndpointListKind.CACHED, first);
        List<RecordingHost.SentAttempt> outstanding = new ArrayList<>();
        int collected = 0;
        long nextId = 0;
        for (int step = 0; step < 10_000; step++) {
            int event = random.nextInt(100);
            if (event < 40) {
                long timeLeft = random.nextInt(10) == 0 ? random.nextInt(30) * MS : DEADLINE;
                int requestClass = random.nextInt(CLASSES.size());
                requestRecords.put(nextId, new RequestRecord(CLASSES.get(requestClass), host.now + timeLeft));
                host.request(nextId++, requestClass, timeLeft);
            } else if (event < 70 && !outstanding.isEmpty()) {
                end(outstanding.remove(random.nextInt(outstanding.size())), random);
            } else if (event < 72) {
                change(random, upstreams);
            } else if (event < 73 && nextId > 0) {
                long id = nextId - 1 - random.nextInt((int) Math.min(nextId, 20));
                if (requestRecords.get(id).finalResponses == 0) {
                    requestRecords.get(id).finalResponses++;
                    host.policy.clientDisconnected(host.now, id);
                }
            } else {
                tick(random.nextInt(8));
            }
            checkActions();
            respondToProbes(random);
            while (collected < host.sends.size()) {
                outstanding.add(host.sends.get(collected++));
            }
            for (int i = outstanding.size() - 1; i >= 0; i--) {
                if (host.now >= requestRecords.get(outstanding.get(i).request()).deadline) {
                    RecordingHost.SentAttempt sent = outstanding.remove(i);
                    finish(sent, Outcome.TIMEOUT);
                }
            }
            checkActions();
        }
        tick(3_000);
        checkActions();
        requestRecords.forEach(
                (id, record) -> assertEquals(1, record.finalResponses, "final responses of request " + id));
        assertTrue(nextId > 2_000, "too few requests");
    }

    /** Advances the clock in steps of the minimum event interval, as a host with a batch clock does. */
    private void tick(int millis) {
        for (int passed = 0; passed < millis; passed += 5) {
            host.advance(5 * MS);
            checkActions();
        }
    }

    private void end(RecordingHost.SentAttempt sent, Random random) {
        int draw = random.nextInt(10);
        finish(sent, draw < 6 ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)]);
    }

    private void finish(RecordingHost.SentAttempt sent, Outcome outcome) {
        RequestRecord record = requestRecords.get(sent.request());
        boolean alreadyEnded = record.finalResponses > 0;
        record.outcomes.put(sent.attempt(), outcome);
        if (outcome == Outcome.OK && !alreadyEnded) {
            record.finalResponses++;
        }
        host.policy.attemptEnded(
                host.now,
                sent.request(),
                sent.attempt(),
                sent.upstream(),
                outcome,
                host.now - sent.sentAt(),
                alreadyEnded || outcome == Outcome.OK,
                new float[0]);
        checkActions();
    }

    private void change(Random random, int upstreams) {
        long id = random.nextInt(upstreams);
        UpstreamState state = UpstreamState.values()[random.nextInt(3)];
        long startedAt = state == UpstreamState.READY && states.get(id) == UpstreamState.GONE ? host.now - 100 * MS : 0;
        states.put(id, state);
        host.policy.endpointListChanged(
                host.now, EndpointListKind.DELTA, List.of(RecordingHost.upstream(id, state, startedAt)));
        checkActions();
    }
}
