package pondridge.transport;

import pondridge.Balancer.Outcome;
import pondridge.http2.Learned;

/**
 * What is known of the protocol that one server speaks. It is learned once for each start of the server, by a
 * greeting that carries no request, and again when something breaks: the server may have come back as another
 * program. No I/O; times in nanoseconds on one clock.
 */
final class ProtocolChoice {
    /** A server that fails steadily is not greeted with each failure. */
    static final long LEARN_AGAIN = 1_000_000_000;

    /** What is to be done with a request now. */
    enum Step {
        HTTP1,
        HTTP2,
        LEARN,
        WAIT
    }

    private enum State {
        UNKNOWN,
        LEARNING,
        HTTP1,
        HTTP2
    }

    private State state = State.UNKNOWN;
    private long learnedAt;

    /** What is to be done now; after {@link Step#LEARN} the caller owes {@link #learned}. */
    Step step() {
        return switch (state) {
            case HTTP1 -> Step.HTTP1;
            case HTTP2 -> Step.HTTP2;
            case LEARNING -> Step.WAIT;
            case UNKNOWN -> {
                state = State.LEARNING;
                yield Step.LEARN;
            }
        };
    }

    /** The greeting's result; one that a restart has overtaken counts for nothing. */
    void learned(Learned result, long now) {
        if (state == State.LEARNING) {
            learnedAt = now;
            state = switch (result) {
                case HTTP2 -> State.HTTP2;
                case OTHER -> State.HTTP1;
                case NOBODY -> State.UNKNOWN;
            };
        }
    }

    /** The list tells of a new start: all is forgotten. */
    void restarted() {
        state = State.UNKNOWN;
    }

    /** The server has said that it wants HTTP/1.1. */
    void wantsHttp1(long now) {
        state = State.HTTP1;
        learnedAt = now;
    }

    /** An attempt has ended. A break may mean that another program is there now. */
    void ended(Outcome outcome, long now) {
        boolean broke = outcome == Outcome.RESET
                || outcome == Outcome.CONNECT_FAILED
                || outcome == Outcome.ERROR && state == State.HTTP1;
        if (broke && (state == State.HTTP1 || state == State.HTTP2) && now - learnedAt >= LEARN_AGAIN) {
            state = State.UNKNOWN;
        }
    }
}
