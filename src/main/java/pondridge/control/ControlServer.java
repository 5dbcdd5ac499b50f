package pondridge.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import pondridge.core.AcceptMonitor;
import pondridge.core.EventCounters;
import pondridge.core.RetryingBinder;

/**
 * Accepts watchers, for a source or a relay; {@link UpdateScheduler} decides what they are sent. Closes a
 * connection whose hello does not arrive within five seconds, and one that sends an invalid message. Runs on
 * the event loop, except {@link #listen}.
 */
final class ControlServer {
    private static final long HELLO_TIMEOUT_MS = 5_000;
    private static final int MAX_MESSAGE_BYTES = FrameHandler.MAX_FRAME_BYTES;
    /** New connections may arrive before old ones are seen to close. */
    private static final int SPARE_CONNECTIONS = 64;

    private final EventLoop loop;
    private final UpdateScheduler.Limits limits;
    private final UpdateScheduler scheduler;
    private final Traffic traffic;
    private final EventLog events;
    private final Map<Long, WatcherConnection> connections = new HashMap<>();
    private final Set<Channel> openChannels = new HashSet<>();
    private Channel serverChannel;
    private boolean closed;
    private long lastId;

    ControlServer(
            EventLoop loop,
            UpdateScheduler.Limits limits,
            Supplier<ResourceStore> resources,
            LongUnaryOperator ageNanos,
            Traffic traffic,
            EventLog events) {
        this.loop = loop;
        this.limits = limits;
        this.scheduler = new UpdateScheduler(limits, resources, ageNanos);
        this.traffic = traffic;
        this.events = events;
    }

    /** Starts to accept watchers. The future holds the bound address or the failure. */
    CompletableFuture<InetSocketAddress> listen(InetSocketAddress bindAddress) {
        return RetryingBinder.bind(loop, () -> bind(bindAddress)).thenApplyAsync(this::setServerChannel, loop);
    }

    private ChannelFuture bind(InetSocketAddress bindAddress) {
        EventCounters counters = new EventCounters(line -> events.report("accept", "", line), System::nanoTime);
        return new AcceptMonitor(AcceptMonitor.DEFAULT_ACCEPTS_PER_TURN, counters, () -> {})
                .installOn(new ServerBootstrap())
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new WatcherConnection(channel).start();
                    }
                })
                .bind(bindAddress);
    }

    private InetSocketAddress setServerChannel(Channel bound) {
        InetSocketAddress boundAddress = (InetSocketAddress) bound.localAddress();
        serverChannel = bound;
        if (closed) {
            bound.close();
        }
        return boundAddress;
    }

    /** Sends watchers what is due after the state has changed. */
    void stateChanged() {
        List.copyOf(connections.values()).forEach(WatcherConnection::pump);
    }

    UpdateScheduler scheduler() {
        return scheduler;
    }

    void close() {
        closed = true;
        if (serverChannel != null) {
            serverChannel.close();
        }
        List.copyOf(openChannels).forEach(Channel::close);
    }

    private final class WatcherConnection extends FrameHandler {
        private final long id = ++lastId;
        private final Channel channel;
        private Future<?> timer;
        private String instance = "";
        private boolean closed;

        WatcherConnection(Channel channel) {
            super(MAX_MESSAGE_BYTES, traffic);
            this.channel = channel;
        }

        private void start() {
            if (openChannels.size() >= limits.maxWatchers() + SPARE_CONNECTIONS) {
                refuse("full: too many calls");
                return;
            }
            openChannels.add(channel);
            addTo(channel.pipeline());
            timer = loop.schedule(() -> onProtocolError("no hello in time"), HELLO_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        void onMessage(byte[] bytes) {
            if (closed) {
                return;
            }
            JsonNode node = Codec.parse(bytes);
            if (!instance.isEmpty()) {
                scheduler.handleAck(id, Codec.decodeAck(node));
            } else {
                Hello hello = Codec.decodeHello(node);
                String capacityError = scheduler.capacityError();
                if (capacityError != null) {
                    refuse(capacityError);
                    return;
                }
                instance = hello.instance();
                connections.put(id, this);
                long previousId = scheduler.addWatcher(id, hello, System.nanoTime());
                if (previousId >= 0) {
                    connections.get(previousId).close("replaced by a new connection of the same instance");
                }
            }
            pump();
        }

        private void pump() {
            if (timer != null) {
                timer.cancel(false);
            }
            long nowNanos = System.nanoTime();
            UpdateScheduler.Action action = scheduler.nextAction(id, nowNanos);
            if (action.closeReason() != null) {
                close(action.closeReason());
                return;
            }
            if (action.update() != null) {
                scheduler.recordSentBytes(id, send(channel, Codec.encodeUpdate(action.update()), traffic));
            }
            if (action.keepalive()) {
                send(channel, Codec.encodeKeepalive(), traffic);
            }
            timer = loop.schedule(this::pump, action.nextCheckNanos() - nowNanos, TimeUnit.NANOSECONDS);
        }

        private void refuse(String reason) {
            send(channel, Codec.encodeError(reason), traffic);
            close(reason);
        }

        @Override
        void onProtocolError(String problem) {
            if (!closed) {
                refuse(problem);
            }
        }

        private void close(String reason) {
            if (!closed) {
                closed = true;
                events.report("watcher_ended", instance, reason);
                connections.remove(id);
                scheduler.removeWatcher(id);
                if (timer != null) {
                    timer.cancel(false);
                }
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            openChannels.remove(channel);
            if (!closed) {
                closed = true;
                connections.remove(id);
                scheduler.removeWatcher(id);
                timer.cancel(false);
            }
        }
    }
}
