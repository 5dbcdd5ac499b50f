package pondridge.transport;

import java.nio.file.Path;
import java.util.List;
import pondridge.grpc.GrpcSettings;
import pondridge.http2.Http2Options;
import pondridge.settings.Section;
import pondridge.settings.SettingsFile;

/**
 * Settings of the connections to servers.
 *
 * @param protocol the protocol of all servers, or {@link Protocol#AUTO} to detect it for each
 * @param http2 settings for servers that speak HTTP/2, or gRPC over it
 * @param grpc settings for servers and clients that speak gRPC; null if there are none
 */
public record TransportSettings(Protocol protocol, Http2Options http2, GrpcSettings grpc) {
    /** The protocol that servers speak; AUTO detects it once for each start of a server. */
    public enum Protocol {
        HTTP1,
        HTTP2,
        AUTO,
        GRPC
    }

    /** Reads the sections {@code [upstreams]} and {@code [http2]}, and those of gRPC. */
    public static TransportSettings of(SettingsFile file, Path directory) {
        Section section = file.section("upstreams");
        Protocol protocol =
                switch (section.choice("protocol", "http1", List.of("http1", "http2", "auto", "grpc"))) {
                    case "http2" -> Protocol.HTTP2;
                    case "auto" -> Protocol.AUTO;
                    case "grpc" -> Protocol.GRPC;
                    default -> Protocol.HTTP1;
                };
        GrpcSettings grpc = GrpcSettings.of(file, directory);
        if (protocol == Protocol.GRPC && (grpc == null || grpc.methods().isEmpty())) {
            throw section.invalid("protocol", "grpc needs [grpc] and methods under [grpc_methods]");
        }
        return new TransportSettings(protocol, Http2Options.of(file.section("http2")), grpc);
    }

    /** Reads a whole file; throws {@link pondridge.settings.SettingsException} if it is invalid. */
    public static TransportSettings read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        TransportSettings settings = of(file, path.toAbsolutePath().getParent());
        file.rejectUnknownKeys();
        return settings;
    }
}
