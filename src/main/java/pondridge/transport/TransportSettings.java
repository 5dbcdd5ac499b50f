package pondridge.transport;

import java.nio.file.Path;
import java.util.List;
import pondridge.grpc.GrpcSettings;
import pondridge.http2.Http2Options;
import pondridge.settings.Section;
import pondridge.settings.SettingsFile;

/**
 * How servers are spoken to.
 *
 * @param protocol of all servers, or how it is found out
 * @param http2 for those that speak HTTP/2, or gRPC over it
 * @param grpc for those that speak gRPC, and for clients that do; null for none
 */
public record TransportSettings(Protocol protocol, Http2Options http2, GrpcSettings grpc) {
    /** What servers speak; AUTO asks each once for each of its starts. */
    public enum Protocol {
        HTTP1,
        HTTP2,
        AUTO,
        GRPC
    }

    /** Reads sections {@code [upstreams]} and {@code [http2]}. */
    public static TransportSettings of(SettingsFile file, Path folder) {
        Section section = file.section("upstreams");
        Protocol protocol =
                switch (section.word("protocol", "http1", List.of("http1", "http2", "auto", "grpc"))) {
                    case "http2" -> Protocol.HTTP2;
                    case "auto" -> Protocol.AUTO;
                    case "grpc" -> Protocol.GRPC;
                    default -> Protocol.HTTP1;
                };
        GrpcSettings grpc = GrpcSettings.of(file, folder);
        if (protocol == Protocol.GRPC && (grpc == null || grpc.methods().isEmpty())) {
            throw section.contradiction("protocol", "grpc needs [grpc] and methods under [grpc_methods]");
        }
        return new TransportSettings(protocol, Http2Options.of(file.section("http2")), grpc);
    }

    /** Reads a whole file; any mistake is a {@link pondridge.settings.SettingsException}. */
    public static TransportSettings read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        TransportSettings read = of(file, path.toAbsolutePath().getParent());
        file.finish();
        return read;
    }
}
