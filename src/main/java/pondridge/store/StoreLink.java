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
 * One connection to the store, and one exchange on it at a time: some commands out together, as many replies
 * back. An exchange has its time; one that runs out of it, or meets anything odd, ends the connection, so
 *  that
 * no late reply is taken for another's. On the event loop only.
 */
final class StoreLink {
    private static final int LONGEST_LINE = 4 << 10;
    private static final int MOST_ELEMENTS = 4_096;
    private static final int MOST_DEPTH = 4;

    /** Replies to one exchange: texts, numbers, lists, {@code null} for nothing, {@link StoreError}. */
    record StoreError(String text) {}

    private final EventLoop loop;
    private final StoreSettings settings;
    private Channel channel;
    private List<Object> replies;
    private int wanted;
    private long bytes;
    private Consumer<List<Object>> asker;
    private Future<?> limit;

    StoreLink(EventLoop loop, StoreSettings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    /**
     * Sends some commands; {@code told} gets as many replies, or null if anything went wrong. Only when no
     *  other
     * exchange is open.
     */
    void ask(List<List<String>> commands, Consumer<List<Object>> told) {
        asker = told;
        limit = loop.schedule(() -> end(null), settings.within(), TimeUnit.NANOSECONDS);
        replies = new ArrayList<>();
        bytes = 0;
        if (channel != null && channel.isActive()) {
            write(commands, 0);
        } else {
            connect(commands);
        }
    }

    private void connect(List<List<String>> commands) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, settings.within() / 1_000_000))
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        if (settings.tls() != null) {
                            made.pipeline()
                                    .addLast(settings.tls()
                                            .newHandler(
                                                    made.alloc(),
                                                    settings.serverName(),
                                                    settings.address().getPort()));
                        }
                        made.pipeline()
                                .addLast(
                                        new Bound(),
                                        new RedisDecoder(LONGEST_LINE, FixedRedisMessagePool.INSTANCE),
                                        new RedisBulkStringAggregator(),
                                        new RedisArrayAggregator(MOST_ELEMENTS, MOST_DEPTH),
                                        new RedisEncoder(),
                                        new Replies());
                    }
                })
                .connect(settings.address())
                .addListener((ChannelFutureListener) made -> {
                    if (!made.isSuccess()) {
                        end(null);
                    } else if (asker == null) {
                        made.channel().close();
                    } else {
                        channel = made.channel();
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

    /** The replies to the first {@code ahead} of them must be good and are not told. */
    private void write(List<List<String>> commands, int ahead) {
        wanted = commands.size();
        if (ahead > 0) {
            Consumer<List<Object>> of = asker;
            asker = got -> {
                boolean known = got != null && !(got.get(0) instanceof StoreError);
                if (!known) {
                    reset();
                }
                of.accept(known ? got.subList(ahead, got.size()) : null);
            };
        }
        for (List<String> command : commands) {
            List<RedisMessage> words = new ArrayList<>();
            for (String word : command) {
                words.add(
                        new FullBulkStringRedisMessage(Unpooled.wrappedBuffer(word.getBytes(StandardCharsets.UTF_8))));
            }
            channel.write(new ArrayRedisMessage(words));
        }
        channel.flush();
    }

    private void end(List<Object> got) {
        Consumer<List<Object>> told = asker;
        if (told == null) {
            return;
        }
        asker = null;
        limit.cancel(false);
        if (got == null) {
            reset();
        }
        told.accept(got);
    }

    /** The next exchange begins on a new connection. */
    void reset() {
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    void close() {
        asker = null;
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

    /** Ends an exchange that brings more than it may. */
    private final class Bound extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytes += ((ByteBuf) message).readableBytes();
            if (bytes > settings.replyBytes()) {
                ReferenceCountUtil.release(message);
                context.close();
            } else {
                context.fireChannelRead(message);
            }
        }
    }

    private final class Replies extends SimpleChannelInboundHandler<RedisMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, RedisMessage message) {
            if (asker == null || context.channel() != channel) {
                // Nobody asked for it: whatever comes next can't be told apart.
                context.close();
                return;
            }
            replies.add(value(message));
            if (replies.size() == wanted) {
                end(replies);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                end(null);
                channel = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
