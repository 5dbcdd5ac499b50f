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
import pondridge.Options;
import pondridge.core.Job;

/**
 * The pool on its connections, with the loop's turns run by hand: what a connection reads, what is offered
 * and when the loop gets to its tasks come in every order. No sockets, no threads, no waiting.
 */
class TurnsTest {
    private static final int HEADERS = 1;
    private static final int LIMIT = 2;
    private static final int PREFACE = 24;

    /** The server's end of one connection: what it has been sent, and what it answers. */
    private static final class Peer {
        private final EmbeddedChannel channel;
        private final ByteBuf received = Unpooled.buffer();
        private final TreeSet<Integer> open = new TreeSet<>();
        private int parsed = PREFACE;
        private int limit = -1;
        private int requests;
        private boolean leaving;
        private boolean answered;
        /** It left before it had answered anything: the next one may not be dialled at once. */
        private boolean useless;

        Peer(ChannelInitializer<Channel> initializer) {
            channel = new EmbeddedChannel(initializer);
        }

        void read() {
            if (channel.isOpen()) {
                channel.flushOutbound();
            }
            for (ByteBuf sent = channel.readOutbound(); sent != null; sent = channel.readOutbound()) {
                received.writeBytes(sent);
                sent.release();
            }
            while (received.writerIndex() >= parsed + 9) {
                int type = received.getByte(parsed + 3);
                if (type == HEADERS) {
                    open.add(received.getInt(parsed + 5));
                    requests++;
                    assertTrue(open.size() <= limit || leaving, "above the limit");
                }
                parsed += 9 + received.getUnsignedMedium(parsed);
            }
        }

        private void send(int type, int flags, int stream, byte... payload) {
            if (!channel.isOpen()) {
                return;
            }
            byte[] frame = Http2UpstreamsTest.frame(type, flags, stream, payload);
            channel.writeInbound(Unpooled.wrappedBuffer(frame));
            read();
        }

        /** SETTINGS with this limit of streams. */
        void settings(int most) {
            read();
            limit = most;
            send(4, 0, 0, (byte) 0, (byte) 3, (byte) 0, (byte) 0, (byte) 0, (byte) most);
        }

        /** Answers the oldest request with 200 (RFC 7541, static table, 8). */
        void answer() {
            read();
            if (!open.isEmpty()) {
                answered = true;
                send(HEADERS, 5, open.pollFirst(), (byte) 0x88);
            }
        }

        /** A graceful GOAWAY: nothing is denied. */
        void goAway() {
            if (limit >= 0 && !leaving) {
                leaving = true;
                useless = !answered;
                send(7, 0, 0, (byte) 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0, (byte) 0, (byte) 0, (byte)
                        0);
            }
        }
    }

    /** One playing of an order of events. */
    private static final class Play {
        private final EmbeddedChannel loop = new EmbeddedChannel();
        private final List<Peer> peers = new ArrayList<>();
        private final List<String> ended = new ArrayList<>();
        private final List<String> offered = new ArrayList<>();
        private final Http2Upstreams transport;

        Play() {
            transport = new Http2Upstreams(
                    loop.eventLoop(),
                    new Options("caps.connIdle=60000000000"),
                    SoakTest.options("stream_wait = \"10s\"\nsettings_wait = \"10s\""),
                    Proof.RFC9113,
                    1,
                    this::dial);
            transport.listed(1, Direct.local(9), 0, true);
            offer();
        }

        private ChannelFuture dial(InetSocketAddress address, int timeoutMs, ChannelInitializer<Channel> initializer) {
            peers.forEach(Peer::read);
            int sent = peers.stream().mapToInt(each -> each.requests).sum();
            int room = peers.stream()
                    .filter(each -> !each.leaving && each.channel.isActive())
                    .mapToInt(each -> Math.max(0, each.limit) - each.open.size())
                    .sum();
            assertTrue(
                    offered.size() - sent > room,
                    "a dial for " + (offered.size() - sent) + " that wait, and there is room for " + room);
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
                    Direct.LONG,
                    (outcome, answer, load) -> ended.add(outcome == Outcome.OK ? id : id + outcome));
        }

        void event(char what) {
            Peer first = peers.get(0);
            switch (what) {
                case 'u' -> first.settings(LIMIT);
                case 'o' -> offer();
                case 't' -> loop.runPendingTasks();
                case 'a' -> first.answer();
                case 'r' -> first.settings(LIMIT + 2);
                case 'g' -> first.goAway();
                default -> throw new IllegalArgumentException();
            }
        }

        /** Lets all that is on its way happen, and sees that nothing is left. */
        void finish() {
            for (int i = 0; i < 2 * offered.size() && ended.size() < offered.size(); i++) {
                loop.runPendingTasks();
                for (Peer peer : List.copyOf(peers)) {
                    if (peer.limit < 0) {
                        peer.settings(LIMIT);
                    }
                    loop.runPendingTasks();
                    peer.answer();
                }
            }
            assertEquals(offered.size(), ended.size(), "each ends once");
            long served = ended.stream().filter(offered::contains).distinct().count();
            assertEquals(served, peers.stream().mapToInt(each -> each.requests).sum(), "the rest never left");
            assertTrue(served == offered.size() || peers.get(0).useless, "without need: " + ended);
            if (peers.size() == 1 && served == offered.size()) {
                assertEquals(offered, ended, "the first first");
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
        StringBuilder tried = new StringBuilder();
        for (int i = from; i < events.length; i++) {
            if (tried.indexOf(String.valueOf(events[i])) < 0) {
                tried.append(events[i]);
                swap(events, from, i);
                permute(events, from + 1, each);
                swap(events, from, i);
            }
        }
    }

    private static void swap(char[] events, int one, int other) {
        char kept = events[one];
        events[one] = events[other];
        events[other] = kept;
    }

    private static int playAll(String events, IntConsumer connections) {
        int[] played = new int[1];
        char[] order = events.toCharArray();
        permute(order, 0, () -> {
            try {
                Play play = new Play();
                for (char event : order) {
                    play.event(event);
                }
                play.finish();
                connections.accept(play.peers.size());
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError(new String(order) + ": " + e.getMessage(), e);
            }
            played[0]++;
        });
        return played[0];
    }

    /** Two streams' room and two requests: one connection, whatever comes first. */
    @Test
    void oneConnectionDoesForWhatItHasRoomFor() {
        assertEquals(180, playAll("uottaa", connections -> assertEquals(1, connections)));
    }

    /** More than there is room for, a raised limit, a GOAWAY: served or never sent, no dial without need. */
    @Test
    void everyOrderOfEventsServesAll() {
        assertEquals(
                30_240,
                playAll("uooottagr", connections -> assertTrue(connections <= 4, "connections: " + connections)));
    }
}
