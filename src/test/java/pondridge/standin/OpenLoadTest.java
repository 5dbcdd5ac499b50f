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
import pondridge.http1.Stub;
import pondridge.standin.EffectLedger.Verdict;

/** The generated load behaves as the platform's clients do. */
class OpenLoadTest {
    private static final long TIMEOUT_NANOS = 20_000_000_000L;

    /** A request sent on a reused connection while the server closes it is sent once more and gets its response. */
    @Test
    void requestsOnAClosingConnectionAreSentOnceMore() throws Exception {
        AtomicInteger received = new AtomicInteger();
        // The stub serves each connection on a thread of its own.
        ThreadLocal<Boolean> reused = ThreadLocal.withInitial(() -> false);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        // The stub closes each connection on its second request, without a response.
        try (Stub server = new Stub((socket, head) -> {
            received.incrementAndGet();
            boolean second = reused.get();
            reused.set(true);
            return !second && Stub.reply(socket, "200 OK", "", Stub.header(head, "Req-Id"));
        })) {
            EffectLedger ledger = new EffectLedger(0, 0);
            OpenLoad load = new OpenLoad(group.next(), List.of(server.address()), ledger, 1, "x");
            load.start(new OpenLoad.Plan(20, 20, Map.of("stock-check", 1.0), Map.of("stock-check", TIMEOUT_NANOS), 0))
                    .get(Stub.LIMIT_S, TimeUnit.SECONDS);
            Verdict verdict = ledger.verdict();
            assertTrue(verdict.clean(), verdict::toString);
            assertEquals(20, verdict.served());
            assertEquals(0, load.broken());
            assertTrue(received.get() > 20, "some requests were sent twice: " + received);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
