package pondridge.standin;

import java.util.List;

/**
 * A class of requests as stand-in servers know it.
 *
 * @param name what {@code Req-Kind} holds
 * @param effect what running it twice does
 * @param perZone the servers of one zone drop its repeats, not all of them
 * @param memory how long they do, in nanoseconds
 */
public record OrderClass(String name, Effect effect, boolean perZone, long memory) {
    /** What running a request twice does: nothing; nothing while its key is remembered; harm. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Look-ups, holds that a zone remembers for 1 s, confirmations that all do for 7.5 s, and bookings. */
    public static final List<OrderClass> USUAL = List.of(
            new OrderClass("stock-check", Effect.SAFE, false, 0),
            new OrderClass("stock-hold", Effect.KEYED, true, 1_000_000_000L),
            new OrderClass("order-confirm", Effect.KEYED, false, 7_500_000_000L),
            new OrderClass("order-book", Effect.UNSAFE, false, 0));

    /** The class of that name; the safe one for any other. */
    public static OrderClass named(String name) {
        return USUAL.stream().filter(each -> each.name.equals(name)).findFirst().orElse(USUAL.get(0));
    }
}
