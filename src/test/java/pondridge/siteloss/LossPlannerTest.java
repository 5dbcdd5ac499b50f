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
import pondridge.siteloss.Topology.Kind;
import pondridge.siteloss.Topology.Site;
import pondridge.siteloss.Topology.Way;

/** The plan against what nobody can beat: the least cut, found by trying all of them. */
class LossPlannerTest {
    private static final int SEEDS = 3_000;
    private static final double NEAR = 1e-6;

    private static Topology drawn(Random random) {
        List<Kind> kinds = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            kinds.add(new Kind(
                    "k" + i, 1 + random.nextInt(10), 0.01 + random.nextDouble() / 10, 0.1 + random.nextDouble()));
        }
        List<Site> sites = new ArrayList<>();
        for (int i = 0; i < 3 + random.nextInt(5); i++) {
            Map<String, Double> asked = new HashMap<>();
            kinds.forEach(kind -> asked.put(kind.name(), random.nextInt(4) == 0 ? 0 : random.nextDouble() * 100));
            sites.add(new Site("s" + i, random.nextInt(5) == 0 ? 0 : random.nextDouble() * 30, asked));
        }
        List<Way> ways = new ArrayList<>();
        for (Site from : sites) {
            for (Site to : sites) {
                if (from != to && random.nextInt(5) > 0) {
                    ways.add(new Way(
                            from.name(), to.name(), random.nextDouble() * 150, random.nextInt(6) == 0 ? 1 : 0.02));
                }
            }
        }
        return new Topology(sites, kinds, ways, random.nextInt(3) * 0.1);
    }

    /** What of one class can be placed at most: the least over all cuts between lost sites and room. */
    private static double leastCut(double[] asked, double[][] ways, double[] free) {
        double least = Double.MAX_VALUE;
        for (int near = 0; near < 1 << asked.length; near++) {
            double cut = 0;
            for (int i = 0; i < asked.length; i++) {
                cut += (near >> i & 1) == 0 ? asked[i] : 0;
            }
            // Each site with room goes to the cheaper side by itself.
            for (int j = 0; j < free.length; j++) {
                double in = 0;
                for (int i = 0; i < asked.length; i++) {
                    in += (near >> i & 1) == 1 ? ways[i][j] : 0;
                }
                cut += Math.min(in, free[j]);
            }
            least = Math.min(least, cut);
        }
        return least;
    }

    @Test
    void nothingIsRefusedForWhichThereIsRoomAndNothingIsOverfilled() {
        int refusing = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            Topology topology = drawn(random);
            Set<String> gone = new LinkedHashSet<>();
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                gone.add(topology.sites()
                        .get(random.nextInt(topology.sites().size()))
                        .name());
            }
            LossPlan plan = LossPlanner.plan(topology, gone);
            assertEquals(plan, LossPlanner.plan(topology, gone), "seed " + seed);
            refusing += plan.refused().isEmpty() ? 0 : 1;
            check(topology, plan, "seed " + seed);
        }
        assertTrue(refusing > SEEDS / 4 && refusing < SEEDS, "plans that refuse: " + refusing);
    }

    private static void check(Topology topology, LossPlan plan, String seed) {
        List<Site> lost = topology.sites().stream()
                .filter(s -> plan.lost().contains(s.name()))
                .toList();
        List<Site> left = topology.sites().stream()
                .filter(s -> !plan.lost().contains(s.name()))
                .toList();
        double[] room = left.stream()
                .mapToDouble(
                        site -> Math.max(0, site.capacity() * (1 - topology.reserve()) - topology.ownWork(site, 0)))
                .toArray();
        Map<String, Double> spare = new HashMap<>();
        topology.ways().forEach(way -> spare.put(way.from() + way.to(), way.perSecond()));
        for (Kind kind : topology.classes().stream()
                .sorted((a, b) -> Double.compare(b.worth(), a.worth()))
                .toList()) {
            double[] asked = lost.stream()
                    .mapToDouble(site -> site.asked().get(kind.name()))
                    .toArray();
            double[] free = new double[left.size()];
            double[][] ways = new double[lost.size()][left.size()];
            double taken = 0;
            for (int j = 0; j < left.size(); j++) {
                free[j] = room[j] / kind.work();
                for (int i = 0; i < lost.size(); i++) {
                    String pair = lost.get(i).name() + left.get(j).name();
                    Way way = topology.ways().stream()
                            .filter(w -> (w.from() + w.to()).equals(pair))
                            .findFirst()
                            .orElse(null);
                    boolean useful = way != null && kind.aim() - way.roundTrip() > kind.work();
                    ways[i][j] = useful ? spare.get(pair) : 0;
                }
            }
            double most = leastCut(asked, ways, free);
            for (LossPlan.Flow flow : plan.flows()) {
                if (flow.kind().equals(kind.name())) {
                    taken += flow.perSecond();
                    int j = left.stream().map(Site::name).toList().indexOf(flow.to());
                    room[j] -= flow.perSecond() * kind.work();
                    spare.merge(flow.from() + flow.to(), -flow.perSecond(), Double::sum);
                    assertTrue(room[j] > -NEAR, seed + ": " + flow + " overfills");
                    assertTrue(spare.get(flow.from() + flow.to()) > -NEAR, seed + ": full: " + flow);
                }
            }
            assertEquals(most, taken, 1e-4, seed + ": " + kind);
            for (Site site : lost) {
                double all = plan.taken(site.name(), kind.name())
                        + plan.refused().stream()
                                .filter(r ->
                                        r.from().equals(site.name()) && r.kind().equals(kind.name()))
                                .mapToDouble(LossPlan.Refused::perSecond)
                                .sum();
                assertEquals(site.asked().get(kind.name()), all, NEAR, seed + ": all is taken or refused");
            }
        }
    }

    /** Checks go before confirmations, and it is told when confirmations don't fit. */
    @Test
    void whatTheExampleSays() {
        Topology topology = SitePlanSettings.read(Path.of("deploy/site-plan.toml"));
        LossPlan plan = LossPlanner.plan(topology, Set.of("ebene"));
        assertEquals(1, plan.admitted("ebene", "order-confirm"));
        assertTrue(plan.admitted("ebene", "stock-check") < plan.admitted("ebene", "stock-hold") + NEAR);
        // Room is 0.95 of 9 less 5.985 of own work there, 0.95 of 12 less 3.78 here: shares are as it is.
        double[] shares = plan.flows().stream()
                .filter(flow -> flow.kind().equals("order-confirm"))
                .mapToDouble(LossPlan.Flow::perSecond)
                .toArray();
        assertEquals(2.565 / 7.62, shares[0] / shares[1], NEAR);
        LossPlan two = LossPlanner.plan(topology, Set.of("ebene", "rose-belle"));
        assertEquals(two.slack() > 1, two.admitted("ebene", "order-confirm") < 1, two.toString());
        assertThrows(IllegalArgumentException.class, () -> LossPlanner.plan(topology, Set.of("nowhere")));
    }

    @Test
    void mistakesNameFileAndKey() {
        String kind = "[site_plan.classes.a]\nwork=\"1ms\"\naim=\"9ms\"\n";
        String both = kind + "[site_plan.sites.x]\ncapacity=1\n[site_plan.sites.y]\ncapacity=1\n";
        Map<String, String> wrong = Map.of(
                kind + "[site_plan.sites.x]\ncapacity=1",
                "two sites",
                "[site_plan.classes.a]\nwork=1\naim=\"9ms\"",
                "site_plan.classes.a.work",
                both + "[site_plan.sites.x.asked]\nb=1",
                "site_plan.sites.x.asked.b",
                kind + "[site_plan.sites.x]\n[site_plan.sites.y]",
                "site_plan.sites.x.capacity",
                both + "[site_plan.ways.x.z]\nper_second=1",
                "site_plan.ways.x.z");
        wrong.forEach((text, says) -> {
            SettingsException problem = assertThrows(
                    SettingsException.class,
                    () -> {
                        SettingsFile file = SettingsFile.parse("plan.toml", text);
                        SitePlanSettings.of(file);
                        file.finish();
                    },
                    text);
            assertTrue(
                    problem.getMessage().contains(says) && problem.getMessage().contains("plan.toml"),
                    problem.getMessage());
        });
    }

    /** A client that asks again elsewhere is refused again, and in the next epoch it is others' turn. */
    @Test
    void theSameAreRefusedEverywhere() {
        Random random = new Random(5);
        int in = 0;
        int both = 0;
        for (int i = 0; i < 20_000; i++) {
            long key = random.nextLong();
            boolean admitted = RefusalOrder.admits(key, 1, 0.3);
            in += admitted ? 1 : 0;
            both += admitted && RefusalOrder.admits(key, 2, 0.3) ? 1 : 0;
            assertTrue(!admitted || RefusalOrder.admits(key, 1, 0.31), "who is in stays in as room grows");
            assertTrue(RefusalOrder.admits(key, 1, 1) && !RefusalOrder.admits(key, 1, 0));
        }
        assertEquals(0.3, in / 20_000.0, 0.015);
        assertEquals(0.09, both / 20_000.0, 0.01, "epochs are independent");
    }
}
