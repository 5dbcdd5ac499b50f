package pondridge.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pondridge.settings.SettingsFile;
import pondridge.sidecar.SidecarSettings;

/** Reads a settings file as a start would, and starts nothing. */
@Command(name = "check",
        description = "Checks a settings file: one line for the first mistake, exit status 2.")
final class Check implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Parameters(paramLabel = "FILE", description = "the TOML file")
    private Path file;

    @Override
    public Integer call() {
        if (SettingsFile.read(file).has("gateway")) {
            GatewayCommand.Told told = GatewayCommand.Told.read(file);
            spec.commandLine().getOut().println(file + ": good, a gateway of site " + told.settings().site()
                    + " with " + told.settings().sites().size() + " other site(s)");
            return CommandLine.ExitCode.OK;
        }
        SidecarSettings read = SidecarSettings.read(file);
        spec.commandLine().getOut().println(file + ": good, upstreams speak "
                + read.upstreams().protocol() + (read.store() == null ? "" : ", a store is shared"));
        return CommandLine.ExitCode.OK;
    }
}
