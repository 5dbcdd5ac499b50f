package pondridge.standin.redis;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A stand-in for a Redis server. It speaks RESP2 and RESP3 on a loopback address, keeps a lagging replica to
 * fail over to, and injects faults. Connections, the arguments and bytes of a request, the unread output of a
 * slow client and the memory of the keys are bounded. Everything runs on one event loop; the methods may be
 * called on any thread but that.
 */
public final class RedisStandin implements AutoCloseable {
    private static final int MAX_ARGUMENTS = 4_096;
    private static final int MAX_REQUEST_BYTES = 1 << 20;
    private static final int MAX_UNREAD_OUTPUT_BYTES = 1 << 20;
    private static final int MAX_REPLICATION_LOG = 100_000;
    /** The limit for incomplete requests, over all connections. */
    private static final long MAX_BUFFERED_BYTES = 64 << 20;

    private static final int MAX_BIND_ATTEMPTS = 100;
    private static final long BIND_RETRY_NANOS = 20_000_000;

    /**
     * The properties of a store.
     *
     * @param user the user name that clients authenticate with; {@code default} if they send a password only
     * @param password empty for none
     * @param maxMemoryBytes limit for keys and values in each database in bytes, as the stand-in computes them
     * @param evictsWhenFull over the limit, evict the least recently used keys; otherwise reject writes
     * @param lagMs replication lag of the replica
     * @param maxConnections the maximum number of open connections
     * @param tls null for plain text
     */
    public record Setup(
            String user,
            String password,
            long maxMemoryBytes,
            boolean evictsWhenFull,
            long lagMs,
            int maxConnections,
            SslContext tls) {
        /** A store without TLS. */
        public Setup(String user, String password, long memory, boolean evicts, long lagMs, int connections) {
            this(user, password, memory, evicts, lagMs, connections, null);
        }

        /** No password, 64 MiB with eviction, a replica with a lag of one second, 10,000 connections. */
        public static Setup defaults() {
            return new Setup("default", "", 64 << 20, true, 1_000, 10_000);
        }
    }

    private record ReplicatedRequest(long at, int database, List<String> request) {}

    private final EventLoop loop;
    private final Setup setup;
    private final StoreFaults faults = new StoreFaults();
    private final ChannelGroup connections;
    private final InetSocketAddress address;
    private final ArrayDeque<ReplicatedRequest> replicationLog = new ArrayDeque<>();
    private Commands primary;
    private Commands replica;
    private Session replicaSession;
    private volatile Channel listener;
    private volatile long commandCount;
    private volatile long transferredBytes;
    private long bufferedBytes;
    private long lastSessionId;

    /**
     * Starts a store.
     *
     * @param loop runs everything; the caller must not be on it
     * @param listen the address to listen at; port 0 for any free port
     */
    public RedisStandin(EventLoop loop, InetSocketAddress listen, Setup setup) {
        this.loop = loop;
        this.setup = setup;
        this.connections = new DefaultChannelGroup(loop, true);
        this.primary = emptyStore();
        resetReplica();
        this.address = bind(listen);
    }

    private Commands emptyStore() {
        return new Commands(setup.user, setup.password, setup.maxMemoryBytes, setup.evictsWhenFull, 1);
    }

    private void resetReplica() {
        replica = emptyStore();
        replicaSession = new Session(0, true, push -> {});
    }

    private InetSocketAddress bind(InetSocketAddress at) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNREAD_OUTPUT_BYTES / 2, MAX_UNREAD_OUTPUT_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accept(accepted);
                    }
                });
        for (int attempt = 1; ; attempt++) {
            var bound = bootstrap.bind(at).awaitUninterruptibly();
            if (bound.isSuccess()) {
                listener = bound.channel();
                return (InetSocketAddress) listener.localAddress();
            }
            if (attempt == MAX_BIND_ATTEMPTS) {
                throw new UncheckedIOException(new IOException("cannot listen at " + at, bound.cause()));
            }
            LockSupport.parkNanos(BIND_RETRY_NANOS);
        }
    }

    private void accept(Channel connection) {
        if (faults.refuseConnections || connections.size() > setup.maxConnections) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.close();
            return;
        }
        connections.add(connection);
        if (setup.tls != null) {
            connection.pipeline().addLast(setup.tls.newHandler(connection.alloc()));
        }
        connection.pipeline().addLast(new Connection());
    }

    /** The address that it listens at; a restart keeps it. */
    public InetSocketAddress address() {
        return address;
    }

    /** The faults that it injects. */
    public StoreFaults faults() {
        return faults;
    }

    /** The number of requests received, executed or rejected. */
    public long commandCount() {
        return commandCount;
    }

    /** The number of bytes received and sent. */
    public long transferredBytes() {
        return transferredBytes;
    }

    /** The number of open connections. */
    public int connections() {
        return connections.size();
    }

    /** The bytes of keys and values in the first database, as the stand-in computes them. */
    public long usedMemoryBytes() {
        return loop.submit(() -> primary.database(0).usedBytes())
                .syncUninterruptibly()
                .getNow();
    }

    /** Loses all keys, also those of the replica. */
    public void loseAllKeys() {
        loop.submit(() -> {
                    primary = emptyStore();
                    resetReplica();
                    replicationLog.clear();
                })
                .awaitUninterruptibly();
    }

    /** Promotes the replica as it is, behind by its lag; all connections are reset. */
    public void failOver() {
        loop.submit(() -> {
                    replicate(now());
                    replicationLog.clear();
                    primary = replica;
                    resetReplica();
                    resetConnections();
                })
                .awaitUninterruptibly();
    }

    /** Sets whether writes are rejected, as by a replica. */
    public void setReadOnly(boolean enabled) {
        loop.submit(() -> primary.readOnly(enabled)).awaitUninterruptibly();
    }

    /** Simulates the end of the process: connections are reset and new ones refused. A restart keeps the data. */
    public void stop() {
        loop.submit(() -> {
                    listener.close();
                    resetConnections();
                })
                .awaitUninterruptibly();
        listener.closeFuture().awaitUninterruptibly();
    }

    /** Starts again at the same address. */
    public void restart() {
        bind(address);
    }

    private void resetConnections() {
        connections.forEach(each -> {
            each.config().setOption(ChannelOption.SO_LINGER, 0);
            each.close();
        });
    }

    private long now() {
        return System.currentTimeMillis() + faults.clockOffsetMs;
    }

    /** Applies to the replica the writes that are older than its lag. */
    private void replicate(long nowMillis) {
        while (!replicationLog.isEmpty()
                && (nowMillis - replicationLog.peek().at >= setup.lagMs
                        || replicationLog.size() > MAX_REPLICATION_LOG)) {
            ReplicatedRequest next = replicationLog.poll();
            replicaSession.database = next.database;
            replica.run(replicaSession, next.request, nowMillis);
        }
    }

    @Override
    public void close() {
        stop();
    }

    /** One client connection. */
    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final RequestParser parser = new RequestParser(MAX_ARGUMENTS, MAX_REQUEST_BYTES);
        private Session session;
        private ChannelHandlerContext context;
        private int accountedBytes;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
            session = new Session(++lastSessionId, !primary.needsPassword(), this::push);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            transferredBytes += in.readableBytes();
            if (bufferedBytes + in.readableBytes() > MAX_BUFFERED_BYTES) {
                ctx.close();
                return;
            }
            parser.feed(ByteBufUtil.getBytes(in));
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            try {
                for (List<String> request = parser.next(); request != null; request = parser.next()) {
                    if (!request.isEmpty()) {
                        handle(request, out);
                    }
                    if (session.closing) {
                        break;
                    }
                }
            } catch (RequestParser.ProtocolException e) {
                new Reply.SimpleError(e.getMessage()).write(out, session.resp3);
                session.closing = true;
            }
            accountBuffered(parser.bufferedBytes());
            send(out.toByteArray());
        }

        private void accountBuffered(int newBytes) {
            bufferedBytes += newBytes - accountedBytes;
            accountedBytes = newBytes;
        }

        private void handle(List<String> request, ByteArrayOutputStream out) {
            commandCount++;
            if (faults.stallReplies) {
                return;
            }
            long nowMillis = now();
            String name = request.get(0).toLowerCase(Locale.ROOT);
            Reply reply;
            if (faults.loadingErrors && !name.equals("hello") && !name.equals("auth")) {
                reply = new Reply.SimpleError("LOADING Redis is loading the dataset in memory");
            } else if (faults.wrongTypeErrors && (name.equals("mget") || name.equals("get"))) {
                reply = new Reply.SimpleError("WRONGTYPE Operation against a key holding the wrong kind " + "of value");
            } else {
                replicate(nowMillis);
                boolean isWrite = primary.writes(request);
                reply = (faults.staleReads && !isWrite ? replica : primary).run(session, request, nowMillis);
                if (isWrite) {
                    replicationLog.add(new ReplicatedRequest(nowMillis, session.database, request));
                }
            }
            if (reply != null) {
                reply.write(out, session.resp3);
            }
        }

        private void push(Reply reply) {
            if (!context.channel().isWritable()) {
                // Disconnects a subscriber that does not read, as the bound on its output requires.
                context.close();
                return;
            }
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            reply.write(out, session.resp3);
            send(out.toByteArray());
        }

        private void send(byte[] reply) {
            transferredBytes += reply.length;
            if (faults.truncateReplies && reply.length > 0) {
                context.writeAndFlush(Unpooled.wrappedBuffer(reply, 0, reply.length / 2))
                        .addListener(ChannelFutureListener.CLOSE);
                return;
            }
            Runnable write = () -> {
                if (session.closing) {
                    context.writeAndFlush(Unpooled.wrappedBuffer(reply)).addListener(ChannelFutureListener.CLOSE);
                } else if (reply.length > 0) {
                    context.writeAndFlush(Unpooled.wrappedBuffer(reply));
                }
            };
            if (faults.replyDelayMs > 0) {
                context.executor().schedule(write, faults.replyDelayMs, TimeUnit.MILLISECONDS);
            } else {
                write.run();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            // Stops reading from a client that does not read its replies.
            ctx.channel().config().setAutoRead(ctx.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            accountBuffered(0);
            primary.disconnected(session);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
