package pondridge.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A TCP relay between two loopback addresses that injects link faults: delay, stall, loss of one direction and
 * reset. Bytes keep their order whatever the jitter. The methods may be called on any thread. A change applies
 * to bytes that arrive after it; a stall also applies to buffered bytes. The relay buffers at most 1 MiB for
 * each direction of a connection; then it stops reading from the sender, as on a real link whose windows are
 * full.
 */
public final class FaultyLink implements AutoCloseable {
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** A direction: from the connecting side to the target, or back. */
    public enum Direction {
        FORWARD,
        BACKWARD
    }

    /**
     * The condition of one direction.
     *
     * @param delayNanos of each chunk in nanoseconds
     * @param jitterNanos the maximum that is added to the delay in nanoseconds, uniformly distributed
     * @param bytesPerSecond the bandwidth; 0 for unlimited
     * @param stalled bytes are kept until the stall ends, and are then delivered
     * @param discarding bytes are discarded while the connection stays open; that connection never works again
     */
    public record Condition(
            long delayNanos, long jitterNanos, long bytesPerSecond, boolean stalled, boolean discarding) {
        /** A working link with this delay and jitter, in nanoseconds. */
        public static Condition delayed(long delay, long jitter) {
            return new Condition(delay, jitter, 0, false, false);
        }

        /** The same condition, stalled or not. */
        public Condition withStalled(boolean enabled) {
            return new Condition(delayNanos, jitterNanos, bytesPerSecond, enabled, discarding);
        }

        /** The same condition, with bytes discarded or not. */
        public Condition withDiscarding(boolean enabled) {
            return new Condition(delayNanos, jitterNanos, bytesPerSecond, stalled, enabled);
        }
    }

    private record Chunk(ByteBuf bytes, long dueNanos) {}

    private final EventLoop loop;
    private volatile InetSocketAddress target;
    private final Random random;
    private final Channel listener;
    private final Set<Relay> relays = new HashSet<>();
    private Condition forward = Condition.delayed(0, 0);
    private Condition backward = forward;
    private boolean resetNewConnections;

    /**
     * Starts a relay without faults.
     *
     * @param loop runs everything; the caller must not be on it
     * @param listen the address to listen at; port 0 for any free port
     */
    public FaultyLink(EventLoop loop, InetSocketAddress listen, InetSocketAddress target, long seed) {
        this.loop = loop;
        this.target = target;
        this.random = new Random(seed);
        this.listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accept(accepted);
                    }
                })
                .bind(listen)
                .syncUninterruptibly()
                .channel();
    }

    /** The address that it listens at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Sets the address that new connections are relayed to. */
    public void setTarget(InetSocketAddress address) {
        target = address;
    }

    /** Sets the condition of a direction. */
    public void setCondition(Direction direction, Condition condition) {
        loop.submit(() -> {
                    if (direction == Direction.FORWARD) {
                        forward = condition;
                    } else {
                        backward = condition;
                    }
                    List.copyOf(relays).forEach(Relay::deliverDue);
                })
                .awaitUninterruptibly();
    }

    /** Sets the condition of both directions. */
    public void setCondition(Condition condition) {
        setCondition(Direction.FORWARD, condition);
        setCondition(Direction.BACKWARD, condition);
    }

    /** Resets all connections. */
    public void reset() {
        loop.submit(() -> List.copyOf(relays).forEach(Relay::reset)).awaitUninterruptibly();
    }

    /** Sets whether new connections are reset as soon as they are accepted. */
    public void setResetNewConnections(boolean enabled) {
        loop.submit(() -> resetNewConnections = enabled).awaitUninterruptibly();
    }

    private void accept(Channel clientSide) {
        if (resetNewConnections) {
            abort(clientSide);
            return;
        }
        Relay toTarget = new Relay(clientSide, Direction.FORWARD);
        clientSide.pipeline().addLast(toTarget);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel targetSide) {
                        Relay toClient = new Relay(targetSide, Direction.BACKWARD);
                        toClient.setDestination(clientSide);
                        toTarget.setDestination(targetSide);
                        targetSide.pipeline().addLast(toClient);
                    }
                })
                .connect(target)
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        clientSide.config().setAutoRead(true);
                        toTarget.to.config().setAutoRead(true);
                    } else {
                        abort(clientSide);
                    }
                });
    }

    private static void abort(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Relays one direction of one connection. */
    private final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel from;
        private final Direction direction;
        private final ArrayDeque<Chunk> buffered = new ArrayDeque<>();
        private Channel to;
        private int bufferedBytes;
        private long lastDueNanos = System.nanoTime();
        private boolean senderClosed;
        private boolean discarding;

        Relay(Channel from, Direction direction) {
            this.from = from;
            this.direction = direction;
            relays.add(this);
            // Also removes the relay of a connection that never came up. Buffered bytes are still delivered
            // after a stall.
            from.closeFuture().addListener(closed -> {
                if (buffered.isEmpty()) {
                    relays.remove(this);
                }
            });
        }

        private Condition condition() {
            return direction == Direction.FORWARD ? forward : backward;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            Condition current = condition();
            discarding |= current.discarding;
            if (discarding) {
                bytes.release();
                return;
            }
            long jitterNanos = current.jitterNanos == 0 ? 0 : (long) (random.nextDouble() * current.jitterNanos);
            long transmitNanos =
                    current.bytesPerSecond == 0 ? 0 : bytes.readableBytes() * 1_000_000_000L / current.bytesPerSecond;
            lastDueNanos = Math.max(
                    lastDueNanos + transmitNanos, System.nanoTime() + current.delayNanos + jitterNanos + transmitNanos);
            bufferedBytes += bytes.readableBytes();
            buffered.add(new Chunk(bytes, lastDueNanos));
            if (bufferedBytes > MAX_BUFFERED_BYTES) {
                from.config().setAutoRead(false);
            }
            scheduleDelivery();
        }

        private void scheduleDelivery() {
            loop.schedule(
                    this::deliverDue,
                    Math.max(0, buffered.peekLast().dueNanos - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
        }

        /** Writes the chunks that are due, and schedules the next one. */
        private void deliverDue() {
            if (condition().stalled) {
                return;
            }
            long nowNanos = System.nanoTime();
            boolean written = false;
            while (!buffered.isEmpty() && buffered.peek().dueNanos - nowNanos <= 0) {
                Chunk chunk = buffered.poll();
                bufferedBytes -= chunk.bytes.readableBytes();
                to.write(chunk.bytes);
                written = true;
            }
            if (written) {
                to.flush();
            }
            if (!buffered.isEmpty()) {
                loop.schedule(this::deliverDue, Math.max(1, buffered.peek().dueNanos - nowNanos), TimeUnit.NANOSECONDS);
            } else if (senderClosed && !discarding) {
                relays.remove(this);
                to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> to.close());
            }
            if (bufferedBytes <= MAX_BUFFERED_BYTES / 2 && from.isActive()) {
                from.config().setAutoRead(true);
            }
        }

        private void setDestination(Channel destination) {
            to = destination;
            destination.closeFuture().addListener(closed -> discard());
        }

        /** Drops all buffered bytes and everything that still arrives. */
        private void discard() {
            discarding = true;
            buffered.forEach(chunk -> chunk.bytes.release());
            buffered.clear();
            bufferedBytes = 0;
            if (!from.isOpen()) {
                relays.remove(this);
            }
        }

        private void reset() {
            discard();
            abort(from);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            senderClosed = true;
            if (to != null && !discarding) {
                loop.schedule(this::deliverDue, condition().delayNanos, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        reset();
    }
}
