package pondridge.http2;

import pondridge.pool.PoolLimits;
import pondridge.settings.Section;

/**
 * What the way over HTTP/2 is set to; times in nanoseconds, sizes in bytes.
 *
 * @param connectionsPerServer connections to one upstream at a time
 * @param connections connections to all of them together
 * @param waiting attempts that may wait for a stream to one upstream
 * @param streamWait how long one waits for a stream before it is turned away, never sent
 * @param settingsWait how long an upstream may take for its first SETTINGS
 * @param quiet how long nothing may come on a connection with open streams before it is pinged
 * @param pingWait how long it may stay silent after that before it is given up
 * @param resets streams of one connection that may be reset within {@code resetWindow}
 * @param controlFrames frames a second that bring nothing, from one upstream
 * @param headerBytes of one answer's headers
 * @param answerBytes of one answer's body
 * @param answersBytes of all bodies that are on their way
 * @param streamWindow what one stream may have on its way to here (RFC 9113, section 6.9)
 * @param connectionWindow what one connection may
 * @param redial after a connection that came to nothing, how long no other is opened; up to 16 times as long
 *     after several in a row
 */
public record Http2Options(
        int connectionsPerServer,
        int connections,
        int waiting,
        long streamWait,
        long settingsWait,
        long quiet,
        long pingWait,
        int resets,
        long resetWindow,
        int controlFrames,
        int headerBytes,
        int answerBytes,
        int answersBytes,
        int streamWindow,
        int connectionWindow,
        long redial) {
    /** Reads section {@code [http2]}. */
    public static Http2Options of(Section section) {
        Http2Options read = new Http2Options(
                section.number("connections_per_server", 4, 1, 256),
                section.number("connections", 64, 1, 4096),
                section.number("waiting", 256, 0, 65_536),
                section.time("stream_wait", "50ms", "1ms", "10s"),
                section.time("settings_wait", "250ms", "1ms", "10s"),
                section.time("quiet", "1s", "10ms", "10min"),
                section.time("ping_wait", "500ms", "10ms", "1min"),
                section.number("resets", 100, 1, 100_000),
                section.time("reset_window", "30s", "1s", "10min"),
                section.number("control_frames", 1000, 10, 1_000_000),
                section.size("header_bytes", "16KiB", "1KiB", "1MiB"),
                section.size("answer_bytes", "1MiB", "1KiB", "64MiB"),
                section.size("answers_bytes", "16MiB", "1KiB", "1024MiB"),
                section.size("stream_window", "256KiB", "1KiB", "64MiB"),
                section.size("connection_window", "1MiB", "64KiB", "256MiB"),
                section.time("redial", "100ms", "1ms", "10s"));
        if (read.connections < read.connectionsPerServer) {
            throw section.contradiction("connections", "fewer than connections_per_server");
        }
        if (read.answersBytes < read.answerBytes) {
            throw section.contradiction("answers_bytes", "less than answer_bytes");
        }
        return read;
    }

    PoolLimits pool() {
        return new PoolLimits(connectionsPerServer, waiting, streamWait, redial);
    }
}
