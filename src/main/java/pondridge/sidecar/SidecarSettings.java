package pondridge.sidecar;

import java.nio.file.Path;
import pondridge.control.ControlSettings;
import pondridge.grpc.GrpcSettings;
import pondridge.settings.SettingsFile;
import pondridge.store.StoreSettings;
import pondridge.transport.TransportSettings;

/**
 * Content of the {@code --settings FILE} of a sidecar.
 *
 * @param upstreams protocols and connections to servers
 * @param store the store shared with other sidecars; null if nothing is shared
 * @param control the source of endpoint lists that replaces discovery; null to use discovery
 */
public record SidecarSettings(TransportSettings upstreams, StoreSettings store, ControlSettings control) {
    /** Settings of the gRPC frontend; null if it is disabled. */
    GrpcSettings grpc() {
        return upstreams.grpc() == null || upstreams.grpc().listenAddress() == null ? null : upstreams.grpc();
    }

    /** Reads a settings file; throws {@link pondridge.settings.SettingsException} if it is invalid. */
    public static SidecarSettings read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        SidecarSettings settings = new SidecarSettings(
                TransportSettings.of(file, path.toAbsolutePath().getParent()),
                file.hasSection("store")
                        ? StoreSettings.of(file, path.toAbsolutePath().getParent())
                        : null,
                file.hasSection("control") ? control(file, path.toAbsolutePath().getParent()) : null);
        file.rejectUnknownKeys();
        return settings;
    }

    private static ControlSettings control(SettingsFile file, Path directory) {
        ControlSettings settings = ControlSettings.of(file, directory);
        if (settings.role() == ControlSettings.Role.SOURCE || settings.role() == ControlSettings.Role.RELAY) {
            throw file.section("control").invalid("role", "expected off or follower for a sidecar");
        }
        return settings.role() == ControlSettings.Role.OFF ? null : settings;
    }
}
