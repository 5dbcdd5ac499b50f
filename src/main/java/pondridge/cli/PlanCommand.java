package pondridge.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import pondridge.siteloss.SiteLossPlan;
import pondridge.siteloss.SiteLossPlanner;
import pondridge.siteloss.SitePlanSettings;
import pondridge.siteloss.Topology;
import pondridge.siteloss.Topology.Site;
import pondridge.siteloss.Topology.TrafficClass;

/** Capacity planning: predicts the effect of losses. */
@Command(
        name = "plan",
        description = "Predicts the effect of a loss.",
        subcommands = {PlanCommand.SiteLoss.class})
final class PlanCommand {
    private static final double REFUSED_SHARE_TOLERANCE = 0.001;

    private PlanCommand() {}

    /** For the loss of each site and each pair: where its load goes, what is refused, and which limits are reached. */
    @Command(
            name = "site-loss",
            description = "Prints, for the loss of each site and of each pair, where"
                    + " its load goes, what is refused and which limits are reached. Exit status 1 if requests of"
                    + " the classes of the highest worth would be refused.")
    static final class SiteLoss implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "a TOML file with [site_plan]")
        private Path config;

        @Option(names = "--lost", paramLabel = "SITE", description = "only the simultaneous loss of these sites")
        private List<String> lost = new ArrayList<>();

        @Override
        public Integer call() {
            Topology topology = SitePlanSettings.read(config);
            List<String> names = topology.sites().stream().map(Site::name).toList();
            for (String name : lost) {
                if (!names.contains(name)) {
                    throw new CommandLine.ParameterException(
                            spec.commandLine(),
                            "--lost: no such site: " + name + "; there are " + String.join(", ", names));
                }
            }
            boolean fits = true;
            for (Set<String> each : lost.isEmpty() ? siteAndPairLosses(names) : List.of(new LinkedHashSet<>(lost))) {
                fits &= print(
                        topology,
                        SiteLossPlanner.plan(topology, each),
                        spec.commandLine().getOut());
            }
            return fits ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
        }
    }

    private static List<Set<String>> siteAndPairLosses(List<String> names) {
        List<Set<String>> losses = new ArrayList<>();
        names.forEach(name -> losses.add(Set.of(name)));
        for (int i = 0; i < names.size() && names.size() > 2; i++) {
            for (int j = i + 1; j < names.size(); j++) {
                losses.add(new LinkedHashSet<>(List.of(names.get(i), names.get(j))));
            }
        }
        return losses;
    }

    /** Prints a plan; returns false if requests of the classes of the highest utility are refused. */
    private static boolean print(Topology topology, SiteLossPlan plan, PrintWriter out) {
        out.println("lost: " + String.join(" and ", plan.lostSites()));
        plan.overloadedSites()
                .forEach(site -> out.println("  " + site + " can't do what its own clients ask; it takes nothing"));
        double topUtility = topology.classes().stream()
                .mapToDouble(TrafficClass::utility)
                .max()
                .orElse(0);
        boolean fits = true;
        for (String from : plan.lostSites()) {
            for (TrafficClass trafficClass : topology.classes()) {
                double admitted = plan.admittedFraction(from, trafficClass.name());
                List<String> parts = new ArrayList<>();
                plan.flows().stream()
                        .filter(flow ->
                                flow.from().equals(from) && flow.trafficClass().equals(trafficClass.name()))
                        .forEach(flow -> parts.add(formatRate(flow.requestsPerSecond()) + " to " + flow.to()));
                plan.refused().stream()
                        .filter(each ->
                                each.from().equals(from) && each.trafficClass().equals(trafficClass.name()))
                        .forEach(each -> parts.add(formatRate(each.requestsPerSecond()) + " refused"));
                if (!parts.isEmpty()) {
                    out.println("  " + from + ", " + trafficClass.name() + ", requests a second: "
                            + String.join(", ", parts));
                }
                fits &= trafficClass.utility() < topUtility || admitted > 1 - REFUSED_SHARE_TOLERANCE;
            }
        }
        plan.bottlenecks().forEach(each -> out.println("  in the way: " + each));
        if (!fits) {
            out.println("  WARNING: not even all of the classes worth most find room");
        } else if (plan.requiredCapacityFraction() > 0) {
            out.println(String.format(
                    Locale.ROOT,
                    "  the classes worth most fit as long as the sites left" + " can do %.2f of what is said here",
                    plan.requiredCapacityFraction()));
        }
        return fits;
    }

    private static String formatRate(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
