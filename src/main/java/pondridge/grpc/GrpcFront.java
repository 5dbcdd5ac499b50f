package pondridge.grpc;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolConfig.Protocol;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectedListenerFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectorFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pondridge.Options;
import pondridge.core.Answer;
import pondridge.core.Client;
import pondridge.core.Headers;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.Requests;
import pondridge.core.Unread;
import pondridge.http2.Door;
import pondridge.http2.HeldBytes;

/**
 * gRPC's clients: unary calls of the methods that the settings name, each one request like any other. A
 * method that is not named is UNIMPLEMENTED, since nobody knows whether it may run twice. On the event loop
 * only.
 */
public final class GrpcFront {
    /** HTTP/2 and nothing else is spoken above TLS. */
    static final ApplicationProtocolConfig ALPN = new ApplicationProtocolConfig(
            Protocol.ALPN,
            SelectorFailureBehavior.NO_ADVERTISE,
            SelectedListenerFailureBehavior.ACCEPT,
            ApplicationProtocolNames.HTTP_2);

    private static final AsciiString STATUS = AsciiString.cached("grpc-status");
    private static final AsciiString MESSAGE = AsciiString.cached("grpc-message");
    private static final AsciiString PUSHBACK = AsciiString.cached("grpc-retry-pushback-ms");
    private static final AsciiString TYPE = AsciiString.cached("application/grpc");
    private static final String CHECK = "/grpc.health.v1.Health/Check";
    private static final byte[] SERVING = {8, 1};
    private static final byte[] NOT_SERVING = {8, 2};
    private static final int PREFIX = 5;

    private final GrpcSettings settings;
    private final MethodTable methods;
    private final JobReader reader;
    private final Requests requests;
    private final Door door;
    private final Set<String> ids = new HashSet<>();
    private final String made;
    private long lastId;
    private boolean ready;

    /**
     * A front that does not listen yet.
     *
     * @param run names this run of the program in the ids that it makes
     */
    public GrpcFront(
            EventLoop loop,
            GrpcSettings settings,
            Options platform,
            Requests requests,
            String run,
            Door.Events events) {
        this.settings = settings;
        this.methods = settings.methods(platform);
        this.reader = new JobReader(platform);
        this.requests = requests;
        this.made = run;
        this.door = new Door(
                loop,
                new Door.Limits(
                        settings.listen(),
                        settings.connections(),
                        settings.streams(),
                        settings.idle(),
                        settings.headerBytes(),
                        settings.controlFrames(),
                        settings.heldBytes(),
                        settings.age(),
                        settings.grace()),
                "grpc",
                settings.tls() == null ? null : channel -> settings.tls().newHandler(channel.alloc()),
                events,
                System::nanoTime,
                (stream, share) -> stream.pipeline().addLast(new Call(stream, share)));
    }

    /** Listens; health says no until {@link #ready}. */
    public ChannelFuture listen() {
        return door.listen();
    }

    /** From now on health says yes, or no; calls are taken either way, as over HTTP/1.1. */
    public void ready(boolean on) {
        ready = on;
    }

    /**
     * Asks all clients to leave, and says in health that it is not ready; calls that come are still taken.
     */
    public void drain() {
        ready = false;
        door.leave();
    }

    /** Connections that are in. */
    public int connections() {
        return door.connections();
    }

    /** Whether no call is open. */
    public boolean idle() {
        return ids.isEmpty();
    }

    /** Takes no more connections. */
    public void close() {
        door.close();
    }

    /** One stream: one unary call. */
    private final class Call extends ChannelInboundHandlerAdapter implements Client {
        private final Channel stream;
        private final HeldBytes.Share share;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        private Future<?> timer;
        private Http2Headers head;
        private Method method;
        private String id;
        private long held;
        private long endsAt;
        private long journey;
        private boolean whole;
        private boolean over;

        Call(Channel stream, HeldBytes.Share share) {
            this.stream = stream;
            this.share = share;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            timer = stream.eventLoop()
                    .schedule(
                            () -> end(GrpcCode.CANCELLED, "the call did not come whole in time", 0),
                            settings.transfer(),
                            TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            try {
                if (!over && frame instanceof Http2HeadersFrame headers) {
                    if (head != null) {
                        end(GrpcCode.INTERNAL, "trailers in a request", 0);
                        return;
                    }
                    head = headers.headers();
                    if (begin() && headers.isEndStream()) {
                        whole();
                    }
                } else if (!over && frame instanceof Http2DataFrame data) {
                    take(data);
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        private boolean begin() {
            if (!Verdict.isGrpc(head.get(HttpHeaderNames.CONTENT_TYPE)) || !"POST".contentEquals(head.method())) {
                finish(() -> stream.writeAndFlush(
                        new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().status("415"), true)));
                return false;
            }
            method = methods.byPath(head.path());
            if (method == null && !CHECK.contentEquals(head.path())) {
                end(GrpcCode.UNIMPLEMENTED, "no such method: " + head.path(), 0);
                return false;
            }
            return true;
        }

        private void take(Http2DataFrame data) {
            int more = data.content().readableBytes();
            if (body.size() + more > settings.rules().most() + PREFIX) {
                end(
                        GrpcCode.RESOURCE_EXHAUSTED,
                        "message larger than " + settings.rules().most() + " bytes",
                        0);
                return;
            }
            if (more > 0 && !share.take(more)) {
                end(FinalCode.refused(), "no room for the message", 0);
                return;
            }
            held += more;
            body.writeBytes(ByteBufUtil.getBytes(data.content()));
            if (data.isEndStream()) {
                whole();
            }
        }

        /** All of it has come. */
        private void whole() {
            whole = true;
            timer.cancel(false);
            UnaryMessage.Read read = UnaryMessage.read(
                    body.toByteArray(),
                    head.get("grpc-encoding"),
                    settings.rules().most());
            if (read.message() == null) {
                end(read.code(), read.problem(), 0);
                return;
            }
            if (method == null) {
                answer(ready ? SERVING : NOT_SERVING, new DefaultHttpHeaders());
                return;
            }
            Job job;
            try {
                job = job(read.message());
            } catch (IllegalArgumentException e) {
                end(GrpcCode.INVALID_ARGUMENT, e.getMessage(), 0);
                return;
            }
            id = job.headers().get("Req-Id");
            if (!ids.add(id)) {
                id = null;
                end(GrpcCode.ALREADY_EXISTS, "the request's id is in use", 0);
                return;
            }
            endsAt = System.nanoTime() + job.waitMs() * 1_000_000;
            journey = requests.submit(job, this);
        }

        /** What came, as the platform's request of that class; throws {@link IllegalArgumentException}. */
        private Job job(byte[] message) {
            HttpHeaders headers = new DefaultHttpHeaders();
            for (Map.Entry<CharSequence, CharSequence> each : head) {
                String name = each.getKey().toString();
                if (!name.startsWith(":")
                        && !name.startsWith("grpc-")
                        && !Headers.ofOneHop(name)
                        && !HttpHeaderNames.CONTENT_TYPE.contentEquals(name)
                        && !HttpHeaderNames.CONTENT_LENGTH.contentEquals(name)
                        && !name.startsWith("req-")) {
                    headers.add(name, each.getValue());
                }
            }
            move(headers, settings.tenant(), "Req-Owner");
            move(headers, settings.key(), JobReader.KEY);
            move(headers, settings.id(), "Req-Id");
            if (!headers.contains("Req-Id")) {
                headers.set("Req-Id", "grpc-" + made + '-' + ++lastId);
            }
            headers.set("Req-Kind", method.className()).set(HttpHeaderNames.HOST, "app.svc");
            CharSequence timeout = head.get("grpc-timeout");
            long left = timeout == null ? Long.MAX_VALUE : GrpcTimeout.read(timeout);
            if (left < 0) {
                throw new IllegalArgumentException("not a grpc-timeout: " + timeout);
            }
            headers.set("Req-Deadline-Ms", Long.toString(Math.min(999_999_999, Math.max(1, left / 1_000_000))));
            return reader.read(method.http(), method.target(message), headers)
                    .with(method.get() ? new byte[0] : message);
        }

        private void move(HttpHeaders headers, String metadata, String name) {
            CharSequence value = head.get(metadata);
            headers.remove(metadata);
            if (value != null) {
                headers.set(name, value);
            }
        }

        @Override
        public boolean here(boolean late) {
            return Unread.open(stream.parent(), late) && stream.isActive();
        }

        @Override
        public void served(Answer answer) {
            String status = answer.headers().get(GrpcWording.STATUS);
            if (status != null) {
                Http2Headers trailers =
                        trailers(answer.headers()).status("200").set(HttpHeaderNames.CONTENT_TYPE, TYPE);
                trailers.set(STATUS, status);
                if (answer.headers().contains(GrpcWording.MESSAGE)) {
                    trailers.set(MESSAGE, answer.headers().get(GrpcWording.MESSAGE));
                }
                finish(() -> stream.writeAndFlush(new DefaultHttp2HeadersFrame(trailers, true)));
                return;
            }
            answer(answer.body(), answer.headers());
        }

        @Override
        public void refused(long wait) {
            end(FinalCode.refused(), "refused: nothing that a repeat would do twice", wait);
        }

        @Override
        public void failed() {
            end(FinalCode.failed(endsAt - System.nanoTime()), "failed: it may have run", 0);
        }

        private static Http2Headers trailers(HttpHeaders from) {
            Http2Headers headers = new DefaultHttp2Headers();
            for (Map.Entry<String, String> each : from) {
                AsciiString name = AsciiString.of(each.getKey()).toLowerCase();
                if (!name.startsWith("grpc-")
                        && !Headers.ofOneHop(name)
                        && !name.contentEquals(HttpHeaderNames.CONTENT_LENGTH)
                        && !name.contentEquals(HttpHeaderNames.CONTENT_TYPE)) {
                    headers.add(name, each.getValue());
                }
            }
            return headers;
        }

        private void answer(byte[] message, HttpHeaders headers) {
            Http2Headers first = trailers(headers)
                    .status("200")
                    .set(HttpHeaderNames.CONTENT_TYPE, TYPE)
                    .set("grpc-accept-encoding", UnaryMessage.ACCEPTED);
            finish(() -> {
                stream.write(new DefaultHttp2HeadersFrame(first));
                stream.write(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(MessageReader.frame(message))));
                return stream.writeAndFlush(new DefaultHttp2HeadersFrame(
                        new DefaultHttp2Headers().set(STATUS, GrpcCode.OK.number()), true));
            });
            share.add(message.length);
            held += message.length;
        }

        /** Ends the call with nothing but a status. */
        private void end(GrpcCode code, String text, long wait) {
            Http2Headers all = new DefaultHttp2Headers()
                    .status("200")
                    .set(HttpHeaderNames.CONTENT_TYPE, TYPE)
                    .set(STATUS, code.number())
                    .set(MESSAGE, FinalCode.message(text));
            if (wait > 0) {
                all.set(PUSHBACK, Long.toString(Math.max(1, wait / 1_000_000)));
            }
            finish(() -> stream.writeAndFlush(new DefaultHttp2HeadersFrame(all, true)));
        }

        private void finish(java.util.function.Supplier<ChannelFuture> write) {
            if (over) {
                return;
            }
            over = true;
            timer.cancel(false);
            ChannelFuture written = write.get();
            // An answer that waits for the client's window for too long.
            timer = stream.eventLoop()
                    .schedule(
                            () -> stream.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL)),
                            settings.transfer(),
                            TimeUnit.NANOSECONDS);
            written.addListener(done -> {
                timer.cancel(false);
                if (!whole) {
                    // The rest of the call is not wanted (RFC 9113, section 8.1).
                    stream.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.NO_ERROR));
                }
            });
            forget();
        }

        private void forget() {
            if (id != null) {
                ids.remove(id);
                id = null;
            }
        }

        private void gone() {
            if (!over && journey != 0) {
                requests.hangup(journey);
            }
            over = true;
            forget();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            gone();
            timer.cancel(false);
            share.give(held);
            held = 0;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
