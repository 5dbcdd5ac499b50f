package pondridge.lab;

import java.util.ArrayList;
import java.util.List;

/** Result of a simulation run: outcomes of requests and load of each server, by second of virtual time. */
public final class Tally {
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Counts of one second. The outcome of a request counts in the second of its first try. */
    public static final class Second {
        /** First tries. */
        public int offered;
        /** Retries of clients after a refusal. */
        public int retries;
        /** Requests answered within the latency objective of their class, counted from the first try. */
        public int inTime;
        /** Requests answered after the latency objective. */
        public int answeredLate;
        /** Requests refused or failed with no retry left. */
        public int refused;
        /** Tries that a sidecar refused on arrival in this second: shed, or unlikely to meet the deadline. */
        public int refusedAtOnce;
        /** Tries that a sidecar refused in this second after queueing, with no attempt sent. */
        public int refusedAfterWait;
        /** Tries that a sidecar refused in this second after failed or unanswered attempts. */
        public int refusedAfterAttempts;
        /** Attempts rejected by servers, by the second in which the sidecar received the rejection. */
        public int rejected;
        /** By server: requests of mean work that arrived at it in this second, rejected ones included. */
        public final double[] reached;
        /** By server: requests of mean work that it completed in this second. */
        public final double[] completedRequests;

        Second(int servers) {
            reached = new double[servers];
            completedRequests = new double[servers];
        }
    }

    private final int servers;
    private final List<Second> seconds = new ArrayList<>();
    final List<ColdBudget> budgets = new ArrayList<>();
    int budgetExceeded;
    int crashed;

    Tally(int servers) {
        this.servers = servers;
    }

    /** Returns the counts of one second, numbered from 0. */
    public Second second(int number) {
        while (seconds.size() <= number) {
            seconds.add(new Second(servers));
        }
        return seconds.get(number);
    }

    Second secondAt(long nowNanos) {
        return second((int) (nowNanos / NANOS_PER_SECOND));
    }

    void recordArrival(long nowNanos, int server, double requests) {
        secondAt(nowNanos).reached[server] += requests;
    }

    void recordCompleted(long nowNanos, int server, double requests) {
        secondAt(nowNanos).completedRequests[server] += requests;
    }

    /** Returns the cold-start budget of each restart of a server, in the order of the restarts. */
    public List<ColdBudget> budgets() {
        return List.copyOf(budgets);
    }

    /** Returns the number of arrivals that exceeded the cold-start budget of a server. */
    public int overfilled() {
        return budgetExceeded;
    }

    /** Returns the number of crashes of servers. */
    public int crashed() {
        return crashed;
    }

    /** Returns the requests of mean work that a server completed from one second up to, but excluding, another. */
    public double done(int server, int fromSecond, int toSecond) {
        double sum = 0;
        for (int i = fromSecond; i < toSecond; i++) {
            sum += second(i).completedRequests[server];
        }
        return sum;
    }
}
