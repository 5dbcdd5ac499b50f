package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pondridge.http1.StubServer;

/** Clients that close their connection with much still unread, and requests that come again, at a deployed process. */
class UnreadRequestsIT {
    /** An attempt may begin up to 0.1 s after its client has closed; limits on sockets are 50 ms longer. */
    private static final long ALLOWED_NANOS = 150_000_000;

    private static final int CLIENTS = 8;

    @TempDir
    private Path directory;

    private static String post(String id, String body) {
        return "POST /api/p HTTP/1.1\r\nHost: a\r\nReq-Id: " + id
                + "\r\nReq-Kind: book\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 3000\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    /**
     * Guards against requests that are forwarded after their client has left, because its disconnect lies behind more
     * bytes than are read at once.
     */
    @ParameterizedTest
    @CsvSource({"400, 0, false", "60, 60000, false", "400, 0, true", "60, 60000, true", "3000, 1000, true"})
    void noRequestIsForwardedAfterItsClientHasClosed(int requests, int bodyBytes, boolean stopped) throws Exception {
        Map<String, Long> closedAt = new ConcurrentHashMap<>();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger forwarded = new AtomicInteger();
        try (StubServer server = new StubServer((socket, head) -> {
                    Long closed = closedAt.get(StubServer.header(head, "Req-Id").split("-")[0]);
                    forwarded.incrementAndGet();
                    if (closed != null && System.nanoTime() - closed > ALLOWED_NANOS) {
                        late.incrementAndGet();
                    }
                    pause(30);
                    return StubServer.reply(socket, "200 OK", "", "done");
                });
                DeployedProcess sidecar = new DeployedProcess(directory, SidecarFixture.config(server))) {
            sidecar.awaitUp();
            if (stopped) {
                sidecar.signal("STOP");
            }
            String body = "x".repeat(bodyBytes);
            List<Thread> writers = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String client = "c" + i;
                writers.add(StubServer.startThread(() -> {
                    try (Socket socket = new Socket(sidecar.address.getAddress(), sidecar.address.getPort())) {
                        socket.setSendBufferSize(4 << 20);
                        StringBuilder text = new StringBuilder();
                        for (int j = 0; j < requests; j++) {
                            text.append(post(client + "-" + j, body));
                        }
                        // A stopped process reads nothing, so the rest is not written then.
                        StubServer.startThread(() -> write(socket, text.toString()));
                        pause(300);
                    } catch (IOException e) {
                        // The sidecar may close the connection.
                    }
                    closedAt.put(client, System.nanoTime());
                }));
            }
            for (Thread writer : writers) {
                writer.join();
            }
            if (stopped) {
                pause(300);
                sidecar.signal("CONT");
            }
            pause(2_500);
            System.out.println("forwarded " + forwarded + ", after the close " + late);
            assertEquals(0, late.get());
            assertTrue(stopped || forwarded.get() > 0);
        }
    }

    private static void write(Socket socket, String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            // It was closed meanwhile.
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a request executed twice when its id comes again after its client has left. */
    @Test
    void anIdThatComesAgainWhileItsAttemptIsOutIsNotForwarded() throws Exception {
        AtomicInteger executions = new AtomicInteger();
        try (StubServer server = new StubServer((socket, head) -> {
                    executions.incrementAndGet();
                    pause(6_000);
                    return StubServer.reply(socket, "200 OK", "", "done");
                });
                DeployedProcess sidecar = new DeployedProcess(directory, SidecarFixture.config(server))) {
            sidecar.awaitUp();
            String request = post("again", "x");
            try (SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
                StubServer.write(client.socket, request);
                StubServer.awaitNext(server.requestHeads);
            }
            for (int pauseMs : new int[] {50, 500, 2_500}) {
                pause(pauseMs);
                try (SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
                    assertEquals(409, client.exchange(request).status());
                }
            }
            assertEquals(1, executions.get());
        }
    }
}
