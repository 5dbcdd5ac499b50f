package pondridge.grpc;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import pondridge.Balancer.UpstreamState;
import pondridge.core.Target;
import pondridge.demo.StandinOptions;
import pondridge.standin.StandinServer.Protocol;

/** Test fixture of the gRPC front end for the tests and benchmarks of other packages. */
public final class GrpcFrontendFixture implements AutoCloseable {
    private final GrpcTestFixture fixture;

    private GrpcFrontendFixture(GrpcTestFixture fixture) {
        this.fixture = fixture;
    }

    /** Starts a fixture over the servers at these addresses; must not be called on the event loop. */
    public static GrpcFrontendFixture start(EventLoop loop, Protocol serverProtocol, List<InetSocketAddress> servers)
            throws Exception {
        List<Target> targets = new ArrayList<>();
        for (InetSocketAddress server : servers) {
            targets.add(new Target("s" + targets.size(), server, "a", "m", 0, UpstreamState.READY, 1, 0));
        }
        return new GrpcFrontendFixture(
                new GrpcTestFixture(loop, StandinOptions.withDeadline(2_000), serverProtocol, targets, false));
    }

    /** The method of the class order-confirm. */
    public static MethodDescriptor<byte[], byte[]> orderConfirmMethod() {
        return GrpcTestFixture.method("order-confirm");
    }

    /** Whether the health check of the gRPC front end at an address reports SERVING. */
    public static boolean isServing(InetSocketAddress address) {
        ManagedChannel channel =
                NettyChannelBuilder.forAddress(address).usePlaintext().build();
        try {
            return ClientCalls.blockingUnaryCall(channel, GrpcTestFixture.HEALTH, CallOptions.DEFAULT, new byte[0])[1]
                    == 1;
        } finally {
            channel.shutdownNow();
        }
    }

    /** The address for HTTP/1.1 clients. */
    public InetSocketAddress httpAddress() {
        return fixture.httpAddress();
    }

    /** The port for gRPC clients. */
    public int grpcPort() {
        return fixture.grpcPort();
    }

    @Override
    public void close() {
        fixture.close();
    }
}
