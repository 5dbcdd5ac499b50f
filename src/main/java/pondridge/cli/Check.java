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

/** Reads a settings file as a start would, and starts nothing. */
@Command(name = "check", description = "Checks a settings file: one line for the first mistake, exit status 2.")
final class Check implements Callable<Integer> {
    private static final Set<Role> SERVERS = Set.of(Role.SOURCE, Role.RELAY);

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "the TOML file")
    private Path file;

    @Override
    public Integer call() {
        if (SettingsFile.read(file).has("gateway")) {
            GatewayCommand.Told told = GatewayCommand.Told.read(file);
            spec.commandLine()
                    .getOut()
                    .println(file + ": good, a gateway of site "
                            + told.settings().site() + " with "
                            + told.settings().sites().size() + " other site(s)");
            return CommandLine.ExitCode.OK;
        }
        SettingsFile all = SettingsFile.read(file);
        if (all.has("control")
                && SERVERS.contains(
                        ControlSettings.of(all, file.toAbsolutePath().getParent())
                                .role())) {
            ControlSettings told = ControlSettings.read(file);
            spec.commandLine()
                    .getOut()
                    .println(
                            file + ": good, control, role " + told.role().name().toLowerCase(Locale.ROOT));
            return CommandLine.ExitCode.OK;
        }
        SidecarSettings read = SidecarSettings.read(file);
        spec.commandLine()
                .getOut()
                .println(file + ": good, upstreams speak "
                        + read.upstreams().protocol() + (read.store() == null ? "" : ", a store is shared")
                        + (read.control() == null ? "" : ", lists come by control"));
        return CommandLine.ExitCode.OK;
    }
}
