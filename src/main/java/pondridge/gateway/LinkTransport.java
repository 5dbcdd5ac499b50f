package pondridge.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import pondridge.Balancer.Outcome;
import pondridge.core.Job;
import pondridge.core.LoadReports;
import pondridge.core.Transport;
import pondridge.http2.Http2Upstreams;

/**
 * The way to another site's gateways: HTTP/2, with the newest stamp of the gateway on each request. What the
 * list says of a gateway here is only whether new requests go there: its connections stay up for beats.
 */
final class LinkTransport implements Transport {
    private final Http2Upstreams way;
    private final LongSupplier clock;
    private final Map<InetSocketAddress, Long> gateways = new HashMap<>();
    /** The gateway that each entry of the module's list stands for; the first entry's number is its own. */
    private final Map<Long, Long> gatewayOf = new HashMap<>();

    private final Map<Long, String> stamps = new HashMap<>();
    private final Map<Long, Integer> inFlight = new HashMap<>();
    private final BiConsumer<InetSocketAddress, Long> listedNew;

    /** {@code listedNew} is told of each gateway that is listed for the first time, and its number here. */
    LinkTransport(Http2Upstreams way, LongSupplier clock, BiConsumer<InetSocketAddress, Long> listedNew) {
        this.way = way;
        this.clock = clock;
        this.listedNew = listedNew;
    }

    @Override
    public void listed(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        if (gatewayOf.containsKey(upstream)) {
            return;
        }
        if (gateways.putIfAbsent(address, upstream) == null) {
            way.listed(upstream, address, startedMs, true);
            listedNew.accept(address, upstream);
        }
        gatewayOf.put(upstream, gateways.get(address));
    }

    @Override
    public void gone(long upstream) {
        // The list of another site's gateways is its settings: none goes while the program runs.
    }

    @Override
    public Attempt send(long upstream, Job job, long wait, Listener listener) {
        long left = ((CrossingHeaders) job.headers()).left(clock.getAsLong()) / 1_000_000;
        long gateway = gatewayOf.get(upstream);
        if (left <= 0 || !stamps.containsKey(gateway)) {
            listener.ended(Outcome.NEVER_SENT, null, LoadReports.NONE);
            return Attempt.ENDED;
        }
        // One attempt of a request is on its way at a time, so its headers are this one's.
        job.headers().set(LinkHeaders.STAMP, stamps.get(gateway)).set(LinkHeaders.LEFT, left);
        inFlight.merge(gateway, 1, Integer::sum);
        return way.send(gateway, job, wait, listener.after(outcome -> inFlight.merge(gateway, -1, Integer::sum)));
    }

    /** Sends a beat, which is no request: it needs no stamp and counts as nothing in flight. */
    void beat(long gateway, Job job, long wait, Listener listener) {
        way.send(gateway, job, wait, listener);
    }

    /** The gateway's newest stamp. */
    void stamp(long gateway, String stamp) {
        stamps.put(gateway, stamp);
    }

    /** Whether a gateway has given a stamp, without which it takes nothing. */
    boolean stamped(long gateway) {
        return stamps.containsKey(gateway);
    }

    /** Requests that are out to a gateway. */
    int inFlight(long gateway) {
        return inFlight.getOrDefault(gateway, 0);
    }

    /** Gateways are probed by beats, all the time. */
    @Override
    public void probe(long upstream, Listener listener) {
        way.probe(gatewayOf.get(upstream), listener);
    }

    @Override
    public void closeIdle(long upstream) {
        way.closeIdle(gatewayOf.get(upstream));
    }

    void close() {
        way.close();
    }
}
