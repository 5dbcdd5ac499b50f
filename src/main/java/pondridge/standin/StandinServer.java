package pondridge.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http2.Http2Settings;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

/**
 * A stand-in for an order server. It speaks HTTP/1.1, HTTP/2 (with prior knowledge) or gRPC on a loopback
 * address, responds on {@code /api}, and injects faults by script. The methods may be called on any thread but
 * its own loop.
 */
public final class StandinServer implements AutoCloseable {
    /** The protocol that a server speaks. */
    public enum Protocol {
        HTTP1,
        HTTP2,
        GRPC
    }

    /**
     * The properties of a server.
     *
     * @param name its name in the ledger
     * @param zone its zone; the servers of a zone share the keys that are remembered per zone
     * @param maxConcurrentStreams HTTP/2: the limit of concurrent streams on a connection
     * @param initialWindowBytes HTTP/2: the initial window of each stream, in bytes
     * @param script the faults and the work times
     * @param ledger where arrivals and executions are recorded
     * @param keyStore the idempotency keys that it shares with other servers
     */
    public record Setup(
            String name,
            String zone,
            Protocol protocol,
            long maxConcurrentStreams,
            int initialWindowBytes,
            FaultScript script,
            ExecutionLedger ledger,
            IdempotencyKeyStore keyStore) {
        /** A server with the default limits: 100 streams and windows of 65,535 bytes. */
        public static Setup of(
                String name,
                String zone,
                Protocol protocol,
                FaultScript script,
                ExecutionLedger ledger,
                IdempotencyKeyStore keyStore) {
            return new Setup(name, zone, protocol, 100, 65_535, script, ledger, keyStore);
        }
    }

    private static final int MAX_BIND_ATTEMPTS = 100;
    private static final long BIND_RETRY_NANOS = 20_000_000;

    private final EventLoop loop;
    private final Setup setup;
    private final RequestHandler handler;
    private final ChannelGroup connections;
    private final InetSocketAddress address;
    private volatile Protocol protocol;
    private volatile long maxConcurrentStreams;
    private volatile Channel listener;

    /**
     * Starts a server.
     *
     * @param loop runs everything; the caller must not be on it
     * @param listen the address to listen at; port 0 for any free port
     */
    public StandinServer(EventLoop loop, InetSocketAddress listen, Setup setup) {
        this.loop = loop;
        this.setup = setup;
        this.handler = new RequestHandler(setup.name(), setup.zone(), setup.script(), setup.ledger(), setup.keyStore());
        this.connections = new DefaultChannelGroup(loop, true);
        this.protocol = setup.protocol();
        this.maxConcurrentStreams = setup.maxConcurrentStreams();
        this.address = bind(listen);
    }

    private InetSocketAddress bind(InetSocketAddress at) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accept(accepted);
                    }
                });
        ChannelFuture bound = bootstrap.bind(at).awaitUninterruptibly();
        for (int attempts = 1; !bound.isSuccess() && attempts < MAX_BIND_ATTEMPTS; attempts++) {
            // After a stop the old socket is released only by the loop's next select.
            LockSupport.parkNanos(BIND_RETRY_NANOS);
            bound = bootstrap.bind(at).awaitUninterruptibly();
        }
        if (!bound.isSuccess()) {
            throw new UncheckedIOException(new IOException("cannot listen at " + at, bound.cause()));
        }
        listener = bound.channel();
        return (InetSocketAddress) listener.localAddress();
    }

    private void accept(Channel connection) {
        connections.add(connection);
        handler.connected();
        connection.closeFuture().addListener(closed -> handler.disconnected());
        if (protocol == Protocol.HTTP1) {
            Http1Standin.addTo(connection.pipeline(), handler, this::crash);
        } else {
            connection
                    .pipeline()
                    .addLast(Http2Standin.newConnection(
                            handler,
                            this::crash,
                            new Http2Settings()
                                    .maxConcurrentStreams(maxConcurrentStreams)
                                    .initialWindowSize(setup.initialWindowBytes()),
                            protocol == Protocol.GRPC));
        }
    }

    public String name() {
        return setup.name();
    }

    public String zone() {
        return setup.zone();
    }

    /** The address that it listens at; a restart keeps it. */
    public InetSocketAddress address() {
        return address;
    }

    /** The number of open connections. */
    public int connections() {
        return handler.connections();
    }

    /** The highest number of connections that were open at a time. */
    public int peakConnections() {
        return handler.peakConnections();
    }

    /** The number of requests that it executed, dropped repeats included. */
    public int executions() {
        return handler.executions();
    }

    /** Replaces the fault fractions of the script from now on; null restores them. */
    public void overrideFaults(Map<Fault, Double> fractions) {
        setup.script().overrideFractions(fractions);
    }

    /** HTTP/2: announces another limit of concurrent streams on all open and new connections. */
    public void setMaxConcurrentStreams(long limit) {
        maxConcurrentStreams = limit;
        loop.execute(() -> connections.forEach(each -> {
            Http2Standin http2 = each.pipeline().get(Http2Standin.class);
            if (http2 != null) {
                http2.setMaxConcurrentStreams(limit);
            }
        }));
    }

    /** HTTP/2: announces another initial stream window, in bytes, on all open connections. */
    public void setInitialWindow(int bytes) {
        loop.execute(() -> connections.forEach(each -> {
            Http2Standin http2 = each.pipeline().get(Http2Standin.class);
            if (http2 != null) {
                http2.setInitialWindow(bytes);
            }
        }));
    }

    /** Sets whether it drains: it declines all requests, on HTTP/2 after the graceful pair of GOAWAYs. */
    public void setDraining(boolean enabled) {
        handler.setDeclining(enabled);
        if (enabled) {
            loop.execute(() -> connections.forEach(each -> {
                Http2Standin http2 = each.pipeline().get(Http2Standin.class);
                if (http2 != null) {
                    http2.drain();
                }
            }));
        }
    }

    /** Makes the server cold from now on. */
    public void setColdStart(ColdStart start) {
        handler.setColdStart(start);
    }

    /** Limits the requests that it processes at a time and those that wait; it declines the rest. */
    public void setThreadPool(int count, int queueCapacity) {
        handler.setThreadPool(count, queueCapacity);
    }

    /** Simulates the end of the process: open connections are reset and new ones refused. */
    public void stop() {
        loop.submit(this::crash).awaitUninterruptibly();
        listener.closeFuture().awaitUninterruptibly();
    }

    private void crash() {
        listener.close();
        connections.forEach(each -> {
            each.config().setOption(ChannelOption.SO_LINGER, 0);
            each.close();
        });
    }

    /** Starts again at its address with the given protocol. */
    public void restart(Protocol next) {
        protocol = next;
        bind(address);
    }

    @Override
    public void close() {
        stop();
    }
}
