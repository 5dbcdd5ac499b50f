package pondridge.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import pondridge.Balancer.ListKind;
import pondridge.core.Directory;
import pondridge.core.Target;

/**
 * How lists travel from their source to those who follow them: the seam at which one way is put in place of
 * another and both are measured alike. A way has its source running from its making on, on threads of its
 * own. Versions are whole numbers; the source begins with {@link #FIRST}, and each put is one more. All
 * methods but those of {@link Link} are called on the run's thread, never on an event loop.
 */
public interface ListWay extends AutoCloseable {
    /** The version of the list that a source begins with. */
    long FIRST = 1;

    /** One follower's end. All its methods, and the listener's calls, are on the follower's loop. */
    interface Link extends Directory {
        /** Begins to follow without being asked to, where this way does so. */
        void follow();

        /** The version that the follower has; while the listener is called, the one that it is told. */
        long version();

        /** Lets go of the list, for good. */
        default void end() {
            watch(false);
        }
    }

    /**
     * What the source, or all relays together, have done; sums that only grow, but the last.
     *
     * @param calls requests or connections that came
     * @param lists whole lists written, {@code changes} differences and {@code empties} signs of life
     * @param bytes all that was written
     * @param watches who is followed now
     */
    record Counts(long calls, long lists, long changes, long empties, long bytes, int watches) {
        static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0);

        Counts plus(Counts other) {
            return new Counts(
                    calls + other.calls,
                    lists + other.lists,
                    changes + other.changes,
                    empties + other.empties,
                    bytes + other.bytes,
                    watches + other.watches);
        }

        Counts since(Counts before) {
            return new Counts(
                    calls - before.calls,
                    lists - before.lists,
                    changes - before.changes,
                    empties - before.empties,
                    bytes - before.bytes,
                    watches);
        }

        long messages() {
            return lists + changes + empties;
        }
    }

    /** Puts changed lines, as the next version; does not wait. */
    void put(List<Target> changed);

    /**
     * Makes one follower's end.
     *
     * @param follower its number; below 0 for one that is not counted
     * @param region whether it is among those that {@link #cut} cuts off
     */
    Link attach(int follower, EventLoop loop, boolean region, BiConsumer<ListKind, List<Target>> listener);

    /** Where real sidecars find the source, as their configuration's {@code discovery}. */
    InetSocketAddress door();

    /** The source, or one of the relays where there are some, is gone, or back with the list it had. */
    void kill(boolean on);

    /** The source is gone, or back, whether there are relays or not. */
    default void killSource(boolean on) {
        kill(on);
    }

    /** The source says nothing more on what is open, or speaks again. */
    void silence(boolean on);

    /** Followers of the region can't reach the source, or can again. */
    void cut(boolean on);

    /** What the source has done. */
    Counts counts();

    /** What relays between the source and the followers have done; nothing where there are none. */
    default Counts relayed() {
        return Counts.NONE;
    }

    /** How many followers are followed now. */
    default int watches() {
        return counts().watches();
    }

    /** Processor time of all relays so far, in nanoseconds. */
    default long relayNanos() {
        return 0;
    }

    /** Processor time of the source so far, in nanoseconds. */
    long cpuNanos();

    @Override
    void close();
}
