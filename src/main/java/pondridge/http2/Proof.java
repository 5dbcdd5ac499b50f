package pondridge.http2;

import pondridge.Balancer.Outcome;

/**
 * What the end of a stream proves about the request on it (RFC 9113). An upstream begins a request when its
 * last byte has come, so one whose END_STREAM never left this process has not run. All that is left open by
 * the protocol may have run.
 *
 * <p>Not final so that a test can break one rule and show that the effect ledger notices.
 */
class Proof {
    /** The rules as they are. */
    static final Proof RFC9113 = new Proof();

    /**
     * The upstream has reset the stream. REFUSED_STREAM says that nothing was processed (section 8.7); after
     * the answer has begun that can't be true any more. No other code says anything of the kind.
     *
     * @param handed the frame with END_STREAM has been given to the socket
     * @param answering the answer has begun, if only with an interim one
     */
    Outcome reset(boolean handed, boolean answering, long code) {
        if (answering) {
            return Outcome.RESET;
        }
        if (code == StreamTable.REFUSED_STREAM) {
            return Outcome.REJECTED;
        }
        return handed ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /**
     * A GOAWAY names a lower last stream: the upstream has not taken and will not take any action on this one
     * (section 6.8). One whose answer has begun shows that the upstream errs; it may have run.
     */
    Outcome aboveLastStream(boolean answering) {
        return answering ? Outcome.RESET : Outcome.REJECTED;
    }

    /** The connection has ended, with or without a GOAWAY that still covers the stream. */
    Outcome lost(boolean handed, boolean answering) {
        return handed || answering ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /** The attempt's time is up. */
    Outcome late(boolean handed, boolean answering) {
        return handed || answering ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED;
    }

    /** Whether the request may be called unsent where the upstream is not to get anything new. */
    boolean unsent(boolean handed, boolean answering) {
        return !handed && !answering;
    }
}
