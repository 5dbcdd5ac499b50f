package pondridge.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A relay: one call upwards for all below it, and answers from memory. It follows all services: what some
 * hundred sidecars of twenty services each follow together is nearly all, and so it knows at once what is not
 * there. Cut off, it goes on with what it had, and says how old that is. On the loop, but {@link #start} and
 * {@link #close}.
 */
public final class ControlRelay implements AutoCloseable {
    private final EventLoop loop;
    private final ControlSettings settings;
    private final ControlServer server;
    private final ControlClient client;

    public ControlRelay(EventLoop loop, ControlSettings settings, Events events, Traffic up, Traffic down) {
        this.loop = loop;
        this.settings = settings;
        FollowerState state = new FollowerState(settings.instance(), List.of(), true, settings.markers());
        this.server = new ControlServer(loop, settings.serving(), state::held, state::age, down, events);
        this.client = new ControlClient(
                loop,
                settings,
                state,
                (version, kind, targets, others) -> server.changed(),
                server.serving()::sums,
                events,
                up);
    }

    /** Begins; gives where it listens. */
    public CompletableFuture<InetSocketAddress> start() {
        client.start();
        return server.listen(settings.listen());
    }

    /** As of a follower; see there. On the loop. */
    public ControlClient client() {
        return client;
    }

    /** Who below it has what; on the loop. */
    public Sums sums() {
        return server.serving().sums();
    }

    /** Updates sent that were the whole; on the loop. */
    public long wholes() {
        return server.serving().wholes();
    }

    /** Updates sent that were a difference; on the loop. */
    public long differences() {
        return server.serving().differences();
    }

    @Override
    public void close() {
        client.close();
        loop.execute(server::close);
    }
}
