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
 * An open-loop load generator over HTTP/1.1 that behaves as the platform's clients do. Arrival times come from
 * a seeded random source and do not depend on responses; latency counts from the intended send time. Each
 * connection carries one request at a time. A request that is sent while its reused connection is being closed
 * is sent once more on a new one. Everything runs on one event loop.
 */
public final class OpenLoopLoadGenerator {
    private static final int MAX_RESPONSE_BYTES = 2 << 20;
    /** How long a client waits beyond its timeout, so that a late response is recorded as late. */
    private static final long LATE_RESPONSE_WAIT_NANOS = 2_000_000_000;

    private static final long PAUSE_PROBE_NANOS = 5_000_000;
    private static final long MIN_PAUSE_NANOS = 20_000_000;
    private static final int RETRY_DELAY_NANOS = 20_000_000;
    private static final int RETRY_JITTER_NANOS = 60_000_000;
    private static final long MIN_RETRY_TIMEOUT_NANOS = 50_000_000;

    /**
     * The load to generate.
     *
     * @param requests the total number of requests
     * @param requestsPerSecond mean rate; the gaps are drawn from an exponential distribution
     * @param classFractions the fraction of requests of each class, by class name
     * @param timeoutNanosByClass the client timeout of each class, by class name, in nanoseconds
     * @param bodyBytes body size of requests that have a body
     */
    public record Plan(
            int requests,
            double requestsPerSecond,
            Map<String, Double> classFractions,
            Map<String, Long> timeoutNanosByClass,
            int bodyBytes) {}

    private final EventLoop loop;
    private final List<InetSocketAddress> endpoints;
    private final ExecutionLedger ledger;
    private final Random random;
    private final String idPrefix;
    private final Map<String, Histogram> latencies = new HashMap<>();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final Map<InetSocketAddress, ArrayDeque<Channel>> idle = new HashMap<>();
    private final EndpointFaults endpointFaults;
    private final int maxRetries;
    private Plan plan;
    private int startedRequests;
    private int endedRequests;
    private int lostRequests;

    /** Sends to these endpoints in turn, without retries; {@code idPrefix} keeps the ids of several loads apart. */
    public OpenLoopLoadGenerator(
            EventLoop loop, List<InetSocketAddress> endpoints, ExecutionLedger ledger, long seed, String idPrefix) {
        this(loop, List.copyOf(endpoints), ledger, seed, idPrefix, new EndpointFaults(), 0);
    }

    /**
     * The same with clients that retry: requests that were refused, and requests lost with a killed endpoint
     * where a repeat is harmless. Each attempt has an id of its own, {@code ID~1} and so on, and keeps key and
     * path.
     *
     * @param endpoints may change during the load
     * @param endpointFaults the faults injected into the endpoints
     * @param maxRetries after a refusal, each after some tens of milliseconds at the next endpoint
     */
    public OpenLoopLoadGenerator(
            EventLoop loop,
            List<InetSocketAddress> endpoints,
            ExecutionLedger ledger,
            long seed,
            String idPrefix,
            EndpointFaults endpointFaults,
            int maxRetries) {
        this.endpointFaults = endpointFaults;
        this.maxRetries = maxRetries;
        this.loop = loop;
        this.endpoints = endpoints;
        this.ledger = ledger;
        this.random = new Random(seed);
        this.idPrefix = idPrefix;
    }

    /** Starts the load; the future completes when every request has a response or its client gave up. */
    public CompletableFuture<Void> start(Plan newPlan) {
        loop.execute(() -> {
            plan = newPlan;
            if (newPlan.requests == 0) {
                done.complete(null);
            }
            scheduleNext(System.nanoTime());
        });
        Thread pauseDetector = new Thread(this::detectPauses, "pauses");
        pauseDetector.setDaemon(true);
        pauseDetector.start();
        return done;
    }

    /** Reports scheduling pauses of an overloaded machine to the ledger for as long as the load runs. */
    private void detectPauses() {
        while (!done.isDone()) {
            long before = System.nanoTime();
            LockSupport.parkNanos(PAUSE_PROBE_NANOS);
            long pause = System.nanoTime() - before - PAUSE_PROBE_NANOS;
            if (pause > MIN_PAUSE_NANOS) {
                ledger.machinePaused(pause);
            }
        }
    }

    /** The latencies of served requests by class name, in nanoseconds. Read it after the load has ended. */
    public Map<String, Histogram> latencies() {
        return latencies;
    }

    /** How many requests got no response because their connection failed or the client gave up. */
    public int lostRequests() {
        return lostRequests;
    }

    private void scheduleNext(long previousAt) {
        if (startedRequests == plan.requests) {
            return;
        }
        int number = startedRequests++;
        long gap = (long) (-Math.log(1 - random.nextDouble()) / plan.requestsPerSecond * 1e9);
        StandinRequestClass requestClass = drawClass();
        loop.schedule(
                () -> {
                    send(number, requestClass, previousAt + gap);
                    scheduleNext(previousAt + gap);
                },
                previousAt + gap - System.nanoTime(),
                TimeUnit.NANOSECONDS);
    }

    private StandinRequestClass drawClass() {
        double remaining = random.nextDouble();
        StandinRequestClass requestClass = null;
        for (Map.Entry<String, Double> each : plan.classFractions.entrySet()) {
            requestClass = StandinRequestClass.named(each.getKey());
            remaining -= each.getValue();
            if (remaining < 0) {
                break;
            }
        }
        return requestClass;
    }

    private void send(int number, StandinRequestClass requestClass, long intendedSendNanos) {
        long timeoutNanos = plan.timeoutNanosByClass.get(requestClass.name());
        new Attempt(idPrefix + "-" + number, 0, requestClass, timeoutNanos, intendedSendNanos, number).start();
    }

    /**
     * The index of the next endpoint that was not killed; {@code index} itself if all were.
     *
     * @param first whether the search begins with {@code index} itself
     */
    private int nextEndpoint(int index, boolean first) {
        for (int i = first ? 0 : 1; i < endpoints.size(); i++) {
            if (!endpointFaults.isKilled(endpoints.get((index + i) % endpoints.size()))) {
                return index + i;
            }
        }
        return index;
    }

    private void requestEnded() {
        if (++endedRequests == plan.requests) {
            done.complete(null);
        }
    }

    /** One attempt of a request, from sending to its response; it may move to a second connection. */
    @ChannelHandler.Sharable
    private final class Attempt extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String requestId;
        private final int retryNumber;
        private final String id;
        private final StandinRequestClass requestClass;
        private final String key;
        private final long timeoutNanos;
        private final long intendedSendNanos;
        private final long startedAtNanos = System.nanoTime();
        private int endpointIndex;
        private InetSocketAddress endpoint;
        private Future<?> giveUpTimer;
        private Channel channel;
        private boolean resent;
        private boolean connectionReused;
        private boolean ended;

        Attempt(
                String requestId,
                int retryNumber,
                StandinRequestClass requestClass,
                long timeoutNanos,
                long intendedSendNanos,
                int endpointIndex) {
            this.requestId = requestId;
            this.retryNumber = retryNumber;
            this.id = retryNumber == 0 ? requestId : requestId + '~' + retryNumber;
            this.requestClass = requestClass;
            this.key = requestClass.effect() == StandinRequestClass.Effect.KEYED ? "k-" + requestId : "";
            this.timeoutNanos = timeoutNanos;
            this.intendedSendNanos = intendedSendNanos;
            this.endpointIndex = endpointIndex;
        }

        void start() {
            endpointIndex = nextEndpoint(endpointIndex % endpoints.size(), true);
            endpoint = endpoints.get(endpointIndex % endpoints.size());
            ledger.requestSent(id, requestClass, key, timeoutNanos);
            giveUpTimer = loop.schedule(this::giveUp, timeoutNanos + LATE_RESPONSE_WAIT_NANOS, TimeUnit.NANOSECONDS);
            send(true);
        }

        /** Schedules a retry if the client's timeout leaves time for it; false if not. */
        private boolean retry(long delayNanos) {
            long remainingNanos = timeoutNanos - (System.nanoTime() - startedAtNanos) - delayNanos;
            if (remainingNanos < MIN_RETRY_TIMEOUT_NANOS) {
                return false;
            }
            Attempt next = new Attempt(
                    requestId,
                    retryNumber + 1,
                    requestClass,
                    remainingNanos,
                    intendedSendNanos,
                    nextEndpoint(endpointIndex % endpoints.size(), false));
            loop.schedule(next::start, delayNanos, TimeUnit.NANOSECONDS);
            return true;
        }

        void send(boolean mayReuse) {
            ArrayDeque<Channel> idleChannels = idle.computeIfAbsent(endpoint, each -> new ArrayDeque<>());
            Channel reused = mayReuse ? idleChannels.pollLast() : null;
            while (reused != null && !reused.isActive()) {
                reused = idleChannels.pollLast();
            }
            if (reused != null) {
                connectionReused = true;
                channel = reused;
                reused.pipeline().addLast(this);
                reused.writeAndFlush(request());
                return;
            }
            connectionReused = false;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel created) {
                            created.pipeline()
                                    .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES));
                        }
                    })
                    .connect(endpoint)
                    .addListener((ChannelFutureListener) connected -> {
                        if (connected.isSuccess()) {
                            channel = connected.channel();
                            connected.channel().pipeline().addLast(this);
                            connected.channel().writeAndFlush(request());
                        } else if (endpointFaults.isKilled(endpoint)) {
                            endpointKilled(false);
                        } else {
                            failed("connecting: " + connected.cause());
                        }
                    });
        }

        private FullHttpRequest request() {
            boolean safe = requestClass.effect() == StandinRequestClass.Effect.SAFE;
            byte[] body = new byte[safe ? 0 : plan.bodyBytes];
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + requestId,
                    Unpooled.wrappedBuffer(body));
            request.headers()
                    .set(HttpHeaderNames.HOST, "app.svc")
                    .set("Req-Id", id)
                    .set("Req-Kind", requestClass.name())
                    .set("Req-Owner", "acme")
                    .set("Req-Deadline-Ms", timeoutNanos / 1_000_000);
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
            // A keyed request may get the response to an earlier attempt of the same request.
            boolean sameRequest = body.equals(requestId) || body.startsWith(requestId + '~');
            ledger.requestPaused(id, endpointFaults.pausedNanos(endpoint, startedAtNanos));
            ledger.responseReceived(id, response.status().code(), sameRequest ? id : body);
            if (response.status().code() == 200) {
                latencies
                        .computeIfAbsent(requestClass.name(), each -> new Histogram(60_000_000_000L, 3))
                        .recordValue(Math.max(0, System.nanoTime() - intendedSendNanos));
            }
            ended = true;
            giveUpTimer.cancel(false);
            context.pipeline().remove(this);
            if (HttpUtil.isKeepAlive(response)) {
                idle.get(endpoint).addLast(context.channel());
            } else {
                context.close();
            }
            boolean refused =
                    response.status().code() == 429 || response.status().code() == 503;
            if (!refused
                    || retryNumber >= maxRetries
                    || !retry(RETRY_DELAY_NANOS + random.nextInt(RETRY_JITTER_NANOS))) {
                requestEnded();
            }
        }

        /** The endpoint was killed: retries elsewhere if it never received the request, or if a repeat is harmless. */
        private void endpointKilled(boolean received) {
            if (ended) {
                return;
            }
            ended = true;
            giveUpTimer.cancel(false);
            ledger.requestOrphaned(id);
            boolean harmless = !received
                    || requestClass.effect() == StandinRequestClass.Effect.SAFE
                    || requestClass.effect() == StandinRequestClass.Effect.KEYED && !requestClass.keyPerZone();
            if (!harmless || !retry(RETRY_DELAY_NANOS)) {
                requestEnded();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (ended) {
                return;
            }
            context.pipeline().remove(this);
            if (endpointFaults.isKilled(endpoint)) {
                endpointKilled(true);
            } else if (connectionReused && !resent) {
                resent = true;
                send(false);
            } else {
                failed("its connection ended" + (resent ? ", the second one" : ""));
            }
        }

        /** Long after the timeout: the client gives up, and the ledger records that there was no response. */
        private void giveUp() {
            if (!ended) {
                if (endpointFaults.pausedNanos(endpoint, startedAtNanos) > 0) {
                    ledger.requestOrphaned(id);
                }
                failed("waited in vain");
                if (channel != null) {
                    channel.close();
                }
            }
        }

        private void failed(String reason) {
            if (!ended) {
                ended = true;
                ledger.responseMissing(id, reason);
                lostRequests++;
                giveUpTimer.cancel(false);
                requestEnded();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
