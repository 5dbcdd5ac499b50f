package pondridge.transport;

import pondridge.Balancer.Outcome;
import pondridge.http2.ProtocolProbeResult;

/**
 * Tracks which protocol one server speaks. The protocol is detected once for each start of the server, with a
 * connection preface that carries no request, and again after a connection failure, since the server may have
 * been replaced by another program. No I/O; times in nanoseconds on one clock.
 */
final class ProtocolDetector {
    /** Minimum interval between detections, so that a server that keeps failing is not probed on each failure. */
    static final long MIN_DETECTION_INTERVAL_NANOS = 1_000_000_000;

    /** How to proceed with a request. */
    enum Step {
        HTTP1,
        HTTP2,
        DETECT,
        WAIT
    }

    private enum State {
        UNKNOWN,
        DETECTING,
        HTTP1,
        HTTP2
    }

    private State state = State.UNKNOWN;
    private long detectedAtNanos;

    /** Returns how to proceed; after {@link Step#DETECT} the caller must call {@link #detected}. */
    Step step() {
        return switch (state) {
            case HTTP1 -> Step.HTTP1;
            case HTTP2 -> Step.HTTP2;
            case DETECTING -> Step.WAIT;
            case UNKNOWN -> {
                state = State.DETECTING;
                yield Step.DETECT;
            }
        };
    }

    /** Records the result of a detection; it is ignored if the server was restarted or became known meanwhile. */
    void detected(ProtocolProbeResult result, long nowNanos) {
        if (state == State.DETECTING) {
            detectedAtNanos = nowNanos;
            state = switch (result) {
                case HTTP2 -> State.HTTP2;
                case NOT_HTTP2 -> State.HTTP1;
                case UNREACHABLE -> State.UNKNOWN;
            };
        }
    }

    /** The endpoint list reports a new start of the server: the protocol is unknown again. */
    void restarted() {
        state = State.UNKNOWN;
    }

    /** The server has requested HTTP/1.1. */
    void http1Required(long nowNanos) {
        state = State.HTTP1;
        detectedAtNanos = nowNanos;
    }

    /** An attempt has ended. A connection failure may mean that another program has replaced the server. */
    void attemptEnded(Outcome outcome, long nowNanos) {
        boolean mayBeReplaced = outcome == Outcome.RESET
                || outcome == Outcome.CONNECT_FAILED
                || outcome == Outcome.ERROR && state == State.HTTP1;
        if (mayBeReplaced
                && (state == State.HTTP1 || state == State.HTTP2)
                && nowNanos - detectedAtNanos >= MIN_DETECTION_INTERVAL_NANOS) {
            state = State.UNKNOWN;
        }
    }
}
