package pondridge.standin;

import java.util.List;

/**
 * A class of requests as the stand-in servers handle it.
 *
 * @param name the value of {@code Req-Kind}
 * @param effect what a repeated execution does
 * @param keyPerZone whether keys are remembered per zone; otherwise by all servers together
 * @param keyTtlNanos how long keys are remembered, in nanoseconds
 */
public record StandinRequestClass(String name, Effect effect, boolean keyPerZone, long keyTtlNanos) {
    /** The effect of a repeat: none; none while the key is remembered; a second effect. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Look-ups, holds remembered per zone for 1 s, confirmations remembered by all for 7.5 s, and bookings. */
    public static final List<StandinRequestClass> DEFAULTS = List.of(
            new StandinRequestClass("stock-check", Effect.SAFE, false, 0),
            new StandinRequestClass("stock-hold", Effect.KEYED, true, 1_000_000_000L),
            new StandinRequestClass("order-confirm", Effect.KEYED, false, 7_500_000_000L),
            new StandinRequestClass("order-book", Effect.UNSAFE, false, 0));

    /** The class of that name; the safe class for an unknown name. */
    public static StandinRequestClass named(String name) {
        return DEFAULTS.stream()
                .filter(each -> each.name.equals(name))
                .findFirst()
                .orElse(DEFAULTS.get(0));
    }
}
