package pondridge.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.Options;

/** The application's side: reads requests, answers each once, and tells malformed ones so itself. */
final class Frontend {
    private static final int LARGEST_BODY = 1 << 16;

    private final Engine engine;
    private final List<RequestClass> classes;
    private final List<String> classNames;
    private final List<String> tenantNames;
    private final int mostConnections;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private boolean ready;
    private boolean draining;
    private Channel server;

    Frontend(Engine engine, Options options, int mostConnections) {
        this.engine = engine;
        this.classes = options.settings().classes();
        this.classNames = options.names("profiles");
        this.tenantNames = options.names("parties");
        this.mostConnections = mostConnections;
    }

    /** Listens; requests are answered at once, {@code /up} says 200 after {@link #ready}. */
    ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        if (connections.size() >= mostConnections + mostConnections / 8) {
                            made.close();
                            return;
                        }
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LARGEST_BODY),
                                new Connection(made));
                    }
                })
                .bind(address);
        server = bound.channel();
        return bound;
    }

    void ready() {
        ready = true;
    }

    /**
     * From now on each answer ends its connection, and so do those that wait for none: a request that crosses
     * such an end is sent again on a new connection, and new ones still get in.
     */
    void drain() {
        draining = true;
        closeIdle();
    }

    /** Ends the listening as well. */
    void close() {
        server.close();
        drain();
    }

    private void closeIdle() {
        for (Connection connection : List.copyOf(connections)) {
            if (!connection.busy) {
                connection.channel.close();
            }
        }
    }

    /** Whether no client is connected any more. */
    boolean empty() {
        return connections.isEmpty();
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest>
            implements Engine.Client {
        private final Channel channel;
        private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>(1);
        private final boolean crowded = connections.size() >= mostConnections;
        private boolean busy;
        private boolean keepAlive;
        private long request;

        Connection(Channel channel) {
            this.channel = channel;
            connections.add(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            if (!busy) {
                take(message);
            } else {
                // Clients send one request at a time. Who runs ahead is read no further until answered, so
                // that no more waits here than one read brought.
                channel.config().setAutoRead(false);
                waiting.add(message.retain());
            }
        }

        private void take(FullHttpRequest message) {
            busy = true;
            request = 0;
            keepAlive = HttpUtil.isKeepAlive(message);
            if (message.decoderResult().isFailure()) {
                keepAlive = false;
                answer(HttpResponseStatus.BAD_REQUEST, "malformed request");
                return;
            }
            String path = path(message.uri());
            if (crowded) {
                // A bare close would lose what the client has already written.
                keepAlive = false;
                refused(0);
            } else if (path.equals("/up")) {
                boolean up = ready && !draining;
                answer(up ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            } else if (path.equals("/api") || path.startsWith("/api/")) {
                submit(message, path);
            } else {
                answer(HttpResponseStatus.NOT_FOUND, "no such path");
            }
        }

        private void submit(FullHttpRequest message, String path) {
            Engine.Job job;
            try {
                job = job(message, path);
            } catch (IllegalArgumentException e) {
                answer(HttpResponseStatus.BAD_REQUEST, e.getMessage());
                return;
            }
            // The answer may come within this call; then the connection may already hold another request.
            long id = engine.submit(job, this);
            if (busy && request == 0) {
                request = id;
            }
        }

        @Override
        public void served(Engine.Answer answer) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()));
            Headers.copyEndToEnd(answer.headers(), response.headers());
            answer(response);
        }

        @Override
        public void refused(long wait) {
            FullHttpResponse response = plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
            if (wait > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                        BigDecimal.valueOf(wait, 9).setScale(3, RoundingMode.UP).toPlainString());
            }
            answer(response);
        }

        @Override
        public void failed() {
            answer(HttpResponseStatus.BAD_GATEWAY, "failed");
        }

        private void answer(HttpResponseStatus status, String text) {
            answer(plain(status, text));
        }

        private void answer(FullHttpResponse response) {
            boolean keep = keepAlive && !draining;
            HttpUtil.setContentLength(response, response.content().readableBytes());
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = channel.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
                return;
            }
            busy = false;
            FullHttpRequest next = waiting.poll();
            if (next != null) {
                // Not from within this call: a row of malformed requests would nest as deep as it is long.
                busy = true;
                channel.eventLoop().execute(() -> {
                    take(next);
                    next.release();
                });
            } else if (!channel.config().isAutoRead()) {
                channel.config().setAutoRead(true);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            waiting.forEach(FullHttpRequest::release);
            waiting.clear();
            if (request != 0) {
                engine.hangup(request);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                System.err.println("frontend: " + cause);
            }
            channel.close();
        }
    }

    private static FullHttpResponse plain(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        return response;
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private Engine.Job job(FullHttpRequest message, String path) {
        header(message, "Req-Id");
        int kind = classNames.indexOf(header(message, "Req-Kind"));
        if (kind < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        int tenant = 0;
        if (!tenantNames.isEmpty()) {
            tenant = tenantNames.indexOf(header(message, "Req-Owner"));
            if (tenant < 0) {
                throw new IllegalArgumentException("unknown Req-Owner");
            }
        }
        boolean keyed = message.headers().contains("Idempotency-Key");
        Semantics semantics = classes.get(kind).semantics();
        HttpMethod method = semantics == Semantics.REPEATABLE ? HttpMethod.GET : HttpMethod.POST;
        if (!message.method().equals(method)
                || (semantics == Semantics.BY_KEY) != keyed) {
            throw new IllegalArgumentException("method or Idempotency-Key does not fit the class");
        }
        long cost = message.headers().contains("Req-Cost") ? number(message, "Req-Cost") * 1000 : 0;
        return new Engine.Job(kind, tenant, key(path), number(message, "Req-Deadline-Ms"), cost,
                "1".equals(message.headers().get("Req-Retry")), method, message.uri(), message.headers(),
                ByteBufUtil.getBytes(message.content()));
    }

    private static String header(FullHttpRequest message, String name) {
        String value = message.headers().get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("missing " + name);
        }
        return value;
    }

    /** A whole number that is neither negative nor longer than any wait or work can be. */
    private static long number(FullHttpRequest message, String name) {
        String value = header(message, name);
        if (value.length() > 9 || !value.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            throw new IllegalArgumentException("not a whole number: " + name);
        }
        return Long.parseLong(value);
    }

    /** What the request is about, as a number: the same for the same last part of the path, 0 for none. */
    private static long key(String path) {
        String last = path.substring(path.lastIndexOf('/') + 1);
        long key = 0;
        for (int i = 0; i < last.length(); i++) {
            key = key * 0x100000001b3L + last.charAt(i);
        }
        return key;
    }
}
