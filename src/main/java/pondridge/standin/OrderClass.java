package pondridge.standin;

import java.util.List;

/**
 * A class of requests as the stand-in servers handle it.
 *
 * @param name the value of {@code Req-Kind}
 * @param effect what a repeated execution does
 * @param perZone whether keys are remembered per zone; otherwise by all servers together
 * @param memory how long keys are remembered, in nanoseconds
 */
public record OrderClass(String name, Effect effect, boolean perZone, long memory) {
    /** The effect of a repeat: none; none while the key is remembered; a second effect. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Look-ups, holds remembered per zone for 1 s, confirmations remembered by all for 7.5 s, and bookings. */
    public static final List<OrderClass> USUAL = List.of(
            new OrderClass("stock-check", Effect.SAFE, false, 0),
            new OrderClass("stock-hold", Effect.KEYED, true, 1_000_000_000L),
            new OrderClass("order-confirm", Effect.KEYED, false, 7_500_000_000L),
            new OrderClass("order-book", Effect.UNSAFE, false, 0));

    /** The class of that name; the safe class for an unknown name. */
    public static OrderClass named(String name) {
        return USUAL.stream().filter(each -> each.name.equals(name)).findFirst().orElse(USUAL.get(0));
    }
}
