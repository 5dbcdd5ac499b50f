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
import pondridge.Balancer.EndpointListKind;
import pondridge.control.ControlClient;
import pondridge.control.ControlRelay;
import pondridge.control.ControlSettings;
import pondridge.control.ControlSource;
import pondridge.control.EventLog;
import pondridge.control.Resource;
import pondridge.control.TargetCodec;
import pondridge.control.Traffic;
import pondridge.core.Target;
import pondridge.standin.FaultyLink;

/**
 * Distribution by {@code pondridge.control}: one source, a few relays, and a client in each follower that follows
 * the follower's services. Kills apply to the first relay or to the source. A silent relay is the first one with
 * its thread blocked. The followers of the region reach all relays through proxies that can refuse connections.
 * A publication that changes no entry changes a setting instead, so that it still becomes a new version.
 */
final class ControlListDistribution implements ListDistribution {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int STARTUP_TIMEOUT_SECONDS = 60;
    private static final int POLL_INTERVAL_MILLIS = 5;
    private static final int VERSION_CHECK_INTERVAL_MILLIS = 1_000;
    private static final EventLog FAILURE_EVENTS = (event, peer, detail) -> {
        if (List.of("refused", "entry_passed_over", "listener_failed", "not_written", "not_taken")
                .contains(event)) {
            System.err.println("control: " + event + ' ' + peer + ": " + detail);
        }
    };

    /** A relay that can be killed and restarted at the same address. */
    private final class RelayNode {
        private final MeasuredLoopGroup loops = new MeasuredLoopGroup("relay", 1);
        private final EventLoop loop = loops.next();
        private final String name;
        private final Traffic upstreamTraffic = new Traffic();
        private final Traffic downstreamTraffic = new Traffic();
        private ControlRelay relay;
        private InetSocketAddress address = new InetSocketAddress(LOOPBACK, 0);
        /** Counts of relay instances that were killed. */
        private long stoppedFullLists;

        private long stoppedDeltas;

        RelayNode(String name) {
            this.name = name;
            start();
        }

        void start() {
            relay = new ControlRelay(
                    loop,
                    settings(ControlSettings.Role.RELAY, name, address, List.of(sourceAddress)),
                    FAILURE_EVENTS,
                    upstreamTraffic,
                    downstreamTraffic);
            address = relay.start().join();
        }

        void kill() {
            loop.submit(() -> {
                        stoppedFullLists += relay.snapshotsSent();
                        stoppedDeltas += relay.deltasSent();
                    })
                    .syncUninterruptibly();
            relay.close();
            relay = null;
        }

        Counts counts() {
            return loop.submit(() -> counts(
                            downstreamTraffic,
                            stoppedFullLists + (relay == null ? 0 : relay.snapshotsSent()),
                            stoppedDeltas + (relay == null ? 0 : relay.deltasSent()),
                            relay == null ? 0 : (int) relay.propagationStatus().followerCount()))
                    .syncUninterruptibly()
                    .getNow();
        }

        private Counts counts(Traffic traffic, long fullLists, long deltas, int subscriptions) {
            return new Counts(
                    0,
                    fullLists,
                    deltas,
                    traffic.messagesOut() - fullLists - deltas,
                    traffic.bytesOut(),
                    subscriptions);
        }
    }

    private final ScalePlan plan;
    private final MeasuredLoopGroup loops = new MeasuredLoopGroup("source", 1);
    private final EventLoop loop = loops.next();
    private final MeasuredLoopGroup proxyLoops = new MeasuredLoopGroup("doors", 1);
    private final Path stateFolder;
    private final Traffic sourceTraffic = new Traffic();
    private final List<RelayNode> relayNodes = new ArrayList<>();
    private final List<FaultyLink> regionProxies = new ArrayList<>();
    /** For each commit number of the source, the latest version of this run that the commit contains. */
    private final ConcurrentSkipListMap<Long, Long> commits = new ConcurrentSkipListMap<>();

    private final Map<String, Resource> publishedResources = new HashMap<>();
    private ControlSource source;
    private InetSocketAddress sourceAddress = new InetSocketAddress(LOOPBACK, 0);
    private long version = FIRST - 1;
    /** Counts of source instances that were killed. */
    private long stoppedFullLists;

    private long stoppedDeltas;
    private CountDownLatch silenceLatch;
    /** Publications that were made while the source was down. */
    private final List<Runnable> pendingPublications = new ArrayList<>();

    /** Starts a source with these entries and waits until all relays have them. */
    ControlListDistribution(ScalePlan plan, List<Target> initialEntries) {
        this.plan = plan;
        try {
            stateFolder = Files.createTempDirectory("bankflow-scale");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startSource();
        publish(initialEntries);
        awaitStartup(() -> commits.containsValue(FIRST));
        for (int i = 0; i < plan.relays(); i++) {
            RelayNode node = new RelayNode("relay-" + i);
            relayNodes.add(node);
            awaitStartup(() -> node.loop
                    .submit(() -> versionInCommit(node.relay.client().version().number()) == FIRST)
                    .syncUninterruptibly()
                    .getNow());
            regionProxies.add(
                    new FaultyLink(proxyLoops.next(), new InetSocketAddress(LOOPBACK, 0), node.address, plan.seed()));
        }
    }

    /** Condition that is polled until it is met. */
    private interface Condition {
        boolean isMet();
    }

    private static void awaitStartup(Condition condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(STARTUP_TIMEOUT_SECONDS);
        while (!condition.isMet()) {
            if (System.nanoTime() - deadline > 0) {
                throw new IllegalStateException(
                        "source or relays did not start within " + STARTUP_TIMEOUT_SECONDS + " s");
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", e);
            }
        }
    }

    private void startSource() {
        try {
            source = new ControlSource(
                    loop,
                    settings(ControlSettings.Role.SOURCE, "source", sourceAddress, List.of()),
                    FAILURE_EVENTS,
                    sourceTraffic);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        sourceAddress = source.start().join();
    }

    private ControlSettings settings(
            ControlSettings.Role role, String name, InetSocketAddress listen, List<InetSocketAddress> upstreams) {
        ControlSettings base = plan.control();
        return new ControlSettings(
                role,
                name,
                listen,
                stateFolder.resolve("state"),
                null,
                upstreams,
                List.of(),
                base.watcherLimits(),
                base.relaySelectorLimits(),
                base.silenceTimeoutNanos(),
                base.staleAfterNanos(),
                base.commitDelayNanos(),
                base.statusIntervalNanos(),
                base.maxTombstones(),
                base.maxEntries(),
                base.maxMessageBytes());
    }

    private long versionInCommit(long commitNumber) {
        Map.Entry<Long, Long> entry = commits.floorEntry(commitNumber);
        return entry == null ? FIRST - 1 : entry.getValue();
    }

    private String serviceName(Target target) {
        return "s-" + plan.serviceOf(Integer.parseInt(target.uid().substring(2)));
    }

    @Override
    public void publish(List<Target> changed) {
        long newVersion = ++version;
        List<Resource> resources = new ArrayList<>();
        boolean modified = false;
        for (Target target : changed) {
            Resource resource = TargetCodec.toResource(serviceName(target), target);
            resources.add(resource);
            modified |= !resource.equals(publishedResources.put(target.uid(), resource));
        }
        if (!modified) {
            resources.add(new Resource(serviceName(changed.get(0)), "@again", "SET", Long.toString(newVersion)));
        }
        Runnable publication =
                () -> source.put(resources).thenAccept(commit -> commits.merge(commit.number(), newVersion, Math::max));
        if (source == null) {
            pendingPublications.add(publication);
        } else {
            publication.run();
        }
    }

    @Override
    public Subscription subscribe(
            int follower,
            EventLoop followerLoop,
            boolean inRegion,
            BiConsumer<EndpointListKind, List<Target>> listener) {
        List<InetSocketAddress> upstreams = inRegion
                ? regionProxies.stream().map(FaultyLink::address).toList()
                : relayNodes.stream().map(node -> node.address).toList();
        List<String> services = plan.servicesPerFollower() == plan.services()
                ? List.of()
                : IntStream.range(0, plan.services())
                        .filter(i -> plan.followsService(follower, i))
                        .mapToObj(i -> "s-" + i)
                        .toList();
        ControlSettings followerSettings = settings(ControlSettings.Role.FOLLOWER, "f-" + follower, null, upstreams)
                .forFollower("f-" + follower, services);
        ControlClient client = new ControlClient(
                followerLoop,
                followerSettings,
                (version, kind, targets, changedSettings) -> listener.accept(kind, targets),
                FAILURE_EVENTS,
                new Traffic());
        return new Subscription() {
            private Future<?> versionCheck;
            private long reportedVersion = FIRST - 1;

            @Override
            public void start() {
                client.start();
                if (!services.isEmpty()) {
                    versionCheck = followerLoop.scheduleWithFixedDelay(
                            this::reportNewVersion,
                            VERSION_CHECK_INTERVAL_MILLIS,
                            VERSION_CHECK_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
                }
            }

            /**
             * Reports the version after commits that change none of the follower's services. Such commits arrive
             * with a heartbeat, for which the client does not call the listener.
             */
            private void reportNewVersion() {
                if (version() > reportedVersion) {
                    reportedVersion = version();
                    listener.accept(EndpointListKind.DELTA, List.of());
                }
            }

            @Override
            public long version() {
                return versionInCommit(client.version().number());
            }

            /** Changes are delivered in any case. */
            @Override
            public void watch(boolean on) {}

            /** The list is sent without a request. */
            @Override
            public void fetch() {}

            @Override
            public void cancel() {
                client.close();
                if (versionCheck != null) {
                    versionCheck.cancel(false);
                }
            }
        };
    }

    /** Not used: real sidecars don't follow this kind of source. */
    @Override
    public InetSocketAddress sourceAddress() {
        return sourceAddress;
    }

    @Override
    public void setKilled(boolean killed) {
        if (killed) {
            relayNodes.get(0).kill();
        } else {
            relayNodes.get(0).start();
        }
    }

    @Override
    public void setSourceKilled(boolean killed) {
        if (killed) {
            loop.submit(() -> {
                        stoppedFullLists += source.snapshotsSent();
                        stoppedDeltas += source.deltasSent();
                    })
                    .syncUninterruptibly();
            source.close();
            source = null;
        } else {
            startSource();
            pendingPublications.forEach(Runnable::run);
            pendingPublications.clear();
        }
    }

    @Override
    public void setSilent(boolean silent) {
        if (silent) {
            CountDownLatch latch = new CountDownLatch(1);
            silenceLatch = latch;
            relayNodes.get(0).loop.execute(() -> {
                try {
                    latch.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        } else {
            silenceLatch.countDown();
        }
    }

    @Override
    public void setRegionCut(boolean cut) {
        regionProxies.forEach(proxy -> {
            proxy.setResetNewConnections(cut);
            if (cut) {
                proxy.reset();
            }
        });
    }

    @Override
    public Counts sourceCounts() {
        return loop.submit(() -> {
                    long fullLists = stoppedFullLists + (source == null ? 0 : source.snapshotsSent());
                    long deltas = stoppedDeltas + (source == null ? 0 : source.deltasSent());
                    return new Counts(
                            0,
                            fullLists,
                            deltas,
                            sourceTraffic.messagesOut() - fullLists - deltas,
                            sourceTraffic.bytesOut(),
                            plan.relays());
                })
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public Counts relayCounts() {
        return relayNodes.stream().map(RelayNode::counts).reduce(Counts.NONE, Counts::plus);
    }

    @Override
    public int subscriptions() {
        return relayCounts().subscriptions();
    }

    @Override
    public long sourceCpuNanos() {
        return loops.cpuNanos();
    }

    @Override
    public long relayCpuNanos() {
        return relayNodes.stream().mapToLong(node -> node.loops.cpuNanos()).sum();
    }

    @Override
    public void close() {
        regionProxies.forEach(FaultyLink::close);
        proxyLoops.close();
        relayNodes.forEach(node -> {
            if (node.relay != null) {
                node.relay.close();
            }
            node.loops.close();
        });
        if (source != null) {
            source.close();
        }
        loops.close();
        try {
            Files.deleteIfExists(stateFolder.resolve("state"));
            Files.deleteIfExists(stateFolder.resolve("state.new"));
            Files.deleteIfExists(stateFolder);
        } catch (IOException e) {
            System.err.println("control: could not delete " + stateFolder + ": " + e);
        }
    }
}
