package pondridge.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import pondridge.Balancer.EndpointListKind;
import pondridge.core.EndpointDiscovery;
import pondridge.core.Target;

/**
 * Follows some services through one connection at a time to one of several relays. When the connection ends,
 * the client moves to another relay and resumes from the version that it holds. The state that it holds stays
 * in effect in any case. The client has no thread of its own: everything runs on the event loop, except
 * {@link #start} and {@link #close}, which may be called on any thread.
 */
public final class ControlClient implements AutoCloseable, EndpointDiscovery {
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Is notified of updates, on the event loop. */
    public interface Listener {
        /**
         * A version has taken effect.
         *
         * @param kind whether the targets are the full list or those that changed. It is {@code FAILED},
         * without targets, if the list was requested and the state is older than {@code stale}
         * @param settings values by service, a slash and name; null for a deleted setting
         */
        void applied(Version version, EndpointListKind kind, List<Target> targets, Map<String, String> settings);
    }

    private final EventLoop loop;
    private final ControlSettings settings;
    private final FollowerState state;
    private final RelaySelector selector;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Listener listener;
    private final Supplier<PropagationStatus> downstreamStatus;
    private final EventLog events;
    private final Traffic traffic;
    private RelayConnection connection;
    private Future<?> pendingDial;
    private boolean closed;
    private long snapshotsReceived;
    private long deltasReceived;

    /** Creates a follower. Many may share an event loop, events and traffic. */
    public ControlClient(
            EventLoop loop, ControlSettings settings, Listener listener, EventLog events, Traffic traffic) {
        this(
                loop,
                settings,
                new FollowerState(settings.instance(), settings.services(), false, 0),
                listener,
                () -> PropagationStatus.NONE,
                events,
                traffic);
    }

    ControlClient(
            EventLoop loop,
            ControlSettings settings,
            FollowerState state,
            Listener listener,
            Supplier<PropagationStatus> downstreamStatus,
            EventLog events,
            Traffic traffic) {
        this.loop = loop;
        this.settings = settings;
        this.state = state;
        this.listener = listener;
        this.downstreamStatus = downstreamStatus;
        this.events = events;
        this.traffic = traffic;
        for (InetSocketAddress each : settings.parentAddresses()) {
            addresses.put(each.getAddress().getHostAddress() + ':' + each.getPort(), each);
        }
        this.selector =
                new RelaySelector(settings.instance(), List.copyOf(addresses.keySet()), settings.relaySelectorLimits());
    }

    /** Starts to connect. */
    public void start() {
        loop.execute(this::dial);
    }

    /** Closes the connection, for good. */
    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            if (pendingDial != null) {
                pendingDial.cancel(false);
            }
            if (connection != null) {
                RelayConnection previous = connection;
                connection = null;
                previous.close();
            }
        });
    }

    /** Returns the version in effect. Call on the event loop. */
    public Version version() {
        return state.version();
    }

    /**
     * Returns the age of the state in effect, in nanoseconds; {@code Long.MAX_VALUE} while there is none.
     * Call on the event loop.
     */
    public long ageNanos() {
        return state.ageNanos(System.nanoTime());
    }

    /**
     * Returns the digest of all resources, which equals the source's for the same services. Call on the event
     * loop.
     */
    public long digest() {
        return state.resources().digest(List.of());
    }

    /**
     * Returns the address and port of the relay that this client follows, or null if it follows none now.
     * Call on the event loop.
     */
    public String connectedRelay() {
        return connection == null || !connection.established ? null : connection.relay;
    }

    /** Returns the number of snapshots received. Call on the event loop. */
    public long snapshotsReceived() {
        return snapshotsReceived;
    }

    /** Returns the number of deltas received. Call on the event loop. */
    public long deltasReceived() {
        return deltasReceived;
    }

    private void dial() {
        if (!closed && connection == null) {
            RelaySelector.DialPlan plan = selector.nextDial(System.nanoTime());
            scheduleUnlessConnected(plan.atNanos() - System.nanoTime(), () -> {
                connection = new RelayConnection(plan.relay());
                connection.connect();
            });
        }
    }

    private void scheduleUnlessConnected(long delayNanos, Runnable task) {
        pendingDial = loop.schedule(
                () -> {
                    if (!closed && connection == null) {
                        task.run();
                    }
                },
                Math.max(0, delayNanos),
                TimeUnit.NANOSECONDS);
    }

    /**
     * Changes are always reported. If the state is fresh, the listener is notified at once that nothing has
     * changed.
     */
    @Override
    public void watch(boolean on) {
        if (on && ageNanos() <= settings.staleAfterNanos()) {
            notifyListener(EndpointListKind.DELTA, List.of());
        }
    }

    /** Reports the full list from memory, or a failure if the state is stale. */
    @Override
    public void fetch() {
        boolean fresh = ageNanos() <= settings.staleAfterNanos();
        notifyListener(
                fresh ? EndpointListKind.FULL : EndpointListKind.FAILED,
                fresh ? state.resources().changesSince(-1, List.of(), false) : List.of());
    }

    private void notifyListener(EndpointListKind kind, List<Change> changes) {
        List<Target> targets = new ArrayList<>();
        Map<String, String> changedSettings = new LinkedHashMap<>();
        for (Change each : changes) {
            Resource current = each.isDeleted() ? null : state.resources().get(each.service(), each.name());
            if (each.name().startsWith("@")) {
                changedSettings.put(each.service() + '/' + each.name(), current == null ? null : current.body());
                continue;
            }
            try {
                targets.add(TargetCodec.toTarget(each.name(), each.state(), current == null ? "" : current.body()));
            } catch (IllegalArgumentException e) {
                events.report("entry_passed_over", each.service(), e.getMessage());
            }
        }
        try {
            listener.applied(state.version(), kind, targets, changedSettings);
        } catch (RuntimeException e) {
            events.report("listener_failed", "", e.toString());
        }
    }

    /** One connection to a relay, until it ends. */
    private final class RelayConnection extends FrameHandler {
        private final String relay;
        private long lastMessageNanos = System.nanoTime();
        private long establishedNanos;
        private long failbackNanos = Long.MAX_VALUE;
        private Channel channel;
        private Future<?> timer;
        private PropagationStatus reportedStatus = PropagationStatus.NONE;
        private Version reportedVersion = Version.NONE;
        private boolean established;

        RelayConnection(String relay) {
            super(settings.maxMessageBytes(), traffic);
            this.relay = relay;
        }

        private void connect() {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel newChannel) {
                            addTo(newChannel.pipeline());
                        }
                    })
                    .connect(addresses.get(relay))
                    .addListener((ChannelFutureListener) future -> {
                        if (connection != this) {
                            future.channel().close();
                        } else if (future.isSuccess()) {
                            channel = future.channel();
                            send(channel, Codec.encodeHello(state.hello()), traffic);
                            scheduleCheck();
                        } else {
                            disconnect("connection failed");
                        }
                    });
        }

        /** Checks periodically whether the connection is still of use. */
        private void scheduleCheck() {
            long intervalNanos =
                    state.hello().isRelay() ? settings.statusIntervalNanos() : settings.silenceTimeoutNanos() / 4;
            timer = loop.schedule(
                    () -> {
                        long nowNanos = System.nanoTime();
                        if (nowNanos - lastMessageNanos > settings.silenceTimeoutNanos()) {
                            disconnect("silent");
                        } else if (established
                                && nowNanos - establishedNanos > settings.staleAfterNanos()
                                && state.ageNanos(nowNanos) > settings.staleAfterNanos()) {
                            established = false;
                            disconnect("stale state");
                        } else if (nowNanos > failbackNanos) {
                            selector.failBack();
                            connection = null;
                            close();
                            dial();
                        } else {
                            reportStatus();
                            scheduleCheck();
                        }
                    },
                    intervalNanos,
                    TimeUnit.NANOSECONDS);
        }

        /** Reports the status of the followers below, or the version held, when it has changed. */
        private void reportStatus() {
            PropagationStatus status = downstreamStatus.get();
            if (established
                    && (!status.equals(reportedStatus) || !state.version().equals(reportedVersion))) {
                sendAck(0, FollowerState.ApplyResult.UNCHANGED);
            }
        }

        private void sendAck(long serial, FollowerState.ApplyResult result) {
            reportedStatus = downstreamStatus.get();
            reportedVersion = state.version();
            send(channel, Codec.encodeAck(new Ack(serial, reportedVersion, result, reportedStatus)), traffic);
        }

        @Override
        void onMessage(byte[] bytes) {
            if (connection != this) {
                return;
            }
            JsonNode node = Codec.parse(bytes);
            if (node.has("error")) {
                established = false;
                disconnect("refused by the server: " + node.path("error").asText());
                return;
            }
            long nowNanos = System.nanoTime();
            lastMessageNanos = nowNanos;
            if (node.has("alive")) {
                return;
            }
            Update update = Codec.decodeUpdate(node);
            List<String> missingBefore = state.missingServices();
            Version versionBefore = state.version();
            FollowerState.ApplyResult result = state.apply(update, nowNanos);
            if (!established) {
                established = true;
                establishedNanos = nowNanos;
                failbackNanos = selector.failbackAtNanos(relay, nowNanos);
                events.report("following", relay, "from version " + versionBefore);
            }
            selector.recordSuccess(relay);
            switch (result) {
                case APPLIED -> {
                    snapshotsReceived += update.snapshot() ? 1 : 0;
                    deltasReceived += update.snapshot() ? 0 : 1;
                    notifyListener(
                            update.snapshot() ? EndpointListKind.FULL : EndpointListKind.DELTA, update.changes());
                }
                case GAP, MISMATCH -> events.report(
                        "refused",
                        relay,
                        (result == FollowerState.ApplyResult.GAP
                                        ? "delta can't be applied, its base is version "
                                                + update.version().epoch() + '.' + update.baseNumber()
                                        : "digest mismatch, requesting a snapshot")
                                + "; update to version " + update.version()
                                + ", holding version " + versionBefore);
                default -> {}
            }
            if (!state.missingServices().isEmpty() && !state.missingServices().equals(missingBefore)) {
                events.report("not_there", relay, "services " + String.join(", ", state.missingServices()));
            }
            sendAck(update.serial(), result);
        }

        @Override
        void onProtocolError(String problem) {
            if (connection == this) {
                established = false;
                disconnect("protocol error: " + problem);
            }
        }

        private void disconnect(String reason) {
            if (connection != this) {
                return;
            }
            connection = null;
            close();
            long nowNanos = System.nanoTime();
            events.report("left", relay, reason + "; holding version " + state.version());
            if (established) {
                scheduleUnlessConnected(selector.connectionLost(relay, nowNanos) - nowNanos, ControlClient.this::dial);
            } else {
                selector.recordFailure(relay, nowNanos);
                dial();
            }
        }

        private void close() {
            if (timer != null) {
                timer.cancel(false);
            }
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            disconnect("ended");
        }
    }
}
