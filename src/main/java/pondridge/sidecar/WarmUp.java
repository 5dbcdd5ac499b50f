package pondridge.sidecar;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.List;
import pondridge.Balancer;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.Request;
import pondridge.Balancer.Settings;
import pondridge.Balancer.State;
import pondridge.Balancer.Upstream;
import pondridge.Options;
import pondridge.Rules;
import pondridge.core.Job;
import pondridge.http1.Upstreams;

/**
 * Loads and compiles what every request runs through, before the first client comes: the sidecar asks its own
 * frontend, and an instance of the module that nobody hears decides for requests that do not exist.
 */
final class WarmUp {
    private static final int ROUNDS = 600;
    private static final long PATIENCE = 1_000_000_000;
    /** On a crowded core a cold sidecar is better than a late one. */
    private static final long LONGEST = 3_000_000_000L;

    private static final long STEP = 10_000_000;
    private static final Job UP =
            new Job(0, 0, 0, 0, 0, false, HttpMethod.GET, "/up", new DefaultHttpHeaders(), new byte[0]);

    private final Upstreams self;
    private final Runnable done;
    private final long began = System.nanoTime();

    private WarmUp(Upstreams self, Runnable done) {
        this.self = self;
        this.done = done;
    }

    /** Runs on the loop; {@code done} follows also if the frontend can't be reached. */
    static void run(EventLoop loop, Options options, InetSocketAddress frontend, Runnable done) {
        decide(options.settings());
        Upstreams self = new Upstreams(loop, options, 1);
        self.listed(0, frontend, 0, true);
        new WarmUp(self, done).ask(ROUNDS);
    }

    /** The frontend is not ready and answers 503: the way there and back is the same. */
    private void ask(int left) {
        if (left == 0 || System.nanoTime() - began > LONGEST) {
            self.close();
            done.run();
            return;
        }
        self.send(0, UP, PATIENCE, (outcome, answer, load) -> ask(outcome == Outcome.ERROR ? left - 1 : 0));
    }

    private static void decide(Settings settings) {
        Balancer rules = new Rules(settings, 0, new Unheard());
        long now = System.nanoTime() & Long.MAX_VALUE;
        rules.start(now);
        rules.listChanged(
                now,
                ListKind.CACHED,
                List.of(new Upstream(1, 0, 0, 0, State.READY, 1, 0), new Upstream(2, 0, 0, 0, State.READY, 1, 0)));
        for (int i = 0; i < ROUNDS; i++) {
            now += STEP;
            rules.request(now, new Request(i, i % settings.classes().size(), 0, 0, PATIENCE, 0, false, false));
            rules.outcome(now + STEP / 2, i, 0, 1, Outcome.OK, STEP / 2, true, new float[0]);
            rules.timer(now + STEP / 2, i);
        }
    }

    private static final class Unheard implements Balancer.Actions {
        @Override
        public void send(long request, long upstream, long timeout) {}

        @Override
        public void refuse(long request, long wait) {}

        @Override
        public void fail(long request) {}

        @Override
        public void cancel(long request, int attempt) {}

        @Override
        public void timer(long token, long at) {}

        @Override
        public void probe(long upstream) {}

        @Override
        public void closeIdle(long upstream) {}

        @Override
        public void tell(int peer, byte[] message) {}

        @Override
        public void log(String line) {}

        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchList() {}
    }
}
