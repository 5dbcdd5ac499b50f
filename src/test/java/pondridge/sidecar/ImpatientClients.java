package pondridge.sidecar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import pondridge.http1.StubServer;

/**
 * Open-loop clients that stop waiting after a fixed time: by thirds they close their connection, reset it, or stay
 * connected. Half of the requests use a new connection. The attempts that servers receive are recorded beside them.
 */
final class ImpatientClients implements AutoCloseable {
    /** An attempt that begins later than this after its client has left is lost. */
    private static final long LOST_AFTER_NANOS = 100_000_000;

    private static final int RESPONSE_WAIT_MS = 2_000;
    private static final long SLO_NANOS = 200_000_000;
    private static final long DEADLINE_NANOS = 2_000_000_000;

    private enum Departure {
        CLOSE,
        RESET,
        STAY
    }

    private record Attempt(String clientRequestId, long receivedAt) {}

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ConcurrentLinkedDeque<SidecarFixture.Client> idle = new ConcurrentLinkedDeque<>();
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final Map<String, Long> leftAt = new ConcurrentHashMap<>();
    private final Map<String, Departure> departures = new ConcurrentHashMap<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final Queue<String> unanswered = new ConcurrentLinkedQueue<>();
    private final Random random;
    private final int waitMs;

    ImpatientClients(long seed, int waitMs) {
        this.random = new Random(seed);
        this.waitMs = waitMs;
    }

    /** A server whose attempts are recorded, with this service time. */
    StubServer server(long serviceMs) {
        return new StubServer((socket, head) -> {
            long now = System.nanoTime();
            synchronized (attempts) {
                attempts.add(new Attempt(StubServer.header(head, "Req-Id"), now));
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(serviceMs));
            return StubServer.reply(socket, "200 OK", "", "x");
        });
    }

    /** A configuration with these servers, and with a latency objective that suits clients of short patience. */
    static ObjectNode config(StubServer... servers) throws IOException {
        ObjectNode config = SidecarFixture.config(servers);
        ((ObjectNode) config.at("/settings/profiles/0")).put("slo", SLO_NANOS).put("deadline", DEADLINE_NANOS);
        return config;
    }

    /** Sends requests at this mean rate for this long, and waits until all clients have finished. */
    void run(InetSocketAddress sidecar, int requestsPerSecond, long durationMs) throws InterruptedException {
        long next = System.nanoTime();
        long end = next + TimeUnit.MILLISECONDS.toNanos(durationMs);
        for (int i = 0; next < end; i++) {
            LockSupport.parkNanos(next - System.nanoTime());
            String id = "r" + i;
            Departure departure = Departure.values()[random.nextInt(Departure.values().length)];
            boolean newConnection = random.nextBoolean();
            executor.execute(() -> send(sidecar, id, departure, newConnection));
            next += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / requestsPerSecond);
        }
        executor.shutdown();
        if (!executor.awaitTermination(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("clients did not finish");
        }
    }

    private void send(InetSocketAddress sidecar, String id, Departure departure, boolean newConnection) {
        SidecarFixture.Client client = newConnection ? null : idle.poll();
        boolean reused = client != null;
        try {
            if (client == null) {
                client = new SidecarFixture.Client(sidecar);
            }
            client.socket.setSoTimeout(waitMs);
            sentAt.putIfAbsent(id, System.nanoTime());
            StubServer.write(client.socket, request(id));
            SidecarFixture.Response response = client.readResponse();
            (response.status() == 200 ? served : refused).incrementAndGet();
            idle.push(client);
        } catch (SocketTimeoutException e) {
            unanswered.add(id + ": " + e);
            departures.put(id, departure);
            leave(client, id, departure);
        } catch (IOException e) {
            if (reused) {
                // The sidecar may close a connection between two requests: sent once more, as the protocol says.
                send(sidecar, id, departure, true);
            } else {
                unanswered.add(id + ": " + e);
            }
        }
    }

    private void leave(SidecarFixture.Client client, String id, Departure departure) {
        try (client) {
            if (departure == Departure.RESET) {
                StubServer.reset(client.socket);
            }
            if (departure == Departure.STAY) {
                leftAt.put(id, System.nanoTime());
                client.socket.setSoTimeout(RESPONSE_WAIT_MS);
                client.readResponse();
            }
        } catch (IOException e) {
            // No response to a client that had stopped waiting, or the connection was closed.
        }
        leftAt.putIfAbsent(id, System.nanoTime());
    }

    private String request(String id) {
        return "GET /api/7f3a HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                + "\r\nReq-Kind: look\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + waitMs + "\r\n\r\n";
    }

    /** The attempts that began too long after their client had left, one line each. */
    List<String> attemptsAfterDeparture() {
        List<String> late = new ArrayList<>();
        synchronized (attempts) {
            for (Attempt attempt : attempts) {
                Long left = leftAt.get(attempt.clientRequestId);
                if (left != null && attempt.receivedAt - left > LOST_AFTER_NANOS) {
                    late.add(attempt.clientRequestId + " " + departures.get(attempt.clientRequestId) + " "
                            + (attempt.receivedAt - left) / 1_000_000 + " ms after it left, "
                            + (attempt.receivedAt - sentAt.get(attempt.clientRequestId)) / 1_000_000 + " ms after its"
                            + " request was sent");
                }
            }
        }
        return late;
    }

    int served() {
        return served.get();
    }

    /** Requests without a response in the time that their client waited, one line each. */
    Queue<String> unanswered() {
        return unanswered;
    }

    @Override
    public String toString() {
        return "requests " + sentAt.size() + ", served " + served + ", refused " + refused + ", not answered in time "
                + unanswered.size();
    }

    @Override
    public void close() throws IOException {
        executor.shutdownNow();
        for (SidecarFixture.Client client : idle) {
            client.close();
        }
    }
}
