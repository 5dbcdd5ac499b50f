package pondridge.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import pondridge.standin.ExecutionLedger.Verdict;

/**
 * Report of a run: a table of all cases at all fleet sizes, and the slope of each figure over the sizes.
 *
 * @param results one for each case at each size
 * @param verdicts verdicts of the ledger on the real sidecars, one for each size
 */
public record ScaleReport(long seed, List<CaseResult> results, List<Verdict> verdicts) {
    /** Returns whether every change reached all followers in time and the real sidecars broke no rule. */
    public boolean clean() {
        return results.stream().allMatch(result -> result.missingFollowers() == 0)
                && verdicts.stream().allMatch(Verdict::passed);
    }

    /** Returns all lines of the report. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(CaseResult.tableHeader());
        results.forEach(result -> lines.add(result.tableRow()));
        lines.addAll(slopes());
        for (Verdict verdict : verdicts) {
            lines.add(String.format(
                    Locale.ROOT,
                    "real: asked=%d served=%d refused=%d failed=%d "
                            + "lost=%d doubled=%d after-drain=%d late=%d clean=%s",
                    verdict.requests(),
                    verdict.served(),
                    verdict.refused(),
                    verdict.failed(),
                    verdict.unanswered(),
                    verdict.duplicateEffects(),
                    verdict.sendsAfterDrain(),
                    verdict.late(),
                    verdict.passed()));
            if (!verdict.passed()) {
                lines.addAll(verdict.violations());
            }
        }
        lines.add("scale: seed=" + seed + " clean=" + clean());
        return lines;
    }

    /** Returns one line for each figure of each case; none if there is only one size. */
    List<String> slopes() {
        Map<String, List<CaseResult>> cases = new LinkedHashMap<>();
        results.forEach(result -> cases.computeIfAbsent(result.step().name(), name -> new ArrayList<>())
                .add(result));
        List<String> lines = new ArrayList<>();
        results.stream()
                .findFirst()
                .map(result -> cases.get(result.step().name()))
                .filter(all -> all.size() > 1)
                .ifPresent(all -> lines.add(slope(
                        "follower",
                        "all",
                        "heap-kb-per-follower",
                        all,
                        result -> result.heapKibPerFollower() * result.size())));
        cases.forEach((name, all) -> {
            if (all.stream().mapToInt(CaseResult::size).distinct().count() > 1) {
                String perEvent = "-per-" + all.get(0).eventUnit();
                lines.add(slope(
                        "source",
                        name,
                        "bytes" + perEvent + "-per-watcher",
                        all,
                        result -> result.sourceCounts().bytes() / result.eventCount()));
                lines.add(slope(
                        "source",
                        name,
                        "messages" + perEvent + "-per-watcher",
                        all,
                        result -> result.sourceCounts().messages() / result.eventCount()));
                lines.add(slope(
                        "source",
                        name,
                        "cpu-us" + perEvent + "-per-watcher",
                        all,
                        result -> result.sourceCpuNanos() / 1e3 / result.eventCount()));
                if (all.get(0).relayCounts().bytes() > 0) {
                    lines.add(slope(
                            "relay",
                            name,
                            "bytes" + perEvent + "-per-watcher",
                            all,
                            result -> result.relayCounts().bytes() / result.eventCount()));
                    lines.add(slope(
                            "relay",
                            name,
                            "messages" + perEvent + "-per-watcher",
                            all,
                            result -> result.relayCounts().messages() / result.eventCount()));
                    lines.add(slope(
                            "relay",
                            name,
                            "cpu-us" + perEvent + "-per-watcher",
                            all,
                            result -> result.relayCpuNanos() / 1e3 / result.eventCount()));
                }
                lines.add(slope(
                        "follower",
                        name,
                        "cpu-us" + perEvent + "-per-follower",
                        all,
                        result -> result.followerCpuNanos() / 1e3 / result.eventCount()));
                lines.add(slope("fleet", name, "known-p99-ms-per-follower", all, result -> result.propagation()
                        .p99Millis()));
                lines.add(slope("fleet", name, "known-last-ms-per-follower", all, result -> result.propagation()
                        .lastMillis()));
            }
        });
        return lines;
    }

    private static String slope(
            String role,
            String caseName,
            String figure,
            List<CaseResult> results,
            ToDoubleFunction<CaseResult> valueOf) {
        Slope slope = Slope.of(
                results.stream().mapToDouble(CaseResult::size).toArray(),
                results.stream().mapToDouble(valueOf).toArray());
        return String.format(
                Locale.ROOT,
                "slope: role=%s case=%s figure=%s value=%.4f base=%.2f spread=%.3f",
                role,
                caseName,
                figure,
                slope.value(),
                slope.intercept(),
                slope.relativeResidual());
    }
}
