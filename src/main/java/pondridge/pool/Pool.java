package pondridge.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one upstream's pool of connections decides. Attempts get credit in the order they came; the oldest
 * member with credit takes one; another member is dialled, one at a time, only when those that are up have no
 * room for all who wait. What comes to nothing spaces the next dial out.
 *
 * <p>Events come in by the public methods, each with the time in nanoseconds on one clock that never runs
 * back; {@link Actions} go out, perhaps several an event, and carrying one out may bring the next event
 * within it. After each event that can leave someone waiting the caller asks {@link #due()} when to
 * {@link #tick}. One thread only.
 *
 * <p>Not final so that a test can break one rule and show that its model notices.
 *
 * @param <M> the members
 * @param <T> what attempts are known by; compared with {@code equals}
 */
public class Pool<M extends Member, T> {
    /** {@link #due()} when there is nothing to tick for. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final int MOST_DOUBLINGS = 4;

    /** What a pool orders. */
    public interface Actions<M, T> {
        /** Makes a member and begins to dial; its {@code cameUp} or {@code lost} comes after this call. */
        M dial();

        /** Puts an attempt on a member that has credit; the member's credit is less when this returns. */
        void place(M member, T attempt);

        /** Ends an attempt that was on no member. */
        void end(T attempt, Turned why);

        /** Closes a member now; its {@code lost} follows, perhaps within this call. */
        void close(M member);

        /** Lets what is on a member end by itself, and then closes it. */
        void retire(M member);

        /** Calls {@link Pool#turn} once what is being read now has been. */
        void turn();
    }

    /** Where a dialled member stands. */
    private enum State {
        OPENING,
        UP,
        LEAVING
    }

    private static final class Seat<M> {
        private final M member;
        private State state = State.OPENING;
        private boolean evicted;

        Seat(M member) {
            this.member = member;
        }
    }

    /** What {@link #ask} found. */
    public enum Reach {
        UP,
        COMING,
        SHUT,
        NOT_NOW
    }

    private final PoolLimits limits;
    private final SharedRoom room;
    private final Actions<M, T> actions;
    private final List<Seat<M>> seats = new ArrayList<>();
    /** Who waits, and since when, in the order they came. */
    private final Map<T, Long> waiting = new LinkedHashMap<>();

    private Seat<M> opening;
    private boolean open;
    private boolean asked;
    /** What the shared room said to the wish that stands there; null if none does. */
    private SharedRoom.Grant wish;

    private boolean turning;
    private int misses;
    private long notBefore;
    private long upSince;

    /** A pool that is shut until {@link #open} is called. */
    public Pool(PoolLimits limits, SharedRoom room, Actions<M, T> actions, long now) {
        this.limits = limits;
        this.room = room;
        this.actions = actions;
        this.notBefore = now;
        this.upSince = now;
        room.joined(this);
    }

    /** The upstream takes attempts from now on. */
    public final void open() {
        open = true;
    }

    /** Nothing new goes there: who waits is turned away, what is up retires, what is coming up is closed. */
    public final void shut() {
        open = false;
        asked = false;
        endAll(Turned.SHUT);
        emptyOut();
    }

    /** Another process is there now: nothing learned of the one before holds, and its members retire. */
    public final void renewed(long now) {
        misses = 0;
        notBefore = now;
        emptyOut();
        turnSoon();
        if (asked) {
            supply(now);
        }
    }

    private void emptyOut() {
        for (Seat<M> seat : List.copyOf(seats)) {
            if (seat.state == State.OPENING) {
                drop(seat);
            } else {
                seat.state = State.LEAVING;
                actions.retire(seat.member);
            }
        }
    }

    private void drop(Seat<M> seat) {
        if (opening == seat) {
            opening = null;
        }
        // Closed from here: its end will say nothing about the upstream.
        seat.state = State.LEAVING;
        actions.close(seat.member);
    }

    /** Takes an attempt: it is placed, waits, or is turned away. */
    public final void offer(T attempt, long now) {
        if (!open) {
            actions.end(attempt, Turned.SHUT);
            return;
        }
        M free = waiting.isEmpty() ? free() : null;
        if (free != null) {
            actions.place(free, attempt);
        } else if (waiting.size() >= limits.waiting()) {
            actions.end(attempt, Turned.FULL);
        } else {
            waiting.put(attempt, now);
            supply(now);
        }
    }

    /** An attempt waits no more, by its own wish; false if it did not wait. */
    public final boolean withdraw(T attempt) {
        boolean waited = waiting.remove(attempt) != null;
        forgetWish();
        return waited;
    }

    /** Asks for a member to be there, with nothing to put on it. */
    public final Reach ask(long now) {
        if (anyUsable()) {
            return Reach.UP;
        }
        if (!open) {
            return Reach.SHUT;
        }
        asked = true;
        grow(now);
        asked = opening != null || wish == SharedRoom.Grant.COMING;
        forgetWish();
        return asked ? Reach.COMING : Reach.NOT_NOW;
    }

    /** Whether what {@link #ask} began is still on its way. */
    public final boolean asked() {
        return asked;
    }

    /** A member is ready for attempts; it may already have no credit, or be of no use. */
    public final void cameUp(M member, long now) {
        Seat<M> seat = seat(member);
        if (seat == null || seat.state != State.OPENING) {
            return;
        }
        if (!anyUsable()) {
            upSince = now;
        }
        seat.state = State.UP;
        opening = null;
        asked = false;
        freed(now);
    }

    /** A member's credit or use may have changed. */
    public final void freed(long now) {
        turnSoon();
        if (!turning) {
            room.idle(now);
        }
    }

    /**
     * A member takes no more, by the upstream's will.
     *
     * @param useful it has served something: then the next dial need not wait
     */
    public final void leaving(M member, boolean useful, long now) {
        Seat<M> seat = seat(member);
        if (seat != null && seat.state == State.UP) {
            seat.state = State.LEAVING;
            missed(useful, now);
            turnSoon();
        }
    }

    /** A member is no more; told once for each that was dialled. */
    public final void lost(M member, boolean useful, long now) {
        Seat<M> seat = seat(member);
        if (seat == null) {
            return;
        }
        seats.remove(seat);
        if (opening == seat) {
            opening = null;
            asked = false;
        }
        if (seat.state != State.LEAVING) {
            missed(useful, now);
        }
        turnSoon();
        room.release(seat.evicted, now);
    }

    private void missed(boolean useful, long now) {
        if (useful) {
            misses = 0;
        } else {
            notBefore = now + (limits.redial() << Math.min(misses, MOST_DOUBLINGS));
            misses++;
        }
    }

    /** The turn that was asked for: credit goes to those who wait, the first first. */
    public final void turn(long now) {
        turning = false;
        tick(now);
        if (!turning) {
            room.idle(now);
        }
    }

    /** It is time, by {@link #due()} or later. */
    public final void tick(long now) {
        while (open && !waiting.isEmpty()) {
            M free = free();
            if (free == null) {
                break;
            }
            T next = first();
            waiting.remove(next);
            actions.place(free, next);
        }
        if (!hope()) {
            supply(now);
        }
        while (!waiting.isEmpty() && !comingUp() && until() - now <= 0) {
            T next = first();
            waiting.remove(next);
            actions.end(next, Turned.STARVED);
        }
        supply(now);
        forgetWish();
    }

    /** When to {@link #tick} next; {@link #NEVER} if no time matters. */
    public final long due() {
        long due = waiting.isEmpty() || comingUp() ? NEVER : until();
        if (wanting() && opening == null && wish == null && mayHoldMore()) {
            due = due == NEVER || notBefore - due < 0 ? notBefore : due;
        }
        return due;
    }

    /** Closes members that have been idle for longer than this. */
    public final void closeIdle(long longerThan, long now) {
        for (Seat<M> seat : List.copyOf(seats)) {
            if (seat.state == State.UP && seat.member.idle() && now - seat.member.idleSince() > longerThan) {
                drop(seat);
            }
        }
    }

    /** All members that are not yet lost, the oldest first. */
    public final List<M> members() {
        return seats.stream().map(seat -> seat.member).toList();
    }

    /** Ends the pool's part in the shared room, if it holds nothing; false if it does. */
    public final boolean dissolve() {
        if (open || !seats.isEmpty()) {
            return false;
        }
        room.left(this);
        return true;
    }

    final Member longestIdle() {
        Seat<M> longest = longestIdleSeat();
        return longest == null ? null : longest.member;
    }

    private Seat<M> longestIdleSeat() {
        Seat<M> longest = null;
        for (Seat<M> seat : seats) {
            // One with somebody waiting for it is not idle, it is about to be used.
            if (seat.state == State.UP
                    && seat.member.idle()
                    && (waiting.isEmpty() || seat.member.credit() == 0)
                    && (longest == null || seat.member.idleSince() - longest.member.idleSince() < 0)) {
                longest = seat;
            }
        }
        return longest;
    }

    final void evictLongestIdle(long now) {
        Seat<M> longest = longestIdleSeat();
        longest.evicted = true;
        drop(longest);
    }

    /** Room has come that this pool had wished for. */
    final void roomCame(long now) {
        wish = null;
        supply(now);
    }

    /** Whether those who wait are more than those that are up have credit for. */
    boolean lacking() {
        long credit = 0;
        for (Seat<M> seat : seats) {
            credit += seat.state == State.UP ? seat.member.credit() : 0;
        }
        return waiting.size() > credit;
    }

    private boolean wanting() {
        return open && (asked && !anyUsable() || !waiting.isEmpty() && lacking());
    }

    /** Dials if that is called for, and turns away all who wait if they have nothing to wait for. */
    private void supply(long now) {
        if (wanting()) {
            grow(now);
            if (!hope()) {
                endAll(misses > 0 ? Turned.UNREACHABLE : Turned.NO_ROOM);
            }
        }
    }

    private void grow(long now) {
        if (opening != null || !mayHoldMore() || now - notBefore < 0) {
            return;
        }
        SharedRoom.Grant grant = room.take(this, now);
        wish = grant == SharedRoom.Grant.GRANTED ? null : grant;
        if (wish == null) {
            opening = new Seat<>(actions.dial());
            seats.add(opening);
        }
    }

    private boolean mayHoldMore() {
        int use = 0;
        for (Seat<M> seat : seats) {
            use += ofUse(seat) ? 1 : 0;
        }
        return use < limits.members() && seats.size() < 2 * limits.members();
    }

    private void forgetWish() {
        if (wish != null && !wanting()) {
            wish = null;
            room.withdraw(this);
        }
    }

    /** Whether anything is there or on its way that those who wait may get. */
    private boolean hope() {
        return opening != null || wish == SharedRoom.Grant.COMING || anyUsable();
    }

    private boolean comingUp() {
        return opening != null && !anyUsable();
    }

    private long until() {
        long since = waiting.values().iterator().next();
        return (since - upSince > 0 ? since : upSince) + limits.patience();
    }

    private T first() {
        return waiting.keySet().iterator().next();
    }

    private void turnSoon() {
        if (!turning && !waiting.isEmpty()) {
            turning = true;
            actions.turn();
        }
    }

    private void endAll(Turned why) {
        for (T attempt : List.copyOf(waiting.keySet())) {
            if (waiting.remove(attempt) != null) {
                actions.end(attempt, why);
            }
        }
    }

    private M free() {
        for (Seat<M> seat : seats) {
            if (seat.state == State.UP && seat.member.credit() > 0) {
                return seat.member;
            }
        }
        return null;
    }

    private static boolean ofUse(Seat<? extends Member> seat) {
        return seat.state == State.OPENING || seat.state == State.UP && seat.member.usable();
    }

    /** Whether a member is up that may yet have credit. */
    private boolean anyUsable() {
        for (Seat<M> seat : seats) {
            if (seat.state == State.UP && seat.member.usable()) {
                return true;
            }
        }
        return false;
    }

    private Seat<M> seat(M member) {
        for (Seat<M> seat : seats) {
            if (seat.member == member) {
                return seat;
            }
        }
        return null;
    }
}
