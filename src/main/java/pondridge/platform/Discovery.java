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
import pondridge.Balancer.ListKind;
import pondridge.Balancer.State;
import pondridge.core.Directory;
import pondridge.core.Json;
import pondridge.core.RequestLog;
import pondridge.core.Target;

/**
 * Asks discovery for the list: a watch on its changes, or the whole once. Where discovery is asked the module
 * decides when. Where lists are pushed nobody orders it: what the agent has counts as told from the first
 * moment and whether or not a watch is open, so one is opened at once, and anew as soon as it ends.
 */
public final class Discovery implements Directory {
    /**
     * Empty lines come every 2 s: longer silence is a break. What it hides counts as told 6 s after the last
     * word: half of that is left for asking anew, twice if one try fails. So long an object may take, too.
     */
    private static final long SILENCE_MS = 3_000;
    /** A call waits for up to 2 s: without a whole first answer by then it is given up. */
    private static final long ANSWER_MS = 2_500;
    /** After an object that was not whole in time, so long for the next: better late than never. */
    private static final long LONGEST_OBJECT_MS = 5_000;
    /** An agent on this machine answers at once; what it learns while a call hangs counts as told at once. */
    private static final long AGENT_SILENCE_MS = 500;

    private static final long AGENT_AGAIN_MS = 100;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** What a new service tells counts as told 4 s after its address is configured; a call waits for 2 s. */
    private static final long MOVE_WAIT_MS = 2_000;

    private static final int LARGEST_OBJECT = 4 << 20;

    /** An entry, or null where it can't be understood. */
    private static Target target(JsonNode node) {
        String uid = node.path("uid").asText("");
        State state =
                switch (node.path("state").asText()) {
                    case "SERVING" -> State.READY;
                    case "DRAINING" -> State.DRAINING;
                    case "DELETED" -> State.GONE;
                    default -> null;
                };
        InetSocketAddress endpoint = Config.parseAddress(node.path("endpoint").asText(""));
        if (uid.isEmpty() || state == null || endpoint == null && state != State.GONE) {
            System.err.println("discovery: entry passed over: " + node);
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

    /** A list or a change of it. */
    public record Listing(long rev, boolean all, List<Target> targets) {
        public static final Listing NONE = new Listing(0, true, List.of());

        /** Reads one; entries that make no sense are passed over. */
        public static Listing of(JsonNode node) {
            List<Target> targets = new ArrayList<>();
            for (JsonNode each : node.path("targets")) {
                Target target = target(each);
                if (target != null) {
                    targets.add(target);
                }
            }
            return new Listing(node.path("rev").asLong(), node.path("all").asBoolean(), targets);
        }
    }

    private final EventLoop loop;
    private final boolean pushed;
    private final BiConsumer<ListKind, List<Target>> listener;
    private final Set<Call> calls = new HashSet<>();
    private InetSocketAddress address;
    private long rev;
    private boolean moved;
    /** Where to move once no call waits for its first answer; null if no move is due. */
    private InetSocketAddress nextAddress;

    private boolean wanted;
    private boolean slow;
    private Call watch;
    private RequestLog log = RequestLog.NONE;

    /**
     * Tells {@code listener} of each answer and each failure, on the loop.
     *
     * @param pushed whether lists are pushed to an agent at this address: see {@link #follow}
     * @param rev version of the list that is known
     */
    public Discovery(
            EventLoop loop,
            InetSocketAddress address,
            boolean pushed,
            long rev,
            BiConsumer<ListKind, List<Target>> listener) {
        this.loop = loop;
        this.pushed = pushed;
        this.address = address;
        this.rev = rev;
        this.listener = listener;
    }

    /** The version of the list that is known; on the loop, also while the listener is told of it. */
    public long rev() {
        return rev;
    }

    /** Has calls and lists logged; before the first call. */
    public void log(RequestLog other) {
        log = other;
    }

    /** Where lists are pushed, follows them from now on; else does nothing, since the module asks. */
    public void follow() {
        if (pushed) {
            watch(true);
        }
    }

    /**
     * Follows changes from the last one known. A watch that is asked for again replaces the old one, unless
     * that one still waits for its first answer: it would lose its place in the service's queue.
     */
    @Override
    public void watch(boolean on) {
        wanted = on;
        if (on && watch != null && !watch.answered) {
            return;
        }
        if (watch != null) {
            watch.close();
            watch = null;
        }
        if (on) {
            watch = new Call(true);
            watch.open();
        }
    }

    /**
     * Asks another service from now on, and for its whole list: its versions need not follow on from the old
     * one's. What the old one may still say after that changes nothing. A call that waits for its first
     * answer is let finish before, for a while: its place in the service's queue would be lost, and the call
     * that replaces it may be refused for seconds.
     */
    public void move(InetSocketAddress to) {
        nextAddress = to.equals(address) ? null : to;
        if (nextAddress != null) {
            moveUnlessWaiting();
            loop.schedule(this::moveNow, MOVE_WAIT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void moveUnlessWaiting() {
        if (calls.stream().allMatch(call -> call.answered)) {
            moveNow();
        }
    }

    /** Calls that are out begin again at the new service. */
    private void moveNow() {
        if (nextAddress == null) {
            return;
        }
        address = nextAddress;
        nextAddress = null;
        rev = 0;
        moved = true;
        int fetches = 0;
        for (Call call : List.copyOf(calls)) {
            fetches += call.watching ? 0 : 1;
            call.close();
        }
        watch = null;
        watch(wanted);
        for (int i = 0; i < fetches; i++) {
            fetch();
        }
    }

    @Override
    public void fetch() {
        new Call(false).open();
    }

    /** After a move, until the new service's whole list has come: one call for it at a time. */
    private void wholeAfterMove() {
        if (moved && calls.stream().allMatch(call -> call.watching)) {
            fetch();
        }
    }

    private void againIfPushed() {
        if (pushed && wanted) {
            loop.schedule(
                    () -> {
                        if (wanted && watch == null) {
                            watch(true);
                        }
                    },
                    AGENT_AGAIN_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean watching;
        private final ObjectCutter cutter = new ObjectCutter();
        /** The version that was known when this call began. */
        private final long from = rev;

        private Channel channel;
        private Future<?> silence;
        private boolean begun;
        private boolean answered;
        private boolean over;

        Call(boolean watching) {
            this.watching = watching;
        }

        void open() {
            calls.add(this);
            log.discoveryAsked(watching, rev);
            heard();
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            channel = made;
                            made.pipeline().addLast(new HttpClientCodec(), Call.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            ask();
                        } else if (loop.inEventLoop()) {
                            fail("not connected");
                        } else {
                            // Danger: with no descriptor left there is no channel, nor this thread.
                            loop.execute(() -> fail("no socket"));
                        }
                    });
        }

        private void ask() {
            String path = "/discovery/hosts" + (watching ? "?watch=1&from=" + rev : "");
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers()
                    .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(request);
        }

        /**
         * Danger: bytes that trickle are no answer. Time for a call's first answer runs from its beginning,
         * for an object from its first byte; neither begins anew with each byte.
         */
        private void heard() {
            if (cutter.size() > 0 || silence != null && !answered && !pushed && !(begun && slow)) {
                return;
            }
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(this::tooLate, patienceMs(), TimeUnit.MILLISECONDS);
        }

        private long patienceMs() {
            if (begun && slow) {
                return LONGEST_OBJECT_MS;
            }
            if (answered || pushed && begun) {
                return SILENCE_MS;
            }
            return pushed ? AGENT_SILENCE_MS : ANSWER_MS;
        }

        private void tooLate() {
            slow |= cutter.size() > 0;
            fail("silent for too long");
        }

        void close() {
            over = true;
            calls.remove(this);
            silence.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail(String reason) {
            if (!over) {
                log.discoveryFailed(watching, reason);
                close();
                if (nextAddress != null && watch == this) {
                    // The new service is asked in its place, at once: that is no failure.
                    moveNow();
                    return;
                }
                if (watch == this) {
                    watch = null;
                    againIfPushed();
                } else if (pushed) {
                    loop.schedule(Discovery.this::wholeAfterMove, AGENT_AGAIN_MS, TimeUnit.MILLISECONDS);
                }
                listener.accept(ListKind.FAILED, List.of());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
            if (over) {
                return;
            }
            begun |= message instanceof HttpContent some && some.content().isReadable();
            heard();
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse response
                            && !response.status().equals(HttpResponseStatus.OK)) {
                fail(message instanceof HttpResponse response ? "status " + response.status() : "not HTTP");
                return;
            }
            if (message instanceof HttpContent content) {
                take(content.content());
                if (!over && message instanceof LastHttpContent) {
                    if (watching || !answered) {
                        fail("ended");
                    } else {
                        close();
                    }
                }
            }
        }

        private void take(ByteBuf bytes) throws IOException {
            while (bytes.isReadable() && !over) {
                switch (cutter.take(bytes.readByte())) {
                    case OBJECT -> take();
                    case EMPTY_LINE -> {
                        if (watching && !answered) {
                            // Nothing has changed since the version known: that, too, is its answer.
                            answered = true;
                            heard();
                            listener.accept(ListKind.DELTA, List.of());
                            wholeAfterMove();
                            moveUnlessWaiting();
                        }
                    }
                    case NONSENSE -> fail("not JSON");
                    default -> {
                        if (cutter.size() > LARGEST_OBJECT) {
                            fail("object too large");
                        }
                    }
                }
            }
        }

        /**
         * Danger: a whole list and the watch come by two connections, and the older one of two answers may
         * come last: taken over, it would make ready again who drains by now. Versions that begin anew (the
         * service does, or another one was asked) are lower, too, but nothing newer has come meanwhile.
         */
        private boolean outrun(Listing listing) {
            return listing.rev() < rev && (watching ? answered && !listing.all() : rev != from);
        }

        private void take() throws IOException {
            JsonNode node = Json.MAPPER.readTree(cutter.object());
            if (!node.path("rev").isIntegralNumber() || !node.path("targets").isArray()) {
                fail("no list");
                return;
            }
            Listing listing = Listing.of(node);
            boolean late = outrun(listing);
            ListKind kind = listing.all() ? ListKind.FULL : ListKind.DELTA;
            log.listReceived(watching, listing.rev(), late, kind, listing.targets());
            answered = true;
            slow = false;
            heard();
            if (late) {
                if (!watching) {
                    fetch();
                }
                return;
            }
            rev = listing.rev();
            // Only changes: who was listed by the old service and is not by this one would stay.
            moved &= !listing.all();
            wholeAfterMove();
            listener.accept(kind, listing.targets());
            moveUnlessWaiting();
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
