package pondridge.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.mockwebserver.Dispatcher;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.RecordedRequest;
import okhttp3.mockwebserver.SocketPolicy;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.http1.StubServer;
import pondridge.standin.Fault;
import pondridge.standin.FaultScript;
import pondridge.standin.StandinRequestClass;
import pondridge.standin.StandinServer;

/** Tests interoperability with third-party peers: OkHttp's client and its test server, by prior knowledge. */
class InteropTest {
    private static final long MS = 1_000_000;
    private static final int LARGE_BODY_BYTES = 500_000;

    /** The stand-in server works with another client, including trailers and a reset after the response. */
    @Test
    void standinServesOkHttpClient() throws Exception {
        OkHttpClient client = new OkHttpClient.Builder()
                .protocols(List.of(Protocol.H2_PRIOR_KNOWLEDGE))
                .build();
        for (Fault fault : List.of(Fault.NONE, Fault.ADORNED, Fault.RESET_AFTER_ANSWER)) {
            try (TransportHarness harness = new TransportHarness("");
                    StandinServer server =
                            harness.startServer(1, 100, 65_535, new FaultScript(1, Map.of(fault, 1.0), MS, MS))) {
                int calls = 50;
                String url = "http://127.0.0.1:" + server.address().getPort() + "/api/";
                AtomicInteger matching = new AtomicInteger();
                CountDownLatch done = new CountDownLatch(calls);
                for (int i = 0; i < calls; i++) {
                    String id = "x" + i;
                    harness.ledger.requestSent(
                            id, StandinRequestClass.named("order-book"), "", TransportHarness.LONG_TIMEOUT_NANOS);
                    client.newCall(new Request.Builder()
                                    .url(url + id)
                                    .header("Req-Id", id)
                                    .header("Req-Kind", "order-book")
                                    .post(RequestBody.create("body", MediaType.get("text/plain")))
                                    .build())
                            .enqueue(new Callback() {
                                @Override
                                public void onFailure(Call call, IOException failure) {
                                    done.countDown();
                                }

                                @Override
                                public void onResponse(Call call, Response response) throws IOException {
                                    try (response) {
                                        String body = response.body().string().trim();
                                        harness.ledger.responseReceived(id, response.code(), body);
                                        matching.addAndGet(body.equals(id) ? 1 : 0);
                                    } finally {
                                        done.countDown();
                                    }
                                }
                            });
                }
                assertTrue(done.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(calls, matching.get(), fault.toString());
                assertTrue(harness.ledger.verdict().passed(), harness.ledger.verdict()::toString);
                assertEquals(calls, server.executions());
            }
        }
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /** The transport works with another server, and its refusals lead to the outcomes that they prove. */
    @Test
    void transportWorksWithOkHttpServer() throws Exception {
        try (MockWebServer server = new MockWebServer();
                TransportHarness harness = new TransportHarness(
                        "stream_window = \"16KiB\"\nconnection_window = \"64KiB\"\n" + "header_bytes = \"1KiB\"")) {
            server.setProtocols(List.of(Protocol.H2_PRIOR_KNOWLEDGE));
            AtomicInteger resetWith = new AtomicInteger(-1);
            server.setDispatcher(new Dispatcher() {
                @Override
                public MockResponse peek() {
                    int code = resetWith.get();
                    return code < 0
                            ? super.peek()
                            : new MockResponse()
                                    .setSocketPolicy(SocketPolicy.RESET_STREAM_AT_START)
                                    .setHttp2ErrorCode(code);
                }

                @Override
                public MockResponse dispatch(RecordedRequest request) {
                    String path = String.valueOf(request.getPath());
                    if (path.endsWith("large")) {
                        return new MockResponse().setBody("x".repeat(LARGE_BODY_BYTES));
                    }
                    if (path.endsWith("heads")) {
                        return new MockResponse()
                                .setHeader("Long", "x".repeat(8_000))
                                .setBody("x");
                    }
                    return new MockResponse().setBody(request.getHeader("Req-Id") + " " + request.getBodySize());
                }
            });
            server.start(TransportHarness.local(0).getAddress(), 0);
            harness.updateEndpoint(1, TransportHarness.local(server.getPort()), true);
            for (int i = 0; i < 100; i++) {
                harness.send(1, "x" + i, TransportHarness.LONG_TIMEOUT_NANOS);
            }
            for (int i = 0; i < 100; i++) {
                TransportHarness.Result result = harness.nextResult();
                assertEquals(Outcome.OK, result.outcome());
                assertEquals(result.id() + " 100", new String(result.response().body(), StandardCharsets.US_ASCII));
            }
            for (String id : List.of("large", "heads")) {
                harness.send(1, id, TransportHarness.LONG_TIMEOUT_NANOS);
                TransportHarness.Result result = harness.nextResult();
                boolean large = id.equals("large");
                assertEquals(large ? Outcome.OK : Outcome.RESET, result.outcome(), id);
                assertEquals(
                        large ? LARGE_BODY_BYTES : -1, large ? result.response().body().length : -1);
            }
            resetWith.set((int) StreamTable.REFUSED_STREAM);
            harness.send(1, "refused", TransportHarness.LONG_TIMEOUT_NANOS);
            assertEquals(Outcome.REJECTED, harness.nextResult().outcome());
            resetWith.set(2);
            harness.send(1, "reset", TransportHarness.LONG_TIMEOUT_NANOS);
            Outcome outcome = harness.nextResult().outcome();
            assertTrue(outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED, outcome::toString);
        }
    }
}
