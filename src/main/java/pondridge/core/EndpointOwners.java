package pondridge.core;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import pondridge.Balancer.UpstreamState;

/**
 * Which server is at each address. A list may still name a server that has gone while another one has been started at
 * its address: requests for the former would go to the latter, with the former's zone and cell, and beyond its cold
 * start budget. So of two servers listed at one address only the one that was started later counts. No I/O; not
 * thread-safe.
 */
final class EndpointOwners {
    private record Owner(Target target, long startMillis) {}

    private final Map<InetSocketAddress, Owner> owners = new HashMap<>();
    private final Map<String, InetSocketAddress> addressesByUid = new HashMap<>();

    /**
     * Applies a list, or a change to it. Returns the same targets, with those as gone that are at the address of a
     * server started later, and in addition the ones as gone that these replace.
     *
     * @param startMillis when a target was started; equal for those of which that is not known
     */
    Collection<Target> resolve(boolean full, List<Target> targets, ToLongFunction<Target> startMillis) {
        if (full) {
            owners.clear();
            addressesByUid.clear();
        }
        Map<String, Target> resolved = new LinkedHashMap<>();
        for (Target target : targets) {
            release(target.uid());
            if (target.state() == UpstreamState.GONE) {
                resolved.put(target.uid(), target);
                continue;
            }
            long start = startMillis.applyAsLong(target);
            Owner owner = owners.get(target.endpoint());
            if (owner != null && start < owner.startMillis) {
                resolved.put(target.uid(), asGone(target));
                continue;
            }
            if (owner != null && start > owner.startMillis) {
                release(owner.target.uid());
                resolved.put(owner.target.uid(), asGone(owner.target));
            }
            if (owner == null || start > owner.startMillis) {
                owners.put(target.endpoint(), new Owner(target, start));
                addressesByUid.put(target.uid(), target.endpoint());
            }
            resolved.put(target.uid(), target);
        }
        return resolved.values();
    }

    private void release(String uid) {
        InetSocketAddress address = addressesByUid.remove(uid);
        if (address != null) {
            owners.remove(address);
        }
    }

    private static Target asGone(Target target) {
        return new Target(
                target.uid(),
                target.endpoint(),
                target.zone(),
                target.kind(),
                target.cell(),
                UpstreamState.GONE,
                target.weight(),
                target.startedMs());
    }
}
