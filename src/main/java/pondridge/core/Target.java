package pondridge.core;

import java.net.InetSocketAddress;
import pondridge.Balancer.UpstreamState;

/**
 * An entry of the endpoint list. Zone and kind are names as in the list.
 *
 * @param uid the server's name; the same at every sidecar and after a restart
 * @param endpoint the address at which it listens, as seen from here; may be null if it is gone
 * @param startedMs when it last started, in Unix milliseconds; 0 for long ago
 */
public record Target(
        String uid,
        InetSocketAddress endpoint,
        String zone,
        String kind,
        int cell,
        UpstreamState state,
        float weight,
        long startedMs) {}
