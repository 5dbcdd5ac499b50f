package pondridge.lab;

import java.util.ArrayList;
import java.util.List;

/** Result of a simulation run: outcomes of requests and load of each server, by second of virtual time. */
public final class SimulationResult {
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Counts of one second. The outcome of a request counts in the second of its first try. */
    public static final class SecondCounts {
        /** First tries. */
        public int offered;
        /** Retries of clients after a refusal. */
        public int retries;
        /** Requests served within the latency objective of their class, counted from the first try. */
        public int servedOnTime;
        /** Requests served after the latency objective. */
        public int servedLate;
        /** Requests refused or failed with no retry left. */
        public int refused;
        /** Tries that a sidecar refused on arrival in this second: shed, or unlikely to meet the deadline. */
        public int refusedImmediately;
        /** Tries that a sidecar refused in this second after queueing, with no attempt sent. */
        public int refusedAfterQueueing;
        /** Tries that a sidecar refused in this second after failed attempts or attempts without a response. */
        public int refusedAfterAttempts;
        /** Attempts rejected by servers, by the second in which the sidecar received the rejection. */
        public int rejectedByServers;
        /** By server: requests of mean work that arrived at it in this second, rejected ones included. */
        public final double[] arrivedRequests;
        /** By server: requests of mean work that it completed in this second. */
        public final double[] completedRequests;

        SecondCounts(int servers) {
            arrivedRequests = new double[servers];
            completedRequests = new double[servers];
        }
    }

    private final int servers;
    private final List<SecondCounts> seconds = new ArrayList<>();
    final List<ColdStartBudget> budgets = new ArrayList<>();
    int budgetExceeded;
    int crashed;

    SimulationResult(int servers) {
        this.servers = servers;
    }

    /** Returns the counts of one second, numbered from 0. */
    public SecondCounts second(int number) {
        while (seconds.size() <= number) {
            seconds.add(new SecondCounts(servers));
        }
        return seconds.get(number);
    }

    SecondCounts secondAt(long nowNanos) {
        return second((int) (nowNanos / NANOS_PER_SECOND));
    }

    void recordArrival(long nowNanos, int server, double requests) {
        secondAt(nowNanos).arrivedRequests[server] += requests;
    }

    void recordCompleted(long nowNanos, int server, double requests) {
        secondAt(nowNanos).completedRequests[server] += requests;
    }

    /** Returns the cold-start budget of each restart of a server, in the order of the restarts. */
    public List<ColdStartBudget> budgets() {
        return List.copyOf(budgets);
    }

    /** Returns the number of arrivals that exceeded the cold-start budget of a server. */
    public int budgetExceeded() {
        return budgetExceeded;
    }

    /** Returns the number of crashes of servers. */
    public int crashed() {
        return crashed;
    }

    /** Returns the requests of mean work that a server completed from one second up to, but excluding, another. */
    public double completedRequests(int server, int fromSecond, int toSecond) {
        double sum = 0;
        for (int i = fromSecond; i < toSecond; i++) {
            sum += second(i).completedRequests[server];
        }
        return sum;
    }
}
