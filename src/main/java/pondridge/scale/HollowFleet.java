package pondridge.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.LongAdder;
import pondridge.Options;
import pondridge.scale.ScalePlan.Step;

/** All hollow sidecars of one size, on a few loops of their own. Of the run's thread. */
final class HollowFleet implements AutoCloseable {
    private final Role role;
    private final ListWay way;
    private final Options options;
    private final Knowledge knowledge;
    private final Random seeds;
    private final double region;
    private final EventLoop[] loops;
    private final HollowSidecar[] members;
    private final LongAdder failed = new LongAdder();

    /** So many, none of which has begun. */
    HollowFleet(int size, ScalePlan plan, ListWay way, Options options, Knowledge knowledge) {
        this.role = new Role("follower", plan.loops());
        this.way = way;
        this.options = options;
        this.knowledge = knowledge;
        this.seeds = new Random(plan.seed());
        this.region = plan.cases().stream()
                .filter(each -> each.act() == ScalePlan.Act.REGION_CUT)
                .mapToDouble(Step::part)
                .findFirst()
                .orElse(0);
        this.members = new HollowSidecar[size];
        this.loops = new EventLoop[size];
        for (int i = 0; i < size; i++) {
            loops[i] = role.next();
        }
    }

    /** All begin, or begin anew, at once; what they knew is gone. */
    void join() {
        // At once, so that nobody takes what they knew before for what they know now.
        for (int i = 0; i < members.length; i++) {
            knowledge.forget(i);
        }
        for (int i = 0; i < members.length; i++) {
            int number = i;
            long seed = seeds.nextLong();
            loops[i].execute(() -> {
                if (members[number] != null) {
                    members[number].end();
                }
                knowledge.forget(number);
                members[number] = new HollowSidecar(
                        number,
                        loops[number],
                        options,
                        seed,
                        way,
                        number < region * members.length,
                        knowledge,
                        failed::increment);
                members[number].begin();
            });
        }
    }

    /** Calls for the list that have failed so far. */
    long failed() {
        return failed.sum();
    }

    long cpuNanos() {
        return role.cpuNanos();
    }

    @Override
    public void close() {
        List<Future<?>> ends = new ArrayList<>();
        for (int i = 0; i < members.length; i++) {
            int number = i;
            ends.add(loops[i].submit(() -> {
                if (members[number] != null) {
                    members[number].end();
                }
            }));
        }
        ends.forEach(Future::awaitUninterruptibly);
        role.close();
    }
}
