package pondridge.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;

/**
 * The agent of discovery on one process's machine: the whole list, and a watch on its changes, as the
 * platform speaks it. Changes may come late or, while it is silent, not at all; a watch that is opened anew
 * then brings the whole list. Methods may be called on any thread but its loop.
 */
public final class DiscoveryStandin implements AutoCloseable {
    private static final long EMPTY_LINE_S = 2;

    /**
     * One line of the list.
     *
     * @param state {@code SERVING}, {@code DRAINING} or {@code DELETED}
     * @param bootMs when it last started, Unix time in milliseconds; 0 for long ago
     */
    public record Entry(String uid, InetSocketAddress endpoint, String zone, String state, long bootMs) {
        /** As the platform writes it. */
        public String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint.getAddress().getHostAddress() + ':'
                    + endpoint.getPort() + "\",\"az\":\"" + zone
                    + "\",\"model\":\"m\",\"pod_group\":0,"
                    + "\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + '}';
        }
    }

    private final EventLoop loop;
    private final Channel listener;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final ChannelGroup watches;
    private long rev = 1;
    private boolean silent;

    /** One that lists these, on a free loopback port. */
    public DiscoveryStandin(EventLoop loop, InetSocketAddress listen, List<Entry> first) {
        this.loop = loop;
        this.watches = new DefaultChannelGroup(loop);
        first.forEach(each -> entries.put(each.uid, each));
        this.listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new HttpServerCodec(), new Visit());
                    }
                })
                .bind(listen).syncUninterruptibly().channel();
        loop.scheduleWithFixedDelay(() -> push("\n"), EMPTY_LINE_S, EMPTY_LINE_S, TimeUnit.SECONDS);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** These lines are new or have changed; whoever watches is told after so long, in nanoseconds. */
    public void change(Collection<Entry> changed, long late) {
        List<Entry> lines = List.copyOf(changed);
        loop.schedule(() -> {
            rev++;
            lines.forEach(each -> {
                if (each.state.equals("DELETED")) {
                    entries.remove(each.uid);
                } else {
                    entries.put(each.uid, each);
                }
            });
            push(listing(false, lines) + '\n');
        }, late, TimeUnit.NANOSECONDS);
    }

    /** From now on says nothing on the watches that are open, and answers nothing; or it speaks again. */
    public void silent(boolean on) {
        loop.submit(() -> {
            silent = on;
            if (!on) {
                watches.close();
            }
        }).awaitUninterruptibly();
    }

    private String listing(boolean all, Collection<Entry> lines) {
        StringJoiner targets = new StringJoiner(",");
        lines.forEach(each -> targets.add(each.json()));
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + targets + "]}";
    }

    private void push(String line) {
        if (!silent) {
            watches.forEach(each -> each.writeAndFlush(new DefaultHttpContent(bytes(line))));
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private final class Visit extends SimpleChannelInboundHandler<HttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (silent) {
                watches.add(context.channel());
            } else if (!query.path().equals("/discovery/hosts")) {
                context.writeAndFlush(whole(HttpResponseStatus.NOT_FOUND, ""));
            } else if (!query.parameters().containsKey("watch")) {
                context.writeAndFlush(whole(HttpResponseStatus.OK, listing(true, entries.values())));
            } else {
                HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                HttpUtil.setTransferEncodingChunked(head, true);
                context.write(head);
                boolean known = query.parameters().getOrDefault("from", List.of("")).get(0)
                        .equals(Long.toString(rev));
                context.writeAndFlush(new DefaultHttpContent(
                        bytes((known ? "" : listing(true, entries.values())) + '\n')));
                watches.add(context.channel());
            }
        }

        private FullHttpResponse whole(HttpResponseStatus status, String body) {
            FullHttpResponse reply = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes(body));
            reply.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.content().readableBytes());
            return reply;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        watches.close().awaitUninterruptibly();
    }
}
