package pondridge.control;

import java.util.List;

/**
 * An update from a server to a watcher: a snapshot of the watcher's services, or a delta from a version that
 * it holds. Without changes it is a heartbeat.
 *
 * @param serial sequence number within the connection, from 1
 * @param version that the watcher has after this update
 * @param snapshot whether resources that are not in the update are to be removed
 * @param baseNumber commit number that the delta starts from, in the same epoch; 0 for a snapshot
 * @param oldestDeltaBase lowest commit number from which the sender can compute a delta
 * @param missingServices requested services that do not exist
 * @param digest of all that the watcher holds after applying this update
 * @param ageMs time since the source last confirmed the sender's state, in milliseconds; -1 if it never did
 */
record Update(
        long serial,
        Version version,
        boolean snapshot,
        long baseNumber,
        long oldestDeltaBase,
        List<Change> changes,
        List<String> missingServices,
        long digest,
        long ageMs) {}
