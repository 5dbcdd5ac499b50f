import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One answer in ten of each upstream has no length and ends, whole, with its connection. Half of them at least must be
 * forwarded.
 */
final class NoLength {
    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 4;
    private static final int ONE_IN = 10;
    private static final int RUN_MS = 10_000;

    private NoLength() {}

    public static void main(String[] args) {
        Rig.main(args, NoLength::run);
    }

    private static boolean run(Rig.Record record, boolean trouble) throws Exception {
        AtomicInteger taken = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger forwarded = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < UPSTREAMS; i++) {
            Upstream upstream = new Upstream("s-" + i, "ebene", record, (self, request) -> {
                boolean noLength = trouble && taken.incrementAndGet() % ONE_IN == 0;
                if (noLength) {
                    whole.incrementAndGet();
                }
                int workMs = 45 + Math.floorMod(request.header("req-id").hashCode(), 37);
                return new Upstream.Plan(
                        workMs,
                        200,
                        (noLength ? "no length: " : "") + "held " + request.header("req-id"),
                        noLength ? Upstream.Form.UNTIL_CLOSE : Upstream.Form.LENGTH,
                        0);
            });
            discovery.set(upstream.uid, upstream.entry("SERVING", 0), false);
        }
        Rig.Settings settings = new Rig.Settings();
        settings.replaceClass("stock-hold", 400, 1000, 3, "once", "all", 1);
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
                            String id = name + j;
                            Rig.Answer answer = caller.call(
                                    id, "stock-hold", "POST", "/api/" + id, null, 1000, 700, Rig.bytes("{}"));
                            if (answer.status() == 200) {
                                served.incrementAndGet();
                                if (answer.body().startsWith("no length: ")) {
                                    forwarded.incrementAndGet();
                                }
                            } else {
                                Thread.sleep(20);
                            }
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
        record.say("served " + served + "; of " + whole + " whole answers with no length " + forwarded
                + " were forwarded");
        if (served.get() < 50) {
            throw new IllegalStateException("too few requests were served: " + served);
        }
        return 2 * forwarded.get() >= whole.get();
    }
}
