package pondridge.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Options;
import pondridge.core.Directory;
import pondridge.core.Engine;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Target;
import pondridge.core.Transport;

/**
 * A sidecar of which only what follows the list is there: the real decision module in the real engine, and
 * the real client of the list, over a real socket. It has no front and no way out, so no request comes or
 * goes, and pools of connections are not in what it weighs. Of its loop's thread.
 */
final class HollowSidecar {
    private static final int MOST_OPEN = 16;

    /** Leads nowhere. */
    private static final Transport NOWHERE = new Transport() {
        @Override
        public void listed(long upstream, InetSocketAddress address, long startedMs, boolean ready) {}

        @Override
        public void gone(long upstream) {}

        @Override
        public Attempt send(long upstream, Job job, long wait, Listener listener) {
            listener.ended(Outcome.NEVER_SENT, null, LoadReports.NONE);
            return Attempt.ENDED;
        }

        @Override
        public void probe(long upstream, Listener listener) {
            listener.ended(Outcome.NEVER_SENT, null, LoadReports.NONE);
        }

        @Override
        public void closeIdle(long upstream) {}
    };

    private final int number;
    private final Knowledge knowledge;
    private final Runnable failed;
    private final Engine engine;
    private final ListWay.Link link;
    private boolean ended;

    /** One that has not begun; {@code failed} is told of each call for the list that fails. */
    HollowSidecar(
            int number,
            EventLoop loop,
            Options options,
            long seed,
            ListWay way,
            boolean region,
            Knowledge knowledge,
            Runnable failed) {
        this.number = number;
        this.knowledge = knowledge;
        this.failed = failed;
        this.engine = new Engine(loop, options, seed, MOST_OPEN, NOWHERE);
        this.link = way.attach(number, loop, region, this::listed);
    }

    /** Begins with an empty list. */
    void begin() {
        engine.start(
                new Directory() {
                    @Override
                    public void watch(boolean on) {
                        if (!ended) {
                            link.watch(on);
                        }
                    }

                    @Override
                    public void fetch() {
                        if (!ended) {
                            link.fetch();
                        }
                    }
                },
                List.of());
        link.follow();
    }

    private void listed(ListKind kind, List<Target> targets) {
        if (ended) {
            return;
        }
        engine.listed(kind, targets);
        if (kind == ListKind.FAILED) {
            failed.run();
        } else {
            knowledge.had(number, link.version(), System.nanoTime());
        }
    }

    /** Lets go of the list; timers of the module end by themselves. */
    void end() {
        ended = true;
        engine.retire();
        link.end();
    }
}
