package pondridge.standin;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * Which requests meet which fault, and how long work takes: by chance, from a seed, the same for the same
 * order of requests. Not safe on several threads: each server has one of its own.
 */
public final class FaultScript {
    private final Random random;
    private final Map<Fault, Double> shares;
    private final long work;
    private final long longWork;
    private volatile Map<Fault, Double> override;

    /**
     * A script.
     *
     * @param shares the part of all requests that meets each fault
     * @param work mean time of a request's work in nanoseconds; each takes half to one and a half of it
     * @param longWork what {@link Fault#SLOW} takes
     */
    public FaultScript(long seed, Map<Fault, Double> shares, long work, long longWork) {
        this.random = new Random(seed);
        this.shares = shares.isEmpty() ? Map.of() : new EnumMap<>(shares);
        this.work = work;
        this.longWork = longWork;
    }

    /** One without faults, whose work takes so long. */
    public static FaultScript none(long work) {
        return new FaultScript(0, Map.of(), work, work);
    }

    /**
     * Reads {@code reset=0.05,slow=0.1}: names as in {@link Fault}, each with its share.
     *
     * @throws IllegalArgumentException naming what can't be read
     */
    public static Map<Fault, Double> parse(String text) {
        Map<Fault, Double> shares = new EnumMap<>(Fault.class);
        double sum = 0;
        for (String part : text.isBlank() ? new String[0] : text.split(",")) {
            int equals = part.indexOf('=');
            String name = equals < 0 ? part : part.substring(0, equals);
            Fault fault = Arrays.stream(Fault.values())
                    .filter(each -> word(each).equals(name.trim()))
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException("unknown fault: " + name.trim()
                            + " (known: "
                            + Arrays.stream(Fault.values())
                                    .map(FaultScript::word)
                                    .collect(Collectors.joining(", ")) + ")"));
            double share;
            try {
                share = equals < 0 ? 1 : Double.parseDouble(part.substring(equals + 1));
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("not a share: " + part.trim(), e);
            }
            sum += share;
            if (!(share >= 0 && sum <= 1 + 1e-9)) {
                throw new IllegalArgumentException("shares must lie in 0 to 1 and sum to 1 at most: " + text);
            }
            shares.put(fault, share);
        }
        return shares;
    }

    private static String word(Fault fault) {
        return fault.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** From now on other shares hold; null goes back to the script's own. On any thread. */
    public void override(Map<Fault, Double> others) {
        override = others;
    }

    /** The next request's lot. */
    Fault next() {
        Map<Fault, Double> now = override == null ? shares : override;
        double left = random.nextDouble();
        for (Map.Entry<Fault, Double> each : now.entrySet()) {
            left -= each.getValue();
            if (left < 0) {
                return each.getKey();
            }
        }
        return Fault.NONE;
    }

    /** How long the next request's work takes. */
    long work(Fault fault) {
        return fault == Fault.SLOW ? longWork : (long) (work * (0.5 + random.nextDouble()));
    }
}
