package pondridge.pool;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bound on the members of several pools together, and who makes room for whom: where none is free, the
 * member that has been idle for longest goes, whosever it is, and pools that found none get what comes free
 * in the order they asked. Used by its pools alone, on their thread.
 */
public final class SharedRoom {
    /** What became of an asking. */
    enum Grant {
        /** The room is the asker's. */
        GRANTED,
        /** A member is closing for it; the asker is told once it has. */
        COMING,
        /** All members are busy; the asker is told when one no longer is. */
        NONE
    }

    private final int most;
    private final Set<Pool<?, ?>> pools = new LinkedHashSet<>();
    private final Set<Pool<?, ?>> wishes = new LinkedHashSet<>();
    private int taken;
    private int closing;

    /** Room for so many members. */
    public SharedRoom(int most) {
        this.most = most;
    }

    /** How many members there are. */
    public int taken() {
        return taken;
    }

    void joined(Pool<?, ?> pool) {
        pools.add(pool);
    }

    /** A pool that holds no member any more and will dial none. */
    void left(Pool<?, ?> pool) {
        pools.remove(pool);
        wishes.remove(pool);
    }

    Grant take(Pool<?, ?> asker, long now) {
        int before = wishes.size() - (wishes.contains(asker) ? 1 : 0);
        if (taken >= most && closing <= before) {
            // Its end may be told within this call.
            evictLongestIdle(now);
        }
        if (taken < most) {
            taken++;
            wishes.remove(asker);
            return Grant.GRANTED;
        }
        wishes.add(asker);
        return closing >= wishes.size() ? Grant.COMING : Grant.NONE;
    }

    void withdraw(Pool<?, ?> asker) {
        wishes.remove(asker);
    }

    /** A member is no more; {@code evicted} if it was closed to make room. */
    void release(boolean evicted, long now) {
        taken--;
        closing -= evicted ? 1 : 0;
        while (taken < most && !wishes.isEmpty()) {
            Pool<?, ?> first = wishes.iterator().next();
            wishes.remove(first);
            first.roomCame(now);
        }
    }

    /** A member may have become idle: if others wait for room, it makes some. */
    void idle(long now) {
        if (closing < wishes.size()) {
            evictLongestIdle(now);
        }
    }

    private void evictLongestIdle(long now) {
        Pool<?, ?> holder = null;
        long since = 0;
        for (Pool<?, ?> each : pools) {
            Member longest = each.longestIdle();
            if (longest != null && (holder == null || longest.idleSince() - since < 0)) {
                holder = each;
                since = longest.idleSince();
            }
        }
        if (holder != null) {
            closing++;
            holder.evictLongestIdle(now);
        }
    }
}
