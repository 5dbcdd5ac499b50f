package pondridge.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import pondridge.http1.StubServer;
import pondridge.standin.ExecutionLedger.Verdict;

/** The generated load behaves as the platform's clients do. */
class OpenLoopLoadGeneratorTest {
    private static final long TIMEOUT_NANOS = 20_000_000_000L;

    /** A request sent on a reused connection while the server closes it is sent once more and gets its response. */
    @Test
    void requestsOnAClosingConnectionAreSentOnceMore() throws Exception {
        AtomicInteger received = new AtomicInteger();
        // The stub serves each connection on a thread of its own.
        ThreadLocal<Boolean> reused = ThreadLocal.withInitial(() -> false);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        // The stub closes each connection on its second request, without a response.
        try (StubServer server = new StubServer((socket, head) -> {
            received.incrementAndGet();
            boolean second = reused.get();
            reused.set(true);
            return !second && StubServer.reply(socket, "200 OK", "", StubServer.header(head, "Req-Id"));
        })) {
            ExecutionLedger ledger = new ExecutionLedger(0, 0);
            OpenLoopLoadGenerator load =
                    new OpenLoopLoadGenerator(group.next(), List.of(server.address()), ledger, 1, "x");
            load.start(new OpenLoopLoadGenerator.Plan(
                            20, 20, Map.of("stock-check", 1.0), Map.of("stock-check", TIMEOUT_NANOS), 0))
                    .get(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            Verdict verdict = ledger.verdict();
            assertTrue(verdict.passed(), verdict::toString);
            assertEquals(20, verdict.served());
            assertEquals(0, load.lostRequests());
            assertTrue(received.get() > 20, "some requests were sent twice: " + received);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
