package pondridge.http2;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pondridge.Balancer.Outcome;
import pondridge.pool.Pool;
import pondridge.pool.Turned;

/** One upstream's connections: the sockets and timers of what its {@link Pool} decides. */
final class ServerPool implements Pool.Actions<Connection, Sending> {
    private final Http2Upstreams all;
    private final Http2Options options;
    private final Pool<Connection, Sending> pool;
    private final List<Consumer<Learned>> learners = new ArrayList<>();
    private InetSocketAddress address;
    private long startedMs;
    private boolean ready;
    private Future<?> timer;
    private long timerAt;

    ServerPool(Http2Upstreams all, Http2Options options) {
        this.all = all;
        this.options = options;
        this.pool = new Pool<>(options.pool(), all.room(), this, System.nanoTime());
    }

    /** What the list says of the upstream. */
    void listed(InetSocketAddress at, long started, boolean isReady) {
        if (!at.equals(address) || started > startedMs) {
            address = at;
            startedMs = started;
            pool.renewed(System.nanoTime());
        }
        if (isReady) {
            ready = true;
            pool.open();
        } else {
            shut();
        }
        arm();
    }

    /** Nothing that has not wholly left goes there any more. */
    void shut() {
        ready = false;
        pool.shut();
        learned(Learned.NOBODY);
    }

    /** Whether nothing is left of a pool that was shut for good. */
    boolean dissolve() {
        return pool.dissolve();
    }

    void closeIdle() {
        pool.closeIdle(-1, System.nanoTime());
    }

    /** Finds out whether HTTP/2 is spoken there, with nothing sent but the preface. */
    void learn(Consumer<Learned> learner) {
        switch (pool.ask(System.nanoTime())) {
            case UP -> learner.accept(Learned.HTTP2);
            case COMING -> learners.add(learner);
            default -> learner.accept(Learned.NOBODY);
        }
    }

    private void learned(Learned speaks) {
        List<Consumer<Learned>> told = List.copyOf(learners);
        learners.clear();
        told.forEach(each -> each.accept(speaks));
    }

    /** Takes an attempt. */
    void offer(Sending attempt) {
        pool.offer(attempt, System.nanoTime());
        arm();
    }

    /** An attempt gives up waiting; it was never sent. */
    void leave(Sending attempt, Outcome outcome) {
        pool.withdraw(attempt);
        ended(attempt, outcome);
    }

    /** Rings when the pool wants to look at the clock; one timer at a time, perhaps too early. */
    private void arm() {
        long due = pool.due();
        if (due == Pool.NEVER || timer != null && timerAt - due <= 0) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAt = due;
        timer = all.loop()
                .schedule(
                        () -> {
                            timer = null;
                            pool.tick(System.nanoTime());
                            arm();
                        },
                        Math.max(0, due - System.nanoTime()),
                        TimeUnit.NANOSECONDS);
    }

    /** Streams may have come free on a connection. */
    void freed() {
        pool.freed(System.nanoTime());
    }

    @Override
    public void turn() {
        all.loop().execute(() -> {
            pool.turn(System.nanoTime());
            arm();
        });
    }

    @Override
    public void place(Connection connection, Sending attempt) {
        if (attempt.wanted()) {
            connection.write(attempt, System.nanoTime());
        } else {
            ended(attempt, Outcome.NEVER_SENT);
        }
    }

    @Override
    public void end(Sending attempt, Turned why) {
        ended(
                attempt,
                switch (why) {
                    case SHUT, UNREACHABLE -> Outcome.CONNECT_FAILED;
                    case FULL, STARVED -> Outcome.REJECTED;
                    case NO_ROOM -> Outcome.NEVER_SENT;
                });
    }

    @Override
    public void close(Connection connection) {
        connection.close();
    }

    @Override
    public void retire(Connection connection) {
        if (ready) {
            connection.retire();
        } else {
            connection.drain();
        }
    }

    @Override
    public Connection dial() {
        Connection made = all.connection(this);
        all.dialler()
                .dial(address, all.connectTimeoutMs(), new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel socket) {
                        made.made(socket);
                        socket.pipeline().addLast(made.handler());
                    }
                })
                .addListener(done -> {
                    if (done.isSuccess()) {
                        Future<?> unheard = all.loop()
                                .schedule(
                                        () -> {
                                            // No SETTINGS came in time: HTTP/2 is not spoken there, or nobody is there.
                                            if (!made.up()) {
                                                made.close();
                                            }
                                        },
                                        options.settingsWait(),
                                        TimeUnit.NANOSECONDS);
                        made.closed().addListener(closed -> unheard.cancel(false));
                    } else {
                        all.loop().execute(() -> lost(made));
                    }
                });
        return made;
    }

    /** Its SETTINGS have come. */
    void up(Connection made) {
        pool.cameUp(made, System.nanoTime());
        learned(Learned.HTTP2);
    }

    /** It opens no more streams; if it never brought an answer, the next one has to wait a while. */
    void leaving(Connection gone) {
        pool.leaving(gone, gone.useful(), System.nanoTime());
    }

    /** It is no more. */
    void lost(Connection gone) {
        boolean asked = !gone.up();
        pool.lost(gone, gone.useful(), System.nanoTime());
        if (asked && !pool.asked()) {
            learned(gone.reached() ? Learned.OTHER : Learned.NOBODY);
        }
        arm();
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

    Wording wording() {
        return all.wording();
    }

    boolean hold(int bytes) {
        return all.hold(bytes);
    }

    /** An attempt has ended. */
    void ended(Sending attempt, Outcome outcome) {
        if (!attempt.over()) {
            all.release(attempt.bodyBytes());
            attempt.end(outcome, all.reports(), all.wording());
        }
    }

    /** Regular work. */
    void look(long now, long keepIdle) {
        for (Connection each : pool.members()) {
            if (each.up()) {
                each.look(now);
            }
        }
        pool.closeIdle(keepIdle, now);
    }
}
