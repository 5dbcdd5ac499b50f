package pondridge.standin;

/** What a stand-in server does with one request instead of answering it well. */
public enum Fault {
    /** Nothing: it runs and is answered. */
    NONE,
    /** Runs, and is answered after the script's long time. */
    SLOW,
    /** Runs, and is never answered. */
    STALL,
    /** Runs; the answer stops in the middle, the connection stays. */
    HALF,
    /** Runs; the answer stops in the middle with the connection's end (HTTP/2: the stream's). */
    HALF_CLOSE,
    /** Runs, then its stream is reset with INTERNAL_ERROR (HTTP/1.1: the connection is). */
    RESET,
    /** Does not run, but the reset says nothing of that: CANCEL (HTTP/1.1: the connection is reset). */
    RESET_UNRUN,
    /** Does not run, and says so: REFUSED_STREAM (HTTP/1.1: declined). */
    REFUSE,
    /** Does not run, and says so in an answer: 503 with the platform's header. */
    DECLINE,
    /** Runs, and is answered 500. */
    ERROR,
    /** Runs, and says REFUSED_STREAM (HTTP/1.1: declined) all the same: a server that lies. */
    LIE,
    /** Runs; all connections to the server's process end at once, with no word. */
    CLOSE,
    /** HTTP/2: the graceful pair of GOAWAYs, then nothing new; HTTP/1.1: answered with a close. */
    GOAWAY,
    /** HTTP/2: one GOAWAY that names this stream the last one, and the connection ends after the answer. */
    GOAWAY_LAST,
    /** HTTP/2: runs, then a GOAWAY that denies every stream, and the connection's end: a server that lies. */
    GOAWAY_LIE,
    /** HTTP/2: two GOAWAYs, the second with a lower last stream, and a reset connection. */
    GOAWAY_LOWERED,
    /** Runs; nothing more is read from or written to the connection, which stays open. */
    SILENT,
    /** Runs, and is answered with interim answers ahead and trailers behind. */
    ADORNED,
    /** Runs, and is answered whole; then the stream is reset with NO_ERROR. */
    RESET_AFTER_ANSWER,
    /** gRPC: runs, and the answer ends with no status; elsewhere no fault, like the next three. */
    NO_STATUS,
    /** gRPC: runs; the message is shorter than its prefix says, and the status is OK. */
    CUT_MESSAGE,
    /** gRPC: runs, and is answered by two messages. */
    TWO_MESSAGES,
    /** gRPC: runs, and is answered by something that is no gRPC. */
    WRONG_TYPE
}
