package pondridge.sidecar;

import java.nio.file.Path;
import pondridge.control.ControlSettings;
import pondridge.grpc.GrpcSettings;
import pondridge.settings.SettingsFile;
import pondridge.store.StoreSettings;
import pondridge.transport.TransportSettings;

/**
 * What {@code --settings FILE} holds for a sidecar.
 *
 * @param upstreams how servers are spoken to
 * @param store what is shared with other sidecars; null for nothing
 * @param control where lists come from in place of discovery; null for discovery
 */
public record SidecarSettings(TransportSettings upstreams, StoreSettings store, ControlSettings control) {
    /** What gRPC clients come in by; null where none are to. */
    GrpcSettings grpc() {
        return upstreams.grpc() == null || upstreams.grpc().listen() == null ? null : upstreams.grpc();
    }

    /** Reads a whole file; any mistake is a {@link pondridge.settings.SettingsException}. */
    public static SidecarSettings read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        SidecarSettings read = new SidecarSettings(
                TransportSettings.of(file, path.toAbsolutePath().getParent()),
                file.has("store") ? StoreSettings.of(file, path.toAbsolutePath().getParent()) : null,
                file.has("control") ? control(file, path.toAbsolutePath().getParent()) : null);
        file.finish();
        return read;
    }

    private static ControlSettings control(SettingsFile file, Path folder) {
        ControlSettings read = ControlSettings.of(file, folder);
        if (read.role() == ControlSettings.Role.SOURCE || read.role() == ControlSettings.Role.RELAY) {
            throw file.section("control").contradiction("role", "expected off or follower for a sidecar");
        }
        return read.role() == ControlSettings.Role.OFF ? null : read;
    }
}
