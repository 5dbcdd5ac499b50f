package pondridge.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A relay: holds one connection to the source or another relay, and serves its own watchers from memory. It
 * follows all services: some hundred sidecars with twenty services each together follow nearly all of them
 * anyway, and the relay can tell at once which services do not exist. When cut off it keeps serving the state
 * that it has, and reports how old that state is. Runs on the event loop, except {@link #start} and {@link
 * #close}.
 */
public final class ControlRelay implements AutoCloseable {
    private final EventLoop loop;
    private final ControlSettings settings;
    private final ControlServer server;
    private final ControlClient client;

    public ControlRelay(
            EventLoop loop,
            ControlSettings settings,
            EventLog events,
            Traffic upstreamTraffic,
            Traffic watcherTraffic) {
        this.loop = loop;
        this.settings = settings;
        FollowerState state = new FollowerState(settings.instance(), List.of(), true, settings.maxTombstones());
        this.server = new ControlServer(
                loop, settings.watcherLimits(), state::resources, state::ageNanos, watcherTraffic, events);
        this.client = new ControlClient(
                loop,
                settings,
                state,
                (version, kind, targets, changedSettings) -> server.stateChanged(),
                server.scheduler()::propagationStatus,
                events,
                upstreamTraffic);
    }

    /** Starts the relay and returns the address on which it listens. */
    public CompletableFuture<InetSocketAddress> start() {
        client.start();
        return server.listen(settings.listenAddress());
    }

    /** Returns the client through which the relay follows. Call on the event loop. */
    public ControlClient client() {
        return client;
    }

    /** Returns which versions the followers below have. Call on the event loop. */
    public PropagationStatus propagationStatus() {
        return server.scheduler().propagationStatus();
    }

    /** Returns the number of snapshots sent. Call on the event loop. */
    public long snapshotsSent() {
        return server.scheduler().snapshotsSent();
    }

    /** Returns the number of deltas sent. Call on the event loop. */
    public long deltasSent() {
        return server.scheduler().deltasSent();
    }

    @Override
    public void close() {
        client.close();
        loop.execute(server::close);
    }
}
