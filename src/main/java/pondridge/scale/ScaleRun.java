package pondridge.scale;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import pondridge.Balancer.State;
import pondridge.Options;
import pondridge.core.Target;
import pondridge.demo.Usual;
import pondridge.scale.ScalePlan.Act;
import pondridge.scale.ScalePlan.Step;
import pondridge.standin.EffectLedger.Verdict;

/**
 * Plays a {@link ScalePlan}: at each size a new source, a few real sidecars and the hollow ones, and on them
 * one case after the other, each on the whole list again. Of one thread.
 */
public final class ScaleRun {
    private static final long WAIT_MS = 2_000;
    private static final long LOAD_MIN = 2_000_000_000L;
    private static final long POLL_MS = 10;
    private static final int MOST_COLLECTIONS = 10;
    private static final long COLLECTION_MS = 100;
    private static final int WARM = 20;
    private static final int PATIENCE_S = 120;

    /** Makes the source of one size. */
    public interface Source {
        /** One that has this list. */
        ListWay start(ScalePlan plan, List<Target> first);

        /** The platform's discovery. */
        Source DISCOVERY = (plan, first) -> new DiscoveryWay(plan.pushed(), first);

        /** The way that the plan names. */
        Source PLANNED =
                (plan, first) -> plan.control() == null ? DISCOVERY.start(plan, first) : new ControlWay(plan, first);
    }

    private final ScalePlan plan;
    private final Source source;
    private final Consumer<String> progress;
    private final Options options;
    private final List<Integer> lines;
    private final List<Row> rows = new ArrayList<>();

    /** One to be played; {@code progress} is told the line of each case as it ends. */
    public ScaleRun(ScalePlan plan, Source source, Consumer<String> progress) {
        this.plan = plan;
        this.source = source;
        this.progress = progress;
        this.options = Usual.options(
                WAIT_MS,
                "discovery=" + (plan.pushed() || plan.control() != null ? "automatic" : "subscribe"),
                "rules.askWithin=" + plan.askWithin());
        this.lines = IntStream.range(0, plan.entries()).boxed().toList();
    }

    /**
     * Plays all of it.
     *
     * @throws pondridge.settings.SettingsException before anything has begun, where the plan needs more than
     *     this process may have
     */
    public ScaleReport play() throws IOException, InterruptedException {
        plan.fits(descriptors());
        new Size(WARM).warmUp();
        List<Verdict> verdicts = new ArrayList<>();
        for (int size : plan.sizes()) {
            verdicts.add(new Size(size).play());
        }
        return new ScaleReport(plan.seed(), List.copyOf(rows), List.copyOf(verdicts));
    }

    private static long descriptors() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean told
                ? told.getMaxFileDescriptorCount()
                : 0;
    }

    /** What closed connections hold goes only with the collection after the one that finds them closed. */
    private static long heapAfterCollection() throws InterruptedException {
        long used = Long.MAX_VALUE;
        for (int i = 0; i < MOST_COLLECTIONS; i++) {
            System.gc();
            long now = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
            if (i > 1 && now > used - used / 100) {
                return now;
            }
            used = now;
            Thread.sleep(COLLECTION_MS);
        }
        return used;
    }

    /** One size, with all that lives as long. */
    private final class Size {
        private final int size;
        private final Knowledge knowledge;
        private RealBed bed;
        private ListWay way;
        private HollowFleet fleet;
        private long version = ListWay.FIRST;
        private double heapKb;

        Size(int size) {
            this.size = size;
            this.knowledge = new Knowledge(size);
        }

        Verdict play() throws IOException, InterruptedException {
            try (RealBed real = new RealBed(plan, options, WAIT_MS);
                    ListWay begun = source.start(plan, real.targets(lines, State.READY));
                    HollowFleet hollow = new HollowFleet(size, plan, begun, options, knowledge)) {
                bed = real;
                way = begun;
                fleet = hollow;
                bed.start(way);
                long before = heapAfterCollection();
                fleet.join();
                if (!known()) {
                    throw new IOException(
                            knowledge.missing(version) + " of " + size + " hollow sidecars never had the first list");
                }
                heapKb = (heapAfterCollection() - before) / 1024.0 / size;
                for (Step step : plan.cases()) {
                    Row row = new Playing(step).play();
                    rows.add(row);
                    progress.accept(row.line());
                }
                return bed.verdict();
            }
        }

        /** Loads what all sizes need: else the first one's heap and processor time would have it. */
        void warmUp() throws InterruptedException {
            try (RealBed real = new RealBed(plan, options, WAIT_MS);
                    ListWay begun = source.start(plan, real.targets(lines, State.READY));
                    HollowFleet hollow = new HollowFleet(size, plan, begun, options, knowledge)) {
                bed = real;
                way = begun;
                hollow.join();
                known();
                put(List.of(0), State.READY);
                known();
            }
        }

        private boolean known() throws InterruptedException {
            return await(() -> knowledge.missing(version) == 0);
        }

        private void put(List<Integer> changed, State state) {
            version++;
            bed.told(changed, state);
            int[] services = changed.stream().mapToInt(plan::service).distinct().toArray();
            knowledge.put(version, System.nanoTime(), follower -> Arrays.stream(services)
                    .anyMatch(each -> plan.follows(follower, each)));
            way.put(bed.targets(changed, state));
        }

        /** One case. */
        private final class Playing {
            private final Step step;
            private final Schedule schedule;
            private long began;
            private long failedBefore;
            private long failedDown;

            Playing(Step step) {
                this.step = step;
                this.schedule = new Schedule(
                        step,
                        plan.entries(),
                        plan.zones(),
                        plan.seed() + step.name().hashCode());
            }

            Row play() throws IOException, InterruptedException {
                CompletableFuture<Void> load =
                        bed.load(size + "-" + step.name(), Math.max(LOAD_MIN, step.length()) / 1e9);
                knowledge.begin();
                ListWay.Counts counted = way.counts();
                ListWay.Counts relayed = way.relayed();
                int watches = way.watches();
                long sourceCpu = way.cpuNanos();
                long relayCpu = way.relayNanos();
                long followerCpu = fleet.cpuNanos();
                long realCpu = bed.cpuNanos();
                failedBefore = fleet.failed();
                began = System.nanoTime();
                act();
                until(began + step.length());
                boolean done = known();
                if (step.outage()) {
                    backAll(watches);
                }
                double seconds = (System.nanoTime() - began) / 1e9;
                double events = step.act() == Act.QUIET
                        ? seconds
                        : Math.max(1, schedule.changes().size());
                Row row = new Row(
                        size,
                        plan.entries(),
                        step,
                        events,
                        seconds,
                        knowledge.times(),
                        done ? 0 : knowledge.missing(version),
                        way.counts().since(counted),
                        way.cpuNanos() - sourceCpu,
                        way.relayed().since(relayed),
                        way.relayNanos() - relayCpu,
                        fleet.cpuNanos() - followerCpu,
                        fleet.failed() - failedBefore,
                        failedDown,
                        heapKb,
                        bed.cpuNanos() - realCpu,
                        bed.residentKb());
                join(load);
                restore();
                return row;
            }

            private void act() throws InterruptedException {
                if (step.outage()) {
                    if (step.before()) {
                        put(List.of(0), State.READY);
                    }
                    outage(true);
                    until(began + step.length());
                    failedDown = fleet.failed() - failedBefore;
                    if (!step.before()) {
                        // One line is told again, unchanged: a version that nobody has who was away.
                        put(List.of(0), State.READY);
                    }
                    outage(false);
                } else if (step.act() == Act.JOIN) {
                    knowledge.put(version, began);
                    fleet.join();
                }
                for (Schedule.Change each : schedule.changes()) {
                    until(began + each.at());
                    put(each.lines(), each.state());
                }
            }

            private void outage(boolean on) {
                switch (step.act()) {
                    case KILLED -> way.kill(on);
                    case SOURCE_KILLED -> way.killSource(on);
                    case SILENT -> way.silence(on);
                    default -> way.cut(on);
                }
            }

            /** Waits until all who were followed are again, the real ones among them. */
            private void backAll(int watches) throws InterruptedException {
                await(() -> way.watches() >= watches);
            }

            /** All lines are ready again before the next case, and all know it. */
            private void restore() throws InterruptedException {
                if (!schedule.away().isEmpty()) {
                    put(schedule.away(), State.READY);
                    known();
                }
            }
        }
    }

    /** Waits until it is so; false once that has taken longer than the plan's limit. */
    private boolean await(BooleanSupplier so) throws InterruptedException {
        long until = System.nanoTime() + plan.limit();
        while (!so.getAsBoolean()) {
            if (System.nanoTime() - until > 0) {
                return false;
            }
            Thread.sleep(POLL_MS);
        }
        return true;
    }

    private static void until(long time) {
        for (long left = time - System.nanoTime(); left > 0; left = time - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private static void join(CompletableFuture<Void> load) throws IOException, InterruptedException {
        try {
            load.get(PATIENCE_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("load doesn't end", e);
        }
    }
}
