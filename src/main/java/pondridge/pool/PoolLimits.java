package pondridge.pool;

/**
 * The bounds of one pool; times in nanoseconds.
 *
 * @param members that may come up or be of use at a time; as many again may be on their way out
 * @param waiting attempts that may wait for credit
 * @param patience how long one waits, from when it came or, if later, from when the first member came up
 * @param redial after a member that came to nothing, how long none is dialled; doubled with each in a row, up
 *     to 16 times
 */
public record PoolLimits(int members, int waiting, long patience, long redial) {}
