package pondridge.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pondridge.demo.Certificates;
import pondridge.demo.StandinOptions;
import pondridge.http2.TransportHarness;
import pondridge.settings.SettingsFile;

/** The gRPC front end over TLS, with a grpc-java client. */
class GrpcTlsTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private static byte[] checkHealth(NettyChannelBuilder builder) {
        ManagedChannel channel = builder.build();
        try {
            return ClientCalls.blockingUnaryCall(channel, GrpcTestFixture.HEALTH, CallOptions.DEFAULT, new byte[0]);
        } finally {
            channel.shutdownNow();
        }
    }

    /** A client that trusts the certificate is served; a wrong name, another authority or plain text fails. */
    @Test
    void onlyClientsThatTrustTheCertificateAreServed(@TempDir Path directory, @TempDir Path foreignDirectory)
            throws Exception {
        new Certificates(directory).issue("front");
        new Certificates(foreignDirectory).issue("front");
        Map<String, String> events = new ConcurrentHashMap<>();
        SettingsFile file = SettingsFile.parse(
                "grpc",
                "[grpc]\nlisten = \"127.0.0.1:0\"\n" + "certificate = \"front.pem\"\nkey_file = \"front.key\"\n");
        GrpcSettings settings = GrpcSettings.of(file, directory);
        file.rejectUnknownKeys();
        EventLoop loop = group.next();
        GrpcFrontend frontend = new GrpcFrontend(
                loop,
                settings,
                StandinOptions.withDeadline(1_000),
                null,
                "test",
                (event, peer, detail) -> events.put(event, detail));
        int port = ((InetSocketAddress) frontend.listen().sync().channel().localAddress()).getPort();
        loop.submit(() -> frontend.setReady(true)).sync();
        try {
            for (List<String> client : List.of(
                    List.of("front", "own"),
                    List.of("other", "own"),
                    List.of("front", "foreign"),
                    List.of("front", "plain"))) {
                NettyChannelBuilder builder =
                        NettyChannelBuilder.forAddress("127.0.0.1", port).overrideAuthority(client.get(0));
                Path trusted = (client.get(1).equals("own") ? directory : foreignDirectory).resolve("ca.pem");
                NettyChannelBuilder secured = client.get(1).equals("plain")
                        ? builder.usePlaintext()
                        : builder.sslContext(GrpcSslContexts.forClient()
                                .trustManager(trusted.toFile())
                                .build());
                if (client.equals(List.of("front", "own"))) {
                    assertEquals(1, checkHealth(secured)[1]);
                } else {
                    assertThrows(StatusRuntimeException.class, () -> checkHealth(secured), client.toString());
                }
            }
            TransportHarness.waitUntil(() -> events.containsKey("grpc_refused"), "the refusal is reported");
            assertTrue(events.keySet().stream().allMatch(event -> event.startsWith("grpc_")), events::toString);
        } finally {
            frontend.close();
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
