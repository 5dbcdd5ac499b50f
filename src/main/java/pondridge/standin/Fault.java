package pondridge.standin;

/** The fault that a stand-in server injects into one request. */
public enum Fault {
    /** No fault: executes the request and responds. */
    NONE,
    /** Executes the request and responds after the script's slow work time. */
    SLOW,
    /** Executes the request and never responds. */
    STALL,
    /** Executes the request; the response stops half-way, and the connection stays open. */
    HALF,
    /** Executes the request; the response stops half-way and the connection is closed (HTTP/2: the stream). */
    HALF_CLOSE,
    /** Executes the request, then resets its stream with INTERNAL_ERROR (HTTP/1.1: the connection). */
    RESET,
    /** Does not execute, but the reset does not prove it: CANCEL (HTTP/1.1: the connection is reset). */
    RESET_UNRUN,
    /** Does not execute, and signals it: REFUSED_STREAM (HTTP/1.1: declined). */
    REFUSE,
    /** Does not execute, and signals it in a response: 503 with the platform's header. */
    DECLINE,
    /** Executes the request and responds with 500. */
    ERROR,
    /** Executes the request and falsely signals REFUSED_STREAM (HTTP/1.1: declined). */
    LIE,
    /** Executes the request, then closes the connection without a response. */
    CLOSE,
    /** HTTP/2: the graceful pair of GOAWAYs, then no new streams; HTTP/1.1: responds and closes. */
    GOAWAY,
    /** HTTP/2: one GOAWAY with this stream as the last one; the connection is closed after the response. */
    GOAWAY_LAST,
    /** HTTP/2: executes the request, then sends a GOAWAY that falsely denies all streams, and closes. */
    GOAWAY_LIE,
    /** HTTP/2: two GOAWAYs, the second with a lower last stream, then a connection reset. */
    GOAWAY_LOWERED,
    /** Executes the request; the connection stays open, but is no longer read or written. */
    SILENT,
    /** Executes the request and responds with an interim response first and, on HTTP/2, trailers. */
    ADORNED,
    /** Executes the request, responds completely, then resets the stream with NO_ERROR. */
    RESET_AFTER_ANSWER,
    /** gRPC: the response ends without a status. With other protocols no fault, like the next three. */
    NO_STATUS,
    /** gRPC: the message is shorter than its length prefix says, and the status is OK. */
    CUT_MESSAGE,
    /** gRPC: the response holds two messages. */
    TWO_MESSAGES,
    /** gRPC: the response has another content type. */
    WRONG_TYPE
}
