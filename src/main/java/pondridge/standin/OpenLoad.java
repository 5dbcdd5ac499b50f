package pondridge.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Clients as the platform has them, over HTTP/1.1: arrivals are drawn ahead from a seed and wait for no
 * answer; latency counts from when a request should have been sent. One request at a time on a connection; a
 * request that crosses its connection's close unread is sent once more. All of it runs on one loop.
 */
public final class OpenLoad {
    private static final int LARGEST = 2 << 20;
    /** How much longer than its time a client stays, so that a late answer is seen as one. */
    private static final long PATIENCE = 2_000_000_000;

    private static final long PAUSE_STEP = 5_000_000;
    private static final long PAUSE_LEAST = 20_000_000;
    private static final int FIRST_WAIT = 20_000_000;
    private static final int WAIT_SPREAD = 60_000_000;
    private static final long LEAST_LEFT = 50_000_000;

    /**
     * What is asked for.
     *
     * @param requests how many in all
     * @param perSecond mean rate; the gaps are drawn from an exponential distribution
     * @param shares the part of each class, by its name
     * @param waits how long clients of a class wait for their answer, in nanoseconds
     * @param bodyBytes of requests that have a body
     */
    public record Plan(
            int requests, double perSecond, Map<String, Double> shares, Map<String, Long> waits, int bodyBytes) {}

    private final EventLoop loop;
    private final List<InetSocketAddress> doors;
    private final EffectLedger ledger;
    private final Random random;
    private final String run;
    private final Map<String, Histogram> served = new HashMap<>();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final Map<InetSocketAddress, ArrayDeque<Channel>> idle = new HashMap<>();
    private final Doors known;
    private final int retries;
    private Plan plan;
    private int asked;
    private int ended;
    private int broken;

    /** Load on these front doors, in turn; {@code run} makes ids of several loads differ. */
    public OpenLoad(EventLoop loop, List<InetSocketAddress> doors, EffectLedger ledger, long seed, String run) {
        this(loop, List.copyOf(doors), ledger, seed, run, new Doors(), 0);
    }

    /**
     * The same by clients that ask again: what a killed door took with it, where a repeat is harmless, and
     * what was refused. Each try has an id of its own, {@code ID~1} and so on, and keeps key and path.
     *
     * @param doors may change meanwhile
     * @param known what was done to them
     * @param retries after a refusal, each after some tens of milliseconds at the next door
     */
    public OpenLoad(
            EventLoop loop,
            List<InetSocketAddress> doors,
            EffectLedger ledger,
            long seed,
            String run,
            Doors known,
            int retries) {
        this.known = known;
        this.retries = retries;
        this.loop = loop;
        this.doors = doors;
        this.ledger = ledger;
        this.random = new Random(seed);
        this.run = run;
    }

    /** Begins; the future is done when every request has its answer, or its client has given up. */
    public CompletableFuture<Void> start(Plan load) {
        loop.execute(() -> {
            plan = load;
            if (load.requests == 0) {
                done.complete(null);
            }
            next(System.nanoTime());
        });
        Thread watch = new Thread(this::watchPauses, "pauses");
        watch.setDaemon(true);
        watch.start();
        return done;
    }

    /** Tells the ledger when the machine stands still, as a crowded one does; for as long as load runs. */
    private void watchPauses() {
        while (!done.isDone()) {
            long before = System.nanoTime();
            LockSupport.parkNanos(PAUSE_STEP);
            long late = System.nanoTime() - before - PAUSE_STEP;
            if (late > PAUSE_LEAST) {
                ledger.paused(late);
            }
        }
    }

    /** The latency of what was served, in nanoseconds, by class; to be read after the end. */
    public Map<String, Histogram> served() {
        return served;
    }

    /** How many connections ended with a request unanswered on them. */
    public int broken() {
        return broken;
    }

    private void next(long at) {
        if (asked == plan.requests) {
            return;
        }
        int number = asked++;
        long gap = (long) (-Math.log(1 - random.nextDouble()) / plan.perSecond * 1e9);
        OrderClass kind = draw();
        loop.schedule(
                () -> {
                    ask(number, kind, at + gap);
                    next(at + gap);
                },
                at + gap - System.nanoTime(),
                TimeUnit.NANOSECONDS);
    }

    private OrderClass draw() {
        double left = random.nextDouble();
        OrderClass kind = null;
        for (Map.Entry<String, Double> each : plan.shares.entrySet()) {
            kind = OrderClass.named(each.getKey());
            left -= each.getValue();
            if (left < 0) {
                break;
            }
        }
        return kind;
    }

    private void ask(int number, OrderClass kind, long intended) {
        long wait = plan.waits.get(kind.name());
        new Asking(run + "-" + number, 0, kind, wait, intended, number).begin();
    }

    /** The next of the doors from this one on that is not known to be killed; this one if all are. */
    private int next(int door, boolean first) {
        for (int i = first ? 0 : 1; i < doors.size(); i++) {
            if (!known.isKilled(doors.get((door + i) % doors.size()))) {
                return door + i;
            }
        }
        return door;
    }

    private void ended() {
        if (++ended == plan.requests) {
            done.complete(null);
        }
    }

    /** One try of a request, from its sending to its answer; on a second connection after the first. */
    @ChannelHandler.Sharable
    private final class Asking extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String about;
        private final int tries;
        private final String id;
        private final OrderClass kind;
        private final String key;
        private final long wait;
        private final long intended;
        private final long began = System.nanoTime();
        private int number;
        private InetSocketAddress door;
        private Future<?> timer;
        private Channel channel;
        private boolean again;
        private boolean used;
        private boolean over;

        Asking(String about, int tries, OrderClass kind, long wait, long intended, int number) {
            this.about = about;
            this.tries = tries;
            this.id = tries == 0 ? about : about + '~' + tries;
            this.kind = kind;
            this.key = kind.effect() == OrderClass.Effect.KEYED ? "k-" + about : "";
            this.wait = wait;
            this.intended = intended;
            this.number = number;
        }

        void begin() {
            number = next(number % doors.size(), true);
            door = doors.get(number % doors.size());
            ledger.asked(id, kind, key, wait);
            timer = loop.schedule(this::giveUp, wait + PATIENCE, TimeUnit.NANOSECONDS);
            send(true);
        }

        /** The client asks once more, if its time allows; false if it doesn't. */
        private boolean askAgain(long delay) {
            long left = wait - (System.nanoTime() - began) - delay;
            if (left < LEAST_LEFT) {
                return false;
            }
            Asking next = new Asking(about, tries + 1, kind, left, intended, next(number % doors.size(), false));
            loop.schedule(next::begin, delay, TimeUnit.NANOSECONDS);
            return true;
        }

        void send(boolean mayReuse) {
            ArrayDeque<Channel> ready = idle.computeIfAbsent(door, each -> new ArrayDeque<>());
            Channel reused = mayReuse ? ready.pollLast() : null;
            while (reused != null && !reused.isActive()) {
                reused = ready.pollLast();
            }
            if (reused != null) {
                used = true;
                channel = reused;
                reused.pipeline().addLast(this);
                reused.writeAndFlush(request());
                return;
            }
            used = false;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST));
                        }
                    })
                    .connect(door)
                    .addListener((ChannelFutureListener) made -> {
                        if (made.isSuccess()) {
                            channel = made.channel();
                            made.channel().pipeline().addLast(this);
                            made.channel().writeAndFlush(request());
                        } else if (known.isKilled(door)) {
                            reached(false);
                        } else {
                            lost("connecting: " + made.cause());
                        }
                    });
        }

        private FullHttpRequest request() {
            boolean safe = kind.effect() == OrderClass.Effect.SAFE;
            byte[] body = new byte[safe ? 0 : plan.bodyBytes];
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + about,
                    Unpooled.wrappedBuffer(body));
            request.headers()
                    .set(HttpHeaderNames.HOST, "app.svc")
                    .set("Req-Id", id)
                    .set("Req-Kind", kind.name())
                    .set("Req-Owner", "acme")
                    .set("Req-Deadline-Ms", wait / 1_000_000);
            if (!safe) {
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            if (!key.isEmpty()) {
                request.headers().set("Idempotency-Key", key);
            }
            return request;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            String body = response.content().toString(StandardCharsets.US_ASCII).trim();
            // A keyed request's answer may have been made for an earlier try of the same request.
            boolean own = body.equals(about) || body.startsWith(about + '~');
            ledger.excused(id, known.stoodStill(door, began));
            ledger.answered(id, response.status().code(), own ? id : body);
            if (response.status().code() == 200) {
                served.computeIfAbsent(kind.name(), each -> new Histogram(60_000_000_000L, 3))
                        .recordValue(Math.max(0, System.nanoTime() - intended));
            }
            over = true;
            timer.cancel(false);
            context.pipeline().remove(this);
            if (HttpUtil.isKeepAlive(response)) {
                idle.get(door).addLast(context.channel());
            } else {
                context.close();
            }
            boolean refused =
                    response.status().code() == 429 || response.status().code() == 503;
            if (!refused || tries >= retries || !askAgain(FIRST_WAIT + random.nextInt(WAIT_SPREAD))) {
                ended();
            }
        }

        /** The door was killed: what it never took is asked elsewhere, what it took where that harms none. */
        private void reached(boolean taken) {
            if (over) {
                return;
            }
            over = true;
            timer.cancel(false);
            ledger.orphaned(id);
            boolean harmless = !taken
                    || kind.effect() == OrderClass.Effect.SAFE
                    || kind.effect() == OrderClass.Effect.KEYED && !kind.perZone();
            if (!harmless || !askAgain(FIRST_WAIT)) {
                ended();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (over) {
                return;
            }
            context.pipeline().remove(this);
            if (known.isKilled(door)) {
                reached(true);
            } else if (used && !again) {
                again = true;
                send(false);
            } else {
                lost("its connection ended" + (again ? ", the second one" : ""));
            }
        }

        /** Far later than any answer may come: the client goes, and the ledger has none for it. */
        private void giveUp() {
            if (!over) {
                if (known.stoodStill(door, began) > 0) {
                    ledger.orphaned(id);
                }
                lost("waited in vain");
                if (channel != null) {
                    channel.close();
                }
            }
        }

        private void lost(String why) {
            if (!over) {
                over = true;
                ledger.unanswered(id, why);
                broken++;
                timer.cancel(false);
                ended();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
