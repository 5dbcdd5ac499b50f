package pondridge.standin;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * Decides at random, from a seed, which fault a request meets and how long its work takes. The same sequence of
 * requests gives the same decisions. Not thread-safe: each server has its own script.
 */
public final class FaultScript {
    private final Random random;
    private final Map<Fault, Double> faultFractions;
    private final long meanWorkNanos;
    private final long slowWorkNanos;
    private volatile Map<Fault, Double> overridingFractions;

    /**
     * Creates a script.
     *
     * @param faultFractions the fraction of all requests that meets each fault
     * @param meanWorkNanos the mean work time of a request; each takes between half and one and a half of it
     * @param slowWorkNanos the work time of {@link Fault#SLOW}
     */
    public FaultScript(long seed, Map<Fault, Double> faultFractions, long meanWorkNanos, long slowWorkNanos) {
        this.random = new Random(seed);
        this.faultFractions = faultFractions.isEmpty() ? Map.of() : new EnumMap<>(faultFractions);
        this.meanWorkNanos = meanWorkNanos;
        this.slowWorkNanos = slowWorkNanos;
    }

    /** A script without faults and with this mean work time. */
    public static FaultScript withoutFaults(long meanWorkNanos) {
        return new FaultScript(0, Map.of(), meanWorkNanos, meanWorkNanos);
    }

    /**
     * Parses a list such as {@code reset=0.05,slow=0.1}: fault names as in {@link Fault} with their fractions.
     *
     * @throws IllegalArgumentException if a fault is unknown or a fraction is invalid
     */
    public static Map<Fault, Double> parseFractions(String text) {
        Map<Fault, Double> fractions = new EnumMap<>(Fault.class);
        double sum = 0;
        for (String part : text.isBlank() ? new String[0] : text.split(",")) {
            int equals = part.indexOf('=');
            String name = equals < 0 ? part : part.substring(0, equals);
            Fault fault = Arrays.stream(Fault.values())
                    .filter(each -> optionName(each).equals(name.trim()))
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException("unknown fault: " + name.trim()
                            + " (known: "
                            + Arrays.stream(Fault.values())
                                    .map(FaultScript::optionName)
                                    .collect(Collectors.joining(", "))
                            + ")"));
            double fraction;
            try {
                fraction = equals < 0 ? 1 : Double.parseDouble(part.substring(equals + 1));
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("fault fraction is not a number: " + part.trim(), e);
            }
            sum += fraction;
            if (!(fraction >= 0 && sum <= 1 + 1e-9)) {
                throw new IllegalArgumentException("fault fractions must be from 0 to 1 and sum to at most 1: " + text);
            }
            fractions.put(fault, fraction);
        }
        return fractions;
    }

    private static String optionName(Fault fault) {
        return fault.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Replaces the fault fractions from now on; null restores those of the script. Callable on any thread. */
    public void overrideFractions(Map<Fault, Double> fractions) {
        overridingFractions = fractions;
    }

    /** The fault that the next request meets. */
    Fault nextFault() {
        Map<Fault, Double> current = overridingFractions == null ? faultFractions : overridingFractions;
        double remaining = random.nextDouble();
        for (Map.Entry<Fault, Double> each : current.entrySet()) {
            remaining -= each.getValue();
            if (remaining < 0) {
                return each.getKey();
            }
        }
        return Fault.NONE;
    }

    /** The work time of the next request in nanoseconds. */
    long nextWorkNanos(Fault fault) {
        return fault == Fault.SLOW ? slowWorkNanos : (long) (meanWorkNanos * (0.5 + random.nextDouble()));
    }
}
