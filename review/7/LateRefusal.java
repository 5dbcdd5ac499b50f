import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Connections are reset under requests that have begun, long after. No order may be run twice: a client sends an order
 * again only while the upstreams drop its repeat, or when the sidecar has answered that this is harmless.
 */
final class LateRefusal {
    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 4;
    private static final int ONE_IN = 10;
    /** The class's time and window, as the settings give them. */
    private static final int DEADLINE_MS = 1_500;

    private static final int WINDOW_MS = 250;
    /** From the end of the work to the reset. */
    private static final int RESET_AFTER_MS = 220;

    private static final int RUN_MS = 10_000;

    private LateRefusal() {}

    public static void main(String[] args) {
        Rig.main(args, LateRefusal::run);
    }

    /** What all upstreams together know of the orders: for each key, when it was last run and how often. */
    private static final class Orders {
        private final Map<String, Double> runAt = new HashMap<>();
        private final Map<String, Integer> runs = new HashMap<>();

        /** Runs an order unless its key is still known. Returns whether it was run. */
        synchronized boolean take(String key, double nowMs) {
            Double before = runAt.get(key);
            if (before != null && nowMs - before < WINDOW_MS) {
                return false;
            }
            runAt.put(key, nowMs);
            runs.merge(key, 1, Integer::sum);
            return true;
        }

        synchronized List<String> runTwice() {
            return runs.entrySet().stream()
                    .filter(each -> each.getValue() > 1)
                    .map(Map.Entry::getKey)
                    .sorted()
                    .toList();
        }
    }

    private static boolean run(Rig.Record record, boolean trouble) throws Exception {
        Orders orders = new Orders();
        AtomicInteger taken = new AtomicInteger();
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < UPSTREAMS; i++) {
            Upstream upstream = new Upstream("s-" + i, "ebene", record, (self, request) -> {
                String id = request.header("req-id");
                String key = request.header("idempotency-key");
                boolean run = orders.take(key, record.nowMs());
                record.line(self.uid + (run ? " runs " : " drops the repeat ") + id + " key=" + key);
                boolean reset = trouble && run && taken.incrementAndGet() % ONE_IN == 0;
                int workMs = 67 + Math.floorMod(id.hashCode(), 54);
                return new Upstream.Plan(
                        workMs,
                        200,
                        "confirmed " + key,
                        reset ? Upstream.Form.RESET : Upstream.Form.LENGTH,
                        RESET_AFTER_MS);
            });
            discovery.set(upstream.uid, upstream.entry("SERVING", 0), false);
        }
        Rig.Settings settings = new Rig.Settings();
        settings.replaceClass("order-confirm", 500, DEADLINE_MS, 10, "by_key", "all", WINDOW_MS);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        Rig.Sidecar sidecar = new Rig.Sidecar("n0", settings, discovery.address, discovery.list());
        try {
            sidecar.awaitReady();
            long end = System.nanoTime() + RUN_MS * 1_000_000L;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String name = "c" + i + "-";
                clients.add(Rig.daemon(() -> {
                    try (Rig.Caller caller = new Rig.Caller(sidecar.address, record)) {
                        for (int j = 0; System.nanoTime() < end; j++) {
                            order(caller, record, name + j, served, refused, failed);
                        }
                    } catch (Exception e) {
                        record.say("client failed: " + e);
                    }
                }));
            }
            for (Thread client : clients) {
                client.join();
            }
        } finally {
            sidecar.end(record);
        }
        List<String> twice = orders.runTwice();
        twice.forEach(key -> record.say("run twice: the order with key " + key));
        record.say("served " + served + ", refused " + refused + ", failed " + failed + "; " + twice.size()
                + " orders were run twice");
        if (served.get() < 50) {
            throw new IllegalStateException("too few orders were served: " + served);
        }
        return twice.isEmpty();
    }

    /** Sends an order, and at most once again where that can't run it twice as far as the client is told. */
    private static void order(
            Rig.Caller caller,
            Rig.Record record,
            String name,
            AtomicInteger served,
            AtomicInteger refused,
            AtomicInteger failed)
            throws Exception {
        String key = "key-" + name;
        byte[] body = Rig.bytes("{\"order\":\"" + name + "\"}");
        Rig.Answer first =
                caller.call(name + "-1", "order-confirm", "POST", "/api/" + name, key, DEADLINE_MS, 700, body);
        count(first, served, refused, failed);
        int waitMs = 40;
        double againMs = record.nowMs() + waitMs;
        boolean harmless = first.status() == 503 || first.status() == 429;
        boolean insideWindow = againMs - first.sentMs() < WINDOW_MS - 100;
        int leftMs = (int) (first.sentMs() + DEADLINE_MS - againMs);
        if (first.status() != 200 && (harmless || insideWindow) && leftMs > 50) {
            Thread.sleep(waitMs);
            count(
                    caller.call(name + "-2", "order-confirm", "POST", "/api/" + name, key, leftMs, 700, body),
                    served,
                    refused,
                    failed);
        }
    }

    private static void count(
            Rig.Answer answer, AtomicInteger served, AtomicInteger refused, AtomicInteger failed) {
        boolean harmless = answer.status() == 503 || answer.status() == 429;
        (answer.status() == 200 ? served : harmless ? refused : failed).incrementAndGet();
    }
}
