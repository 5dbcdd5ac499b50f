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
 * The source: one process with a durable file. What it is told is written before it is told on. One thread
 * reads and writes files; all else is on the loop, but {@link #start}, {@link #put} and {@link #close}.
 */
public final class ControlSource implements AutoCloseable {
    private static final long LOOK_MS = 1_000;

    private final EventLoop loop;
    private final ControlSettings settings;
    private final Events events;
    private final SourceFile file;
    private final SourceState state;
    private final ControlServer server;
    private final Spread spread = new Spread();
    private final ScheduledExecutorService files = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control files");
        thread.setDaemon(true);
        return thread;
    });
    /** Of puts that are in no commit yet, and of those in the one that is being written. */
    private List<CompletableFuture<Version>> asked = new ArrayList<>();

    private List<CompletableFuture<Version>> sealed = new ArrayList<>();
    private boolean planned;
    private FileTime feedOf;

    /** Reads the state file; without one a new epoch begins, numbered by the clock. */
    public ControlSource(EventLoop loop, ControlSettings settings, Events events, Traffic traffic) throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.events = events;
        this.file = new SourceFile(settings.stateFile(), settings.markers());
        Holdings known = file.read();
        if (known == null) {
            known = SourceState.fresh(System.currentTimeMillis(), settings.markers());
            file.write(known);
            events.told("new_epoch", "", "no " + settings.stateFile() + ", begins at " + known.version());
        }
        this.state = new SourceState(known, settings.fold(), settings.entries());
        this.server = new ControlServer(loop, settings.serving(), state::held, now -> 0, traffic, events);
    }

    /** Begins; gives where it listens. */
    public CompletableFuture<InetSocketAddress> start() {
        loop.scheduleWithFixedDelay(this::measure, settings.report(), settings.report(), TimeUnit.NANOSECONDS);
        if (settings.feed() != null) {
            files.scheduleWithFixedDelay(this::feed, 0, LOOK_MS, TimeUnit.MILLISECONDS);
        }
        return server.listen(settings.listen());
    }

    /**
     * What is new of some keys; all in one call go into one commit. On any thread.
     *
     * @return the version that has it, told on the loop when it is durable and before any watcher has it
     */
    public CompletableFuture<Version> put(Collection<Resource> resources) {
        CompletableFuture<Version> durable = new CompletableFuture<>();
        loop.execute(() -> {
            for (Resource each : resources) {
                try {
                    state.put(each, System.nanoTime());
                } catch (IllegalArgumentException e) {
                    events.told("not_taken", "", e.getMessage());
                }
            }
            asked.add(durable);
            settle();
            plan();
        });
        return durable;
    }

    /** Where nothing is to be committed, what is asked for is there already. */
    private void settle() {
        if (state.pending() == 0) {
            List<CompletableFuture<Version>> done = asked;
            asked = new ArrayList<>();
            done.forEach(each -> each.complete(state.held().version()));
        }
    }

    private void feed() {
        try {
            FileTime changed = Files.getLastModifiedTime(settings.feed());
            if (!changed.equals(feedOf)) {
                feedOf = changed;
                List<Resource> all = Feed.read(settings.feed());
                loop.execute(() -> putAll(all));
            }
        } catch (IOException e) {
            loop.execute(() -> events.told("feed_not_taken", "", e.toString()));
        }
    }

    /** All that is to be in force: what is not among it goes. */
    private void putAll(List<Resource> all) {
        Set<String> named = new HashSet<>();
        all.forEach(each -> named.add(each.service() + '/' + each.name()));
        state.held().since(-1, List.of(), false).stream()
                .filter(each -> !named.contains(each.service() + '/' + each.name()))
                .forEach(each ->
                        state.put(new Resource(each.service(), each.name(), Resource.DELETED, ""), System.nanoTime()));
        put(all);
    }

    private void plan() {
        long due = state.due();
        if (!planned && due < Long.MAX_VALUE) {
            planned = true;
            loop.schedule(this::commit, Math.max(0, due - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    private void commit() {
        planned = false;
        Holdings draft = state.due() < Long.MAX_VALUE ? state.seal() : null;
        if (draft == null) {
            settle();
        } else {
            sealed = asked;
            asked = new ArrayList<>();
            files.execute(() -> {
                IOException problem = null;
                try {
                    file.write(draft);
                } catch (IOException e) {
                    problem = e;
                }
                IOException failed = problem;
                loop.execute(() -> written(draft, failed));
            });
        }
    }

    private void written(Holdings draft, IOException failed) {
        if (failed == null) {
            state.written();
            spread.committed(draft.version(), System.nanoTime());
            sealed.forEach(each -> each.complete(draft.version()));
            server.changed();
        } else {
            events.told("not_written", "", settings.stateFile() + ": " + failed);
            state.failed(System.nanoTime());
            asked.addAll(0, sealed);
        }
        sealed = new ArrayList<>();
        plan();
    }

    private void measure() {
        long before = spread.count();
        Sums sums = server.serving().sums();
        spread.told(sums, System.nanoTime());
        if (spread.count() > before) {
            events.told(
                    "in_force",
                    "",
                    sums.lowest() + " at " + sums.count() + " after " + spread.last() / 1_000_000 + " ms");
        } else if (spread.waiting(System.nanoTime()) > settings.silence()) {
            events.told(
                    "not_in_force",
                    String.join(",", sums.behind()),
                    "lowest " + sums.lowest() + " of " + sums.count() + ", newest "
                            + state.held().version());
        }
    }

    /** What is durable; on the loop. */
    public Version version() {
        return state.held().version();
    }

    /** Of some services, or of all where none are named; on the loop. */
    public long digest(Collection<String> services) {
        return state.held().digest(services);
    }

    /** Who has what; on the loop. */
    public Sums sums() {
        return server.serving().sums();
    }

    /** Updates sent that were the whole; on the loop. */
    public long wholes() {
        return server.serving().wholes();
    }

    /** Updates sent that were a difference; on the loop. */
    public long differences() {
        return server.serving().differences();
    }

    /** The longest that a commit took to be in force everywhere, in nanoseconds; -1 for none. On the loop. */
    public long longestSpread() {
        return spread.longest();
    }

    /** Commits that are in force everywhere; on the loop. */
    public long inForce() {
        return spread.count();
    }

    @Override
    public void close() {
        loop.execute(server::close);
        files.shutdown();
    }
}
