package pondridge.http2;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pondridge.Balancer.Outcome;
import pondridge.core.BodyBuffer;
import pondridge.core.BufferBudget;
import pondridge.pool.ConnectionPool;
import pondridge.pool.RejectionReason;

/** The connections to one upstream. Carries out the decisions of its {@link ConnectionPool} on sockets and timers. */
final class ServerPool implements ConnectionPool.Actions<Connection, Http2Attempt> {
    private final Http2Upstreams upstreams;
    private final Http2Options options;
    private final ConnectionPool<Connection, Http2Attempt> pool;
    private final List<Consumer<ProtocolProbeResult>> probeListeners = new ArrayList<>();
    private InetSocketAddress address;
    private long startedMs;
    private boolean ready;
    private Future<?> timer;
    private long timerDueAt;

    ServerPool(Http2Upstreams upstreams, Http2Options options) {
        this.upstreams = upstreams;
        this.options = options;
        this.pool = new ConnectionPool<>(options.poolLimits(), upstreams.connectionLimit(), this, System.nanoTime());
    }

    /** Takes over the upstream's current entry in the endpoint list. */
    void update(InetSocketAddress newAddress, long newStartedMs, boolean newReady) {
        if (!newAddress.equals(address) || newStartedMs > startedMs) {
            address = newAddress;
            startedMs = newStartedMs;
            pool.upstreamRestarted(System.nanoTime());
        }
        if (newReady) {
            ready = true;
            pool.open();
        } else {
            shutDown();
        }
        scheduleTick();
    }

    /** Sends nothing more to the upstream that has not been fully sent yet. */
    void shutDown() {
        ready = false;
        pool.close();
        protocolDetected(ProtocolProbeResult.UNREACHABLE);
    }

    /** Releases the pool if it was shut down and holds no connection; false if it still does. */
    boolean unregisterIfEmpty() {
        return pool.unregisterIfEmpty();
    }

    void closeIdle() {
        pool.closeIdle(-1, System.nanoTime());
    }

    /** Determines whether the upstream speaks HTTP/2 by sending only the connection preface. */
    void probeProtocol(Consumer<ProtocolProbeResult> listener) {
        switch (pool.requestConnection(System.nanoTime())) {
            case UP -> listener.accept(ProtocolProbeResult.HTTP2);
            case PENDING -> probeListeners.add(listener);
            default -> listener.accept(ProtocolProbeResult.UNREACHABLE);
        }
    }

    private void protocolDetected(ProtocolProbeResult result) {
        List<Consumer<ProtocolProbeResult>> listeners = List.copyOf(probeListeners);
        probeListeners.clear();
        listeners.forEach(listener -> listener.accept(result));
    }

    /** Accepts an attempt. */
    void offer(Http2Attempt attempt) {
        pool.offer(attempt, System.nanoTime());
        scheduleTick();
    }

    /** Ends an attempt that was waiting for a stream and was never sent. */
    void abandonWaiting(Http2Attempt attempt, Outcome outcome) {
        pool.withdraw(attempt);
        finishAttempt(attempt, outcome);
    }

    /** Schedules the pool's next tick. Only one timer is pending; it may fire earlier than needed. */
    private void scheduleTick() {
        long due = pool.nextTickNanos();
        if (due == ConnectionPool.NEVER || timer != null && timerDueAt - due <= 0) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerDueAt = due;
        timer = upstreams
                .loop()
                .schedule(
                        () -> {
                            timer = null;
                            pool.tick(System.nanoTime());
                            scheduleTick();
                        },
                        Math.max(0, due - System.nanoTime()),
                        TimeUnit.NANOSECONDS);
    }

    /** Streams may have become available on a connection. */
    void streamsFreed() {
        pool.creditChanged(System.nanoTime());
    }

    @Override
    public void scheduleDispatch() {
        upstreams.loop().execute(() -> {
            pool.dispatch(System.nanoTime());
            scheduleTick();
        });
    }

    @Override
    public void assign(Connection connection, Http2Attempt attempt) {
        if (attempt.shouldWrite()) {
            connection.write(attempt, System.nanoTime());
        } else {
            finishAttempt(attempt, Outcome.NEVER_SENT);
        }
    }

    @Override
    public void reject(Http2Attempt attempt, RejectionReason reason) {
        finishAttempt(
                attempt,
                switch (reason) {
                    case SHUT, UNREACHABLE -> Outcome.CONNECT_FAILED;
                    case FULL, STARVED -> Outcome.REJECTED;
                    case NO_ROOM -> Outcome.NEVER_SENT;
                });
    }

    @Override
    public void close(Connection connection) {
        connection.close();
    }

    @Override
    public void drain(Connection connection) {
        if (ready) {
            connection.retire();
        } else {
            connection.drain();
        }
    }

    @Override
    public Connection dial() {
        Connection connection = upstreams.newConnection(this);
        upstreams
                .connector()
                .connect(address, upstreams.connectTimeoutMs(), new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel socket) {
                        connection.attach(socket);
                        socket.pipeline().addLast(connection.handler());
                    }
                })
                .addListener(connectFuture -> {
                    if (connectFuture.isSuccess()) {
                        Future<?> settingsTimeout = upstreams
                                .loop()
                                .schedule(
                                        () -> {
                                            // No SETTINGS in time: the upstream does not speak HTTP/2 or does
                                            // not respond.
                                            if (!connection.settingsReceived()) {
                                                connection.close();
                                            }
                                        },
                                        options.settingsTimeoutNanos(),
                                        TimeUnit.NANOSECONDS);
                        connection.closeFuture().addListener(closed -> settingsTimeout.cancel(false));
                    } else {
                        upstreams.loop().execute(() -> connectionLost(connection));
                    }
                });
        return connection;
    }

    /** The connection has received its first SETTINGS. */
    void settingsReceived(Connection connection) {
        pool.connectionEstablished(connection, System.nanoTime());
        protocolDetected(ProtocolProbeResult.HTTP2);
    }

    /**
     * The connection opens no more streams. If it never delivered a successful response, the next connection
     * is delayed.
     */
    void goAwayReceived(Connection connection) {
        pool.connectionDraining(connection, connection.hasServed(), System.nanoTime());
    }

    /** The connection is closed or could not be established. */
    void connectionLost(Connection connection) {
        boolean beforeSettings = !connection.settingsReceived();
        pool.connectionEnded(connection, connection.hasServed(), System.nanoTime());
        if (beforeSettings && !pool.isConnectionRequested()) {
            protocolDetected(connection.connected() ? ProtocolProbeResult.NOT_HTTP2 : ProtocolProbeResult.UNREACHABLE);
        }
        scheduleTick();
    }

    /** The upstream has violated the protocol on a connection, or an error occurred on this side. */
    void connectionFailed(Connection connection, Throwable cause) {
        if (connection.settingsReceived()) {
            System.err.println("HTTP/2 connection to " + address + " failed: " + cause);
        }
    }

    /** The upstream requires HTTP/1.1 for some request. */
    void http1Required() {
        upstreams.http1Required(this);
    }

    MessageCodec codec() {
        return upstreams.codec();
    }

    /** Returns the memory of all responses that are being received. */
    BufferBudget.ConnectionShare responseMemory() {
        return upstreams.responseMemory();
    }

    /** Creates the buffer for the body of a response. */
    BodyBuffer newResponseBody() {
        return new BodyBuffer(responseMemory(), options.maxResponseBodyBytes());
    }

    /** Ends an attempt with an outcome, unless it has already ended. */
    void finishAttempt(Http2Attempt attempt, Outcome outcome) {
        if (!attempt.ended()) {
            attempt.end(outcome, upstreams.reports(), upstreams.codec());
        }
    }

    /** Periodic maintenance. */
    void maintain(long now, long idleTimeoutNanos) {
        for (Connection connection : pool.connections()) {
            if (connection.settingsReceived()) {
                connection.maintain(now);
            }
        }
        pool.closeIdle(idleTimeoutNanos, now);
    }
}
