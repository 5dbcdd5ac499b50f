package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import pondridge.http1.StubServer;

/** Clients of a deployed process that send one small request at a time, on kept connections and on new ones. */
final class SoundClients {
    private static final int MEMORY_LIMIT_MB = 192;
    private static final int CLIENTS = 3;
    private static final int SOUND_DEADLINE_MS = 1_000;
    /** A final response may come up to half a second after the deadline, and limits on sockets are 50 ms longer. */
    private static final int ALLOWED_LATENESS_MS = 550;

    private static final int SOUND_PAUSE_MS = 20;

    private final DeployedProcess sidecar;
    private final Tally kept = new Tally();
    private final Tally fresh = new Tally();

    SoundClients(DeployedProcess sidecar) {
        this.sidecar = sidecar;
    }

    /** Sends requests for this long. */
    void run(long runMs) throws InterruptedException {
        long end = System.nanoTime() + runMs * 1_000_000L;
        List<Thread> sound = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "s" + i + "-";
            sound.add(StubServer.startThread(() -> useKeptConnection("k" + name, kept, end)));
            sound.add(StubServer.startThread(() -> useNewConnections("n" + name, fresh, end)));
        }
        for (Thread each : sound) {
            each.join();
        }
    }

    /** Every request got its response in time, most were served, and the process kept to its memory. */
    void assertAnswered(String beside) throws IOException {
        int peakMb = sidecar.peakMemoryMb();
        String result = beside + ": kept: " + kept + "; new: " + fresh + "; peak " + peakMb + " MB";
        System.out.println(result);
        assertTrue(sidecar.isRunning(), "the process has ended: " + result);
        assertTrue(peakMb < MEMORY_LIMIT_MB, result);
        assertEquals(0, Files.readString(sidecar.log).split("OutOfMemoryError", -1).length - 1, result);
        assertEquals(0, kept.unanswered.get() + fresh.unanswered.get(), result);
        assertEquals(0, kept.late.get() + fresh.late.get(), result);
        assertTrue(kept.mostServed() && fresh.mostServed(), result);
    }

    /** What came of the requests. */
    private static final class Tally {
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger refused = new AtomicInteger();
        private final AtomicInteger unanswered = new AtomicInteger();
        private final AtomicInteger late = new AtomicInteger();

        private void count(int status, long sentAt) {
            (status == 200 ? served : refused).incrementAndGet();
            if (System.nanoTime() - sentAt > (SOUND_DEADLINE_MS + ALLOWED_LATENESS_MS) * 1_000_000L) {
                late.incrementAndGet();
            }
        }

        private boolean mostServed() {
            return served.get() > 20 && served.get() >= 4 * refused.get();
        }

        @Override
        public String toString() {
            return "served " + served + ", refused or failed " + refused + ", late " + late + ", unanswered "
                    + unanswered;
        }
    }

    private static String soundRequest(String id) {
        return "GET /api/7f3a HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                + "\r\nReq-Kind: look\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + SOUND_DEADLINE_MS + "\r\n\r\n";
    }

    /** Sends requests on new connections until the run has ended. */
    private void useNewConnections(String name, Tally tally, long end) {
        for (int i = 0; System.nanoTime() < end; i++) {
            exchangeOnce(name + i, tally);
            pause();
        }
    }

    private void exchangeOnce(String id, Tally tally) {
        long sentAt = System.nanoTime();
        try (SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
            tally.count(client.exchange(soundRequest(id)).status(), sentAt);
        } catch (IOException e) {
            tally.unanswered.incrementAndGet();
        }
    }

    /** Sends requests on one connection. If it is closed between requests, the request is sent on a new one. */
    private void useKeptConnection(String name, Tally tally, long end) {
        SidecarFixture.Client client = null;
        for (int i = 0; System.nanoTime() < end; i++) {
            long sentAt = System.nanoTime();
            try {
                client = client == null ? new SidecarFixture.Client(sidecar.address) : client;
                SidecarFixture.Response response = client.exchange(soundRequest(name + i));
                tally.count(response.status(), sentAt);
                client = response.head().contains("close") ? null : client;
            } catch (IOException e) {
                client = null;
                exchangeOnce(name + i + "b", tally);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(SOUND_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
