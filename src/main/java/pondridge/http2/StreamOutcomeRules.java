package pondridge.http2;

import pondridge.Balancer.Outcome;

/**
 * Decides what the end of a stream proves about whether its request was executed (RFC 9113). An upstream starts
 * executing a request only after receiving its last byte, so a request whose END_STREAM frame never left this
 * process has not been executed. Where the protocol leaves the question open, the request may have been executed.
 *
 * <p>Not final, so that a test can break one rule and check that the execution ledger detects it.
 */
class StreamOutcomeRules {
    /** The rules of RFC 9113. */
    static final StreamOutcomeRules RFC9113 = new StreamOutcomeRules();

    /**
     * The upstream has reset the stream. REFUSED_STREAM states that nothing was processed (section 8.7), which
     * cannot be true once the response has started. No other error code makes such a statement.
     *
     * @param endStreamWritten the frame with END_STREAM has been passed to the socket
     * @param responseStarted the response has started, even if only with an interim response
     */
    Outcome afterReset(boolean endStreamWritten, boolean responseStarted, long code) {
        if (responseStarted) {
            return Outcome.RESET;
        }
        if (code == StreamTable.REFUSED_STREAM) {
            return Outcome.REJECTED;
        }
        return endStreamWritten ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /**
     * A GOAWAY names a lower last stream: the upstream has not acted and will not act on this one (section 6.8).
     * If the response has already started, the upstream is in error and the request may have been executed.
     */
    Outcome aboveLastStream(boolean responseStarted) {
        return responseStarted ? Outcome.RESET : Outcome.REJECTED;
    }

    /** The connection has ended, with or without a GOAWAY whose last stream covers this one. */
    Outcome afterConnectionLoss(boolean endStreamWritten, boolean responseStarted) {
        return endStreamWritten || responseStarted ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /** The attempt's deadline has passed. */
    Outcome afterTimeout(boolean endStreamWritten, boolean responseStarted) {
        return endStreamWritten || responseStarted ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED;
    }

    /** Whether the request counts as unsent when the upstream must receive no new requests. */
    boolean provesUnsent(boolean endStreamWritten, boolean responseStarted) {
        return !endStreamWritten && !responseStarted;
    }
}
