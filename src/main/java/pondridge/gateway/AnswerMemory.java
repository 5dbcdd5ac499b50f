package pondridge.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a gateway answered to keyed requests that came by a link, so that a repeat whose first answer was lost
 * on the way back gets the same one and no second run, and one that comes while the first still runs joins
 * it. Bounded in entries and bytes. When it is full the oldest answers give way, then new requests are not
 * remembered: both are safe, since the servers themselves drop repeats within the window, and a repeat is
 * sent only within it. Nothing is remembered of a request that was not served. Times in nanoseconds, on one
 * clock.
 *
 * @param <C> who waits for an answer
 * @param <A> answers
 */
final class AnswerMemory<C, A> {
    /** What is to be done with a request. */
    enum Verdict {
        /** Run it and tell {@link #ended}. */
        RUN,
        /** Run it; there is no room to remember it, and {@link #ended} must not be told. */
        RUN_UNREMEMBERED,
        /** The same is running: the caller has joined it and is among those that {@link #ended} gives. */
        JOINED,
        /** Give the answer that {@link #answer} holds. */
        REPLAY,
        /** The key stands for another request, or too many wait for this one. */
        REFUSE
    }

    private static final class Entry<C, A> {
        private final String digest;
        private final List<C> waiting = new ArrayList<>(1);
        private A answer;
        private int bytes;
        private long until;

        Entry(String digest) {
            this.digest = digest;
        }
    }

    private record Ageing(String key, long until) {}

    private final int most;
    private final long mostBytes;
    private final int mostJoined;
    private final Map<String, Entry<C, A>> entries = new LinkedHashMap<>();
    /** Answered ones, by how long they are kept, each line in the order it ends. */
    private final Map<Long, ArrayDeque<Ageing>> answered = new HashMap<>();

    private long bytes;

    /**
     * An empty memory.
     *
     * @param most requests in it, running ones among them
     * @param mostBytes of all answers in it
     * @param mostJoined that may wait for one run, the first among them
     */
    AnswerMemory(int most, long mostBytes, int mostJoined) {
        this.most = most;
        this.mostBytes = mostBytes;
        this.mostJoined = mostJoined;
    }

    /** A request has come: {@code key} names it, {@code digest} all that makes it the same request. */
    Verdict ask(String key, String digest, C asker, long now) {
        forget(now);
        Entry<C, A> entry = entries.get(key);
        if (entry == null) {
            if (entries.size() >= most && !evict()) {
                return Verdict.RUN_UNREMEMBERED;
            }
            entry = new Entry<>(digest);
            entry.waiting.add(asker);
            entries.put(key, entry);
            return Verdict.RUN;
        }
        if (!entry.digest.equals(digest)) {
            return Verdict.REFUSE;
        }
        if (entry.answer != null) {
            return Verdict.REPLAY;
        }
        if (entry.waiting.size() >= mostJoined) {
            return Verdict.REFUSE;
        }
        entry.waiting.add(asker);
        return Verdict.JOINED;
    }

    /** The answer to a request that {@link #ask} said to replay. */
    A answer(String key) {
        return entries.get(key).answer;
    }

    /**
     * A run has ended; gives all who wait for it.
     *
     * @param answer what is kept, or null if it was not served
     * @param size of the answer in bytes
     * @param keep for how long
     */
    List<C> ended(String key, A answer, int size, long keep, long now) {
        Entry<C, A> entry = entries.get(key);
        List<C> told = List.copyOf(entry.waiting);
        entry.waiting.clear();
        if (answer == null || keep <= 0 || size > mostBytes) {
            entries.remove(key);
            return told;
        }
        entry.answer = answer;
        entry.bytes = size;
        entry.until = now + keep;
        bytes += size;
        answered.computeIfAbsent(keep, each -> new ArrayDeque<>()).add(new Ageing(key, entry.until));
        while (bytes > mostBytes) {
            evict();
        }
        return told;
    }

    /** Requests that it holds. */
    int size() {
        return entries.size();
    }

    /** Bytes of all answers that it holds. */
    long bytes() {
        return bytes;
    }

    private void forget(long now) {
        for (ArrayDeque<Ageing> line : answered.values()) {
            while (!line.isEmpty() && line.peek().until - now <= 0) {
                drop(line.poll().key);
            }
        }
    }

    /** Drops the answer that would end first; false if there is none. */
    private boolean evict() {
        ArrayDeque<Ageing> first = null;
        for (ArrayDeque<Ageing> line : answered.values()) {
            if (!line.isEmpty() && (first == null || line.peek().until - first.peek().until < 0)) {
                first = line;
            }
        }
        if (first != null) {
            drop(first.poll().key);
        }
        return first != null;
    }

    private void drop(String key) {
        bytes -= entries.remove(key).bytes;
    }
}
