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
 * @param watcherLimits limits on watchers and updates
 * @param relaySelectorLimits limits on reconnecting to relays
 * @param silenceTimeoutNanos a connection without a message for this long is closed
 * @param staleAfterNanos a relay whose state is older than this is left for another one
 * @param commitDelayNanos how long the source collects changes before it commits them
 * @param statusIntervalNanos how often a relay reports the status of its followers, if it has changed
 * @param maxTombstones the most tombstones that are kept
 * @param maxEntries the most entries and settings at the source
 * @param maxMessageBytes the longest message that is accepted, in bytes
 */
public record ControlSettings(
        Role role,
        String instance,
        InetSocketAddress listenAddress,
        Path stateFile,
        Path feedFile,
        List<InetSocketAddress> parentAddresses,
        List<String> services,
        UpdateScheduler.Limits watcherLimits,
        RelaySelector.Limits relaySelectorLimits,
        long silenceTimeoutNanos,
        long staleAfterNanos,
        long commitDelayNanos,
        long statusIntervalNanos,
        int maxTombstones,
        int maxEntries,
        int maxMessageBytes) {
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
        file.rejectUnknownKeys();
        return read;
    }

    /** Reads the section {@code [control]}. The role is off if the file does not have the section. */
    public static ControlSettings of(SettingsFile file, Path directory) {
        Section section = file.section("control");
        Role role = Role.valueOf(section.choice("role", "off", List.of("off", "source", "relay", "follower"))
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
            throw section.invalid("instance or services", e.getMessage());
        }
        boolean acceptsWatchers = role == Role.SOURCE || role == Role.RELAY;
        if (acceptsWatchers && listen.equals("none")) {
            throw section.invalid("listen", "expected an address and a port for role " + roleName(role));
        }
        if (role == Role.SOURCE && stateFile.equals("none")) {
            throw section.invalid("state_file", "expected a file for role source");
        }
        if ((role == Role.RELAY || role == Role.FOLLOWER) && parentAddresses.isEmpty()) {
            throw section.invalid("above", "expected addresses of relays or of the source for role " + roleName(role));
        }
        if (role == Role.SOURCE && !parentAddresses.isEmpty()) {
            throw section.invalid("above", "not used for role source");
        }
        long heartbeatNanos = section.durationNanos("beat", "2s", "10ms", "1min");
        long silenceNanos = section.durationNanos("silence", "7s", "20ms", "10min");
        if (silenceNanos < 2 * heartbeatNanos) {
            throw section.invalid("silence", "less than twice beat: each lost message would close a connection");
        }
        long staleNanos = section.durationNanos("stale", "15s", "20ms", "60min");
        if (staleNanos < 2 * heartbeatNanos) {
            throw section.invalid("stale", "less than twice beat: a healthy relay would be left");
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
                        section.sizeBytes("bytes_per_second", "2KiB", "64B", "1MiB"),
                        section.sizeBytes("burst", "16KiB", "1KiB", "64MiB"),
                        section.sizeBytes("relay_bytes_per_second", "1MiB", "1KiB", "64MiB"),
                        section.decimal("joins_per_second", 100, 0.1, 1e6),
                        section.number("most_watchers", 1_500, 1, 100_000),
                        section.durationNanos("gap", "1s", "0ms", "1min"),
                        heartbeatNanos,
                        section.durationNanos("ack_within", "10s", "20ms", "10min")),
                new RelaySelector.Limits(
                        section.durationNanos("spread", "2s", "0ms", "10min"),
                        section.durationNanos("pause", "500ms", "1ms", "10min"),
                        section.durationNanos("longest_pause", "8s", "1ms", "60min"),
                        section.durationNanos("home", "5min", "10ms", "60min")),
                silenceNanos,
                staleNanos,
                section.durationNanos("fold", "500ms", "10ms", "1min"),
                section.durationNanos("report", "500ms", "10ms", "1min"),
                section.number("markers", 8_192, 16, 1 << 20),
                section.number("entries", 65_536, 1, 1 << 20),
                section.sizeBytes("message", "32MiB", "64KiB", "256MiB"));
    }

    private static String roleName(Role role) {
        return role.name().toLowerCase(Locale.ROOT);
    }

    /** Returns the same settings for another follower. */
    public ControlSettings forFollower(String otherInstance, List<String> otherServices) {
        return new ControlSettings(
                role,
                otherInstance,
                listenAddress,
                stateFile,
                feedFile,
                parentAddresses,
                otherServices,
                watcherLimits,
                relaySelectorLimits,
                silenceTimeoutNanos,
                staleAfterNanos,
                commitDelayNanos,
                statusIntervalNanos,
                maxTombstones,
                maxEntries,
                maxMessageBytes);
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
        throw section.invalid(key, "expected an address and a port, found \"" + value + '"');
    }
}
