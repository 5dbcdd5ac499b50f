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
 * The section {@code [control]}; times are in nanoseconds.
 *
 * @param role of this process
 * @param instance unique name of this process
 * @param listenAddress where a source or a relay accepts watchers
 * @param stateFile of the source
 * @param feedFile file with the desired state, for the source; null for none
 * @param parentAddresses addresses that a relay or a follower may connect to: those of relays or of the source
 * @param services that a follower follows; empty for all
 * @param serving limits on watchers and updates
 * @param choice limits on reconnecting to relays
 * @param silence a connection without a message for this long is closed
 * @param stale a relay whose state is older than this is left for another one
 * @param fold how long the source collects changes before it commits them
 * @param report how often a relay reports the status of its followers, if it has changed
 * @param markers the most tombstones that are kept
 * @param entries the most entries and settings at the source
 * @param longestMessage the longest message that is accepted, in bytes
 */
public record ControlSettings(
        Role role,
        String instance,
        InetSocketAddress listenAddress,
        Path stateFile,
        Path feedFile,
        List<InetSocketAddress> parentAddresses,
        List<String> services,
        UpdateScheduler.Limits serving,
        RelaySelector.Limits choice,
        long silence,
        long stale,
        long fold,
        long report,
        int markers,
        int entries,
        int longestMessage) {
    /** The role of a process. */
    public enum Role {
        OFF,
        SOURCE,
        RELAY,
        FOLLOWER
    }

    /** Reads a file that holds this section only. */
    public static ControlSettings read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        ControlSettings read = of(file, path.toAbsolutePath().getParent());
        file.finish();
        return read;
    }

    /** Reads the section {@code [control]}. The role is off if the file does not have the section. */
    public static ControlSettings of(SettingsFile file, Path directory) {
        Section section = file.section("control");
        Role role = Role.valueOf(section.word("role", "off", List.of("off", "source", "relay", "follower"))
                .toUpperCase(Locale.ROOT));
        String instance = section.text(
                "instance",
                String.format(Locale.ROOT, "i%016x", ThreadLocalRandom.current().nextLong()));
        String listen = section.text("listen", "none");
        String stateFile = section.text("state_file", "none");
        String feed = section.text("feed", "none");
        List<InetSocketAddress> parentAddresses = new ArrayList<>();
        for (String each : section.texts("above")) {
            parentAddresses.add(address(section, "above", each));
        }
        List<String> services = section.texts("services");
        try {
            new Hello(instance, services, false, Version.NONE);
        } catch (IllegalArgumentException e) {
            throw section.contradiction("instance or services", e.getMessage());
        }
        boolean acceptsWatchers = role == Role.SOURCE || role == Role.RELAY;
        if (acceptsWatchers && listen.equals("none")) {
            throw section.contradiction("listen", "expected an address and a port for role " + roleName(role));
        }
        if (role == Role.SOURCE && stateFile.equals("none")) {
            throw section.contradiction("state_file", "expected a file for role source");
        }
        if ((role == Role.RELAY || role == Role.FOLLOWER) && parentAddresses.isEmpty()) {
            throw section.contradiction(
                    "above", "expected addresses of relays or of the source for role " + roleName(role));
        }
        if (role == Role.SOURCE && !parentAddresses.isEmpty()) {
            throw section.contradiction("above", "not used for role source");
        }
        long heartbeatNanos = section.time("beat", "2s", "10ms", "1min");
        long silenceNanos = section.time("silence", "7s", "20ms", "10min");
        if (silenceNanos < 2 * heartbeatNanos) {
            throw section.contradiction("silence", "less than twice beat: each lost message would close a connection");
        }
        long staleNanos = section.time("stale", "15s", "20ms", "60min");
        if (staleNanos < 2 * heartbeatNanos) {
            throw section.contradiction("stale", "less than twice beat: a healthy relay would be left");
        }
        return new ControlSettings(
                role,
                instance,
                acceptsWatchers ? address(section, "listen", listen) : null,
                stateFile.equals("none") ? null : directory.resolve(stateFile),
                feed.equals("none") ? null : directory.resolve(feed),
                parentAddresses,
                services,
                new UpdateScheduler.Limits(
                        section.size("bytes_per_second", "2KiB", "64B", "1MiB"),
                        section.size("burst", "16KiB", "1KiB", "64MiB"),
                        section.size("relay_bytes_per_second", "1MiB", "1KiB", "64MiB"),
                        section.fraction("joins_per_second", 100, 0.1, 1e6),
                        section.number("most_watchers", 1_500, 1, 100_000),
                        section.time("gap", "1s", "0ms", "1min"),
                        heartbeatNanos,
                        section.time("ack_within", "10s", "20ms", "10min")),
                new RelaySelector.Limits(
                        section.time("spread", "2s", "0ms", "10min"),
                        section.time("pause", "500ms", "1ms", "10min"),
                        section.time("longest_pause", "8s", "1ms", "60min"),
                        section.time("home", "5min", "10ms", "60min")),
                silenceNanos,
                staleNanos,
                section.time("fold", "500ms", "10ms", "1min"),
                section.time("report", "500ms", "10ms", "1min"),
                section.number("markers", 8_192, 16, 1 << 20),
                section.number("entries", 65_536, 1, 1 << 20),
                section.size("message", "32MiB", "64KiB", "256MiB"));
    }

    private static String roleName(Role role) {
        return role.name().toLowerCase(Locale.ROOT);
    }

    /** Returns the same settings for another follower. */
    public ControlSettings as(String otherInstance, List<String> otherServices) {
        return new ControlSettings(
                role,
                otherInstance,
                listenAddress,
                stateFile,
                feedFile,
                parentAddresses,
                otherServices,
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

    private static InetSocketAddress address(Section section, String key, String value) {
        int colon = value.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(value.substring(0, colon));
        try {
            int port = Integer.parseInt(value.substring(colon + 1));
            if (host != null && port >= (key.equals("listen") ? 0 : 1) && port <= 0xffff) {
                return new InetSocketAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw section.contradiction(key, "expected an address and a port, found \"" + value + '"');
    }
}
