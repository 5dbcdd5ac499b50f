package pondridge.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pondridge.demo.Drill;
import pondridge.demo.DrillPlan;
import pondridge.demo.DrillReport;

/** Runs a scripted drill with gateways as processes. */
@Command(
        name = "drill",
        description = "Runs a drill: sites of stand-in servers with gateways as processes, and scripted faults."
                + " Exit status 0 only if no rule was broken.")
final class DrillCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "the TOML file of the drill")
    private Path file;

    @Option(names = "--check", description = "only validate the file")
    private boolean check;

    @Override
    public Integer call() throws IOException, InterruptedException {
        DrillPlan plan = DrillPlan.read(file);
        if (check) {
            return CommandLine.ExitCode.OK;
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println("seed " + plan.seed());
        try (Drill drill = new Drill(plan, line -> {
            out.println(line);
            out.flush();
        })) {
            DrillReport report = drill.run();
            report.lines().forEach(out::println);
            out.flush();
            return report.verdict().passed() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
        }
    }
}
