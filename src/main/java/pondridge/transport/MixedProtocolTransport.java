package pondridge.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pondridge.Balancer.Outcome;
import pondridge.BalancerOptions;
import pondridge.core.BufferBudget;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Transport;
import pondridge.grpc.GrpcUpstreamCodec;
import pondridge.http1.Upstreams;
import pondridge.http2.Http2Upstreams;
import pondridge.http2.ProtocolProbeResult;
import pondridge.transport.TransportSettings.Protocol;

/**
 * A transport for a fleet in which some servers speak HTTP/1.1 and some HTTP/2. While the protocol of a server is
 * being detected, a limited number of attempts to it wait, each until its deadline. No request is sent twice to
 * detect a protocol. Must be used on the event loop only.
 */
public final class MixedProtocolTransport implements Transport {
    private final EventLoop loop;
    private final Upstreams http1;
    private final Http2Upstreams http2;
    private final int maxWaiting;
    private final Map<Long, ServerState> servers = new HashMap<>();

    private static final class ServerState {
        private final ProtocolDetector protocol = new ProtocolDetector();
        private final Set<PendingAttempt> waiting = new LinkedHashSet<>();
        private InetSocketAddress address;
        private long startedMs;
        private boolean ready;
    }

    MixedProtocolTransport(EventLoop loop, Upstreams http1, Http2Upstreams http2, int maxWaiting) {
        this.loop = loop;
        this.http1 = http1;
        this.http2 = http2;
        this.maxWaiting = maxWaiting;
        http2.onHttp1Required(upstream -> {
            ServerState server = servers.get(upstream);
            if (server != null) {
                server.protocol.http1Required(System.nanoTime());
            }
        });
    }

    /**
     * Creates the transport for the configured protocol. Classes for HTTP/2 are loaded only if it is configured.
     *
     * @param maxConnections total limit of connections; the limit for HTTP/2 is deducted from that for HTTP/1.1
     * @param responseBudget the memory for responses that are being received
     */
    public static Transport of(
            EventLoop loop,
            BalancerOptions options,
            TransportSettings settings,
            int maxConnections,
            BufferBudget responseBudget) {
        if (settings.protocol() == Protocol.HTTP1) {
            return new Upstreams(loop, options, maxConnections, responseBudget);
        }
        if (settings.protocol() == Protocol.GRPC) {
            return new Http2Upstreams(
                    loop, options, settings.http2(), responseBudget, new GrpcUpstreamCodec(settings.grpc(), options));
        }
        Http2Upstreams http2 = new Http2Upstreams(loop, options, settings.http2(), responseBudget);
        if (settings.protocol() == Protocol.HTTP2) {
            return http2;
        }
        int http1Connections =
                Math.max(maxConnections / 4, maxConnections - settings.http2().maxConnections());
        return new MixedProtocolTransport(
                loop,
                new Upstreams(loop, options, http1Connections, responseBudget),
                http2,
                settings.http2().maxWaiting());
    }

    @Override
    public void updateEndpoint(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        ServerState server = servers.computeIfAbsent(upstream, id -> new ServerState());
        if (!address.equals(server.address) || startedMs > server.startedMs) {
            server.address = address;
            server.startedMs = startedMs;
            server.protocol.restarted();
        }
        server.ready = ready;
        http1.updateEndpoint(upstream, address, startedMs, ready);
        http2.updateEndpoint(upstream, address, startedMs, ready);
        if (!ready) {
            endWaiting(server, Outcome.CONNECT_FAILED);
        } else if (!server.waiting.isEmpty()) {
            dispatch(upstream, server);
        }
    }

    @Override
    public void removeEndpoint(long upstream) {
        ServerState server = servers.remove(upstream);
        if (server != null) {
            server.ready = false;
            endWaiting(server, Outcome.CONNECT_FAILED);
        }
        http1.removeEndpoint(upstream);
        http2.removeEndpoint(upstream);
    }

    private static void endWaiting(ServerState server, Outcome outcome) {
        for (PendingAttempt pending : List.copyOf(server.waiting)) {
            pending.end(outcome);
        }
    }

    @Override
    public Attempt send(long upstream, Job job, long timeoutNanos, Listener listener) {
        ServerState server = servers.get(upstream);
        if (server == null || !server.ready) {
            return http1.send(upstream, job, timeoutNanos, listener);
        }
        PendingAttempt pending = new PendingAttempt(server, job, System.nanoTime() + timeoutNanos, listener);
        if (server.waiting.size() >= maxWaiting) {
            pending.end(Outcome.REJECTED);
        } else {
            server.waiting.add(pending);
            dispatch(upstream, server);
        }
        return pending;
    }

    /** Sends the waiting attempts, or starts protocol detection if the protocol is unknown. */
    private void dispatch(long upstream, ServerState server) {
        switch (server.protocol.step()) {
            case HTTP1 -> forward(upstream, server, http1);
            case HTTP2 -> forward(upstream, server, http2);
            case DETECT -> http2.probeProtocol(upstream, result -> {
                server.protocol.detected(result, System.nanoTime());
                if (result == ProtocolProbeResult.UNREACHABLE) {
                    endWaiting(server, Outcome.CONNECT_FAILED);
                } else if (!server.waiting.isEmpty()) {
                    dispatch(upstream, server);
                }
            });
            default -> {}
        }
    }

    private static void forward(long upstream, ServerState server, Transport transport) {
        for (PendingAttempt pending : List.copyOf(server.waiting)) {
            pending.send(upstream, transport);
        }
    }

    @Override
    public void probe(long upstream, Listener listener) {
        ServerState server = servers.get(upstream);
        ProtocolDetector.Step step = server == null ? ProtocolDetector.Step.HTTP1 : server.protocol.step();
        switch (step) {
            case HTTP2 -> http2.probe(upstream, listener);
            case HTTP1 -> http1.probe(upstream, listener);
            default -> http2.probeProtocol(upstream, result -> {
                // If a detection is already running, its result is reported here as well.
                server.protocol.detected(result, System.nanoTime());
                (result == ProtocolProbeResult.HTTP2 ? http2 : http1).probe(upstream, listener);
                if (!server.waiting.isEmpty()) {
                    dispatch(upstream, server);
                }
            });
        }
    }

    @Override
    public void closeIdle(long upstream) {
        http1.closeIdle(upstream);
        http2.closeIdle(upstream);
    }

    /** An attempt that waits for protocol detection and then delegates to the attempt that was sent. */
    private final class PendingAttempt implements Attempt {
        private final ServerState server;
        private final Job job;
        private final long deadlineNanos;
        private final Listener listener;
        private final Future<?> timer;
        private Attempt delegate;
        private boolean ended;

        PendingAttempt(ServerState server, Job job, long deadlineNanos, Listener listener) {
            this.server = server;
            this.job = job;
            this.deadlineNanos = deadlineNanos;
            this.listener = listener;
            this.timer = loop.schedule(
                    () -> end(Outcome.CONNECT_FAILED), deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        }

        private void send(long upstream, Transport transport) {
            if (ended || !server.waiting.remove(this)) {
                return;
            }
            timer.cancel(false);
            long timeLeftNanos = Math.max(1, deadlineNanos - System.nanoTime());
            delegate = transport.send(
                    upstream,
                    job,
                    timeLeftNanos,
                    listener.withCallback(outcome -> server.protocol.attemptEnded(outcome, System.nanoTime())));
        }

        /** Ends the attempt without sending it. */
        private void end(Outcome outcome) {
            server.waiting.remove(this);
            if (!ended && delegate == null) {
                ended = true;
                timer.cancel(false);
                listener.ended(outcome, null, LoadReports.NONE);
            }
        }

        @Override
        public void cancel() {
            if (delegate != null) {
                delegate.cancel();
            } else {
                end(Outcome.CANCELLED);
            }
        }

        @Override
        public void withdraw() {
            if (delegate != null) {
                delegate.withdraw();
            } else {
                end(Outcome.NEVER_SENT);
            }
        }
    }
}
