package review.three;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import review.rig.Rig;

/**
 * Three sidecars and six upstreams; discovery is asked. With the trouble, all open watches fall silent, two upstreams
 * begin to drain right after, and discovery is crowded: a sidecar's next call waits for two seconds and ends with 503,
 * the one after it is answered a little before that time is over. From 6 s and the grace after the silence began
 * nothing new may go to the two upstreams.
 */
public final class SilentWatch {
    private static final String HOST = "127.0.0.1";
    private static final int SIDECARS = 3;
    private static final int UPSTREAMS = 6;
    private static final int DRAINING = 2;
    private static final int CLIENTS_PER_SIDECAR = 4;
    private static final double WORK_MS = 20;
    private static final double PAUSE_MS = 40;

    private static final int GRACE_MS = 500;
    private static final double TOLD_AFTER_SILENCE_MS = 6000;
    /** Each time limit is 50 ms longer on sockets; two limits add up here. */
    private static final double SLACK_MS = 100;

    private static final double CALL_TIMEOUT_MS = 2000;
    private static final double ANSWERED_AFTER_MS = 1800;

    private final Rig rig;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final AtomicInteger tooLate = new AtomicInteger();
    private final Set<String> sidecarsTooLate = ConcurrentHashMap.newKeySet();
    private final Map<String, String> sidecarOfRequest = new ConcurrentHashMap<>();
    private final Set<String> draining = ConcurrentHashMap.newKeySet();
    private volatile double lastSendAllowedAt = Double.MAX_VALUE;
    private volatile double lastSendAt;

    private SilentWatch(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new SilentWatch(rig).run());
    }

    private int run() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        List<Rig.Entry> entries = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            Rig.Upstream upstream = rig.upstream("s-" + i, List.of("a", "b", "c").get(i % 3), HOST, this::serve);
            upstreams.add(upstream);
            entries.add(Rig.entry(upstream, i % 3, "SERVING", 0));
        }
        Rig.Discovery discovery = rig.discovery(HOST, entries);
        List<Rig.Profile> profiles = List.of(new Rig.Profile("check", "repeatable", "all", 200, 400, 5000));
        List<Rig.Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            InetSocketAddress listen = new InetSocketAddress(HOST, Rig.freePort(HOST));
            String name = "n" + i;
            String config = Rig.config(
                    name, listen, discovery.address, discovery.fullList(), "subscribe", SIDECARS, GRACE_MS, profiles);
            sidecars.add(rig.sidecar(name, config, HOST, listen.getPort()));
        }
        sidecars.forEach(Rig.Sidecar::awaitUp);
        double end = rig.millis() + 16_000;
        List<Thread> clients = new ArrayList<>();
        for (Rig.Sidecar sidecar : sidecars) {
            for (int i = 0; i < CLIENTS_PER_SIDECAR; i++) {
                clients.add(Rig.thread(() -> client(sidecar, end)));
            }
        }
        Rig.sleep(4000);
        int callsBefore = discovery.calls();
        // The n-th call after the silence: of each sidecar one is refused first, then the calls are answered.
        discovery.pace = (path, number) ->
                !rig.trouble ? 0 : number <= callsBefore + SIDECARS ? -CALL_TIMEOUT_MS : ANSWERED_AFTER_MS;
        discovery.heartbeat();
        double silentAt = rig.millis();
        if (rig.trouble) {
            discovery.silence();
        }
        Rig.sleep(100);
        for (int i = 0; i < DRAINING; i++) {
            draining.add(upstreams.get(i).uid);
        }
        List<Rig.Entry> changed = new ArrayList<>();
        for (int i = 0; i < DRAINING; i++) {
            changed.add(Rig.entry(upstreams.get(i), i % 3, "DRAINING", 0));
        }
        lastSendAllowedAt = silentAt + TOLD_AFTER_SILENCE_MS + GRACE_MS + SLACK_MS;
        discovery.change(changed);
        for (Thread client : clients) {
            client.join();
        }
        rig.say(String.format(
                "served %d, not served %d; last request to a draining upstream %.0f ms after the silence began, allowed"
                        + " up to %.0f; requests after that %d, from %d sidecars of %d",
                served.get(),
                notServed.get(),
                lastSendAt - silentAt,
                lastSendAllowedAt - silentAt,
                tooLate.get(),
                sidecarsTooLate.size(),
                SIDECARS));
        if (served.get() < 100) {
            return Rig.NOT_RUN;
        }
        return tooLate.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private void serve(Rig.UpstreamConnection connection, Rig.Message request) throws IOException {
        double now = rig.millis();
        String id = request.header("Req-Id");
        String uid = connection.upstream.uid;
        rig.note("run " + id + " at " + uid);
        if (draining.contains(uid)) {
            lastSendAt = Math.max(lastSendAt, now);
            if (now > lastSendAllowedAt) {
                tooLate.incrementAndGet();
                sidecarsTooLate.add(sidecarOfRequest.getOrDefault(id, "?"));
                rig.note("TOO LATE: " + id + " from " + sidecarOfRequest.get(id) + " at draining " + uid);
            }
        }
        Rig.sleep(WORK_MS);
        connection.respond("200 OK", "", "answer to " + id);
    }

    private void client(Rig.Sidecar sidecar, double end) {
        Rig.Client connection = null;
        while (rig.millis() < end) {
            String id = Rig.newId();
            sidecarOfRequest.put(id, sidecar.name);
            try {
                connection = connection == null ? new Rig.Client(sidecar.address) : connection;
                rig.note("send " + id + " to " + sidecar.name);
                Rig.Message answer =
                        connection.exchange(Rig.head("GET", id, "check", null, 400, 0), new byte[0], 2000);
                (answer.status() == 200 ? served : notServed).incrementAndGet();
                rig.note("answer to " + id + ": " + answer.status());
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                notServed.incrementAndGet();
                rig.note("no answer to " + id + ": " + e);
                connection = null;
            }
            Rig.sleep(PAUSE_MS);
        }
    }
}
