package pondridge.gateway;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pondridge.Balancer.RequestClass;
import pondridge.Options;
import pondridge.http2.Http2Options;
import pondridge.settings.Section;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;
import pondridge.siteloss.SitePlanSettings;
import pondridge.siteloss.Topology;
import pondridge.store.StoreSettings;
import pondridge.transport.TransportSettings;

/**
 * What a gateway is set to, besides what a sidecar is; times in nanoseconds.
 *
 * @param file as messages name it
 * @param site this site's name, as its certificates name it
 * @param platform the file with what a sidecar is told: listening, discovery, classes, rules
 * @param clockError how far the list's clock may be from this machine's when a gateway starts
 * @param link how links are
 * @param crossing how much may cross, and when
 * @param sites the other sites' gateways, by the site's name
 * @param upstreams how the own site's servers are spoken to
 * @param store what is shared with the site's other gateways; null for nothing
 * @param plan what a plan for the loss of sites rests on; null for none
 */
public record GatewaySettings(
        String file,
        String site,
        Path platform,
        long clockError,
        Link link,
        Crossing crossing,
        Map<String, List<InetSocketAddress>> sites,
        TransportSettings upstreams,
        StoreSettings store,
        Topology plan) {
    /**
     * The link.
     *
     * @param listen where other sites' gateways come in
     * @param tls the certificates; null for plain text, on loopback only
     * @param beat how often each gateway of another site is asked for a stamp and its credit
     * @param stall the shortest silence that counts as a stall
     * @param stallFactor how many usual round trips of silence are a stall, where that is more
     * @param freshness what has been on its way for longer is dropped at the other end
     * @param streams requests at a time on one connection that comes in
     * @param connections that may come in
     * @param credit requests at a time that are taken from one other site
     * @param idle how long a connection that comes in may say nothing
     * @param transfer how long a request may take to come whole, and an answer to go
     * @param heldBytes of requests and answers on their way over links, one connection a quarter of it
     * @param look how often the certificates' files are looked at
     * @param lanes entries that a far gateway has in the module's list, each with a limit learned by itself
     * @param answers remembered answers to keyed requests
     * @param answerBytes of all of them
     * @param http2 the connections that go out
     */
    public record Link(
            InetSocketAddress listen,
            Tls tls,
            long beat,
            long stall,
            double stallFactor,
            long freshness,
            int streams,
            int connections,
            int credit,
            long idle,
            long transfer,
            int heldBytes,
            long look,
            int lanes,
            int answers,
            int answerBytes,
            Http2Options http2) {}

    /** Files with certificates in PEM: the own chain, its key in PKCS 8, and whom to trust. */
    public record Tls(Path certificate, Path key, Path authorities) {}

    /**
     * What may cross.
     *
     * @param common over all classes: this gateway's part
     * @param sitePerSecond requests in a second over all gateways of the site
     * @param classes what is set of a class, by its name; its part of the common burst that it leaves behind
     *     is below 0 where that follows from its worth
     * @param leastWork what must be left of a request's time to be of use to a server
     * @param own how the own site is judged
     */
    record Crossing(
            CrossingBudget.Rate common,
            double sitePerSecond,
            Map<String, CrossingBudget.Part> classes,
            long leastWork,
            OwnSite.Limits own) {
        /** The parts by the classes' numbers. */
        List<CrossingBudget.Part> parts(List<String> names, List<RequestClass> all) {
            List<CrossingBudget.Part> parts = new ArrayList<>();
            for (int i = 0; i < names.size(); i++) {
                CrossingBudget.Part set = classes.get(names.get(i));
                double kept = set == null || set.kept() < 0 ? CrossingBudget.usuallyKept(all, i) : set.kept();
                parts.add(new CrossingBudget.Part(set == null ? null : set.own(), kept));
            }
            return parts;
        }
    }

    /** Whether it goes with what the platform tells; a mistake is a {@link SettingsException}. */
    public void agree(Options told) {
        List<String> known = told.names("profiles");
        crossing.classes.keySet().stream()
                .filter(name -> !known.contains(name))
                .findFirst()
                .ifPresent(name -> {
                    throw new SettingsException(
                            file,
                            "crossing_classes." + name,
                            "the platform's file has no such class; it has " + String.join(", ", known));
                });
        List<String> planned = plan == null
                ? known
                : plan.classes().stream().map(Topology.Kind::name).toList();
        known.stream().filter(name -> !planned.contains(name)).findFirst().ifPresent(name -> {
            throw new SettingsException(
                    file, "site_plan.classes", "the platform's file has the class " + name + ", the plan has not");
        });
    }

    /** Reads a whole file; any mistake is a {@link pondridge.settings.SettingsException}. */
    public static GatewaySettings read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        GatewaySettings read = of(file, path.toAbsolutePath().getParent());
        file.finish();
        return read;
    }

    /** Paths in it are taken from this folder. */
    public static GatewaySettings of(SettingsFile file, Path folder) {
        Section gateway = file.section("gateway");
        String site = gateway.text("site", null);
        Path platform = folder.resolve(gateway.text("platform", null));
        Section crossing = file.section("crossing");
        CrossingBudget.Rate whole = rate(crossing, 200, 200);
        int gateways = crossing.number("gateways", 1, 1, 1000);
        CrossingBudget.Rate common = new CrossingBudget.Rate(
                whole.perSecond() / gateways, Math.max(1, whole.burst() / gateways), whole.share());
        Map<String, CrossingBudget.Part> classes = new LinkedHashMap<>();
        file.section("crossing_classes")
                .sections()
                .forEach((name, section) -> classes.put(
                        name,
                        new CrossingBudget.Part(
                                rate(section, common.perSecond(), common.burst()),
                                section.fraction("kept", -1, 0, 1))));
        Crossing limits = new Crossing(
                common,
                whole.perSecond(),
                classes,
                crossing.time("least_work", "10ms", "1ms", "10s"),
                new OwnSite.Limits(
                        crossing.number("misses", 5, 1, 1000),
                        crossing.time("trial", "200ms", "10ms", "1min"),
                        crossing.time("steady", "1s", "10ms", "10min"),
                        crossing.fraction("return_share", 0.05, 0.001, 1),
                        crossing.time("doubling", "1s", "10ms", "10min")));
        Map<String, List<InetSocketAddress>> sites = new LinkedHashMap<>();
        file.section("sites").sections().forEach((name, section) -> {
            if (name.equals(site)) {
                throw section.contradiction("gateways", "this is the own site");
            }
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (String each : section.texts("gateways")) {
                addresses.add(address(section, "gateways", each));
            }
            if (addresses.isEmpty() || new HashSet<>(addresses).size() < addresses.size()) {
                throw section.contradiction("gateways", "expected at least one address, each once");
            }
            sites.put(name, addresses);
        });
        long clockError = gateway.time("clock_error", "1s", "0ms", "10min");
        Topology plan = file.has("site_plan") ? SitePlanSettings.of(file) : null;
        List<String> planned = plan == null
                ? List.of()
                : plan.sites().stream().map(Topology.Site::name).toList();
        if (plan != null && !(planned.contains(site) && planned.containsAll(sites.keySet()))) {
            throw file.section("site_plan").contradiction("sites", "expected " + site + " and all of [sites]");
        }
        return new GatewaySettings(
                file.name(),
                site,
                platform,
                clockError,
                link(file, folder),
                limits,
                sites,
                TransportSettings.of(file, folder),
                file.has("store") ? StoreSettings.of(file, folder) : null,
                plan);
    }

    private static CrossingBudget.Rate rate(Section section, double perSecond, double burst) {
        return new CrossingBudget.Rate(
                section.fraction("per_second", perSecond, 0, 1e6),
                section.fraction("burst", burst, 1, 1e6),
                section.fraction("share", 1, 0, 1));
    }

    private static Link link(SettingsFile file, Path folder) {
        Section section = file.section("link");
        InetSocketAddress listen = address(section, "listen", section.text("listen", null));
        boolean plain = "plain".equals(section.word("security", "mutual-tls", List.of("mutual-tls", "plain")));
        if (plain && !listen.getAddress().isLoopbackAddress()) {
            throw section.contradiction("security", "plain text is for loopback addresses only");
        }
        Tls tls = plain
                ? null
                : new Tls(
                        folder.resolve(section.text("certificate", null)),
                        folder.resolve(section.text("key", null)),
                        folder.resolve(section.text("authorities", null)));
        long beat = section.time("beat", "50ms", "5ms", "10s");
        long freshness = section.time("freshness", "400ms", "20ms", "10s");
        if (freshness < 2 * beat) {
            throw section.contradiction("freshness", "less than two beats: stamps would be too old");
        }
        return new Link(
                listen,
                tls,
                beat,
                section.time("stall", "150ms", "5ms", "10s"),
                section.fraction("stall_factor", 4, 1, 100),
                freshness,
                section.number("streams", 200, 1, 10_000),
                section.number("connections", 64, 1, 10_000),
                section.number("credit", 400, 1, 100_000),
                section.time("idle", "10s", "100ms", "60min"),
                section.time("transfer", "2500ms", "100ms", "1min"),
                section.size("held_bytes", "32MiB", "64KiB", "1024MiB"),
                section.time("look", "10s", "10ms", "60min"),
                section.number("lanes", 8, 1, 64),
                section.number("answers", 20_000, 1, 10_000_000),
                section.size("answer_bytes", "16MiB", "1KiB", "1024MiB"),
                Http2Options.of(file.section("link_http2")));
    }

    private static InetSocketAddress address(Section section, String key, String text) {
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        try {
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw section.contradiction(key, "expected an address and a port, found \"" + text + '"');
        }
    }
}
