package pondridge.http2;

/** What an upstream showed when it was greeted with HTTP/2's preface alone. */
public enum Learned {
    /** It answered with SETTINGS. */
    HTTP2,
    /** It took the connection and answered with something else, or not in time. */
    OTHER,
    /** No connection came up. */
    NOBODY
}
