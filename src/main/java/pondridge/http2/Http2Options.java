package pondridge.http2;

import pondridge.pool.PoolLimits;
import pondridge.settings.Section;

/**
 * The settings of HTTP/2 connections to upstreams; times in nanoseconds, sizes in bytes.
 *
 * @param connectionsPerServer maximum number of connections to one upstream
 * @param maxConnections maximum number of connections to all upstreams
 * @param maxWaiting maximum number of attempts waiting for a stream to one upstream
 * @param streamTimeoutNanos how long an attempt waits for a stream before it is rejected without having been
 *     sent
 * @param settingsTimeoutNanos how long an upstream may take to send its first SETTINGS
 * @param pingAfterNanos time without received data, on a connection with open streams, after which a PING is
 *     sent
 * @param pingTimeoutNanos time without received data after the PING at which the connection is closed
 * @param maxResets maximum number of streams of one connection that are reset within {@code resetWindowNanos}
 * @param controlFramesPerSecond maximum number of frames without payload per second from one upstream
 * @param maxResponseHeaderBytes maximum size of the headers of one response
 * @param maxResponseBodyBytes maximum size of the body of one response
 * @param maxBufferedResponseBytes maximum size of all response bodies being received
 * @param streamWindowBytes flow-control window of one stream for received data (RFC 9113, section 6.9)
 * @param connectionWindowBytes flow-control window of one connection for received data
 * @param reconnectDelayNanos how long no connection is opened after one that failed without delivering a
 *     response; up to 16 times as long after several failures in a row
 */
public record Http2Options(
        int connectionsPerServer,
        int maxConnections,
        int maxWaiting,
        long streamTimeoutNanos,
        long settingsTimeoutNanos,
        long pingAfterNanos,
        long pingTimeoutNanos,
        int maxResets,
        long resetWindowNanos,
        int controlFramesPerSecond,
        int maxResponseHeaderBytes,
        int maxResponseBodyBytes,
        int maxBufferedResponseBytes,
        int streamWindowBytes,
        int connectionWindowBytes,
        long reconnectDelayNanos) {
    /** Reads section {@code [http2]}. */
    public static Http2Options of(Section section) {
        Http2Options options = new Http2Options(
                section.number("connections_per_server", 4, 1, 256),
                section.number("connections", 64, 1, 4096),
                section.number("waiting", 256, 0, 65_536),
                section.durationNanos("stream_wait", "50ms", "1ms", "10s"),
                section.durationNanos("settings_wait", "250ms", "1ms", "10s"),
                section.durationNanos("quiet", "1s", "10ms", "10min"),
                section.durationNanos("ping_wait", "500ms", "10ms", "1min"),
                section.number("resets", 100, 1, 100_000),
                section.durationNanos("reset_window", "30s", "1s", "10min"),
                section.number("control_frames", 1000, 10, 1_000_000),
                section.sizeBytes("header_bytes", "16KiB", "1KiB", "1MiB"),
                section.sizeBytes("answer_bytes", "1MiB", "1KiB", "64MiB"),
                section.sizeBytes("answers_bytes", "16MiB", "1KiB", "1024MiB"),
                section.sizeBytes("stream_window", "256KiB", "1KiB", "64MiB"),
                section.sizeBytes("connection_window", "1MiB", "64KiB", "256MiB"),
                section.durationNanos("redial", "100ms", "1ms", "10s"));
        if (options.maxConnections < options.connectionsPerServer) {
            throw section.invalid("connections", "fewer than connections_per_server");
        }
        if (options.maxBufferedResponseBytes < options.maxResponseBodyBytes) {
            throw section.invalid("answers_bytes", "less than answer_bytes");
        }
        return options;
    }

    PoolLimits poolLimits() {
        return new PoolLimits(connectionsPerServer, maxWaiting, streamTimeoutNanos, reconnectDelayNanos);
    }
}
