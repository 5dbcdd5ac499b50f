package pondridge.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;
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
    private final Map<Long, InetSocketAddress> gateways = new HashMap<>();
    private final Map<Long, String> stamps = new HashMap<>();
    private final Map<Long, Integer> inFlight = new HashMap<>();
    private final LongConsumer listedNew;

    /** {@code listedNew} is told of each gateway that is listed for the first time. */
    LinkTransport(Http2Upstreams way, LongConsumer listedNew) {
        this.way = way;
        this.listedNew = listedNew;
    }

    @Override
    public void listed(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        if (gateways.putIfAbsent(upstream, address) == null) {
            way.listed(upstream, address, startedMs, true);
            listedNew.accept(upstream);
        }
    }

    @Override
    public void gone(long upstream) {
        gateways.remove(upstream);
        stamps.remove(upstream);
        way.gone(upstream);
    }

    @Override
    public Attempt send(long upstream, Job job, long wait, Listener listener) {
        long left = ((CrossingHeaders) job.headers()).left(System.nanoTime()) / 1_000_000;
        if (left <= 0 || !stamps.containsKey(upstream)) {
            listener.ended(Outcome.NEVER_SENT, null, LoadReports.NONE);
            return () -> { };
        }
        // One attempt of a request is on its way at a time, so its headers are this one's.
        job.headers().set(LinkHeaders.STAMP, stamps.get(upstream)).set(LinkHeaders.LEFT, left);
        inFlight.merge(upstream, 1, Integer::sum);
        return way.send(upstream, job, wait, (outcome, answer, load) -> {
            inFlight.merge(upstream, -1, Integer::sum);
            listener.ended(outcome, answer, load);
        });
    }

    /** Sends a beat, which is no request: it needs no stamp and counts as nothing in flight. */
    void beat(long upstream, Job job, long wait, Listener listener) {
        way.send(upstream, job, wait, listener);
    }

    /** The gateway's newest stamp. */
    void stamp(long upstream, String stamp) {
        stamps.put(upstream, stamp);
    }

    /** Whether a gateway has given a stamp, without which it takes nothing. */
    boolean stamped(long upstream) {
        return stamps.containsKey(upstream);
    }

    /** Requests that are out to a gateway. */
    int inFlight(long upstream) {
        return inFlight.getOrDefault(upstream, 0);
    }

    /** Gateways are probed by beats, all the time. */
    @Override
    public void probe(long upstream, Listener listener) {
        way.probe(upstream, listener);
    }

    @Override
    public void closeIdle(long upstream) {
        way.closeIdle(upstream);
    }

    void close() {
        way.close();
    }
}
