package pondridge.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import pondridge.Balancer.Outcome;
import pondridge.BalancerOptions;
import pondridge.core.Job;

/**
 * Tests a pool with its connections while the event loop is run by hand: frames received, requests offered
 * and pending event loop tasks are applied in every order. Uses no sockets, threads or waiting.
 */
class EventOrderingTest {
    private static final int HEADERS_FRAME = 1;
    private static final int STREAM_LIMIT = 2;
    private static final int PREFACE_BYTES = 24;

    /** The server side of one connection: parses the frames it receives and sends its own. */
    private static final class Peer {
        private final EmbeddedChannel channel;
        private final ByteBuf received = Unpooled.buffer();
        private final TreeSet<Integer> openStreams = new TreeSet<>();
        private int parsedBytes = PREFACE_BYTES;
        private int streamLimit = -1;
        private int requests;
        private boolean goAwaySent;
        private boolean hasResponded;
        /** It sent a GOAWAY before any response, so the next connection is delayed. */
        private boolean leftWithoutResponse;

        Peer(ChannelInitializer<Channel> initializer) {
            channel = new EmbeddedChannel(initializer);
        }

        void readFrames() {
            if (channel.isOpen()) {
                channel.flushOutbound();
            }
            for (ByteBuf sent = channel.readOutbound(); sent != null; sent = channel.readOutbound()) {
                received.writeBytes(sent);
                sent.release();
            }
            while (received.writerIndex() >= parsedBytes + 9) {
                int type = received.getByte(parsedBytes + 3);
                if (type == HEADERS_FRAME) {
                    openStreams.add(received.getInt(parsedBytes + 5));
                    requests++;
                    assertTrue(openStreams.size() <= streamLimit || goAwaySent, "stream limit exceeded");
                }
                parsedBytes += 9 + received.getUnsignedMedium(parsedBytes);
            }
        }

        private void send(int type, int flags, int stream, byte... payload) {
            if (!channel.isOpen()) {
                return;
            }
            byte[] frame = Http2UpstreamsTest.frame(type, flags, stream, payload);
            channel.writeInbound(Unpooled.wrappedBuffer(frame));
            readFrames();
        }

        /** Sends SETTINGS with this limit on concurrent streams. */
        void sendSettings(int maxConcurrentStreams) {
            readFrames();
            streamLimit = maxConcurrentStreams;
            send(4, 0, 0, (byte) 0, (byte) 3, (byte) 0, (byte) 0, (byte) 0, (byte) maxConcurrentStreams);
        }

        /** Responds to the oldest request with status 200 (RFC 7541, static table, index 8). */
        void respond() {
            readFrames();
            if (!openStreams.isEmpty()) {
                hasResponded = true;
                send(HEADERS_FRAME, 5, openStreams.pollFirst(), (byte) 0x88);
            }
        }

        /** Sends a graceful GOAWAY, which rejects no request. */
        void sendGoAway() {
            if (streamLimit >= 0 && !goAwaySent) {
                goAwaySent = true;
                leftWithoutResponse = !hasResponded;
                send(7, 0, 0, (byte) 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0, (byte) 0, (byte) 0, (byte)
                        0);
            }
        }
    }

    /** One run with a given order of events. */
    private static final class Scenario {
        private final EmbeddedChannel loop = new EmbeddedChannel();
        private final List<Peer> peers = new ArrayList<>();
        private final List<String> ended = new ArrayList<>();
        private final List<String> offered = new ArrayList<>();
        private final Http2Upstreams transport;

        Scenario() {
            transport = new Http2Upstreams(
                    loop.eventLoop(),
                    new BalancerOptions("caps.connIdle=60000000000"),
                    SoakTest.options("stream_wait = \"10s\"\nsettings_wait = \"10s\""),
                    StreamOutcomeRules.RFC9113,
                    1,
                    this::dial);
            transport.updateEndpoint(1, TransportHarness.local(9), 0, true);
            offer();
        }

        private ChannelFuture dial(InetSocketAddress address, int timeoutMs, ChannelInitializer<Channel> initializer) {
            peers.forEach(Peer::readFrames);
            int requestsReceived =
                    peers.stream().mapToInt(each -> each.requests).sum();
            int availableStreams = peers.stream()
                    .filter(each -> !each.goAwaySent && each.channel.isActive())
                    .mapToInt(each -> Math.max(0, each.streamLimit) - each.openStreams.size())
                    .sum();
            assertTrue(
                    offered.size() - requestsReceived > availableStreams,
                    "dialled for " + (offered.size() - requestsReceived) + " waiting requests with " + availableStreams
                            + " available streams");
            peers.add(new Peer(initializer));
            return loop.newSucceededFuture();
        }

        private void offer() {
            String id = "x" + offered.size();
            offered.add(id);
            transport.send(
                    1,
                    new Job(
                            0,
                            0,
                            0,
                            0,
                            0,
                            false,
                            HttpMethod.GET,
                            "/api/" + id,
                            new DefaultHttpHeaders().set("Host", "app.svc"),
                            new byte[0]),
                    TransportHarness.LONG_TIMEOUT_NANOS,
                    (outcome, response, loadReport) -> ended.add(outcome == Outcome.OK ? id : id + outcome));
        }

        void apply(char event) {
            Peer first = peers.get(0);
            switch (event) {
                case 'u' -> first.sendSettings(STREAM_LIMIT);
                case 'o' -> offer();
                case 't' -> loop.runPendingTasks();
                case 'a' -> first.respond();
                case 'r' -> first.sendSettings(STREAM_LIMIT + 2);
                case 'g' -> first.sendGoAway();
                default -> throw new IllegalArgumentException();
            }
        }

        /** Completes everything outstanding and checks that nothing remains. */
        void finish() {
            for (int i = 0; i < 2 * offered.size() && ended.size() < offered.size(); i++) {
                loop.runPendingTasks();
                for (Peer peer : List.copyOf(peers)) {
                    if (peer.streamLimit < 0) {
                        peer.sendSettings(STREAM_LIMIT);
                    }
                    loop.runPendingTasks();
                    peer.respond();
                }
            }
            assertEquals(offered.size(), ended.size(), "every attempt ends once");
            long served = ended.stream().filter(offered::contains).distinct().count();
            assertEquals(
                    served,
                    peers.stream().mapToInt(each -> each.requests).sum(),
                    "attempts that were not served were never sent");
            assertTrue(
                    served == offered.size() || peers.get(0).leftWithoutResponse,
                    "an attempt failed without cause: " + ended);
            if (peers.size() == 1 && served == offered.size()) {
                assertEquals(offered, ended, "served in order");
            }
            transport.close();
            peers.forEach(each -> each.channel.finishAndReleaseAll());
            peers.forEach(each -> each.received.release());
        }
    }

    private static void permute(char[] events, int from, Runnable each) {
        if (from == events.length) {
            each.run();
            return;
        }
        StringBuilder used = new StringBuilder();
        for (int i = from; i < events.length; i++) {
            if (used.indexOf(String.valueOf(events[i])) < 0) {
                used.append(events[i]);
                swap(events, from, i);
                permute(events, from + 1, each);
                swap(events, from, i);
            }
        }
    }

    private static void swap(char[] events, int one, int other) {
        char first = events[one];
        events[one] = events[other];
        events[other] = first;
    }

    private static int runAllOrders(String events, IntConsumer connections) {
        int[] scenarios = new int[1];
        char[] order = events.toCharArray();
        permute(order, 0, () -> {
            try {
                Scenario scenario = new Scenario();
                for (char event : order) {
                    scenario.apply(event);
                }
                scenario.finish();
                connections.accept(scenario.peers.size());
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError(new String(order) + ": " + e.getMessage(), e);
            }
            scenarios[0]++;
        });
        return scenarios[0];
    }

    /** Two available streams and two requests need one connection, in every order of events. */
    @Test
    void oneConnectionIsUsedWhenItHasEnoughStreams() {
        assertEquals(180, runAllOrders("uottaa", connections -> assertEquals(1, connections)));
    }

    /**
     * More requests than available streams, a raised limit and a GOAWAY: every request is served or was never
     * sent, and no connection is opened without need.
     */
    @Test
    void everyOrderOfEventsServesAllRequests() {
        assertEquals(
                30_240,
                runAllOrders("uooottagr", connections -> assertTrue(connections <= 4, "connections: " + connections)));
    }
}
