package pondridge.store;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A member for measurements: sees each of so many servers answer five times a second, and shares that. */
public final class StoreProbe {
    private static final long MS = 1_000_000;
    private final EventLoop loop;
    private final SharedStore store;

    private StoreProbe(EventLoop loop, SharedStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Begins; not on the loop. */
    public static StoreProbe begin(EventLoop loop, StoreSettings settings, int servers, long seed) {
        Set<String> names =
                IntStream.range(0, servers).mapToObj(each -> "server-" + each).collect(Collectors.toSet());
        List<String> order = List.copyOf(names);
        return loop.submit(() -> {
                    SharedStore store = new SharedStore(loop, settings, () -> 0, () -> names, doubted -> {}, seed);
                    loop.scheduleAtFixedRate(
                            () -> order.forEach(each -> store.ended(each, 0, true, 5 * MS)),
                            0,
                            200,
                            TimeUnit.MILLISECONDS);
                    return new StoreProbe(loop, store);
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** On the loop. */
    public long exchanges() {
        return store.counts().getOrDefault("exchanges", 0L);
    }

    /** Ends it; on any thread. */
    public void close() {
        loop.execute(store::close);
    }
}
