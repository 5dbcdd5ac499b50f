package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pondridge.http1.StubServer;

/**
 * Clients and servers that make a deployed sidecar process buffer as much as they can. The requests of other clients
 * have to get their responses in time: not one goes without because memory is used up.
 */
class BufferMemoryIT {
    private static final int CLIENT_DEADLINE_MS = 1_000;
    /** A final response may come up to half a second after the deadline, and limits on sockets are 50 ms longer. */
    private static final int ALLOWED_LATENESS_MS = 550;

    private static final int SOUND_REQUESTS = 40;
    private static final int SOUND_PAUSE_MS = 50;
    private static final int LARGE_RESPONSE_BYTES = 1_000_000;
    /** So many that the responses of two attempts at each are more than the heap. */
    private static final int SERVERS = 80;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;
    private static final int PIECE_BYTES = 20_000;
    private static final int PIECE_PAUSE_MS = 3;

    @TempDir
    private Path directory;

    private final List<Socket> sockets = new ArrayList<>();
    private final CountDownLatch end = new CountDownLatch(1);

    @AfterEach
    void closeSockets() throws IOException {
        end.countDown();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Serves small responses at once; what asks for more is given by {@code large}. */
    private StubServer server(StubServer.Script large) {
        return new StubServer((socket, head) -> head.contains("/api/large")
                ? large.respond(socket, head)
                : StubServer.reply(socket, "200 OK", "", "small"));
    }

    private static String get(String path, String id, int deadlineMs) {
        return "GET " + path + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                + "\r\nReq-Kind: look\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + deadlineMs + "\r\n\r\n";
    }

    private static String post(String id, String body) {
        return "POST /api/large HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                + "\r\nReq-Kind: hold\r\nIdempotency-Key: key-" + id + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: "
                + SidecarFixture.CLIENT_TIMEOUT_MS + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Connects clients that each write the same text in pieces at the same time, and stay. */
    private void flood(InetSocketAddress address, int clients, java.util.function.IntFunction<String> text) {
        for (int i = 0; i < clients; i++) {
            byte[] bytes = text.apply(i).getBytes(StandardCharsets.ISO_8859_1);
            StubServer.startThread(() -> writeInPieces(address, bytes));
        }
    }

    private void writeInPieces(InetSocketAddress address, byte[] bytes) {
        try {
            Socket socket = new Socket();
            synchronized (sockets) {
                sockets.add(socket);
            }
            socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            socket.setTcpNoDelay(true);
            socket.connect(address);
            for (int from = 0; from < bytes.length; from += PIECE_BYTES) {
                socket.getOutputStream().write(bytes, from, Math.min(PIECE_BYTES, bytes.length - from));
                Thread.sleep(PIECE_PAUSE_MS);
            }
        } catch (IOException e) {
            // The sidecar may close such a connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends small requests one after the other; returns how many were served. */
    private static int awaitResponsesInTime(DeployedProcess sidecar, String name) throws Exception {
        int served = 0;
        for (int i = 0; i < SOUND_REQUESTS; i++) {
            long sentAt = System.nanoTime();
            try (SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
                int status = client.exchange(get("/api/7f3a", name + i, CLIENT_DEADLINE_MS))
                        .status();
                served += status == 200 ? 1 : 0;
            }
            long tookMs = (System.nanoTime() - sentAt) / 1_000_000;
            assertTrue(tookMs <= CLIENT_DEADLINE_MS + ALLOWED_LATENESS_MS, "answered after " + tookMs + " ms");
            Thread.sleep(SOUND_PAUSE_MS);
        }
        return served;
    }

    private static void assertNoFailedAllocation(DeployedProcess sidecar) throws IOException {
        List<String> failed = Files.readAllLines(sidecar.log).stream()
                .filter(line -> line.contains("OutOfMemoryError"))
                .limit(3)
                .toList();
        assertEquals(List.of(), failed);
    }

    private DeployedProcess start(StubServer... servers) throws Exception {
        DeployedProcess sidecar = new DeployedProcess(directory, SidecarFixture.config(servers));
        sidecar.awaitUp();
        return sidecar;
    }

    /** Guards against direct memory used up by bodies behind open requests, which stalled the loop for seconds. */
    @ParameterizedTest
    @ValueSource(ints = {150, 370})
    void bodiesBehindOpenRequestsDelayNoOtherRequest(int clients) throws Exception {
        String body = "x".repeat(60_000);
        try (StubServer server = server((socket, head) -> StubServer.await(end));
                DeployedProcess sidecar = start(server)) {
            flood(
                    sidecar.address,
                    clients,
                    i -> get("/api/large", "a" + i, SidecarFixture.CLIENT_TIMEOUT_MS) + post("b" + i, body));
            awaitResponsesInTime(sidecar, "sound");
            assertNoFailedAllocation(sidecar);
        }
    }

    /** Guards against memory used up by requests that are never complete: each held its whole receive buffer. */
    @Test
    void incompleteRequestsDelayNoOtherRequest() throws Exception {
        String body = "x".repeat(30_000);
        try (StubServer server = server((socket, head) -> StubServer.reply(socket, "200 OK", "", "ok"));
                DeployedProcess sidecar = start(server)) {
            flood(
                    sidecar.address,
                    300,
                    i -> post("a" + i, body) + post("b" + i, body) + "GET /api/" + "y".repeat(3_000));
            awaitResponsesInTime(sidecar, "sound");
            assertNoFailedAllocation(sidecar);
        }
    }

    /** Guards against memory used up by responses that clients do not read. */
    @Test
    void unreadResponsesDelayNoOtherRequest() throws Exception {
        String body = "x".repeat(LARGE_RESPONSE_BYTES);
        try (StubServer server = server((socket, head) -> StubServer.reply(socket, "200 OK", "", body));
                DeployedProcess sidecar = start(server)) {
            flood(sidecar.address, 200, i -> get("/api/large", "a" + i, SidecarFixture.CLIENT_TIMEOUT_MS));
            awaitResponsesInTime(sidecar, "sound");
            assertNoFailedAllocation(sidecar);
        }
    }

    /** Guards against a heap used up by response heads of very many short fields that servers do not complete. */
    @Test
    void incompleteResponseHeadsDelayNoOtherRequest() throws Exception {
        String head = "HTTP/1.1 200 OK\r\n" + "a:\r\n".repeat(1_900);
        StubServer[] servers = new StubServer[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = server((socket, requestHead) -> {
                StubServer.write(socket, head);
                return StubServer.await(end);
            });
        }
        try (DeployedProcess sidecar = start(servers)) {
            flood(sidecar.address, 300, i -> get("/api/large", "a" + i, SidecarFixture.CLIENT_TIMEOUT_MS));
            awaitResponsesInTime(sidecar, "sound");
            assertNoFailedAllocation(sidecar);
            assertTrue(sidecar.isRunning(), "the process has ended");
        } finally {
            for (StubServer server : servers) {
                server.close();
            }
        }
    }

    /** Guards against a heap used up by responses that servers begin and do not complete. */
    @Test
    void incompleteResponsesDelayNoOtherRequest() throws Exception {
        String part = "x".repeat(LARGE_RESPONSE_BYTES - 1);
        StubServer[] servers = new StubServer[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = server((socket, head) ->
                    StubServer.reply(socket, "200 OK", "", part, LARGE_RESPONSE_BYTES) && StubServer.await(end));
        }
        try (DeployedProcess sidecar = start(servers)) {
            flood(sidecar.address, 300, i -> get("/api/large", "a" + i, SidecarFixture.CLIENT_TIMEOUT_MS));
            awaitResponsesInTime(sidecar, "sound");
            assertNoFailedAllocation(sidecar);
            assertTrue(sidecar.isRunning(), "the process has ended");
        } finally {
            for (StubServer server : servers) {
                server.close();
            }
        }
    }
}
