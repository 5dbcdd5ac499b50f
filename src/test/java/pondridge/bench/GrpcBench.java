package pondridge.bench;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientInterceptors;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import pondridge.grpc.GrpcFrontendFixture;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.FaultScript;
import pondridge.standin.IdempotencyKeyStore;
import pondridge.standin.StandinServer;
import pondridge.standin.StandinServer.Protocol;

/**
 * Compares unary calls of the grpc-java client directly to stand-in servers and through bankflow, with HTTP/1.1
 * as the reference.
 */
final class GrpcBench {
    private static final int ROUNDS = 3;
    private static final int SERVERS = 4;
    private static final long WARM_UP_MS = 4_000;
    private static final long MEASURED_MS = 4_000;
    private static final AtomicInteger IDS = new AtomicInteger();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());

    private record Result(double perSecond, double p50Micros, double p99Micros, double cpuMicros, long failed) {}

    /** The protocols of clients and servers; a direct route connects them without bankflow. */
    private enum Route {
        DIRECT_GRPC(true, Protocol.GRPC),
        GRPC_TO_GRPC(true, Protocol.GRPC),
        GRPC_TO_HTTP1(true, Protocol.HTTP1),
        HTTP1_TO_GRPC(false, Protocol.GRPC),
        HTTP1_TO_HTTP1(false, Protocol.HTTP1);

        private final boolean grpcClient;
        private final Protocol servers;

        Route(boolean grpcClient, Protocol servers) {
            this.grpcClient = grpcClient;
            this.servers = servers;
        }
    }

    void run() throws Exception {
        for (int clients : new int[] {1, 64}) {
            double[] direct = null;
            double http1 = 0;
            for (Route route : new Route[] {
                Route.DIRECT_GRPC, Route.HTTP1_TO_HTTP1, Route.GRPC_TO_GRPC, Route.GRPC_TO_HTTP1, Route.HTTP1_TO_GRPC
            }) {
                List<Result> results = new ArrayList<>();
                for (int i = 0; i < ROUNDS; i++) {
                    results.add(measure(route, clients));
                }
                double[] mean = new double[5];
                for (Result each : results) {
                    mean[0] += each.perSecond / ROUNDS;
                    mean[1] += each.p50Micros / ROUNDS;
                    mean[2] += each.p99Micros / ROUNDS;
                    mean[3] += each.cpuMicros / ROUNDS;
                    mean[4] += each.failed;
                }
                direct = direct == null ? mean : direct;
                http1 = route == Route.HTTP1_TO_HTTP1 ? mean[3] : http1;
                System.out.printf(
                        "bench grpc: way=%s clients=%d per_s=%.0f p50_us=%.0f p99_us=%.0f "
                                + "added_p50_us=%.0f added_p99_us=%.0f cpu_us=%.1f cpu_to_http1=%.2f bad=%.0f%n",
                        route,
                        clients,
                        mean[0],
                        mean[1],
                        mean[2],
                        mean[1] - direct[1],
                        mean[2] - direct[2],
                        mean[3],
                        mean[3] / http1,
                        mean[4]);
            }
        }
    }

    private Result measure(Route route, int clients) throws Exception {
        ExecutionLedger ledger = new ExecutionLedger(0, 0);
        IdempotencyKeyStore keyStore = new IdempotencyKeyStore();
        List<StandinServer> servers = new ArrayList<>();
        EventLoop serverLoop = group.next();
        EventLoop sidecarLoop = group.next();
        EventLoop clientLoop = group.next();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new StandinServer(
                    serverLoop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    StandinServer.Setup.of(
                            "s" + i, "a", route.servers, FaultScript.withoutFaults(0), ledger, keyStore)));
        }
        try (GrpcFrontendFixture probe = GrpcFrontendFixture.start(
                sidecarLoop,
                route.servers,
                servers.stream().map(StandinServer::address).toList())) {
            if (!route.grpcClient) {
                try (ClosedLoopLoad warmUp = new ClosedLoopLoad(clientLoop, List.of(probe.httpAddress()), clients)) {
                    warmUp.run(WARM_UP_MS / 2, WARM_UP_MS / 2);
                }
                long before = cpuNanos(sidecarLoop);
                try (ClosedLoopLoad load = new ClosedLoopLoad(clientLoop, List.of(probe.httpAddress()), clients)) {
                    load.run(0, MEASURED_MS);
                    return result(load.latency(), load.succeeded(), load.failed(), cpuNanos(sidecarLoop) - before);
                }
            }
            int port = route == Route.DIRECT_GRPC ? servers.get(0).address().getPort() : probe.grpcPort();
            ManagedChannel channel = NettyChannelBuilder.forAddress("127.0.0.1", port)
                    .usePlaintext()
                    .disableRetry()
                    .directExecutor()
                    .build();
            try {
                new ClosedLoopCalls(channel, clients).run(WARM_UP_MS);
                long before = cpuNanos(sidecarLoop);
                ClosedLoopCalls calls = new ClosedLoopCalls(channel, clients);
                calls.run(MEASURED_MS);
                return result(calls.latency, calls.succeeded.sum(), calls.failed.sum(), cpuNanos(sidecarLoop) - before);
            } finally {
                channel.shutdownNow();
            }
        } finally {
            servers.forEach(StandinServer::close);
        }
    }

    private static Result result(Histogram latency, long succeeded, long failed, long cpuNanos) {
        return new Result(
                succeeded * 1e3 / MEASURED_MS,
                latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3,
                cpuNanos / 1e3 / Math.max(1, succeeded),
                failed);
    }

    private static long cpuNanos(EventLoop loop) {
        return loop.submit(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime())
                .syncUninterruptibly()
                .getNow();
    }

    /** Closed-loop load: keeps this number of calls open and starts the next one as soon as one ends. */
    private static final class ClosedLoopCalls {
        private final Channel channel;
        private final int clients;
        private final MethodDescriptor<byte[], byte[]> method = GrpcFrontendFixture.orderConfirmMethod();
        private final Histogram latency = new ConcurrentHistogram(10_000_000_000L, 3);
        private final LongAdder succeeded = new LongAdder();
        private final LongAdder failed = new LongAdder();
        private volatile boolean stopped;

        ClosedLoopCalls(Channel channel, int clients) {
            this.channel = channel;
            this.clients = clients;
        }

        private void run(long millis) throws InterruptedException {
            for (int i = 0; i < clients; i++) {
                startCall();
            }
            Thread.sleep(millis);
            stopped = true;
        }

        private void startCall() {
            String id = "b" + IDS.incrementAndGet();
            Metadata headers = new Metadata();
            headers.put(Metadata.Key.of("req-id", Metadata.ASCII_STRING_MARSHALLER), id);
            headers.put(Metadata.Key.of("req-owner", Metadata.ASCII_STRING_MARSHALLER), "acme");
            headers.put(Metadata.Key.of("idempotency-key", Metadata.ASCII_STRING_MARSHALLER), id);
            long startNanos = System.nanoTime();
            ClientCalls.asyncUnaryCall(
                    ClientInterceptors.intercept(channel, MetadataUtils.newAttachHeadersInterceptor(headers))
                            .newCall(method, CallOptions.DEFAULT),
                    new byte[200],
                    new StreamObserver<>() {
                        @Override
                        public void onNext(byte[] response) {}

                        @Override
                        public void onError(Throwable error) {
                            failed.increment();
                            startNext();
                        }

                        @Override
                        public void onCompleted() {
                            succeeded.increment();
                            latency.recordValue(System.nanoTime() - startNanos);
                            startNext();
                        }

                        private void startNext() {
                            if (!stopped) {
                                startCall();
                            }
                        }
                    });
        }
    }
}
