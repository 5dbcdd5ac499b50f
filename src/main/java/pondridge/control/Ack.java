package pondridge.control;

/**
 * What a watcher says back: of each update, and a relay also from time to time.
 *
 * @param serial of the update that is answered; 0 where none is
 * @param version that it has now
 * @param verdict what came of the update
 * @param sums of those below, for a relay
 */
record Ack(long serial, Version version, FollowerState.Verdict verdict, Sums sums) {}
