package pondridge.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import pondridge.Balancer.ListKind;
import pondridge.control.ControlClient;
import pondridge.control.ControlRelay;
import pondridge.control.ControlSettings;
import pondridge.control.ControlSource;
import pondridge.control.Events;
import pondridge.control.Resource;
import pondridge.control.Targets;
import pondridge.control.Traffic;
import pondridge.core.Target;
import pondridge.standin.FaultyLink;

/**
 * Lists by {@code pondridge.control}: one source, a few relays, and at each follower a client that follows
 * its services. Killed is the first relay, or the source; silent the first relay, whose thread stands still;
 * a cut region has doors of its own to all relays. A put that changes nothing changes a setting.
 */
final class ControlWay implements ListWay {
    private static final InetAddress LOCAL = InetAddress.getLoopbackAddress();
    private static final int PATIENCE_S = 60;
    private static final int POLL_MS = 5;
    private static final int LOOK_MS = 1_000;
    private static final Events LOUD = (event, peer, detail) -> {
        if (List.of("refused", "entry_passed_over", "listener_failed", "not_written", "not_taken")
                .contains(event)) {
            System.err.println("control: " + event + ' ' + peer + ": " + detail);
        }
    };

    /** A relay in its place, which may be killed and started again there. */
    private final class Place {
        private final Role role = new Role("relay", 1);
        private final EventLoop loop = role.next();
        private final String name;
        private final Traffic up = new Traffic();
        private final Traffic down = new Traffic();
        private ControlRelay relay;
        private InetSocketAddress at = new InetSocketAddress(LOCAL, 0);
        private long wholes;
        private long differences;

        Place(String name) {
            this.name = name;
            start();
        }

        void start() {
            relay = new ControlRelay(
                    loop, settings(ControlSettings.Role.RELAY, name, at, List.of(sourceAt)), LOUD, up, down);
            at = relay.start().join();
        }

        void kill() {
            loop.submit(() -> {
                        wholes += relay.wholes();
                        differences += relay.differences();
                    })
                    .syncUninterruptibly();
            relay.close();
            relay = null;
        }

        Counts counts() {
            return loop.submit(() -> counts(
                            down,
                            wholes + (relay == null ? 0 : relay.wholes()),
                            differences + (relay == null ? 0 : relay.differences()),
                            relay == null ? 0 : (int) relay.sums().count()))
                    .syncUninterruptibly()
                    .getNow();
        }

        private Counts counts(Traffic traffic, long whole, long difference, int watches) {
            return new Counts(
                    0, whole, difference, traffic.messagesOut() - whole - difference, traffic.bytesOut(), watches);
        }
    }

    private final ScalePlan plan;
    private final Role role = new Role("source", 1);
    private final EventLoop loop = role.next();
    private final Role doors = new Role("doors", 1);
    private final Path folder;
    private final Traffic fromSource = new Traffic();
    private final List<Place> places = new ArrayList<>();
    private final List<FaultyLink> links = new ArrayList<>();
    /** By the number of a commit, the last of our versions that is in it. */
    private final ConcurrentSkipListMap<Long, Long> commits = new ConcurrentSkipListMap<>();

    private final Map<String, Resource> last = new HashMap<>();
    private ControlSource source;
    private InetSocketAddress sourceAt = new InetSocketAddress(LOCAL, 0);
    private long version = FIRST - 1;
    private long wholes;
    private long differences;
    private CountDownLatch still;
    /** What was put while the source was away. */
    private final List<Runnable> waiting = new ArrayList<>();

    /** Begins with these lines, which all relays have. */
    ControlWay(ScalePlan plan, List<Target> first) {
        this.plan = plan;
        try {
            folder = Files.createTempDirectory("bankflow-scale");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startSource();
        put(first);
        await(() -> commits.containsValue(FIRST));
        for (int i = 0; i < plan.relays(); i++) {
            Place place = new Place("relay-" + i);
            places.add(place);
            await(() -> place.loop
                    .submit(() -> known(place.relay.client().version().number()) == FIRST)
                    .syncUninterruptibly()
                    .getNow());
            links.add(new FaultyLink(doors.next(), new InetSocketAddress(LOCAL, 0), place.at, plan.seed()));
        }
    }

    /** What is asked, again and again. */
    private interface Question {
        boolean so();
    }

    private static void await(Question question) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!question.so()) {
            if (System.nanoTime() - until > 0) {
                throw new IllegalStateException("source or relays don't begin");
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", e);
            }
        }
    }

    private void startSource() {
        try {
            source = new ControlSource(
                    loop, settings(ControlSettings.Role.SOURCE, "source", sourceAt, List.of()), LOUD, fromSource);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        sourceAt = source.start().join();
    }

    private ControlSettings settings(
            ControlSettings.Role as, String name, InetSocketAddress listen, List<InetSocketAddress> above) {
        ControlSettings base = plan.control();
        return new ControlSettings(
                as,
                name,
                listen,
                folder.resolve("state"),
                null,
                above,
                List.of(),
                base.serving(),
                base.choice(),
                base.silence(),
                base.stale(),
                base.fold(),
                base.report(),
                base.markers(),
                base.entries(),
                base.longestMessage());
    }

    private long known(long number) {
        Map.Entry<Long, Long> entry = commits.floorEntry(number);
        return entry == null ? FIRST - 1 : entry.getValue();
    }

    private String service(Target target) {
        return "s-" + plan.service(Integer.parseInt(target.uid().substring(2)));
    }

    @Override
    public void put(List<Target> changed) {
        long own = ++version;
        List<Resource> resources = new ArrayList<>();
        boolean news = false;
        for (Target each : changed) {
            Resource resource = Targets.resource(service(each), each);
            resources.add(resource);
            news |= !resource.equals(last.put(each.uid(), resource));
        }
        if (!news) {
            resources.add(new Resource(service(changed.get(0)), "@again", "SET", Long.toString(own)));
        }
        Runnable put = () -> source.put(resources).thenAccept(commit -> commits.merge(commit.number(), own, Math::max));
        if (source == null) {
            waiting.add(put);
        } else {
            put.run();
        }
    }

    @Override
    public Link attach(int follower, EventLoop its, boolean region, BiConsumer<ListKind, List<Target>> listener) {
        List<InetSocketAddress> above = region
                ? links.stream().map(FaultyLink::address).toList()
                : places.stream().map(each -> each.at).toList();
        List<String> services = plan.follows() == plan.services()
                ? List.of()
                : IntStream.range(0, plan.services())
                        .filter(i -> plan.follows(follower, i))
                        .mapToObj(i -> "s-" + i)
                        .toList();
        ControlSettings mine = settings(ControlSettings.Role.FOLLOWER, "f-" + follower, null, above)
                .as("f-" + follower, services);
        ControlClient client = new ControlClient(
                its, mine, (now, kind, targets, others) -> listener.accept(kind, targets), LOUD, new Traffic());
        return new Link() {
            private Future<?> looks;
            private long told = FIRST - 1;

            @Override
            public void follow() {
                client.start();
                if (!services.isEmpty()) {
                    looks = its.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
                }
            }

            /** What folds into nothing of its services comes with a beat, of which a follower is not told. */
            private void look() {
                if (version() > told) {
                    told = version();
                    listener.accept(ListKind.DELTA, List.of());
                }
            }

            @Override
            public long version() {
                return known(client.version().number());
            }

            /** What changes is told in any case. */
            @Override
            public void watch(boolean on) {}

            /** The list comes by itself. */
            @Override
            public void fetch() {}

            @Override
            public void end() {
                client.close();
                if (looks != null) {
                    looks.cancel(false);
                }
            }
        };
    }

    /** Real sidecars have no place here. */
    @Override
    public InetSocketAddress door() {
        return sourceAt;
    }

    @Override
    public void kill(boolean on) {
        if (on) {
            places.get(0).kill();
        } else {
            places.get(0).start();
        }
    }

    @Override
    public void killSource(boolean on) {
        if (on) {
            loop.submit(() -> {
                        wholes += source.wholes();
                        differences += source.differences();
                    })
                    .syncUninterruptibly();
            source.close();
            source = null;
        } else {
            startSource();
            waiting.forEach(Runnable::run);
            waiting.clear();
        }
    }

    @Override
    public void silence(boolean on) {
        if (on) {
            CountDownLatch latch = new CountDownLatch(1);
            still = latch;
            places.get(0).loop.execute(() -> {
                try {
                    latch.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        } else {
            still.countDown();
        }
    }

    @Override
    public void cut(boolean on) {
        links.forEach(each -> {
            each.refuse(on);
            if (on) {
                each.reset();
            }
        });
    }

    @Override
    public Counts counts() {
        return loop.submit(() -> {
                    long whole = wholes + (source == null ? 0 : source.wholes());
                    long difference = differences + (source == null ? 0 : source.differences());
                    return new Counts(
                            0,
                            whole,
                            difference,
                            fromSource.messagesOut() - whole - difference,
                            fromSource.bytesOut(),
                            plan.relays());
                })
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public Counts relayed() {
        return places.stream().map(Place::counts).reduce(Counts.NONE, Counts::plus);
    }

    @Override
    public int watches() {
        return relayed().watches();
    }

    @Override
    public long cpuNanos() {
        return role.cpuNanos();
    }

    @Override
    public long relayNanos() {
        return places.stream().mapToLong(each -> each.role.cpuNanos()).sum();
    }

    @Override
    public void close() {
        links.forEach(FaultyLink::close);
        doors.close();
        places.forEach(each -> {
            if (each.relay != null) {
                each.relay.close();
            }
            each.role.close();
        });
        if (source != null) {
            source.close();
        }
        role.close();
        try {
            Files.deleteIfExists(folder.resolve("state"));
            Files.deleteIfExists(folder.resolve("state.new"));
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            System.err.println("control: " + folder + " stays: " + e);
        }
    }
}
