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
import pondridge.scale.ScalePlan;
import pondridge.scale.ScaleReport;
import pondridge.scale.ScaleRun;

/** Measures the cost of each further sidecar in runs of growing size. */
@Command(
        name = "scale",
        description = "Runs hundreds of hollow sidecars beside a few real ones and measures the cost of each"
                + " further one. Exit status 0 only if every change reached all of them in time and the real ones"
                + " broke no rule.")
final class ScaleCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "the TOML file of the scale run")
    private Path file;

    @Option(names = "--check", description = "only validate the file")
    private boolean check;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ScalePlan plan = ScalePlan.read(file);
        if (check) {
            return CommandLine.ExitCode.OK;
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println("seed " + plan.seed());
        ScaleReport report = new ScaleRun(plan, ScaleRun.DistributionFactory.FROM_PLAN, line -> {
                    out.println(line);
                    out.flush();
                })
                .run();
        report.lines().forEach(out::println);
        out.flush();
        return report.clean() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
}
