package pondridge.lab;

import java.util.ArrayList;
import java.util.List;

/** What became of a day's requests, by second, and what reached each server. */
public final class Tally {
    private static final long SECOND = 1_000_000_000;

    /** One second; requests count in the second in which their first try came. */
    public static final class Second {
        /** First tries. */
        public int offered;
        /** Tries after a refusal. */
        public int again;
        /** Answered within the aim, of all tries. */
        public int inTime;
        /** Answered later. */
        public int late;
        /** Refused or failed for good. */
        public int refused;
        /** Tries that a sidecar refused then as they came: shed, or held to be hopeless. */
        public int refusedAtOnce;
        /** Tries that a sidecar refused then after they had waited for room, with nothing sent. */
        public int refusedAfterWait;
        /** Tries that a sidecar refused then after servers had refused them or had not answered. */
        public int refusedAfterAttempts;
        /** Attempts that servers refused, by when a sidecar heard of it. */
        public int rejected;
        /** By server: requests of mean work that reached it then, also those that it refused. */
        public final double[] reached;
        /** By server: requests of mean work that it finished then. */
        public final double[] done;

        Second(int servers) {
            reached = new double[servers];
            done = new double[servers];
        }
    }

    private final int servers;
    private final List<Second> seconds = new ArrayList<>();
    final List<ColdBudget> budgets = new ArrayList<>();
    int overfilled;
    int fallen;

    Tally(int servers) {
        this.servers = servers;
    }

    /** One second of the day. */
    public Second second(int number) {
        while (seconds.size() <= number) {
            seconds.add(new Second(servers));
        }
        return seconds.get(number);
    }

    Second at(long now) {
        return second((int) (now / SECOND));
    }

    void reached(long now, int server, double requests) {
        at(now).reached[server] += requests;
    }

    void done(long now, int server, double requests) {
        at(now).done[server] += requests;
    }

    /** Of every start of a server, in order. */
    public List<ColdBudget> budgets() {
        return List.copyOf(budgets);
    }

    /** Requests that came to a cold server beyond what it bears. */
    public int overfilled() {
        return overfilled;
    }

    /** Servers that fell over. */
    public int fallen() {
        return fallen;
    }

    /** Requests of mean work that a server finished in some seconds. */
    public double done(int server, int from, int to) {
        double sum = 0;
        for (int i = from; i < to; i++) {
            sum += second(i).done[server];
        }
        return sum;
    }
}
