package pondridge.grpc;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientInterceptors;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import pondridge.BalancerOptions;
import pondridge.core.BufferBudgets;
import pondridge.core.EndpointDiscovery;
import pondridge.core.Engine;
import pondridge.core.Target;
import pondridge.core.Transport;
import pondridge.http1.Frontend;
import pondridge.http1.Upstreams;
import pondridge.http2.Http2Options;
import pondridge.http2.Http2Upstreams;
import pondridge.settings.SettingsFile;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.StandinRequestClass;
import pondridge.standin.StandinServer.Protocol;

/** An engine over servers of one protocol, front ends for HTTP/1.1 and gRPC, and a grpc-java client. */
final class GrpcTestFixture implements AutoCloseable {
    static final List<String> CLASSES = List.of("stock-check", "stock-hold", "order-confirm", "order-book");
    static final Metadata.Key<String> REQUEST_ID = metadataKey("req-id");
    static final Metadata.Key<String> KIND = metadataKey("kind");
    static final Metadata.Key<String> TENANT = metadataKey("req-owner");
    static final Metadata.Key<String> IDEMPOTENCY_KEY = metadataKey("idempotency-key");
    static final Metadata.Key<String> DECLINE_MARKER = metadataKey("srv-declined");
    private final Engine engine;
    private final GrpcFrontend frontend;
    private final InetSocketAddress httpAddress;
    private final ManagedChannel channel;
    private final EventLoop loop;
    private final int grpcPort;

    /**
     * Starts the fixture.
     *
     * @param retries whether the grpc-java client retries UNAVAILABLE
     */
    GrpcTestFixture(
            EventLoop loop, BalancerOptions options, Protocol serverProtocol, List<Target> servers, boolean retries)
            throws Exception {
        this.loop = loop;
        GrpcSettings settings = settings("");
        Http2Options http2 =
                Http2Options.of(SettingsFile.parse("x", "[http2]\nquiet = \"50ms\"\n" + "ping_wait = \"50ms\"")
                        .section("http2"));
        engine = loop.submit(() -> {
                    Transport transport =
                            switch (serverProtocol) {
                                case HTTP1 -> new Upstreams(loop, options, 500);
                                case HTTP2 -> new Http2Upstreams(loop, options, http2);
                                default -> new Http2Upstreams(
                                        loop,
                                        options,
                                        http2,
                                        BufferBudgets.ofThisProcess().responses(),
                                        new GrpcUpstreamCodec(settings, options));
                            };
                    Engine started = new Engine(loop, options, 7, 4_096, transport);
                    started.start(
                            new EndpointDiscovery() {
                                @Override
                                public void watch(boolean enabled) {}

                                @Override
                                public void fetch() {}
                            },
                            servers);
                    return started;
                })
                .get();
        frontend = new GrpcFrontend(loop, settings, options, engine, "test", (event, peer, detail) -> {});
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        httpAddress = (InetSocketAddress) new Frontend(engine, options, 4_096)
                .listen(loop, anyPort)
                .sync()
                .channel()
                .localAddress();
        grpcPort = ((InetSocketAddress) frontend.listen().sync().channel().localAddress()).getPort();
        NettyChannelBuilder builder =
                NettyChannelBuilder.forAddress("127.0.0.1", grpcPort).usePlaintext();
        Map<String, ?> retryPolicy = Map.of(
                "maxAttempts",
                3.0,
                "initialBackoff",
                "0.02s",
                "maxBackoff",
                "0.1s",
                "backoffMultiplier",
                2.0,
                "retryableStatusCodes",
                List.of("UNAVAILABLE"));
        channel = (retries
                        ? builder.enableRetry()
                                .defaultServiceConfig(Map.of(
                                        "methodConfig",
                                        List.of(Map.of("name", List.of(Map.of()), "retryPolicy", retryPolicy))))
                        : builder.disableRetry())
                .build();
    }

    Engine engine() {
        return engine;
    }

    EventLoop loop() {
        return loop;
    }

    GrpcFrontend frontend() {
        return frontend;
    }

    InetSocketAddress httpAddress() {
        return httpAddress;
    }

    /** The port for gRPC clients. */
    int grpcPort() {
        return grpcPort;
    }

    /** Whether no request is in flight. */
    boolean isIdle() {
        return loop.submit(() -> engine.isIdle() && frontend.isIdle())
                .syncUninterruptibly()
                .getNow();
    }

    ManagedChannel channel() {
        return channel;
    }

    /** Makes one call with the grpc-java stub and records its end in the ledger. */
    void call(
            String id,
            String className,
            CallOptions options,
            ExecutionLedger ledger,
            long timeoutMillis,
            Runnable onEnd) {
        StandinRequestClass orderClass = StandinRequestClass.named(className);
        String key = orderClass.effect() == StandinRequestClass.Effect.KEYED ? "key-" + id : "";
        Metadata headers = new Metadata();
        headers.put(REQUEST_ID, id);
        headers.put(TENANT, "acme");
        if (!key.isEmpty()) {
            headers.put(IDEMPOTENCY_KEY, key);
        }
        ledger.requestSent(id, orderClass, key, timeoutMillis * 1_000_000);
        Channel withHeaders = ClientInterceptors.intercept(channel, MetadataUtils.newAttachHeadersInterceptor(headers));
        ClientCalls.asyncUnaryCall(
                withHeaders.newCall(method(className), options),
                id.getBytes(StandardCharsets.US_ASCII),
                new StreamObserver<>() {
                    @Override
                    public void onNext(byte[] response) {
                        ledger.responseReceived(id, 200, new String(response, StandardCharsets.US_ASCII).strip());
                    }

                    @Override
                    public void onError(Throwable error) {
                        Status.Code code = Status.fromThrowable(error).getCode();
                        ledger.responseReceived(id, code == Status.Code.UNAVAILABLE ? 503 : 502, "");
                        onEnd.run();
                    }

                    @Override
                    public void onCompleted() {
                        onEnd.run();
                    }
                });
    }

    @Override
    public void close() {
        channel.shutdownNow();
        frontend.close();
    }

    private static Metadata.Key<String> metadataKey(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    static final MethodDescriptor.Marshaller<byte[]> BYTES = new MethodDescriptor.Marshaller<>() {
        @Override
        public InputStream stream(byte[] value) {
            return new ByteArrayInputStream(value);
        }

        @Override
        public byte[] parse(InputStream stream) {
            try {
                return stream.readAllBytes();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    };

    static final MethodDescriptor<byte[], byte[]> HEALTH = MethodDescriptor.newBuilder(BYTES, BYTES)
            .setType(MethodDescriptor.MethodType.UNARY)
            .setFullMethodName("grpc.health.v1.Health/Check")
            .build();

    static MethodDescriptor<byte[], byte[]> method(String className) {
        return MethodDescriptor.newBuilder(BYTES, BYTES)
                .setType(MethodDescriptor.MethodType.UNARY)
                .setFullMethodName("orders.v1.Orders/" + className.replace("-", ""))
                .build();
    }

    static GrpcSettings settings(String grpcLines) {
        StringBuilder text = new StringBuilder("[grpc]\nlisten = \"127.0.0.1:0\"\nsecurity = \"plain\"\n" + grpcLines);
        for (String className : CLASSES) {
            text.append("\n[grpc_methods.")
                    .append(className)
                    .append("]\npath = \"/")
                    .append(method(className).getFullMethodName())
                    .append("\"\nclass = \"")
                    .append(className)
                    .append("\"\nuri = \"/api\"\n");
        }
        SettingsFile file = SettingsFile.parse("grpc", text.toString());
        GrpcSettings settings = GrpcSettings.of(file, Path.of("."));
        file.rejectUnknownKeys();
        return settings;
    }
}
