package pondridge.http2;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pondridge.Balancer.Outcome;

/**
 * One upstream's connections and the attempts that wait for a stream on them, in the order they came. The
 * oldest connection with a free stream takes an attempt, and another is opened only when none has one.
 */
final class ServerPool {
    private static final int MOST_DOUBLINGS = 4;
    private final Http2Upstreams all;
    private final Http2Options options;
    private final List<Connection> connections = new ArrayList<>();
    private final Set<Sending> waiting = new LinkedHashSet<>();
    private final List<Consumer<Learned>> learners = new ArrayList<>();
    private InetSocketAddress address;
    private long startedMs;
    private boolean ready;
    private Connection opening;
    private int misses;
    private long notBefore;
    private boolean serving;

    ServerPool(Http2Upstreams all, Http2Options options) {
        this.all = all;
        this.options = options;
        this.notBefore = System.nanoTime();
    }

    /** What the list says of the upstream. */
    void listed(InetSocketAddress at, long started, boolean isReady) {
        if (!at.equals(address) || started > startedMs) {
            // Another process: the connections to the one before are of no further use.
            List.copyOf(connections).forEach(Connection::retire);
            address = at;
            startedMs = started;
            misses = 0;
            notBefore = System.nanoTime();
        }
        if (isReady) {
            ready = true;
        } else {
            shut();
        }
    }

    /** Nothing that has not wholly left goes there any more. */
    void shut() {
        ready = false;
        for (Sending attempt : List.copyOf(waiting)) {
            leave(attempt, Outcome.CONNECT_FAILED);
        }
        learned(Learned.NOBODY);
        List.copyOf(connections).forEach(Connection::drain);
        if (opening != null) {
            opening.close();
        }
    }

    void closeIdle() {
        List.copyOf(connections).stream().filter(Connection::idle).forEach(Connection::close);
    }

    /** Finds out whether HTTP/2 is spoken there, with nothing sent but the preface. */
    void learn(Consumer<Learned> learner) {
        if (connections.stream().anyMatch(each -> each.up() && each.usable())) {
            learner.accept(Learned.HTTP2);
        } else if (!ready) {
            learner.accept(Learned.NOBODY);
        } else {
            learners.add(learner);
            if (opening == null && !open()) {
                learned(Learned.NOBODY);
            }
        }
    }

    private void learned(Learned speaks) {
        List<Consumer<Learned>> told = List.copyOf(learners);
        learners.clear();
        told.forEach(each -> each.accept(speaks));
    }

    /** Takes an attempt. */
    void offer(Sending attempt) {
        long now = System.nanoTime();
        if (!ready) {
            ended(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        Connection free = waiting.isEmpty() ? free() : null;
        if (free != null) {
            free.write(attempt, now);
        } else if (waiting.size() >= options.waiting()) {
            ended(attempt, Outcome.REJECTED);
        } else if (!grow(now) && connections.stream().noneMatch(Connection::usable)) {
            // None may be opened just now, and none is there that could come free.
            ended(attempt, misses > 0 ? Outcome.CONNECT_FAILED : Outcome.NEVER_SENT);
        } else if (!attempt.over()) {
            waiting.add(attempt);
            attempt.waits(all.loop().schedule(() -> starved(attempt), options.streamWait(),
                    TimeUnit.NANOSECONDS));
        }
    }

    private Connection free() {
        for (Connection each : connections) {
            if (each.mayOpen()) {
                return each;
            }
        }
        return null;
    }

    /** No stream came free for it in time: it goes elsewhere. While a connection comes up it may wait on. */
    private void starved(Sending attempt) {
        if (connections.stream().noneMatch(Connection::up) && opening != null) {
            attempt.waits(all.loop().schedule(() -> starved(attempt), options.streamWait(),
                    TimeUnit.NANOSECONDS));
        } else {
            leave(attempt, Outcome.REJECTED);
        }
    }

    /** An attempt waits no more; it was never sent. */
    void leave(Sending attempt, Outcome outcome) {
        waiting.remove(attempt);
        ended(attempt, outcome);
    }

    /** Serves those that wait once what is being read now has been: streams come free at its end. */
    void serveSoon() {
        if (!serving && !waiting.isEmpty()) {
            serving = true;
            all.loop().execute(() -> {
                serving = false;
                serve();
            });
        }
    }

    /** Gives free streams to those that wait, the first first, and sees to more connections. */
    private void serve() {
        long now = System.nanoTime();
        for (Connection free = free(); ready && free != null && !waiting.isEmpty(); free = free()) {
            Sending next = waiting.iterator().next();
            waiting.remove(next);
            free.write(next, now);
        }
        if (ready && !waiting.isEmpty() && !grow(now)
                && connections.stream().noneMatch(Connection::usable)) {
            for (Sending attempt : List.copyOf(waiting)) {
                leave(attempt, Outcome.CONNECT_FAILED);
            }
        }
    }

    /** Whether one more connection is on its way, or now is. One comes up at a time. */
    private boolean grow(long now) {
        if (opening != null) {
            return true;
        }
        long usable = connections.stream().filter(Connection::usable).count();
        boolean room = usable < options.connectionsPerServer()
                && connections.size() < 2 * options.connectionsPerServer();
        return room && now - notBefore >= 0 && open();
    }

    private boolean open() {
        if (!all.room()) {
            return false;
        }
        Connection made = all.connection(this);
        opening = made;
        connections.add(made);
        new Bootstrap().group(all.loop()).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, all.connectTimeoutMs())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel socket) {
                        made.made(socket);
                        all.opened(socket);
                        socket.pipeline().addLast(made.handler());
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (done.isSuccess()) {
                        Future<?> timer = all.loop().schedule(() -> unheard(made), options.settingsWait(),
                                TimeUnit.NANOSECONDS);
                        made.closed().addListener(closed -> timer.cancel(false));
                    } else {
                        all.loop().execute(() -> lost(made, false));
                    }
                });
        return true;
    }

    /** No SETTINGS came in time: HTTP/2 is not spoken there, or nobody is there. */
    private void unheard(Connection made) {
        if (!made.up()) {
            made.close();
        }
    }

    /** Its SETTINGS have come. */
    void up(Connection made) {
        if (opening == made) {
            opening = null;
        }
        if (!ready) {
            made.drain();
        }
        learned(Learned.HTTP2);
    }

    /** It opens no more streams; if it never brought an answer, the next one has to wait a while. */
    void leaving(Connection gone) {
        missed(gone);
    }

    /** It is no more; {@code inUse} until now: neither a GOAWAY nor a drain had come before. */
    void lost(Connection gone, boolean inUse) {
        connections.remove(gone);
        if (opening == gone) {
            opening = null;
            missed(gone);
            learned(gone.reached() ? Learned.OTHER : Learned.NOBODY);
            if (connections.stream().noneMatch(Connection::usable)) {
                for (Sending attempt : List.copyOf(waiting)) {
                    leave(attempt, Outcome.CONNECT_FAILED);
                }
            }
        } else if (inUse) {
            missed(gone);
        }
    }

    private void missed(Connection gone) {
        if (gone.useful()) {
            misses = 0;
        } else {
            notBefore = System.nanoTime() + (options.redial() << Math.min(misses, MOST_DOUBLINGS));
            misses++;
        }
    }

    /** The upstream has broken the protocol on a connection, or on this side something failed. */
    void broken(Connection gone, Throwable cause) {
        if (gone.up()) {
            System.err.println("http2 " + address + ": " + cause);
        }
    }

    /** The upstream wants HTTP/1.1 for something. */
    void wantsHttp1() {
        all.wantsHttp1(this);
    }

    boolean hold(int bytes) {
        return all.hold(bytes);
    }

    /** An attempt has ended. */
    void ended(Sending attempt, Outcome outcome) {
        if (!attempt.over()) {
            all.release(attempt.bodyBytes());
            attempt.end(outcome, all.reports());
        }
    }

    /** Regular work. */
    void look(long now, long keepIdle) {
        for (Connection each : List.copyOf(connections)) {
            if (each.up()) {
                each.look(now);
                if (each.idle() && now - each.idleSince() > keepIdle) {
                    each.close();
                }
            }
        }
    }

    /** The idle connection that has been so for longest; null if none is. */
    Connection longestIdle() {
        Connection longest = null;
        for (Connection each : connections) {
            if (each.up() && each.idle()
                    && (longest == null || each.idleSince() - longest.idleSince() < 0)) {
                longest = each;
            }
        }
        return longest;
    }

    /** Whether nothing is left of a pool whose upstream is gone. */
    boolean empty() {
        return connections.isEmpty();
    }
}
