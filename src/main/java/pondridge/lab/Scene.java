package pondridge.lab;

import java.util.List;
import pondridge.Balancer.Settings;

/**
 * What one trial plays; times in nanoseconds from the day's begin.
 *
 * @param seed the only source of chance, also of the modules' seeds
 * @param settings what every module is set to, its rank aside
 * @param modules how many sidecars there are; the settings may say another number
 * @param upstreams the servers, numbered from 0; all are listed as long started unless a change says else
 * @param arrivals what clients ask of all sidecars together
 * @param changes what happens to servers and sidecars, in any order
 * @param newsWithin each sidecar hears of a server's change within this, drawn for each
 * @param travel how long a request takes to a server and an answer back
 * @param end when the day ends
 */
public record Scene(
        long seed,
        Settings settings,
        int modules,
        List<Machine> upstreams,
        Arrivals arrivals,
        List<Change> changes,
        long newsWithin,
        long travel,
        long end) {
    public Scene {
        upstreams = List.copyOf(upstreams);
        changes = List.copyOf(changes);
    }

    /**
     * A server.
     *
     * @param threads how many requests it works on at a time
     * @param places how many more may wait; beyond that it refuses at once
     * @param falls whether it falls over, and stays down, when it is cold and gets too much
     */
    public record Machine(int threads, int places, boolean falls) {}

    /**
     * The clients.
     *
     * @param perSecond first tries, over all sidecars
     * @param even evenly spaced over the time and the sidecars in turn; else each by chance
     * @param shares each class's part of the requests
     * @param work mean work of a request, what it takes a warm thread
     * @param spread the work is evenly drawn between this part less and this part more than the mean
     * @param hinted whether requests tell their work
     * @param again a refused client comes once more after this; 0 for never
     */
    public record Arrivals(
            double perSecond, boolean even, List<Double> shares, long work, double spread, boolean hinted, long again) {
        public Arrivals {
            shares = List.copyOf(shares);
        }
    }

    /**
     * What may happen: a server goes, a server starts anew and is cold, a sidecar starts anew; a server, a
     * sidecar or all clients stand still for a while, as in a collection, and then go on with all that came,
     * or should have been asked, meanwhile.
     */
    public enum Event {
        GONE,
        COLD,
        SIDECAR,
        STILL_SERVER,
        STILL_SIDECAR,
        STILL_CLIENTS
    }

    /** One of it; {@code lasts} is for what stands still. */
    public record Change(long at, Event event, int which, long lasts) {
        public Change(long at, Event event, int which) {
            this(at, event, which, 0);
        }
    }
}
