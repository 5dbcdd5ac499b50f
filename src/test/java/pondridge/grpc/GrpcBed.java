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
import pondridge.Options;
import pondridge.core.Directory;
import pondridge.core.Engine;
import pondridge.core.Target;
import pondridge.core.Transport;
import pondridge.http1.Frontend;
import pondridge.http1.Upstreams;
import pondridge.http2.Http2Options;
import pondridge.http2.Http2Upstreams;
import pondridge.settings.SettingsFile;
import pondridge.standin.EffectLedger;
import pondridge.standin.OrderClass;
import pondridge.standin.StandinServer.Protocol;

/** An engine over servers of one protocol, a front for HTTP/1.1 and one for gRPC, and grpc-java's client. */
final class GrpcBed implements AutoCloseable {
    static final List<String> CLASSES = List.of("stock-check", "stock-hold", "order-confirm", "order-book");
    static final Metadata.Key<String> ID = text("req-id");
    static final Metadata.Key<String> KIND = text("kind");
    static final Metadata.Key<String> OWNER = text("req-owner");
    static final Metadata.Key<String> KEY = text("idempotency-key");
    static final Metadata.Key<String> DECLINED = text("srv-declined");
    private final Engine engine;
    private final GrpcFront front;
    private final InetSocketAddress door;
    private final ManagedChannel channel;
    private final EventLoop loop;
    private final int port;

    /** {@code retries}: grpc-java repeats UNAVAILABLE by itself. */
    GrpcBed(EventLoop loop, Options options, Protocol spoken, List<Target> servers, boolean retries) throws Exception {
        this.loop = loop;
        GrpcSettings settings = settings("");
        Http2Options http2 =
                Http2Options.of(SettingsFile.parse("x", "[http2]\nquiet = \"50ms\"\n" + "ping_wait = \"50ms\"")
                        .section("http2"));
        engine = loop.submit(() -> {
                    Transport way =
                            switch (spoken) {
                                case HTTP1 -> new Upstreams(loop, options, 500);
                                case HTTP2 -> new Http2Upstreams(loop, options, http2);
                                default -> new Http2Upstreams(loop, options, http2, new GrpcWording(settings, options));
                            };
                    Engine made = new Engine(loop, options, 7, 4_096, way);
                    made.start(
                            new Directory() {
                                @Override
                                public void watch(boolean on) {}

                                @Override
                                public void fetch() {}
                            },
                            servers);
                    return made;
                })
                .get();
        front = new GrpcFront(loop, settings, options, engine, "test", (event, peer, detail) -> {});
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        door = (InetSocketAddress) new Frontend(engine, options, 4_096)
                .listen(loop, any)
                .sync()
                .channel()
                .localAddress();
        port = ((InetSocketAddress) front.listen().sync().channel().localAddress()).getPort();
        NettyChannelBuilder builder =
                NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext();
        Map<String, ?> policy = Map.of(
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
                                        List.of(Map.of("name", List.of(Map.of()), "retryPolicy", policy))))
                        : builder.disableRetry())
                .build();
    }

    Engine engine() {
        return engine;
    }

    EventLoop loop() {
        return loop;
    }

    GrpcFront front() {
        return front;
    }

    InetSocketAddress door() {
        return door;
    }

    /** Where gRPC clients come in. */
    int port() {
        return port;
    }

    /** Whether nothing is open. */
    boolean idle() {
        return loop.submit(() -> engine.idle() && front.idle())
                .syncUninterruptibly()
                .getNow();
    }

    ManagedChannel channel() {
        return channel;
    }

    /** One call by grpc-java's stub; the ledger sees its end. */
    void call(String id, String kind, CallOptions options, EffectLedger ledger, long waitMs, Runnable over) {
        OrderClass order = OrderClass.named(kind);
        String key = order.effect() == OrderClass.Effect.KEYED ? "key-" + id : "";
        Metadata headers = new Metadata();
        headers.put(ID, id);
        headers.put(OWNER, "acme");
        if (!key.isEmpty()) {
            headers.put(KEY, key);
        }
        ledger.asked(id, order, key, waitMs * 1_000_000);
        Channel with = ClientInterceptors.intercept(channel, MetadataUtils.newAttachHeadersInterceptor(headers));
        ClientCalls.asyncUnaryCall(
                with.newCall(method(kind), options), id.getBytes(StandardCharsets.US_ASCII), new StreamObserver<>() {
                    @Override
                    public void onNext(byte[] answer) {
                        ledger.answered(id, 200, new String(answer, StandardCharsets.US_ASCII).strip());
                    }

                    @Override
                    public void onError(Throwable problem) {
                        Status.Code code = Status.fromThrowable(problem).getCode();
                        ledger.answered(id, code == Status.Code.UNAVAILABLE ? 503 : 502, "");
                        over.run();
                    }

                    @Override
                    public void onCompleted() {
                        over.run();
                    }
                });
    }

    @Override
    public void close() {
        channel.shutdownNow();
        front.close();
    }

    private static Metadata.Key<String> text(String name) {
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

    static MethodDescriptor<byte[], byte[]> method(String kind) {
        return MethodDescriptor.newBuilder(BYTES, BYTES)
                .setType(MethodDescriptor.MethodType.UNARY)
                .setFullMethodName("orders.v1.Orders/" + kind.replace("-", ""))
                .build();
    }

    static GrpcSettings settings(String more) {
        StringBuilder text = new StringBuilder("[grpc]\nlisten = \"127.0.0.1:0\"\nsecurity = \"plain\"\n" + more);
        for (String kind : CLASSES) {
            text.append("\n[grpc_methods.")
                    .append(kind)
                    .append("]\npath = \"/")
                    .append(method(kind).getFullMethodName())
                    .append("\"\nclass = \"")
                    .append(kind)
                    .append("\"\nuri = \"/api\"\n");
        }
        SettingsFile file = SettingsFile.parse("grpc", text.toString());
        GrpcSettings read = GrpcSettings.of(file, Path.of("."));
        file.finish();
        return read;
    }
}
