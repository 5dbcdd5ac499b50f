package pondridge.demo;

import java.util.List;
import pondridge.Balancer.EndpointListKind;
import pondridge.core.Target;
import pondridge.gateway.Gateway;

/** A running gateway of a site, in this process or another. Methods must not be called on its event loop. */
interface GatewayHandle extends AutoCloseable {
    /** The addresses on which it listens. */
    Gateway.ListenAddresses addresses();

    /** Passes an update of the endpoint list to it, without waiting for a gateway in another process. */
    void updateTargets(EndpointListKind kind, List<Target> targets);

    /** A counter by its name in {@link Gateway#counts}; 0 for a gateway in another process. */
    long count(String counter);

    /** Whether it has no open request; always true for a gateway in another process. */
    boolean idle();

    /** CPU time that it has used so far, in nanoseconds. */
    double cpuNanos();

    /** Ends it as if its process were killed: its connections break and its state is lost. */
    void kill();

    /** Shuts it down in an orderly way, if it still runs. */
    @Override
    void close();
}
