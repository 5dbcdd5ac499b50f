package pondridge.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Random polls, reads and standstills of one socket, against a model that knows when everything arrived. */
class ReadProgressTest {
    private static final long FIRST_SEED = Long.getLong("seed", 1);
    private static final int SEEDS = 2_000;
    private static final int TURNS = 200;
    private static final long MAX_BLOCK_NANOS = 30_000_000;
    /** What arrives within an uninterrupted poll may count as having arrived when it returned. */
    private static final long SLACK_NANOS = MAX_BLOCK_NANOS;

    private static final int READ_LIMIT = 3;

    /** A socket with arrivals, and an event loop that polls and reads it. */
    private static final class Model {
        private final Random random;
        private final long seed;
        private final PollTimes polls = new PollTimes(MAX_BLOCK_NANOS);
        private final ReadProgress progress;
        /** Arrival times of data that has not been read. */
        private final ArrayDeque<Long> unread = new ArrayDeque<>();

        private long now = 1;
        private long nextArrival;
        /** While a listener pauses after a failure, its socket is not polled. */
        private int pausedTurns;

        private int turnsSinceIncompleteRead;
        private long previousTurnStart = 1;

        Model(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
            polls.pollStarted(now);
            progress = new ReadProgress(polls, now);
            nextArrival = now + random.nextInt(50_000_000);
        }

        /** Time passes: mostly little, sometimes a standstill. */
        private void advance(long typicalNanos) {
            long stall = random.nextInt(20) == 0 ? random.nextInt(600_000_000) : 0;
            advanceTo(now + 1 + random.nextInt((int) typicalNanos) + stall);
        }

        private void advanceTo(long time) {
            while (nextArrival <= time) {
                unread.add(nextArrival);
                nextArrival += 1 + random.nextInt(random.nextBoolean() ? 1_000_000 : 80_000_000);
            }
            now = time;
        }

        private void check(boolean holds, String problem) {
            assertTrue(holds, () -> problem + ", seed " + seed + " at " + now + " ns");
        }

        private void checkBounds() {
            if (!unread.isEmpty()) {
                check(
                        progress.dataArrivedAfter() - SLACK_NANOS < unread.peek(),
                        "unread data arrived before its bound");
                check(progress.endArrivedAfter() - SLACK_NANOS < unread.peekLast(), "an end may have arrived before");
            }
        }

        private void read() {
            checkBounds();
            long arrivedAfter = progress.dataArrivedAfter();
            if (random.nextInt(30) == 0) {
                pausedTurns = random.nextInt(4);
                progress.dataRead(arrivedAfter, true);
                turnsSinceIncompleteRead = 0;
                return;
            }
            long readAt = now;
            if (unread.isEmpty()) {
                progress.foundEmpty(readAt);
                return;
            }
            for (int i = 0; i < READ_LIMIT && !unread.isEmpty(); i++) {
                unread.poll();
            }
            progress.dataRead(arrivedAfter, !unread.isEmpty());
            turnsSinceIncompleteRead = unread.isEmpty() ? turnsSinceIncompleteRead : 0;
        }

        void turn() {
            long turnStart = now;
            polls.pollStarted(now);
            advance(100_000);
            boolean readable = !unread.isEmpty();
            if (!readable) {
                advanceTo(Math.min(now + MAX_BLOCK_NANOS - 1_000_000, nextArrival));
                readable = !unread.isEmpty();
            }
            advance(1_000_000);
            polls.pollReturned(now);
            advance(1_000_000);
            turnsSinceIncompleteRead++;
            if (pausedTurns > 0) {
                turnsSinceIncompleteRead = 0;
                pausedTurns--;
            } else if (readable) {
                read();
            }
            if (pausedTurns == 0 && random.nextInt(5) == 0) {
                advance(1_000_000);
                read();
            }
            polls.eventsHandled();
            checkBounds();
            advance(1_000_000);
            checkTightness(turnStart);
            previousTurnStart = turnStart;
        }

        /** With complete reads only, the bound is not older than the turn before this one. */
        private void checkTightness(long turnStart) {
            if (turnsSinceIncompleteRead > 2) {
                check(progress.dataArrivedAfter() >= previousTurnStart, "the bound is older than two turns");
            }
        }
    }

    @Test
    void nothingIsOlderThanItsBoundWhateverStallsAndReadLimitsThereAre() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            Model model = new Model(seed);
            for (int i = 0; i < TURNS; i++) {
                model.turn();
            }
        }
    }
}
