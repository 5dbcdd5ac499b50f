package pondridge.pool;

/**
 * A connection as its pool sees it: something that takes attempts while it has credit for them. Asked by
 * {@link Pool} within its events only; none of these methods may call back into it.
 */
public interface Member {
    /** How many more attempts it takes just now; 0 before it is up and once it is of no more use. */
    int credit();

    /** Whether it may ever take another attempt; asked once it is up. */
    boolean usable();

    /** Whether nothing is on it. */
    boolean idle();

    /** Since when it is idle, in nanoseconds on the pool's clock; asked where it is idle. */
    long idleSince();
}
