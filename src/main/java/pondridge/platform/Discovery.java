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
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
import pondridge.core.Target;

/** Asks discovery for the list: a watch on its changes, or the whole once. The module decides when. */
public final class Discovery implements Directory {
    /** A call waits for up to 2 s and empty lines come every 2 s: longer silence is a break. */
    private static final long SILENCE_MS = 5_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int LONGEST_LINE = 4 << 20;

    /** An entry, or null where it can't be understood. */
    private static Target target(JsonNode node) {
        String uid = node.path("uid").asText("");
        State state = switch (node.path("state").asText()) {
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
        return new Target(uid, endpoint, node.path("az").asText(""), node.path("model").asText(""),
                node.path("pod_group").asInt(), state, (float) node.path("capacity_hint").asDouble(1),
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
    private final BiConsumer<ListKind, List<Target>> listener;
    private final Set<Call> calls = new HashSet<>();
    private InetSocketAddress address;
    private long rev;
    private boolean moved;
    private boolean wanted;
    private Call watch;

    /** Tells {@code listener} of each answer and each failure, on the loop. */
    public Discovery(EventLoop loop, InetSocketAddress address, long rev,
            BiConsumer<ListKind, List<Target>> listener) {
        this.loop = loop;
        this.address = address;
        this.rev = rev;
        this.listener = listener;
    }

    /** Follows changes from the last one known; a watch that is asked for again replaces the old one. */
    @Override
    public void watch(boolean on) {
        wanted = on;
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
     * From now on another service is asked. What the old one may still say changes nothing; calls that were
     * out begin again at the new one. Its versions need not follow on from the old one's, so its whole list
     * is asked for.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        rev = 0;
        moved = true;
        int fetches = 0;
        for (Call call : List.copyOf(calls)) {
            fetches += call.watching ? 0 : 1;
            call.close();
        }
        watch(wanted);
        for (int i = 0; i < fetches; i++) {
            fetch();
        }
    }

    @Override
    public void fetch() {
        new Call(false).open();
    }

    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean watching;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Channel channel;
        private Future<?> silence;
        private boolean answered;
        private boolean over;

        Call(boolean watching) {
            this.watching = watching;
        }

        void open() {
            calls.add(this);
            heard();
            new Bootstrap().group(loop).channel(NioSocketChannel.class)
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
                        } else {
                            fail();
                        }
                    });
        }

        private void ask() {
            String path = "/discovery/hosts" + (watching ? "?watch=1&from=" + rev : "");
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    path);
            request.headers().set(HttpHeaderNames.HOST,
                    address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(request);
        }

        private void heard() {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(this::fail, SILENCE_MS, TimeUnit.MILLISECONDS);
        }

        void close() {
            over = true;
            calls.remove(this);
            silence.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail() {
            if (!over) {
                close();
                if (watch == this) {
                    watch = null;
                }
                listener.accept(ListKind.FAILED, List.of());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
            if (over) {
                return;
            }
            heard();
            if (message.decoderResult().isFailure() || message instanceof HttpResponse response
                    && !response.status().equals(HttpResponseStatus.OK)) {
                fail();
                return;
            }
            if (message instanceof HttpContent content) {
                take(content.content());
                if (!over && message instanceof LastHttpContent) {
                    if (!watching && line.size() > 0) {
                        take();
                    }
                    if (watching || !answered) {
                        fail();
                    } else {
                        close();
                    }
                }
            }
        }

        private void take(ByteBuf bytes) throws IOException {
            while (bytes.isReadable() && !over) {
                byte next = bytes.readByte();
                if (next != '\n') {
                    line.write(next);
                    if (line.size() > LONGEST_LINE) {
                        fail();
                    }
                } else if (!line.toString(StandardCharsets.UTF_8).isBlank()) {
                    take();
                } else if (watching && !answered) {
                    // Nothing has changed since the version known: that, too, is the watch's answer.
                    answered = true;
                    listener.accept(ListKind.DELTA, List.of());
                }
            }
        }

        private void take() throws IOException {
            JsonNode node = Json.MAPPER.readTree(line.toByteArray());
            line.reset();
            if (!node.path("rev").isIntegralNumber() || !node.path("targets").isArray()) {
                fail();
                return;
            }
            Listing listing = Listing.of(node);
            rev = listing.rev();
            answered = true;
            if (moved) {
                moved = false;
                if (!listing.all()) {
                    // Only changes: who was listed by the old service and is not by this one would stay.
                    fetch();
                }
            }
            listener.accept(listing.all() ? ListKind.FULL : ListKind.DELTA, listing.targets());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            System.err.println("discovery: " + cause);
            fail();
        }
    }
}
