package pondridge.standin.redis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lettuce.core.RedisClient;
import io.lettuce.core.RedisCommandExecutionException;
import io.lettuce.core.RedisURI;
import io.lettuce.core.SetArgs;
import io.lettuce.core.api.StatefulRedisConnection;
import io.lettuce.core.api.sync.RedisCommands;
import io.lettuce.core.pubsub.RedisPubSubAdapter;
import io.lettuce.core.pubsub.StatefulRedisPubSubConnection;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pondridge.http1.StubServer;
import pondridge.http2.TransportHarness;
import pondridge.standin.redis.RedisStandin.Setup;
import redis.clients.jedis.Jedis;
import redis.clients.jedis.exceptions.JedisConnectionException;
import redis.clients.jedis.exceptions.JedisDataException;
import redis.clients.jedis.params.ScanParams;
import redis.clients.jedis.params.SetParams;
import redis.clients.jedis.resps.ScanResult;

/** The stand-in store with two public client libraries, its faults, and a seeded fuzz test of its parser. */
class RedisStandinTest {
    private static final int LIMIT_MS = (int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private RedisStandin store;

    private RedisStandin start(Setup setup) {
        store = new RedisStandin(group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), setup);
        return store;
    }

    private Jedis jedis() {
        return new Jedis("127.0.0.1", store.address().getPort(), LIMIT_MS);
    }

    @AfterEach
    void close() {
        store.close();
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void lettuceIsCompatible() throws Exception {
        start(new Setup("app", "secret", 1 << 20, true, 0, 100));
        RedisURI uri = RedisURI.builder()
                .withHost("127.0.0.1")
                .withPort(store.address().getPort())
                .withAuthentication("app", "secret".toCharArray())
                .withTimeout(Duration.ofMillis(LIMIT_MS))
                .build();
        RedisClient client = RedisClient.create(uri);
        try (StatefulRedisConnection<String, String> connection = client.connect()) {
            RedisCommands<String, String> redis = connection.sync();
            assertEquals("PONG", redis.ping());
            assertEquals("OK", redis.set("a", "1", SetArgs.Builder.px(60_000).nx()));
            assertNull(redis.set("a", "2", SetArgs.Builder.nx()));
            assertEquals("1", redis.setGet("a", "5"));
            assertEquals(12, redis.incrby("a", 7));
            assertEquals(-1, redis.pttl("a"));
            redis.hset("h", "f", "v");
            assertEquals("v", redis.hgetall("h").get("f"));
            redis.zadd("z", 2, "two");
            redis.zadd("z", 1, "one");
            assertEquals(List.of("one", "two"), redis.zrange("z", 0, -1));
            assertEquals(1.0, redis.zscore("z", "one"));
            redis.sadd("s", "x", "y");
            assertEquals(Set.of("x", "y"), redis.smembers("s"));
            assertTrue(assertThrows(RedisCommandExecutionException.class, () -> redis.get("s"))
                    .getMessage()
                    .startsWith("WRONGTYPE"));
            redis.watch("a");
            redis.multi();
            redis.incr("a");
            assertEquals(13L, (Long) redis.exec().get(0));
            redis.watch("a");
            try (Jedis other = jedis()) {
                other.auth("app", "secret");
                other.set("a", "changed");
            }
            redis.multi();
            redis.incr("a");
            assertTrue(redis.exec().wasDiscarded());
            BlockingQueue<String> receivedMessages = new LinkedBlockingQueue<>();
            try (StatefulRedisPubSubConnection<String, String> subscriber = client.connectPubSub()) {
                subscriber.addListener(new RedisPubSubAdapter<>() {
                    @Override
                    public void message(String channel, String message) {
                        receivedMessages.add(channel + "=" + message);
                    }
                });
                subscriber.sync().subscribe("news");
                assertEquals(1, redis.publish("news", "hi"));
                assertEquals("news=hi", receivedMessages.poll(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            }
        } finally {
            client.shutdown(0, 2, TimeUnit.SECONDS);
        }
    }

    @Test
    void jedisIsCompatibleAndGetsRedisErrors() {
        start(new Setup("default", "", 40_000, false, 0, 100));
        try (Jedis redis = jedis()) {
            assertEquals("OK", redis.set("k", "v", SetParams.setParams().ex(100)));
            assertTrue(redis.ttl("k") > 90);
            assertEquals(0, redis.del("none"));
            Set<String> names = new HashSet<>();
            for (int i = 0; i < 100; i++) {
                redis.set("scan:" + i, "1");
                names.add("scan:" + i);
            }
            Set<String> seen = new HashSet<>();
            String cursor = "0";
            do {
                ScanResult<String> some =
                        redis.scan(cursor, new ScanParams().match("scan:*").count(7));
                seen.addAll(some.getResult());
                cursor = some.getCursor();
            } while (!cursor.equals("0"));
            assertEquals(names, seen);
            assertTrue(assertThrows(JedisDataException.class, () -> {
                        for (int i = 0; i < 1_000; i++) {
                            redis.set("big" + i, "x".repeat(100));
                        }
                    })
                    .getMessage()
                    .startsWith("OOM"));
            store.setReadOnly(true);
            assertTrue(assertThrows(JedisDataException.class, () -> redis.set("k", "w"))
                    .getMessage()
                    .startsWith("READONLY"));
            store.faults().setLoadingErrors(true);
            assertTrue(assertThrows(JedisDataException.class, () -> redis.get("k"))
                    .getMessage()
                    .startsWith("LOADING"));
        }
    }

    /** Stale reads, expiry by the server's clock, failover that loses recent writes, and truncated replies. */
    @Test
    void failoverToALaggingReplicaLosesRecentWrites() throws Exception {
        start(new Setup("default", "", 1 << 20, true, 3_600_000, 100));
        try (Jedis redis = jedis()) {
            redis.set("k", "new");
            store.faults().setStaleReads(true);
            assertNull(redis.get("k"));
            store.faults().setStaleReads(false);
            assertEquals("new", redis.get("k"));
            redis.set("short", "v", SetParams.setParams().px(5_000));
            store.faults().setClockOffsetMillis(10_000);
            assertNull(redis.get("short"));
        }
        store.failOver();
        try (Jedis redis = jedis()) {
            assertNull(redis.get("k"));
        }
        store.faults().setTruncateReplies(true);
        assertThrows(JedisConnectionException.class, () -> {
            try (Jedis redis = jedis()) {
                redis.get("k");
            }
        });
    }

    /**
     * Valid requests parse the same however they are split. Corrupted input gives one error at most, and little
     * of it is buffered.
     */
    @Test
    void parserHandlesAnySplitAndMalformedInput() throws Exception {
        start(Setup.defaults());
        int errors = 0;
        for (long seed = 0; seed < 3_000; seed++) {
            Random random = new Random(seed);
            List<List<String>> expected = new ArrayList<>();
            StringBuilder wire = new StringBuilder();
            for (int i = 0; i < 5; i++) {
                List<String> request = new ArrayList<>();
                for (int j = 0; j <= random.nextInt(4); j++) {
                    byte[] word = new byte[random.nextInt(30)];
                    random.nextBytes(word);
                    request.add(new String(word, StandardCharsets.ISO_8859_1));
                }
                expected.add(request);
                wire.append('*').append(request.size()).append("\r\n");
                request.forEach(word -> wire.append('$')
                        .append(word.length())
                        .append("\r\n")
                        .append(word)
                        .append("\r\n"));
            }
            byte[] bytes = wire.toString().getBytes(StandardCharsets.ISO_8859_1);
            assertEquals(expected, parseInPieces(bytes, random), "seed " + seed);
            for (int i = 0; i < 5; i++) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                parseInPieces(bytes, random);
            } catch (RequestParser.ProtocolException e) {
                errors++;
                assertTrue(e.getMessage().startsWith("ERR Protocol error: "), "seed " + seed);
            }
        }
        assertTrue(errors > 500, "errors " + errors);
        for (String malformed : List.of(
                "*1000000\r\n",
                "*1\r\n$99999999999\r\n",
                "*1\r\n$-5\r\n",
                "*2\r\n$1\r\na\r\n:1\r\n",
                "set \"open\r\n",
                "x".repeat(70_000))) {
            try (Socket socket =
                    new Socket(store.address().getAddress(), store.address().getPort())) {
                socket.setSoTimeout(LIMIT_MS);
                StubServer.write(socket, malformed);
                String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                assertTrue(reply.startsWith("-ERR Protocol error: "), reply);
            }
        }
    }

    private static List<List<String>> parseInPieces(byte[] bytes, Random random)
            throws RequestParser.ProtocolException {
        RequestParser parser = new RequestParser(100, 10_000);
        List<List<String>> requests = new ArrayList<>();
        for (int at = 0; at < bytes.length; ) {
            int next = Math.min(bytes.length, at + 1 + random.nextInt(40));
            parser.feed(Arrays.copyOfRange(bytes, at, next));
            for (List<String> each = parser.next(); each != null; each = parser.next()) {
                requests.add(each);
            }
            assertTrue(parser.bufferedBytes() < 20_000);
            at = next;
        }
        return requests;
    }

    /** Output to a client that does not read is bounded, and a subscriber that does not read is disconnected. */
    @Test
    void slowReadersAreBounded() throws Exception {
        start(Setup.defaults());
        try (Socket slowClient =
                        new Socket(store.address().getAddress(), store.address().getPort());
                Socket stuckSubscriber =
                        new Socket(store.address().getAddress(), store.address().getPort());
                Jedis redis = jedis()) {
            redis.set("big", "x".repeat(100_000));
            StubServer.write(stuckSubscriber, "SUBSCRIBE news\r\n");
            TransportHarness.waitUntil(() -> redis.publish("news", "x") > 0, "the subscription");
            StubServer.startThread(() -> {
                try {
                    for (int i = 0; i < 5_000; i++) {
                        StubServer.write(slowClient, "GET big\r\n");
                    }
                } catch (IOException e) {
                    // The test has ended and closed the connection.
                    return;
                }
            });
            TransportHarness.waitUntil(
                    () -> redis.publish("news", "x".repeat(100_000)) == 0, "the disconnection of the stuck subscriber");
            assertTrue(store.commandCount() < 5_000, "requests of the slow client are no longer read");
            assertEquals("PONG", redis.ping());
        }
    }
}
