package pondridge.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.UpstreamState;
import pondridge.core.Target;

/**
 * Tracks when servers started by this machine's clock instead of the clock of the list's author. The two may
 * differ by any amount, and a cold server taken for a warm one would be overloaded. A server that is listed
 * for the first time, or with a different start time than before, counts as started when this is received,
 * never earlier. Only the times in the first list are used, within {@code maxClockErrorMillis}, since all its
 * entries are new. The error is on the safe side: a server may count as cold for longer than it is. No I/O;
 * times are in milliseconds.
 */
final class ServerStartTimes {
    private record Observed(long listedMillis, long localMillis) {}

    private final long maxClockErrorMillis;
    private final Map<String, Observed> observedByUid = new HashMap<>();
    private boolean receivedList;

    /** {@code maxClockErrorMillis}: the greatest difference of the two clocks when this program starts. */
    ServerStartTimes(long maxClockErrorMillis) {
        this.maxClockErrorMillis = maxClockErrorMillis;
    }

    /** The same entries with start times by this machine's clock; {@code nowMillis} is its Unix time. */
    List<Target> withLocalStartTimes(EndpointListKind kind, List<Target> targets, long nowMillis) {
        if (kind == EndpointListKind.FULL) {
            Set<String> listedUids = targets.stream().map(Target::uid).collect(Collectors.toSet());
            observedByUid.keySet().retainAll(listedUids);
        }
        List<Target> result = new ArrayList<>(targets.size());
        for (Target target : targets) {
            Observed previous = observedByUid.get(target.uid());
            long startedMillis = previous != null && previous.listedMillis == target.startedMs()
                    ? previous.localMillis
                    : receivedList
                            ? nowMillis
                            : target.startedMs() == 0
                                    ? 0
                                    : Math.min(nowMillis, target.startedMs() + maxClockErrorMillis);
            if (target.state() == UpstreamState.GONE) {
                observedByUid.remove(target.uid());
            } else {
                observedByUid.put(target.uid(), new Observed(target.startedMs(), startedMillis));
            }
            result.add(new Target(
                    target.uid(),
                    target.endpoint(),
                    target.zone(),
                    target.kind(),
                    target.cell(),
                    target.state(),
                    target.weight(),
                    startedMillis));
        }
        // A cached list may be of any age, so a change after it is not evidence of a recent start.
        receivedList |= kind == EndpointListKind.FULL || kind == EndpointListKind.DELTA;
        return result;
    }
}
