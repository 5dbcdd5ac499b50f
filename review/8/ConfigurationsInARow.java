import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * New configurations move discovery between two addresses every 1.5 s, and both services answer a call after 1.8 s. An
 * upstream that begins to drain meanwhile may get new requests for 6 s, after which the change counts as told, and for
 * the grace of 2 s.
 */
final class ConfigurationsInARow {
    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 4;
    private static final int MOVES = 9;
    private static final int MOVE_EVERY_MS = 1_500;
    private static final int WAIT_MS = 1_800;
    /** From the first move to the begin of the drain. */
    private static final int DRAIN_AFTER_MS = 2_500;

    private static final int TOLD_WITHIN_MS = 6_000;
    private static final int GRACE_MS = 2_000;
    /** Each time limit is 50 ms longer on sockets. */
    private static final int SLACK_MS = 50;

    private ConfigurationsInARow() {}

    public static void main(String[] args) {
        Rig.main(args, ConfigurationsInARow::run);
    }

    private static boolean run(Rig.Record record, boolean trouble) throws Exception {
        double[] drainingSince = {Double.MAX_VALUE};
        AtomicInteger late = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Discovery> services = List.of(new Discovery(record), new Discovery(record));
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            int number = i;
            Upstream upstream = new Upstream("s-" + i, "ebene", record, (self, request) -> {
                double sinceMs = record.nowMs() - drainingSince[0];
                if (number == 0 && sinceMs > TOLD_WITHIN_MS + GRACE_MS + SLACK_MS) {
                    late.incrementAndGet();
                    record.line(String.format(
                            Locale.ROOT,
                            "sent %.0f ms after the drain began: %s",
                            sinceMs,
                            request.header("req-id")));
                }
                int workMs = 25 + Math.floorMod(request.header("req-id").hashCode(), 21);
                return new Upstream.Plan(workMs, 200, "checked", Upstream.Form.LENGTH, 0);
            });
            upstreams.add(upstream);
            for (Discovery service : services) {
                service.set(upstream.uid, upstream.entry("SERVING", 0), false);
            }
        }
        Rig.Settings settings = new Rig.Settings();
        Rig.Sidecar sidecar =
                new Rig.Sidecar("n0", settings, services.get(0).address, services.get(0).list());
        try {
            sidecar.awaitReady();
            Thread.sleep(2000);
            long end = System.nanoTime() + (MOVES * MOVE_EVERY_MS + 2_000) * 1_000_000L;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String name = "c" + i + "-";
                clients.add(Rig.daemon(() -> callUntil(end, sidecar.address, record, name, served)));
            }
            if (trouble) {
                services.forEach(service -> service.setWait(WAIT_MS));
            }
            long start = System.nanoTime();
            Rig.daemon(() -> {
                sleepUntil(start + DRAIN_AFTER_MS * 1_000_000L);
                for (Discovery service : services) {
                    service.set("s-0", upstreams.get(0).entry("DRAINING", 0), false);
                }
                drainingSince[0] = record.nowMs();
            });
            for (int move = 1; trouble && move <= MOVES; move++) {
                InetSocketAddress next = services.get(move % 2).address;
                sidecar.configure(next);
                sidecar.signal("HUP");
                record.line("new configuration: discovery at " + Rig.text(next));
                sleepUntil(start + (long) move * MOVE_EVERY_MS * 1_000_000L);
            }
            for (Thread client : clients) {
                client.join();
            }
        } finally {
            sidecar.end(record);
        }
        record.say("served " + served + " requests; " + late + " were sent to the draining upstream more than "
                + (TOLD_WITHIN_MS + GRACE_MS + SLACK_MS) + " ms after the drain began");
        if (served.get() < 100) {
            throw new IllegalStateException("too few requests were served: " + served);
        }
        return late.get() == 0;
    }

    private static void callUntil(
            long end, InetSocketAddress sidecar, Rig.Record record, String name, AtomicInteger served) {
        try (Rig.Caller caller = new Rig.Caller(sidecar, record)) {
            for (int i = 0; System.nanoTime() < end; i++) {
                String id = name + i;
                Rig.Answer answer = caller.call(id, "stock-check", "GET", "/api/" + id, null, 400, 700, new byte[0]);
                served.addAndGet(answer.status() == 200 ? 1 : 0);
                Thread.sleep(50);
            }
        } catch (Exception e) {
            record.say("client failed: " + e);
        }
    }

    private static void sleepUntil(long nanos) {
        try {
            Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
