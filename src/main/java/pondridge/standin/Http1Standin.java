package pondridge.standin;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;

/** One HTTP/1.1 connection of a stand-in server. */
final class Http1Standin extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_REQUEST_BYTES = 1 << 20;
    private final RequestHandler handler;
    private final Runnable crash;
    private boolean silent;

    private Http1Standin(RequestHandler handler, Runnable crash) {
        this.handler = handler;
        this.crash = crash;
    }

    /** Adds all handlers to a pipeline; {@code crash} simulates the end of the server process. */
    static void addTo(ChannelPipeline pipeline, RequestHandler handler, Runnable crash) {
        pipeline.addLast(
                new HttpServerCodec(),
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        if (message instanceof HttpRequest head
                                && !head.method().name().equals("PRI")) {
                            handler.arrived(describe(head));
                        }
                        context.fireChannelRead(message);
                    }
                },
                new HttpObjectAggregator(MAX_REQUEST_BYTES),
                new Http1Standin(handler, crash));
    }

    private static RequestHandler.Request describe(HttpRequest request) {
        return RequestHandler.request(
                request.headers().get("Req-Id"),
                request.headers().get("Req-Kind"),
                request.headers().get("Idempotency-Key"));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (request.method().name().equals("PRI")) {
            // The HTTP/2 connection preface: this server speaks HTTP/1.1 only.
            context.writeAndFlush(response(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, new byte[0]))
                    .addListener(ChannelFutureListener.CLOSE);
            return;
        }
        RequestHandler.Request standinRequest = describe(request);
        Fault fault = handler.script().nextFault();
        if (!handler.admit()) {
            crash.run();
            return;
        }
        if (handler.declining() || !handler.hasCapacity() || fault == Fault.DECLINE || fault == Fault.REFUSE) {
            decline(context);
            return;
        }
        if (fault == Fault.RESET_UNRUN) {
            reset(context);
            return;
        }
        handler.execute(standinRequest);
        context.executor()
                .schedule(
                        () -> respond(context, standinRequest, fault),
                        handler.responseDelayNanos(handler.script().nextWorkNanos(fault)),
                        TimeUnit.NANOSECONDS);
    }

    private void respond(ChannelHandlerContext context, RequestHandler.Request request, Fault fault) {
        if (silent) {
            return;
        }
        byte[] body = RequestHandler.body(request);
        switch (fault) {
            case STALL -> {}
            case SILENT -> {
                silent = true;
                context.channel().config().setAutoRead(false);
            }
            case RESET -> reset(context);
            case CLOSE -> context.close();
            case LIE -> decline(context);
            case ERROR -> context.writeAndFlush(response(HttpResponseStatus.INTERNAL_SERVER_ERROR, body));
            case HALF, HALF_CLOSE -> {
                DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
                context.write(head);
                context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(body, 0, body.length / 2)));
                if (fault == Fault.HALF_CLOSE) {
                    context.close();
                }
            }
            case GOAWAY, GOAWAY_LAST -> {
                FullHttpResponse response = response(HttpResponseStatus.OK, body);
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
            case GOAWAY_LIE, GOAWAY_LOWERED -> reset(context);
            case ADORNED -> {
                context.write(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(103), Unpooled.EMPTY_BUFFER));
                context.writeAndFlush(response(HttpResponseStatus.OK, body));
            }
            default -> context.writeAndFlush(response(HttpResponseStatus.OK, body));
        }
    }

    private static void decline(ChannelHandlerContext context) {
        FullHttpResponse response = response(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
        response.headers().set("Srv-Declined", "1");
        context.writeAndFlush(response);
    }

    private static void reset(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
    }

    private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
