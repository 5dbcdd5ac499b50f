package pondridge.control;

/**
 * A watcher's reply to an update. A relay also sends it unprompted, to report status.
 *
 * @param serial of the update that is acknowledged; 0 for a status report
 * @param version that the watcher holds now
 * @param result the outcome of the update
 * @param status of the followers below a relay
 */
record Ack(long serial, Version version, FollowerState.ApplyResult result, PropagationStatus status) {}
