package pondridge.bench;

import java.nio.file.Path;
import pondridge.scale.ScalePlan;
import pondridge.scale.ScaleReport;
import pondridge.scale.ScaleRun;

/** The long scale run: {@code scale/steps.toml}, or the plan that {@code SCALE_PLAN} names. */
final class ScaleBench {
    void run() throws Exception {
        ScalePlan plan = ScalePlan.read(Path.of(System.getenv().getOrDefault("SCALE_PLAN", "scale/steps.toml")));
        System.out.println("bench scale: seed=" + plan.seed());
        ScaleReport report = new ScaleRun(plan, ScaleRun.DistributionFactory.DISCOVERY, System.out::println).run();
        report.lines().forEach(line -> System.out.println("bench " + line));
        if (!report.clean()) {
            throw new IllegalStateException("a rule was broken or a change arrived late; see the report above");
        }
    }
}
