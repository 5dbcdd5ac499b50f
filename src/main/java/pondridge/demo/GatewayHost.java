package pondridge.demo;

import java.util.List;
import pondridge.Balancer.ListKind;
import pondridge.core.Target;
import pondridge.gateway.Gateway;

/** One gateway of a site, wherever it runs. Methods may be called on any thread but its own. */
interface GatewayHost extends AutoCloseable {
    /** Where it listens. */
    Gateway.Doors doors();

    /** Tells it what the list says; not waited for. */
    void listed(ListKind kind, List<Target> targets);

    /** A count by its name in {@link Gateway#counts}; 0 where it can't be asked. */
    long count(String of);

    /** Whether it has nothing open; where it can't be asked, yes. */
    boolean idle();

    /** What the processor has spent on it, in nanoseconds. */
    double cpuNanos();

    /** Ends it as a process is killed: its connections end, and what it knew is gone. */
    void kill();

    /** Ends it in order, if it still runs. */
    @Override
    void close();
}
