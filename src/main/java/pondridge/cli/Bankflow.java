package pondridge.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import pondridge.settings.SettingsException;

/** The command {@code bankflow}. Exit status: 0 success, 1 failure, 2 invalid arguments or settings. */
@Command(
        name = "bankflow",
        mixinStandardHelpOptions = true,
        version = "bankflow 0.1",
        description = "Runs and checks gateways for requests that must not be executed twice.",
        subcommands = {
            CheckCommand.class,
            ControlCommand.class,
            DemoCommand.class,
            DrillCommand.class,
            GatewayCommand.class,
            PlanCommand.class,
            ScaleCommand.class,
            StandinCommand.class
        })
public final class Bankflow {
    private Bankflow() {}

    /** Runs a command and exits with its status. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        CommandLine commandLine = new CommandLine(new Bankflow());
        commandLine.setExecutionExceptionHandler((error, command, parsed) -> {
            if (error instanceof SettingsException) {
                command.getErr().println(error.getMessage());
                return CommandLine.ExitCode.USAGE;
            }
            command.getErr().println("bankflow: " + error);
            return CommandLine.ExitCode.SOFTWARE;
        });
        return commandLine.execute(args);
    }
}
