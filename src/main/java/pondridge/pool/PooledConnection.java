package pondridge.pool;

/**
 * A connection as its pool sees it: it can take attempts while it has credit. {@link ConnectionPool} calls these
 * methods only while it handles an event; none of them may call back into the pool.
 */
public interface PooledConnection {
    /** How many more attempts it can take now; 0 before it is established and once it is no longer usable. */
    int credit();

    /** Whether it can ever take another attempt; queried only once it is established. */
    boolean isUsable();

    /** Whether it has no running attempts. */
    boolean isIdle();

    /** When it became idle, in nanoseconds on the pool's clock; queried only while it is idle. */
    long idleSinceNanos();
}
