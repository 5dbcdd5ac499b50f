package pondridge.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
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

/**
 * Takes watchers, for a source and a relay alike; {@link Serving} decides what they are told. A call that
 * doesn't say within five seconds who it is ends, and so does one that says what makes no sense. On the loop,
 * but for {@link #listen}.
 */
final class ControlServer {
    private static final long HELLO_MS = 5_000;
    private static final int LONGEST_MESSAGE = Frames.LONGEST_FRAME;
    /** Calls may come before others have been seen to end. */
    private static final int SPARE_CALLS = 64;

    private final EventLoop loop;
    private final Serving.Limits limits;
    private final Serving serving;
    private final Traffic traffic;
    private final Events events;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Set<Channel> open = new HashSet<>();
    private Channel door;
    private long lastId;

    ControlServer(
            EventLoop loop,
            Serving.Limits limits,
            Supplier<Holdings> held,
            LongUnaryOperator age,
            Traffic traffic,
            Events events) {
        this.loop = loop;
        this.limits = limits;
        this.serving = new Serving(limits, held, age);
        this.traffic = traffic;
        this.events = events;
    }

    /** Begins to take watchers; gives the address, or what went wrong. */
    CompletableFuture<InetSocketAddress> listen(InetSocketAddress at) {
        CompletableFuture<InetSocketAddress> told = new CompletableFuture<>();
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        new Call(made).begin();
                    }
                })
                .bind(at)
                .addListener((io.netty.channel.ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        door = bound.channel();
                        told.complete((InetSocketAddress) door.localAddress());
                    } else {
                        told.completeExceptionally(bound.cause());
                    }
                });
        return told;
    }

    /** What is held has changed. */
    void changed() {
        List.copyOf(calls.values()).forEach(Call::pump);
    }

    Serving serving() {
        return serving;
    }

    void close() {
        if (door != null) {
            door.close();
        }
        List.copyOf(open).forEach(Channel::close);
    }

    private final class Call extends Frames {
        private final long id = ++lastId;
        private final Channel channel;
        private Future<?> timer;
        private String instance = "";
        private boolean over;

        Call(Channel channel) {
            super(LONGEST_MESSAGE, traffic);
            this.channel = channel;
        }

        private void begin() {
            if (open.size() >= limits.mostWatchers() + SPARE_CALLS) {
                refuse("full: too many calls");
                return;
            }
            open.add(channel);
            addTo(channel.pipeline());
            timer = loop.schedule(() -> bad("no hello in time"), HELLO_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        void message(byte[] bytes) {
            if (over) {
                return;
            }
            JsonNode node = Codec.read(bytes);
            if (!instance.isEmpty()) {
                serving.acknowledged(id, Codec.readAck(node));
            } else {
                Hello hello = Codec.readHello(node);
                String full = serving.full();
                if (full != null) {
                    refuse(full);
                    return;
                }
                instance = hello.instance();
                calls.put(id, this);
                long former = serving.joined(id, hello, System.nanoTime());
                if (former >= 0) {
                    calls.get(former).end("came again");
                }
            }
            pump();
        }

        private void pump() {
            if (timer != null) {
                timer.cancel(false);
            }
            long now = System.nanoTime();
            Serving.Step step = serving.next(id, now);
            if (step.end() != null) {
                end(step.end());
                return;
            }
            if (step.update() != null) {
                serving.sent(id, send(channel, Codec.update(step.update()), traffic));
            }
            if (step.alive()) {
                send(channel, Codec.alive(), traffic);
            }
            timer = loop.schedule(this::pump, step.at() - now, TimeUnit.NANOSECONDS);
        }

        private void refuse(String why) {
            send(channel, Codec.error(why), traffic);
            end(why);
        }

        @Override
        void bad(String problem) {
            if (!over) {
                refuse(problem);
            }
        }

        private void end(String why) {
            if (!over) {
                over = true;
                events.told("watcher_ended", instance, why);
                calls.remove(id);
                serving.left(id);
                if (timer != null) {
                    timer.cancel(false);
                }
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            open.remove(channel);
            if (!over) {
                over = true;
                calls.remove(id);
                serving.left(id);
                timer.cancel(false);
            }
        }
    }
}
