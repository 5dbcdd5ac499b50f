package pondridge.store;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A member for measurements: records five attempts a second at each of its servers, and reports them. */
public final class SyntheticMember {
    private static final long MS = 1_000_000;
    private final EventLoop loop;
    private final SharedStore store;

    private SyntheticMember(EventLoop loop, SharedStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Starts a member. Not to be called on the event loop. */
    public static SyntheticMember start(EventLoop loop, StoreSettings settings, int servers, long seed) {
        Set<String> names =
                IntStream.range(0, servers).mapToObj(each -> "server-" + each).collect(Collectors.toSet());
        List<String> orderedNames = List.copyOf(names);
        return loop.submit(() -> {
                    SharedStore store = new SharedStore(loop, settings, () -> 0, () -> names, suspects -> {}, seed);
                    loop.scheduleAtFixedRate(
                            () -> orderedNames.forEach(each -> store.attemptEnded(each, 0, true, 5 * MS)),
                            0,
                            200,
                            TimeUnit.MILLISECONDS);
                    return new SyntheticMember(loop, store);
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** The number of exchanges started. To be called on the event loop. */
    public long exchanges() {
        return store.counts().getOrDefault("exchanges", 0L);
    }

    /** Stops the member. May be called on any thread. */
    public void close() {
        loop.execute(store::close);
    }
}
