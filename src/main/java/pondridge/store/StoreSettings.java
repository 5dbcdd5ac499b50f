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
 * What is shared, where, and how much others are heard; times in nanoseconds.
 *
 * @param address of the store
 * @param tls null for plain text
 * @param serverName that the store's certificate must name
 * @param login for {@code AUTH}
 * @param prefix of all keys: sidecars with the same one are a fleet
 * @param member this sidecar's name, one of its own
 * @param period a report is written and others are read so often
 * @param within how long one exchange with the store may take
 * @param read reports of other sidecars that are read each time, drawn at random
 * @param servers that a report tells of at most
 * @param replyBytes of one exchange at most
 * @param slow how many times slower than usual an attempt is bad
 * @param hearsay how others are heard
 * @param circuit when the store is left alone
 * @param shares budgets that all members have together
 */
public record StoreSettings(
        InetSocketAddress address,
        SslContext tls,
        String serverName,
        Login login,
        String prefix,
        String member,
        long period,
        long within,
        int read,
        int servers,
        int replyBytes,
        double slow,
        Hearsay.Limits hearsay,
        StoreCircuit.Limits circuit,
        Shares shares) {
    /**
     * Who this is to the store.
     *
     * @param user {@code default} where none is told
     * @param password empty for none; never shown
     */
    public record Login(String user, String password) {
        @Override
        public String toString() {
            return "Login[" + user + ']';
        }
    }

    /**
     * Budgets that all members have together.
     *
     * @param coldPerSecond requests a second that one warm server is known to take; what a cold one is sent
     * by all together is a part of it. 0 leaves cold servers to each sidecar's own split
     * @param slot parts are lent for so long at a time
     * @param coldServers at a time, the youngest
     * @param settle members must have been counted for so long before their number is gone by
     */
    public record Shares(double coldPerSecond, long slot, int coldServers, long settle) {}

    private static final String NAME = "[A-Za-z0-9._-]{1,64}";

    /** Reads the section {@code [store]}; null where the file has none or it is not switched on. */
    public static StoreSettings of(SettingsFile file, Path folder) {
        Section section = file.section("store");
        InetSocketAddress address = address(section, section.text("address", "none"));
        String serverName = section.text(
                "server_name", address == null ? "none" : address.getAddress().getHostAddress());
        SslContext tls = tls(section, folder, section.text("authorities", "none"));
        Login login = new Login(
                section.text("user", "default"), password(section, folder, section.text("password_file", "none")));
        String prefix = name(section, "prefix", section.text("prefix", "bankflow"));
        String member = name(
                section,
                "member",
                section.text(
                        "member",
                        String.format(
                                Locale.ROOT,
                                "%016x",
                                ThreadLocalRandom.current().nextLong())));
        long period = section.time("period", "1s", "20ms", "1min");
        long within = section.time("within", "250ms", "1ms", "10s");
        if (within > period) {
            throw section.contradiction("within", "longer than period: exchanges would overlap");
        }
        Shares shares = new Shares(
                section.fraction("cold_per_second", 0, 0, 1e6),
                section.time("slot", "1500ms", "20ms", "1min"),
                section.number("cold_servers", 16, 1, 256),
                section.time("settle", "10s", "10ms", "10min"));
        if (shares.slot < period + period / 4) {
            throw section.contradiction("slot", "less than 5/4 of period: some slots would not be asked for");
        }
        StoreSettings read = new StoreSettings(
                address,
                tls,
                serverName,
                login,
                prefix,
                member,
                period,
                within,
                section.number("read", 16, 1, 256),
                section.number("servers", 256, 1, 4096),
                section.size("reply_bytes", "1MiB", "16KiB", "64MiB"),
                section.fraction("slow", 2.5, 1.1, 100),
                new Hearsay.Limits(
                        section.time("oldest", "4s", "20ms", "10min") / 1_000_000,
                        section.number("least_answers", 6, 1, 10_000),
                        section.number("quorum", 2, 2, 1000),
                        section.fraction("most_doubted", 0.25, 0, 0.5)),
                new StoreCircuit.Limits(
                        section.time("slow_answer", "100ms", "1ms", "10s"),
                        section.number("misses", 2, 1, 1000),
                        section.time("pause", "500ms", "10ms", "10min"),
                        section.time("longest_pause", "30s", "10ms", "60min")),
                shares);
        return address == null ? null : read;
    }

    private static String name(Section section, String key, String text) {
        if (!text.matches(NAME)) {
            throw section.contradiction(key, "expected 1 to 64 letters, digits, dots, dashes, found " + text);
        }
        return text;
    }

    private static SslContext tls(Section section, Path folder, String authorities) {
        boolean wanted = "tls".equals(section.word("security", "plain", List.of("plain", "tls")));
        if (!wanted && !authorities.equals("none")) {
            throw section.contradiction("authorities", "of no use without security = \"tls\"");
        }
        try {
            SslContextBuilder builder = SslContextBuilder.forClient().sslProvider(SslProvider.JDK);
            return !wanted
                    ? null
                    : authorities.equals("none")
                            ? builder.build()
                            : builder.trustManager(folder.resolve(authorities).toFile())
                                    .build();
        } catch (SSLException | IllegalArgumentException e) {
            throw section.contradiction(
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
            throw section.contradiction("password_file", "can't be read: " + folder.resolve(file));
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
            // Told below.
        }
        throw section.contradiction("address", "expected an address and a port, found \"" + text + '"');
    }
}
