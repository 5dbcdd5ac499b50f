package pondridge.control;

import java.util.List;

/**
 * The first message from a watcher.
 *
 * @param instance the watcher's name
 * @param services that it follows; empty for all
 * @param isRelay whether it is a relay, which is sent commit numbers and tombstones and reports propagation
 * status
 * @param version that it holds; {@link Version#NONE} to request a snapshot
 */
record Hello(String instance, List<String> services, boolean isRelay, Version version) {
    static final int MAX_SERVICES = 4_096;

    Hello {
        Resource.checkName("instance", instance);
        if (services.size() > MAX_SERVICES) {
            throw new IllegalArgumentException(
                    "services of " + instance + ": " + services.size() + ", " + MAX_SERVICES + " at most");
        }
        services.forEach(each -> Resource.checkName("service", each));
    }
}
