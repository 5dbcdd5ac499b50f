package pondridge.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import pondridge.settings.SettingsException;

/** The command {@code bankflow}. Exit status: 0 done, 1 failed, 2 a mistake in arguments or settings. */
@Command(
        name = "bankflow",
        mixinStandardHelpOptions = true,
        version = "bankflow 0.1",
        description = "A gateway for requests that must not happen twice.",
        subcommands = {
            Check.class,
            ControlCommand.class,
            Demo.class,
            DrillCommand.class,
            GatewayCommand.class,
            Plan.class,
            ScaleCommand.class,
            Standin.class
        })
public final class Bankflow {
    private Bankflow() {}

    /** Runs one command. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        CommandLine line = new CommandLine(new Bankflow());
        line.setExecutionExceptionHandler((problem, command, parsed) -> {
            if (problem instanceof SettingsException) {
                command.getErr().println(problem.getMessage());
                return CommandLine.ExitCode.USAGE;
            }
            command.getErr().println("bankflow: " + problem);
            return CommandLine.ExitCode.SOFTWARE;
        });
        return line.execute(args);
    }
}
