package pondridge.siteloss;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pondridge.siteloss.LossPlan.Flow;
import pondridge.siteloss.LossPlan.Refused;
import pondridge.siteloss.Topology.Kind;
import pondridge.siteloss.Topology.Site;
import pondridge.siteloss.Topology.Way;

/**
 * Splits what lost sites were asked over the others. The survivors' own clients come first. Then class by
 * class, the one
 * worth most first: shares by room, so that all are loaded alike and an error in one figure hurts least;
 * what finds no
 * room there is moved until nothing more can be placed (a greatest flow, by augmenting paths), so that
 * nothing is
 * refused for which there is room anywhere. The result follows from the topology alone: all who have the
 * same one have
 * the same plan.
 */
public final class LossPlanner {
    private static final double NOTHING = 1e-9;
    private static final int ROUNDS = 40;
    private static final int MOST_PATHS = 10_000;
    private final Topology topology;
    private final List<Site> lost;
    private final List<Site> left;
    private final double[] room;
    private final double[][] ways;
    private final Way[][] known;

    private LossPlanner(Topology topology, Set<String> gone) {
        this.topology = topology;
        this.lost = topology.sites().stream()
                .filter(site -> gone.contains(site.name()))
                .toList();
        this.left = topology.sites().stream()
                .filter(site -> !gone.contains(site.name()))
                .toList();
        this.room = left.stream()
                .mapToDouble(
                        site -> Math.max(0, site.capacity() * (1 - topology.reserve()) - topology.ownWork(site, 0)))
                .toArray();
        this.ways = new double[lost.size()][left.size()];
        this.known = new Way[lost.size()][left.size()];
        for (Way way : topology.ways()) {
            int from = indexOf(lost, way.from());
            int to = indexOf(left, way.to());
            if (from >= 0 && to >= 0) {
                known[from][to] = way;
                ways[from][to] = way.perSecond();
            }
        }
    }

    /** For the loss of these sites together; an unknown name is an {@link IllegalArgumentException}. */
    public static LossPlan plan(Topology topology, Set<String> gone) {
        gone.forEach(name -> {
            if (indexOf(topology.sites(), name) < 0) {
                throw new IllegalArgumentException("no such site: " + name);
            }
        });
        return new LossPlanner(topology, gone).plan();
    }

    private static int indexOf(List<Site> sites, String name) {
        for (int i = 0; i < sites.size(); i++) {
            if (sites.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private LossPlan plan() {
        List<Flow> flows = new ArrayList<>();
        List<Refused> refused = new ArrayList<>();
        Set<String> narrow = new LinkedHashSet<>();
        List<Kind> order = topology.classes().stream()
                .sorted(Comparator.comparingDouble(Kind::worth).reversed())
                .toList();
        double best = order.get(0).worth();
        double crossing = 0;
        double unplaced = 0;
        for (Kind kind : order) {
            double[][] placed = place(kind);
            for (int i = 0; i < lost.size(); i++) {
                String from = lost.get(i).name();
                double asked = lost.get(i).asked().getOrDefault(kind.name(), 0.0);
                double missing = asked - Arrays.stream(placed[i]).sum();
                for (int j = 0; j < left.size(); j++) {
                    ways[i][j] -= placed[i][j];
                    room[j] -= placed[i][j] * kind.work();
                    if (placed[i][j] > NOTHING) {
                        flows.add(new Flow(from, left.get(j).name(), kind.name(), placed[i][j]));
                    }
                }
                if (missing > NOTHING * Math.max(1, asked)) {
                    refused.add(new Refused(from, kind.name(), missing, asked));
                    narrow.addAll(narrow(kind, i));
                }
                boolean dearest = kind.worth() == best;
                crossing += dearest ? asked * kind.work() : 0;
                unplaced += dearest ? Math.max(0, missing) : 0;
            }
        }
        List<String> unfit = left.stream()
                .filter(site -> topology.ownWork(site, 0) > site.capacity())
                .map(Site::name)
                .toList();
        return new LossPlan(
                new LinkedHashSet<>(lost.stream().map(Site::name).toList()),
                List.copyOf(flows),
                List.copyOf(refused),
                List.copyOf(narrow),
                unfit,
                slack(best, crossing, unplaced));
    }

    /** Own of the classes worth most and what crosses of them, to what all survivors can do. */
    private double slack(double best, double crossing, double unplaced) {
        double own =
                left.stream().mapToDouble(site -> topology.ownWork(site, best)).sum();
        double all = left.stream().mapToDouble(Site::capacity).sum() * (1 - topology.reserve());
        double slack = own + crossing == 0 ? 0 : (own + crossing) / all;
        return unplaced > NOTHING ? Math.max(slack, 1 + NOTHING) : slack;
    }

    /** Whether an answer by that way can be in time: its aim, less the way, must leave its work. */
    private boolean inTime(Kind kind, int from, int to) {
        return known[from][to] != null && kind.aim() - known[from][to].roundTrip() > kind.work();
    }

    private List<String> narrow(Kind kind, int from) {
        List<String> full = new ArrayList<>();
        for (int j = 0; j < left.size(); j++) {
            String to = left.get(j).name();
            if (known[from][j] == null) {
                full.add("no way from " + lost.get(from).name() + " to " + to);
            } else if (!inTime(kind, from, j)) {
                full.add("way from " + lost.get(from).name() + " to " + to + " is too long for " + kind.name());
            } else if (ways[from][j] <= NOTHING * Math.max(1, known[from][j].perSecond())) {
                full.add("way from " + lost.get(from).name() + " to " + to + " is full");
            } else {
                full.add("site " + to + " has no room");
            }
        }
        return full;
    }

    /** Requests a second of a class from each lost site (first index) to each other one. */
    private double[][] place(Kind kind) {
        double[][] placed = new double[lost.size()][left.size()];
        double[] open = lost.stream()
                .mapToDouble(site -> site.asked().getOrDefault(kind.name(), 0.0))
                .toArray();
        double[] free =
                Arrays.stream(room).map(work -> Math.max(0, work) / kind.work()).toArray();
        for (int round = 0; round < ROUNDS; round++) {
            spread(kind, placed, open, free);
        }
        // Each path fills something; the bound is against rounding alone.
        for (int paths = 0; paths < MOST_PATHS && augment(kind, placed, open, free) > NOTHING; paths++) {}
        return placed;
    }

    /** All that is open goes out by room; where a site gets too much, all who send there send less. */
    private void spread(Kind kind, double[][] placed, double[] open, double[] free) {
        double[][] offered = new double[lost.size()][left.size()];
        double[] sum = new double[left.size()];
        for (int i = 0; i < lost.size(); i++) {
            double all = 0;
            for (int j = 0; j < left.size(); j++) {
                all += share(kind, placed, free, i, j);
            }
            for (int j = 0; j < left.size() && all > 0; j++) {
                double part = share(kind, placed, free, i, j) / all;
                offered[i][j] = Math.min(Math.max(0, open[i]) * part, spare(kind, placed, i, j));
                sum[j] += offered[i][j];
            }
        }
        for (int j = 0; j < left.size(); j++) {
            double part = sum[j] > 0 ? Math.min(1, Math.max(0, free[j]) / sum[j]) : 0;
            for (int i = 0; i < lost.size(); i++) {
                move(placed, open, free, i, j, offered[i][j] * part);
            }
        }
    }

    /** The room of a site that can be reached; what rounding leaves behind counts for nothing. */
    private double share(Kind kind, double[][] placed, double[] free, int from, int to) {
        return free[to] > NOTHING && spare(kind, placed, from, to) > NOTHING ? free[to] : 0;
    }

    private double spare(Kind kind, double[][] placed, int from, int to) {
        return inTime(kind, from, to) ? Math.max(0, ways[from][to] - placed[from][to]) : 0;
    }

    private static void move(double[][] placed, double[] open, double[] free, int from, int to, double much) {
        placed[from][to] += much;
        open[from] -= much;
        free[to] -= much;
    }

    /**
     * One augmenting path, by breadth: from a lost site with something open to a site with room, on its way
     * taking back what
     * another lost site had placed. Returns what it moved, 0 where there is none.
     */
    private double augment(Kind kind, double[][] placed, double[] open, double[] free) {
        int[] fromSite = new int[left.size()];
        int[] bySite = new int[lost.size()];
        Arrays.fill(fromSite, -1);
        Arrays.fill(bySite, -2);
        Deque<Integer> next = new ArrayDeque<>();
        for (int i = 0; i < lost.size(); i++) {
            if (open[i] > NOTHING) {
                bySite[i] = -1;
                next.add(i);
            }
        }
        while (!next.isEmpty()) {
            int i = next.poll();
            for (int j = 0; j < left.size(); j++) {
                if (fromSite[j] >= 0 || spare(kind, placed, i, j) <= NOTHING) {
                    continue;
                }
                fromSite[j] = i;
                if (free[j] > NOTHING) {
                    return along(kind, placed, open, free, fromSite, bySite, j);
                }
                for (int k = 0; k < lost.size(); k++) {
                    if (bySite[k] == -2 && placed[k][j] > NOTHING) {
                        bySite[k] = j;
                        next.add(k);
                    }
                }
            }
        }
        return 0;
    }

    private double along(
            Kind kind, double[][] placed, double[] open, double[] free, int[] fromSite, int[] bySite, int end) {
        double most = free[end];
        int first = -1;
        for (int j = end; j >= 0; j = bySite[first]) {
            first = fromSite[j];
            most = Math.min(most, spare(kind, placed, first, j));
            most = Math.min(most, bySite[first] >= 0 ? placed[first][bySite[first]] : open[first]);
        }
        for (int j = end; j >= 0; j = bySite[fromSite[j]]) {
            int from = fromSite[j];
            placed[from][j] += most;
            if (bySite[from] >= 0) {
                placed[from][bySite[from]] -= most;
            }
        }
        free[end] -= most;
        open[first] -= most;
        return most;
    }
}
