package pondridge.http2;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import pondridge.Balancer.Outcome;
import pondridge.core.Evidence;

/**
 * The streams of one connection to an upstream: whether one more may be opened, and what each end proves. It
 * has no socket, clock or thread; the connection tells it what it has written and read, in order, and passes
 * on the {@link End}s that come of it. Each stream's end is told once; a stream that was given up stays in
 * the table without an attempt until it is reset, since the upstream counts it.
 *
 * @param <T> what the caller knows an attempt by
 */
final class StreamTable<T> {
    /** Error codes of RFC 9113, section 7, that are looked at. */
    static final long REFUSED_STREAM = 0x7;

    static final long HTTP_1_1_REQUIRED = 0xd;
    /** Some answers come behind interim ones; more than a few are no way to an answer. */
    static final int MOST_INTERIM = 16;

    private static final int LAST_ID = Integer.MAX_VALUE;

    /**
     * An attempt's end.
     *
     * @param open the upstream still has the stream open: it is to be reset, as often as that may be done
     * @param unsent the request has not wholly left; what is proven holds only if the stream is reset now
     */
    record End<T>(T attempt, int stream, Outcome outcome, boolean open, boolean unsent) {}

    /** One stream; {@code attempt} is null once it has ended. */
    private static final class Stream<T> {
        private final int id;
        private T attempt;
        private boolean handed;
        private int interim;
        private int status;
        private boolean declined;

        Stream(int id, T attempt) {
            this.id = id;
            this.attempt = attempt;
        }

        boolean answering() {
            return interim > 0 || status > 0;
        }
    }

    private final Proof proof;
    private final TreeMap<Integer, Stream<T>> streams = new TreeMap<>();
    private long nextId;
    private long limit = -1;
    private int lastStream = LAST_ID;
    private boolean leaving;

    /** A table whose first stream is {@code firstId}, an odd number: 1 but in tests. */
    StreamTable(Proof proof, int firstId) {
        this.proof = proof;
        this.nextId = firstId;
    }

    /**
     * The upstream's SETTINGS have come, its first or later ones.
     *
     * @param most SETTINGS_MAX_CONCURRENT_STREAMS, an unsigned 32-bit number, or null where they name none
     */
    void settings(Long most) {
        if (most != null) {
            limit = most;
        } else if (limit < 0) {
            limit = Long.MAX_VALUE;
        }
    }

    /** Whether the first SETTINGS have come: until then nothing shows that HTTP/2 is spoken there. */
    boolean up() {
        return limit >= 0;
    }

    /** Whether one more stream may be opened now. */
    boolean mayOpen() {
        return credit() > 0;
    }

    /** How many more streams may be opened now. */
    int credit() {
        if (!up() || !usable()) {
            return 0;
        }
        long ids = (LAST_ID - nextId) / 2 + 1;
        return (int) Math.max(0, Math.min(ids, limit - streams.size()));
    }

    /** Whether streams may ever again be opened: false after a GOAWAY, a drain or the last stream id. */
    boolean usable() {
        return !leaving && nextId <= LAST_ID;
    }

    /** Opens a stream for an attempt and returns its id. */
    int open(T attempt) {
        if (!mayOpen()) {
            throw new IllegalStateException("no stream may be opened");
        }
        int id = (int) nextId;
        nextId += 2;
        streams.put(id, new Stream<>(id, attempt));
        return id;
    }

    /** The attempt on a stream; null where there is none, or none any more. */
    T attempt(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null ? null : stream.attempt;
    }

    /** The frame with END_STREAM is given to the socket: from now on the request may run. */
    void handed(int id) {
        Stream<T> stream = streams.get(id);
        if (stream != null) {
            stream.handed = true;
        }
    }

    /** That frame was not wholly written and never will be. */
    void unhanded(int id) {
        Stream<T> stream = streams.get(id);
        if (stream != null) {
            stream.handed = false;
        }
    }

    /** The request could not be written at all, through no fault of the upstream's. */
    End<T> unsendable(int id) {
        Stream<T> stream = streams.remove(id);
        return stream == null ? null : end(stream, Outcome.NEVER_SENT, false);
    }

    /**
     * The answer's head has come, an interim one, or its trailers.
     *
     * @param status the status; 0 where none can be read
     * @param declined it says that the request was turned away unseen
     * @param end with it the answer is whole
     * @return the attempt's end, or null while it goes on
     */
    End<T> head(int id, int status, boolean declined, boolean end) {
        Stream<T> stream = streams.get(id);
        if (stream == null) {
            return null;
        }
        if (stream.status > 0) {
            // Trailers: nothing in them is for the application, but they are the answer's end.
            return end ? whole(stream) : spoilt(id);
        }
        if (status / 100 == 1) {
            // 101 does not exist in HTTP/2 (section 8.6).
            boolean bad = status == 101 || end || ++stream.interim > MOST_INTERIM;
            return bad ? spoilt(id) : null;
        }
        if (status < 200 || status > 599) {
            return spoilt(id);
        }
        stream.status = status;
        stream.declined = declined;
        return end ? whole(stream) : null;
    }

    /** A part of the answer's body has come; null while the attempt goes on. */
    End<T> data(int id, boolean end) {
        Stream<T> stream = streams.get(id);
        if (stream == null) {
            return null;
        }
        return stream.status == 0 ? spoilt(id) : end ? whole(stream) : null;
    }

    /** What has come can't be an answer, or is too large for one: the attempt has failed. */
    End<T> spoilt(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null ? null : end(stream, Outcome.ERROR, true);
    }

    private End<T> whole(Stream<T> stream) {
        // A 200 for what has not wholly left can't be an answer to it.
        Outcome outcome = stream.status == 200 && !stream.handed
                ? Outcome.ERROR
                : Evidence.ofAnswer(stream.status, stream.declined);
        if (stream.handed) {
            streams.remove(stream.id);
        }
        return end(stream, outcome, !stream.handed);
    }

    /** The upstream has reset the stream (section 6.4); after a whole answer it is no more in the table. */
    End<T> reset(int id, long code) {
        Stream<T> stream = streams.remove(id);
        return stream == null ? null : end(stream, proof.reset(stream.handed, stream.answering(), code), false);
    }

    /**
     * A GOAWAY has come (section 6.8): nothing new may be opened, and what is above its last stream was not
     * and will not be acted upon. One that names no lower stream than one before ends nothing.
     */
    List<End<T>> goAway(int last) {
        leaving = true;
        lastStream = Math.min(lastStream, last);
        List<End<T>> ends = new ArrayList<>();
        Collection<Stream<T>> above =
                List.copyOf(streams.tailMap(lastStream, false).values());
        for (Stream<T> stream : above) {
            streams.remove(stream.id);
            add(ends, end(stream, proof.aboveLastStream(stream.answering()), false));
        }
        return ends;
    }

    /** Opens no more streams; what is open ends by itself. */
    void retire() {
        leaving = true;
    }

    /**
     * The upstream drains or is gone: opens no more streams, and ends the attempts that have not wholly left.
     */
    List<End<T>> drain() {
        retire();
        List<End<T>> ends = new ArrayList<>();
        for (Stream<T> stream : streams.values()) {
            if (proof.unsent(stream.handed, stream.answering())) {
                add(ends, end(stream, Outcome.CONNECT_FAILED, true));
            }
        }
        return ends;
    }

    /** The connection has ended, in whatever way: every attempt on it has. */
    List<End<T>> lost() {
        leaving = true;
        List<End<T>> ends = new ArrayList<>();
        for (Stream<T> stream : streams.values()) {
            add(ends, end(stream, proof.lost(stream.handed, stream.answering()), false));
        }
        streams.clear();
        return ends;
    }

    /** The attempt's time is up. */
    End<T> late(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null ? null : end(stream, proof.late(stream.handed, stream.answering()), true);
    }

    /** The attempt is withdrawn. */
    End<T> cancelled(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null ? null : end(stream, Outcome.CANCELLED, true);
    }

    /** The attempt's request has ended: one that has not wholly left ends now, null where it goes on. */
    End<T> withdrawn(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null || !proof.unsent(stream.handed, stream.answering())
                ? null
                : end(stream, Outcome.NEVER_SENT, true);
    }

    /** A stream that had been given up is reset now, and no more counted. */
    void closed(int id) {
        streams.remove(id);
    }

    /** Streams whose attempts have ended while the upstream still has them open, the oldest first. */
    List<Integer> givenUp() {
        return streams.values().stream()
                .filter(stream -> stream.attempt == null)
                .map(stream -> stream.id)
                .toList();
    }

    /** How many streams the upstream has open, as far as is known here. */
    int open() {
        return streams.size();
    }

    private End<T> end(Stream<T> stream, Outcome outcome, boolean open) {
        if (stream.attempt == null) {
            return null;
        }
        T attempt = stream.attempt;
        stream.attempt = null;
        return new End<>(attempt, stream.id, outcome, open, open && !stream.handed);
    }

    private static <T> void add(List<End<T>> ends, End<T> end) {
        if (end != null) {
            ends.add(end);
        }
    }
}
