package pondridge.core;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import pondridge.Balancer.Outcome;

/**
 * Sends attempts to upstreams and reports how each ended and what that proves. It never retries; retries are
 * the balancer's decision. All calls and all callbacks are made on the event loop.
 *
 * <p><b>Proof.</b> An outcome that {@link Outcome#provesNotExecuted() proves never ran} is reported only if the
 * protocol proves it. Otherwise the attempt may have run.
 */
public interface Transport {
    /** Receives the single outcome of an attempt. */
    interface Listener {
        /**
         * The attempt has ended; called exactly once, possibly within {@link Transport#send}.
         *
         * @param response the response if the outcome is {@link Outcome#OK}, else null
         * @param load the load report of the response, in the settings' order; empty for none
         */
        void ended(Outcome outcome, UpstreamResponse response, float[] load);

        /**
         * Whether the attempt may still be written; called right before the request's first byte is written. If
         * false, nothing is written and the attempt ends as {@link Outcome#NEVER_SENT}. A connection may be
         * established in the same loop turn in which the request's deadline passes, before its timer fires.
         */
        default boolean shouldWrite() {
            return true;
        }

        /** Returns this listener with a callback that runs before {@link #ended}. */
        default Listener withCallback(Consumer<Outcome> callback) {
            Listener delegate = this;
            return new Listener() {
                @Override
                public void ended(Outcome outcome, UpstreamResponse response, float[] load) {
                    callback.accept(outcome);
                    delegate.ended(outcome, response, load);
                }

                @Override
                public boolean shouldWrite() {
                    return delegate.shouldWrite();
                }
            };
        }
    }

    /** One attempt at a request. */
    interface Attempt {
        /** Ends the attempt now, as {@link Outcome#CANCELLED}, unless it has ended before. */
        void cancel();

        /**
         * Called when the request has ended. An attempt whose last byte is not yet written ends now as
         * {@link Outcome#NEVER_SENT}, and nothing more of it is written. Any other attempt is not affected.
         * No running work is stopped, so this is allowed even where cancelling is not.
         */
        void withdraw();

        /** An attempt that has ended. */
        Attempt ENDED = new Attempt() {
            @Override
            public void cancel() {}

            @Override
            public void withdraw() {}
        };
    }

    /**
     * Applies an upstream's entry in the endpoint list. Once it is no longer ready, nothing whose last byte
     * is not yet written goes there.
     *
     * @param startedMs when its process last started, in Unix milliseconds
     */
    void updateEndpoint(long upstream, InetSocketAddress address, long startedMs, boolean ready);

    /** Removes an upstream that is no longer in the endpoint list; attempts in flight still complete. */
    void removeEndpoint(long upstream);

    /** Sends a request as one attempt, which ends at the latest after {@code timeoutNanos}. */
    Attempt send(long upstream, Job job, long timeoutNanos, Listener listener);

    /** Probes an upstream for its load report if the deployment has load reports, else for its health. */
    void probe(long upstream, Listener listener);

    /** Closes the idle connections to an upstream. */
    void closeIdle(long upstream);

    /** The number of open connections to all upstreams; the largest integer if it is not known. */
    default int openConnections() {
        return Integer.MAX_VALUE;
    }
}
