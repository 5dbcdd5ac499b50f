package pondridge.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pondridge.Balancer.UpstreamState;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;

/**
 * Tests the computations of a scale run, the parsing of its file, and short runs with up to fifty hollow sidecars
 * and two real ones.
 */
class ScaleTest {
    private static final String SHORT =
            """
            [scale]
            seed = %d
            sizes = [20, 50]
            entries = 24
            zones = 4
            loops = 1
            ask_within = "2s"
            hosting = "loop"
            per_second = 40
            limit = "60s"
            [cases]
            churn = { do = "churn", per_second = 20, for = "1s" }
            singly = { do = "zone-gone", for = "500ms" }
            folded = { do = "zone-gone", told = "folded", for = "500ms" }
            join = { do = "join" }
            killed = { do = "killed", for = "1s" }
            cut = { do = "region-cut", part = 0.4, for = "1s" }
            """;

    private static final String RELAYED =
            """
            [scale]
            seed = %d
            way = "control"
            sizes = [50]
            entries = 24
            zones = 2
            services = 8
            follows = 2
            loops = 1
            [control]
            beat = "200ms"
            silence = "1500ms"
            fold = "50ms"
            gap = "50ms"
            report = "50ms"
            spread = "300ms"
            pause = "100ms"
            home = "1s"
            joins_per_second = 200
            [cases]
            one = { do = "churn", per_second = 1, for = "1s" }
            folded = { do = "zone-gone", told = "folded", for = "500ms" }
            join = { do = "join" }
            relay = { do = "killed", change = "before", for = "1s" }
            source = { do = "source-killed", for = "500ms" }
            cut = { do = "region-cut", part = 0.4, for = "1s" }
            """;

    private static ScalePlan plan(String text) {
        SettingsFile file = SettingsFile.parse("scale.toml", text);
        ScalePlan plan = ScalePlan.of(file);
        file.rejectUnknownKeys();
        return plan;
    }

    /**
     * Checks counts and bounds, not times: every change reaches every follower, is sent to each once, and the ledger
     * is clean.
     */
    @Test
    @Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void shortRunReachesAllFollowers() throws Exception {
        long seed = Long.getLong("seed", System.nanoTime() & 0xffff);
        System.out.println("scale run, seed " + seed);
        ScaleReport report =
                new ScaleRun(plan(SHORT.formatted(seed)), ScaleRun.DistributionFactory.DISCOVERY, line -> {}).run();
        String lines = String.join("\n", report.lines());
        assertTrue(report.clean(), lines);
        assertEquals(12, report.results().size(), lines);
        for (CaseResult result : report.results()) {
            int followers = result.size() + 2;
            assertEquals(followers, result.sourceCounts().subscriptions(), lines);
            assertTrue(
                    result.propagation().p50Millis() <= result.propagation().p99Millis()
                            && result.propagation().p99Millis()
                                    <= result.propagation().lastMillis(),
                    lines);
            switch (result.step().name()) {
                case "churn" -> assertEquals(
                        20L * followers, result.sourceCounts().deltas(), lines);
                case "singly" -> assertEquals(
                        6L * followers, result.sourceCounts().deltas(), lines);
                case "folded" -> assertEquals(followers, result.sourceCounts().deltas(), lines);
                case "join" -> assertEquals(result.size(), result.sourceCounts().fullLists(), lines);
                case "killed" -> {
                    assertEquals(followers, result.sourceCounts().fullLists(), lines);
                    assertTrue(result.failedCallsInOutage() >= result.size(), lines);
                }
                default -> {
                    assertEquals(result.size() * 2 / 5, result.sourceCounts().fullLists(), lines);
                    assertEquals(
                            followers - result.size() * 2 / 5,
                            result.sourceCounts().deltas(),
                            lines);
                }
            }
            assertTrue(
                    result.sourceCpuNanos() > 0
                            && result.followerCpuNanos() > 0
                            && result.sourceCounts().bytes() > 0,
                    lines);
        }
        assertEquals(6 * 6 + 1, report.slopes().size(), lines);
    }

    private static List<Map.Entry<String, String>> invalidPlans(String... texts) {
        return IntStream.range(0, texts.length / 2)
                .mapToObj(i -> Map.entry(texts[2 * i], texts[2 * i + 1]))
                .toList();
    }

    /**
     * Distribution through two relays: every change reaches every follower, also when a relay is killed right after
     * a publication, and no follower needs the full list again for that. A change of one service is sent only to
     * the followers of the service.
     */
    @Test
    @Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void shortRunThroughRelaysReachesAllFollowers() throws Exception {
        long seed = Long.getLong("seed", System.nanoTime() & 0xffff);
        System.out.println("scale run through relays, seed " + seed);
        ScaleReport report =
                new ScaleRun(plan(RELAYED.formatted(seed)), ScaleRun.DistributionFactory.FROM_PLAN, line -> {}).run();
        String lines = String.join("\n", report.lines());
        assertTrue(report.clean(), lines);
        assertEquals(6, report.results().size(), lines);
        for (CaseResult result : report.results()) {
            ListDistribution.Counts relayCounts = result.relayCounts();
            assertEquals(50, relayCounts.subscriptions(), lines);
            assertTrue(
                    result.sourceCpuNanos() > 0 && result.relayCpuNanos() > 0 && result.followerCpuNanos() > 0, lines);
            assertTrue(result.sourceCounts().bytes() < relayCounts.bytes(), lines);
            switch (result.step().name()) {
                case "one" -> {
                    assertEquals(2, result.sourceCounts().deltas(), lines);
                    assertTrue(relayCounts.deltas() == 12 || relayCounts.deltas() == 13, lines);
                    assertEquals(0, relayCounts.fullLists(), lines);
                }
                case "folded" -> {
                    assertEquals(2, result.sourceCounts().deltas(), lines);
                    assertEquals(50, relayCounts.deltas(), lines);
                    assertEquals(0, relayCounts.fullLists(), lines);
                }
                case "join" -> assertEquals(50, relayCounts.fullLists() + relayCounts.deltas(), lines);
                case "relay" -> {
                    assertTrue(result.sourceCounts().fullLists() <= 1, lines);
                    assertEquals(0, relayCounts.fullLists(), lines);
                    assertTrue(relayCounts.deltas() >= 12 && relayCounts.deltas() <= 13, lines);
                }
                default -> assertEquals(0, relayCounts.fullLists(), lines);
            }
        }
    }

    @Test
    void fitsLeastSquaresLine() {
        Slope line = Slope.of(new double[] {100, 300, 1_000}, new double[] {205, 605, 2_005});
        assertEquals(2, line.value(), 1e-9);
        assertEquals(5, line.intercept(), 1e-9);
        assertEquals(0, line.relativeResidual(), 1e-9);
        Slope peak = Slope.of(new double[] {1, 2, 3}, new double[] {1, 4, 1});
        assertEquals(0, peak.value(), 1e-9);
        assertEquals(Math.sqrt(2) / 2, peak.relativeResidual(), 1e-9);
        assertThrows(IllegalArgumentException.class, () -> Slope.of(new double[] {5, 5}, new double[] {1, 2}));
    }

    /** A follower that skips versions counts as having all of them once it has the last. */
    @Test
    void laterVersionSupersedesEarlierOnes() {
        PropagationTracker tracker = new PropagationTracker(2);
        tracker.recordPublished(1, 0);
        tracker.recordPublished(2, 1_000_000_000);
        tracker.recordReceived(0, 1, 2_000_000);
        assertEquals(2, tracker.countMissing(2));
        tracker.recordReceived(1, 2, 1_004_000_000);
        tracker.recordReceived(1, 1, 9_000_000_000L);
        assertEquals(1, tracker.countMissing(2));
        assertEquals(2, tracker.propagationTimes().p50Millis() / 2, 0.01, "2, 4 and 1004 ms");
        assertEquals(1_004, tracker.propagationTimes().lastMillis(), 1);
        tracker.recordReceived(0, 2, 1_005_000_000);
        assertEquals(0, tracker.countMissing(2));
        tracker.clear(0);
        assertEquals(1, tracker.countMissing(1));
    }

    /**
     * Checks schedules against a plain model of the list: only available entries are removed, only unavailable ones
     * are restored, and the entries that are unavailable at the end are reported.
     */
    @Test
    void schedulesAreConsistentWithTheList() {
        Random random = new Random(5);
        for (int i = 0; i < 500; i++) {
            int entries = 1 + random.nextInt(60);
            int zones = 1 + random.nextInt(entries);
            boolean churn = random.nextBoolean();
            ScalePlan.Step step = new ScalePlan.Step(
                    "x",
                    churn ? ScalePlan.Act.CHURN : ScalePlan.Act.ZONE_GONE,
                    1_000_000_000,
                    1 + random.nextInt(50),
                    random.nextBoolean(),
                    false,
                    1);
            Schedule schedule = new Schedule(step, entries, zones, i);
            Set<Integer> unavailable = new HashSet<>();
            long previousNanos = 0;
            for (Schedule.Change change : schedule.changes()) {
                assertTrue(change.atNanos() >= previousNanos && change.atNanos() < step.durationNanos());
                previousNanos = change.atNanos();
                for (int entry : change.entries()) {
                    assertTrue(
                            change.state() == UpstreamState.READY ? unavailable.remove(entry) : unavailable.add(entry));
                }
            }
            assertEquals(unavailable, Set.copyOf(schedule.unavailable()));
            assertTrue(
                    churn
                            ? unavailable.size() <= Math.max(1, entries / 4)
                            : unavailable.stream()
                                            .map(entry -> entry % zones)
                                            .distinct()
                                            .count()
                                    == 1);
            assertEquals(
                    schedule.changes(),
                    new Schedule(step, entries, zones, i).changes(),
                    "the same seed draws the same schedule");
        }
    }

    @Test
    void readsShippedPlansAndReportsErrors() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("scale"))) {
            assertEquals(
                    6,
                    files.map(ScalePlan::read)
                            .filter(each -> each.largestSize() <= 3_000)
                            .count());
        }
        String cases = "[cases]\na = { do = \"join\" }\n";
        for (Map.Entry<String, String> each : invalidPlans(
                "",
                "cases: expected at least one section",
                "[cases]\na = { do = \"burn\" }",
                "cases.a.do: expected one of quiet, churn",
                "[cases]\na = { do = \"churn\", for = \"1ms\" }",
                "cases.a.for: expected at least one change",
                "[cases]\na = { do = \"silent\", for = \"1s\" }",
                "cases.a.for: expected 5s or more",
                "[cases]\na = { do = \"join\", for = 3 }",
                "cases.a.for: expected a time with its unit",
                "[scale]\nsizes = [0]\n" + cases,
                "scale.sizes: expected a list of whole numbers from 1",
                "[scale]\nentries = 2\n" + cases,
                "scale.zones: expected no more than entries",
                "[scale]\nsizes = [3000]\nentries = 16000\n" + cases,
                "scale.entries: expected at most 1333",
                "[scale]\nway = \"carrier\"\n" + cases,
                "scale.way: expected one of discovery, control",
                "[scale]\nrelays = 2\n" + cases,
                "scale.relays: unknown key",
                "[scale]\nway = \"control\"\nsidecars = 1\n" + cases,
                "scale.sidecars: expected 0",
                "[scale]\nway = \"control\"\nservices = 61\n" + cases,
                "scale.services: expected no more",
                "[scale]\nway = \"control\"\n[control]\nbeet = 1\n" + cases,
                "control.beet: unknown key",
                "[scale]\nsize = 3\n" + cases,
                "scale.size: unknown key")) {
            SettingsException failure = assertThrows(SettingsException.class, () -> plan(each.getKey()), each.getKey());
            assertTrue(failure.getMessage().contains(each.getValue()), failure::getMessage);
        }
        ScalePlan large = plan("[scale]\nsizes = [3000]\n" + cases);
        large.checkDescriptors(20_000);
        SettingsException failure = assertThrows(SettingsException.class, () -> large.checkDescriptors(4_096));
        assertTrue(
                failure.getMessage().startsWith("scale.toml: scale.sizes: needs ")
                        && failure.getMessage().contains("4096 (ulimit -n)"),
                failure::getMessage);
        assertEquals(List.of(3_000), large.sizes());
    }
}
