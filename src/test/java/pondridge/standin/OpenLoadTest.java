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

/** The clients of the rig do as the platform's do. */
class OpenLoadTest {
    private static final long WAIT = 20_000_000_000L;

    /** A request that crosses its connection's close unread is sent once more, and has its answer. */
    @Test
    void aRequestThatCrossesACloseIsSentOnceMore() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        // A stub has a thread for each connection.
        ThreadLocal<Boolean> used = ThreadLocal.withInitial(() -> false);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        // Each second request on a connection finds it closing.
        try (Stub front = new Stub((socket, head) -> {
            sent.incrementAndGet();
            boolean second = used.get();
            used.set(true);
            return !second && Stub.reply(socket, "200 OK", "", Stub.header(head, "Req-Id"));
        })) {
            EffectLedger ledger = new EffectLedger(0, 0);
            OpenLoad load = new OpenLoad(group.next(), List.of(front.address()), ledger, 1, "x");
            load.start(new OpenLoad.Plan(20, 20, Map.of("stock-check", 1.0), Map.of("stock-check", WAIT), 0))
                    .get(Stub.LIMIT_S, TimeUnit.SECONDS);
            Verdict verdict = ledger.verdict();
            assertTrue(verdict.clean(), verdict::toString);
            assertEquals(20, verdict.served());
            assertEquals(0, load.broken());
            assertTrue(sent.get() > 20, "some were sent twice: " + sent);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
