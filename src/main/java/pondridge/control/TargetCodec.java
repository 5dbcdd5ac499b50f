package pondridge.control;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import pondridge.Balancer.UpstreamState;
import pondridge.core.Target;

/**
 * Converts entries of an endpoint list to resources and back. The body holds endpoint, zone, kind, cell,
 * weight and start time, separated by spaces; {@code -} stands for an empty text. Endpoints are IP addresses;
 * host names are not resolved.
 */
public final class TargetCodec {
    private static final int FIELDS = 6;

    private TargetCodec() {}

    /** Converts a target to a resource of a service. */
    public static Resource toResource(String service, Target target) {
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
                target.state() == UpstreamState.GONE
                        ? ""
                        : target.endpoint().getAddress().getHostAddress()
                                + ':'
                                + target.endpoint().getPort()
                                + ' '
                                + encodeText(target.zone())
                                + ' '
                                + encodeText(target.kind())
                                + ' '
                                + target.cell()
                                + ' '
                                + (target.weight() == (int) target.weight()
                                        ? Integer.toString((int) target.weight())
                                        : Float.toString(target.weight()))
                                + ' '
                                + target.startedMs());
    }

    private static String encodeText(String text) {
        return text.isEmpty() ? "-" : text.replace(' ', '_');
    }

    /** Converts a resource to a target. An {@link IllegalArgumentException} names an invalid one. */
    static Target toTarget(String name, String state, String body) {
        if (state.equals(Resource.DELETED)) {
            return new Target(name, null, "", "", 0, UpstreamState.GONE, 0, 0);
        }
        String[] fields = body.split(" ");
        try {
            int colon = fields[0].lastIndexOf(':');
            String host = fields[0].substring(0, Math.max(0, colon));
            if (fields.length == FIELDS && host.matches("[0-9.]{7,15}|[0-9a-fA-F:]{2,45}")) {
                return new Target(
                        name,
                        new InetSocketAddress(
                                InetAddress.getByName(host), Integer.parseInt(fields[0].substring(colon + 1))),
                        decodeText(fields[1]),
                        decodeText(fields[2]),
                        Integer.parseInt(fields[3]),
                        state.equals("SERVING") ? UpstreamState.READY : UpstreamState.DRAINING,
                        Float.parseFloat(fields[4]),
                        Long.parseLong(fields[5]));
            }
        } catch (IllegalArgumentException | UnknownHostException e) {
            // Reported below.
        }
        throw new IllegalArgumentException(name + ": expected endpoint, zone, kind, cell, weight and start, "
                + "found \"" + (body.length() <= 80 ? body : body.substring(0, 80) + "...") + '"');
    }

    private static String decodeText(String text) {
        return text.equals("-") ? "" : text.intern();
    }
}
