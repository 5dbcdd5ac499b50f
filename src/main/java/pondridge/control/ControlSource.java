package pondridge.control;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The source of the lists and settings: one process with a durable state file. A change is written to the
 * file before it is sent to watchers. One thread reads and writes files; everything else runs on the event
 * loop, except {@link #start}, {@link #put} and {@link #close}.
 */
public final class ControlSource implements AutoCloseable {
    private static final long FEED_POLL_MS = 1_000;

    private final EventLoop loop;
    private final ControlSettings settings;
    private final EventLog events;
    private final StateFile file;
    private final SourceState state;
    private final ControlServer server;
    private final PropagationLatency propagationLatency = new PropagationLatency();
    private final ScheduledExecutorService fileExecutor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control files");
        thread.setDaemon(true);
        return thread;
    });
    /**
     * Futures of puts that are not part of a commit yet, and of those in the commit that is being written.
     */
    private List<CompletableFuture<Version>> pendingPuts = new ArrayList<>();

    private List<CompletableFuture<Version>> committingPuts = new ArrayList<>();
    private boolean commitScheduled;
    private FileTime feedModified;

    /** Reads the state file. Without one, starts a new epoch that is numbered by the clock. */
    public ControlSource(EventLoop loop, ControlSettings settings, EventLog events, Traffic traffic)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.events = events;
        this.file = new StateFile(settings.stateFile(), settings.maxTombstones());
        ResourceStore restored = file.read();
        if (restored == null) {
            restored = SourceState.newEpoch(System.currentTimeMillis(), settings.maxTombstones());
            file.write(restored);
            events.report(
                    "new_epoch", "", "no file " + settings.stateFile() + ", starting at version " + restored.version());
        }
        this.state = new SourceState(restored, settings.commitDelayNanos(), settings.maxEntries());
        this.server = new ControlServer(loop, settings.watcherLimits(), state::committed, now -> 0, traffic, events);
    }

    /** Starts the source and returns the address on which it listens. */
    public CompletableFuture<InetSocketAddress> start() {
        loop.scheduleWithFixedDelay(
                this::reportPropagation,
                settings.statusIntervalNanos(),
                settings.statusIntervalNanos(),
                TimeUnit.NANOSECONDS);
        if (settings.feedFile() != null) {
            fileExecutor.scheduleWithFixedDelay(this::pollFeed, 0, FEED_POLL_MS, TimeUnit.MILLISECONDS);
        }
        return server.listen(settings.listenAddress());
    }

    /**
     * Changes resources; all changes of one call are part of the same commit. May be called on any thread.
     *
     * @return the version that includes the changes, completed on the event loop when the version is durable
     * and before any watcher receives it
     */
    public CompletableFuture<Version> put(Collection<Resource> resources) {
        CompletableFuture<Version> durable = new CompletableFuture<>();
        loop.execute(() -> {
            for (Resource each : resources) {
                try {
                    state.put(each, System.nanoTime());
                } catch (IllegalArgumentException e) {
                    events.report("not_taken", "", e.getMessage());
                }
            }
            pendingPuts.add(durable);
            completePutsIfIdle();
            scheduleCommit();
        });
        return durable;
    }

    /** Completes the waiting puts if nothing is left to commit: the state already includes them. */
    private void completePutsIfIdle() {
        if (state.pendingCount() == 0) {
            List<CompletableFuture<Version>> completed = pendingPuts;
            pendingPuts = new ArrayList<>();
            completed.forEach(each -> each.complete(state.committed().version()));
        }
    }

    private void pollFeed() {
        try {
            FileTime modified = Files.getLastModifiedTime(settings.feedFile());
            if (!modified.equals(feedModified)) {
                feedModified = modified;
                List<Resource> desired = FeedFile.read(settings.feedFile());
                loop.execute(() -> replaceAll(desired));
            }
        } catch (IOException e) {
            loop.execute(() -> events.report("feed_not_taken", "", e.toString()));
        }
    }

    /** Replaces the whole state: resources that are not in the list are deleted. */
    private void replaceAll(List<Resource> desired) {
        Set<String> keys = new HashSet<>();
        desired.forEach(each -> keys.add(each.service() + '/' + each.name()));
        state.committed().changesSince(-1, List.of(), false).stream()
                .filter(each -> !keys.contains(each.service() + '/' + each.name()))
                .forEach(each ->
                        state.put(new Resource(each.service(), each.name(), Resource.DELETED, ""), System.nanoTime()));
        put(desired);
    }

    private void scheduleCommit() {
        long dueNanos = state.nextCommitNanos();
        if (!commitScheduled && dueNanos < Long.MAX_VALUE) {
            commitScheduled = true;
            loop.schedule(this::commit, Math.max(0, dueNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    private void commit() {
        commitScheduled = false;
        ResourceStore draft = state.nextCommitNanos() < Long.MAX_VALUE ? state.prepareCommit() : null;
        if (draft == null) {
            completePutsIfIdle();
        } else {
            committingPuts = pendingPuts;
            pendingPuts = new ArrayList<>();
            fileExecutor.execute(() -> {
                IOException problem = null;
                try {
                    file.write(draft);
                } catch (IOException e) {
                    problem = e;
                }
                IOException failure = problem;
                loop.execute(() -> finishCommit(draft, failure));
            });
        }
    }

    private void finishCommit(ResourceStore draft, IOException failure) {
        if (failure == null) {
            state.commitSucceeded();
            propagationLatency.recordCommit(draft.version(), System.nanoTime());
            committingPuts.forEach(each -> each.complete(draft.version()));
            server.stateChanged();
        } else {
            events.report("not_written", "", settings.stateFile() + ": " + failure);
            state.commitFailed(System.nanoTime());
            pendingPuts.addAll(0, committingPuts);
        }
        committingPuts = new ArrayList<>();
        scheduleCommit();
    }

    private void reportPropagation() {
        long countBefore = propagationLatency.completedCommits();
        PropagationStatus status = server.scheduler().propagationStatus();
        propagationLatency.recordStatus(status, System.nanoTime());
        if (propagationLatency.completedCommits() > countBefore) {
            events.report(
                    "in_force",
                    "",
                    "version " + status.lowestVersion() + " reached " + status.followerCount() + " followers after "
                            + propagationLatency.lastNanos() / 1_000_000 + " ms");
        } else if (propagationLatency.oldestPendingNanos(System.nanoTime()) > settings.silenceTimeoutNanos()) {
            events.report(
                    "not_in_force",
                    String.join(",", status.laggingInstances()),
                    "lowest version " + status.lowestVersion() + " of " + status.followerCount() + " followers, newest "
                            + state.committed().version());
        }
    }

    /** Returns the durable version. Call on the event loop. */
    public Version version() {
        return state.committed().version();
    }

    /** Returns the digest of the given services, or of all if none are given. Call on the event loop. */
    public long digest(Collection<String> services) {
        return state.committed().digest(services);
    }

    /** Returns which versions the followers have. Call on the event loop. */
    public PropagationStatus propagationStatus() {
        return server.scheduler().propagationStatus();
    }

    /** Returns the number of snapshots sent. Call on the event loop. */
    public long snapshotsSent() {
        return server.scheduler().snapshotsSent();
    }

    /** Returns the number of deltas sent. Call on the event loop. */
    public long deltasSent() {
        return server.scheduler().deltasSent();
    }

    /**
     * Returns the longest time that a commit took to reach all followers, in nanoseconds; -1 if none has yet.
     * Call on the event loop.
     */
    public long longestPropagationNanos() {
        return propagationLatency.longestNanos();
    }

    /** Returns the number of commits that have reached all followers. Call on the event loop. */
    public long fullyPropagatedCommits() {
        return propagationLatency.completedCommits();
    }

    @Override
    public void close() {
        loop.execute(server::close);
        fileExecutor.shutdown();
    }
}
