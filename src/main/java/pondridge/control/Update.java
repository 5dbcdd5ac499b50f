package pondridge.control;

import java.util.List;

/**
 * What a server tells a watcher: the whole of its services, or the difference since a version that it has;
 * without changes it is a beat.
 *
 * @param serial within the call, from 1
 * @param version that it brings the watcher to
 * @param whole whether all that is not in it has gone
 * @param from the difference is since this number, of the same epoch; 0 for the whole
 * @param floor the sender can tell differences since this number, and later ones
 * @param absent services asked for that are not there
 * @param digest of all that the watcher holds when it has taken this
 * @param ageMs how long ago the source was heard by the sender, in milliseconds
 */
record Update(
        long serial,
        Version version,
        boolean whole,
        long from,
        long floor,
        List<Change> changes,
        List<String> absent,
        long digest,
        long ageMs) {}
