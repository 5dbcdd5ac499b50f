package pondridge.lab;

import java.util.List;
import pondridge.Balancer.Settings;

/**
 * Input of one simulation run. Times are in nanoseconds from the start of the run.
 *
 * @param seed the only source of randomness; the seeds of the load-balancing policies are drawn from it
 * @param settings settings of every load-balancing policy, except for its replica index
 * @param sidecars number of sidecars; {@code settings.replicaCount} may differ from it
 * @param servers the servers, numbered from 0; each is listed as warm unless an event restarts it
 * @param arrivals requests of clients to all sidecars together
 * @param events what happens to servers, sidecars and clients, in any order
 * @param maxUpdateDelayNanos upper bound of the delay, drawn for each sidecar, until a server's change reaches it
 * @param roundTripNanos network time of a request to a server and its response back
 * @param endNanos end of the run
 */
public record SimulationScenario(
        long seed,
        Settings settings,
        int sidecars,
        List<ServerModel> servers,
        Arrivals arrivals,
        List<TimedEvent> events,
        long maxUpdateDelayNanos,
        long roundTripNanos,
        long endNanos) {
    public SimulationScenario {
        servers = List.copyOf(servers);
        events = List.copyOf(events);
    }

    /**
     * A modelled server.
     *
     * @param threads number of requests that it processes concurrently
     * @param queueSlots number of further requests that may wait; it rejects any beyond that at once
     * @param crashesOnOverload whether it crashes, and stays down, when it gets more than its cold-start budget
     */
    public record ServerModel(int threads, int queueSlots, boolean crashesOnOverload) {}

    /**
     * Load from the clients.
     *
     * @param requestsPerSecond first tries per second, over all sidecars
     * @param evenlySpaced true for a constant interval and the sidecars in round-robin order; false for Poisson
     *     arrivals at random sidecars
     * @param classShares each class's share of the requests
     * @param meanWorkNanos mean processing time of a request on a warm thread
     * @param workSpread the work is drawn uniformly from the mean plus or minus this fraction of it
     * @param workHinted whether requests carry their work as a hint
     * @param retryDelayNanos a refused client retries once after this time; 0 for no retry
     */
    public record Arrivals(
            double requestsPerSecond,
            boolean evenlySpaced,
            List<Double> classShares,
            long meanWorkNanos,
            double workSpread,
            boolean workHinted,
            long retryDelayNanos) {
        public Arrivals {
            classShares = List.copyOf(classShares);
        }
    }

    /**
     * Type of an event: a server is removed, a server restarts cold, a sidecar restarts; or a server, a sidecar
     * or all clients pause, as in a garbage collection. After a pause they process everything that arrived, or
     * was due to be sent, in the meantime.
     */
    public enum EventType {
        SERVER_REMOVED,
        SERVER_RESTARTED,
        SIDECAR_RESTARTED,
        SERVER_PAUSED,
        SIDECAR_PAUSED,
        CLIENTS_PAUSED
    }

    /**
     * One event of the run.
     *
     * @param index number of the server or sidecar that it concerns
     * @param pauseNanos length of a pause; 0 for all other types
     */
    public record TimedEvent(long atNanos, EventType type, int index, long pauseNanos) {
        public TimedEvent(long atNanos, EventType type, int index) {
            this(atNanos, type, index, 0);
        }
    }
}
