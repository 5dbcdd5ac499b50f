package pondridge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.UpstreamState;

/**
 * Guards against a new server that is taken for the one before at its address: it got requests under both names, for
 * the wrong zone and beyond its cold start budget.
 */
class EndpointOwnersTest {
    private final EndpointOwners owners = new EndpointOwners();

    private static Target target(String uid, int port, UpstreamState state, long startedMs) {
        return new Target(uid, new InetSocketAddress("127.0.0.1", port), "a", "m", 1, state, 1, startedMs);
    }

    private String resolve(boolean full, Target... targets) {
        return owners.resolve(full, List.of(targets), Target::startedMs).stream()
                .collect(Collectors.toMap(Target::uid, Target::state, (a, b) -> b, TreeMap::new))
                .toString();
    }

    private static Target ready(String uid, int port, long startedMs) {
        return target(uid, port, UpstreamState.READY, startedMs);
    }

    @Test
    void aServerStartedLaterReplacesTheOneAtItsAddress() {
        assertEquals("{a=READY, b=READY}", resolve(true, ready("a", 1, 0), ready("b", 2, 50)));
        assertEquals("{a=GONE, c=READY}", resolve(false, ready("c", 1, 100)));
        assertEquals("{a=GONE}", resolve(false, ready("a", 1, 0)), "listed again");
        assertEquals("{a=GONE, c=READY}", resolve(true, ready("c", 1, 100), ready("a", 1, 0)));
        assertEquals("{a=GONE, c=READY}", resolve(true, ready("a", 1, 0), ready("c", 1, 100)));
    }

    @Test
    void aServerThatHasLeftOrMovedOwnsItsAddressNoMore() {
        resolve(true, ready("a", 1, 100), ready("b", 2, 100));
        assertEquals("{a=GONE}", resolve(false, target("a", 1, UpstreamState.GONE, 100)));
        assertEquals("{c=READY}", resolve(false, ready("c", 1, 50)));
        assertEquals("{b=READY}", resolve(false, ready("b", 3, 100)));
        assertEquals("{d=READY}", resolve(false, ready("d", 2, 50)));
    }

    @Test
    void equalStartsProveNothing() {
        assertEquals("{a=READY, b=READY}", resolve(true, ready("a", 1, 0), ready("b", 1, 0)));
    }
}
