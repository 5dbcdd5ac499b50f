package pondridge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.HostCapabilities;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.OverheadCosts;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.Balancer.SafetyLimits;
import pondridge.Balancer.Settings;
import pondridge.Balancer.Tenant;
import pondridge.Balancer.WeightKind;

/**
 * Reads the settings of an instance from {@code path=value} lines. All hosts use it: it builds the
 * {@link Settings} and gives access to the values that only hosts need, such as names and connection limits.
 * Unknown keys are ignored; an invalid value raises an {@link IllegalArgumentException} that names its key.
 */
public final class BalancerOptions {
    /** Applies where the settings require no refresh of the endpoint list. */
    private static final double DEFAULT_ENDPOINT_REFRESH_NANOS = 10e9;

    private final Map<String, String> values = new HashMap<>();

    /** Parses one {@code path=value} pair per line. */
    public BalancerOptions(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(
                        line.substring(0, equals).trim(),
                        line.substring(equals + 1).trim());
            }
        }
    }

    /** All paths with their unparsed values, for hosts that pass the settings to another process. */
    public Map<String, String> asMap() {
        return Map.copyOf(values);
    }

    /** Returns a copy in which the given lines are added or replace the values of the same paths. */
    public BalancerOptions withOverrides(String lines) {
        BalancerOptions overrides = new BalancerOptions(lines);
        BalancerOptions merged = new BalancerOptions("");
        merged.values.putAll(values);
        merged.values.putAll(overrides.values);
        return merged;
    }

    /** The settings of a balancer instance. */
    public Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        int classCount = (int) required("profiles.count");
        for (int i = 0; i < classCount; i++) {
            classes.add(requestClass("profiles." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        int tenantCount = (int) number("parties.count", 0);
        for (int i = 0; i < tenantCount; i++) {
            String path = "parties." + i + ".";
            tenants.add(new Tenant(number(path + "portion", 0), number(path + "quotaRps", 0)));
        }
        return new Settings(
                (int) number("rank", 0),
                (int) number("replicasOfMe", 1),
                (int) number("zone", 0),
                (long) number("quantum", 0),
                enumValue(DiscoveryMode.class, "discovery", DiscoveryMode.AUTOMATIC),
                enumValue(WeightKind.class, "weights", WeightKind.SILENT),
                classes,
                tenants,
                capabilities(),
                safetyLimits(),
                list("report.fields"),
                new OverheadCosts(number("charges.probe", 0), number("charges.peer", 0)),
                "work".equals(values.get("valueBy")),
                number("overShareWorth", 1));
    }

    private RequestClass requestClass(String path) {
        RetrySemantics semantics = enumValue(RetrySemantics.class, path + "semantics", null);
        return new RequestClass(
                (long) required(path + "slo"),
                number(path + "aimStretch", 0),
                (long) required(path + "deadline"),
                number(path + "worth", 1),
                number(path + "lateShare", 0),
                semantics,
                enumValue(KeyScope.class, path + "keyScope", KeyScope.CELL),
                (long) number(path + "keyTtl", 0),
                flag(path + "stream"));
    }

    private HostCapabilities capabilities() {
        return new HostCapabilities(
                flag("caps.mayCancel"),
                flag("caps.mayProbe"),
                flag("caps.peers"),
                flag("caps.parallelTries"),
                flag("caps.retryAfter"),
                (int) number("caps.tryLimit", 1),
                (long) number("caps.maxRetryAfter", 0),
                (long) number("caps.connectTimeout", 0));
    }

    private SafetyLimits safetyLimits() {
        // An interval of 0 would make the balancer request the endpoint list repeatedly within one event.
        double refreshNanos = number("rules.askWithin", 0);
        return new SafetyLimits(
                (long) required("rules.answerSlack"),
                (long) (refreshNanos > 0 ? refreshNanos : DEFAULT_ENDPOINT_REFRESH_NANOS),
                (long) required("rules.stopSendingWithin"),
                required("rules.coldShare"),
                (long) required("rules.rampTime"),
                required("rules.overloadFactor"),
                (long) required("rules.tipAfter"));
    }

    /** The names of the objects in a list, in order; an object without a name is named by its index. */
    public List<String> objectNames(String path) {
        List<String> names = new ArrayList<>();
        int count = (int) number(path + ".count", 0);
        for (int i = 0; i < count; i++) {
            names.add(values.getOrDefault(path + "." + i + ".name", Integer.toString(i)));
        }
        return names;
    }

    /** A comma-separated list of values; empty if the key is missing. */
    public List<String> list(String key) {
        String text = values.getOrDefault(key, "");
        return text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    private boolean flag(String key) {
        return "true".equals(values.get(key));
    }

    private double required(String key) {
        if (!values.containsKey(key)) {
            throw new IllegalArgumentException("setting missing: " + key);
        }
        return number(key, 0);
    }

    /** A number, or {@code defaultValue} if the key is missing or empty. */
    public double number(String key, double defaultValue) {
        String text = values.get(key);
        if (text == null || text.isEmpty()) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting is not a number: " + key + "=" + text);
        }
    }

    /** An enum constant by its case-insensitive name; the setting is required if {@code defaultValue} is null. */
    private <E extends Enum<E>> E enumValue(Class<E> type, String key, E defaultValue) {
        String text = values.get(key);
        if (text == null) {
            if (defaultValue == null) {
                throw new IllegalArgumentException("setting missing: " + key);
            }
            return defaultValue;
        }
        try {
            return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("setting has an unknown value: " + key + "=" + text);
        }
    }
}
