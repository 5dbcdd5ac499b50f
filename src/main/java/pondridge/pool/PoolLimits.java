package pondridge.pool;

/**
 * The limits of one pool.
 *
 * @param maxConnections connections that may be connecting or usable at a time; as many again may be ending
 * @param maxWaiting attempts that may wait for credit
 * @param waitTimeoutNanos how long an attempt waits, from its arrival or, if later, from when the first
 *     connection was established
 * @param redialDelayNanos after a failed connection, how long none is dialled; doubled with each consecutive
 *     failure, up to 16 times
 */
public record PoolLimits(int maxConnections, int maxWaiting, long waitTimeoutNanos, long redialDelayNanos) {}
