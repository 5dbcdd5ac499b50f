package pondridge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pondridge.Balancer.Allowed;
import pondridge.Balancer.Charges;
import pondridge.Balancer.Discovery;
import pondridge.Balancer.Limits;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Scope;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Settings;
import pondridge.Balancer.Tenant;
import pondridge.Balancer.Weights;

/**
 * The one reader of an instance's settings, for every host: turns path=value lines into {@link Settings} and
 * answers for what only hosts need (names, connection limits). Keys it does not know are skipped; what makes
 * no sense is an {@link IllegalArgumentException} naming the key.
 */
public final class Options {
    /** In nanoseconds; where the settings bind nobody to ask. */
    private static final double ASK_WITHIN = 10e9;

    private final Map<String, String> values = new HashMap<>();

    /** Reads one path=value a line. */
    public Options(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(
                        line.substring(0, equals).trim(),
                        line.substring(equals + 1).trim());
            }
        }
    }

    /** All paths with their values, as they were read; for a host that hands them on. */
    public Map<String, String> lines() {
        return Map.copyOf(values);
    }

    /** The same with some lines more, which replace those before them. */
    public Options with(String lines) {
        Options more = new Options(lines);
        Options all = new Options("");
        all.values.putAll(values);
        all.values.putAll(more.values);
        return all;
    }

    /** What the module is set to. */
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
                choice(Discovery.class, "discovery", Discovery.AUTOMATIC),
                choice(Weights.class, "weights", Weights.SILENT),
                classes,
                tenants,
                allowed(),
                limits(),
                list("report.fields"),
                new Charges(number("charges.probe", 0), number("charges.peer", 0)),
                "work".equals(values.get("valueBy")),
                number("overShareWorth", 1));
    }

    private RequestClass requestClass(String path) {
        Semantics semantics = choice(Semantics.class, path + "semantics", null);
        return new RequestClass(
                (long) required(path + "slo"),
                number(path + "aimStretch", 0),
                (long) required(path + "deadline"),
                number(path + "worth", 1),
                number(path + "lateShare", 0),
                semantics,
                choice(Scope.class, path + "keyScope", Scope.CELL),
                (long) number(path + "keyTtl", 0),
                flag(path + "stream"));
    }

    private Allowed allowed() {
        return new Allowed(
                flag("caps.mayCancel"),
                flag("caps.mayProbe"),
                flag("caps.peers"),
                flag("caps.parallelTries"),
                flag("caps.retryAfter"),
                (int) number("caps.tryLimit", 1),
                (long) number("caps.maxRetryAfter", 0),
                (long) number("caps.connectTimeout", 0));
    }

    private Limits limits() {
        // Danger: with no time between two calls the module would ask again and again in one event.
        double askWithin = number("rules.askWithin", 0);
        return new Limits(
                (long) required("rules.answerSlack"),
                (long) (askWithin > 0 ? askWithin : ASK_WITHIN),
                (long) required("rules.stopSendingWithin"),
                required("rules.coldShare"),
                (long) required("rules.rampTime"),
                required("rules.overloadFactor"),
                (long) required("rules.tipAfter"));
    }

    /** The names of a list of objects, in order; those without a name are named by their number. */
    public List<String> names(String path) {
        List<String> names = new ArrayList<>();
        int count = (int) number(path + ".count", 0);
        for (int i = 0; i < count; i++) {
            names.add(values.getOrDefault(path + "." + i + ".name", Integer.toString(i)));
        }
        return names;
    }

    /** A list of plain values, empty where absent. */
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

    /** A number, or {@code absent} where the key is missing or empty. */
    public double number(String key, double absent) {
        String text = values.get(key);
        if (text == null || text.isEmpty()) {
            return absent;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting is not a number: " + key + "=" + text);
        }
    }

    /** An enum setting; {@code absent} null makes it required. */
    private <E extends Enum<E>> E choice(Class<E> type, String key, E absent) {
        String text = values.get(key);
        if (text == null) {
            if (absent == null) {
                throw new IllegalArgumentException("setting missing: " + key);
            }
            return absent;
        }
        try {
            return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("setting has an unknown value: " + key + "=" + text);
        }
    }
}
