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
import pondridge.Balancer.UpstreamState;
import pondridge.BalancerOptions;
import pondridge.core.Target;
import pondridge.demo.StandinOptions;
import pondridge.scale.ScalePlan.Act;
import pondridge.scale.ScalePlan.Step;
import pondridge.standin.ExecutionLedger.Verdict;

/**
 * Runs a {@link ScalePlan}. Each fleet size has a new source, its own real sidecars and its own hollow sidecars; the
 * cases run on them one after the other, each starting with all entries ready. Single-threaded.
 */
public final class ScaleRun {
    private static final long CLIENT_TIMEOUT_MILLIS = 2_000;
    private static final long MIN_LOAD_NANOS = 2_000_000_000L;
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final int MAX_COLLECTIONS = 10;
    private static final long COLLECTION_PAUSE_MILLIS = 100;
    private static final int WARM_UP_SIZE = 20;
    private static final int LOAD_TIMEOUT_SECONDS = 120;

    /** Creates the distribution of the list for one fleet size. */
    public interface DistributionFactory {
        /** Starts a distribution with these initial entries. */
        ListDistribution start(ScalePlan plan, List<Target> initialEntries);

        /** The platform's discovery. */
        DistributionFactory DISCOVERY =
                (plan, initialEntries) -> new DiscoveryListDistribution(plan.pushed(), initialEntries);

        /** The mechanism that the plan names. */
        DistributionFactory FROM_PLAN = (plan, initialEntries) -> plan.control() == null
                ? DISCOVERY.start(plan, initialEntries)
                : new ControlListDistribution(plan, initialEntries);
    }

    private final ScalePlan plan;
    private final DistributionFactory distributionFactory;
    private final Consumer<String> progress;
    private final BalancerOptions options;
    private final List<Integer> allEntries;
    private final List<CaseResult> results = new ArrayList<>();

    /** Creates a run; {@code progress} receives the result line of each case when it ends. */
    public ScaleRun(ScalePlan plan, DistributionFactory distributionFactory, Consumer<String> progress) {
        this.plan = plan;
        this.distributionFactory = distributionFactory;
        this.progress = progress;
        this.options = StandinOptions.withDeadline(
                CLIENT_TIMEOUT_MILLIS,
                "discovery=" + (plan.pushed() || plan.control() != null ? "automatic" : "subscribe"),
                "rules.askWithin=" + plan.refetchWithinNanos());
        this.allEntries = IntStream.range(0, plan.entries()).boxed().toList();
    }

    /**
     * Runs all sizes and cases.
     *
     * @throws pondridge.settings.SettingsException before anything is started, if the plan needs more file
     *     descriptors than this process may open
     */
    public ScaleReport run() throws IOException, InterruptedException {
        plan.checkDescriptors(maxDescriptors());
        new SizeRun(WARM_UP_SIZE).warmUp();
        List<Verdict> verdicts = new ArrayList<>();
        for (int size : plan.sizes()) {
            verdicts.add(new SizeRun(size).run());
        }
        return new ScaleReport(plan.seed(), List.copyOf(results), List.copyOf(verdicts));
    }

    private static long maxDescriptors() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean systemBean
                ? systemBean.getMaxFileDescriptorCount()
                : 0;
    }

    /**
     * Returns the heap use after garbage collections. It collects several times, since memory held by closed
     * connections is freed only by the collection after the one that finds them closed.
     */
    private static long heapAfterCollection() throws InterruptedException {
        long usedBytes = Long.MAX_VALUE;
        for (int i = 0; i < MAX_COLLECTIONS; i++) {
            System.gc();
            long currentBytes =
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
            if (i > 1 && currentBytes > usedBytes - usedBytes / 100) {
                return currentBytes;
            }
            usedBytes = currentBytes;
            Thread.sleep(COLLECTION_PAUSE_MILLIS);
        }
        return usedBytes;
    }

    /** Run of one fleet size, with the objects that live as long. */
    private final class SizeRun {
        private final int size;
        private final PropagationTracker tracker;
        private RealTestbed testbed;
        private ListDistribution distribution;
        private HollowFleet fleet;
        private long version = ListDistribution.FIRST;
        private double heapKibPerFollower;
        /** Followers that are subscribed while no case disturbs them. */
        private int expectedSubscriptions;

        SizeRun(int size) {
            this.size = size;
            this.tracker = new PropagationTracker(size);
        }

        Verdict run() throws IOException, InterruptedException {
            try (RealTestbed newTestbed = new RealTestbed(plan, options, CLIENT_TIMEOUT_MILLIS);
                    ListDistribution newDistribution =
                            distributionFactory.start(plan, newTestbed.targets(allEntries, UpstreamState.READY));
                    HollowFleet newFleet = new HollowFleet(size, plan, newDistribution, options, tracker)) {
                testbed = newTestbed;
                distribution = newDistribution;
                fleet = newFleet;
                testbed.start(distribution);
                long heapBefore = heapAfterCollection();
                fleet.joinAll();
                if (!awaitPropagation()) {
                    throw new IOException(tracker.countMissing(version) + " of " + size
                            + " hollow sidecars did not receive the initial list");
                }
                heapKibPerFollower = (heapAfterCollection() - heapBefore) / 1024.0 / size;
                expectedSubscriptions = size + testbed.sidecarCount();
                if (!awaitSubscriptions()) {
                    throw new IOException(distribution.subscriptions() + " of " + expectedSubscriptions
                            + " followers are subscribed to changes");
                }
                for (Step step : plan.cases()) {
                    CaseResult result = new CaseRun(step).run();
                    results.add(result);
                    progress.accept(result.keyValueLine());
                }
                return testbed.verdict();
            }
        }

        /**
         * Initializes classes and other state that all sizes share; otherwise its heap and CPU time would count for
         * the first size.
         */
        void warmUp() throws InterruptedException {
            try (RealTestbed newTestbed = new RealTestbed(plan, options, CLIENT_TIMEOUT_MILLIS);
                    ListDistribution newDistribution =
                            distributionFactory.start(plan, newTestbed.targets(allEntries, UpstreamState.READY));
                    HollowFleet newFleet = new HollowFleet(size, plan, newDistribution, options, tracker)) {
                testbed = newTestbed;
                distribution = newDistribution;
                newFleet.joinAll();
                awaitPropagation();
                publish(List.of(0), UpstreamState.READY);
                awaitPropagation();
            }
        }

        private boolean awaitPropagation() throws InterruptedException {
            return awaitCondition(() -> tracker.countMissing(version) == 0);
        }

        private boolean awaitSubscriptions() throws InterruptedException {
            return awaitCondition(() -> distribution.subscriptions() >= expectedSubscriptions);
        }

        private void publish(List<Integer> changed, UpstreamState state) {
            version++;
            testbed.announceState(changed, state);
            int[] changedServices =
                    changed.stream().mapToInt(plan::serviceOf).distinct().toArray();
            tracker.recordPublished(version, System.nanoTime(), follower -> Arrays.stream(changedServices)
                    .anyMatch(service -> plan.followsService(follower, service)));
            distribution.publish(testbed.targets(changed, state));
        }

        /** Run of one case. */
        private final class CaseRun {
            private final Step step;
            private final Schedule schedule;
            private long startedNanos;
            private long failedCallsBefore;
            private long failedCallsInOutage;
            private ListDistribution.Counts sourceCounts;
            private ListDistribution.Counts relayCounts;

            CaseRun(Step step) {
                this.step = step;
                this.schedule = new Schedule(
                        step,
                        plan.entries(),
                        plan.zones(),
                        plan.seed() + step.name().hashCode());
            }

            CaseResult run() throws IOException, InterruptedException {
                CompletableFuture<Void> load = testbed.startLoad(
                        size + "-" + step.name(), Math.max(MIN_LOAD_NANOS, step.durationNanos()) / 1e9);
                tracker.reset();
                ListDistribution.Counts sourceCountsBefore = distribution.sourceCounts();
                ListDistribution.Counts relayCountsBefore = distribution.relayCounts();
                long sourceCpuNanosBefore = distribution.sourceCpuNanos();
                long relayCpuNanosBefore = distribution.relayCpuNanos();
                long followerCpuNanosBefore = fleet.cpuNanos();
                long realCpuNanosBefore = testbed.cpuNanos();
                failedCallsBefore = fleet.failedCalls();
                startedNanos = System.nanoTime();
                runAction();
                sleepUntil(startedNanos + step.durationNanos());
                boolean propagated = awaitPropagation();
                if (step.outage()) {
                    awaitSubscriptions();
                }
                double seconds = (System.nanoTime() - startedNanos) / 1e9;
                double eventCount = step.act() == Act.QUIET
                        ? seconds
                        : Math.max(1, schedule.changes().size());
                sampleCounts();
                CaseResult result = new CaseResult(
                        size,
                        plan.entries(),
                        step,
                        eventCount,
                        seconds,
                        tracker.propagationTimes(),
                        propagated ? 0 : tracker.countMissing(version),
                        sourceCounts.since(sourceCountsBefore),
                        distribution.sourceCpuNanos() - sourceCpuNanosBefore,
                        relayCounts.since(relayCountsBefore),
                        distribution.relayCpuNanos() - relayCpuNanosBefore,
                        fleet.cpuNanos() - followerCpuNanosBefore,
                        fleet.failedCalls() - failedCallsBefore,
                        failedCallsInOutage,
                        heapKibPerFollower,
                        testbed.cpuNanos() - realCpuNanosBefore,
                        testbed.residentKib());
                awaitLoad(load);
                restoreEntries();
                return result;
            }

            private void runAction() throws InterruptedException {
                if (step.outage()) {
                    if (step.changeBefore()) {
                        publish(List.of(0), UpstreamState.READY);
                    }
                    setOutage(true);
                    sleepUntil(startedNanos + step.durationNanos());
                    failedCallsInOutage = fleet.failedCalls() - failedCallsBefore;
                    if (!step.changeBefore()) {
                        // One unchanged entry is published again: a version that followers cut off by the outage lack.
                        publish(List.of(0), UpstreamState.READY);
                    }
                    setOutage(false);
                } else if (step.act() == Act.JOIN) {
                    tracker.recordPublished(version, startedNanos);
                    fleet.joinAll();
                }
                for (Schedule.Change change : schedule.changes()) {
                    sleepUntil(startedNanos + change.atNanos());
                    publish(change.entries(), change.state());
                }
            }

            private void setOutage(boolean active) {
                switch (step.act()) {
                    case KILLED -> distribution.setKilled(active);
                    case SOURCE_KILLED -> distribution.setSourceKilled(active);
                    case SILENT -> distribution.setSilent(active);
                    default -> distribution.setRegionCut(active);
                }
            }

            /**
             * Takes the counters at a moment at which all followers are subscribed, or in the end as they are. A
             * follower that returns to its preferred relay is not subscribed for a moment.
             */
            private void sampleCounts() throws InterruptedException {
                awaitCondition(() -> {
                    sourceCounts = distribution.sourceCounts();
                    relayCounts = distribution.relayCounts();
                    return Math.max(sourceCounts.subscriptions(), relayCounts.subscriptions()) >= expectedSubscriptions;
                });
            }

            /** Sets all entries to ready for the next case and waits until all followers have received that. */
            private void restoreEntries() throws InterruptedException {
                if (!schedule.unavailable().isEmpty()) {
                    publish(schedule.unavailable(), UpstreamState.READY);
                    awaitPropagation();
                }
            }
        }
    }

    /** Waits until a condition holds. Returns false if that takes longer than the plan's propagation timeout. */
    private boolean awaitCondition(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + plan.propagationTimeoutNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                return false;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return true;
    }

    private static void sleepUntil(long nanoTime) {
        for (long remainingNanos = nanoTime - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = nanoTime - System.nanoTime()) {
            LockSupport.parkNanos(remainingNanos);
        }
    }

    private static void awaitLoad(CompletableFuture<Void> load) throws IOException, InterruptedException {
        try {
            load.get(LOAD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("load did not end within " + LOAD_TIMEOUT_SECONDS + " s", e);
        }
    }
}
