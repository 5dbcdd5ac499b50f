package pondridge.core;

import java.net.InetSocketAddress;
import pondridge.Balancer.State;

/**
 * One line of the list of upstreams; names are still the list's.
 *
 * @param uid the same at every sidecar, and after a restart
 * @param endpoint where it listens, as seen from here; null may be for one that is gone
 * @param startedMs when it last started, in Unix milliseconds; 0 for long ago
 */
public record Target(
        String uid,
        InetSocketAddress endpoint,
        String zone,
        String kind,
        int cell,
        State state,
        float weight,
        long startedMs) {}
