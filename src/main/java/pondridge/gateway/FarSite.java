package pondridge.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.State;
import pondridge.Options;
import pondridge.core.Answer;
import pondridge.core.Directory;
import pondridge.core.Engine;
import pondridge.core.Job;
import pondridge.core.Target;
import pondridge.http2.Http2Upstreams;

/**
 * Another site as it is reached from here: its gateways, ruled by a decision module of their own, and what
 * beats tell of each of them. A beat is a request that asks for nothing; it measures the link, brings the
 * gateway's stamp and its credit, and shows a stall. On the event loop only.
 */
final class FarSite {
    /** Beats in a row that may stay unanswered before a gateway is taken for gone, however long its link. */
    private static final int MOST_MISSED = 3;

    private static final long LONGEST_BEAT = 2_000_000_000;

    /**
     * What is told at each beat of the own site, and who hears how its other gateways see it.
     *
     * @param says in the form of {@link Views#said}
     */
    record Own(String site, Supplier<String> says, Consumer<Views.Counts> others) {}

    private final class Gateway {
        private final String name;
        private final InetSocketAddress address;
        private final LinkTimes times;
        private long id;
        private int credit;
        private int missed = 1;
        private boolean beating;
        private boolean ready;

        Gateway(String name, InetSocketAddress address, long now) {
            this.name = name;
            this.address = address;
            this.times = new LinkTimes(link.stall(), link.stallFactor(), now);
        }

        private boolean usable(long now) {
            return missed == 0 && transport.stamped(id) && !times.stalled(now);
        }

        private int free() {
            return Math.max(0, credit - transport.inFlight(id));
        }

        /** A gateway stands for many servers: the module has several entries for it. */
        private List<Target> targets() {
            State state = ready ? State.READY : State.DRAINING;
            return IntStream.range(0, link.lanes())
                    .mapToObj(lane -> new Target(name + '/' + lane, address, site, "gateway", 0, state, 1, 0))
                    .toList();
        }
    }

    private final Own own;
    private final String site;
    private final EventLoop loop;
    private final GatewaySettings.Link link;
    private final Log log;
    private final LongSupplier clock;
    private final LinkTransport transport;
    private final Supplier<Engine> engines;
    private Engine engine;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Future<?> beats;

    /**
     * A site whose gateways are at these addresses.
     *
     * @param options of its decision module, see {@link #options}
     * @param mostOpen requests that may be across at a time
     */
    FarSite(
            EventLoop loop,
            Own own,
            String site,
            List<InetSocketAddress> addresses,
            GatewaySettings.Link link,
            Options options,
            Http2Upstreams way,
            long seed,
            int mostOpen,
            Log log,
            LongSupplier clock) {
        this.loop = loop;
        this.own = own;
        this.site = site;
        this.link = link;
        this.log = log;
        this.clock = clock;
        this.transport = new LinkTransport(way, clock, this::numbered);
        Random seeds = new Random(seed);
        this.engines = () -> new Engine(loop, options, seeds.nextLong(), mostOpen, transport);
        long now = clock.getAsLong();
        for (InetSocketAddress address : addresses) {
            gateways.add(new Gateway(site + '-' + gateways.size(), address, now));
        }
        begin();
        this.beats = loop.scheduleWithFixedDelay(this::beat, 0, link.beat(), TimeUnit.NANOSECONDS);
    }

    /**
     * Begins with a module that knows nothing. After a time with no gateway at all, what the one before had
     * learned from failures would keep it from sending for seconds; what it still has open ends there.
     */
    private void begin() {
        if (engine != null) {
            engine.retire();
        }
        engine = engines.get();
        engine.start(
                new Directory() {
                    @Override
                    public void watch(boolean on) {}

                    @Override
                    public void fetch() {}
                },
                gateways.stream().flatMap(each -> each.targets().stream()).toList());
    }

    private void numbered(InetSocketAddress address, long id) {
        gateways.stream().filter(each -> each.address.equals(address)).forEach(each -> each.id = id);
    }

    /**
     * The settings of a module that rules gateways: as its site's, but that a repeat may arrive late by
     * {@code freshness}, that gateways are not probed, and that the list comes by itself.
     */
    static Options options(Options platform, long freshness) {
        StringBuilder more = new StringBuilder("discovery=automatic\ncaps.mayProbe=false\nreport.fields=\n");
        int classes = platform.settings().classes().size();
        for (int i = 0; i < classes; i++) {
            long window = platform.settings().classes().get(i).keyTtl();
            more.append("profiles.")
                    .append(i)
                    .append(".keyTtl=")
                    .append(Math.max(0, window - freshness))
                    .append('\n');
        }
        return platform.with(more.toString());
    }

    Engine engine() {
        return engine;
    }

    /** The site as the router sees it: the nearest gateway, if it can be that takes more; what all take. */
    Router.Site view(long now) {
        LinkTimes nearest = null;
        int credit = 0;
        int taken = 0;
        LinkTimes some = null;
        for (Gateway each : gateways) {
            int free = each.usable(now) ? each.free() : 0;
            credit += free;
            taken += transport.inFlight(each.id);
            if (free > 0 && (nearest == null || each.times.estimate() < nearest.estimate())) {
                nearest = each.times;
            }
            some = each.usable(now) ? each.times : some;
        }
        LinkTimes any = some == null ? gateways.get(0).times : some;
        return new Router.Site(nearest == null ? any : nearest, some != null, credit, taken);
    }

    /** How many gateways take requests. */
    long gatewaysUp() {
        return gateways.stream().filter(each -> each.ready).count();
    }

    private void beat() {
        long now = clock.getAsLong();
        for (Gateway each : gateways) {
            tell(each, now);
            if (!each.beating) {
                beat(each, now);
            }
        }
    }

    private void beat(Gateway gateway, long now) {
        gateway.beating = true;
        gateway.times.owed(true, now);
        HttpHeaders headers = new DefaultHttpHeaders()
                .set("Host", site)
                .set(LinkHeaders.VERSION, LinkHeaders.SPOKEN)
                .set(LinkHeaders.SITE, own.site)
                .set(LinkHeaders.VIEW, own.says.get());
        Job job = new Job(0, 0, 0, 0, 0, false, HttpMethod.GET, LinkHeaders.BEAT, headers, new byte[0]);
        long wait = Math.min(LONGEST_BEAT, 8 * Math.max(link.stall(), gateway.times.estimate()));
        transport.beat(gateway.id, job, wait, (outcome, answer, load) -> {
            gateway.beating = false;
            long then = clock.getAsLong();
            gateway.times.owed(false, then);
            if (outcome == Outcome.OK && heard(gateway, answer)) {
                gateway.times.roundTrip(then - now, then);
                gateway.missed = 0;
            } else {
                gateway.missed++;
            }
            tell(gateway, then);
        });
    }

    private boolean heard(Gateway gateway, Answer answer) {
        String stamp = answer.headers().get(LinkHeaders.STAMP);
        Integer credit = answer.headers().getInt(LinkHeaders.CREDIT);
        if (stamp == null
                || credit == null
                || !LinkHeaders.SPOKEN.equals(answer.headers().get(LinkHeaders.VERSION))) {
            // An older version, or something else: without a stamp nothing may cross.
            log.warn("link_version", gateway.name, "beats bring no stamp or credit: nothing crosses there");
            return false;
        }
        transport.stamp(gateway.id, stamp);
        gateway.credit = credit;
        own.others.accept(Views.Counts.read(answer.headers().get(LinkHeaders.OTHERS)));
        return true;
    }

    /** Tells the module whether a gateway takes new requests, when that has changed. */
    private void tell(Gateway gateway, long now) {
        boolean ready = gateway.usable(now);
        boolean lost = gateway.missed >= MOST_MISSED || gateway.times.stalled(now);
        if (ready != gateway.ready && (ready || lost)) {
            boolean first = ready && gatewaysUp() == 0;
            gateway.ready = ready;
            if (ready) {
                log.info("link_up", gateway.name, "round trip " + gateway.times.estimate() / 1_000_000 + " ms");
            } else {
                log.warn("link_down", gateway.name, gateway.missed == 0 ? "stalled" : "no beat comes back");
            }
            if (first) {
                begin();
            } else {
                engine.listed(ListKind.DELTA, gateway.targets());
            }
        }
    }

    void close() {
        beats.cancel(false);
        transport.close();
    }
}
