package pondridge.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.UpstreamState;
import pondridge.core.EventCounters;
import pondridge.core.MonitoredIoHandler;
import pondridge.core.Target;
import pondridge.demo.StandinOptions;
import pondridge.http2.TransportHarness;
import pondridge.rig.Fleet;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.FaultScript;
import pondridge.standin.IdempotencyKeyStore;
import pondridge.standin.StandinRequestClass;
import pondridge.standin.StandinServer;
import pondridge.standin.StandinServer.Protocol;

/** Frame sequences at the gRPC front end that no client library would send. */
class GrpcFramesTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final byte[] ONE_MESSAGE = MessageReader.frame(new byte[] {1});
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(3, MonitoredIoHandler.newFactory(EventCounters.unlogged()));
    private final ExecutionLedger ledger = new ExecutionLedger(5_000 * NANOS_PER_MILLI, 2_000 * NANOS_PER_MILLI);
    private StandinServer server;
    private GrpcTestFixture fixture;
    private Channel connection;

    private void start(long workNanos) throws Exception {
        server = new StandinServer(
                group.next(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                StandinServer.Setup.of(
                        "s",
                        "a",
                        Protocol.GRPC,
                        FaultScript.withoutFaults(workNanos),
                        ledger,
                        new IdempotencyKeyStore()));
        fixture = new GrpcTestFixture(
                group.next(),
                StandinOptions.withDeadline(5_000),
                Protocol.GRPC,
                List.of(new Target("s", server.address(), "a", "m", 0, UpstreamState.READY, 1, 0)),
                false);
        connection = new Bootstrap()
                .group(group.next())
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        Http2FrameCodecBuilder.forClient().build(),
                                        new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()));
                    }
                })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), fixture.grpcPort()))
                .sync()
                .channel();
    }

    @BeforeEach
    void setUp() throws Exception {
        start(NANOS_PER_MILLI);
    }

    @AfterEach
    void tearDown() {
        stop();
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A call with its stream and its result: "http 415", the gRPC status or "gone". */
    private record Call(Http2StreamChannel stream, CompletableFuture<String> result) {
        private String await() throws Exception {
            return result.get(Fleet.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static Http2Headers headers(String className, String id) {
        return new DefaultHttp2Headers()
                .method("POST")
                .scheme("http")
                .authority("x")
                .path("/" + GrpcTestFixture.method(className).getFullMethodName())
                .set("content-type", "application/grpc")
                .set("te", "trailers")
                .set("req-owner", "acme")
                .set("req-id", id);
    }

    private Call call(Http2Headers requestHeaders, boolean endStream, byte[]... fragments) throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        Http2StreamChannel stream = new Http2StreamChannelBootstrap(connection)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object frame) {
                        if (frame instanceof Http2HeadersFrame headers && headers.isEndStream()) {
                            CharSequence status = headers.headers().get("grpc-status");
                            result.complete(
                                    status == null ? "http " + headers.headers().status() : status.toString());
                        }
                        ReferenceCountUtil.release(frame);
                    }

                    @Override
                    public void channelInactive(ChannelHandlerContext context) {
                        result.complete("gone");
                    }
                })
                .open()
                .sync()
                .getNow();
        CharSequence id = requestHeaders.get("req-id");
        if (id != null && ledger.verdict().requests() < 1_000) {
            recordRequest(id.toString());
        }
        stream.write(new DefaultHttp2HeadersFrame(requestHeaders, endStream && fragments.length == 0));
        for (int i = 0; i < fragments.length; i++) {
            stream.write(new DefaultHttp2DataFrame(
                    Unpooled.wrappedBuffer(fragments[i]), endStream && i == fragments.length - 1));
        }
        stream.flush();
        return new Call(stream, result);
    }

    private void recordRequest(String id) {
        try {
            ledger.requestSent(id, StandinRequestClass.named("order-book"), "", 5_000 * NANOS_PER_MILLI);
        } catch (IllegalArgumentException e) {
            // The test reuses the ID of an open call on purpose.
        }
    }

    @Test
    void fragmentedAndMalformedMessages() throws Exception {
        byte[] large = MessageReader.frame(new byte[60_000]);
        byte[][] singleBytes = new byte[large.length][];
        for (int i = 0; i < large.length; i++) {
            singleBytes[i] = new byte[] {large[i]};
        }
        assertEquals("0", call(headers("order-book", "r1"), true, singleBytes).await(), "one byte per frame");
        assertEquals(
                "0",
                call(headers("order-book", "r2"), true, MessageReader.frame(new byte[0]))
                        .await(),
                "empty");
        assertEquals("0", call(headers("stock-check", "r3"), true, ONE_MESSAGE).await());
        assertEquals(3, server.executions());
        byte[] twoMessages = Arrays.copyOf(ONE_MESSAGE, 2 * ONE_MESSAGE.length);
        System.arraycopy(ONE_MESSAGE, 0, twoMessages, ONE_MESSAGE.length, ONE_MESSAGE.length);
        Map<String, byte[][]> malformed = Map.of(
                "two messages",
                new byte[][] {twoMessages},
                "truncated message",
                new byte[][] {Arrays.copyOf(ONE_MESSAGE, 5)},
                "truncated prefix",
                new byte[][] {Arrays.copyOf(ONE_MESSAGE, 2)},
                "no message",
                new byte[0][],
                "invalid flag",
                new byte[][] {{7, 0, 0, 0, 0}});
        int number = 10;
        for (Map.Entry<String, byte[][]> entry : malformed.entrySet()) {
            assertEquals(
                    "13",
                    call(headers("order-book", "r" + number++), true, entry.getValue())
                            .await(),
                    entry.getKey());
        }
        Call oversized = call(headers("order-book", "r30"), false, new byte[] {0, 0, 2, 0, 0}, new byte[70_000]);
        assertEquals("8", oversized.await(), "too large, reported before the message is complete");
        TransportHarness.waitUntil(() -> !oversized.stream().isOpen(), "the rest of the message is not awaited");
        assertEquals(3, server.executions(), "no malformed call was executed");
    }

    @Test
    void invalidRequestHeaders() throws Exception {
        assertEquals("12", call(headers("no-such", "r1"), true, ONE_MESSAGE).await());
        assertEquals(
                "http 415",
                call(headers("order-book", "r2").set("content-type", "text/plain"), true, ONE_MESSAGE)
                        .await());
        assertEquals(
                "http 415",
                call(headers("order-book", "r3").method("GET"), true, ONE_MESSAGE)
                        .await());
        assertEquals(
                "3",
                call(headers("order-book", "r4").set("grpc-timeout", "soon"), true, ONE_MESSAGE)
                        .await());
        assertEquals(
                "3", call(headers("order-confirm", "r5"), true, ONE_MESSAGE).await(), "no key");
        Http2Headers unknownTenant = headers("order-book", "r6").set("req-owner", "nobody");
        assertEquals("3", call(unknownTenant, true, ONE_MESSAGE).await(), "unknown tenant");
        assertEquals(0, server.executions());
    }

    /** A client that cancels a call in flight receives nothing more, and the request ID can be used again. */
    @Test
    void cancelledCallReleasesItsRequestId() throws Exception {
        stop();
        start(400 * NANOS_PER_MILLI);
        Call first = call(headers("order-book", "r1"), true, ONE_MESSAGE);
        TransportHarness.waitUntil(() -> server.executions() == 1, "the call is executed");
        assertEquals("6", call(headers("order-book", "r1"), true, ONE_MESSAGE).await(), "the request ID is in use");
        first.stream().writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
        assertEquals("gone", first.await());
        TransportHarness.waitUntil(() -> fixture.isIdle(), "no request is in flight");
        // The balancer has seen a call without a response and may refuse some calls for a while.
        int number = 2;
        String status = "14";
        for (; status.equals("14") && number < 200; number++) {
            status = call(headers("stock-check", "r" + number), true, ONE_MESSAGE)
                    .await();
            Thread.sleep(20);
        }
        assertEquals("0", status, "other calls are served");
        assertEquals(2, server.executions(), "the cancelled call was not repeated");
    }

    /** A call and its cancellation both arrive while the event loop is blocked: the call is not forwarded. */
    @Test
    void callCancelledWhileTheLoopIsBlockedIsNotForwarded() throws Exception {
        assertEquals("0", call(headers("order-book", "r1"), true, ONE_MESSAGE).await());
        whileLoopIsBlocked(
                // Longer than a disconnect may go unnoticed.
                150, () -> call(headers("order-book", "r2"), true, ONE_MESSAGE).stream()
                        .writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL))
                        .sync());
        TransportHarness.waitUntil(
                () -> fixture.engine().requestCount() == 2 && fixture.isIdle(), "the call has ended");
        assertEquals("0", call(headers("order-book", "r3"), true, ONE_MESSAGE).await());
        assertEquals(2, server.executions(), "the cancelled call was not executed");
    }

    /** A call arrives while the event loop is blocked for longer than its timeout: it is not forwarded. */
    @Test
    void callThatExpiredWhileTheLoopWasBlockedIsNotForwarded() throws Exception {
        assertEquals("0", call(headers("order-book", "r1"), true, ONE_MESSAGE).await());
        List<Call> expired = new ArrayList<>();
        whileLoopIsBlocked(
                300,
                () -> expired.add(call(headers("order-book", "r2").set("grpc-timeout", "100m"), true, ONE_MESSAGE)));
        assertNotEquals("0", expired.get(0).await());
        assertEquals("0", call(headers("order-book", "r3"), true, ONE_MESSAGE).await());
        assertEquals(2, server.executions(), "the expired call was not executed");
    }

    /** Runs while the event loop of the front end does nothing, for this long after the action. */
    private void whileLoopIsBlocked(long millis, Callable<?> action) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        fixture.loop().execute(() -> {
            blocked.countDown();
            try {
                release.await(Fleet.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        action.call();
        Thread.sleep(millis);
        release.countDown();
    }

    private void stop() {
        connection.close();
        fixture.close();
        server.close();
    }
}
