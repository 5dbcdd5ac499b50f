package pondridge.control;

/**
 * How new a state is. Numbers count the source's commits within an epoch; a source that has lost its history
 * begins a later epoch, so that its numbers are never taken for those of before.
 */
public record Version(long epoch, long number) implements Comparable<Version> {
    /** Of one that knows nothing yet. */
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
