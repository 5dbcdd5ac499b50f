package pondridge.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;

/**
 * Tests the table against a simulated upstream that records which requests it executed, and tests single
 * rules by example.
 */
class StreamTableTest {
    private static final long INTERNAL_ERROR = 2;

    private static StreamTable<String> tableWithLimit(long maxConcurrentStreams) {
        StreamTable<String> table = new StreamTable<>(StreamOutcomeRules.RFC9113, 1);
        table.onSettings(maxConcurrentStreams);
        return table;
    }

    /**
     * A simulated upstream that follows the protocol: it executes every fully received request unless it
     * refuses it, executes none above the last stream id of its GOAWAY, and records what it executed.
     */
    private static final class SimulatedUpstream {
        private final Random random;
        private final StreamTable<Integer> table = new StreamTable<>(StreamOutcomeRules.RFC9113, 1);
        private final TreeMap<Integer, Boolean> openStreams = new TreeMap<>();
        private final Set<Integer> fullyReceived = new HashSet<>();
        private final Set<Integer> executed = new HashSet<>();
        private final Set<Integer> responding = new HashSet<>();
        private final Map<Integer, Outcome> outcomesByAttempt = new HashMap<>();
        private final Map<Integer, Outcome> outcomesByStream = new HashMap<>();
        private int lastStreamId = Integer.MAX_VALUE;
        private long maxConcurrentStreams;
        private int attempts;

        SimulatedUpstream(long seed) {
            random = new Random(seed);
            maxConcurrentStreams = random.nextInt(8);
            table.onSettings(maxConcurrentStreams);
        }

        private void onAttemptEnd(StreamTable.AttemptEnd<Integer> end) {
            if (end != null) {
                assertNull(outcomesByAttempt.put(end.attempt(), end.outcome()), "one outcome per attempt");
                outcomesByStream.put(end.streamId(), end.outcome());
                if (end.outcome().provesNotExecuted()) {
                    assertFalse(executed.contains(end.streamId()), "outcome denies an execution: " + end);
                }
                if (end.requestIncomplete()) {
                    // Must be reset immediately, regardless of the reset budget. Streams without this flag
                    // may go on and be executed.
                    table.removeStream(end.streamId());
                    openStreams.remove(end.streamId());
                } else if (end.streamOpen() && random.nextBoolean()) {
                    table.removeStream(end.streamId());
                    openStreams.remove(end.streamId());
                }
            }
        }

        private Integer randomOpenStream() {
            List<Integer> ids = new ArrayList<>(openStreams.keySet());
            return ids.isEmpty() ? null : ids.get(random.nextInt(ids.size()));
        }

        void step() {
            int action = random.nextInt(100);
            Integer id = randomOpenStream();
            if (action < 30) {
                if (table.canOpen()) {
                    assertTrue(table.openStreams() < maxConcurrentStreams, "stream limit exceeded");
                    openStreams.put(table.open(attempts++), false);
                }
            } else if (action < 34) {
                maxConcurrentStreams = random.nextInt(10);
                table.onSettings(maxConcurrentStreams);
            } else if (action < 35 && lastStreamId == Integer.MAX_VALUE) {
                sendGoAway(random.nextBoolean() ? Integer.MAX_VALUE : highest(executed));
            } else if (action < 36 && lastStreamId != Integer.MAX_VALUE) {
                sendGoAway(Math.min(lastStreamId, highest(executed)));
            } else if (id != null) {
                actOnStream(id, action);
            }
        }

        private void sendGoAway(int announcedLastStreamId) {
            lastStreamId = announcedLastStreamId;
            table.onGoAway(announcedLastStreamId).forEach(this::onAttemptEnd);
            openStreams.keySet().removeIf(id -> id > announcedLastStreamId);
        }

        private void actOnStream(int id, int action) {
            boolean fullySent = openStreams.get(id);
            if (!fullySent && action < 60) {
                table.endStreamWritten(id);
                openStreams.put(id, true);
                fullyReceived.add(id);
            } else if (action < 72 && fullyReceived.contains(id) && id <= lastStreamId) {
                executed.add(id);
                boolean endStream = random.nextBoolean();
                onAttemptEnd(table.onHeaders(id, random.nextInt(10) == 0 ? 500 : 200, false, endStream));
                responding.add(id);
                if (endStream) {
                    openStreams.remove(id);
                }
            } else if (action < 78 && responding.contains(id)) {
                onAttemptEnd(table.onData(id, true));
                openStreams.remove(id);
            } else if (action < 83) {
                if (fullyReceived.contains(id)) {
                    executed.add(id);
                }
                onAttemptEnd(table.onReset(id, INTERNAL_ERROR));
                openStreams.remove(id);
            } else if (action < 88 && !executed.contains(id)) {
                onAttemptEnd(table.onReset(id, StreamTable.REFUSED_STREAM));
                openStreams.remove(id);
            } else if (action < 92) {
                onAttemptEnd(table.timeOut(id));
            } else if (action < 96) {
                onAttemptEnd(table.cancel(id));
            } else if (action < 97) {
                table.drain().forEach(this::onAttemptEnd);
            } else if (action < 98) {
                onAttemptEnd(table.withdraw(id));
            }
        }

        private static int highest(Set<Integer> ids) {
            return ids.stream().mapToInt(each -> each).max().orElse(0);
        }

        void loseConnection() {
            table.connectionLost().forEach(this::onAttemptEnd);
            assertEquals(attempts, outcomesByAttempt.size(), "every attempt has ended");
            assertEquals(0, table.openStreams());
            executed.forEach(id -> assertFalse(
                    outcomesByStream.get(id).provesNotExecuted(), "executed after an outcome that denied it: " + id));
        }
    }

    @Test
    void outcomesProvingNonExecutionAreCorrect() {
        int notExecuted = 0;
        for (long seed = 0; seed < 2_000; seed++) {
            SimulatedUpstream upstream = new SimulatedUpstream(seed);
            try {
                for (int i = 0; i < 300; i++) {
                    upstream.step();
                }
                upstream.loseConnection();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
            notExecuted += upstream.outcomesByAttempt.values().stream()
                    .filter(Outcome::provesNotExecuted)
                    .count();
        }
        assertTrue(notExecuted > 10_000, "such outcomes must be frequent: " + notExecuted);
    }

    @Test
    void goAwayCannotRaiseAnEarlierLastStreamId() {
        StreamTable<String> table = tableWithLimit(10);
        table.open("a");
        table.open("b");
        table.open("c");
        for (int id = 1; id <= 5; id += 2) {
            table.endStreamWritten(id);
        }
        assertEquals(List.of(), table.onGoAway(Integer.MAX_VALUE), "a graceful GOAWAY ends no attempt");
        assertFalse(table.canOpen());
        assertEquals(List.of(new StreamTable.AttemptEnd<>("c", 5, Outcome.REJECTED, false, false)), table.onGoAway(3));
        assertEquals(List.of(), table.onGoAway(7));
        assertEquals(
                List.of("a", "b"),
                table.onGoAway(0).stream().map(StreamTable.AttemptEnd::attempt).toList());
        assertEquals(0, table.openStreams());
    }

    /** An upstream that has started to respond has executed the request, whatever it claims afterwards. */
    @Test
    void requestsWithStartedResponsesCountAsExecuted() {
        StreamTable<String> table = tableWithLimit(10);
        for (String attempt : List.of("a", "b", "c")) {
            table.endStreamWritten(table.open(attempt));
        }
        table.onHeaders(1, 200, false, false);
        table.onHeaders(3, 103, false, false);
        table.onHeaders(5, 200, false, false);
        assertEquals(Outcome.RESET, table.onReset(1, StreamTable.REFUSED_STREAM).outcome());
        assertEquals(Outcome.RESET, table.onReset(3, StreamTable.REFUSED_STREAM).outcome());
        assertEquals(Outcome.RESET, table.onGoAway(0).get(0).outcome());
    }

    @Test
    void resetOutcomeDependsOnWhetherTheRequestWasFullySent() {
        StreamTable<String> table = tableWithLimit(10);
        int partial = table.open("partial");
        int complete = table.open("complete");
        int failed = table.open("failed");
        int refused = table.open("refused");
        table.endStreamWritten(complete);
        table.endStreamWritten(failed);
        table.endStreamWriteFailed(failed);
        table.endStreamWritten(refused);
        assertEquals(
                Outcome.CONNECT_FAILED, table.onReset(partial, INTERNAL_ERROR).outcome());
        assertEquals(Outcome.RESET, table.onReset(complete, INTERNAL_ERROR).outcome());
        assertEquals(
                Outcome.REJECTED,
                table.onReset(refused, StreamTable.REFUSED_STREAM).outcome());
        assertEquals(
                Outcome.CONNECT_FAILED, table.connectionLost().get(0).outcome(), "its last frame was never written");
    }

    @Test
    void responsesAreCompleteOnlyAtEndStream() {
        StreamTable<String> table = tableWithLimit(10);
        int id = table.open("a");
        table.endStreamWritten(id);
        assertNull(table.onHeaders(id, 103, false, false));
        assertNull(table.onHeaders(id, 200, false, false));
        assertNull(table.onData(id, false));
        StreamTable.AttemptEnd<String> end = table.onHeaders(id, 0, false, true);
        assertEquals(
                new StreamTable.AttemptEnd<>("a", id, Outcome.OK, false, false), end, "trailers complete the response");
        assertNull(table.onReset(id, 0), "a later reset with NO_ERROR has no effect");
        int early = table.open("early");
        assertEquals(
                new StreamTable.AttemptEnd<>("early", early, Outcome.ERROR, true, true),
                table.onHeaders(early, 200, false, true),
                "200 for a request that was not fully sent");
        int declined = table.open("declined");
        assertEquals(
                Outcome.REJECTED, table.onHeaders(declined, 503, true, true).outcome());
        for (int status : new int[] {0, 101, 600}) {
            int invalid = table.open("invalid");
            table.endStreamWritten(invalid);
            assertEquals(
                    Outcome.ERROR,
                    table.onHeaders(invalid, status, false, false).outcome());
        }
        int data = table.open("data");
        table.endStreamWritten(data);
        assertEquals(Outcome.ERROR, table.onData(data, false).outcome(), "DATA before HEADERS");
        int manyInterim = table.open("manyInterim");
        table.endStreamWritten(manyInterim);
        for (int i = 0; i < StreamTable.MAX_INTERIM_RESPONSES; i++) {
            assertNull(table.onHeaders(manyInterim, 100, false, false));
        }
        assertEquals(
                Outcome.ERROR, table.onHeaders(manyInterim, 100, false, false).outcome());
    }

    /** A stream whose attempt has ended counts until it is reset, because the upstream counts it, too. */
    @Test
    void abandonedStreamsCountUntilReset() {
        StreamTable<String> table = tableWithLimit(1);
        int id = table.open("a");
        table.endStreamWritten(id);
        assertEquals(new StreamTable.AttemptEnd<>("a", id, Outcome.TIMEOUT, true, false), table.timeOut(id));
        assertFalse(table.canOpen());
        assertNull(table.onHeaders(id, 200, false, false), "a response after the timeout is ignored");
        assertEquals(List.of(id), table.abandonedStreams());
        table.removeStream(id);
        assertTrue(table.canOpen());
    }

    @Test
    void noStreamOpensBeforeSettingsOrAfterTheLastStreamId() {
        StreamTable<String> table = new StreamTable<>(StreamOutcomeRules.RFC9113, Integer.MAX_VALUE);
        assertFalse(table.canOpen());
        table.onSettings(null);
        assertEquals(Integer.MAX_VALUE, table.open("last"));
        assertFalse(table.canOpen());
        assertFalse(table.isUsable());
    }

    @Test
    void drainEndsOnlyAttemptsThatWereNotFullySent() {
        StreamTable<String> table = tableWithLimit(10);
        int partial = table.open("partial");
        table.endStreamWritten(table.open("complete"));
        assertEquals(
                List.of(new StreamTable.AttemptEnd<>("partial", partial, Outcome.CONNECT_FAILED, true, true)),
                table.drain());
        assertFalse(table.canOpen());
        assertEquals(Outcome.RESET, table.connectionLost().get(0).outcome());
    }

    /**
     * The end of a request ends its attempt only if the attempt was not fully sent; otherwise the attempt
     * continues.
     */
    @Test
    void withdrawEndsOnlyAttemptsThatWereNotFullySent() {
        StreamTable<String> table = tableWithLimit(10);
        int partial = table.open("partial");
        int complete = table.open("complete");
        table.endStreamWritten(complete);
        StreamTable.AttemptEnd<String> end = table.withdraw(partial);
        assertEquals(Outcome.NEVER_SENT, end.outcome());
        assertTrue(end.requestIncomplete(), "its stream must be reset immediately");
        assertNull(table.withdraw(partial), "only once");
        assertNull(table.withdraw(complete));
        assertEquals("complete", table.attempt(complete));
    }
}
