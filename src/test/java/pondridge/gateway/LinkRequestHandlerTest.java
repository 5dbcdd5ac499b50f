package pondridge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.UpstreamState;
import pondridge.demo.SiteTestbed;
import pondridge.demo.StandinOptions;
import pondridge.http1.StubServer;
import pondridge.http2.TransportHarness;
import pondridge.rig.Fleet;
import pondridge.standin.ExecutionLedger.Verdict;
import pondridge.standin.StandinRequestClass;
import pondridge.standin.StandinServer;

/**
 * Tests the receiving end of a link alone, against a peer that sends arbitrary headers and against floods of
 * connections and frames.
 */
class LinkRequestHandlerTest {
    private static final long MS = 1_000_000;
    private static final long MAX_BUFFERED_BYTES = 64 << 10;
    private static final long CLIENT_TIMEOUT_NANOS = 3_000 * MS;
    private final OkHttpClient client = new OkHttpClient.Builder()
            .protocols(List.of(Protocol.H2_PRIOR_KNOWLEDGE))
            .build();
    private SiteTestbed sites;

    private void start(long workNanos, String settings) throws IOException {
        sites = new SiteTestbed(
                new SiteTestbed.TestbedConfig(List.of("a", "b"), 2, 1, workNanos, 0, 0, settings),
                StandinOptions.withDeadline(3_000),
                1,
                site -> "security = \"plain\"\n");
    }

    @AfterEach
    void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
        if (sites != null) {
            sites.close();
        }
    }

    /** A response and its link headers. */
    private record Received(int status, boolean notExecuted, boolean replayed, String timestamp) {}

    private int port() {
        return sites.site("b").links().get(0).address().getPort();
    }

    private CompletableFuture<Received> send(String path, String id, Map<String, String> headers, String body) {
        Request.Builder request = new Request.Builder().url("http://127.0.0.1:" + port() + path);
        headers.forEach(request::header);
        if (body != null) {
            request.post(RequestBody.create(body, MediaType.get("text/plain")));
        }
        CompletableFuture<Received> received = new CompletableFuture<>();
        client.newCall(request.build()).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException problem) {
                received.completeExceptionally(problem);
            }

            @Override
            public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                    if (id != null) {
                        sites.ledger()
                                .responseReceived(
                                        id,
                                        response.code(),
                                        response.body().string().trim());
                    }
                    received.complete(new Received(
                            response.code(),
                            "1".equals(response.header(LinkHeaders.NOT_EXECUTED)),
                            response.header(LinkHeaders.REPLAYED) != null,
                            response.header(LinkHeaders.TIMESTAMP)));
                }
            }
        });
        return received;
    }

    private static Received await(CompletableFuture<Received> received) throws Exception {
        return received.get(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static Map<String, String> linkHeaders() {
        return new LinkedHashMap<>(Map.of(LinkHeaders.VERSION, LinkHeaders.SUPPORTED_VERSION, LinkHeaders.SITE, "a"));
    }

    private String fetchTimestamp() throws Exception {
        String timestamp = await(send(LinkHeaders.HEARTBEAT_PATH, null, linkHeaders(), null))
                .timestamp();
        assertNotNull(timestamp);
        return timestamp;
    }

    /** Sends a confirmation over the link as the other gateway would, with some headers overridden. */
    private CompletableFuture<Received> confirm(String id, String key, Map<String, String> overrides) throws Exception {
        sites.ledger().requestSent(id, StandinRequestClass.named("order-confirm"), key, CLIENT_TIMEOUT_NANOS);
        Map<String, String> headers = linkHeaders();
        headers.putAll(Map.of(
                LinkHeaders.HOPS,
                "1",
                LinkHeaders.TIMESTAMP,
                fetchTimestamp(),
                LinkHeaders.TIME_LEFT,
                "2500",
                "Req-Id",
                id,
                "Req-Kind",
                "order-confirm",
                "Req-Owner",
                "acme",
                "Req-Deadline-Ms",
                "2900",
                "Idempotency-Key",
                key));
        headers.putAll(overrides);
        return send("/api/" + key, id, headers, "what is confirmed");
    }

    private long executions() {
        return sites.site("b").servers().stream()
                .mapToLong(StandinServer::executions)
                .sum();
    }

    /** Each header is invalid once: the request is rejected as not executed, and no server has run it. */
    @Test
    void onlyFreshRequestsOverOneLinkAreAccepted() throws Exception {
        start(5 * MS, "");
        List<Map<String, String>> invalidHeaders = List.of(
                Map.of(LinkHeaders.HOPS, "2"),
                Map.of(LinkHeaders.HOPS, "0"),
                Map.of(LinkHeaders.VERSION, "9"),
                Map.of(LinkHeaders.SITE, "c"),
                Map.of(LinkHeaders.TIMESTAMP, "1.1"),
                Map.of(LinkHeaders.TIMESTAMP, "none"));
        for (int i = 0; i < invalidHeaders.size(); i++) {
            Received received = await(confirm("w" + i, "k" + i, invalidHeaders.get(i)));
            assertTrue(received.status() == 503 && received.notExecuted(), invalidHeaders.get(i) + ": " + received);
        }
        assertEquals(
                400,
                await(confirm("n", "n", Map.of(LinkHeaders.TIME_LEFT, "soon"))).status());
        assertEquals(0, executions() + sites.site("b").count("by_link"));
        assertEquals(200, await(confirm("good", "good", Map.of())).status());
        assertEquals(1, executions());
    }

    /**
     * The same request repeated, later and concurrently, is run once; a different request with the same key
     * is not run.
     */
    @Test
    void repeatGetsTheResponseAndNoSecondRun() throws Exception {
        start(100 * MS, "");
        assertEquals(200, await(confirm("r0", "k", Map.of())).status());
        Received repeated = await(send("/api/k", null, repeat("r0", "k"), "what is confirmed"));
        assertTrue(repeated.status() == 200 && repeated.replayed(), repeated::toString);
        Received different = await(send("/api/k", null, repeat("r0", "k"), "something else"));
        assertTrue(different.status() == 503 && different.notExecuted(), different::toString);
        assertEquals(1, executions());
        CompletableFuture<Received> first = confirm("j0", "j", Map.of());
        TransportHarness.waitUntil(() -> executions() == 2, "the first request is running");
        Received joined = await(send("/api/j", null, repeat("j0", "j"), "what is confirmed"));
        assertTrue(joined.status() == 200 && await(first).status() == 200, joined::toString);
        assertEquals(2, executions());
        assertEquals(0, sites.ledger().verdict().droppedRepeats(), "no server received a request twice");
        assertTrue(sites.ledger().verdict().passed(), sites.ledger().verdict()::toString);
    }

    private Map<String, String> repeat(String id, String key) throws Exception {
        Map<String, String> headers = linkHeaders();
        headers.putAll(Map.of(
                LinkHeaders.HOPS,
                "1",
                LinkHeaders.TIMESTAMP,
                fetchTimestamp(),
                LinkHeaders.TIME_LEFT,
                "2500",
                "Req-Id",
                id,
                "Req-Kind",
                "order-confirm",
                "Req-Owner",
                "acme",
                "Req-Deadline-Ms",
                "2900",
                "Idempotency-Key",
                key));
        return headers;
    }

    /** Concurrent requests beyond the credit are rejected unprocessed. */
    @Test
    void requestsBeyondTheCreditAreRejected() throws Exception {
        start(400 * MS, "credit = 3\n");
        List<CompletableFuture<Received>> responses = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            responses.add(confirm("c" + i, "c" + i, Map.of()));
        }
        int served = 0;
        for (CompletableFuture<Received> each : responses) {
            Received received = await(each);
            served += received.status() == 200 ? 1 : 0;
            assertTrue(received.status() == 200 || received.notExecuted(), received::toString);
        }
        assertEquals(served, executions());
        assertTrue(served >= 3 && served < 12, "served " + served);
    }

    private long bufferedBytes() {
        return sites.site("b").count("link_held_bytes");
    }

    /** A flood on a connection of its own and what must result from it. */
    private interface Flood {
        void run(RawHttp2Client peer) throws Exception;
    }

    /**
     * Connections that are not links or are hostile: each is closed within its limit, the bytes buffered for
     * it are released, and the gateway keeps serving.
     */
    @Test
    void floodsAndSlowReadersAreClosedAndAffectNoOther() throws Exception {
        start(
                5 * MS,
                "idle = \"1s\"\ntransfer = \"3s\"\nheld_bytes = \"64KiB\"\nconnections = 6\n"
                        + "[link_http2]\ncontrol_frames = 1000\n");
        TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 1, "the link");
        Map<String, Flood> floods = new LinkedHashMap<>();
        floods.put("silent", peer -> {});
        floods.put("half a preface", peer -> peer.sendText("PRI * HTTP/2.0\r\n"));
        floods.put("pings", peer -> peer.handshake().floodPings());
        floods.put("settings", peer -> peer.handshake().floodSettings());
        floods.put("resets", peer -> peer.handshake().sendResets(10_000));
        floods.put("continuations", peer -> peer.handshake().floodContinuations());
        floods.put("headers too long", peer -> peer.handshake().sendLongHeaders(1, 200_000));
        floods.put("bodies without end", peer -> peer.handshake()
                .keepAlive()
                .sendEndlessBodies(150, 1_000)
                .awaitResets(150)
                .close());
        floods.put("requests whose responses are not read", peer -> {
            peer.handshake(0).keepAlive().sendRequests(100, linkHeaders(), fetchTimestamp());
            TransportHarness.waitUntil(() -> bufferedBytes() > MAX_BUFFERED_BYTES / 4, "responses that can't be sent");
            long acceptedBefore = sites.site("b").count("by_link");
            peer.sendRequests(50, linkHeaders(), fetchTimestamp()).awaitResets(1);
            assertEquals(
                    acceptedBefore,
                    sites.site("b").count("by_link"),
                    "no more requests are accepted while the peer reads nothing");
            peer.close();
        });
        for (Map.Entry<String, Flood> each : floods.entrySet()) {
            try (RawHttp2Client peer = new RawHttp2Client(port())) {
                each.getValue().run(peer);
                assertTrue(peer.isClosed(), each.getKey());
            }
            assertTrue(bufferedBytes() <= MAX_BUFFERED_BYTES, each.getKey());
        }
        // Silent connections use all but two of the allowed connections, and more are opened: they are closed,
        // and the link connects again.
        List<RawHttp2Client> idleConnections = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            idleConnections.add(new RawHttp2Client(port()));
        }
        sites.site("b").links().get(0).reset();
        for (RawHttp2Client each : idleConnections) {
            each.close();
        }
        TransportHarness.waitUntil(() -> sites.site("a").count("links_up") == 1, "the link, again");
        TransportHarness.waitUntil(() -> bufferedBytes() == 0, "all bytes released");
        sites.site("a").publishState(UpstreamState.DRAINING);
        sites.load("a", 5).start(Fleet.mixedPlan(100, 100, 3_000)).get(Fleet.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(sites.awaitIdle(Fleet.TIMEOUT_SECONDS * 1_000));
        Verdict verdict = sites.ledger().verdict();
        assertTrue(verdict.served() > 60 && verdict.duplicateEffects() + verdict.late() == 0, verdict::toString);
    }
}
