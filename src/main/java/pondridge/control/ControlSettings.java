package pondridge.control;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import pondridge.settings.Section;
import pondridge.settings.SettingsFile;

/**
 * The section {@code [control]}; times in nanoseconds.
 *
 * @param role what this process is
 * @param instance its name, one of its own
 * @param listen where a source or a relay takes watchers
 * @param stateFile of the source
 * @param feed of the source: what is to be in force; null for none
 * @param above whom a relay or a follower may call: relays, or the source
 * @param services that a follower follows; empty for all
 * @param serving how watchers are served
 * @param choice how relays are chosen
 * @param silence a call without a word for so long is over
 * @param stale a relay whose word is older is left for another one
 * @param fold the source collects changes for so long
 * @param report a relay tells its sums so often, if they are new
 * @param markers of what has gone are kept at most
 * @param entries at most
 * @param longestMessage that is taken, in bytes
 */
public record ControlSettings(
        Role role,
        String instance,
        InetSocketAddress listen,
        Path stateFile,
        Path feed,
        List<InetSocketAddress> above,
        List<String> services,
        Serving.Limits serving,
        RelayChoice.Limits choice,
        long silence,
        long stale,
        long fold,
        long report,
        int markers,
        int entries,
        int longestMessage) {
    /** What a process is. */
    public enum Role {
        OFF,
        SOURCE,
        RELAY,
        FOLLOWER
    }

    /** Reads a whole file that holds nothing else. */
    public static ControlSettings read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        ControlSettings read = of(file, path.toAbsolutePath().getParent());
        file.finish();
        return read;
    }

    /** Reads the section {@code [control]}; the role is off where the file has none. */
    public static ControlSettings of(SettingsFile file, Path folder) {
        Section section = file.section("control");
        Role role = Role.valueOf(section.word("role", "off", List.of("off", "source", "relay", "follower"))
                .toUpperCase(Locale.ROOT));
        String instance = section.text(
                "instance",
                String.format(Locale.ROOT, "i%016x", ThreadLocalRandom.current().nextLong()));
        String listen = section.text("listen", "none");
        String stateFile = section.text("state_file", "none");
        String feed = section.text("feed", "none");
        List<InetSocketAddress> above = new ArrayList<>();
        for (String each : section.texts("above")) {
            above.add(address(section, "above", each));
        }
        List<String> services = section.texts("services");
        try {
            new Hello(instance, services, false, Version.NONE);
        } catch (IllegalArgumentException e) {
            throw section.contradiction("instance or services", e.getMessage());
        }
        boolean serves = role == Role.SOURCE || role == Role.RELAY;
        if (serves && listen.equals("none")) {
            throw section.contradiction("listen", "expected an address and a port for role " + name(role));
        }
        if (role == Role.SOURCE && stateFile.equals("none")) {
            throw section.contradiction("state_file", "expected a file for role source");
        }
        if ((role == Role.RELAY || role == Role.FOLLOWER) && above.isEmpty()) {
            throw section.contradiction("above", "expected whom to call, for role " + name(role));
        }
        if (role == Role.SOURCE && !above.isEmpty()) {
            throw section.contradiction("above", "of no use for role source");
        }
        long beat = section.time("beat", "2s", "10ms", "1min");
        long silence = section.time("silence", "7s", "20ms", "10min");
        if (silence < 2 * beat) {
            throw section.contradiction("silence", "less than twice beat: each lost word would end a call");
        }
        long stale = section.time("stale", "15s", "20ms", "60min");
        if (stale < 2 * beat) {
            throw section.contradiction("stale", "less than twice beat: a good relay would be left");
        }
        return new ControlSettings(
                role,
                instance,
                serves ? address(section, "listen", listen) : null,
                stateFile.equals("none") ? null : folder.resolve(stateFile),
                feed.equals("none") ? null : folder.resolve(feed),
                above,
                services,
                new Serving.Limits(
                        section.size("bytes_per_second", "2KiB", "64B", "1MiB"),
                        section.size("burst", "16KiB", "1KiB", "64MiB"),
                        section.size("relay_bytes_per_second", "1MiB", "1KiB", "64MiB"),
                        section.fraction("joins_per_second", 100, 0.1, 1e6),
                        section.number("most_watchers", 1_500, 1, 100_000),
                        section.time("gap", "1s", "0ms", "1min"),
                        beat,
                        section.time("ack_within", "10s", "20ms", "10min")),
                new RelayChoice.Limits(
                        section.time("spread", "2s", "0ms", "10min"),
                        section.time("pause", "500ms", "1ms", "10min"),
                        section.time("longest_pause", "8s", "1ms", "60min"),
                        section.time("home", "5min", "10ms", "60min")),
                silence,
                stale,
                section.time("fold", "500ms", "10ms", "1min"),
                section.time("report", "500ms", "10ms", "1min"),
                section.number("markers", 8_192, 16, 1 << 20),
                section.number("entries", 65_536, 1, 1 << 20),
                section.size("message", "32MiB", "64KiB", "256MiB"));
    }

    private static String name(Role role) {
        return role.name().toLowerCase(Locale.ROOT);
    }

    /** The same for another follower. */
    public ControlSettings as(String other, List<String> its) {
        return new ControlSettings(
                role,
                other,
                listen,
                stateFile,
                feed,
                above,
                its,
                serving,
                choice,
                silence,
                stale,
                fold,
                report,
                markers,
                entries,
                longestMessage);
    }

    private static InetSocketAddress address(Section section, String key, String text) {
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host != null && port >= (key.equals("listen") ? 0 : 1) && port <= 0xffff) {
                return new InetSocketAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw section.contradiction(key, "expected an address and a port, found \"" + text + '"');
    }
}
