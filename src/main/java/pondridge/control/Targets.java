package pondridge.control;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import pondridge.Balancer.State;
import pondridge.core.Target;

/**
 * Entries of a list as resources: the body is endpoint, zone, kind, cell, weight and start time, with a space
 * between; {@code -} stands for an empty text. Addresses only, no names are looked up.
 */
public final class Targets {
    private static final int FIELDS = 6;

    private Targets() {}

    /** As a resource of a service. */
    public static Resource resource(String service, Target target) {
        String state =
                switch (target.state()) {
                    case READY -> "SERVING";
                    case DRAINING -> "DRAINING";
                    case GONE -> Resource.DELETED;
                };
        return new Resource(
                service,
                target.uid(),
                state,
                target.state() == State.GONE
                        ? ""
                        : target.endpoint().getAddress().getHostAddress()
                                + ':'
                                + target.endpoint().getPort()
                                + ' '
                                + text(target.zone())
                                + ' '
                                + text(target.kind())
                                + ' '
                                + target.cell()
                                + ' '
                                + (target.weight() == (int) target.weight()
                                        ? Integer.toString((int) target.weight())
                                        : Float.toString(target.weight()))
                                + ' '
                                + target.startedMs());
    }

    private static String text(String text) {
        return text.isEmpty() ? "-" : text.replace(' ', '_');
    }

    /** Back again; an {@link IllegalArgumentException} names one that makes no sense. */
    static Target target(String name, String state, String body) {
        if (state.equals(Resource.DELETED)) {
            return new Target(name, null, "", "", 0, State.GONE, 0, 0);
        }
        String[] parts = body.split(" ");
        try {
            int colon = parts[0].lastIndexOf(':');
            String host = parts[0].substring(0, Math.max(0, colon));
            if (parts.length == FIELDS && host.matches("[0-9.]{7,15}|[0-9a-fA-F:]{2,45}")) {
                return new Target(
                        name,
                        new InetSocketAddress(
                                InetAddress.getByName(host), Integer.parseInt(parts[0].substring(colon + 1))),
                        empty(parts[1]),
                        empty(parts[2]),
                        Integer.parseInt(parts[3]),
                        state.equals("SERVING") ? State.READY : State.DRAINING,
                        Float.parseFloat(parts[4]),
                        Long.parseLong(parts[5]));
            }
        } catch (IllegalArgumentException | UnknownHostException e) {
            // Told below.
        }
        throw new IllegalArgumentException(name + ": expected endpoint, zone, kind, cell, weight and start, "
                + "found \"" + (body.length() <= 80 ? body : body.substring(0, 80) + "...") + '"');
    }

    private static String empty(String text) {
        return text.equals("-") ? "" : text.intern();
    }
}
