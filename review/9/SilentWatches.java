import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * All open watches of a fleet of 24 sidecars fall silent, and right after two of eight upstreams begin to drain. Discovery
 * works through the new calls in turn, one call of each sidecar in 4 s. No sidecar may send to the draining upstreams
 * when the change counts as told and the grace is over.
 */
final class SilentWatches {
    private static final int SIDECARS = 24;
    private static final int UPSTREAMS = 8;
    private static final int DRAINING = 2;
    /** One call of each sidecar in 4 s; the site file allows 2 to 8 s. */
    private static final int CALL_MS = 4_000 / SIDECARS;

    private static final int TOLD_WITHIN_MS = 6_000;
    private static final int GRACE_MS = 500;
    /** Each of the two time limits is 50 ms longer on sockets. */
    private static final int SLACK_MS = 100;

    private static final int LIMIT_MS = TOLD_WITHIN_MS + GRACE_MS + SLACK_MS;
    /** The silence begins when at least so many sidecars have an open watch. */
    private static final int WATCHES = 20;

    private static final int SETTLE_LIMIT_MS = 30_000;
    private static final int AFTER_CHANGE_MS = 11_000;

    private SilentWatches() {}

    public static void main(String[] args) {
        Rig.main(args, SilentWatches::run);
    }

    private static Rig.Settings settings() {
        Rig.Settings settings = new Rig.Settings();
        settings.sidecars = SIDECARS;
        settings.graceMs = GRACE_MS;
        settings.reportFields = "";
        settings.classes = new ArrayList<>(List.of(
                new Object[] {"stop-info", 1000, 2000, 1, "repeatable", "all", 5000},
                new Object[] {"code-redeem", 800, 2000, 3, "by_key", "cell", 10000}));
        return settings;
    }

    private static boolean run(Rig.Record record, boolean trouble) throws Exception {
        double[] changedAt = {Double.MAX_VALUE};
        AtomicIntegerArray late = new AtomicIntegerArray(SIDECARS);
        double[] latest = new double[SIDECARS];
        AtomicInteger served = new AtomicInteger();
        Discovery discovery = new Discovery(record, CALL_MS);
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            int number = i;
            Upstream upstream = new Upstream("s-" + i, i % 2 == 0 ? "hki-1" : "oulu-1", record, (self, request) -> {
                String id = request.header("req-id");
                double sinceMs = record.nowMs() - changedAt[0];
                if (number < DRAINING && sinceMs > 0) {
                    int sidecar = Integer.parseInt(id.substring(1, id.indexOf('-')));
                    synchronized (latest) {
                        latest[sidecar] = Math.max(latest[sidecar], sinceMs);
                    }
                    if (sinceMs > LIMIT_MS) {
                        late.incrementAndGet(sidecar);
                        record.line(String.format(
                                Locale.ROOT, "late: %s at %s, %.0f ms after the change", id, self.uid, sinceMs));
                    }
                }
                int workMs = 20 + Math.floorMod(id.hashCode(), 20);
                return new Upstream.Plan(workMs, 200, "here", Upstream.Form.LENGTH, 0);
            });
            upstreams.add(upstream);
            discovery.set(upstream.uid, upstream.entry("SERVING", 0), false);
        }
        List<Rig.Sidecar> sidecars = new ArrayList<>();
        try {
            for (int i = 0; i < SIDECARS; i++) {
                sidecars.add(new Rig.Sidecar("n" + i, settings(), discovery.address, discovery.list()));
            }
            for (Rig.Sidecar sidecar : sidecars) {
                sidecar.awaitReady();
            }
            long settleEnd = System.nanoTime() + SETTLE_LIMIT_MS * 1_000_000L;
            while (discovery.openWatches() < WATCHES) {
                if (System.nanoTime() > settleEnd) {
                    throw new IllegalStateException("only " + discovery.openWatches() + " watches were opened");
                }
                Thread.sleep(100);
            }
            AtomicInteger running = new AtomicInteger(1);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < SIDECARS; i++) {
                int number = i;
                clients.add(Rig.daemon(
                        () -> callWhile(running, sidecars.get(number).address, record, "n" + number + "-", served)));
            }
            Thread.sleep(3_000);
            if (trouble && !discovery.silenceAfterLine(WATCHES)) {
                throw new IllegalStateException("only " + discovery.openWatches() + " watches were open");
            }
            Thread.sleep(50);
            for (int i = 0; i < DRAINING; i++) {
                discovery.set(upstreams.get(i).uid, upstreams.get(i).entry("DRAINING", 0), false);
            }
            changedAt[0] = record.nowMs();
            Thread.sleep(AFTER_CHANGE_MS);
            running.set(0);
            for (Thread client : clients) {
                client.join();
            }
        } finally {
            for (Rig.Sidecar sidecar : sidecars) {
                sidecar.end(record);
            }
        }
        int requests = 0;
        int broken = 0;
        double last = 0;
        for (int i = 0; i < SIDECARS; i++) {
            requests += late.get(i);
            broken += late.get(i) > 0 ? 1 : 0;
            last = Math.max(last, latest[i]);
            record.line(String.format(Locale.ROOT, "n%d sent last to a draining upstream after %.0f ms", i, latest[i]));
        }
        record.say(String.format(
                Locale.ROOT,
                "served %d requests; %d sidecars of %d sent %d requests to draining upstreams more than %d ms after the"
                        + " change, the last after %.0f ms",
                served.get(),
                broken,
                SIDECARS,
                requests,
                LIMIT_MS,
                last));
        if (served.get() < 1_000) {
            throw new IllegalStateException("too few requests were served: " + served);
        }
        return requests == 0;
    }

    private static void callWhile(
            AtomicInteger running,
            java.net.InetSocketAddress sidecar,
            Rig.Record record,
            String name,
            AtomicInteger served) {
        try (Rig.Caller caller = new Rig.Caller(sidecar, record)) {
            for (int i = 0; running.get() > 0; i++) {
                String id = name + i;
                Rig.Answer answer = caller.call(id, "stop-info", "GET", "/api/" + id, null, 2000, 700, new byte[0]);
                served.addAndGet(answer.status() == 200 ? 1 : 0);
                Thread.sleep(20);
            }
        } catch (Exception e) {
            record.say("client failed: " + e);
        }
    }
}
