package pondridge.sidecar;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pondridge.http1.StubServer;

/**
 * One client sends small or unsound requests on one connection as fast as it can, under ever new names, beside sound
 * clients. Guards against requests of other clients that wait behind it, and against tables that grow with each name.
 */
class RequestFloodIT {
    private static final int RUN_MS = 4_000;
    private static final int REQUESTS_PER_WRITE = 500;

    /** What the client sends. */
    private enum Flood {
        /** Small requests that need no upstream. */
        HEALTH_CHECKS,
        /** Requests with the longest ids, new paths and no time left, which are refused at once. */
        EXPIRED,
        /** Requests with new ids, paths and keys, which are forwarded or refused. */
        NEW_KEYS,
        /** A large request in chunks of one byte, again and again. */
        SMALL_CHUNKS,
        /** Requests of an unknown class. */
        UNKNOWN_CLASS,
        /** Requests that all have the same id. */
        SAME_ID,
        /** Nothing but line ends. */
        EMPTY_LINES
    }

    @TempDir
    private Path directory;

    private static String request(Flood flood, long number) {
        String id = number + "-" + "i".repeat(100);
        return switch (flood) {
            case HEALTH_CHECKS -> "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
            case EXPIRED -> get(id, "look", 0);
            case NEW_KEYS -> "POST /api/p" + number + " HTTP/1.1\r\nHost: a\r\nReq-Id: " + id
                    + "\r\nReq-Kind: hold\r\nReq-Owner: acme\r\nIdempotency-Key: k" + id
                    + "\r\nReq-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n";
            case SMALL_CHUNKS -> "POST /api/p HTTP/1.1\r\nHost: a\r\nReq-Id: " + id
                    + "\r\nReq-Kind: book\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 20000\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(1_000) + "0\r\n\r\n";
            case UNKNOWN_CLASS -> get(id, "unknown-" + number, 1_000);
            case SAME_ID -> get("same", "look", 1_000);
            case EMPTY_LINES -> "\r\n";
        };
    }

    private static String get(String id, String kind, int deadlineMs) {
        return "GET /api/p" + id + " HTTP/1.1\r\nHost: a\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + deadlineMs + "\r\n\r\n";
    }

    /** Writes until the run has ended; connects again when the connection is closed. */
    private static void flood(DeployedProcess sidecar, Flood flood, AtomicBoolean ended) {
        long number = 0;
        while (!ended.get()) {
            try (Socket socket = new Socket(sidecar.address.getAddress(), sidecar.address.getPort())) {
                Thread reader = StubServer.startThread(() -> discard(socket));
                OutputStream out = socket.getOutputStream();
                while (!ended.get() && reader.isAlive()) {
                    StringBuilder text = new StringBuilder();
                    int requests = flood == Flood.SMALL_CHUNKS ? 5 : REQUESTS_PER_WRITE;
                    for (int i = 0; i < requests; i++) {
                        text.append(request(flood, number++));
                    }
                    out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                // The connection was closed.
            }
        }
    }

    private static void discard(Socket socket) {
        byte[] bytes = new byte[1 << 16];
        try {
            InputStream in = socket.getInputStream();
            while (in.read(bytes) >= 0) {
                // The responses are of no interest.
            }
        } catch (IOException e) {
            // The connection was closed.
        }
    }

    @ParameterizedTest
    @EnumSource(Flood.class)
    void soundRequestsAreAnsweredBesideAFlood(Flood flood) throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        try (StubServer server = StubServer.serving("ok");
                DeployedProcess sidecar = new DeployedProcess(directory, SidecarFixture.config(server))) {
            sidecar.awaitUp();
            Thread hostile = StubServer.startThread(() -> flood(sidecar, flood, ended));
            SoundClients sound = new SoundClients(sidecar);
            sound.run(RUN_MS);
            ended.set(true);
            sound.assertAnswered(flood.toString());
            hostile.join();
        }
    }
}
