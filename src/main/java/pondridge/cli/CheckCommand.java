package pondridge.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pondridge.control.ControlSettings;
import pondridge.control.ControlSettings.Role;
import pondridge.settings.SettingsFile;
import pondridge.sidecar.SidecarSettings;

/** Validates a settings file as at start-up, without starting anything. */
@Command(
        name = "check",
        description = "Checks a settings file; reports the first error on one line, with exit status 2.")
final class CheckCommand implements Callable<Integer> {
    private static final Set<Role> SERVING_ROLES = Set.of(Role.SOURCE, Role.RELAY);

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "the TOML file to check")
    private Path file;

    @Override
    public Integer call() {
        if (SettingsFile.read(file).hasSection("gateway")) {
            GatewayCommand.Configuration gateway = GatewayCommand.Configuration.read(file);
            spec.commandLine()
                    .getOut()
                    .println(file + ": good, a gateway of site "
                            + gateway.settings().site() + " with "
                            + gateway.settings().remoteSites().size() + " other site(s)");
            return CommandLine.ExitCode.OK;
        }
        SettingsFile all = SettingsFile.read(file);
        if (all.hasSection("control")
                && SERVING_ROLES.contains(
                        ControlSettings.of(all, file.toAbsolutePath().getParent())
                                .role())) {
            ControlSettings control = ControlSettings.read(file);
            spec.commandLine()
                    .getOut()
                    .println(file + ": good, control, role "
                            + control.role().name().toLowerCase(Locale.ROOT));
            return CommandLine.ExitCode.OK;
        }
        SidecarSettings sidecar = SidecarSettings.read(file);
        spec.commandLine()
                .getOut()
                .println(file + ": good, upstreams speak "
                        + sidecar.upstreams().protocol() + (sidecar.store() == null ? "" : ", a store is shared")
                        + (sidecar.control() == null ? "" : ", lists come by control"));
        return CommandLine.ExitCode.OK;
    }
}
