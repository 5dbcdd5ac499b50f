package pondridge.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.UpstreamState;
import pondridge.core.EndpointDiscovery;
import pondridge.core.HeapReceiveBuffers;
import pondridge.core.Json;
import pondridge.core.RequestLog;
import pondridge.core.SocketMonitor;
import pondridge.core.Target;

/**
 * HTTP client of the discovery service. It watches the endpoint list for changes or fetches the full list once.
 * In subscribe mode the balancer decides when to call. In push mode a local agent holds the lists, and the
 * balancer requests nothing: a list counts as received as soon as the agent has it, even with no watch open, so
 * the watch is opened at startup and reopened whenever it ends.
 */
public final class DiscoveryClient implements EndpointDiscovery {
    /**
     * Limit on silence on an open watch. The service sends an empty line every 2 s, so a longer pause means that
     * the watch has broken. A change missed that way counts as received 6 s after the last message; the rest of
     * that time is left for two further calls.
     */
    private static final long WATCH_IDLE_TIMEOUT_MS = 2_400;
    /** Limit on receiving one object on an open watch. */
    private static final long OBJECT_TIMEOUT_MS = 3_000;
    /** A call may be held for up to 2 s; without a complete first response after this time it is abandoned. */
    private static final long FIRST_RESPONSE_TIMEOUT_MS = 2_500;
    /** Limit on the next object after one was not complete in time: a late list is better than none. */
    private static final long EXTENDED_OBJECT_TIMEOUT_MS = 5_000;
    /** A local agent responds at once, and what it learns while a call hangs counts as received at once. */
    private static final long AGENT_RESPONSE_TIMEOUT_MS = 500;

    private static final long AGENT_RETRY_DELAY_MS = 100;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /**
     * How long a switch to another service waits for an open call. Calls may be held for 2 s, and an open call began
     * before the switch was requested, so one that is still open then gets no response.
     */
    private static final long ADDRESS_SWITCH_TIMEOUT_MS = 2_200;

    private static final int MAX_OBJECT_BYTES = 4 << 20;

    /** Parses an entry; returns null, with a line on standard error, if it is invalid. */
    private static Target parseTarget(JsonNode node) {
        String uid = node.path("uid").asText("");
        UpstreamState state =
                switch (node.path("state").asText()) {
                    case "SERVING" -> UpstreamState.READY;
                    case "DRAINING" -> UpstreamState.DRAINING;
                    case "DELETED" -> UpstreamState.GONE;
                    default -> null;
                };
        InetSocketAddress endpoint =
                PlatformConfig.parseAddress(node.path("endpoint").asText(""));
        if (uid.isEmpty() || state == null || endpoint == null && state != UpstreamState.GONE) {
            System.err.println("discovery: ignoring invalid entry: " + node);
            return null;
        }
        return new Target(
                uid,
                endpoint,
                node.path("az").asText(""),
                node.path("model").asText(""),
                node.path("pod_group").asInt(),
                state,
                (float) node.path("capacity_hint").asDouble(1),
                node.path("boot_ms").asLong());
    }

    /**
     * A full endpoint list, or a change to it.
     *
     * @param revision revision of the list after this message
     * @param full whether {@code targets} is the whole list; otherwise only the targets that changed
     */
    public record EndpointList(long revision, boolean full, List<Target> targets) {
        public static final EndpointList EMPTY = new EndpointList(0, true, List.of());

        /** Parses a list; invalid entries are skipped. */
        public static EndpointList of(JsonNode node) {
            List<Target> targets = new ArrayList<>();
            for (JsonNode entry : node.path("targets")) {
                Target target = parseTarget(entry);
                if (target != null) {
                    targets.add(target);
                }
            }
            return new EndpointList(node.path("rev").asLong(), node.path("all").asBoolean(), targets);
        }
    }

    private final EventLoop loop;
    private final boolean pushed;
    private final BiConsumer<EndpointListKind, List<Target>> listener;
    private final Set<Call> openCalls = new HashSet<>();
    private InetSocketAddress address;
    private long revision;
    /** Whether the address was switched and the new service has not sent its full list yet. */
    private boolean fullListPending;
    /** The address to switch to once no call waits for its first response; null if no switch is pending. */
    private InetSocketAddress nextAddress;
    /** Ends the wait of the pending switch; null if no switch is pending. */
    private Future<?> switchTimer;
    /** When the pending switch was first requested, in nanoseconds. */
    private long switchRequestedAt;

    private LongConsumer switchListener = staleNanos -> watch(true);
    private boolean watchRequested;
    /** Whether the failure that is being reported is that of a watch that has fallen silent. */
    private boolean watchSilent;

    /** Whether the last object was not complete in time. */
    private boolean extendObjectTimeout;

    private Call watch;
    private RequestLog requestLog = RequestLog.NONE;

    /**
     * Creates a client that calls {@code listener} on the event loop for each response and each failure.
     *
     * @param pushed whether lists are pushed to an agent at this address: see {@link #startIfPushed}
     * @param revision revision of the cached list
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            boolean pushed,
            long revision,
            BiConsumer<EndpointListKind, List<Target>> listener) {
        this.loop = loop;
        this.pushed = pushed;
        this.address = address;
        this.revision = revision;
        this.listener = listener;
    }

    /** Revision of the last list received. Call on the event loop; already updated when the listener is called. */
    public long revision() {
        return revision;
    }

    /** Sets the log for calls and lists. Call before the first call to discovery. */
    public void setRequestLog(RequestLog requestLog) {
        this.requestLog = requestLog;
    }

    /**
     * Sets the listener for switches to another service. It receives how long ago the switch was requested, in
     * nanoseconds: since then changes that the new service knows may have been missed. It has to request the watch, at
     * once or later: if all sidecars opened their watches at once, a service that answers calls in turn could not
     * answer all of them in time.
     */
    public void setSwitchListener(LongConsumer switchListener) {
        this.switchListener = switchListener;
    }

    /** Starts watching if lists are pushed; otherwise does nothing, since the balancer requests the watch. */
    public void startIfPushed() {
        if (pushed) {
            watch(true);
        }
    }

    /**
     * Starts or stops watching changes after the last known revision. A repeated request replaces the open
     * watch unless that one still waits for its first response: closing it would lose its position in the
     * service's queue.
     */
    @Override
    public void watch(boolean enabled) {
        watchRequested = enabled;
        if (enabled && watch != null && !watch.responded) {
            return;
        }
        if (watch != null) {
            watch.close();
            watch = null;
        }
        if (enabled) {
            watch = new Call(true);
            watch.open();
        }
    }

    /**
     * Switches to another discovery service and requests its full list, since its revisions need not continue
     * those of the old one. Responses of the old service after the switch are ignored. The switch is delayed
     * for a bounded time while a call waits for its first response: closing the call would lose its position in
     * the service's queue, and the call that replaces it may be refused for seconds. Further requests meanwhile
     * change where the switch leads, but do not prolong its delay.
     */
    public void switchTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            endPendingSwitch();
            return;
        }
        if (nextAddress == null) {
            switchRequestedAt = System.nanoTime();
            switchTimer = loop.schedule(this::switchNow, ADDRESS_SWITCH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        nextAddress = newAddress;
        switchUnlessCallPending();
    }

    private void endPendingSwitch() {
        nextAddress = null;
        if (switchTimer != null) {
            // Left running, it would end the wait of the next switch.
            switchTimer.cancel(false);
            switchTimer = null;
        }
    }

    private void switchUnlessCallPending() {
        if (nextAddress != null && allCallsResponded()) {
            switchNow();
        }
    }

    private boolean allCallsResponded() {
        return openCalls.stream().allMatch(call -> call.responded);
    }

    /** Closes all open calls. Fetches and the watch of an agent are repeated at the new address. */
    private void switchNow() {
        address = nextAddress;
        endPendingSwitch();
        revision = 0;
        fullListPending = true;
        int openFetches = 0;
        for (Call call : List.copyOf(openCalls)) {
            openFetches += call.watching ? 0 : 1;
            call.close();
        }
        watch = null;
        for (int i = 0; i < openFetches; i++) {
            fetch();
        }
        if (!watchRequested) {
            return;
        }
        if (pushed) {
            watch(true);
        } else {
            switchListener.accept(System.nanoTime() - switchRequestedAt);
        }
    }

    @Override
    public void fetch() {
        new Call(false).open();
    }

    @Override
    public long silentNanos() {
        return watchSilent ? TimeUnit.MILLISECONDS.toNanos(WATCH_IDLE_TIMEOUT_MS) : 0;
    }

    @Override
    public void readUnread() {
        for (Call call : List.copyOf(openCalls)) {
            if (call.channel != null && call.channel.isActive()) {
                SocketMonitor.readUnread(call.channel);
            }
        }
    }

    /** After a switch, fetches the new service's full list until it has arrived, with one call at a time. */
    private void fetchFullListIfPending() {
        if (fullListPending && openCalls.stream().allMatch(call -> call.watching)) {
            fetch();
        }
    }

    private void reopenWatchIfPushed() {
        if (pushed && watchRequested) {
            loop.schedule(
                    () -> {
                        if (watchRequested && watch == null) {
                            watch(true);
                        }
                    },
                    AGENT_RETRY_DELAY_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** One HTTP request to discovery on its own connection: a watch or a fetch. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean watching;
        private final JsonObjectSplitter splitter = new JsonObjectSplitter();
        /** The last revision received when this call was created. */
        private final long initialRevision = revision;

        private Channel channel;
        private Future<?> timeout;
        private boolean bodyStarted;
        private boolean responded;
        private boolean closed;

        Call(boolean watching) {
            this.watching = watching;
        }

        void open() {
            openCalls.add(this);
            requestLog.discoveryCallStarted(watching, revision);
            updateTimeout();
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .option(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveBuffers())
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel created) {
                            channel = created;
                            created.pipeline().addLast(new SocketMonitor(), new HttpClientCodec(), Call.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            sendRequest();
                        } else if (loop.inEventLoop()) {
                            fail("not connected");
                        } else {
                            // With no file descriptor left there is no channel, and the listener runs on another
                            // thread.
                            loop.execute(() -> fail("no socket"));
                        }
                    });
        }

        private void sendRequest() {
            String path = "/discovery/hosts" + (watching ? "?watch=1&from=" + revision : "");
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers()
                    .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(request);
            // The wait at the service begins now, which after a stall of the loop may be long after the call's start.
            restartTimeout();
        }

        /**
         * Starts or restarts the timeout. The timeout of the first response runs from the start of the call and
         * that of an object from its first byte. Neither is restarted by each byte, since otherwise a response
         * that trickles in would never time out.
         */
        private void updateTimeout() {
            if (splitter.size() > 0
                    || timeout != null && !responded && !pushed && !(bodyStarted && extendObjectTimeout)) {
                return;
            }
            restartTimeout();
        }

        private void restartTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
            timeout = loop.schedule(this::onTimeout, timeoutMs(), TimeUnit.MILLISECONDS);
        }

        private long timeoutMs() {
            if (bodyStarted && extendObjectTimeout) {
                return EXTENDED_OBJECT_TIMEOUT_MS;
            }
            if (responded || pushed && bodyStarted) {
                return splitter.size() > 0 ? OBJECT_TIMEOUT_MS : WATCH_IDLE_TIMEOUT_MS;
            }
            return pushed ? AGENT_RESPONSE_TIMEOUT_MS : FIRST_RESPONSE_TIMEOUT_MS;
        }

        private void onTimeout() {
            extendObjectTimeout |= splitter.size() > 0;
            watchSilent = watching && responded;
            fail("silent for too long");
            watchSilent = false;
        }

        void close() {
            closed = true;
            openCalls.remove(this);
            timeout.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail(String reason) {
            if (!closed) {
                requestLog.discoveryCallFailed(watching, reason);
                close();
                if (nextAddress != null && (watch == this || allCallsResponded())) {
                    // The calls are repeated at the new service, so this is not a failure.
                    switchNow();
                    return;
                }
                if (watch == this) {
                    watch = null;
                    reopenWatchIfPushed();
                } else if (pushed) {
                    loop.schedule(
                            DiscoveryClient.this::fetchFullListIfPending, AGENT_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
                }
                listener.accept(EndpointListKind.FAILED, List.of());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
            if (closed) {
                return;
            }
            bodyStarted |=
                    message instanceof HttpContent content && content.content().isReadable();
            updateTimeout();
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse response
                            && !response.status().equals(HttpResponseStatus.OK)) {
                fail(message instanceof HttpResponse response ? "status " + response.status() : "not HTTP");
                return;
            }
            if (message instanceof HttpContent content) {
                boolean inObject = splitter.size() > 0;
                readBytes(content.content());
                if (!closed && !inObject && splitter.size() > 0 && (responded || pushed)) {
                    // An object has begun, which may take longer than the pause before it.
                    restartTimeout();
                }
                if (!closed && message instanceof LastHttpContent) {
                    if (watching || !responded) {
                        fail("ended");
                    } else {
                        close();
                    }
                }
            }
        }

        private void readBytes(ByteBuf bytes) throws IOException {
            while (bytes.isReadable() && !closed) {
                switch (splitter.accept(bytes.readByte())) {
                    case OBJECT -> readObject();
                    case EMPTY_LINE -> {
                        if (watching && !responded) {
                            // No change since the known revision is a first response, too.
                            responded = true;
                            updateTimeout();
                            listener.accept(EndpointListKind.DELTA, List.of());
                            fetchFullListIfPending();
                            switchUnlessCallPending();
                        }
                    }
                    case INVALID -> fail("not JSON");
                    default -> {
                        if (splitter.size() > MAX_OBJECT_BYTES) {
                            fail("object too large");
                        }
                    }
                }
            }
        }

        /**
         * Whether the list is older than one that was received on another call. The full list and the watch use
         * two connections, so the older of two responses may arrive last; applying it would mark a draining
         * target as ready again. Revisions are also lower when they start again, after a restart of the service
         * or a switch to another one, but then no newer list has arrived in the meantime.
         */
        private boolean isOutdated(EndpointList list) {
            return list.revision() < revision && (watching ? responded && !list.full() : revision != initialRevision);
        }

        private void readObject() throws IOException {
            JsonNode node = Json.MAPPER.readTree(splitter.removeObject());
            if (!node.path("rev").isIntegralNumber() || !node.path("targets").isArray()) {
                fail("no list");
                return;
            }
            EndpointList list = EndpointList.of(node);
            boolean outdated = isOutdated(list);
            EndpointListKind kind = list.full() ? EndpointListKind.FULL : EndpointListKind.DELTA;
            requestLog.endpointListReceived(watching, list.revision(), outdated, kind, list.targets());
            if (watching && !responded && list.revision() < initialRevision) {
                // The revisions start again: another process answers, whose changes do not tell what it has never
                // listed.
                fullListPending = true;
            }
            responded = true;
            extendObjectTimeout = false;
            updateTimeout();
            if (outdated) {
                if (!watching) {
                    fetch();
                }
                return;
            }
            revision = list.revision();
            // Changes alone would leave targets in place that only the old service listed.
            fullListPending &= !list.full();
            fetchFullListIfPending();
            listener.accept(kind, list.targets());
            switchUnlessCallPending();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            System.err.println("discovery: " + cause);
            fail(cause.toString());
        }
    }
}
