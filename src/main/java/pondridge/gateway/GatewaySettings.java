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
import pondridge.BalancerOptions;
import pondridge.http2.Http2Options;
import pondridge.settings.Section;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;
import pondridge.siteloss.SitePlanSettings;
import pondridge.siteloss.Topology;
import pondridge.store.StoreSettings;
import pondridge.transport.TransportSettings;

/**
 * Settings of a gateway in addition to those of a sidecar; times are in nanoseconds.
 *
 * @param file its name in messages
 * @param site this site's name, as its certificates name it
 * @param platform the file with the settings shared with sidecars: listening, discovery, classes, limits
 * @param maxClockErrorNanos greatest difference between the server list's clock and this machine's when a
 *     gateway starts
 * @param link settings of links
 * @param crossSite limits of requests sent to other sites
 * @param remoteSites the other sites' gateways, by the site's name
 * @param upstreams transport to the local site's servers
 * @param store the store shared with the site's other gateways; null for none
 * @param sitePlan the site topology for planning the loss of sites; null for none
 */
public record GatewaySettings(
        String file,
        String site,
        Path platform,
        long maxClockErrorNanos,
        Link link,
        CrossSite crossSite,
        Map<String, List<InetSocketAddress>> remoteSites,
        TransportSettings upstreams,
        StoreSettings store,
        Topology sitePlan) {
    /**
     * Settings of links.
     *
     * @param listen address for other sites' gateways
     * @param tls the certificates; null for plain text, on loopback only
     * @param heartbeatNanos interval of heartbeats to each gateway of another site, which return a timestamp
     *     and credit
     * @param minStallNanos the shortest silence that counts as a stall
     * @param stallFactor the multiple of the round-trip estimate that counts as a stall, where that is longer
     * @param maxDeliveryNanos a request that took longer to arrive is rejected by the receiving gateway
     * @param maxStreamsPerConnection requests at a time on one accepted connection
     * @param maxConnections accepted connections
     * @param maxCreditPerSite requests at a time that are taken from one other site
     * @param idleTimeoutNanos how long an accepted connection may be silent
     * @param transferTimeoutNanos how long a request may take to arrive, and a response to be sent
     * @param maxBufferedBytes bytes of requests and responses in transfer over links; one connection may hold a
     *     quarter of it
     * @param certificateCheckNanos interval of checks whether the certificates' files have changed
     * @param entriesPerGateway entries that a remote gateway has in the engine's endpoint list, each with a
     *     limit learned separately
     * @param maxCachedResponses cached responses to keyed requests
     * @param maxCachedResponseBytes bytes of all of them
     * @param http2 settings of outgoing connections
     */
    public record Link(
            InetSocketAddress listen,
            Tls tls,
            long heartbeatNanos,
            long minStallNanos,
            double stallFactor,
            long maxDeliveryNanos,
            int maxStreamsPerConnection,
            int maxConnections,
            int maxCreditPerSite,
            long idleTimeoutNanos,
            long transferTimeoutNanos,
            int maxBufferedBytes,
            long certificateCheckNanos,
            int entriesPerGateway,
            int maxCachedResponses,
            int maxCachedResponseBytes,
            Http2Options http2) {}

    /** PEM files: this gateway's certificate chain, its key in PKCS 8, and the trusted authorities. */
    public record Tls(Path certificate, Path key, Path authorities) {}

    /**
     * Limits of requests sent to other sites.
     *
     * @param common over all classes: this gateway's part
     * @param sitePerSecond requests in a second over all gateways of the site
     * @param classes configured limits by class name; the reserved fraction is below 0 where it follows from
     *     the class's utility
     * @param minWorkNanos a request with less time left is of no use to a server
     * @param localSite thresholds for the state of the local site
     */
    record CrossSite(
            CrossSiteBudget.Rate common,
            double sitePerSecond,
            Map<String, CrossSiteBudget.ClassLimit> classes,
            long minWorkNanos,
            LocalSiteHealth.Limits localSite) {
        /** The limits by class number. */
        List<CrossSiteBudget.ClassLimit> classLimits(List<String> names, List<RequestClass> requestClasses) {
            List<CrossSiteBudget.ClassLimit> limits = new ArrayList<>();
            for (int i = 0; i < names.size(); i++) {
                CrossSiteBudget.ClassLimit configured = classes.get(names.get(i));
                double reservedFraction = configured == null || configured.reservedFraction() < 0
                        ? CrossSiteBudget.defaultReservedFraction(requestClasses, i)
                        : configured.reservedFraction();
                limits.add(new CrossSiteBudget.ClassLimit(
                        configured == null ? null : configured.rate(), reservedFraction));
            }
            return limits;
        }
    }

    /**
     * Checks that the settings are consistent with the platform's options; throws {@link SettingsException}
     * if not.
     */
    public void validateAgainst(BalancerOptions platformOptions) {
        List<String> platformClasses = platformOptions.objectNames("profiles");
        crossSite.classes.keySet().stream()
                .filter(name -> !platformClasses.contains(name))
                .findFirst()
                .ifPresent(name -> {
                    throw new SettingsException(
                            file,
                            "crossing_classes." + name,
                            "the platform's file has no such class; it has " + String.join(", ", platformClasses));
                });
        List<String> plannedClasses = sitePlan == null
                ? platformClasses
                : sitePlan.classes().stream().map(Topology.TrafficClass::name).toList();
        platformClasses.stream()
                .filter(name -> !plannedClasses.contains(name))
                .findFirst()
                .ifPresent(name -> {
                    throw new SettingsException(
                            file,
                            "site_plan.classes",
                            "the platform's file has the class " + name + ", but the plan does not");
                });
    }

    /** Reads a whole file; throws {@link SettingsException} for any mistake. */
    public static GatewaySettings read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        GatewaySettings settings = of(file, path.toAbsolutePath().getParent());
        file.rejectUnknownKeys();
        return settings;
    }

    /** Reads the settings; relative paths are resolved against {@code folder}. */
    public static GatewaySettings of(SettingsFile file, Path folder) {
        Section gateway = file.section("gateway");
        String site = gateway.text("site", null);
        Path platform = folder.resolve(gateway.text("platform", null));
        Section crossSiteSection = file.section("crossing");
        CrossSiteBudget.Rate siteRate = rate(crossSiteSection, 200, 200);
        int gateways = crossSiteSection.number("gateways", 1, 1, 1000);
        CrossSiteBudget.Rate common = new CrossSiteBudget.Rate(
                siteRate.perSecond() / gateways, Math.max(1, siteRate.burst() / gateways), siteRate.arrivalShare());
        Map<String, CrossSiteBudget.ClassLimit> classes = new LinkedHashMap<>();
        file.section("crossing_classes")
                .subsections()
                .forEach((name, section) -> classes.put(
                        name,
                        new CrossSiteBudget.ClassLimit(
                                rate(section, common.perSecond(), common.burst()), section.decimal("kept", -1, 0, 1))));
        CrossSite crossSite = new CrossSite(
                common,
                siteRate.perSecond(),
                classes,
                crossSiteSection.durationNanos("least_work", "10ms", "1ms", "10s"),
                new LocalSiteHealth.Limits(
                        crossSiteSection.number("misses", 5, 1, 1000),
                        crossSiteSection.durationNanos("trial", "200ms", "10ms", "1min"),
                        crossSiteSection.durationNanos("steady", "1s", "10ms", "10min"),
                        crossSiteSection.decimal("return_share", 0.05, 0.001, 1),
                        crossSiteSection.durationNanos("doubling", "1s", "10ms", "10min")));
        Map<String, List<InetSocketAddress>> remoteSites = new LinkedHashMap<>();
        file.section("sites").subsections().forEach((name, section) -> {
            if (name.equals(site)) {
                throw section.invalid("gateways", "this is the local site");
            }
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (String each : section.texts("gateways")) {
                addresses.add(address(section, "gateways", each));
            }
            if (addresses.isEmpty() || new HashSet<>(addresses).size() < addresses.size()) {
                throw section.invalid("gateways", "expected at least one address, each once");
            }
            remoteSites.put(name, addresses);
        });
        long maxClockErrorNanos = gateway.durationNanos("clock_error", "1s", "0ms", "10min");
        Topology sitePlan = file.hasSection("site_plan") ? SitePlanSettings.of(file) : null;
        List<String> plannedSites = sitePlan == null
                ? List.of()
                : sitePlan.sites().stream().map(Topology.Site::name).toList();
        if (sitePlan != null && !(plannedSites.contains(site) && plannedSites.containsAll(remoteSites.keySet()))) {
            throw file.section("site_plan").invalid("sites", "expected " + site + " and all of [sites]");
        }
        return new GatewaySettings(
                file.name(),
                site,
                platform,
                maxClockErrorNanos,
                link(file, folder),
                crossSite,
                remoteSites,
                TransportSettings.of(file, folder),
                file.hasSection("store") ? StoreSettings.of(file, folder) : null,
                sitePlan);
    }

    private static CrossSiteBudget.Rate rate(Section section, double defaultPerSecond, double defaultBurst) {
        return new CrossSiteBudget.Rate(
                section.decimal("per_second", defaultPerSecond, 0, 1e6),
                section.decimal("burst", defaultBurst, 1, 1e6),
                section.decimal("share", 1, 0, 1));
    }

    private static Link link(SettingsFile file, Path folder) {
        Section section = file.section("link");
        InetSocketAddress listen = address(section, "listen", section.text("listen", null));
        boolean plainText = "plain".equals(section.choice("security", "mutual-tls", List.of("mutual-tls", "plain")));
        if (plainText && !listen.getAddress().isLoopbackAddress()) {
            throw section.invalid("security", "plain text is for loopback addresses only");
        }
        Tls tls = plainText
                ? null
                : new Tls(
                        folder.resolve(section.text("certificate", null)),
                        folder.resolve(section.text("key", null)),
                        folder.resolve(section.text("authorities", null)));
        long heartbeatNanos = section.durationNanos("beat", "50ms", "5ms", "10s");
        long maxDeliveryNanos = section.durationNanos("freshness", "400ms", "20ms", "10s");
        if (maxDeliveryNanos < 2 * heartbeatNanos) {
            throw section.invalid("freshness", "less than two heartbeat intervals: timestamps would be too old");
        }
        return new Link(
                listen,
                tls,
                heartbeatNanos,
                section.durationNanos("stall", "150ms", "5ms", "10s"),
                section.decimal("stall_factor", 4, 1, 100),
                maxDeliveryNanos,
                section.number("streams", 200, 1, 10_000),
                section.number("connections", 64, 1, 10_000),
                section.number("credit", 400, 1, 100_000),
                section.durationNanos("idle", "10s", "100ms", "60min"),
                section.durationNanos("transfer", "2500ms", "100ms", "1min"),
                section.sizeBytes("held_bytes", "32MiB", "64KiB", "1024MiB"),
                section.durationNanos("look", "10s", "10ms", "60min"),
                section.number("lanes", 8, 1, 64),
                section.number("answers", 20_000, 1, 10_000_000),
                section.sizeBytes("answer_bytes", "16MiB", "1KiB", "1024MiB"),
                Http2Options.of(file.section("link_http2")));
    }

    private static InetSocketAddress address(Section section, String key, String text) {
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        try {
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw section.invalid(key, "expected an address and a port, found \"" + text + '"');
        }
    }
}
