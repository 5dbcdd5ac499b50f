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
import pondridge.Balancer.ListKind;
import pondridge.core.Directory;
import pondridge.core.Target;

/**
 * Follows some services by one call at a time to one of several relays; moves on when that ends, with the
 * version it has. What was known stays in force whatever happens. Has no thread of its own: all happens on
 * the loop, but {@link #start} and {@link #close}, which may be called anywhere.
 */
public final class ControlClient implements AutoCloseable, Directory {
    private static final int CONNECT_MS = 1_000;

    /** Is told of what is new, on the loop. */
    public interface Listener {
        /**
         * A version is in force.
         *
         * @param kind whether the targets are all, or those that changed; failed, with none, where the list
         * was asked for and what is known is older than {@code stale}
         * @param settings by service, a slash and name; null for one that has gone
         */
        void applied(Version version, ListKind kind, List<Target> targets, Map<String, String> settings);
    }

    private final EventLoop loop;
    private final ControlSettings settings;
    private final FollowerState state;
    private final RelayChoice choice;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Listener listener;
    private final Supplier<Sums> sums;
    private final Events events;
    private final Traffic traffic;
    private Call call;
    private Future<?> waiting;
    private boolean closed;
    private long wholes;
    private long differences;

    /** A follower; many may share a loop, events and traffic. */
    public ControlClient(EventLoop loop, ControlSettings settings, Listener listener, Events events, Traffic traffic) {
        this(
                loop,
                settings,
                new FollowerState(settings.instance(), settings.services(), false, 0),
                listener,
                () -> Sums.NONE,
                events,
                traffic);
    }

    ControlClient(
            EventLoop loop,
            ControlSettings settings,
            FollowerState state,
            Listener listener,
            Supplier<Sums> sums,
            Events events,
            Traffic traffic) {
        this.loop = loop;
        this.settings = settings;
        this.state = state;
        this.listener = listener;
        this.sums = sums;
        this.events = events;
        this.traffic = traffic;
        for (InetSocketAddress each : settings.above()) {
            addresses.put(each.getAddress().getHostAddress() + ':' + each.getPort(), each);
        }
        this.choice = new RelayChoice(settings.instance(), List.copyOf(addresses.keySet()), settings.choice());
    }

    /** Begins to call. */
    public void start() {
        loop.execute(this::dial);
    }

    /** Ends the call, for good. */
    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            if (waiting != null) {
                waiting.cancel(false);
            }
            if (call != null) {
                Call old = call;
                call = null;
                old.close();
            }
        });
    }

    /** What is in force; on the loop. */
    public Version version() {
        return state.version();
    }

    /** How old what is in force may be, in nanoseconds; MAX for nothing yet. On the loop. */
    public long age() {
        return state.age(System.nanoTime());
    }

    /** Of all that is held: equal to the source's for the same services. On the loop. */
    public long digest() {
        return state.held().digest(List.of());
    }

    /** Where it is, as address and port; null while it is nowhere. On the loop. */
    public String relay() {
        return call == null || !call.answered ? null : call.relay;
    }

    /** Updates that brought the whole; on the loop. */
    public long wholes() {
        return wholes;
    }

    /** Updates that brought a difference; on the loop. */
    public long differences() {
        return differences;
    }

    private void dial() {
        if (!closed && call == null) {
            RelayChoice.Dial next = choice.next(System.nanoTime());
            after(next.at() - System.nanoTime(), () -> {
                call = new Call(next.relay());
                call.connect();
            });
        }
    }

    private void after(long nanos, Runnable what) {
        waiting = loop.schedule(
                () -> {
                    if (!closed && call == null) {
                        what.run();
                    }
                },
                Math.max(0, nanos),
                TimeUnit.NANOSECONDS);
    }

    /** Changes are told in any case; the word that nothing has changed is given at once, if it may be. */
    @Override
    public void watch(boolean on) {
        if (on && age() <= settings.stale()) {
            tell(ListKind.DELTA, List.of());
        }
    }

    /** Tells all that is known, from memory. */
    @Override
    public void fetch() {
        boolean fresh = age() <= settings.stale();
        tell(fresh ? ListKind.FULL : ListKind.FAILED, fresh ? state.held().since(-1, List.of(), false) : List.of());
    }

    private void tell(ListKind kind, List<Change> changes) {
        List<Target> targets = new ArrayList<>();
        Map<String, String> others = new LinkedHashMap<>();
        for (Change each : changes) {
            Resource held = each.gone() ? null : state.held().get(each.service(), each.name());
            if (each.name().startsWith("@")) {
                others.put(each.service() + '/' + each.name(), held == null ? null : held.body());
                continue;
            }
            try {
                targets.add(Targets.target(each.name(), each.state(), held == null ? "" : held.body()));
            } catch (IllegalArgumentException e) {
                events.told("entry_passed_over", each.service(), e.getMessage());
            }
        }
        try {
            listener.applied(state.version(), kind, targets, others);
        } catch (RuntimeException e) {
            events.told("listener_failed", "", e.toString());
        }
    }

    /** One call, until it ends. */
    private final class Call extends Frames {
        private final String relay;
        private long heard = System.nanoTime();
        private long begun;
        private long homeAt = Long.MAX_VALUE;
        private Channel channel;
        private Future<?> timer;
        private Sums told = Sums.NONE;
        private Version toldOf = Version.NONE;
        private boolean answered;

        Call(String relay) {
            super(settings.longestMessage(), traffic);
            this.relay = relay;
        }

        private void connect() {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            addTo(made.pipeline());
                        }
                    })
                    .connect(addresses.get(relay))
                    .addListener((ChannelFutureListener) made -> {
                        if (call != this) {
                            made.channel().close();
                        } else if (made.isSuccess()) {
                            channel = made.channel();
                            send(channel, Codec.hello(state.hello()), traffic);
                            watch();
                        } else {
                            end("can't be reached");
                        }
                    });
        }

        /** Looks again and again whether the call is still of use. */
        private void watch() {
            long every = state.hello().passesOn() ? settings.report() : settings.silence() / 4;
            timer = loop.schedule(
                    () -> {
                        long now = System.nanoTime();
                        if (now - heard > settings.silence()) {
                            end("silent");
                        } else if (answered && now - begun > settings.stale() && state.age(now) > settings.stale()) {
                            answered = false;
                            end("its word is old");
                        } else if (now > homeAt) {
                            choice.home();
                            call = null;
                            close();
                            dial();
                        } else {
                            report();
                            watch();
                        }
                    },
                    every,
                    TimeUnit.NANOSECONDS);
        }

        /** Sums go up when they are new. */
        private void report() {
            Sums now = sums.get();
            if (answered && (!now.equals(told) || !state.version().equals(toldOf))) {
                acknowledge(0, FollowerState.Verdict.BEAT);
            }
        }

        private void acknowledge(long serial, FollowerState.Verdict verdict) {
            told = sums.get();
            toldOf = state.version();
            send(channel, Codec.ack(new Ack(serial, toldOf, verdict, told)), traffic);
        }

        @Override
        void message(byte[] bytes) {
            if (call != this) {
                return;
            }
            JsonNode node = Codec.read(bytes);
            if (node.has("error")) {
                answered = false;
                end("refused: " + node.path("error").asText());
                return;
            }
            long now = System.nanoTime();
            heard = now;
            if (node.has("alive")) {
                return;
            }
            Update update = Codec.readUpdate(node);
            List<String> absent = state.absent();
            Version before = state.version();
            FollowerState.Verdict verdict = state.take(update, now);
            if (!answered) {
                answered = true;
                begun = now;
                homeAt = choice.homeward(relay, now);
                events.told("following", relay, "from " + before);
            }
            choice.good(relay);
            switch (verdict) {
                case TAKEN -> {
                    wholes += update.whole() ? 1 : 0;
                    differences += update.whole() ? 0 : 1;
                    tell(update.whole() ? ListKind.FULL : ListKind.DELTA, update.changes());
                }
                case GAP, MISMATCH -> events.told(
                        "refused",
                        relay,
                        (verdict == FollowerState.Verdict.GAP
                                        ? "a difference since "
                                                + update.version().epoch() + '.' + update.from()
                                        : "a wrong digest, the whole is asked for: ")
                                + " at " + update.version()
                                + ", known is " + before);
                default -> {}
            }
            if (!state.absent().isEmpty() && !state.absent().equals(absent)) {
                events.told("not_there", relay, "services " + String.join(", ", state.absent()));
            }
            acknowledge(update.serial(), verdict);
        }

        @Override
        void bad(String problem) {
            if (call == this) {
                answered = false;
                end("not understood: " + problem);
            }
        }

        private void end(String why) {
            if (call != this) {
                return;
            }
            call = null;
            close();
            long now = System.nanoTime();
            events.told("left", relay, why + ", known is " + state.version());
            if (answered) {
                after(choice.lost(relay, now) - now, ControlClient.this::dial);
            } else {
                choice.failed(relay, now);
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
            end("ended");
        }
    }
}
