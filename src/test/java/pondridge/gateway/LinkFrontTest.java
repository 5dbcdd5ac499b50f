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
import pondridge.Balancer.State;
import pondridge.demo.Sites;
import pondridge.demo.Usual;
import pondridge.http1.Stub;
import pondridge.http2.Direct;
import pondridge.rig.Fleet;
import pondridge.standin.EffectLedger.Verdict;
import pondridge.standin.OrderClass;
import pondridge.standin.StandinServer;

/**
 * The far end of a link by itself: a peer that is not ours says what it likes, and floods that are no link.
 */
class LinkFrontTest {
    private static final long MS = 1_000_000;
    private static final long HELD = 64 << 10;
    private static final long WAIT = 3_000 * MS;
    private final OkHttpClient client = new OkHttpClient.Builder()
            .protocols(List.of(Protocol.H2_PRIOR_KNOWLEDGE))
            .build();
    private Sites sites;

    private void start(long work, String settings) throws IOException {
        sites = new Sites(
                new Sites.Shape(List.of("a", "b"), 2, 1, work, 0, 0, settings),
                Usual.options(3_000),
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

    /** An answer, with what its headers said. */
    private record Told(int status, boolean neverRan, boolean replayed, String stamp) {}

    private int port() {
        return sites.site("b").links().get(0).address().getPort();
    }

    private CompletableFuture<Told> ask(String path, String id, Map<String, String> headers, String body) {
        Request.Builder request = new Request.Builder().url("http://127.0.0.1:" + port() + path);
        headers.forEach(request::header);
        if (body != null) {
            request.post(RequestBody.create(body, MediaType.get("text/plain")));
        }
        CompletableFuture<Told> told = new CompletableFuture<>();
        client.newCall(request.build()).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException problem) {
                told.completeExceptionally(problem);
            }

            @Override
            public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                    if (id != null) {
                        sites.ledger()
                                .answered(
                                        id,
                                        response.code(),
                                        response.body().string().trim());
                    }
                    told.complete(new Told(
                            response.code(),
                            "1".equals(response.header(LinkHeaders.NEVER_RAN)),
                            response.header(LinkHeaders.REPLAYED) != null,
                            response.header(LinkHeaders.STAMP)));
                }
            }
        });
        return told;
    }

    private static Told now(CompletableFuture<Told> told) throws Exception {
        return told.get(Stub.LIMIT_S, TimeUnit.SECONDS);
    }

    private static Map<String, String> link() {
        return new LinkedHashMap<>(Map.of(LinkHeaders.VERSION, LinkHeaders.SPOKEN, LinkHeaders.SITE, "a"));
    }

    private String stamp() throws Exception {
        String stamp = now(ask(LinkHeaders.BEAT, null, link(), null)).stamp();
        assertNotNull(stamp);
        return stamp;
    }

    /** A confirmation by the link, as its other end would send it, but for what {@code other} says. */
    private CompletableFuture<Told> confirm(String id, String key, Map<String, String> other) throws Exception {
        sites.ledger().asked(id, OrderClass.named("order-confirm"), key, WAIT);
        Map<String, String> headers = link();
        headers.putAll(Map.of(
                LinkHeaders.HOPS,
                "1",
                LinkHeaders.STAMP,
                stamp(),
                LinkHeaders.LEFT,
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
        headers.putAll(other);
        return ask("/api/" + key, id, headers, "what is confirmed");
    }

    private long runs() {
        return sites.site("b").servers().stream().mapToLong(StandinServer::runs).sum();
    }

    /** Each thing that must be so, wrong once: turned away as never run, and nothing has run. */
    @Test
    void onlyWhatIsFreshAndCameByOneLinkIsTaken() throws Exception {
        start(5 * MS, "");
        List<Map<String, String>> wrong = List.of(
                Map.of(LinkHeaders.HOPS, "2"),
                Map.of(LinkHeaders.HOPS, "0"),
                Map.of(LinkHeaders.VERSION, "9"),
                Map.of(LinkHeaders.SITE, "c"),
                Map.of(LinkHeaders.STAMP, "1.1"),
                Map.of(LinkHeaders.STAMP, "none"));
        for (int i = 0; i < wrong.size(); i++) {
            Told told = now(confirm("w" + i, "k" + i, wrong.get(i)));
            assertTrue(told.status() == 503 && told.neverRan(), wrong.get(i) + ": " + told);
        }
        assertEquals(
                400, now(confirm("n", "n", Map.of(LinkHeaders.LEFT, "soon"))).status());
        assertEquals(0, runs() + sites.site("b").count("by_link"));
        assertEquals(200, now(confirm("good", "good", Map.of())).status());
        assertEquals(1, runs());
    }

    /** The same again, one after the other and at once: one run. Another request by that key: none. */
    @Test
    void aRepeatGetsTheAnswerAndNoSecondRun() throws Exception {
        start(100 * MS, "");
        assertEquals(200, now(confirm("r0", "k", Map.of())).status());
        Told again = now(ask("/api/k", null, repeat("r0", "k"), "what is confirmed"));
        assertTrue(again.status() == 200 && again.replayed(), again::toString);
        Told other = now(ask("/api/k", null, repeat("r0", "k"), "something else"));
        assertTrue(other.status() == 503 && other.neverRan(), other::toString);
        assertEquals(1, runs());
        CompletableFuture<Told> first = confirm("j0", "j", Map.of());
        Direct.until(() -> runs() == 2, "the first at work");
        Told joined = now(ask("/api/j", null, repeat("j0", "j"), "what is confirmed"));
        assertTrue(joined.status() == 200 && now(first).status() == 200, joined::toString);
        assertEquals(2, runs());
        assertEquals(0, sites.ledger().verdict().dropped(), "no server was asked twice");
        assertTrue(sites.ledger().verdict().clean(), sites.ledger().verdict()::toString);
    }

    private Map<String, String> repeat(String id, String key) throws Exception {
        Map<String, String> headers = link();
        headers.putAll(Map.of(
                LinkHeaders.HOPS,
                "1",
                LinkHeaders.STAMP,
                stamp(),
                LinkHeaders.LEFT,
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

    /** More than the credit at once: what is over it is turned away unseen. */
    @Test
    void noMoreIsTakenThanTheCredit() throws Exception {
        start(400 * MS, "credit = 3\n");
        List<CompletableFuture<Told>> asked = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            asked.add(confirm("c" + i, "c" + i, Map.of()));
        }
        int served = 0;
        for (CompletableFuture<Told> each : asked) {
            Told told = now(each);
            served += told.status() == 200 ? 1 : 0;
            assertTrue(told.status() == 200 || told.neverRan(), told::toString);
        }
        assertEquals(served, runs());
        assertTrue(served >= 3 && served < 12, "served " + served);
    }

    private long held() {
        return sites.site("b").count("link_held_bytes");
    }

    /** A flood on a door of its own, and what must come of it. */
    private interface Flood {
        void play(RawHttp2 peer) throws Exception;
    }

    /**
     * What is no link, or one that means harm: each ends within its bound, what it held is let go of, and the
     * gateway beside it goes on serving.
     */
    @Test
    void floodsAndSlowReadersEndAndHarmNobody() throws Exception {
        start(
                5 * MS,
                "idle = \"1s\"\ntransfer = \"3s\"\nheld_bytes = \"64KiB\"\nconnections = 6\n"
                        + "[link_http2]\ncontrol_frames = 1000\n");
        Direct.until(() -> sites.site("a").count("links_up") == 1, "the link");
        Map<String, Flood> floods = new LinkedHashMap<>();
        floods.put("silent", peer -> {});
        floods.put("half a preface", peer -> peer.bytes("PRI * HTTP/2.0\r\n"));
        floods.put("pings", peer -> peer.hello().pings());
        floods.put("settings", peer -> peer.hello().settings());
        floods.put("resets", peer -> peer.hello().resets(10_000));
        floods.put("continuations", peer -> peer.hello().continuations());
        floods.put("headers too long", peer -> peer.hello().headers(1, 200_000));
        floods.put(
                "bodies without end",
                peer -> peer.hello().alive().bodies(150, 1_000).awaitResets(150).close());
        floods.put("requests whose answers are not taken", peer -> {
            peer.hello(0).alive().requests(100, link(), stamp());
            Direct.until(() -> held() > HELD / 4, "answers that can't go");
            long taken = sites.site("b").count("by_link");
            peer.requests(50, link(), stamp()).awaitResets(1);
            assertEquals(taken, sites.site("b").count("by_link"), "no more while it takes nothing");
            peer.close();
        });
        for (Map.Entry<String, Flood> each : floods.entrySet()) {
            try (RawHttp2 peer = new RawHttp2(port())) {
                each.getValue().play(peer);
                assertTrue(peer.ended(), each.getKey());
            }
            assertTrue(held() <= HELD, each.getKey());
        }
        // All places but two taken by what says nothing, and more: they end, and the link finds its own
        // again.
        List<RawHttp2> crowd = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            crowd.add(new RawHttp2(port()));
        }
        sites.site("b").links().get(0).reset();
        for (RawHttp2 each : crowd) {
            each.close();
        }
        Direct.until(() -> sites.site("a").count("links_up") == 1, "the link, again");
        Direct.until(() -> held() == 0, "all let go of");
        sites.site("a").list(State.DRAINING);
        sites.load("a", 5).start(Fleet.mixed(100, 100, 3_000)).get(Fleet.LIMIT_S, TimeUnit.SECONDS);
        assertTrue(sites.quiet(Fleet.LIMIT_S * 1_000));
        Verdict verdict = sites.ledger().verdict();
        assertTrue(verdict.served() > 60 && verdict.doubled() + verdict.late() == 0, verdict::toString);
    }
}
