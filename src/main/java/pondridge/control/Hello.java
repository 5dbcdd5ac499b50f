package pondridge.control;

import java.util.List;

/**
 * How a watcher begins.
 *
 * @param instance its name
 * @param services that it follows; empty for all
 * @param passesOn whether it is a relay: it gets numbers and markers, and tells sums
 * @param version that it has; {@link Version#NONE} to get the whole
 */
record Hello(String instance, List<String> services, boolean passesOn, Version version) {
    static final int MOST_SERVICES = 4_096;

    Hello {
        Resource.checkName("instance", instance);
        if (services.size() > MOST_SERVICES) {
            throw new IllegalArgumentException(
                    "services of " + instance + ": " + services.size() + ", " + MOST_SERVICES + " at most");
        }
        services.forEach(each -> Resource.checkName("service", each));
    }
}
