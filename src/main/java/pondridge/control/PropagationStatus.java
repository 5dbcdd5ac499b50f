package pondridge.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Which version the followers have, aggregated from relay to relay rather than listed per follower.
 *
 * @param followerCount number of followers
 * @param lowestVersion that any of them uses; null if there are none
 * @param laggingInstances names of a few that do not have the newest version
 */
public record PropagationStatus(long followerCount, Version lowestVersion, List<String> laggingInstances) {
    /** The status without any followers. */
    public static final PropagationStatus NONE = new PropagationStatus(0, null, List.of());

    static final int MAX_LAGGING_INSTANCES = 3;

    /** Combines two statuses. */
    PropagationStatus plus(PropagationStatus other) {
        List<String> names = new ArrayList<>(laggingInstances);
        other.laggingInstances.stream()
                .limit(MAX_LAGGING_INSTANCES - Math.min(MAX_LAGGING_INSTANCES, names.size()))
                .forEach(names::add);
        return new PropagationStatus(
                followerCount + other.followerCount,
                lowestVersion == null
                        ? other.lowestVersion
                        : other.lowestVersion == null || lowestVersion.compareTo(other.lowestVersion) <= 0
                                ? lowestVersion
                                : other.lowestVersion,
                names);
    }
}
