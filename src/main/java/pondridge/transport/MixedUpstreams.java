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
import pondridge.Options;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Transport;
import pondridge.grpc.GrpcWording;
import pondridge.http1.Upstreams;
import pondridge.http2.Http2Upstreams;
import pondridge.http2.Learned;
import pondridge.transport.TransportSettings.Protocol;

/**
 * The way to a fleet of which some speak HTTP/1.1 and some HTTP/2. Attempts to a server whose protocol is
 * being learned wait, in bounded number and until their time is up; nothing is sent twice to find it out. On
 * the event loop only.
 */
public final class MixedUpstreams implements Transport {
    private final EventLoop loop;
    private final Upstreams http1;
    private final Http2Upstreams http2;
    private final int mostWaiting;
    private final Map<Long, Server> servers = new HashMap<>();

    private static final class Server {
        private final ProtocolChoice choice = new ProtocolChoice();
        private final Set<Held> waiting = new LinkedHashSet<>();
        private InetSocketAddress address;
        private long startedMs;
        private boolean ready;
    }

    MixedUpstreams(EventLoop loop, Upstreams http1, Http2Upstreams http2, int mostWaiting) {
        this.loop = loop;
        this.http1 = http1;
        this.http2 = http2;
        this.mostWaiting = mostWaiting;
        http2.onHttp1Wanted(upstream -> {
            Server server = servers.get(upstream);
            if (server != null) {
                server.choice.wantsHttp1(System.nanoTime());
            }
        });
    }

    /**
     * The transport that the settings name; without HTTP/2 in them nothing of it is loaded.
     *
     * @param most connections in all; those that HTTP/2 may have are taken off HTTP/1.1's
     */
    public static Transport of(EventLoop loop, Options options, TransportSettings settings, int most) {
        if (settings.protocol() == Protocol.HTTP1) {
            return new Upstreams(loop, options, most);
        }
        if (settings.protocol() == Protocol.GRPC) {
            return new Http2Upstreams(loop, options, settings.http2(), new GrpcWording(settings.grpc(), options));
        }
        Http2Upstreams http2 = new Http2Upstreams(loop, options, settings.http2());
        if (settings.protocol() == Protocol.HTTP2) {
            return http2;
        }
        int rest = Math.max(most / 4, most - settings.http2().connections());
        return new MixedUpstreams(
                loop,
                new Upstreams(loop, options, rest),
                http2,
                settings.http2().waiting());
    }

    @Override
    public void listed(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        Server server = servers.computeIfAbsent(upstream, id -> new Server());
        if (!address.equals(server.address) || startedMs > server.startedMs) {
            server.address = address;
            server.startedMs = startedMs;
            server.choice.restarted();
        }
        server.ready = ready;
        http1.listed(upstream, address, startedMs, ready);
        http2.listed(upstream, address, startedMs, ready);
        if (!ready) {
            endAll(server, Outcome.CONNECT_FAILED);
        } else if (!server.waiting.isEmpty()) {
            dispatch(upstream, server);
        }
    }

    @Override
    public void gone(long upstream) {
        Server server = servers.remove(upstream);
        if (server != null) {
            server.ready = false;
            endAll(server, Outcome.CONNECT_FAILED);
        }
        http1.gone(upstream);
        http2.gone(upstream);
    }

    private static void endAll(Server server, Outcome outcome) {
        for (Held held : List.copyOf(server.waiting)) {
            held.end(outcome);
        }
    }

    @Override
    public Attempt send(long upstream, Job job, long wait, Listener listener) {
        Server server = servers.get(upstream);
        if (server == null || !server.ready) {
            return http1.send(upstream, job, wait, listener);
        }
        Held held = new Held(server, job, System.nanoTime() + wait, listener);
        if (server.waiting.size() >= mostWaiting) {
            held.end(Outcome.REJECTED);
        } else {
            server.waiting.add(held);
            dispatch(upstream, server);
        }
        return held;
    }

    /** Sends what waits, or sees to it that the protocol gets known. */
    private void dispatch(long upstream, Server server) {
        switch (server.choice.step()) {
            case HTTP1 -> forward(upstream, server, http1);
            case HTTP2 -> forward(upstream, server, http2);
            case LEARN -> http2.learn(upstream, learned -> {
                server.choice.learned(learned, System.nanoTime());
                if (learned == Learned.NOBODY) {
                    endAll(server, Outcome.CONNECT_FAILED);
                } else if (!server.waiting.isEmpty()) {
                    dispatch(upstream, server);
                }
            });
            default -> {}
        }
    }

    private static void forward(long upstream, Server server, Transport way) {
        for (Held held : List.copyOf(server.waiting)) {
            held.send(upstream, way);
        }
    }

    @Override
    public void probe(long upstream, Listener listener) {
        Server server = servers.get(upstream);
        ProtocolChoice.Step step = server == null ? ProtocolChoice.Step.HTTP1 : server.choice.step();
        switch (step) {
            case HTTP2 -> http2.probe(upstream, listener);
            case HTTP1 -> http1.probe(upstream, listener);
            default -> http2.learn(upstream, learned -> {
                // While another one is learning, that one's result is told here, too.
                server.choice.learned(learned, System.nanoTime());
                (learned == Learned.HTTP2 ? http2 : http1).probe(upstream, listener);
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

    /** An attempt that waits for its server's protocol to be known, and then stands for the real one. */
    private final class Held implements Attempt {
        private final Server server;
        private final Job job;
        private final long endsAt;
        private final Listener listener;
        private final Future<?> timer;
        private Attempt real;
        private boolean over;

        Held(Server server, Job job, long endsAt, Listener listener) {
            this.server = server;
            this.job = job;
            this.endsAt = endsAt;
            this.listener = listener;
            this.timer =
                    loop.schedule(() -> end(Outcome.CONNECT_FAILED), endsAt - System.nanoTime(), TimeUnit.NANOSECONDS);
        }

        private void send(long upstream, Transport way) {
            if (over || !server.waiting.remove(this)) {
                return;
            }
            timer.cancel(false);
            long left = Math.max(1, endsAt - System.nanoTime());
            real = way.send(
                    upstream, job, left, listener.after(outcome -> server.choice.ended(outcome, System.nanoTime())));
        }

        /** Ends it unsent. */
        private void end(Outcome outcome) {
            server.waiting.remove(this);
            if (!over && real == null) {
                over = true;
                timer.cancel(false);
                listener.ended(outcome, null, LoadReports.NONE);
            }
        }

        @Override
        public void cancel() {
            if (real != null) {
                real.cancel();
            } else {
                end(Outcome.CANCELLED);
            }
        }

        @Override
        public void withdraw() {
            if (real != null) {
                real.withdraw();
            } else {
                end(Outcome.NEVER_SENT);
            }
        }
    }
}
