package pondridge.store;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import javax.net.ssl.SSLException;
import pondridge.settings.Section;
import pondridge.settings.SettingsFile;

/**
 * Settings of the shared store.
 *
 * @param address the store's address
 * @param tls null for plain text
 * @param serverName the name that the store's certificate must have
 * @param login the credentials for {@code AUTH}
 * @param keyPrefix prefix of all keys; sidecars with the same prefix form a fleet
 * @param member this sidecar's name, unique in its fleet
 * @param periodNanos interval at which the own report is written and others are read
 * @param timeoutNanos limit on the duration of one exchange with the store
 * @param reportsPerExchange reports of other sidecars that are read each time, chosen at random
 * @param maxServers limit on the servers in a report
 * @param maxReplyBytes limit on the replies of one exchange
 * @param badSlowdown an attempt that took more than this many times the baseline is bad
 * @param reportLimits limits on the use of peer reports
 * @param circuitLimits when the circuit breaker opens, and for how long
 * @param leases leases of budgets that all members share
 */
public record StoreSettings(
        InetSocketAddress address,
        SslContext tls,
        String serverName,
        Login login,
        String keyPrefix,
        String member,
        long periodNanos,
        long timeoutNanos,
        int reportsPerExchange,
        int maxServers,
        int maxReplyBytes,
        double badSlowdown,
        PeerOutlierDetector.Limits reportLimits,
        StoreCircuitBreaker.Limits circuitLimits,
        LeaseSettings leases) {
    /**
     * Credentials for the store.
     *
     * @param user {@code default} if none is configured
     * @param password empty for none; never printed
     */
    public record Login(String user, String password) {
        @Override
        public String toString() {
            return "Login[" + user + ']';
        }
    }

    /**
     * Leases of budgets that all members share.
     *
     * @param warmServerPerSecond requests a second that one warm server is known to take; all sidecars
     *     together send a cold server a fraction of it. 0 takes no leases for cold servers: each sidecar
     *     limits its own requests
     * @param slotNanos how long a lease is valid
     * @param maxColdServers cold servers with leases at a time, the most recently started first
     * @param settleNanos how long members must have been counted before their number is used
     */
    public record LeaseSettings(double warmServerPerSecond, long slotNanos, int maxColdServers, long settleNanos) {}

    private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";

    /** Reads the section {@code [store]}; null if the file has none, or it has no address. */
    public static StoreSettings of(SettingsFile file, Path folder) {
        Section section = file.section("store");
        InetSocketAddress address = address(section, section.text("address", "none"));
        String serverName = section.text(
                "server_name", address == null ? "none" : address.getAddress().getHostAddress());
        SslContext tls = tls(section, folder, section.text("authorities", "none"));
        Login login = new Login(
                section.text("user", "default"), password(section, folder, section.text("password_file", "none")));
        String keyPrefix = name(section, "prefix", section.text("prefix", "bankflow"));
        String member = name(
                section,
                "member",
                section.text(
                        "member",
                        String.format(
                                Locale.ROOT,
                                "%016x",
                                ThreadLocalRandom.current().nextLong())));
        long periodNanos = section.durationNanos("period", "1s", "20ms", "1min");
        long timeoutNanos = section.durationNanos("within", "250ms", "1ms", "10s");
        if (timeoutNanos > periodNanos) {
            throw section.invalid("within", "longer than period: exchanges would overlap");
        }
        LeaseSettings leases = new LeaseSettings(
                section.decimal("cold_per_second", 0, 0, 1e6),
                section.durationNanos("slot", "1500ms", "20ms", "1min"),
                section.number("cold_servers", 16, 1, 256),
                section.durationNanos("settle", "10s", "10ms", "10min"));
        if (leases.slotNanos < periodNanos + periodNanos / 4) {
            throw section.invalid("slot", "less than 5/4 of period: no lease would be requested for some slots");
        }
        StoreSettings settings = new StoreSettings(
                address,
                tls,
                serverName,
                login,
                keyPrefix,
                member,
                periodNanos,
                timeoutNanos,
                section.number("read", 16, 1, 256),
                section.number("servers", 256, 1, 4096),
                section.sizeBytes("reply_bytes", "1MiB", "16KiB", "64MiB"),
                section.decimal("slow", 2.5, 1.1, 100),
                new PeerOutlierDetector.Limits(
                        section.durationNanos("oldest", "4s", "20ms", "10min") / 1_000_000,
                        section.number("least_answers", 6, 1, 10_000),
                        section.number("quorum", 2, 2, 1000),
                        section.decimal("most_doubted", 0.25, 0, 0.5)),
                new StoreCircuitBreaker.Limits(
                        section.durationNanos("slow_answer", "100ms", "1ms", "10s"),
                        section.number("misses", 2, 1, 1000),
                        section.durationNanos("pause", "500ms", "10ms", "10min"),
                        section.durationNanos("longest_pause", "30s", "10ms", "60min")),
                leases);
        return address == null ? null : settings;
    }

    private static String name(Section section, String key, String text) {
        if (!text.matches(NAME_PATTERN)) {
            throw section.invalid(key, "expected 1 to 64 letters, digits, dots, dashes, found " + text);
        }
        return text;
    }

    private static SslContext tls(Section section, Path folder, String authorities) {
        boolean enabled = "tls".equals(section.choice("security", "plain", List.of("plain", "tls")));
        if (!enabled && !authorities.equals("none")) {
            throw section.invalid("authorities", "has no effect without security = \"tls\"");
        }
        try {
            SslContextBuilder builder = SslContextBuilder.forClient().sslProvider(SslProvider.JDK);
            return !enabled
                    ? null
                    : authorities.equals("none")
                            ? builder.build()
                            : builder.trustManager(folder.resolve(authorities).toFile())
                                    .build();
        } catch (SSLException | IllegalArgumentException e) {
            throw section.invalid(
                    "authorities", "can't be used: " + folder.resolve(authorities) + ": " + e.getMessage());
        }
    }

    private static String password(Section section, Path folder, String file) {
        if (file.equals("none")) {
            return "";
        }
        try {
            return Files.readString(folder.resolve(file)).strip();
        } catch (IOException e) {
            throw section.invalid("password_file", "cannot be read: " + folder.resolve(file));
        }
    }

    private static InetSocketAddress address(Section section, String text) {
        if (text.equals("none")) {
            return null;
        }
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host != null && port > 0 && port <= 0xffff) {
                return new InetSocketAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw section.invalid("address", "expected an address and a port, found \"" + text + '"');
    }
}
