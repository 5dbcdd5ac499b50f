package pondridge.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;
import pondridge.core.Target;

/**
 * When servers started, by this machine's clock and not by the clock of whoever wrote the list: the two may
 * differ by any amount, and a cold server taken for a warm one is pushed over. Who is listed for the first
 * time, or with another start than before, has started when that is seen here, never earlier; only of the
 * first list that is told, where all is new, the times are believed, within {@code error}. Safe on one side:
 * a server may count as cold for longer than it is. No I/O; times in milliseconds.
 */
final class StartTimes {
    private record Seen(long told, long held) {}

    private final long error;
    private final Map<String, Seen> seen = new HashMap<>();
    private boolean listed;

    /** {@code error}: how far the two clocks may be apart when this program starts. */
    StartTimes(long error) {
        this.error = error;
    }

    /** The same entries with the start times to go by; {@code now} in Unix milliseconds of this machine. */
    List<Target> held(ListKind kind, List<Target> targets, long now) {
        if (kind == ListKind.FULL) {
            Set<String> named = targets.stream().map(Target::uid).collect(Collectors.toSet());
            seen.keySet().retainAll(named);
        }
        List<Target> held = new ArrayList<>(targets.size());
        for (Target target : targets) {
            Seen before = seen.get(target.uid());
            long started = before != null && before.told == target.startedMs()
                    ? before.held
                    : listed ? now : target.startedMs() == 0 ? 0 : Math.min(now, target.startedMs() + error);
            if (target.state() == State.GONE) {
                seen.remove(target.uid());
            } else {
                seen.put(target.uid(), new Seen(target.startedMs(), started));
            }
            held.add(new Target(
                    target.uid(),
                    target.endpoint(),
                    target.zone(),
                    target.kind(),
                    target.cell(),
                    target.state(),
                    target.weight(),
                    started));
        }
        // A cached list may be of any age: what has changed since may have changed long ago.
        listed |= kind == ListKind.FULL || kind == ListKind.DELTA;
        return held;
    }
}
