package pondridge.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import pondridge.core.BufferBudget;
import pondridge.core.Engine;
import pondridge.grpc.GrpcFrontend;
import pondridge.grpc.GrpcSettings;
import pondridge.platform.PlatformConfig;

/** A frontend in addition to the HTTP/1.1 one. With {@link #NONE} no classes of another protocol are loaded. */
interface SecondaryFrontend {
    /** No secondary frontend. */
    SecondaryFrontend NONE = new SecondaryFrontend() {};

    /** Starts listening, then calls {@code onListening}. Until {@link #markReady} it reports that it is not ready. */
    default void listen(Runnable onListening) {
        onListening.run();
    }

    /** Reports readiness from now on. Called after the warm-up. */
    default void markReady() {}

    /** Starts draining, since the process is about to exit. */
    default void drain() {}

    /** Stops accepting connections. */
    default void close() {}

    /** Whether no request is open. */
    default boolean isIdle() {
        return true;
    }

    /** The gRPC frontend. */
    final class Grpc implements SecondaryFrontend {
        private final EventLoop loop;
        private final InetSocketAddress address;
        private final GrpcFrontend frontend;

        Grpc(EventLoop loop, GrpcSettings settings, PlatformConfig config, Engine engine, BufferBudget processBudget) {
            this.loop = loop;
            address = settings.listenAddress();
            frontend = new GrpcFrontend(
                    loop,
                    settings,
                    config.options(),
                    engine,
                    processBudget,
                    Long.toHexString(System.nanoTime()),
                    (event, peer, detail) -> System.err.println("pondridge: " + event + ' ' + peer + ": " + detail));
        }

        @Override
        public void listen(Runnable onListening) {
            RequiredListener.bind(loop, address, frontend::listen, channel -> onListening.run());
        }

        @Override
        public void markReady() {
            frontend.setReady(true);
        }

        @Override
        public void drain() {
            frontend.drain();
        }

        @Override
        public void close() {
            frontend.close();
        }

        @Override
        public boolean isIdle() {
            return frontend.isIdle();
        }
    }
}
