package pondridge.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import pondridge.siteloss.LossPlan;
import pondridge.siteloss.LossPlanner;
import pondridge.siteloss.Topology;
import pondridge.siteloss.Topology.Kind;
import pondridge.standin.EffectLedger;
import pondridge.standin.EffectLedger.Ask;
import pondridge.standin.EffectLedger.Verdict;

/**
 * What came of a drill, phase by phase between its steps and site by site, from the ledger over all
 * processes. A client's further tries belong to its first one.
 */
public final class DrillReport {
    /**
     * One site's clients in one phase.
     *
     * @param asked requests, not counting further tries
     * @param worth part of the worth asked for that was answered within its aim
     * @param dearest the same of the classes worth most
     * @param refused part of the requests whose last try was refused
     * @param drawnAgain of tries that came after a refusal the part that was then served
     */
    public record Part(
            long from,
            String after,
            String site,
            int asked,
            double worth,
            double dearest,
            double refused,
            double drawnAgain) {}

    private record Sum(int[] count, double[] worth) {
        Sum() {
            this(new int[4], new double[4]);
        }
    }

    private final DrillPlan plan;
    private final List<Part> parts = new ArrayList<>();
    private final Verdict verdict;
    private final List<String> views = new ArrayList<>();
    private final Map<String, Long> spread = new TreeMap<>();

    DrillReport(
            DrillPlan plan,
            long began,
            String warm,
            EffectLedger ledger,
            Map<DrillPlan.Step, Long> done,
            List<Child.Line> log) {
        this.plan = plan;
        this.verdict = ledger.verdict();
        count(began, warm, ledger.asks(), done);
        look(began, log);
    }

    private void count(long began, String warm, List<Ask> asks, Map<DrillPlan.Step, Long> done) {
        Map<String, List<Ask>> requests = new HashMap<>();
        asks.stream().filter(ask -> !ask.id().contains("-" + warm + "-")).forEach(ask -> requests.computeIfAbsent(
                        ask.id().split("~")[0], id -> new ArrayList<>())
                .add(ask));
        TreeMap<Long, String> phases = new TreeMap<>(Map.of(0L, "start"));
        done.forEach((step, at) -> phases.merge(at, step.toString(), (one, two) -> one + "; " + two));
        Map<Long, Map<String, Sum>> sums = new TreeMap<>();
        phases.keySet().forEach(from -> {
            Map<String, Sum> bySite = new LinkedHashMap<>();
            plan.sites().keySet().forEach(site -> bySite.put(site, new Sum()));
            sums.put(from, bySite);
        });
        double dearest = plan.topology().classes().stream()
                .mapToDouble(Kind::worth)
                .max()
                .orElse(0);
        requests.forEach((id, tries) -> {
            tries.sort((one, two) -> Long.compare(one.askedAt(), two.askedAt()));
            Kind kind = plan.topology().classes().stream()
                    .filter(each -> each.name().equals(tries.get(0).kind().name()))
                    .findFirst()
                    .orElseThrow();
            long at = Math.max(0, tries.get(0).askedAt() - began);
            String site = plan.sites().keySet().stream()
                    .filter(each -> id.startsWith(each + '-'))
                    .findFirst()
                    .orElseThrow();
            add(sums.get(phases.floorKey(at)).get(site), tries, kind, kind.worth() == dearest);
        });
        sums.forEach((from, bySite) -> bySite.forEach((site, sum) -> parts.add(new Part(
                from,
                phases.get(from),
                site,
                sum.count[0],
                share(sum.worth[1], sum.worth[0]),
                share(sum.worth[3], sum.worth[2]),
                share(sum.count[1], sum.count[0]),
                share(sum.count[3], sum.count[2])))));
    }

    private static void add(Sum sum, List<Ask> tries, Kind kind, boolean dearest) {
        Ask last = tries.get(tries.size() - 1);
        boolean served =
                last.status() == 200 && last.answeredAt() - tries.get(0).askedAt() <= (long) (kind.aim() * 1e9);
        sum.count[0]++;
        sum.count[1] += refused(last) ? 1 : 0;
        boolean afterRefusal = tries.size() > 1 && refused(tries.get(tries.size() - 2));
        sum.count[2] += afterRefusal ? 1 : 0;
        sum.count[3] += afterRefusal && last.status() == 200 ? 1 : 0;
        sum.worth[0] += kind.worth();
        sum.worth[1] += served ? kind.worth() : 0;
        sum.worth[2] += dearest ? kind.worth() : 0;
        sum.worth[3] += dearest && served ? kind.worth() : 0;
    }

    private static boolean refused(Ask ask) {
        return ask.status() == 429 || ask.status() == 503;
    }

    private static double share(double part, double whole) {
        return whole == 0 ? 1 : part / whole;
    }

    /** What gateways said of their own site, and for how long at a time those of one site differed. */
    private void look(long began, List<Child.Line> log) {
        Map<String, String> said = new HashMap<>();
        Map<String, Long> since = new HashMap<>();
        for (Child.Line line : log) {
            if (line.at() - began > 0 && line.event().equals("own_site")) {
                String site = line.json().path("site").asText();
                String detail = line.json().path("detail").asText();
                views.add(
                        String.format(Locale.ROOT, "%6.2f s  %s: %s", (line.at() - began) / 1e9, line.from(), detail));
                said.put(line.from(), detail.split(",")[0]);
                long alike = IntStream.range(0, plan.sites().get(site).gateways())
                        .mapToObj(number -> said.getOrDefault(site + number, "in"))
                        .distinct()
                        .count();
                if (alike > 1) {
                    since.putIfAbsent(site, line.at());
                } else if (since.containsKey(site)) {
                    spread.merge(site, line.at() - since.remove(site), Math::max);
                }
            }
        }
    }

    /** What the best plan could serve of a site's worth while these are lost, by the drill's own figures. */
    public double bound(Set<String> lost, String site) {
        LossPlan best = LossPlanner.plan(
                new Topology(
                        plan.topology().sites(),
                        plan.topology().classes(),
                        plan.topology().ways(),
                        0),
                lost);
        double[] sum = new double[2];
        Topology.Site its = plan.topology().sites().stream()
                .filter(each -> each.name().equals(site))
                .findFirst()
                .orElseThrow();
        plan.topology().classes().forEach(kind -> {
            double asked = kind.worth() * its.asked().getOrDefault(kind.name(), 0.0);
            sum[0] += asked;
            sum[1] += asked * (lost.contains(site) ? best.admitted(site, kind.name()) : 1);
        });
        return share(sum[1], sum[0]);
    }

    public Verdict verdict() {
        return verdict;
    }

    /** All phases, sites within them. */
    public List<Part> parts() {
        return parts;
    }

    /** One site's clients after the step of that name. */
    public Part part(String step, String site) {
        String words = plan.steps().stream()
                .filter(each -> each.name().equals(step))
                .findFirst()
                .orElseThrow()
                .toString();
        return parts.stream()
                .filter(each -> each.after.contains(words) && each.site.equals(site))
                .findFirst()
                .orElseThrow();
    }

    /** The longest at a time that gateways of one site differed in their view of it, in nanoseconds. */
    public Map<String, Long> spread() {
        return spread;
    }

    /** As lines for people. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "%8s  %-14s %7s %7s %8s %8s %8s  %s",
                "from s",
                "clients of",
                "asked",
                "worth",
                "dearest",
                "refused",
                "drawn",
                "after"));
        Set<Long> told = new LinkedHashSet<>();
        parts.forEach(each -> lines.add(String.format(
                Locale.ROOT,
                "%8.1f  %-14s %7d %7.3f %8.3f %8.3f %8.3f  %s",
                each.from / 1e9,
                each.site,
                each.asked,
                each.worth,
                each.dearest,
                each.refused,
                each.drawnAgain,
                told.add(each.from) ? each.after : "")));
        plan.sites()
                .keySet()
                .forEach(site -> lines.add(String.format(
                        Locale.ROOT,
                        "were %s lost, its clients could get at most %.3f of their worth",
                        site,
                        bound(Set.of(site), site))));
        lines.addAll(views);
        spread.forEach((site, nanos) -> lines.add(
                String.format(Locale.ROOT, "gateways of %s differed for up to %d ms", site, nanos / 1_000_000)));
        lines.add(String.format(
                Locale.ROOT,
                "asked %d, unanswered %d, late %d, doubled %d, " + "after a drain %d, pushed over %d",
                verdict.asked(),
                verdict.unanswered(),
                verdict.late(),
                verdict.doubled(),
                verdict.afterDrain(),
                verdict.pushedOver()));
        lines.addAll(verdict.words());
        lines.add(verdict.clean() ? "every rule was kept" : "A RULE WAS BROKEN: " + verdict);
        return lines;
    }
}
