package pondridge.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import pondridge.core.Engine;
import pondridge.grpc.GrpcFront;
import pondridge.grpc.GrpcSettings;
import pondridge.platform.Config;

/** A front beside HTTP/1.1's; {@link #NONE} where there is none, and then nothing of it is loaded. */
interface SecondFront {
    /** No other front. */
    SecondFront NONE = new SecondFront() {};

    /** Listens, then calls {@code listening}; what comes before {@link #ready} is told that it is not. */
    default void listen(Runnable listening) {
        listening.run();
    }

    /** The program is warm. */
    default void ready() {}

    /** The program is about to end. */
    default void drain() {}

    /** No more connections are taken. */
    default void close() {}

    /** Whether nothing is open. */
    default boolean idle() {
        return true;
    }

    /** gRPC's front, by its settings. */
    final class Grpc implements SecondFront {
        private final EventLoop loop;
        private final InetSocketAddress address;
        private final GrpcFront front;

        Grpc(EventLoop loop, GrpcSettings settings, Config config, Engine engine) {
            this.loop = loop;
            address = settings.listen();
            front = new GrpcFront(
                    loop,
                    settings,
                    config.options(),
                    engine,
                    Long.toHexString(System.nanoTime()),
                    (event, peer, detail) -> System.err.println("pondridge: " + event + ' ' + peer + ": " + detail));
        }

        @Override
        public void listen(Runnable listening) {
            PatientBind.listen(loop, address, front::listen, channel -> listening.run());
        }

        @Override
        public void ready() {
            front.ready(true);
        }

        @Override
        public void drain() {
            front.drain();
        }

        @Override
        public void close() {
            front.close();
        }

        @Override
        public boolean idle() {
            return front.idle();
        }
    }
}
