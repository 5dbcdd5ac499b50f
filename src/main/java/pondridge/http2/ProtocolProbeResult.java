package pondridge.http2;

/** The result of connecting to an upstream and sending only the HTTP/2 connection preface. */
public enum ProtocolProbeResult {
    /** The upstream responded with SETTINGS. */
    HTTP2,
    /** The upstream accepted the connection but responded with something else, or not in time. */
    NOT_HTTP2,
    /** No connection was established. */
    UNREACHABLE
}
