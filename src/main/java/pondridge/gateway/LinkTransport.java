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
 * Sends requests to another site's gateways over HTTP/2 and adds the gateway's newest timestamp to each. The
 * endpoint list only decides whether a gateway gets new requests; its connection stays open for heartbeats.
 */
final class LinkTransport implements Transport {
    private final Http2Upstreams connections;
    private final LongSupplier clock;
    private final Map<InetSocketAddress, Long> gatewayByAddress = new HashMap<>();
    /** The gateway that each endpoint entry stands for; a gateway is identified by its first entry's number. */
    private final Map<Long, Long> gatewayByEndpoint = new HashMap<>();

    private final Map<Long, String> timestamps = new HashMap<>();
    private final Map<Long, Integer> inFlight = new HashMap<>();
    private final BiConsumer<InetSocketAddress, Long> newGatewayListener;

    /**
     * {@code newGatewayListener} receives the address and number of each gateway that is listed for the first
     * time.
     */
    LinkTransport(
            Http2Upstreams connections, LongSupplier clock, BiConsumer<InetSocketAddress, Long> newGatewayListener) {
        this.connections = connections;
        this.clock = clock;
        this.newGatewayListener = newGatewayListener;
    }

    @Override
    public void updateEndpoint(long upstream, InetSocketAddress address, long startedMs, boolean ready) {
        if (gatewayByEndpoint.containsKey(upstream)) {
            return;
        }
        if (gatewayByAddress.putIfAbsent(address, upstream) == null) {
            connections.updateEndpoint(upstream, address, startedMs, true);
            newGatewayListener.accept(address, upstream);
        }
        gatewayByEndpoint.put(upstream, gatewayByAddress.get(address));
    }

    @Override
    public void removeEndpoint(long upstream) {
        // The gateways of another site are set in the configuration: none is removed while the program runs.
    }

    @Override
    public Attempt send(long upstream, Job job, long timeoutNanos, Listener listener) {
        long timeLeftMillis = ((CrossSiteHeaders) job.headers()).timeLeftNanos(clock.getAsLong()) / 1_000_000;
        long gateway = gatewayByEndpoint.get(upstream);
        if (timeLeftMillis <= 0 || !timestamps.containsKey(gateway)) {
            listener.ended(Outcome.NEVER_SENT, null, LoadReports.NONE);
            return Attempt.ENDED;
        }
        // A request has one attempt in progress at a time, so its headers can be set for this attempt.
        job.headers().set(LinkHeaders.TIMESTAMP, timestamps.get(gateway)).set(LinkHeaders.TIME_LEFT, timeLeftMillis);
        inFlight.merge(gateway, 1, Integer::sum);
        return connections.send(
                gateway,
                job,
                timeoutNanos,
                listener.withCallback(outcome -> inFlight.merge(gateway, -1, Integer::sum)));
    }

    /** Sends a heartbeat, which needs no timestamp and does not count as in flight. */
    void sendHeartbeat(long gateway, Job job, long timeoutNanos, Listener listener) {
        connections.send(gateway, job, timeoutNanos, listener);
    }

    /** Sets the gateway's newest timestamp. */
    void setTimestamp(long gateway, String timestamp) {
        timestamps.put(gateway, timestamp);
    }

    /** Whether a gateway has sent a timestamp, without which it accepts no requests. */
    boolean hasTimestamp(long gateway) {
        return timestamps.containsKey(gateway);
    }

    /** Requests in flight to a gateway. */
    int inFlight(long gateway) {
        return inFlight.getOrDefault(gateway, 0);
    }

    /** Passes a probe on; heartbeats probe the gateways continuously anyway. */
    @Override
    public void probe(long upstream, Listener listener) {
        connections.probe(gatewayByEndpoint.get(upstream), listener);
    }

    @Override
    public void closeIdle(long upstream) {
        connections.closeIdle(gatewayByEndpoint.get(upstream));
    }

    void close() {
        connections.close();
    }
}
