package pondridge.siteloss;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pondridge.settings.SettingsException;
import pondridge.settings.SettingsFile;
import pondridge.siteloss.Topology.Site;
import pondridge.siteloss.Topology.SiteLink;
import pondridge.siteloss.Topology.TrafficClass;

/** Compares plans with the optimum, which is the minimum cut found by enumerating all cuts. */
class SiteLossPlannerTest {
    private static final int SEEDS = 3_000;
    private static final double TOLERANCE = 1e-6;

    private static Topology randomTopology(Random random) {
        List<TrafficClass> classes = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            classes.add(new TrafficClass(
                    "k" + i, 1 + random.nextInt(10), 0.01 + random.nextDouble() / 10, 0.1 + random.nextDouble()));
        }
        List<Site> sites = new ArrayList<>();
        for (int i = 0; i < 3 + random.nextInt(5); i++) {
            Map<String, Double> demand = new HashMap<>();
            classes.forEach(trafficClass ->
                    demand.put(trafficClass.name(), random.nextInt(4) == 0 ? 0 : random.nextDouble() * 100));
            sites.add(new Site("s" + i, random.nextInt(5) == 0 ? 0 : random.nextDouble() * 30, demand));
        }
        List<SiteLink> links = new ArrayList<>();
        for (Site from : sites) {
            for (Site to : sites) {
                if (from != to && random.nextInt(5) > 0) {
                    links.add(new SiteLink(
                            from.name(), to.name(), random.nextDouble() * 150, random.nextInt(6) == 0 ? 1 : 0.02));
                }
            }
        }
        return new Topology(sites, classes, links, random.nextInt(3) * 0.1);
    }

    /** Returns the maximum acceptable rate of one class: the minimum cut between lost sites and survivors. */
    private static double minCut(double[] demand, double[][] links, double[] freeRate) {
        double minimum = Double.MAX_VALUE;
        for (int sourceSide = 0; sourceSide < 1 << demand.length; sourceSide++) {
            double cut = 0;
            for (int i = 0; i < demand.length; i++) {
                cut += (sourceSide >> i & 1) == 0 ? demand[i] : 0;
            }
            // Each survivor is on whichever side of the cut is cheaper.
            for (int j = 0; j < freeRate.length; j++) {
                double linkRate = 0;
                for (int i = 0; i < demand.length; i++) {
                    linkRate += (sourceSide >> i & 1) == 1 ? links[i][j] : 0;
                }
                cut += Math.min(linkRate, freeRate[j]);
            }
            minimum = Math.min(minimum, cut);
        }
        return minimum;
    }

    @Test
    void refusesOnlyWithoutCapacityAndNeverExceedsCapacity() {
        int plansWithRefusals = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            Topology topology = randomTopology(random);
            Set<String> lostNames = new LinkedHashSet<>();
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                lostNames.add(topology.sites()
                        .get(random.nextInt(topology.sites().size()))
                        .name());
            }
            SiteLossPlan plan = SiteLossPlanner.plan(topology, lostNames);
            assertEquals(plan, SiteLossPlanner.plan(topology, lostNames), "seed " + seed);
            plansWithRefusals += plan.refused().isEmpty() ? 0 : 1;
            check(topology, plan, "seed " + seed);
        }
        assertTrue(
                plansWithRefusals > SEEDS / 4 && plansWithRefusals < SEEDS,
                "plans with refusals: " + plansWithRefusals);
    }

    private static void check(Topology topology, SiteLossPlan plan, String seed) {
        List<Site> lost = topology.sites().stream()
                .filter(s -> plan.lostSites().contains(s.name()))
                .toList();
        List<Site> survivors = topology.sites().stream()
                .filter(s -> !plan.lostSites().contains(s.name()))
                .toList();
        double[] freeWork = survivors.stream()
                .mapToDouble(site ->
                        Math.max(0, site.capacity() * (1 - topology.reserveFraction()) - topology.ownWork(site, 0)))
                .toArray();
        Map<String, Double> residualLinkRate = new HashMap<>();
        topology.links().forEach(link -> residualLinkRate.put(link.from() + link.to(), link.requestsPerSecond()));
        for (TrafficClass trafficClass : topology.classes().stream()
                .sorted((a, b) -> Double.compare(b.utility(), a.utility()))
                .toList()) {
            double[] demand = lost.stream()
                    .mapToDouble(site -> site.demandPerSecond().get(trafficClass.name()))
                    .toArray();
            double[] freeRate = new double[survivors.size()];
            double[][] links = new double[lost.size()][survivors.size()];
            double accepted = 0;
            for (int j = 0; j < survivors.size(); j++) {
                freeRate[j] = freeWork[j] / trafficClass.workSeconds();
                for (int i = 0; i < lost.size(); i++) {
                    String pair = lost.get(i).name() + survivors.get(j).name();
                    SiteLink link = topology.links().stream()
                            .filter(each -> (each.from() + each.to()).equals(pair))
                            .findFirst()
                            .orElse(null);
                    boolean useful = link != null
                            && trafficClass.sloSeconds() - link.roundTripSeconds() > trafficClass.workSeconds();
                    links[i][j] = useful ? residualLinkRate.get(pair) : 0;
                }
            }
            double maximum = minCut(demand, links, freeRate);
            for (SiteLossPlan.Flow flow : plan.flows()) {
                if (flow.trafficClass().equals(trafficClass.name())) {
                    accepted += flow.requestsPerSecond();
                    int j = survivors.stream().map(Site::name).toList().indexOf(flow.to());
                    freeWork[j] -= flow.requestsPerSecond() * trafficClass.workSeconds();
                    residualLinkRate.merge(flow.from() + flow.to(), -flow.requestsPerSecond(), Double::sum);
                    assertTrue(freeWork[j] > -TOLERANCE, seed + ": " + flow + " exceeds the capacity");
                    assertTrue(
                            residualLinkRate.get(flow.from() + flow.to()) > -TOLERANCE,
                            seed + ": exceeds the link limit: " + flow);
                }
            }
            assertEquals(maximum, accepted, 1e-4, seed + ": " + trafficClass);
            for (Site site : lost) {
                double all = plan.acceptedPerSecond(site.name(), trafficClass.name())
                        + plan.refused().stream()
                                .filter(r -> r.from().equals(site.name())
                                        && r.trafficClass().equals(trafficClass.name()))
                                .mapToDouble(SiteLossPlan.RefusedLoad::requestsPerSecond)
                                .sum();
                assertEquals(
                        site.demandPerSecond().get(trafficClass.name()),
                        all,
                        TOLERANCE,
                        seed + ": all demand is accepted or refused");
            }
        }
    }

    /** Stock checks are refused before order confirmations, and the plan shows when confirmations do not fit. */
    @Test
    void plansForTheExampleTopology() {
        Topology topology = SitePlanSettings.read(Path.of("deploy/site-plan.toml"));
        SiteLossPlan plan = SiteLossPlanner.plan(topology, Set.of("ebene"));
        assertEquals(1, plan.admittedFraction("ebene", "order-confirm"));
        assertTrue(plan.admittedFraction("ebene", "stock-check")
                < plan.admittedFraction("ebene", "stock-hold") + TOLERANCE);
        // Free capacity is 0.95 * 9 less 5.985 of own work, and 0.95 * 12 less 3.78; shares are proportional to it.
        double[] shares = plan.flows().stream()
                .filter(flow -> flow.trafficClass().equals("order-confirm"))
                .mapToDouble(SiteLossPlan.Flow::requestsPerSecond)
                .toArray();
        assertEquals(2.565 / 7.62, shares[0] / shares[1], TOLERANCE);
        SiteLossPlan two = SiteLossPlanner.plan(topology, Set.of("ebene", "rose-belle"));
        assertEquals(
                two.requiredCapacityFraction() > 1, two.admittedFraction("ebene", "order-confirm") < 1, two.toString());
        assertThrows(IllegalArgumentException.class, () -> SiteLossPlanner.plan(topology, Set.of("nowhere")));
    }

    @Test
    void errorsNameFileAndKey() {
        String classToml = "[site_plan.classes.a]\nwork=\"1ms\"\naim=\"9ms\"\n";
        String twoSites = classToml + "[site_plan.sites.x]\ncapacity=1\n[site_plan.sites.y]\ncapacity=1\n";
        Map<String, String> expectedErrors = Map.of(
                classToml + "[site_plan.sites.x]\ncapacity=1",
                "two sites",
                "[site_plan.classes.a]\nwork=1\naim=\"9ms\"",
                "site_plan.classes.a.work",
                twoSites + "[site_plan.sites.x.asked]\nb=1",
                "site_plan.sites.x.asked.b",
                classToml + "[site_plan.sites.x]\n[site_plan.sites.y]",
                "site_plan.sites.x.capacity",
                twoSites + "[site_plan.ways.x.z]\nper_second=1",
                "site_plan.ways.x.z");
        expectedErrors.forEach((toml, expected) -> {
            SettingsException exception = assertThrows(
                    SettingsException.class,
                    () -> {
                        SettingsFile file = SettingsFile.parse("plan.toml", toml);
                        SitePlanSettings.of(file);
                        file.rejectUnknownKeys();
                    },
                    toml);
            assertTrue(
                    exception.getMessage().contains(expected)
                            && exception.getMessage().contains("plan.toml"),
                    exception.getMessage());
        });
    }

    /** A client that retries elsewhere is refused again; the next epoch refuses other keys. */
    @Test
    void refusesTheSameKeysAtAllGateways() {
        Random random = new Random(5);
        int admittedCount = 0;
        int admittedInBothEpochs = 0;
        for (int i = 0; i < 20_000; i++) {
            long key = random.nextLong();
            boolean admitted = RequestAdmission.admits(key, 1, 0.3);
            admittedCount += admitted ? 1 : 0;
            admittedInBothEpochs += admitted && RequestAdmission.admits(key, 2, 0.3) ? 1 : 0;
            assertTrue(
                    !admitted || RequestAdmission.admits(key, 1, 0.31),
                    "an admitted key stays admitted at a greater fraction");
            assertTrue(RequestAdmission.admits(key, 1, 1) && !RequestAdmission.admits(key, 1, 0));
        }
        assertEquals(0.3, admittedCount / 20_000.0, 0.015);
        assertEquals(0.09, admittedInBothEpochs / 20_000.0, 0.01, "epochs are independent");
    }
}
