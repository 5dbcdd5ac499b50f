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
import pondridge.siteloss.SiteLossPlan;
import pondridge.siteloss.SiteLossPlanner;
import pondridge.siteloss.Topology;
import pondridge.siteloss.Topology.TrafficClass;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.ExecutionLedger.ClientAttempt;
import pondridge.standin.ExecutionLedger.Verdict;

/**
 * The results of a drill by phase (the time between two steps) and site, from the ledger of all requests. The
 * retries of a request count in the phase of its first attempt.
 */
public final class DrillReport {
    /**
     * The requests of one site's clients in one phase.
     *
     * @param fromNanos start of the phase, from the end of the warm-up
     * @param after the steps that began the phase
     * @param requests number of requests, without retries
     * @param servedUtilityShare share of the requested utility that was served within the SLO of its class
     * @param servedTopUtilityShare the same for the classes of the highest utility
     * @param rejected share of the requests whose last attempt was rejected
     * @param servedAfterRejection share of the attempts after a rejection that were served
     */
    public record SitePhase(
            long fromNanos,
            String after,
            String site,
            int requests,
            double servedUtilityShare,
            double servedTopUtilityShare,
            double rejected,
            double servedAfterRejection) {}

    /**
     * Sums of one site's requests in one phase.
     *
     * @param count requests, rejected ones, last attempts after a rejection, served ones of these
     * @param utility requested and served in time, of all classes; then of the classes of the highest utility
     */
    private record PhaseTotals(int[] count, double[] utility) {
        PhaseTotals() {
            this(new int[4], new double[4]);
        }
    }

    private final DrillPlan plan;
    private final List<SitePhase> phases = new ArrayList<>();
    private final Verdict verdict;
    private final List<String> siteViewLines = new ArrayList<>();
    private final Map<String, Long> maxDisagreementNanos = new TreeMap<>();

    DrillReport(
            DrillPlan plan,
            long startNanos,
            String warmUpRun,
            ExecutionLedger ledger,
            Map<DrillPlan.Step, Long> stepStartNanos,
            List<ChildProcess.LogLine> log) {
        this.plan = plan;
        this.verdict = ledger.verdict();
        addRequests(startNanos, warmUpRun, ledger.attempts(), stepStartNanos);
        collectSiteViews(startNanos, log);
    }

    private void addRequests(
            long startNanos, String warmUpRun, List<ClientAttempt> attempts, Map<DrillPlan.Step, Long> stepStartNanos) {
        Map<String, List<ClientAttempt>> requests = new HashMap<>();
        attempts.stream()
                .filter(attempt -> !attempt.id().contains("-" + warmUpRun + "-"))
                .forEach(attempt -> requests.computeIfAbsent(attempt.id().split("~")[0], id -> new ArrayList<>())
                        .add(attempt));
        TreeMap<Long, String> phaseNames = new TreeMap<>(Map.of(0L, "start"));
        stepStartNanos.forEach((step, at) -> phaseNames.merge(at, step.toString(), (one, two) -> one + "; " + two));
        Map<Long, Map<String, PhaseTotals>> sums = new TreeMap<>();
        phaseNames.keySet().forEach(from -> {
            Map<String, PhaseTotals> totalsBySite = new LinkedHashMap<>();
            plan.sites().keySet().forEach(site -> totalsBySite.put(site, new PhaseTotals()));
            sums.put(from, totalsBySite);
        });
        double topUtility = plan.topology().classes().stream()
                .mapToDouble(TrafficClass::utility)
                .max()
                .orElse(0);
        requests.forEach((id, attemptsOfRequest) -> {
            attemptsOfRequest.sort((one, two) -> Long.compare(one.sentAtNanos(), two.sentAtNanos()));
            TrafficClass trafficClass = plan.topology().classes().stream()
                    .filter(each -> each.name()
                            .equals(attemptsOfRequest.get(0).requestClass().name()))
                    .findFirst()
                    .orElseThrow();
            long at = Math.max(0, attemptsOfRequest.get(0).sentAtNanos() - startNanos);
            String site = plan.sites().keySet().stream()
                    .filter(each -> id.startsWith(each + '-'))
                    .findFirst()
                    .orElseThrow();
            add(
                    sums.get(phaseNames.floorKey(at)).get(site),
                    attemptsOfRequest,
                    trafficClass,
                    trafficClass.utility() == topUtility);
        });
        sums.forEach((from, totalsBySite) -> totalsBySite.forEach((site, sum) -> phases.add(new SitePhase(
                from,
                phaseNames.get(from),
                site,
                sum.count[0],
                share(sum.utility[1], sum.utility[0]),
                share(sum.utility[3], sum.utility[2]),
                share(sum.count[1], sum.count[0]),
                share(sum.count[3], sum.count[2])))));
    }

    private static void add(
            PhaseTotals sum, List<ClientAttempt> attemptsOfRequest, TrafficClass trafficClass, boolean topClass) {
        ClientAttempt last = attemptsOfRequest.get(attemptsOfRequest.size() - 1);
        boolean servedInTime = last.status() == 200
                && last.respondedAtNanos() - attemptsOfRequest.get(0).sentAtNanos()
                        <= (long) (trafficClass.sloSeconds() * 1e9);
        sum.count[0]++;
        sum.count[1] += rejected(last) ? 1 : 0;
        boolean afterRejection =
                attemptsOfRequest.size() > 1 && rejected(attemptsOfRequest.get(attemptsOfRequest.size() - 2));
        sum.count[2] += afterRejection ? 1 : 0;
        sum.count[3] += afterRejection && last.status() == 200 ? 1 : 0;
        sum.utility[0] += trafficClass.utility();
        sum.utility[1] += servedInTime ? trafficClass.utility() : 0;
        sum.utility[2] += topClass ? trafficClass.utility() : 0;
        sum.utility[3] += topClass && servedInTime ? trafficClass.utility() : 0;
    }

    private static boolean rejected(ClientAttempt attempt) {
        return attempt.status() == 429 || attempt.status() == 503;
    }

    private static double share(double part, double whole) {
        return whole == 0 ? 1 : part / whole;
    }

    /** Collects what gateways logged of their own site, and the longest time that the gateways of a site disagreed. */
    private void collectSiteViews(long startNanos, List<ChildProcess.LogLine> log) {
        Map<String, String> latestView = new HashMap<>();
        Map<String, Long> disagreementStart = new HashMap<>();
        for (ChildProcess.LogLine line : log) {
            if (line.receivedAtNanos() - startNanos > 0 && line.event().equals("own_site")) {
                String site = line.json().path("site").asText();
                String detail = line.json().path("detail").asText();
                siteViewLines.add(String.format(
                        Locale.ROOT,
                        "%6.2f s  %s: %s",
                        (line.receivedAtNanos() - startNanos) / 1e9,
                        line.processName(),
                        detail));
                latestView.put(line.processName(), detail.split(",")[0]);
                long distinctViews = IntStream.range(0, plan.sites().get(site).gateways())
                        .mapToObj(number -> latestView.getOrDefault(site + number, "in"))
                        .distinct()
                        .count();
                if (distinctViews > 1) {
                    disagreementStart.putIfAbsent(site, line.receivedAtNanos());
                } else if (disagreementStart.containsKey(site)) {
                    maxDisagreementNanos.merge(
                            site, line.receivedAtNanos() - disagreementStart.remove(site), Math::max);
                }
            }
        }
    }

    /**
     * The highest share of a site's requested utility that can be served while these sites are lost, from the actual
     * capacities of the drill.
     */
    public double maxServableUtilityShare(Set<String> lost, String site) {
        SiteLossPlan best = SiteLossPlanner.plan(
                new Topology(
                        plan.topology().sites(),
                        plan.topology().classes(),
                        plan.topology().links(),
                        0),
                lost);
        double[] sum = new double[2];
        Topology.Site clientSite = plan.topology().sites().stream()
                .filter(each -> each.name().equals(site))
                .findFirst()
                .orElseThrow();
        plan.topology().classes().forEach(trafficClass -> {
            double requestedUtility =
                    trafficClass.utility() * clientSite.demandPerSecond().getOrDefault(trafficClass.name(), 0.0);
            sum[0] += requestedUtility;
            sum[1] += requestedUtility * (lost.contains(site) ? best.admittedFraction(site, trafficClass.name()) : 1);
        });
        return share(sum[1], sum[0]);
    }

    public Verdict verdict() {
        return verdict;
    }

    /** All phases in order, and for each one all sites. */
    public List<SitePhase> phases() {
        return phases;
    }

    /** The first phase after the step of this name, for one site's clients. */
    public SitePhase phaseAfter(String step, String site) {
        String stepText = plan.steps().stream()
                .filter(each -> each.name().equals(step))
                .findFirst()
                .orElseThrow()
                .toString();
        return phases.stream()
                .filter(each -> each.after.contains(stepText) && each.site.equals(site))
                .findFirst()
                .orElseThrow();
    }

    /** The longest time that the gateways of a site disagreed about its state, in nanoseconds, by site. */
    public Map<String, Long> maxDisagreementNanos() {
        return maxDisagreementNanos;
    }

    /** The report as lines of text. */
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
        Set<Long> printedPhases = new LinkedHashSet<>();
        phases.forEach(each -> lines.add(String.format(
                Locale.ROOT,
                "%8.1f  %-14s %7d %7.3f %8.3f %8.3f %8.3f  %s",
                each.fromNanos / 1e9,
                each.site,
                each.requests,
                each.servedUtilityShare,
                each.servedTopUtilityShare,
                each.rejected,
                each.servedAfterRejection,
                printedPhases.add(each.fromNanos) ? each.after : "")));
        plan.sites()
                .keySet()
                .forEach(site -> lines.add(String.format(
                        Locale.ROOT,
                        "were %s lost, its clients could get at most %.3f of their worth",
                        site,
                        maxServableUtilityShare(Set.of(site), site))));
        lines.addAll(siteViewLines);
        maxDisagreementNanos.forEach((site, nanos) -> lines.add(
                String.format(Locale.ROOT, "gateways of %s differed for up to %d ms", site, nanos / 1_000_000)));
        lines.add(String.format(
                Locale.ROOT,
                "asked %d, unanswered %d, late %d, doubled %d, " + "after a drain %d, pushed over %d",
                verdict.requests(),
                verdict.unanswered(),
                verdict.late(),
                verdict.duplicateEffects(),
                verdict.sendsAfterDrain(),
                verdict.coldServerCrashes()));
        lines.addAll(verdict.violations());
        lines.add(verdict.passed() ? "every rule was kept" : "A RULE WAS BROKEN: " + verdict);
        return lines;
    }
}
