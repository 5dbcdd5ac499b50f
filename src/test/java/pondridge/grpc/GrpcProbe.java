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
import pondridge.Balancer.State;
import pondridge.core.Target;
import pondridge.demo.Usual;
import pondridge.standin.StandinServer.Protocol;

/** A bed for measurements. */
public final class GrpcProbe implements AutoCloseable {
    private final GrpcBed bed;

    private GrpcProbe(GrpcBed bed) {
        this.bed = bed;
    }

    /** Over servers at these addresses, on a loop where the caller is not. */
    public static GrpcProbe over(EventLoop loop, Protocol spoken, List<InetSocketAddress> servers) throws Exception {
        List<Target> targets = new ArrayList<>();
        for (InetSocketAddress each : servers) {
            targets.add(new Target("s" + targets.size(), each, "a", "m", 0, State.READY, 1, 0));
        }
        return new GrpcProbe(new GrpcBed(loop, Usual.options(2_000), spoken, targets, false));
    }

    /** A confirmation's method. */
    public static MethodDescriptor<byte[], byte[]> confirm() {
        return GrpcBed.method("order-confirm");
    }

    /** Whether a gRPC front at an address says that it is ready. */
    public static boolean healthy(InetSocketAddress at) {
        ManagedChannel channel =
                NettyChannelBuilder.forAddress(at).usePlaintext().build();
        try {
            return ClientCalls.blockingUnaryCall(channel, GrpcBed.HEALTH, CallOptions.DEFAULT, new byte[0])[1] == 1;
        } finally {
            channel.shutdownNow();
        }
    }

    /** Where HTTP/1.1 clients come in. */
    public InetSocketAddress door() {
        return bed.door();
    }

    /** Where gRPC clients come in. */
    public int port() {
        return bed.port();
    }

    @Override
    public void close() {
        bed.close();
    }
}
