package pondridge.control;

/**
 * The version of a state. Numbers count the commits of the source within an epoch. A source that has lost its
 * history starts a later epoch, so that its numbers can't be confused with earlier ones.
 */
public record Version(long epoch, long number) implements Comparable<Version> {
    /** The version of an empty state. */
    public static final Version NONE = new Version(0, 0);

    @Override
    public int compareTo(Version other) {
        return epoch != other.epoch ? Long.compare(epoch, other.epoch) : Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
