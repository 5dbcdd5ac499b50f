package pondridge.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A stand-in for the platform's local discovery agent: it serves the full endpoint list and a watch on its
 * changes. Changes may be delayed or, while the agent is silent, suppressed; a new watch then gets the full list. It
 * can listen at several addresses, so that some clients can be cut off and others not. It counts what it
 * writes. The methods may be called on any thread but its loop.
 */
public final class DiscoveryStandin implements AutoCloseable {
    private static final long EMPTY_LINE_INTERVAL_S = 2;
    private static final int MAX_BIND_ATTEMPTS = 100;
    private static final long BIND_RETRY_NANOS = 20_000_000;

    /**
     * One server in the list.
     *
     * @param state {@code SERVING}, {@code DRAINING} or {@code DELETED}
     * @param bootMs when it last started, as Unix time in milliseconds; 0 for long ago
     */
    public record Entry(String uid, InetSocketAddress endpoint, String zone, String state, long bootMs) {
        /** The entry in the platform's JSON format. */
        public String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\""
                    + endpoint.getAddress().getHostAddress() + ':'
                    + endpoint.getPort() + "\",\"az\":\"" + zone
                    + "\",\"model\":\"m\",\"pod_group\":0,"
                    + "\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + '}';
        }
    }

    /**
     * Cumulative counts, except for {@code watches}.
     *
     * @param calls requests received
     * @param lists full lists written
     * @param changes change lines written, one for each notified watch
     * @param emptyLines empty lines written
     * @param bytes bytes written to the sockets
     * @param watches watches that are open now
     */
    public record Counts(long calls, long lists, long changes, long emptyLines, long bytes, int watches) {}

    /** A listening address with the connections accepted there. */
    private final class Listener {
        private final ChannelGroup connections = new DefaultChannelGroup(loop);
        private volatile Channel channel;
        private volatile InetSocketAddress address;

        Listener(InetSocketAddress listen) {
            address = listen;
        }

        /** Must not be called on the loop. */
        void bind() {
            ServerBootstrap bootstrap = new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel accepted) {
                            connections.add(accepted);
                            accepted.pipeline()
                                    .addLast(new ByteCounter(), new HttpServerCodec(), new DiscoveryHandler());
                        }
                    });
            ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
            for (int attempts = 1; !bound.isSuccess() && attempts < MAX_BIND_ATTEMPTS; attempts++) {
                // After closing, the old socket is released only by the loop's next select.
                LockSupport.parkNanos(BIND_RETRY_NANOS);
                bound = bootstrap.bind(address).awaitUninterruptibly();
            }
            channel = bound.syncUninterruptibly().channel();
            address = (InetSocketAddress) channel.localAddress();
        }

        /** Must not be called on the loop. */
        void unbind() {
            channel.close().awaitUninterruptibly();
            connections.close().awaitUninterruptibly();
        }
    }

    private final EventLoop loop;
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final ChannelGroup watches;
    private long revision = 1;
    private boolean silent;
    /** The encoded full list; null after a change. */
    private ByteBuf encodedList;

    private long calls;
    private long lists;
    private long changes;
    private long emptyLines;
    private long bytes;

    /**
     * Starts an agent with these entries.
     *
     * @param listen the address to listen at; port 0 for any free port
     */
    public DiscoveryStandin(EventLoop loop, InetSocketAddress listen, List<Entry> initialEntries) {
        this.loop = loop;
        this.watches = new DefaultChannelGroup(loop);
        initialEntries.forEach(each -> entries.put(each.uid, each));
        addListener(listen);
        loop.scheduleWithFixedDelay(
                () -> emptyLines += push("\n"), EMPTY_LINE_INTERVAL_S, EMPTY_LINE_INTERVAL_S, TimeUnit.SECONDS);
    }

    /** The first address that it listens at. */
    public InetSocketAddress address() {
        return listeners.get(0).address;
    }

    /** Listens at one more address, at a free port where that is 0, and returns the address. */
    public InetSocketAddress addListener(InetSocketAddress listen) {
        Listener listener = new Listener(listen);
        listener.bind();
        listeners.add(listener);
        return listener.address;
    }

    /**
     * Closes a listener and its connections, so that new connections are refused as by a killed process, or
     * opens it again at its address. The list and its revision are kept.
     *
     * @param index the listener, in the order of creation
     * @param closed whether to close or to open it
     */
    public void setListenerClosed(int index, boolean closed) {
        if (closed) {
            listeners.get(index).unbind();
        } else {
            listeners.get(index).bind();
        }
    }

    /** The counts so far. */
    public Counts counts() {
        return loop.submit(() -> new Counts(calls, lists, changes, emptyLines, bytes, watches.size()))
                .syncUninterruptibly()
                .getNow();
    }

    /** Applies new or changed entries and notifies the watches after this delay. */
    public void updateEntries(Collection<Entry> changed, long delayNanos) {
        List<Entry> updates = List.copyOf(changed);
        loop.schedule(
                () -> {
                    revision++;
                    releaseEncodedList();
                    updates.forEach(each -> {
                        if (each.state.equals("DELETED")) {
                            entries.remove(each.uid);
                        } else {
                            entries.put(each.uid, each);
                        }
                    });
                    changes += push(listing(false, updates) + '\n');
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    /** Sets whether the agent is silent: it then writes nothing on open watches and does not respond to requests. */
    public void setSilent(boolean enabled) {
        loop.submit(() -> {
                    silent = enabled;
                    if (!enabled) {
                        watches.close();
                    }
                })
                .awaitUninterruptibly();
    }

    private String listing(boolean all, Collection<Entry> listed) {
        StringJoiner targets = new StringJoiner(",");
        listed.forEach(each -> targets.add(each.json()));
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + targets + "]}";
    }

    /** The full list, encoded once per change: it may be long, and many clients may request it. */
    private ByteBuf fullList() {
        if (encodedList == null) {
            encodedList = direct(listing(true, entries.values()) + '\n');
        }
        lists++;
        return encodedList.retainedDuplicate();
    }

    private void releaseEncodedList() {
        if (encodedList != null) {
            encodedList.release();
            encodedList = null;
        }
    }

    /** Writes a line to all watches and returns their number. */
    private int push(String line) {
        if (silent) {
            return 0;
        }
        ByteBuf encoded = direct(line);
        watches.forEach(each -> each.writeAndFlush(new DefaultHttpContent(encoded.retainedDuplicate())));
        encoded.release();
        return watches.size();
    }

    /** A direct buffer, so that all connections write the same bytes without copying them. */
    private static ByteBuf direct(String text) {
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        return Unpooled.directBuffer(content.length).writeBytes(content);
    }

    private static ByteBuf utf8(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private final class DiscoveryHandler extends SimpleChannelInboundHandler<HttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            calls++;
            if (silent) {
                watches.add(context.channel());
            } else if (!query.path().equals("/discovery/hosts")) {
                context.writeAndFlush(response(HttpResponseStatus.NOT_FOUND, Unpooled.EMPTY_BUFFER));
            } else if (!query.parameters().containsKey("watch")) {
                context.writeAndFlush(response(HttpResponseStatus.OK, fullList()));
            } else {
                HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                HttpUtil.setTransferEncodingChunked(head, true);
                context.write(head);
                boolean upToDate = query.parameters()
                        .getOrDefault("from", List.of(""))
                        .get(0)
                        .equals(Long.toString(revision));
                emptyLines += upToDate ? 1 : 0;
                context.writeAndFlush(new DefaultHttpContent(upToDate ? utf8("\n") : fullList()));
                watches.add(context.channel());
            }
        }

        private FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            return response;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Counts the bytes written to a socket. */
    private final class ByteCounter extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf content) {
                bytes += content.readableBytes();
            }
            context.write(message, promise);
        }
    }

    @Override
    public void close() {
        listeners.forEach(Listener::unbind);
        loop.submit(this::releaseEncodedList).awaitUninterruptibly();
    }
}
