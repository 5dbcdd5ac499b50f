package pondridge.core;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import pondridge.Balancer.Outcome;

/**
 * A way out to upstreams: carries out one attempt, and says how it ended and what that proves. It never sends
 * anything a second time; whether something is sent again is the module's to decide. All calls come on the
 * event loop, and so do all answers.
 *
 * <p><b>Proof.</b> An outcome that {@link Outcome#provesNeverRan() proves never ran} is given only where the
 * protocol proves it. When in doubt, the attempt may have run.
 */
public interface Transport {
    /** Takes an attempt's one outcome. */
    interface Listener {
        /**
         * The attempt has ended; called exactly once, perhaps within {@link Transport#send}.
         *
         * @param answer there for {@link Outcome#OK} alone
         * @param load the load report that came with it, in the settings' order; empty for none
         */
        void ended(Outcome outcome, Answer answer, float[] load);

        /**
         * Asked right before the request's first byte is written. False: nothing of it is written, and the
         * attempt ends as {@link Outcome#NEVER_SENT}. A connection may come up in the same turn of the loop
         * in which the request's time ends, and before that is told.
         */
        default boolean wanted() {
            return true;
        }

        /** The same listener, with something that is done first when the attempt ends. */
        default Listener after(Consumer<Outcome> first) {
            Listener told = this;
            return new Listener() {
                @Override
                public void ended(Outcome outcome, Answer answer, float[] load) {
                    first.accept(outcome);
                    told.ended(outcome, answer, load);
                }

                @Override
                public boolean wanted() {
                    return told.wanted();
                }
            };
        }
    }

    /** One sending of a request. */
    interface Attempt {
        /** Gives it up: it ends now, as {@link Outcome#CANCELLED} unless it has ended before. */
        void cancel();

        /**
         * Its request has ended. Unless its last byte is written, nothing more of it is, and it ends now as
         * {@link Outcome#NEVER_SENT}; else it goes on, and so does one that has ended. No work is stopped by
         * it, so it needs no permission to cancel.
         */
        void withdraw();

        /** One that has ended. */
        Attempt ENDED = new Attempt() {
            @Override
            public void cancel() {}

            @Override
            public void withdraw() {}
        };
    }

    /**
     * Takes over what the list says of an upstream. Once it is no longer ready, nothing whose last byte is
     * not yet written goes there.
     *
     * @param startedMs when the process there last started, in Unix milliseconds
     */
    void listed(long upstream, InetSocketAddress address, long startedMs, boolean ready);

    /** Takes over that an upstream is in the list no more: what is still out there ends by itself. */
    void gone(long upstream);

    /** Sends a request as one attempt; {@code wait} in nanoseconds from now bounds it. */
    Attempt send(long upstream, Job job, long wait, Listener listener);

    /** Probes an upstream: for its load report where the deployment has reports, else for its health. */
    void probe(long upstream, Listener listener);

    /** Closes the idle connections to an upstream. */
    void closeIdle(long upstream);
}
