package pondridge.transport;

import java.nio.file.Path;
import java.util.List;
import pondridge.http2.Http2Options;
import pondridge.settings.Section;
import pondridge.settings.SettingsFile;

/**
 * How servers are spoken to.
 *
 * @param protocol of all servers, or how it is found out
 * @param http2 for those that speak HTTP/2
 */
public record TransportSettings(Protocol protocol, Http2Options http2) {
    /** What servers speak; AUTO asks each once for each of its starts. */
    public enum Protocol { HTTP1, HTTP2, AUTO }

    /** Reads sections {@code [upstreams]} and {@code [http2]}. */
    public static TransportSettings of(SettingsFile file) {
        Section section = file.section("upstreams");
        Protocol protocol = switch (section.word("protocol", "http1", List.of("http1", "http2", "auto"))) {
            case "http2" -> Protocol.HTTP2;
            case "auto" -> Protocol.AUTO;
            default -> Protocol.HTTP1;
        };
        return new TransportSettings(protocol, Http2Options.of(file.section("http2")));
    }

    /** Reads a whole file; any mistake is a {@link pondridge.settings.SettingsException}. */
    public static TransportSettings read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        TransportSettings read = of(file);
        file.finish();
        return read;
    }
}
