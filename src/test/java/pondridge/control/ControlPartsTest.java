package pondridge.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;

/** Tests the classes that decide, each by itself. */
class ControlPartsTest {
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final RelaySelector.Limits SELECTION_LIMITS =
            new RelaySelector.Limits(2 * SECOND_NANOS, SECOND_NANOS / 2, 8 * SECOND_NANOS, 60 * SECOND_NANOS);
    private static final UpdateScheduler.Limits SCHEDULER_LIMITS =
            new UpdateScheduler.Limits(2_048, 16_384, 1e6, 100, 10, 0, SECOND_NANOS, SECOND_NANOS);

    @Test
    void namesRoundTripAndInvalidGroupsAreRejected() {
        assertEquals(List.of("u007+1*2+5"), NameRanges.pack(List.of("u014", "u007", "u009", "u008")));
        assertEquals(List.of("u007", "u008", "u009", "u014"), NameRanges.unpack("u007+1*2+5"));
        Random random = new Random(1);
        for (int round = 0; round < 500; round++) {
            TreeSet<String> names = new TreeSet<>();
            for (int i = random.nextInt(40); i >= 0; i--) {
                int number = random.nextInt(random.nextBoolean() ? 30 : 2_000_000_000);
                names.add(
                        switch (random.nextInt(4)) {
                            case 0 -> "u" + number;
                            case 1 -> String.format("%03d", number);
                            case 2 -> "web-" + number + "-x";
                            default -> String.format("z%012d", number);
                        });
            }
            List<String> unpacked = new ArrayList<>();
            NameRanges.pack(List.copyOf(names)).forEach(each -> unpacked.addAll(NameRanges.unpack(each)));
            assertEquals(List.copyOf(names), unpacked.stream().sorted().toList(), "round " + round);
        }
        for (String each :
                List.of("", "u+1", "u1+0", "u1+1*0", "u1+9", "u1+x", "u000000001+1*999999999", "a b", "u1+1*", "+1")) {
            assertThrows(IllegalArgumentException.class, () -> NameRanges.unpack(each), each);
        }
    }

    @Test
    void instancesThatLoseARelaySpreadOverTheOthersAndOverTime() {
        List<String> relays = List.of("a", "b", "c", "d", "e", "f", "g", "h");
        Map<String, Integer> shares = new HashMap<>();
        Map<String, Integer> newShares = new HashMap<>();
        Map<Long, Integer> dialsByTenth = new HashMap<>();
        for (int i = 0; i < 2_700; i++) {
            RelaySelector selector = new RelaySelector("i" + i, relays, SELECTION_LIMITS);
            String first = selector.nextDial(0).relay();
            shares.merge(first, 1, Integer::sum);
            if (first.equals("c")) {
                long dialNanos = selector.connectionLost("c", 0);
                assertTrue(dialNanos >= 0 && dialNanos <= 2 * SECOND_NANOS);
                dialsByTenth.merge(dialNanos / (SECOND_NANOS / 5), 1, Integer::sum);
                newShares.merge(selector.nextDial(dialNanos).relay(), 1, Integer::sum);
            }
        }
        assertEquals(8, shares.size());
        assertTrue(shares.values().stream().allMatch(each -> each > 270 && each < 405), shares.toString());
        assertEquals(7, newShares.size(), "its share is spread over all other relays");
        assertTrue(newShares.values().stream().allMatch(each -> each < 90), newShares.toString());
        assertTrue(dialsByTenth.values().stream().allMatch(each -> each < 70), dialsByTenth.toString());
    }

    @Test
    void anInstanceReturnsToItsPreferredRelay() {
        RelaySelector selector = new RelaySelector("i", List.of("a", "b"), SELECTION_LIMITS);
        String first = selector.nextDial(0).relay();
        selector.recordFailure(first, 0);
        String second = selector.nextDial(0).relay();
        assertEquals(Long.MAX_VALUE, selector.failbackAtNanos(first, 0));
        long failbackNanos = selector.failbackAtNanos(second, 0);
        assertTrue(failbackNanos >= 60 * SECOND_NANOS && failbackNanos <= 120 * SECOND_NANOS);
        selector.failBack();
        assertEquals(first, selector.nextDial(0).relay());
    }

    /**
     * 2,700 instances that connect at once to eight relays, each of which serves a hundred new watchers a
     * second, are all served within 4.1 s.
     */
    @Test
    void aReconnectingRegionIsServedWithinTheJoinLimit() {
        int watchers = 2_700 / 8 + 67;
        ResourceStore store = SourceState.newEpoch(1, 16);
        UpdateScheduler scheduler = new UpdateScheduler(
                new UpdateScheduler.Limits(
                        2_048, 16_384, 1e6, 100, 1_500, SECOND_NANOS, 60 * SECOND_NANOS, SECOND_NANOS),
                () -> store,
                now -> 0);
        long last = 0;
        for (int i = 0; i < watchers; i++) {
            scheduler.addWatcher(i, new Hello("i" + i, List.of("s"), false, Version.NONE), 0);
            long firstUpdateNanos = scheduler.nextAction(i, 0).update() != null
                    ? 0
                    : scheduler.nextAction(i, 0).nextCheckNanos();
            assertTrue(firstUpdateNanos <= 0
                    || scheduler.nextAction(i, firstUpdateNanos - 1).update() == null);
            last = Math.max(last, firstUpdateNanos);
        }
        assertEquals((watchers - 1) * SECOND_NANOS / 100, last);
    }

    private static ResourceStore commit(ResourceStore base, String service, String name, String state) {
        SourceState source = new SourceState(base, 0, 100);
        source.put(new Resource(service, name, state, "b"), 0);
        source.prepareCommit();
        source.commitSucceeded();
        return source.committed();
    }

    @Test
    void aFollowerThatLacksNoChangeCountsAsNewestAndTheLowestVersionIsReported() {
        ResourceStore[] current = {SourceState.newEpoch(1, 16)};
        UpdateScheduler scheduler = new UpdateScheduler(SCHEDULER_LIMITS, () -> current[0], now -> 0);
        for (int i = 0; i < 4; i++) {
            scheduler.addWatcher(i, new Hello("f" + i, List.of(i < 3 ? "a" : "b"), false, new Version(1, 1)), 0);
        }
        current[0] = commit(current[0], "b", "u1", "SERVING");
        assertEquals(new PropagationStatus(4, new Version(1, 1), List.of("f3")), scheduler.propagationStatus());
        current[0] = commit(current[0], "b", "u1", "DRAINING");
        scheduler.addWatcher(9, new Hello("relay", List.of(), true, new Version(1, 2)), 0);
        scheduler.handleAck(
                9,
                new Ack(
                        0,
                        new Version(1, 2),
                        FollowerState.ApplyResult.UNCHANGED,
                        new PropagationStatus(7, new Version(1, 2), List.of("x", "y", "z"))));
        assertEquals(11, scheduler.propagationStatus().followerCount());
        assertEquals(new Version(1, 1), scheduler.propagationStatus().lowestVersion());
        assertEquals(3, scheduler.propagationStatus().laggingInstances().size());
        PropagationStatus one = new PropagationStatus(1, new Version(2, 1), List.of());
        PropagationStatus other = new PropagationStatus(1, new Version(1, 9), List.of());
        assertEquals(new Version(1, 9), one.plus(other).lowestVersion());
        assertEquals(one.plus(other), other.plus(one));
        assertEquals(one, one.plus(PropagationStatus.NONE));
    }

    /**
     * This holds even if the digest happens to match: the changes before the base of the delta would be
     * missing.
     */
    @Test
    void aDeltaFromAVersionThatIsNotHeldIsRejected() {
        FollowerState follower = new FollowerState("f", List.of(), false, 0);
        assertEquals(
                FollowerState.ApplyResult.APPLIED,
                follower.apply(new Update(1, new Version(1, 5), true, 0, 0, List.of(), List.of(), 0, 0), 0));
        assertEquals(
                FollowerState.ApplyResult.GAP,
                follower.apply(new Update(2, new Version(1, 9), false, 6, 0, List.of(), List.of(), 0, 0), 0));
        assertEquals(
                FollowerState.ApplyResult.GAP,
                follower.apply(new Update(3, new Version(2, 9), false, 5, 0, List.of(), List.of(), 0, 0), 0));
        assertEquals(new Version(1, 5), follower.version());
        assertEquals(
                FollowerState.ApplyResult.UNCHANGED,
                follower.apply(new Update(4, new Version(1, 9), false, 4, 0, List.of(), List.of(), 0, 0), 0));
        assertEquals(
                FollowerState.ApplyResult.SENDER_BEHIND,
                follower.apply(new Update(5, new Version(1, 8), true, 0, 0, List.of(), List.of(), 0, 0), 0));
        assertEquals(new Version(1, 9), follower.version());
    }

    @Test
    void manyChangesOfAKeyAreCombinedIntoOne() {
        ResourceStore store = SourceState.newEpoch(1, 16);
        store = commit(store, "a", "u1", "SERVING");
        long sinceNumber = store.version().number();
        for (int i = 0; i < 30; i++) {
            store = commit(store, "a", "u1", i % 2 == 0 ? "DRAINING" : "SERVING");
            store = commit(store, "a", "u2", i % 2 == 0 ? "SERVING" : Resource.DELETED);
        }
        List<Change> changes = store.changesSince(sinceNumber, List.of("a"), false);
        assertEquals(2, changes.size());
        assertTrue(changes.contains(new Change("a", "u1", "SERVING", null, 0, 0)));
        assertTrue(changes.contains(new Change("a", "u2", Resource.DELETED, null, 0, 0)));
    }

    @Test
    void aCorruptStateFileIsRejectedByName(@TempDir Path directory) throws IOException {
        Path path = directory.resolve("state");
        StateFile file = new StateFile(path, 16);
        assertNull(file.read());
        ResourceStore store = commit(commit(SourceState.newEpoch(1, 16), "a", "u1", "SERVING"), "a", "u2", "DRAINING");
        store = commit(store, "a", "u1", Resource.DELETED);
        file.write(store);
        ResourceStore restored = file.read();
        assertEquals(store.version(), restored.version());
        assertEquals(store.digest(List.of()), restored.digest(List.of()));
        assertEquals(store.changesSince(1, List.of(), true), restored.changesSince(1, List.of(), true));
        byte[] intact = Files.readAllBytes(path);
        Random random = new Random(3);
        for (int round = 0; round < 200; round++) {
            byte[] damaged =
                    java.util.Arrays.copyOf(intact, round % 2 == 0 ? random.nextInt(intact.length) : intact.length);
            if (round % 2 == 1) {
                damaged[random.nextInt(damaged.length)] ^= (byte) (1 << random.nextInt(8));
            }
            Files.write(path, damaged);
            IOException problem = assertThrows(IOException.class, file::read, "round " + round);
            assertTrue(problem.getMessage().startsWith(path + ": corrupt: "), problem.getMessage());
        }
    }

    @Test
    void anInvalidLineOfTheFeedIsReported(@TempDir Path directory) throws IOException {
        Path path = directory.resolve("feed");
        Files.writeString(path, "{\"service\":\"a\",\"name\":\"u1\"," + "\"body\":\"x\"}\n\n{\"service\":\"a b\"}\n");
        String message =
                assertThrows(IOException.class, () -> FeedFile.read(path)).getMessage();
        assertTrue(message.startsWith(path + ": line 3: service: expected 1 to 64 letters"), message);
    }

    @Test
    void settingsAreOffByDefaultAndErrorsNameTheKey(@TempDir Path directory) {
        assertEquals(
                ControlSettings.Role.OFF,
                ControlSettings.of(SettingsFile.parse("t", ""), directory).role());
        Map<String, String> bad = Map.of(
                "role = \"source\"\n",
                "listen",
                "role = \"relay\"\nlisten = " + "\"127.0.0.1:1\"\n",
                "above",
                "role = \"follower\"\nabove = [\"x:1\"]\n",
                "above",
                "instance = \"a b\"\n",
                "instance",
                "silence = \"3s\"\n",
                "silence",
                "stale = \"3\"\n",
                "stale");
        bad.forEach((text, key) -> {
            String message = assertThrows(
                            SettingsException.class,
                            () -> ControlSettings.of(SettingsFile.parse("t", "[control]\n" + text), directory),
                            text)
                    .getMessage();
            assertTrue(message.contains("control." + key), message);
        });
    }
}
