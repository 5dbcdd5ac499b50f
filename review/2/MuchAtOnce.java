package review.two;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import review.rig.Rig;

/**
 * One sidecar, six upstreams and sixteen sound clients with a few requests a second each. With the trouble, bad clients
 * come as well: each sends two whole requests at once, a check and a confirmation with a body of 60,000 bytes, and goes
 * a little later. Every request of a sound client has to get its final answer in time.
 */
public final class MuchAtOnce {
    private static final String HOST = "127.0.0.1";
    private static final int UPSTREAMS = 6;
    private static final int CLIENTS = 16;
    private static final double WORK_MS = 80;
    private static final double PAUSE_MS = 100;
    private static final double RUN_MS = 24_000;

    private static final int BAD_CLIENTS = 150;
    private static final int PIECE_BYTES = 20_000;
    private static final double PIECE_PAUSE_MS = 3;
    private static final int BAD_BODY_BYTES = 60_000;
    private static final double BAD_STAY_MS = 500;
    private static final double BAD_EVERY_MS = 4000;
    private static final int BAD_BURSTS = 5;

    /** After the request's time an answer earns nothing for half a second; each limit is 50 ms longer on sockets. */
    private static final double LATE_MS = 500 + 50;

    private final Rig rig;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger sentAgain = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger badSent = new AtomicInteger();
    private final AtomicLong longestMillis = new AtomicLong();

    private MuchAtOnce(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new MuchAtOnce(rig).run());
    }

    private int run() throws Exception {
        List<Rig.Entry> entries = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            Rig.Upstream upstream = rig.upstream("s-" + i, List.of("a", "b", "c").get(i % 3), HOST, (connection, request) -> {
                rig.note("run " + request.header("Req-Id") + " at " + connection.upstream.uid);
                Rig.sleep(WORK_MS * (0.5 + ThreadLocalRandom.current().nextDouble()));
                connection.respond("200 OK", "", "answer to " + request.header("Req-Id"));
            });
            entries.add(Rig.entry(upstream, i % 3, "SERVING", 0));
        }
        Rig.Discovery discovery = rig.discovery(HOST, entries);
        List<Rig.Profile> profiles = List.of(
                new Rig.Profile("check", "repeatable", "all", 200, 400, 5000),
                new Rig.Profile("confirm", "by_key", "all", 500, 1500, 7500));
        InetSocketAddress listen = new InetSocketAddress(HOST, Rig.freePort(HOST));
        String config =
                Rig.config("n0", listen, discovery.address, discovery.fullList(), "subscribe", 3, 2000, profiles);
        Rig.Sidecar sidecar = rig.sidecar("n0", config, HOST, listen.getPort());
        sidecar.awaitUp();
        double end = rig.millis() + RUN_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            boolean confirms = i % 4 == 0;
            clients.add(Rig.thread(() -> client(sidecar, confirms, end)));
        }
        Rig.sleep(2500);
        for (int burst = 0; rig.trouble && burst < BAD_BURSTS; burst++) {
            double next = rig.millis() + BAD_EVERY_MS;
            rig.note(BAD_CLIENTS + " bad clients come");
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Rig.thread(() -> badClient(sidecar));
            }
            Rig.sleep(next - rig.millis());
        }
        for (Thread client : clients) {
            client.join();
        }
        boolean alive = sidecar.isAlive();
        rig.say("sound clients: sent " + sent + ", served " + served + ", refused " + refused + ", failed " + failed
                + ", sent again after a close " + sentAgain + "; later than allowed or never " + late
                + ", closed with no answer " + closed + "; longest " + longestMillis + " ms; bad clients " + badSent
                + "; sidecar " + (alive ? "alive" : "ended"));
        if (served.get() < 100) {
            return Rig.NOT_RUN;
        }
        return !alive || late.get() + closed.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private void badClient(Rig.Sidecar sidecar) {
        try (Rig.Client connection = new Rig.Client(sidecar.address)) {
            String first = Rig.newId();
            String second = Rig.newId();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(Rig.bytes(Rig.head("GET", first, "check", null, 400, 0)));
            all.write(Rig.bytes(Rig.head("POST", second, "confirm", "key-" + second, 1500, BAD_BODY_BYTES)));
            all.write(new byte[BAD_BODY_BYTES]);
            byte[] data = all.toByteArray();
            for (int from = 0; from < data.length; from += PIECE_BYTES) {
                connection.out.write(data, from, Math.min(PIECE_BYTES, data.length - from));
                connection.out.flush();
                Rig.sleep(PIECE_PAUSE_MS);
            }
            badSent.incrementAndGet();
            Rig.sleep(BAD_STAY_MS);
        } catch (IOException e) {
            rig.note("bad client: " + e);
        }
    }

    private void client(Rig.Sidecar sidecar, boolean confirms, double end) {
        Rig.Client connection = null;
        while (rig.millis() < end) {
            String id = Rig.newId();
            int deadline = confirms ? 1500 : 400;
            String head = confirms
                    ? Rig.head("POST", id, "confirm", "key-" + id, deadline, 2)
                    : Rig.head("GET", id, "check", null, deadline, 0);
            byte[] body = confirms ? Rig.bytes("{}") : new byte[0];
            sent.incrementAndGet();
            boolean fresh = connection == null;
            try {
                connection = exchange(sidecar, connection, id, head, body, deadline);
            } catch (SocketTimeoutException e) {
                late.incrementAndGet();
                rig.note("LOST: no answer to " + id);
                connection = null;
            } catch (IOException e) {
                if (fresh) {
                    closed.incrementAndGet();
                    rig.note("LOST: connection closed with no answer to " + id + ": " + e);
                } else {
                    // The close of a kept connection has crossed the request: it is sent once more on a new one.
                    rig.note("sent again: " + id);
                    sentAgain.incrementAndGet();
                    try {
                        exchange(sidecar, null, id, head, body, deadline);
                    } catch (IOException again) {
                        closed.incrementAndGet();
                        rig.note("LOST: no answer on a new connection to " + id + ": " + again);
                    }
                }
                connection = null;
            }
            Rig.sleep(PAUSE_MS * (0.5 + ThreadLocalRandom.current().nextDouble()));
        }
    }

    private Rig.Client exchange(
            Rig.Sidecar sidecar, Rig.Client kept, String id, String head, byte[] body, int deadline)
            throws IOException {
        Rig.Client connection = kept == null ? new Rig.Client(sidecar.address) : kept;
        double sentAt = rig.millis();
        rig.note("send " + id + " deadline " + deadline);
        Rig.Message answer = connection.exchange(head, body, deadline + 5000);
        double took = rig.millis() - sentAt;
        longestMillis.accumulateAndGet((long) took, Math::max);
        int status = answer.status();
        (status == 200 ? served : status == 429 || status == 503 ? refused : failed).incrementAndGet();
        rig.note(String.format("answer to %s: %d after %.0f ms", id, status, took));
        if (took > deadline + LATE_MS) {
            late.incrementAndGet();
            rig.note("LOST: " + id + " answered after " + Math.round(took) + " ms of " + deadline);
        }
        if (answer.header("Connection").equalsIgnoreCase("close")) {
            connection.close();
            return null;
        }
        return connection;
    }
}
