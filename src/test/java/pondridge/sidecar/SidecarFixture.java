package pondridge.sidecar;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pondridge.core.Engine;
import pondridge.core.EventCounters;
import pondridge.core.Json;
import pondridge.core.MonitoredIoHandler;
import pondridge.http1.Frontend;
import pondridge.http1.StubServer;
import pondridge.http1.Upstreams;
import pondridge.platform.DiscoveryClient;
import pondridge.platform.PlatformConfig;

/** A sidecar within the test process, with a cached list of its upstreams, and a client for it. */
final class SidecarFixture implements AutoCloseable {
    static final int CLIENT_TIMEOUT_MS = 20_000;
    /** Limit on open requests and on client connections. */
    static final int MAX_OPEN = 100;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, MonitoredIoHandler.newFactory(EventCounters.unlogged()));
    final EventLoop loop = group.next();
    final Frontend frontend;
    final Engine engine;
    final DiscoveryClient discovery;
    final InetSocketAddress address;

    /** A response as the client received it. */
    record Response(int status, String head, String body) {}

    SidecarFixture(ObjectNode json) throws Exception {
        this(json, engine -> {});
    }

    /**
     * Starts a sidecar.
     *
     * @param beforeStart receives the engine before it starts
     */
    SidecarFixture(ObjectNode json, Consumer<Engine> beforeStart) throws Exception {
        PlatformConfig config = PlatformConfig.of(json);
        engine = new Engine(
                loop,
                config.options(),
                config.seed(),
                MAX_OPEN,
                new Upstreams(loop, config.options(), config.maxUpstreamConnections()));
        beforeStart.accept(engine);
        discovery = new DiscoveryClient(
                loop,
                config.discoveryAddress(),
                config.isDiscoveryPushed(),
                config.cachedEndpoints().revision(),
                engine::updateEndpoints);
        discovery.setSwitchListener(engine::discoverySwitched);
        frontend = new Frontend(engine, config.options(), MAX_OPEN);
        loop.submit(() -> engine.start(discovery, config.cachedEndpoints().targets()))
                .sync();
        address = (InetSocketAddress)
                frontend.listen(group, config.listenAddress()).sync().channel().localAddress();
    }

    static SidecarFixture with(StubServer... upstreams) throws Exception {
        return new SidecarFixture(config(upstreams));
    }

    /** A configuration with the classes look (safe), hold (keyed) and book (unsafe), and one tenant. */
    static ObjectNode config(StubServer... upstreams) throws IOException {
        ObjectNode root = (ObjectNode)
                Json.MAPPER.readTree(
                        """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"rev":41,"all":true,"targets":[]},
                 "settings":{"discovery":"automatic","quantum":5000000,"rank":0,"replicasOfMe":1,
                  "zones":["a","b"],"kinds":["m"],
                  "report":{"how":"piggyback","fields":["rate","q"]},
                  "caps":{"mayCancel":true,"mayProbe":true,"tryLimit":3,"connectTimeout":5000000000,
                   "connIdle":60000000000,"maxRetryAfter":750000000,"retryAfter":true},
                  "parties":[{"name":"acme","portion":1.0,"quotaRps":100}],
                  "rules":{"answerSlack":20000000,"stopSendingWithin":2000000000,"coldShare":0.39,
                   "rampTime":7400000000,"overloadFactor":4.0,"tipAfter":1500000000,"askWithin":10000000000},
                  "profiles":[
                   {"name":"look","slo":20000000000,"deadline":20000000000,"semantics":"repeatable"},
                   {"name":"hold","slo":20000000000,"deadline":20000000000,"semantics":"by_key",
                    "keyScope":"all","keyTtl":60000000000},
                   {"name":"book","slo":20000000000,"deadline":20000000000,"semantics":"once"}]}}""");
        ArrayNode targets = root.withObject("/known").withArray("/targets");
        for (int i = 0; i < upstreams.length; i++) {
            targets.add(target("s-" + i, upstreams[i].endpoint(), "SERVING"));
        }
        return root;
    }

    static ObjectNode target(String uid, String endpoint, String state) {
        return Json.MAPPER
                .createObjectNode()
                .put("uid", uid)
                .put("endpoint", endpoint)
                .put("az", "a")
                .put("model", "m")
                .put("pod_group", 1)
                .put("state", state)
                .put("capacity_hint", 1.0)
                .put("boot_ms", 0);
    }

    static ObjectNode endpointList(long rev, boolean all, ObjectNode... targets) {
        ObjectNode list = Json.MAPPER.createObjectNode().put("rev", rev).put("all", all);
        list.putArray("targets").addAll(List.of(targets));
        return list;
    }

    static String safeRequest(String id) {
        return "GET /api/7f3a?full=1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                + "\r\nReq-Kind: look\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + CLIENT_TIMEOUT_MS + "\r\n\r\n";
    }

    static String postRequest(String kind, String headers, String body) {
        return "POST /api/7f3a HTTP/1.1\r\nHost: app.svc\r\nReq-Id: 9b1f\r\nReq-Kind: " + kind
                + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + CLIENT_TIMEOUT_MS + "\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends a request on a new connection and reads one response. */
    Response exchange(String request) throws IOException {
        try (Client client = new Client(address)) {
            return client.exchange(request);
        }
    }

    /** One client connection of the application. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS));
            in = new BufferedInputStream(socket.getInputStream());
        }

        Response exchange(String request) throws IOException {
            StubServer.write(socket, request);
            return readResponse();
        }

        Response readResponse() throws IOException {
            String head = StubServer.readHead(in);
            if (head.isEmpty()) {
                throw new IOException("connection closed without a response");
            }
            String body = new String(in.readNBytes(StubServer.contentLength(head)), StandardCharsets.ISO_8859_1);
            return new Response(Integer.parseInt(head.substring(9, 12)), head, body);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
