package pondridge.gateway;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * What the gateways of other sites say of their own site, as their beats bring it: gateways of one site have
 * no way to each other, so each other site tells each of them what the rest says. Told as counts, aged here
 * by this gateway's own clock, so no clocks are compared. Bounded: so many gateways of a site, the oldest go
 * first. A hint; see {@link OwnSite#others}. Times in nanoseconds.
 */
final class Views {
    private static final int MOST_GATEWAYS = 64;
    private static final int LONGEST_NAME = 32;
    private static final long LASTS = 500_000_000;

    /** How many gateways see their site in which way. */
    record Counts(int in, int cut, int returning) {
        static final Counts NONE = new Counts(0, 0, 0);

        /** As a header; {@link #read} reads it. */
        String text() {
            return in + "," + cut + ',' + returning;
        }

        /** {@link #NONE} where it makes no sense, as from an older version. */
        static Counts read(String text) {
            String[] parts = text == null || text.length() > LONGEST_NAME ? new String[0] : text.split(",");
            try {
                return parts.length != 3
                        ? NONE
                        : new Counts(
                                Integer.parseUnsignedInt(parts[0]),
                                Integer.parseUnsignedInt(parts[1]),
                                Integer.parseUnsignedInt(parts[2]));
            } catch (NumberFormatException e) {
                return NONE;
            }
        }
    }

    private record Said(OwnSite.State state, long at) {}

    private final Map<String, Map<String, Said>> bySite = new HashMap<>();

    /** As a header: who says what; {@link #heard} reads it. */
    static String said(String gateway, OwnSite.State state) {
        return gateway + ' ' + state.name().toLowerCase(Locale.ROOT);
    }

    /** A beat of a known site says this; what makes no sense is passed over. Counts what the others say. */
    Counts heard(String site, String said, long now) {
        Map<String, Said> all = bySite.computeIfAbsent(site, each -> new HashMap<>());
        all.values().removeIf(each -> now - each.at >= LASTS);
        String[] parts = said == null ? new String[0] : said.split(" ");
        if (parts.length != 2 || parts[0].length() > LONGEST_NAME) {
            return Counts.NONE;
        }
        for (OwnSite.State state : OwnSite.State.values()) {
            if (state.name().toLowerCase(Locale.ROOT).equals(parts[1])) {
                all.put(parts[0], new Said(state, now));
            }
        }
        if (all.size() > MOST_GATEWAYS) {
            all.entrySet().stream()
                    .min((one, two) -> Long.compare(one.getValue().at, two.getValue().at))
                    .map(Map.Entry::getKey)
                    .ifPresent(all::remove);
        }
        Map<OwnSite.State, Integer> counts = new EnumMap<>(OwnSite.State.class);
        all.forEach((gateway, each) -> counts.merge(each.state, gateway.equals(parts[0]) ? 0 : 1, Integer::sum));
        return new Counts(
                counts.getOrDefault(OwnSite.State.IN, 0),
                counts.getOrDefault(OwnSite.State.CUT, 0),
                counts.getOrDefault(OwnSite.State.RETURNING, 0));
    }
}
