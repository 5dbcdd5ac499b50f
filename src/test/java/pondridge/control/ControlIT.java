package pondridge.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pondridge.demo.ChildProcess;

/**
 * Runs the packaged program in several processes: one relay is killed, another is stopped, the source is
 * killed.
 */
class ControlIT {
    private static final String TIMING = "beat = \"300ms\"\nsilence = \"1500ms\"\nstale = \"6s\"\n"
            + "fold = \"50ms\"\ngap = \"50ms\"\nspread = \"300ms\"\nack_within = \"3s\"\nreport = \"100ms\"\n"
            + "bytes_per_second = \"64KiB\"\n";
    private final List<ChildProcess> children = new ArrayList<>();
    private final List<ChildProcess.LogLine> lines = new CopyOnWriteArrayList<>();

    @TempDir
    private Path folder;

    @AfterEach
    void killChildren() {
        children.forEach(ChildProcess::kill);
    }

    private ChildProcess start(String name, String role, String extraSettings) throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(
                file, "[control]\nrole = \"" + role + "\"\ninstance = \"" + name + "\"\n" + TIMING + extraSettings);
        ChildProcess child = ChildProcess.start(
                name,
                "pondridge.cli.Bankflow",
                List.of("control", "--settings", file.toString(), "--with-parent"),
                Map.of(),
                lines::add);
        children.add(child);
        child.awaitLine(line -> line.event().equals("ready"));
        return child;
    }

    private static String address(ChildProcess child) throws IOException {
        return child.awaitLine(line -> line.event().equals("ready"))
                .json()
                .path("detail")
                .asText();
    }

    private void writeFeed(int version) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            text.append("{\"service\":\"svc")
                    .append(i % 5)
                    .append("\",\"name\":\"u")
                    .append(i)
                    .append("\",\"body\":\"127.0.0.1:")
                    .append(1_000 + i)
                    .append(" z1 m1 0 1 0\"}\n");
        }
        text.append("{\"service\":\"svc1\",\"name\":\"@version\",\"state\":\"SET\",\"body\":\"")
                .append(version)
                .append("\"}\n");
        Path newFile = folder.resolve("feed.new");
        Files.writeString(newFile, text);
        Files.move(
                newFile, folder.resolve("feed"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static String appliedDetail(ChildProcess follower, String number) throws IOException {
        return follower.awaitLine(line -> line.event().equals("applied")
                        && line.json().path("detail").asText().contains("." + number + ' '))
                .json()
                .path("detail")
                .asText();
    }

    private static String relayOf(ChildProcess follower, long afterNanos) throws IOException {
        return follower.awaitLine(line -> line.event().equals("following") && line.receivedAtNanos() > afterNanos)
                .json()
                .path("peer")
                .asText();
    }

    @Test
    void aFollowerMovesToAnotherRelayWhenItsRelayIsKilledOrStopped() throws IOException {
        writeFeed(1);
        String sourceSettings = "feed = \"feed\"\nstate_file = \"state\"\n";
        ChildProcess source = start("source", "source", "listen = \"127.0.0.1:0\"\n" + sourceSettings);
        String sourceAddress = address(source);
        ChildProcess[] relays = new ChildProcess[2];
        String[] relayAddresses = new String[2];
        for (int i = 0; i < 2; i++) {
            relays[i] = start("r" + i, "relay", "listen = \"127.0.0.1:0\"\nabove = [\"" + sourceAddress + "\"]\n");
            relayAddresses[i] = address(relays[i]);
        }
        ChildProcess follower = start(
                "f1",
                "follower",
                "services = [\"svc1\"]\nabove = [\"" + relayAddresses[0] + "\", \"" + relayAddresses[1] + "\"]\n");
        assertTrue(appliedDetail(follower, "2").endsWith("FULL 20 entries 1 settings"));

        int first = relayOf(follower, Long.MIN_VALUE).equals(relayAddresses[0]) ? 0 : 1;
        long killedNanos = System.nanoTime();
        relays[first].kill();
        writeFeed(2);
        assertTrue(appliedDetail(follower, "3").endsWith("DELTA 0 entries 1 settings"));
        assertEquals(relayAddresses[1 - first], relayOf(follower, killedNanos));

        relays[first] = start(
                "r" + first,
                "relay",
                "listen = \"" + relayAddresses[first] + "\"\nabove = [\"" + sourceAddress + "\"]\n");
        long stoppedNanos = System.nanoTime();
        relays[1 - first].pause(6_000);
        writeFeed(3);
        assertTrue(appliedDetail(follower, "4").endsWith("DELTA 0 entries 1 settings"));
        assertEquals(relayAddresses[first], relayOf(follower, stoppedNanos));

        source.kill();
        start("source2", "source", "listen = \"" + sourceAddress + "\"\n" + sourceSettings);
        writeFeed(4);
        assertTrue(appliedDetail(follower, "5").endsWith("DELTA 0 entries 1 settings"));
        assertTrue(lines.stream().noneMatch(line -> line.event().equals("refused")));
    }
}
