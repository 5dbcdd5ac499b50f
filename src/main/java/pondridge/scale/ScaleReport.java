package pondridge.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import pondridge.standin.EffectLedger.Verdict;

/**
 * What a run has shown: a table of all cases at all sizes, and the slope of each figure over the
 * sizes.
 *
 * @param verdicts of the real sidecars' ledger, one a size
 */
public record ScaleReport(long seed, List<Row> rows, List<Verdict> verdicts) {
    /** Whether every change was known everywhere in time and the real sidecars broke no rule. */
    public boolean clean() {
        return rows.stream().allMatch(each -> each.missing() == 0)
                && verdicts.stream().allMatch(Verdict::clean);
    }

    /** All of it. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(Row.head());
        rows.forEach(each -> lines.add(each.cells()));
        lines.addAll(slopes());
        for (Verdict each : verdicts) {
            lines.add(String.format(
                    Locale.ROOT,
                    "real: asked=%d served=%d refused=%d failed=%d "
                            + "lost=%d doubled=%d after-drain=%d late=%d clean=%s",
                    each.asked(),
                    each.served(),
                    each.refused(),
                    each.failed(),
                    each.unanswered(),
                    each.doubled(),
                    each.afterDrain(),
                    each.late(),
                    each.clean()));
            if (!each.clean()) {
                lines.addAll(each.words());
            }
        }
        lines.add("scale: seed=" + seed + " clean=" + clean());
        return lines;
    }

    /** A line for each figure of each case; none where there is but one size. */
    List<String> slopes() {
        Map<String, List<Row>> cases = new LinkedHashMap<>();
        rows.forEach(each -> cases.computeIfAbsent(each.step().name(), name -> new ArrayList<>())
                .add(each));
        List<String> lines = new ArrayList<>();
        rows.stream()
                .findFirst()
                .map(each -> cases.get(each.step().name()))
                .filter(all -> all.size() > 1)
                .ifPresent(all -> lines.add(
                        slope("follower", "all", "heap-kb-per-follower", all, each -> each.heapKb() * each.size())));
        cases.forEach((name, all) -> {
            if (all.stream().mapToInt(Row::size).distinct().count() > 1) {
                String per = "-per-" + all.get(0).event();
                lines.add(slope(
                        "source",
                        name,
                        "bytes" + per + "-per-watcher",
                        all,
                        each -> each.source().bytes() / each.events()));
                lines.add(slope(
                        "source",
                        name,
                        "messages" + per + "-per-watcher",
                        all,
                        each -> each.source().messages() / each.events()));
                lines.add(slope(
                        "source",
                        name,
                        "cpu-us" + per + "-per-watcher",
                        all,
                        each -> each.sourceCpu() / 1e3 / each.events()));
                if (all.get(0).relayed().bytes() > 0) {
                    lines.add(slope(
                            "relay",
                            name,
                            "bytes" + per + "-per-watcher",
                            all,
                            each -> each.relayed().bytes() / each.events()));
                    lines.add(slope(
                            "relay",
                            name,
                            "messages" + per + "-per-watcher",
                            all,
                            each -> each.relayed().messages() / each.events()));
                    lines.add(slope(
                            "relay",
                            name,
                            "cpu-us" + per + "-per-watcher",
                            all,
                            each -> each.relayCpu() / 1e3 / each.events()));
                }
                lines.add(slope(
                        "follower",
                        name,
                        "cpu-us" + per + "-per-follower",
                        all,
                        each -> each.followerCpu() / 1e3 / each.events()));
                lines.add(slope("fleet", name, "known-p99-ms-per-follower", all, each -> each.known()
                        .p99()));
                lines.add(slope("fleet", name, "known-last-ms-per-follower", all, each -> each.known()
                        .last()));
            }
        });
        return lines;
    }

    private static String slope(String role, String name, String figure, List<Row> rows, ToDoubleFunction<Row> of) {
        Slope line = Slope.of(
                rows.stream().mapToDouble(Row::size).toArray(),
                rows.stream().mapToDouble(of).toArray());
        return String.format(
                Locale.ROOT,
                "slope: role=%s case=%s figure=%s value=%.4f base=%.2f spread=%.3f",
                role,
                name,
                figure,
                line.value(),
                line.base(),
                line.spread());
    }
}
