package pondridge.http2;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import pondridge.Balancer.Outcome;
import pondridge.core.ResponseClassifier;

/**
 * The streams of one connection to an upstream. Decides whether another stream may be opened and which
 * outcome the end of a stream proves. It uses no socket, clock or thread: the connection reports what it has
 * written and read, in order, and acts on the {@link AttemptEnd}s that are returned. The end of each attempt
 * is returned once. A stream whose attempt has ended early stays in the table, without an attempt, until it
 * is reset, because the upstream still counts it against its limit.
 *
 * @param <T> identifies an attempt to the caller
 */
final class StreamTable<T> {
    /** Error codes of RFC 9113, section 7, that are handled specially. */
    static final long REFUSED_STREAM = 0x7;

    static final long HTTP_1_1_REQUIRED = 0xd;
    /** A few interim responses may precede the final one; a server that sends more is treated as faulty. */
    static final int MAX_INTERIM_RESPONSES = 16;

    private static final int MAX_STREAM_ID = Integer.MAX_VALUE;

    /**
     * The end of an attempt.
     *
     * @param streamOpen the upstream still has the stream open; it is to be reset as soon as the reset budget
     *     allows
     * @param requestIncomplete the request was not fully sent; the outcome holds only if the stream is reset
     *     immediately
     */
    record AttemptEnd<T>(T attempt, int streamId, Outcome outcome, boolean streamOpen, boolean requestIncomplete) {}

    /** One stream; {@code attempt} is null once the attempt has ended. */
    private static final class Stream<T> {
        private final int id;
        private T attempt;
        private boolean endStreamWritten;
        private int interimResponses;
        private int status;
        private boolean declined;

        Stream(int id, T attempt) {
            this.id = id;
            this.attempt = attempt;
        }

        boolean responseStarted() {
            return interimResponses > 0 || status > 0;
        }
    }

    private final StreamOutcomeRules outcomeRules;
    private final TreeMap<Integer, Stream<T>> streams = new TreeMap<>();
    private long nextStreamId;
    private long maxConcurrentStreams = -1;
    private int lastStreamId = MAX_STREAM_ID;
    private boolean closing;

    /**
     * Creates a table whose first stream id is {@code firstStreamId}, an odd number; only tests pass anything but
     * 1.
     */
    StreamTable(StreamOutcomeRules outcomeRules, int firstStreamId) {
        this.outcomeRules = outcomeRules;
        this.nextStreamId = firstStreamId;
    }

    /**
     * The upstream's SETTINGS have been received, the first or later ones.
     *
     * @param maxConcurrent SETTINGS_MAX_CONCURRENT_STREAMS, an unsigned 32-bit number, or null if absent
     */
    void onSettings(Long maxConcurrent) {
        if (maxConcurrent != null) {
            maxConcurrentStreams = maxConcurrent;
        } else if (maxConcurrentStreams < 0) {
            maxConcurrentStreams = Long.MAX_VALUE;
        }
    }

    /**
     * Whether the first SETTINGS have been received. Until then nothing shows that the upstream speaks
     * HTTP/2.
     */
    boolean settingsReceived() {
        return maxConcurrentStreams >= 0;
    }

    /** Whether another stream may be opened now. */
    boolean canOpen() {
        return availableStreams() > 0;
    }

    /** How many more streams may be opened now. */
    int availableStreams() {
        if (!settingsReceived() || !isUsable()) {
            return 0;
        }
        long remainingStreams = (MAX_STREAM_ID - nextStreamId) / 2 + 1;
        return (int) Math.max(0, Math.min(remainingStreams, maxConcurrentStreams - streams.size()));
    }

    /**
     * Whether streams may still be opened at some time: false after a GOAWAY, a drain or the last stream id.
     */
    boolean isUsable() {
        return !closing && nextStreamId <= MAX_STREAM_ID;
    }

    /** Opens a stream for an attempt and returns its id. */
    int open(T attempt) {
        if (!canOpen()) {
            throw new IllegalStateException("no stream available on this connection");
        }
        int id = (int) nextStreamId;
        nextStreamId += 2;
        streams.put(id, new Stream<>(id, attempt));
        return id;
    }

    /** Returns the attempt on a stream, or null if there is none or it has ended. */
    T attempt(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null ? null : stream.attempt;
    }

    /**
     * The frame with END_STREAM was passed to the socket: from now on the upstream may execute the request.
     */
    void endStreamWritten(int id) {
        Stream<T> stream = streams.get(id);
        if (stream != null) {
            stream.endStreamWritten = true;
        }
    }

    /** The frame with END_STREAM was not fully written and never will be. */
    void endStreamWriteFailed(int id) {
        Stream<T> stream = streams.get(id);
        if (stream != null) {
            stream.endStreamWritten = false;
        }
    }

    /** The request could not be written at all, for a reason that lies on this side. */
    AttemptEnd<T> requestWriteFailed(int id) {
        Stream<T> stream = streams.remove(id);
        return stream == null ? null : end(stream, Outcome.NEVER_SENT, false);
    }

    /**
     * Response headers have been received: those of an interim response, of the final response, or trailers.
     *
     * @param status the status code, or 0 if there is no valid one
     * @param declined the response states that the request was declined without being processed
     * @param end the frame carries END_STREAM
     * @return the attempt's end, or null if it continues
     */
    AttemptEnd<T> onHeaders(int id, int status, boolean declined, boolean end) {
        Stream<T> stream = streams.get(id);
        if (stream == null) {
            return null;
        }
        if (stream.status > 0) {
            // Trailers: their content does not matter here, but they complete the response.
            return end ? completeResponse(stream) : invalidResponse(id);
        }
        if (status / 100 == 1) {
            // 101 does not exist in HTTP/2 (section 8.6).
            boolean invalid = status == 101 || end || ++stream.interimResponses > MAX_INTERIM_RESPONSES;
            return invalid ? invalidResponse(id) : null;
        }
        if (status < 200 || status > 599) {
            return invalidResponse(id);
        }
        stream.status = status;
        stream.declined = declined;
        return end ? completeResponse(stream) : null;
    }

    /**
     * Part of the response body has been received.
     *
     * @return the attempt's end, or null if it continues
     */
    AttemptEnd<T> onData(int id, boolean end) {
        Stream<T> stream = streams.get(id);
        if (stream == null) {
            return null;
        }
        return stream.status == 0 ? invalidResponse(id) : end ? completeResponse(stream) : null;
    }

    /** The response is malformed or too large: the attempt has failed. */
    AttemptEnd<T> invalidResponse(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null ? null : end(stream, Outcome.ERROR, true);
    }

    private AttemptEnd<T> completeResponse(Stream<T> stream) {
        // A 200 cannot be the response to a request that was not fully sent.
        Outcome outcome = stream.status == 200 && !stream.endStreamWritten
                ? Outcome.ERROR
                : ResponseClassifier.outcomeOf(stream.status, stream.declined);
        if (stream.endStreamWritten) {
            streams.remove(stream.id);
        }
        return end(stream, outcome, !stream.endStreamWritten);
    }

    /**
     * The upstream has reset the stream (section 6.4). After a complete response the stream is no longer in
     * the table.
     */
    AttemptEnd<T> onReset(int id, long code) {
        Stream<T> stream = streams.remove(id);
        return stream == null
                ? null
                : end(stream, outcomeRules.afterReset(stream.endStreamWritten, stream.responseStarted(), code), false);
    }

    /**
     * A GOAWAY has been received (section 6.8): no new stream may be opened, and streams above its last
     * stream id were not and will not be processed. A GOAWAY that does not lower the last stream id ends no
     * attempt.
     */
    List<AttemptEnd<T>> onGoAway(int announcedLastStreamId) {
        closing = true;
        lastStreamId = Math.min(lastStreamId, announcedLastStreamId);
        List<AttemptEnd<T>> ends = new ArrayList<>();
        Collection<Stream<T>> above =
                List.copyOf(streams.tailMap(lastStreamId, false).values());
        for (Stream<T> stream : above) {
            streams.remove(stream.id);
            addIfPresent(ends, end(stream, outcomeRules.aboveLastStream(stream.responseStarted()), false));
        }
        return ends;
    }

    /** Opens no more streams; open streams run to their end. */
    void stopOpening() {
        closing = true;
    }

    /**
     * The upstream is draining or has been removed: opens no more streams, and ends the attempts whose
     * requests were not fully sent.
     */
    List<AttemptEnd<T>> drain() {
        stopOpening();
        List<AttemptEnd<T>> ends = new ArrayList<>();
        for (Stream<T> stream : streams.values()) {
            if (outcomeRules.provesUnsent(stream.endStreamWritten, stream.responseStarted())) {
                addIfPresent(ends, end(stream, Outcome.CONNECT_FAILED, true));
            }
        }
        return ends;
    }

    /** The connection has ended, for whatever reason, and with it every attempt on it. */
    List<AttemptEnd<T>> connectionLost() {
        closing = true;
        List<AttemptEnd<T>> ends = new ArrayList<>();
        for (Stream<T> stream : streams.values()) {
            addIfPresent(
                    ends,
                    end(
                            stream,
                            outcomeRules.afterConnectionLoss(stream.endStreamWritten, stream.responseStarted()),
                            false));
        }
        streams.clear();
        return ends;
    }

    /** The attempt's deadline has passed. */
    AttemptEnd<T> timeOut(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null
                ? null
                : end(stream, outcomeRules.afterTimeout(stream.endStreamWritten, stream.responseStarted()), true);
    }

    /** The attempt is cancelled. */
    AttemptEnd<T> cancel(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null ? null : end(stream, Outcome.CANCELLED, true);
    }

    /**
     * The request that the attempt belongs to has ended. An attempt that was not fully sent ends now; null if
     * it continues.
     */
    AttemptEnd<T> withdraw(int id) {
        Stream<T> stream = streams.get(id);
        return stream == null || !outcomeRules.provesUnsent(stream.endStreamWritten, stream.responseStarted())
                ? null
                : end(stream, Outcome.NEVER_SENT, true);
    }

    /** A stream whose attempt had ended has been reset and no longer counts. */
    void removeStream(int id) {
        streams.remove(id);
    }

    /** Returns the streams whose attempts have ended while the upstream still has them open, oldest first. */
    List<Integer> abandonedStreams() {
        return streams.values().stream()
                .filter(stream -> stream.attempt == null)
                .map(stream -> stream.id)
                .toList();
    }

    /** Returns the number of streams that the upstream has open, as far as this side knows. */
    int openStreams() {
        return streams.size();
    }

    private AttemptEnd<T> end(Stream<T> stream, Outcome outcome, boolean open) {
        if (stream.attempt == null) {
            return null;
        }
        T attempt = stream.attempt;
        stream.attempt = null;
        return new AttemptEnd<>(attempt, stream.id, outcome, open, open && !stream.endStreamWritten);
    }

    private static <T> void addIfPresent(List<AttemptEnd<T>> ends, AttemptEnd<T> end) {
        if (end != null) {
            ends.add(end);
        }
    }
}
