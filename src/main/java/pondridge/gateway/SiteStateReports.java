package pondridge.gateway;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Collects how gateways of other sites see their own site, as their heartbeats report it. Gateways of one
 * site have no connection to each other, so each other site returns to each of them what the rest report.
 * Reports are sent on as counts and expire by this gateway's own clock, so no clocks are compared. The number
 * of gateways kept for a site is bounded; the oldest report is dropped first. The counts only supplement a
 * gateway's own evidence, see {@link LocalSiteHealth#applyPeerReports}. Times are in nanoseconds.
 */
final class SiteStateReports {
    private static final int MAX_GATEWAYS_PER_SITE = 64;
    private static final int MAX_FIELD_LENGTH = 32;
    private static final long REPORT_LIFETIME_NANOS = 500_000_000;

    /** The number of gateways that report each state of their site. */
    record StateCounts(int in, int cut, int returning) {
        static final StateCounts NONE = new StateCounts(0, 0, 0);

        /** The header value; {@link #parse} reads it. */
        String toHeader() {
            return in + "," + cut + ',' + returning;
        }

        /** Parses a header value; {@link #NONE} if it is malformed or missing, as from an older version. */
        static StateCounts parse(String text) {
            String[] parts = text == null || text.length() > MAX_FIELD_LENGTH ? new String[0] : text.split(",");
            try {
                return parts.length != 3
                        ? NONE
                        : new StateCounts(
                                Integer.parseUnsignedInt(parts[0]),
                                Integer.parseUnsignedInt(parts[1]),
                                Integer.parseUnsignedInt(parts[2]));
            } catch (NumberFormatException e) {
                return NONE;
            }
        }
    }

    private record Report(LocalSiteHealth.State state, long receivedAt) {}

    private final Map<String, Map<String, Report>> reportsBySite = new HashMap<>();

    /** The header value of a gateway's report; {@link #recordAndCount} reads it. */
    static String format(String gateway, LocalSiteHealth.State state) {
        return gateway + ' ' + state.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Records the report in a heartbeat of a known site and counts the reports of that site's other gateways.
     * A malformed report is ignored.
     */
    StateCounts recordAndCount(String site, String report, long now) {
        Map<String, Report> reports = reportsBySite.computeIfAbsent(site, each -> new HashMap<>());
        reports.values().removeIf(each -> now - each.receivedAt >= REPORT_LIFETIME_NANOS);
        String[] parts = report == null ? new String[0] : report.split(" ");
        if (parts.length != 2 || parts[0].length() > MAX_FIELD_LENGTH) {
            return StateCounts.NONE;
        }
        for (LocalSiteHealth.State state : LocalSiteHealth.State.values()) {
            if (state.name().toLowerCase(Locale.ROOT).equals(parts[1])) {
                reports.put(parts[0], new Report(state, now));
            }
        }
        if (reports.size() > MAX_GATEWAYS_PER_SITE) {
            reports.entrySet().stream()
                    .min((first, second) -> Long.compare(first.getValue().receivedAt, second.getValue().receivedAt))
                    .map(Map.Entry::getKey)
                    .ifPresent(reports::remove);
        }
        Map<LocalSiteHealth.State, Integer> counts = new EnumMap<>(LocalSiteHealth.State.class);
        reports.forEach((gateway, each) -> counts.merge(each.state, gateway.equals(parts[0]) ? 0 : 1, Integer::sum));
        return new StateCounts(
                counts.getOrDefault(LocalSiteHealth.State.IN, 0),
                counts.getOrDefault(LocalSiteHealth.State.CUT, 0),
                counts.getOrDefault(LocalSiteHealth.State.RETURNING, 0));
    }
}
