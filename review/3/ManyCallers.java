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
 * Ten sidecars of a fleet of twenty-four and six upstreams; discovery is asked. With the trouble, seven of the ten are
 * killed and started again at once, two upstreams begin to drain in the same moment, and discovery has too many
 * callers: of each restarted sidecar's calls the first waits for two seconds and ends with 503, the second is turned
 * away at once, and every later one is answered after a second and a half. From 6 s and the grace after the
 * change nothing new may go to the two upstreams.
 */
public final class ManyCallers {
    private static final String HOST = "127.0.0.1";
    private static final int SIDECARS = 10;
    private static final int FLEET = 24;
    private static final int KILLED = 7;
    private static final int UPSTREAMS = 6;
    private static final int DRAINING = 2;
    private static final int CLIENTS_PER_SIDECAR = 4;
    private static final double WORK_MS = 20;
    private static final double PAUSE_MS = 40;

    private static final int GRACE_MS = 500;
    private static final double TOLD_AFTER_CHANGE_MS = 6000;
    /** Each time limit is 50 ms longer on sockets; two limits add up here. */
    private static final double SLACK_MS = 100;

    private static final double CALL_TIMEOUT_MS = 2000;
    private static final double TURNED_AWAY_AFTER_MS = 20;
    private static final double ANSWERED_AFTER_MS = 1500;

    private final Rig rig;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final AtomicInteger tooLate = new AtomicInteger();
    private final Set<String> sidecarsTooLate = ConcurrentHashMap.newKeySet();
    private final Map<String, String> sidecarOfRequest = new ConcurrentHashMap<>();
    private final Set<String> draining = ConcurrentHashMap.newKeySet();
    private final Set<String> ready = ConcurrentHashMap.newKeySet();
    private volatile double lastSendAllowedAt = Double.MAX_VALUE;
    private volatile double lastSendAt;

    private ManyCallers(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new ManyCallers(rig).run());
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
                    name, listen, discovery.address, discovery.fullList(), "subscribe", FLEET, GRACE_MS, profiles);
            sidecars.add(rig.sidecar(name, config, HOST, listen.getPort()));
        }
        sidecars.forEach(Rig.Sidecar::awaitUp);
        sidecars.forEach(sidecar -> ready.add(sidecar.name));
        double end = rig.millis() + 20_000;
        List<Thread> clients = new ArrayList<>();
        for (Rig.Sidecar sidecar : sidecars) {
            for (int i = 0; i < CLIENTS_PER_SIDECAR; i++) {
                clients.add(Rig.thread(() -> client(sidecar, end)));
            }
        }
        Rig.sleep(6000);
        for (int i = 0; i < DRAINING; i++) {
            draining.add(upstreams.get(i).uid);
        }
        List<Rig.Entry> changed = new ArrayList<>();
        for (int i = 0; i < DRAINING; i++) {
            changed.add(Rig.entry(upstreams.get(i), i % 3, "DRAINING", 0));
        }
        if (rig.trouble) {
            for (Rig.Sidecar sidecar : sidecars.subList(0, KILLED)) {
                ready.remove(sidecar.name);
                sidecar.signal("KILL");
                sidecar.exitStatus(5000);
            }
            int callsBefore = discovery.calls();
            discovery.pace = (path, number) -> delayOfCall(number - callsBefore);
        }
        double changedAt = rig.millis();
        lastSendAllowedAt = changedAt + TOLD_AFTER_CHANGE_MS + GRACE_MS + SLACK_MS;
        discovery.change(changed);
        if (rig.trouble) {
            for (Rig.Sidecar sidecar : sidecars.subList(0, KILLED)) {
                sidecar.launch();
            }
            for (Rig.Sidecar sidecar : sidecars.subList(0, KILLED)) {
                sidecar.awaitUp();
                ready.add(sidecar.name);
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.say(String.format(
                "served %d, not served %d; last request to a draining upstream %.0f ms after the change, allowed up"
                        + " to %.0f; requests after that %d, from %d sidecars of %d",
                served.get(),
                notServed.get(),
                lastSendAt - changedAt,
                lastSendAllowedAt - changedAt,
                tooLate.get(),
                sidecarsTooLate.size(),
                SIDECARS));
        if (served.get() < 100) {
            return Rig.NOT_RUN;
        }
        return tooLate.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** The first call of each restarted sidecar waits in vain, the second is turned away at once. */
    private static double delayOfCall(int number) {
        if (number <= KILLED) {
            return -CALL_TIMEOUT_MS;
        }
        return number <= 2 * KILLED ? -TURNED_AWAY_AFTER_MS : ANSWERED_AFTER_MS;
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
            if (!ready.contains(sidecar.name)) {
                // The application stops and starts together with its sidecar.
                connection = null;
                Rig.sleep(PAUSE_MS);
                continue;
            }
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
