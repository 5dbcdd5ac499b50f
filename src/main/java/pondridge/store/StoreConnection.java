package pondridge.store;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FixedRedisMessagePool;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.IntegerRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A connection to the store that carries one exchange at a time: several commands sent together, and as many
 * replies. An exchange that times out or meets an unexpected message closes the connection, so that no late
 * reply is taken for the reply of a later exchange. Confined to the event loop.
 */
final class StoreConnection {
    private static final int MAX_LINE_BYTES = 4 << 10;
    private static final int MAX_ARRAY_ELEMENTS = 4_096;
    private static final int MAX_ARRAY_DEPTH = 4;

    /**
     * An error reply. The other values of replies are strings, numbers, lists, and {@code null} for an absent
     * value.
     */
    record StoreError(String text) {}

    private final EventLoop loop;
    private final StoreSettings settings;
    private Channel channel;
    private List<Object> replies;
    private int expectedReplies;
    private long receivedBytes;
    private Consumer<List<Object>> pendingCallback;
    /** Number of the exchange that is open, or was last. */
    private long exchange;

    private Future<?> timeout;

    StoreConnection(EventLoop loop, StoreSettings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    /**
     * Sends some commands; {@code callback} receives as many replies, or null if anything went wrong. Only when
     * no other exchange is open.
     */
    void send(List<List<String>> commands, Consumer<List<Object>> callback) {
        pendingCallback = callback;
        exchange++;
        timeout = loop.schedule(() -> complete(null), settings.timeoutNanos(), TimeUnit.NANOSECONDS);
        replies = new ArrayList<>();
        receivedBytes = 0;
        if (channel != null && channel.isActive()) {
            write(commands, 0);
        } else {
            connect(commands);
        }
    }

    private void connect(List<List<String>> commands) {
        long connectedFor = exchange;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, settings.timeoutNanos() / 1_000_000))
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                        if (settings.tls() != null) {
                            created.pipeline()
                                    .addLast(settings.tls()
                                            .newHandler(
                                                    created.alloc(),
                                                    settings.serverName(),
                                                    settings.address().getPort()));
                        }
                        created.pipeline()
                                .addLast(
                                        new ReplySizeLimiter(),
                                        new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE),
                                        new RedisBulkStringAggregator(),
                                        new RedisArrayAggregator(MAX_ARRAY_ELEMENTS, MAX_ARRAY_DEPTH),
                                        new RedisEncoder(),
                                        new ReplyHandler());
                    }
                })
                .connect(settings.address())
                .addListener((ChannelFutureListener) connected -> {
                    if (pendingCallback == null || connectedFor != exchange) {
                        // That exchange has timed out; the connection's end is no concern of a later one.
                        connected.channel().close();
                    } else if (!connected.isSuccess()) {
                        complete(null);
                    } else {
                        channel = connected.channel();
                        List<List<String>> all = new ArrayList<>(commands);
                        if (!settings.login().password().isEmpty()) {
                            String password = settings.login().password();
                            all.add(
                                    0,
                                    settings.login().user().equals("default")
                                            ? List.of("AUTH", password)
                                            : List.of("AUTH", settings.login().user(), password));
                        }
                        write(all, all.size() - commands.size());
                    }
                });
    }

    /** The replies to the first {@code loginCommands} must not be errors and are not passed on. */
    private void write(List<List<String>> commands, int loginCommands) {
        expectedReplies = commands.size();
        if (loginCommands > 0) {
            Consumer<List<Object>> callback = pendingCallback;
            pendingCallback = received -> {
                boolean loggedIn = received != null && !(received.get(0) instanceof StoreError);
                if (!loggedIn) {
                    reset();
                }
                callback.accept(loggedIn ? received.subList(loginCommands, received.size()) : null);
            };
        }
        for (List<String> command : commands) {
            List<RedisMessage> arguments = new ArrayList<>();
            for (String argument : command) {
                arguments.add(new FullBulkStringRedisMessage(
                        Unpooled.wrappedBuffer(argument.getBytes(StandardCharsets.UTF_8))));
            }
            channel.write(new ArrayRedisMessage(arguments));
        }
        channel.flush();
    }

    private void complete(List<Object> received) {
        Consumer<List<Object>> callback = pendingCallback;
        if (callback == null) {
            return;
        }
        pendingCallback = null;
        timeout.cancel(false);
        if (received == null) {
            reset();
        }
        callback.accept(received);
    }

    /** Closes the connection; the next exchange opens a new one. */
    void reset() {
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    void close() {
        pendingCallback = null;
        reset();
    }

    private static Object value(RedisMessage message) {
        if (message instanceof FullBulkStringRedisMessage bulk) {
            return bulk.isNull() ? null : bulk.content().toString(StandardCharsets.UTF_8);
        }
        if (message instanceof SimpleStringRedisMessage simple) {
            return simple.content();
        }
        if (message instanceof IntegerRedisMessage number) {
            return number.value();
        }
        if (message instanceof ArrayRedisMessage array) {
            List<Object> values = new ArrayList<>();
            if (!array.isNull()) {
                array.children().forEach(each -> values.add(value(each)));
            }
            return values;
        }
        return new StoreError(message instanceof ErrorRedisMessage error ? error.content() : message.toString());
    }

    /** Closes the connection when the replies of one exchange exceed the size limit. */
    private final class ReplySizeLimiter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            receivedBytes += ((ByteBuf) message).readableBytes();
            if (receivedBytes > settings.maxReplyBytes()) {
                ReferenceCountUtil.release(message);
                context.close();
            } else {
                context.fireChannelRead(message);
            }
        }
    }

    private final class ReplyHandler extends SimpleChannelInboundHandler<RedisMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, RedisMessage message) {
            if (pendingCallback == null || context.channel() != channel) {
                // An unsolicited reply: later replies could no longer be matched to their commands.
                context.close();
                return;
            }
            replies.add(value(message));
            if (replies.size() == expectedReplies) {
                complete(replies);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                complete(null);
                channel = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
