package pondridge.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.LongAdder;
import pondridge.BalancerOptions;
import pondridge.scale.ScalePlan.Step;

/** All hollow sidecars of one fleet size, on their own event loops. Used on the thread of the run only. */
final class HollowFleet implements AutoCloseable {
    private final MeasuredLoopGroup followerLoops;
    private final ListDistribution distribution;
    private final BalancerOptions options;
    private final PropagationTracker tracker;
    private final Random seedSource;
    private final double regionFraction;
    private final EventLoop[] loops;
    private final HollowSidecar[] members;
    private final LongAdder failedCalls = new LongAdder();

    /** Creates a fleet in which no sidecar is started yet. */
    HollowFleet(
            int size,
            ScalePlan plan,
            ListDistribution distribution,
            BalancerOptions options,
            PropagationTracker tracker) {
        this.followerLoops = new MeasuredLoopGroup("follower", plan.followerLoops());
        this.distribution = distribution;
        this.options = options;
        this.tracker = tracker;
        this.seedSource = new Random(plan.seed());
        this.regionFraction = plan.cases().stream()
                .filter(step -> step.act() == ScalePlan.Act.REGION_CUT)
                .mapToDouble(Step::regionFraction)
                .findFirst()
                .orElse(0);
        this.members = new HollowSidecar[size];
        this.loops = new EventLoop[size];
        for (int i = 0; i < size; i++) {
            loops[i] = followerLoops.next();
        }
    }

    /** Starts or restarts all sidecars at once, with empty lists. */
    void joinAll() {
        // Cleared here for all, so that versions received before the restart don't count as received after it.
        for (int i = 0; i < members.length; i++) {
            tracker.clear(i);
        }
        for (int i = 0; i < members.length; i++) {
            int number = i;
            long seed = seedSource.nextLong();
            loops[i].execute(() -> {
                if (members[number] != null) {
                    members[number].stop();
                }
                tracker.clear(number);
                members[number] = new HollowSidecar(
                        number,
                        loops[number],
                        options,
                        seed,
                        distribution,
                        number < regionFraction * members.length,
                        tracker,
                        failedCalls::increment);
                members[number].start();
            });
        }
    }

    /** Returns the number of failed list requests so far. */
    long failedCalls() {
        return failedCalls.sum();
    }

    long cpuNanos() {
        return followerLoops.cpuNanos();
    }

    @Override
    public void close() {
        List<Future<?>> stopped = new ArrayList<>();
        for (int i = 0; i < members.length; i++) {
            int number = i;
            stopped.add(loops[i].submit(() -> {
                if (members[number] != null) {
                    members[number].stop();
                }
            }));
        }
        stopped.forEach(Future::awaitUninterruptibly);
        followerLoops.close();
    }
}
